package coordinator_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// panickingTargets panics in renewals of one target until a time.
type panickingTargets struct {
	target.Targets
	id    string
	until time.Time
}

func (p *panickingTargets) Renew(ctx context.Context, to target.Listing, order target.RenewOrder) (target.Report, target.Reply) {
	if to.ID == p.id && time.Now().Before(p.until) {
		panic("a defect")
	}
	return p.Targets.Renew(ctx, to, order)
}

// panickingLog panics for the next lines that begin with a text. The scheduler logs while the lock of the session is
// held.
type panickingLog struct {
	prefix string
	left   atomic.Int32
}

func (p *panickingLog) HandleLog(entry *log.Entry) error {
	if strings.HasPrefix(entry.Message, p.prefix) && p.left.Add(-1) >= 0 {
		panic("a defect")
	}
	return nil
}

// Guards against: a panic about one target ends the process of the planner with all its calls, or ends a part of the
// term's work while the term goes on for good.
func TestPanicOfAnAgentEndsTheTermAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 7)
		time.Sleep(5 * time.Second)
		until := time.Now().Add(6 * time.Second)
		d.wrapTargets = func(targets target.Targets) target.Targets {
			return &panickingTargets{Targets: targets, id: targetID(1), until: until}
		}
		d.restartHosts()
		for range 5 {
			d.submit()
			time.Sleep(time.Second)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

// Guards against: a panic while the lock of the term is held leaves the others waiting for it, so that the term goes
// on without any work.
func TestPanicUnderTheLockEndsTheTerm(t *testing.T) {
	for _, event := range []string{"scheduler: run ended", "scheduler: run placed", "coordinator: a start was answered"} {
		t.Run(event, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 8)
				time.Sleep(5 * time.Second)
				broken := &panickingLog{prefix: event}
				d.wrapLog = func(log.Interface) log.Interface { return &log.Logger{Handler: broken, Level: log.InfoLevel} }
				d.restartHosts()
				for range 8 {
					d.submit()
					time.Sleep(500 * time.Millisecond)
					broken.left.Store(1)
					time.Sleep(500 * time.Millisecond)
				}
				broken.left.Store(0)
				for _, violation := range d.recoverAndCheck() {
					t.Error(violation)
				}
			})
		})
	}
}

package coordinator_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// checkpointing lets all tasks that run report a long checkpoint.
type checkpointing struct{ target.Targets }

func (c checkpointing) Renew(ctx context.Context, to target.Listing, order target.RenewOrder) (target.Report, target.Reply) {
	report, reply := c.Targets.Renew(ctx, to, order)
	for i := range report.Running {
		report.Running[i].Checkpoint = strings.Repeat("c", 200)
	}
	return report, reply
}

// Guards against: the progress of a large job outgrows a value of the store, and each write that is refused ends
// the planner's term.
func TestProgressThatOutgrowsAValueOfTheStoreEndsNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.maxValueBytes = 2500
		d.wrapTargets = func(targets target.Targets) target.Targets { return checkpointing{targets} }
		for _, l := range d.links {
			l.maxValueBytes.Store(d.maxValueBytes)
		}
		d.restartHosts()
		time.Sleep(10 * time.Second)
		before := d.token()
		d.submitStep(workload.Step{Count: 40, Estimate: 3 * time.Second, Checkpointing: true, Needs: workload.Resources{MilliCores: 1000}})
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
		if after := d.token(); after != before {
			t.Errorf("have %d terms that ended while the job ran, want none", after-before)
		}
	})
}

// token returns the fencing token of the latest term.
func (d *deployment) token() int64 {
	d.t.Helper()
	item, err := d.store.Get(context.Background(), term.RecordKey)
	record := &wire.TermRecord{}
	if err != nil || item == nil || records.Decode(item.Value, record) != nil {
		d.t.Fatalf("the term's record can't be read: %v", err)
	}
	return record.GetToken()
}

package coordinator_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// Guards against a second run of a finished task: a target that left a renewal unanswered may have
// restarted, and numbers of ends that it had listed before would make the new incarnation forget
// ends that nobody has read.
func TestNothingIsAcknowledgedAfterAnUnansweredRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		var mu sync.Mutex
		unanswered, after := map[string]bool{}, 0
		d.renewed = func(id string, order target.RenewOrder, answer target.Answer) {
			mu.Lock()
			defer mu.Unlock()
			if unanswered[id] {
				after++
				if order.Acknowledged != 0 {
					t.Errorf("the renewal of %s after an unanswered one: have acknowledged end %d, want none", id, order.Acknowledged)
				}
			}
			unanswered[id] = answer == target.Unanswered
		}
		d.restartHosts()
		time.Sleep(5 * time.Second)
		for range 6 {
			d.submit()
			time.Sleep(2 * time.Second)
		}
		for i := range targetCount {
			d.fleet.SetUnreachable(targetID(i), true)
		}
		time.Sleep(3 * time.Second)
		for i := range targetCount {
			d.fleet.SetUnreachable(targetID(i), false)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
		if after == 0 {
			t.Error("no renewal followed an unanswered one")
		}
	})
}

// Guards against targets that stay unused after a restart: nothing runs on the new incarnation, so
// only the planner's own question brings the report that it needs.
func TestIdleTargetIsAskedForAReportWhenItRestarts(t *testing.T) {
	const bound = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		asked := make(chan time.Time, 100)
		d.renewed = func(id string, _ target.RenewOrder, _ target.Answer) {
			if id == targetID(0) {
				asked <- time.Now()
			}
		}
		d.restartHosts()
		time.Sleep(10*time.Second + 300*time.Millisecond)
		for len(asked) > 0 {
			<-asked
		}
		restarted := time.Now()
		d.addTarget(0, false)
		if at := <-asked; at.Sub(restarted) > bound {
			t.Errorf("the first renewal was answered %s after the restart, want at most %s", at.Sub(restarted), bound)
		}
		d.stopHosts()
	})
}

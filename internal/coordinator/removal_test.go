package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// newDeploymentWithRemovals returns a deployment and the transactions of its hosts that delete keys.
func newDeploymentWithRemovals(t *testing.T) (*deployment, <-chan keyvalue.Txn) {
	d := newDeployment(t, 1)
	removals := make(chan keyvalue.Txn, 100)
	for _, link := range d.links {
		link.removals = removals
	}
	return d, removals
}

// Guards against lost jobs: a removal of an ended job's records that got no answer and that the
// store carries out late, after another job was accepted under the ID, must leave that job alone.
func TestLateRemovalLeavesAJobOfTheSameIDAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, removals := newDeploymentWithRemovals(t)
		time.Sleep(5 * time.Second)
		d.submitThrough()
		time.Sleep(retention + time.Minute)
		removal := <-removals
		d.submitThrough()
		if result, err := d.store.Commit(t.Context(), removal); err != nil || result.Applied {
			t.Errorf("the late removal of %v: have applied %t and error %v, want it refused", removal.Deletes, result.Applied, err)
		}
		if item, err := d.store.Get(t.Context(), records.SubmittedKey(queueTestJob)); err != nil || item == nil {
			t.Errorf("the accepted job's record: have %v (%v), want one", item, err)
		}
		d.stopHosts()
	})
}

// Guards against lost jobs: a removal that was carried out without an answer is found out by the
// next one, and a job that was accepted under the ID in between runs.
func TestJobAcceptedAfterAnUnansweredRemovalRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, removals := newDeploymentWithRemovals(t)
		time.Sleep(5 * time.Second)
		d.submitThrough()
		time.Sleep(retention - time.Minute)
		for _, link := range d.links {
			link.lostRemovals.Store(1)
		}
		<-removals
		time.Sleep(50 * time.Millisecond)
		d.submitThrough()
		time.Sleep(recoveryTime)
		if phase, err := d.intake.State(t.Context(), intake.Call{Organisation: "o", ID: queueTestJob}); err != nil || phase != wire.JobPhase_JOB_PHASE_DONE {
			t.Errorf("the job that was accepted after the removal: have %s (%v), want it done", phase, err)
		}
		if item, err := d.store.Get(t.Context(), records.ProgressKey(queueTestJob)); err != nil || item == nil {
			t.Errorf("the progress of the job that was accepted after the removal: have %v (%v), want one", item, err)
		}
		d.stopHosts()
	})
}

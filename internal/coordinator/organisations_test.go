package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// cancelAs cancels the job of submitThrough for an organisation.
func (d *deployment) cancelAs(organisation string) error {
	return d.intake.Cancel(d.t.Context(), intake.Call{Organisation: organisation, ID: queueTestJob})
}

// checkPhase checks the phase of the job of submitThrough as its owner reads it.
func (d *deployment) checkPhase(want wire.JobPhase) {
	d.t.Helper()
	if phase, err := d.intake.State(d.t.Context(), intake.Call{Organisation: "o", ID: queueTestJob}); err != nil || phase != want {
		d.t.Errorf("the owner's job: have %s (%v), want %s", phase, err, want)
	}
}

// Guards against jobs that a stranger cancels, before or after their submission, and against strangers'
// marks that stand in the way of the owner's own cancelling.
func TestMarksOfAnotherOrganisation(t *testing.T) {
	for name, meanwhile := range map[string]func(d *deployment){
		"the planner stays":        func(*deployment) {},
		"hand-over":                func(d *deployment) { d.restartHosts() },
		"the history is discarded": func(d *deployment) { d.store.Compact() },
	} {
		for cancels, want := range map[bool]wire.JobPhase{false: wire.JobPhase_JOB_PHASE_DONE, true: wire.JobPhase_JOB_PHASE_CANCELLED} {
			t.Run(name+", the owner's job is "+want.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(t, 1)
					time.Sleep(5 * time.Second)
					for _, stranger := range []string{"p", ""} {
						if err := d.cancelAs(stranger); !errkind.Gone.Is(err) {
							t.Errorf("a stranger's cancelling in advance: have %v, want a gone error", err)
						}
					}
					d.submitThrough()
					meanwhile(d)
					time.Sleep(2 * time.Second)
					if err := d.cancelAs("p"); !errkind.Gone.Is(err) {
						t.Errorf("a stranger's cancelling: have %v, want a gone error", err)
					}
					if cancels {
						if err := d.cancelAs("o"); err != nil {
							t.Errorf("the owner's cancelling: have %v, want no error", err)
						}
						d.fleet.JobCancelled(queueTestJob)
					}
					time.Sleep(recoveryTime)
					d.checkPhase(want)
					for _, violation := range d.fleet.Violations() {
						t.Error(violation)
					}
					d.stopHosts()
				})
			})
		}
	}
}

// Guards against cancelled jobs that run after an upgrade: a mark of an earlier release binds any submission.
func TestMarkOfAnEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		d.commit(keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.CancelledKey(queueTestJob), Value: []byte{1}}}})
		d.submitThrough()
		time.Sleep(recoveryTime)
		d.checkPhase(wire.JobPhase_JOB_PHASE_CANCELLED)
		if last := d.fleet.LastStart(); !last.IsZero() {
			t.Errorf("a task of the cancelled job was started at %s", last)
		}
		d.stopHosts()
	})
}

// Guards against marks that stay for ever once their job's records are removed, and against the loss of
// one that may still bind a submission of its own organisation.
func TestRemovalOfMarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		d.submitThrough()
		d.commit(keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.CancelledKey(queueTestJob), Value: []byte{1}}}})
		if err := d.cancelAs("o"); err != nil {
			t.Errorf("the owner's cancelling: have %v, want no error", err)
		}
		time.Sleep(retention / 2)
		if err := d.cancelAs("p"); !errkind.Gone.Is(err) {
			t.Errorf("a stranger's cancelling: have %v, want a gone error", err)
		}
		stranger := records.CancellationBy(queueTestJob, "p").Key()
		time.Sleep(retention/2 + time.Minute)
		items, _, err := d.store.List(t.Context(), records.PrefixOfJob(queueTestJob))
		if err != nil || len(items) != 1 || items[0].Key != stranger {
			t.Errorf("records after the job's removal: have %v (%v), want the stranger's mark alone", items, err)
		}
		time.Sleep(retention)
		items, _, err = d.store.List(t.Context(), records.PrefixOfJob(queueTestJob))
		if err != nil || len(items) != 0 {
			t.Errorf("records after the retention period of the stranger's mark: have %v (%v), want none", items, err)
		}
		d.stopHosts()
	})
}

package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const cancelTestJob = "00000000000000bb"

// submitLate submits a job whose caller leaves before it has an answer. The store carries the
// submission's write out after delay.
func (d *deployment) submitLate(delay time.Duration) {
	d.t.Helper()
	job := &workload.Job{ID: cancelTestJob, Payload: "payload", Steps: []workload.Step{
		{Count: 2, Estimate: time.Second, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100}},
	}}
	d.fleet.ExpectJob(job)
	call, err := d.intake.Admit("", "h", "/q0/"+job.ID, "k")
	if err != nil {
		d.t.Fatalf("Intake.Admit: %v", err)
	}
	d.store.LoseAnswers(1, delay)
	ctx, cancel := context.WithTimeout(d.t.Context(), 500*time.Millisecond)
	defer cancel()
	if err := d.intake.Submit(ctx, call, job); !errkind.Ambiguous.Is(err) {
		d.t.Fatalf("Intake.Submit: have %v, want an ambiguous error", err)
	}
}

// cancelUnknown cancels the job of which the store knows nothing, as often as a caller is told to
// retry.
func (d *deployment) cancelUnknown() {
	d.t.Helper()
	err := d.intake.Cancel(d.t.Context(), intake.Call{Organisation: "o", ID: cancelTestJob})
	for errkind.Unavailable.Is(err) {
		time.Sleep(intake.RetryAfterSeconds * time.Second)
		err = d.intake.Cancel(d.t.Context(), intake.Call{Organisation: "o", ID: cancelTestJob})
	}
	if !errkind.Gone.Is(err) {
		d.t.Errorf("Intake.Cancel: have %v, want a gone error", err)
	}
	d.fleet.JobCancelled(cancelTestJob)
}

// Guards against cancelled jobs that run: the answer that there is no such job acknowledges the
// cancelling, and the write of the submission can still be carried out after it.
func TestJobCancelledBeforeItsSubmissionIsCarriedOutDoesNotRun(t *testing.T) {
	for name, meanwhile := range map[string]func(d *deployment){
		"the planner stays":        func(*deployment) {},
		"hand-over":                func(d *deployment) { d.restartHosts() },
		"the history is discarded": func(d *deployment) { d.store.Compact() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 1)
				time.Sleep(5 * time.Second)
				d.submitLate(6 * time.Second)
				d.cancelUnknown()
				if phase, err := d.intake.State(t.Context(), intake.Call{Organisation: "o", ID: cancelTestJob}); !errkind.Gone.Is(err) {
					t.Errorf("the state of a job that nobody has submitted: have %s (%v), want a gone error", phase, err)
				}
				meanwhile(d)
				time.Sleep(20 * time.Second)
				if last := d.fleet.LastStart(); !last.IsZero() {
					t.Errorf("a task of the cancelled job was started at %s", last)
				}
				for _, violation := range d.fleet.Violations() {
					t.Error(violation)
				}
				d.stopHosts()
			})
		})
	}
}

// Guards against records that stay for ever: the cancellation of a job that was never submitted is
// removed after the retention period.
func TestCancellationOfAnUnknownJobIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		d.cancelUnknown()
		time.Sleep(time.Minute)
		if item, err := d.store.Get(t.Context(), records.CancellationBy(cancelTestJob, "o").Key()); err != nil || item == nil {
			t.Errorf("the cancellation after a minute: have none (%v), want one", err)
		}
		time.Sleep(retention)
		item, err := d.store.Get(t.Context(), records.CancellationBy(cancelTestJob, "o").Key())
		if err != nil || item != nil {
			t.Errorf("the cancellation after the retention period: have %+v (%v), want none", item, err)
		}
		d.stopHosts()
	})
}

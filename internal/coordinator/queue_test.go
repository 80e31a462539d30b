package coordinator_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const queueTestJob = "00000000000000aa"

// submitThrough submits a job of two steps of one task each as a caller does, through queue q0 of
// the configuration that is in force at the intake.
func (d *deployment) submitThrough() {
	d.t.Helper()
	job := &workload.Job{ID: queueTestJob, Payload: "payload", Steps: []workload.Step{
		{Count: 1, Estimate: 4 * time.Second, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100}},
		{Count: 1, Estimate: time.Second, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100}, After: []int{0}},
	}}
	d.fleet.ExpectJob(job)
	call, err := d.intake.Admit("", "h", "/q0/"+job.ID, "k")
	if err != nil {
		d.t.Fatalf("Intake.Admit: %v", err)
	}
	if err := d.intake.Submit(d.t.Context(), call, job); err != nil {
		d.t.Fatalf("Intake.Submit: %v", err)
	}
	d.accepted[job.ID] = job
}

// reconfigure puts the next version of the configuration in force, with other queues.
func (d *deployment) reconfigure(edit func([]catalogue.Queue) []catalogue.Queue) {
	next := *d.configuration.Load()
	next.Version++
	next.Queues = edit(slices.Clone(next.Queues))
	d.configuration.Store(&next)
}

func removeQueue(queues []catalogue.Queue) []catalogue.Queue { return queues[1:] }

func renameQueue(queues []catalogue.Queue) []catalogue.Queue {
	queues[0].Name = "renamed"
	return queues
}

// reuseQueueName gives the queue's name to another queue, whose service has no targets.
func reuseQueueName(queues []catalogue.Queue) []catalogue.Queue {
	queues[0].Prefix, queues[0].Service = "/other/", "other"
	return queues
}

// Guards against accepted jobs that never run again: what becomes of a job must not depend on
// whether its planner was there before its queue was removed, renamed or its name given to another.
func TestJobRunsAfterItsQueueIsGone(t *testing.T) {
	edits := map[string]func([]catalogue.Queue) []catalogue.Queue{"removed": removeQueue, "renamed": renameQueue, "name given again": reuseQueueName}
	for name, edit := range edits {
		for when, handOver := range map[string]bool{"the planner stays": false, "hand-over": true} {
			t.Run(name+", "+when, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(t, 1)
					time.Sleep(5 * time.Second)
					d.submitThrough()
					time.Sleep(time.Second)
					d.reconfigure(edit)
					time.Sleep(time.Second)
					if handOver {
						d.restartHosts()
					}
					for _, violation := range d.recoverAndCheck() {
						t.Error(violation)
					}
				})
			})
		}
	}
}

// Guards against accepted jobs that never run: a host that has not read the newest configuration
// yet accepts a job for a queue that the planner no longer knows, or for one that it does not know
// yet.
func TestJobOfAQueueThatThePlannerDoesNotKnowRuns(t *testing.T) {
	for name, late := range map[string]func(d *deployment){
		"removed at the planner": func(d *deployment) {
			before := d.configuration.Load()
			d.intake.Catalogue = func() *catalogue.Catalogue { return before }
			d.reconfigure(removeQueue)
		},
		"not yet at the planner": func(d *deployment) {
			after := d.configuration.Load()
			d.intake.Catalogue = func() *catalogue.Catalogue { return after }
			before := *after
			before.Version, before.Queues = after.Version-1, removeQueue(after.Queues)
			d.configuration.Store(&before)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 1)
				time.Sleep(5 * time.Second)
				late(d)
				time.Sleep(2 * time.Second)
				d.submitThrough()
				for _, violation := range d.recoverAndCheck() {
					t.Error(violation)
				}
			})
		})
	}
}

// Guards against runs beyond the limit of attempts: a planner that takes over after the queue was
// removed knew no limit.
func TestAttemptsStayLimitedAfterTheQueueIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.fleet.RunFails = func(target.Run) bool { return true }
		time.Sleep(5 * time.Second)
		d.submitThrough()
		time.Sleep(time.Second)
		d.reconfigure(removeQueue)
		d.restartHosts()
		time.Sleep(recoveryTime)
		phase, err := d.intake.State(t.Context(), intake.Call{Organisation: "o", ID: queueTestJob})
		if err != nil || phase != wire.JobPhase_JOB_PHASE_FAILED {
			t.Errorf("the job of which each run fails: have %s (%v), want failed", phase, err)
		}
		for _, violation := range d.fleet.Violations() {
			t.Error(violation)
		}
		d.stopHosts()
	})
}

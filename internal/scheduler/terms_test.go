package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/terms"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Guards against jobs that wait for a service that their queue has left: a planner that takes over
// after a queue was moved to another service and then removed, or that has not read the move yet,
// learns of it from the job's record.
func TestLastTermsOutliveTheirPlanner(t *testing.T) {
	queue := catalogue.Queue{Name: "batch", Host: "h", Prefix: "/", Service: "former", StretchFactor: 2}
	moved := queue
	moved.Service = "s"
	accepted := &catalogue.Catalogue{Version: 2, Queues: []catalogue.Queue{queue}}
	job := &workload.Job{ID: "a", Queue: "batch", AcceptedTerms: terms.Of(2, &queue), Accepted: start, Steps: []workload.Step{smallStep(1)}}

	first := newFixture(t, 1)
	first.Configure(accepted)
	first.Submit(first.now, job)
	if plan := first.Step(first.now); len(plan.Starts)+len(plan.Writes) > 0 {
		t.Fatalf("have plan %+v for a service without targets, want none", plan)
	}
	first.Configure(&catalogue.Catalogue{Version: 3, Queues: []catalogue.Queue{moved}})
	var record *wire.ProgressRecord
	for _, write := range first.Step(first.now).Writes {
		record = write.Record
	}
	if have := terms.FromRecord(record.GetTerms()); have != terms.Of(3, &moved) {
		t.Fatalf("the job's record: have terms %+v, want %+v", have, terms.Of(3, &moved))
	}
	// The start of the first planner was not sent.
	record.Units = nil

	for name, configuration := range map[string]*catalogue.Catalogue{
		"the queue is removed": {Version: 4}, "the move is not known yet": accepted,
	} {
		next := newFixture(t, 1)
		next.Configure(configuration)
		next.Restore(next.now, job, record)
		next.report(0, target.Report{})
		if starts := next.Step(next.now).Starts; len(starts) != 1 {
			t.Errorf("%s: have %d starts on the service that the queue was moved to, want 1", name, len(starts))
		}
	}
}

// Guards against starts beyond the limit of attempts: a limit that a new version of the configuration
// lowers to what a task has failed already ends the job, also at a planner that learns of both at once.
func TestLoweredLimitOfAttemptsEndsTheJob(t *testing.T) {
	queue := catalogue.Queue{Name: "batch", Host: "h", Prefix: "/", Service: "s", MaxAttempts: 3, StretchFactor: 2}
	lowered := queue
	lowered.MaxAttempts = 1
	accepted := &catalogue.Catalogue{Version: 2, Queues: []catalogue.Queue{queue}}
	newer := &catalogue.Catalogue{Version: 3, Queues: []catalogue.Queue{lowered}}
	job := &workload.Job{ID: "a", Queue: "batch", AcceptedTerms: terms.Of(2, &queue), Accepted: start, Steps: []workload.Step{smallStep(1)}}
	failedOnce := &wire.ProgressRecord{Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitRecord{{Run: 1, Failures: 1}}}
	second := target.Run{Task: target.Task{Job: "a"}, Number: 2}

	for name, learn := range map[string]func(f *fixture){
		"the planner stays": func(f *fixture) {
			f.Configure(accepted)
			f.Restore(f.now, job, failedOnce)
			f.Configure(newer)
		},
		"takeover": func(f *fixture) {
			f.Configure(newer)
			f.Restore(f.now, job, failedOnce)
		},
	} {
		f := newFixture(t, 1)
		learn(f)
		plan := f.Step(f.now)
		if len(plan.Starts) > 0 {
			t.Errorf("%s: have starts %v of a task that has failed as often as its queue allows, want none", name, plan.Starts)
		}
		if len(plan.Writes) != 1 || plan.Writes[0].Record.GetPhase() != wire.JobPhase_JOB_PHASE_FAILED {
			t.Errorf("%s: have writes %v, want the job failed", name, plan.Writes)
		}
	}

	f := newFixture(t, 1)
	f.Configure(accepted)
	f.Restore(f.now, job, failedOnce)
	if starts := f.startAll(); len(starts) != 1 || starts[0].Run != second {
		t.Fatalf("have starts %v, want %v", starts, second)
	}
	f.Configure(newer)
	if stops := f.Step(f.now).Stops; len(stops) > 0 {
		t.Errorf("have stops %v of a run that may yet end as done, want none", stops)
	}
	f.advance(100 * time.Millisecond)
	f.report(0, target.Report{Ended: []target.Ended{{Run: second, Number: 1, Outcome: target.Stopped}}})
	if plan := f.Step(f.now.Add(time.Second)); len(plan.Starts) > 0 || len(plan.Writes) != 1 || plan.Writes[0].Record.GetPhase() != wire.JobPhase_JOB_PHASE_FAILED {
		t.Errorf("after the run's end: have plan %+v, want the job failed and nothing started", plan)
	}
}

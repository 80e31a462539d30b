package scheduler_test

import (
	"testing"

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

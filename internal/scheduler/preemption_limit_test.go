package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// end lets a run on the first target end.
func (f *fixture) end(run target.Run, number int64, outcome target.Outcome) {
	f.report(0, target.Report{Ended: []target.Ended{{Run: run, Number: number, Outcome: outcome}}})
}

// submitWhole submits an urgent job that needs the whole first target.
func (f *fixture) submitWhole(id, organisation string) {
	step := workload.Step{Count: 1, Estimate: time.Second, Needs: workload.Resources{MilliCores: 8000, Accelerators: 8}}
	f.Submit(f.now, &workload.Job{ID: id, Queue: "urgent", Organisation: organisation, Accepted: f.now, Steps: []workload.Step{step}})
}

// Guards against: the unit that has just started again is the cheapest to stop for each next urgent job,
// so that it never ends; a new planner that begins to count anew.
func TestUnitIsStoppedForOthersAtMostTwice(t *testing.T) {
	f := newFixture(t, 1)
	whole := workload.Step{Count: 1, Estimate: 4 * time.Second, Needs: workload.Resources{MilliCores: 8000, Accelerators: 8}}
	f.submit("batch", "batch", whole)
	var record *wire.ProgressRecord
	step := func() scheduler.Plan {
		plan := f.Step(f.now)
		for _, s := range plan.Starts {
			f.StartSent(s)
			f.StartAnswered(f.now, s, target.Reply{Answer: target.Accepted})
		}
		for _, w := range plan.Writes {
			if w.Job == "batch" {
				record = w.Record
			}
		}
		f.advance(time.Second)
		return plan
	}
	step()
	number := int64(0)
	for _, id := range []string{"first", "second"} {
		f.submitWhole(id, "without guarantee")
		stopped := step()
		if len(stopped.Stops) != 1 {
			t.Fatalf("%s urgent job: have %d stops, want 1", id, len(stopped.Stops))
		}
		f.end(stopped.Stops[0].Run, number+1, target.Stopped)
		urgent := step().Starts
		if len(urgent) != 1 {
			t.Fatalf("%s urgent job: have starts %v, want its own", id, urgent)
		}
		f.end(urgent[0].Run, number+2, target.Done)
		number += 2
		step()
	}
	f.submitWhole("third", "without guarantee")
	if stops := step().Stops; len(stops) != 0 {
		t.Errorf("third urgent job: have stops %v, want none", stops)
	}
	successor := newFixture(t, 1)
	successor.now = f.now
	batch := &workload.Job{ID: "batch", Queue: "batch", Organisation: "o", Accepted: start, Steps: []workload.Step{whole}}
	successor.Restore(f.now, batch, record)
	successor.report(0, target.Report{Running: []target.Running{{Run: target.Run{Number: 3, Task: target.Task{Job: "batch"}}}}})
	successor.submitWhole("third", "without guarantee")
	if stops := successor.Step(successor.now).Stops; len(stops) != 0 {
		t.Errorf("new planner: have stops %v, want none", stops)
	}
	f.submitWhole("guaranteed", "o")
	f.advance(time.Second)
	if stops := f.Step(f.now).Stops; len(stops) != 1 {
		t.Errorf("overdue guarantee: have %d stops, want 1", len(stops))
	}
}

package scheduler_test

import (
	"math"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// wholeTarget is a task that takes all accelerators of a target.
func wholeTarget() workload.Step {
	step := smallStep(1)
	step.Needs.Accelerators = 8
	return step
}

// submitFor submits a job of an organisation.
func (f *fixture) submitFor(organisation, id, queue string, step workload.Step) {
	f.Submit(f.now, &workload.Job{ID: id, Queue: queue, Organisation: organisation, Accepted: f.now, Steps: []workload.Step{step}})
}

// Guards against: what a former planner measured is lost, so that an organisation starts anew with each
// planner; the decision cannot be found in the log.
func TestInheritedUseDecidesTheOrder(t *testing.T) {
	for _, heavy := range []string{"a", "b"} {
		f := newFixture(t, 0)
		f.Limits.ShareHalfLife = 10 * time.Second
		var placed scheduler.Fields
		f.Log = func(event string, fields scheduler.Fields) {
			if event == "run placed" {
				placed = fields
			}
		}
		f.InheritUsage(f.now, map[string]float64{heavy: 20})
		f.submitFor("a", "1", "batch", wholeTarget())
		f.submitFor("b", "2", "batch", wholeTarget())
		f.startAll()
		f.TargetListed(f.now, f.listing(0))
		f.report(0, target.Report{})
		light := map[string]string{"a": "b", "b": "a"}[heavy]
		if f.startAll(); placed["organisation"] != light || placed["shareFactor"] != math.Sqrt2 {
			t.Errorf("%s has used more: have a start of %v with factor %v, want %s with the square root of 2", heavy, placed["organisation"], placed["shareFactor"], light)
		}
		if have := f.Usage(); have[heavy] != 20 {
			t.Errorf("have use %v, want 20 of %s", have, heavy)
		}
	}
}

// Guards against: runs are stopped of organisations that use less than their part.
func TestRunsOfLargeUsersAreStoppedFirst(t *testing.T) {
	for _, heavy := range []string{"a", "b"} {
		f := newFixture(t, 2)
		f.Limits.ShareHalfLife = 10 * time.Second
		f.InheritUsage(f.now, map[string]float64{heavy: 200})
		f.submitFor("a", "1", "batch", wholeTarget())
		f.submitFor("b", "2", "batch", wholeTarget())
		jobOn := map[string]string{}
		for _, s := range f.startAll() {
			jobOn[s.Target] = s.Run.Task.Job
		}
		f.submit("3", "batch", wholeTarget())
		f.startAll()
		f.submit("4", "urgent", wholeTarget())
		plan := f.Step(f.now)
		want := map[string]string{"a": "1", "b": "2"}[heavy]
		if len(plan.Stops) != 1 || jobOn[plan.Stops[0].Target] != want {
			t.Errorf("%s uses more: have stops %v, want one of job %s", heavy, plan.Stops, want)
		}
	}
}

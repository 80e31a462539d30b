package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// startedOn starts everything that can start now and returns the targets.
func (f *fixture) startedOn() []string {
	var out []string
	for _, s := range f.startAll() {
		out = append(out, s.Target)
	}
	return out
}

func TestPlacementBySpeed(t *testing.T) {
	const slow, fast = -0.5, 0.5
	whole := workload.Step{Count: 1, Estimate: 4 * time.Second, Needs: workload.Resources{MilliCores: 5000, MemoryMB: 100, Accelerators: 8}}
	pair := whole
	pair.Count, pair.Gang = 2, true
	cases := []struct {
		name, queue string
		step        workload.Step
		speeds      map[string]float32
		want        map[string]bool
	}{
		{"an urgent job gets a fast target", "urgent", whole, map[string]float32{"t0": slow, "t1": slow, "t2": fast, "t3": slow}, map[string]bool{"t2": true}},
		{"a job with time to spare leaves fast targets to others", "batch", whole, map[string]float32{"t0": fast, "t1": fast, "t2": slow, "t3": fast}, map[string]bool{"t2": true}},
		{"an urgent gang has no slow member", "urgent", pair, map[string]float32{"t0": fast, "t1": slow, "t2": slow, "t3": fast}, map[string]bool{"t0": true, "t3": true}},
		{"a gang with time to spare does not mix fast and slow targets", "batch", pair, map[string]float32{"t0": fast, "t1": slow, "t2": slow, "t3": fast}, map[string]bool{"t1": true, "t2": true}},
	}
	for _, test := range cases {
		f := newFixture(t, 4)
		f.InheritLogSpeeds(f.now, test.speeds)
		f.submit("a", test.queue, test.step)
		have := f.startedOn()
		if len(have) != len(test.want) {
			t.Errorf("%s: have %v, want %v", test.name, have, test.want)
		}
		for _, id := range have {
			if !test.want[id] {
				t.Errorf("%s: have %v, want %v", test.name, have, test.want)
			}
		}
	}
}

// An urgent job would be late on the only free target, so a run on a faster one is stopped for
// it. If the stop is not answered in time, the job starts on the free target.
func TestPreemptionOnAFasterTarget(t *testing.T) {
	f := newFixture(t, 2)
	f.InheritLogSpeeds(f.now, map[string]float32{"t0": -0.9, "t1": 0.5})
	filler := smallStep(2)
	filler.Needs.Accelerators = 8
	f.submit("filler", "batch", filler)
	for _, started := range f.startAll() {
		if started.Target == "t0" {
			f.advance(time.Second)
			f.report(0, target.Report{Ended: []target.Ended{{Number: 1, Run: started.Run, Outcome: target.Done}}})
		}
	}
	urgent := filler
	urgent.Count = 1
	f.submit("urgent", "urgent", urgent)
	plan := f.Step(f.now)
	if len(plan.Starts) != 0 || len(plan.Stops) != 1 || plan.Stops[0].Target != "t1" {
		t.Errorf("have starts %v and stops %v, want no start and one stop on t1", plan.Starts, plan.Stops)
	}
	f.advance(400 * time.Millisecond)
	if have := f.startedOn(); len(have) != 1 || have[0] != "t0" {
		t.Errorf("400 ms after the unanswered stop: have starts on %v, want one on t0", have)
	}
}

// A guaranteed job that has waited for longer than guaranteeWait is placed before a newer job
// with a higher score.
func TestOverdueGuaranteeIsPlacedFirst(t *testing.T) {
	f := newFixture(t, 0)
	whole := workload.Step{Count: 1, Estimate: 6 * time.Second, Needs: workload.Resources{MilliCores: 8000, MemoryMB: 100, Accelerators: 1}}
	f.submit("old", "urgent", whole)
	f.advance(time.Second)
	whole.Estimate = time.Second
	f.submit("new", "urgent", whole)
	f.TargetListed(f.now, f.listing(0))
	f.report(0, target.Report{})
	if starts := f.startAll(); len(starts) != 1 || starts[0].Run.Task.Job != "old" {
		t.Errorf("have %v, want one start of the job old", starts)
	}
}

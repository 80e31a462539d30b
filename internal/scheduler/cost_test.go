package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// place returns the targets of the runs that are started now.
func (f *fixture) place() []string {
	var out []string
	for _, s := range f.begin() {
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
		{"one with time to spare leaves it to others", "batch", whole, map[string]float32{"t0": fast, "t1": fast, "t2": slow, "t3": fast}, map[string]bool{"t2": true}},
		{"an urgent gang has no slow member", "urgent", pair, map[string]float32{"t0": fast, "t1": slow, "t2": slow, "t3": fast}, map[string]bool{"t0": true, "t3": true}},
		{"a gang with time to spare does not mix", "batch", pair, map[string]float32{"t0": fast, "t1": slow, "t2": slow, "t3": fast}, map[string]bool{"t1": true, "t2": true}},
	}
	for _, test := range cases {
		f := newFixture(t, 4)
		f.InheritSpeeds(f.now, test.speeds)
		f.submit("a", test.queue, test.step)
		have := f.place()
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

// An urgent job that would be late on the targets that are free has room made on a faster one.
func TestRoomIsMadeOnAFasterTarget(t *testing.T) {
	f := newFixture(t, 2)
	f.InheritSpeeds(f.now, map[string]float32{"t0": -0.9, "t1": 0.5})
	filler := small(2)
	filler.Needs.Accelerators = 8
	f.submit("filler", "batch", filler)
	for _, held := range f.begin() {
		if held.Target == "t0" {
			f.after(time.Second)
			f.report(0, target.Report{Ended: []target.Ended{{Number: 1, Run: held.Run, How: target.Done}}})
		}
	}
	urgent := filler
	urgent.Count = 1
	f.submit("urgent", "urgent", urgent)
	plan := f.Step(f.now)
	if len(plan.Starts) != 0 || len(plan.Stops) != 1 || plan.Stops[0].Target != "t1" {
		t.Errorf("have starts %v and stops %v, want a stop on t1", plan.Starts, plan.Stops)
	}
	f.after(400 * time.Millisecond)
	if have := f.place(); len(have) != 1 || have[0] != "t0" {
		t.Errorf("with the stop unanswered: have %v, want a start on t0", have)
	}
}

// A job that has waited for its guarantee is served before one that is worth more.
func TestOldClaimsComeFirst(t *testing.T) {
	f := newFixture(t, 0)
	whole := workload.Step{Count: 1, Estimate: 6 * time.Second, Needs: workload.Resources{MilliCores: 8000, MemoryMB: 100, Accelerators: 1}}
	f.submit("old", "urgent", whole)
	f.after(time.Second)
	whole.Estimate = time.Second
	f.submit("new", "urgent", whole)
	f.Listed(f.now, f.listing(0))
	f.report(0, target.Report{})
	if starts := f.begin(); len(starts) != 1 || starts[0].Run.Task.Job != "old" {
		t.Errorf("have %v, want the job that waits", starts)
	}
}

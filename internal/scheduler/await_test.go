package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Guards against: runs are stopped, and their work is thrown away, that end by themselves before the stops
// would have, or in time for an urgent job that can spare the wait; a wait for runs that don't end as expected,
// or one that makes an overdue guarantee later.
func TestRunsThatEndSoonAreWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		// left is what remains of the runs, and waited how long the urgent job has waited for them.
		left, waited, estimate time.Duration
		organisation           string
		want                   int
	}{
		"within the time of a stop":             {200 * time.Millisecond, 0, time.Second, "without guarantee", 0},
		"later, with little time to spare":      {600 * time.Millisecond, 0, time.Second, "without guarantee", 2},
		"later, with time to spare":             {600 * time.Millisecond, 0, 4 * time.Second, "without guarantee", 0},
		"much later":                            {2 * time.Second, 0, 4 * time.Second, "without guarantee", 2},
		"later, guaranteed":                     {600 * time.Millisecond, 0, 4 * time.Second, "o", 2},
		"not as expected":                       {200 * time.Millisecond, 1100 * time.Millisecond, 4 * time.Second, "without guarantee", 2},
		"not as expected, overdue":              {300 * time.Millisecond, 500 * time.Millisecond, time.Second, "o", 2},
		"within the time of a stop, guaranteed": {200 * time.Millisecond, 0, time.Second, "o", 0},
	} {
		f := newFixture(t, 1)
		f.Limits.StopTime = 200 * time.Millisecond
		f.submit("running", "batch", smallStep(8))
		f.startAll()
		f.advance(4*time.Second - c.left)
		step := workload.Step{Count: 1, Estimate: c.estimate, Needs: workload.Resources{MilliCores: 1000, Accelerators: 2}}
		f.Submit(f.now, &workload.Job{ID: "urgent", Queue: "urgent", Organisation: c.organisation, Accepted: f.now, Steps: []workload.Step{step}})
		stops := len(f.Step(f.now).Stops)
		if c.waited > 0 {
			f.advance(c.waited)
			stops = len(f.Step(f.now).Stops)
		}
		if stops != c.want {
			t.Errorf("%s: have %d runs stopped, want %d", name, stops, c.want)
		}
	}
}

// Guards against: a job that is late already waits for expected ends for more than maxEndWait in all.
func TestLateJobWaitsForEndsNoLongerThanOthers(t *testing.T) {
	f := newFixture(t, 1)
	f.Limits.StopTime = 200 * time.Millisecond
	f.submit("running", "batch", smallStep(8))
	f.startAll()
	f.advance(4 * time.Second)
	step := workload.Step{Count: 1, Estimate: time.Second, Needs: workload.Resources{MilliCores: 1000, Accelerators: 2}}
	f.Submit(f.now, &workload.Job{ID: "urgent", Queue: "urgent", Organisation: "without guarantee", Accepted: f.now.Add(-1300 * time.Millisecond), Steps: []workload.Step{step}})
	stops := 0
	for range 50 {
		stops += len(f.Step(f.now).Stops)
		f.advance(100 * time.Millisecond)
	}
	if stops == 0 {
		t.Error("have no run stopped after 5 s, want some after 1 s")
	}
}

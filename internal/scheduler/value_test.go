package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/policy"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// stopsFor returns how many runs of a full target are stopped for a job of four accelerators that was
// accepted before and that no guarantee covers.
func stopsFor(t *testing.T, weights policy.Policy, accepted, estimate time.Duration) int {
	f := newFixture(t, 1)
	f.Limits.Policy = weights
	f.submit("running", "batch", smallStep(8))
	if starts := f.startAll(); len(starts) != 8 {
		t.Fatalf("have %d starts, want 8", len(starts))
	}
	f.advance(time.Second)
	step := workload.Step{Count: 1, Estimate: estimate, Needs: workload.Resources{MilliCores: 1000, Accelerators: 4}}
	f.Submit(f.now, &workload.Job{ID: "waiting", Queue: "urgent", Organisation: "without guarantee", Accepted: f.now.Add(-accepted), Steps: []workload.Step{step}})
	return len(f.Step(f.now).Stops)
}

// Guards against: work is thrown away for a job that has nothing to gain from it any more, or whose
// priority the policy does not rate higher than that of the runs.
func TestRunsAreStoppedForWhatAJobIsStillWorth(t *testing.T) {
	weights, equal := policy.FromSettings(nil), policy.FromSettings(nil)
	equal.PriorityStep = 1
	late := 5500 * time.Millisecond
	for name, c := range map[string]struct {
		weights  policy.Policy
		accepted time.Duration
		want     int
	}{
		"on time":                       {weights, 0, 4},
		"late, not expired":             {weights, late, 4},
		"expired":                       {weights, time.Minute, 0},
		"late, priorities do not count": {equal, late, 0},
	} {
		if have := stopsFor(t, c.weights, c.accepted, 2*time.Second); have != c.want {
			t.Errorf("%s: have %d runs stopped, want %d", name, have, c.want)
		}
	}
}

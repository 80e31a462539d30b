package scheduler_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	coldTime = 8 * time.Second
	// coldPace is how many times as long the tests' runs take on a cold target.
	coldPace = 5
)

// newCold returns a fixture whose target t0 has just begun its cold time.
func newCold(t *testing.T, targets int) *fixture {
	f := newFixture(t, targets)
	f.Limits.ColdOverage, f.Limits.ColdSlack = 1.5, 5
	f.TargetListed(f.now, f.coldListing(coldTime))
	return f
}

// coldListing returns an entry of t0 that is written now.
func (f *fixture) coldListing(remaining time.Duration) target.Listing {
	listing := f.listing(0)
	listing.ColdRemaining, listing.Clock = remaining, f.clock()
	return listing
}

// countOn returns the number of starts on t0.
func countOn(starts []scheduler.Start) int {
	return len(slices.DeleteFunc(starts, func(s scheduler.Start) bool { return s.Target != "t0" }))
}

// Guards against: a target that returns cold is filled at once, or stays limited when it is warm.
func TestColdTargetIsLoadedStepByStep(t *testing.T) {
	f := newCold(t, 2)
	f.submit("a", "batch", smallStep(20))
	have := 0
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {coldTime / 2, 4}, {coldTime * 3 / 4, 6}, {coldTime, 8}} {
		f.now = start.Add(step.after)
		if have += countOn(f.startAll()); have != step.want {
			t.Errorf("after %s: have %d tasks on the cold target, want %d", step.after, have, step.want)
		}
		if cold := f.ColdTargets(f.now) == 1; cold != (step.after < coldTime) {
			t.Errorf("after %s: is the target counted as cold: %t", step.after, cold)
		}
	}
}

// Guards against: a cold target has more tasks than ColdOverage and ColdSlack allow, or any limit where
// ColdOverage is not given.
func TestColdTargetHasFewTasksMoreThanWarmOnes(t *testing.T) {
	for overage, want := range map[float64]int{1.5: 6, 0: 8} {
		f := newCold(t, 2)
		f.Limits.ColdOverage = overage
		whole := smallStep(2)
		whole.Needs.Accelerators = 8
		f.submit("whole", "batch", whole)
		f.startAll()
		f.TargetListed(f.now, func() target.Listing {
			listing := f.coldListing(coldTime / 100)
			listing.Capacity = workload.Resources{MilliCores: 16000, MemoryMB: 1600, Accelerators: 16}
			return listing
		}())
		f.submit("many", "batch", smallStep(20))
		if have := countOn(f.startAll()) + 1; overage > 0 && have != want {
			t.Errorf("ColdOverage %v: have %d tasks on the cold target, want %d", overage, have, want)
		} else if overage == 0 && have <= want {
			t.Errorf("ColdOverage 0: have %d tasks on the cold target, want more than %d", have, want)
		}
	}
}

// Guards against: urgent work or a gang on a cold target while a warm one is free, and cold targets that
// work with slack leaves unused.
func TestUrgentWorkAndGangsPreferWarmTargets(t *testing.T) {
	whole := workload.Step{Count: 1, Estimate: 4 * time.Second, Needs: workload.Resources{MilliCores: 5000, MemoryMB: 100, Accelerators: 8}}
	gang := whole
	gang.Gang, gang.Count = true, 2
	f := newCold(t, 4)
	f.submit("urgent", "urgent", whole)
	checkTargets(t, "urgent work", f.startAll(), "t1")
	f.submit("gang", "batch", gang)
	checkTargets(t, "a gang", f.startAll(), "t2", "t3")
	f.submit("rest", "batch", whole)
	checkTargets(t, "work with slack", f.startAll(), "t0")
}

// Guards against: the cold time of a target changes the speed that is known of it, or has its runs moved, and
// a slowdown that is not learned.
func TestRunsOnAColdTargetSayNothingOfItsWarmSpeed(t *testing.T) {
	f := newCold(t, 2)
	var expected float64
	f.Log = func(event string, fields scheduler.Fields) {
		if event == "run placed" && fields["coldRemaining"] != nil {
			expected = fields["expected"].(float64)
		}
	}
	f.TargetListed(f.now, f.coldListing(time.Minute))
	step := smallStep(2)
	step.Estimate, step.Needs.Accelerators = 10*time.Second, 8
	f.submit("a", "batch", step)
	starts := f.startAll()
	if math.Abs(expected-15) > 0.1 {
		t.Errorf("have an expected time of %.2f s, want 15 s from ColdOverage", expected)
	}
	for second := 1; second <= 9; second++ {
		f.advance(time.Second)
		for _, started := range starts {
			i := int(started.Target[1] - '0')
			f.Deadline(f.now, started.Target)
			f.report(i, target.Report{Running: []target.Running{{Run: started.Run, Percent: second * []int{10 / coldPace, 10}[i]}}})
		}
		if stops := f.Step(f.now).Stops; len(stops) > 0 {
			t.Fatalf("after %d s: have stops %v, want none", second, stops)
		}
	}
	if speeds := f.LogSpeeds(); math.Abs(float64(speeds["t0"])) > 0.1 {
		t.Errorf("have the logarithm %.2f of the cold target's usual speed, want about 0", speeds["t0"])
	}
	ends := map[string]int64{}
	f.endAll(starts, ends)
	step.Estimate = 10 * time.Second
	f.submit("b", "batch", step)
	f.startAll()
	if expected < 25 || expected > 50 {
		t.Errorf("have an expected time of %.2f s after a run that took 50 s, want 25 to 50 s", expected)
	}
}

// Guards against: a new planner that takes cold targets for warm ones, or counts their cold time from its own
// start.
func TestNewPlannerKnowsColdTargets(t *testing.T) {
	for age, want := range map[time.Duration]int{0: 1, coldTime / 2: 4, 2 * coldTime: 8} {
		f := newFixture(t, 0)
		f.Limits.ColdOverage, f.Limits.ColdSlack = 1.5, 5
		entry := f.coldListing(coldTime)
		f.now = f.now.Add(age)
		f.TargetListed(f.now, entry)
		f.report(0, target.Report{})
		f.submit("a", "batch", smallStep(20))
		if have := len(f.startAll()); have != want {
			t.Errorf("entry %s old: have %d starts, want %d", age, have, want)
		}
	}
}

// Guards against: a restarted target counts as warm because its former incarnation was, or as cold for good if
// its entry is late. It gets nothing before its entry, since it may be of another kind.
func TestRestartedTargetIsColdAgain(t *testing.T) {
	for listed, want := range map[bool][2]int{false: {0, 8}, true: {1, 7}} {
		f := newCold(t, 1)
		f.advance(2 * coldTime)
		entry := f.coldListing(coldTime)
		entry.Born, entry.Clock = 2, time.Second
		if listed {
			f.TargetListed(f.now, entry)
		}
		f.advance(time.Millisecond)
		f.ReportReceived(f.now, "t0", f.now, target.Report{Born: 2, Clock: time.Second})
		f.submit("a", "batch", smallStep(20))
		if have := len(f.startAll()); have != want[0] {
			t.Errorf("listed %t: have %d starts, want %d", listed, have, want[0])
		}
		if listed {
			entry.ColdRemaining = 0
		} else {
			f.advance(coldTime)
		}
		f.TargetListed(f.now, entry)
		if have := len(f.startAll()); have != want[1] {
			t.Errorf("listed %t: have %d starts after the cold time, want %d", listed, have, want[1])
		}
	}
}

// Guards against: the end of a run on a cold target is expected as if the target stayed cold.
func TestRunsAreExpectedToSpeedUpWhenTheColdTimeEnds(t *testing.T) {
	f := newCold(t, 1)
	step := smallStep(1)
	step.Estimate, step.Needs.Accelerators = 10*time.Second, 8
	f.submit("a", "batch", step)
	started := f.startAll()[0]
	f.submit("b", "batch", step)
	for second := 1; second <= 4; second++ {
		f.advance(time.Second)
		f.report(0, target.Report{Running: []target.Running{{Run: started.Run, Percent: second * 10 / coldPace}}})
		f.Step(f.now)
	}
	if have := f.Load(f.now).Queues["batch"].ExpectedWait; have < 8*time.Second || have > 25*time.Second {
		t.Errorf("have an expected wait of %s for a run that ends in 12.4 s and would take 46 s at its present speed", have)
	}
}

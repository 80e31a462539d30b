package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// lastingStep is a step of tasks that run until their job is cancelled.
func lastingStep(count int, accelerators int64) workload.Step {
	return workload.Step{Count: count, LongRunning: true, Estimate: 100 * time.Millisecond, Needs: workload.Resources{MilliCores: 1000, Accelerators: accelerators}}
}

// gangStep is a gang whose members each use some accelerators.
func gangStep(count int, accelerators int64) workload.Step {
	return workload.Step{Count: count, Gang: true, Estimate: 4 * time.Second, Needs: workload.Resources{MilliCores: 1000, Accelerators: accelerators}}
}

// besideFull returns a fixture of targets of which t0 runs a task of a job "full" that uses all of it.
func besideFull(t *testing.T, targets int, step workload.Step) *fixture {
	f := newFixture(t, 1)
	f.submitFor("without guarantee", "full", "batch", step)
	if starts := f.startAll(); len(starts) != step.Count {
		t.Fatalf("have %d starts on t0, want %d", len(starts), step.Count)
	}
	for i := 1; i < targets; i++ {
		f.TargetListed(f.now, f.listing(i))
		f.report(i, target.Report{})
	}
	f.advance(time.Second)
	return f
}

// later is a step of small tasks that is placed after the gangs of these tests, since its tasks take long.
func later(count int) workload.Step {
	step := smallStep(count)
	step.Estimate = 10 * time.Minute
	return step
}

// startedJobs makes a step, accepts all its starts and counts them by job.
func (f *fixture) startedJobs() map[string]int {
	out := map[string]int{}
	for _, s := range f.startAll() {
		out[s.Run.Task.Job]++
	}
	return out
}

// Guards against: a gang that waits for a target full of lasting tasks reserves all targets for good.
func TestWaitForLastingTasksKeepsNoOtherWorkOut(t *testing.T) {
	f := besideFull(t, 4, lastingStep(8, 1))
	f.submitFor("guaranteed", "gang", "urgent", gangStep(4, 8))
	f.submit("small", "batch", smallStep(3))
	if started := f.startedJobs(); started["small"] != 3 || started["gang"] != 0 {
		t.Errorf("have starts %v, want the three small tasks beside the gang that waits", started)
	}
}

// Guards against: a gang for one rack waits for room in a rack that lasting tasks never leave.
func TestGangForOneRackDoesNotWaitForLastingTasks(t *testing.T) {
	f := newFixture(t, 8)
	lasting := lastingStep(8, 5)
	lasting.MaxPerTarget = 1
	f.submit("lasting", "batch", lasting)
	f.startAll()
	f.advance(time.Second)
	gang := gangStep(8, 3)
	gang.SameRack = true
	f.submit("gang", "batch", gang)
	if started := f.startedJobs(); started["gang"] != 8 {
		t.Errorf("have starts %v, want the gang spread over two racks, since neither can ever hold it", started)
	}
}

// Guards against: a reservation keeps others from capacity that the step it is made for won't use.
func TestReservationLeavesTheRestOfItsTargetsToOthers(t *testing.T) {
	f := besideFull(t, 2, gangStep(1, 8))
	f.submitFor("without guarantee", "gang", "batch", gangStep(2, 6))
	f.submitFor("without guarantee", "small", "batch", later(3))
	if started := f.startedJobs(); started["small"] != 2 || started["gang"] != 0 {
		t.Errorf("have starts %v, want two small tasks beside the six accelerators that the gang needs", started)
	}
}

// Guards against: a gang of which several members fit on a target reserves nothing, so that small work always
// takes what it waits for.
func TestGangReservesRoomForSeveralMembersOnATarget(t *testing.T) {
	f := besideFull(t, 2, gangStep(1, 8))
	f.submitFor("without guarantee", "some", "batch", gangStep(1, 4))
	f.startAll()
	f.submitFor("without guarantee", "gang", "batch", gangStep(6, 1))
	f.submitFor("without guarantee", "small", "batch", later(1))
	if started := f.startedJobs(); len(started) != 0 {
		t.Errorf("have starts %v, want none: the gang needs the four accelerators of t1 and two of t0", started)
	}
}

// Guards against: a reservation that does not ripen keeps a job from a service of which little is in use.
func TestReservationYieldsWhereLittleIsInUse(t *testing.T) {
	long := gangStep(1, 8)
	long.Estimate = time.Hour
	f := besideFull(t, 4, long)
	f.submitFor("without guarantee", "gang", "batch", gangStep(4, 8))
	f.submitFor("without guarantee", "job", "batch", later(2))
	var kept time.Duration
	for started := f.startedJobs(); started["job"] == 0; started = f.startedJobs() {
		if kept > 2*time.Second {
			t.Fatalf("the job was kept out for %s of a service of which a quarter is in use", kept)
		}
		f.advance(100 * time.Millisecond)
		kept += 100 * time.Millisecond
	}
	if kept < time.Second {
		t.Errorf("the reservation held for %s only", kept)
	}
}

// Guards against: lasting tasks wait for room that is reserved for others for longer than they may be down.
func TestReservationYieldsToLastingTasks(t *testing.T) {
	f := besideFull(t, 4, gangStep(1, 8))
	half := gangStep(1, 8)
	half.Estimate = time.Hour
	f.submitFor("without guarantee", "half", "batch", half)
	f.submitFor("without guarantee", "other half", "batch", half)
	f.startAll()
	f.submitFor("without guarantee", "gang", "batch", gangStep(4, 8))
	lasting := lastingStep(2, 1)
	lasting.Estimate = 10 * time.Minute
	f.submitFor("without guarantee", "lasting", "batch", lasting)
	if started := f.startedJobs(); len(started) != 0 {
		t.Fatalf("have starts %v, want none while the gang's reservation is new", started)
	}
	f.advance(2 * time.Second)
	if started := f.startedJobs(); started["lasting"] != 2 {
		t.Errorf("have starts %v after 2 s, want the two lasting tasks", started)
	}
}

// Guards against: a task that its step's limit keeps off a target reserves that target.
func TestTaskAtItsLimitPerTargetReservesNothing(t *testing.T) {
	f := newFixture(t, 1)
	lasting := lastingStep(2, 1)
	lasting.MaxPerTarget = 1
	f.submit("lasting", "urgent", lasting)
	f.startAll()
	f.advance(time.Second)
	f.submit("other", "batch", gangStep(1, 7))
	if started := f.startedJobs(); started["other"] != 1 {
		t.Errorf("have starts %v, want the task that uses the rest of t0, on which the second lasting task may not run", started)
	}
}

// Guards against: the limit per target of one occurrence keeps the next one off that target.
func TestLimitPerTargetHoldsForOneOccurrence(t *testing.T) {
	f := newFixture(t, 1)
	step := smallStep(2)
	step.MaxPerTarget = 1
	f.Submit(f.now, &workload.Job{
		ID: "job", Queue: "batch", Organisation: "o", Accepted: f.now, Steps: []workload.Step{step}, RepeatCount: 2, FirstDue: f.now, Interval: time.Second,
	})
	f.startAll()
	f.advance(time.Second)
	if starts := f.startAll(); len(starts) != 1 || starts[0].Run.Task.Occurrence != 1 {
		t.Errorf("have starts %v, want one of the second occurrence", starts)
	}
}

// Guards against: a gang that lasts and was lost stays down beside room for it in several racks, for as long as work that
// ends by itself some time fills each of them.
func TestLastingGangWaitsForOneRackForAShortTime(t *testing.T) {
	const targets, mostWait = 12, 4 * time.Second
	f := newFixture(t, targets)
	others := wideStep(targets-3, false)
	others.Estimate = time.Hour
	for i := range targets {
		listing := f.listing(i)
		if i%4 != 0 {
			listing.Labels = []string{"others"}
		}
		f.TargetListed(f.now, listing)
	}
	others.RequiredLabel = "others"
	f.submit("others", "batch", others)
	if starts := f.startAll(); len(starts) != targets-3 {
		t.Fatalf("have %d starts, want %d", len(starts), targets-3)
	}
	gang := lastingStep(2, 8)
	gang.Gang, gang.SameRack = true, true
	f.submit("gang", "batch", gang)
	if starts := f.startAll(); len(starts) != 0 {
		t.Errorf("have starts %v at once, want none before it has waited for a rack", starts)
	}
	for begun := f.now; f.now.Sub(begun) < mostWait; f.advance(100 * time.Millisecond) {
		if starts := f.startAll(); len(starts) > 0 {
			return
		}
	}
	t.Errorf("have no start within %s", mostWait)
}

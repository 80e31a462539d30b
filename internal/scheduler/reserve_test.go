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

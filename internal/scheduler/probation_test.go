package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// wideStep is a step whose tasks take whole targets.
func wideStep(count int, gang bool) workload.Step {
	return workload.Step{Count: count, Gang: gang, Estimate: 4 * time.Second, Needs: workload.Resources{Accelerators: 8}}
}

// occupied returns a fixture of 8 targets of which t1 to t7 run a task of their own, and t0 nothing.
func occupied(t *testing.T) *fixture {
	f := newFixture(t, 8)
	f.submit("others", "batch", wideStep(8, false))
	for _, s := range f.startAll() {
		if s.Target == "t0" {
			f.endRun(s, 1, target.Done)
		}
	}
	f.advance(time.Second)
	return f
}

// endRun reports the end of a run.
func (f *fixture) endRun(s scheduler.Start, number int64, outcome target.Outcome) {
	f.t.Helper()
	var i int
	if _, err := fmt.Sscanf(s.Target, "t%d", &i); err != nil {
		f.t.Fatal(err)
	}
	f.report(i, target.Report{Ended: []target.Ended{{Run: s.Run, Number: number, Outcome: outcome}}})
}

// failOnT0 lets jobs of one task each fail on t0, and advances to the end of the pause after that.
func (f *fixture) failOnT0(count int) {
	f.t.Helper()
	for i := range count {
		job := fmt.Sprintf("failing%d", i)
		f.submit(job, "batch", smallStep(1))
		starts := f.startAll()
		if len(starts) != 1 || starts[0].Target != "t0" {
			f.t.Fatalf("have starts %v, want one on t0", starts)
		}
		f.endRun(starts[0], int64(2+i), target.Failed)
		f.Cancel(f.now, records.Cancellation{Job: job})
		f.advance(100 * time.Millisecond)
	}
}

// Guards against gangs that break on a target on which a run has just failed, and against room that is taken
// from single tasks by one failure, which is weak evidence.
func TestTargetWithOneFailureRunsSingleTasksOnly(t *testing.T) {
	f := occupied(t)
	f.failOnT0(1)
	f.submit("urgent", "urgent", smallStep(1))
	if starts := f.startAll(); len(starts) != 0 {
		t.Errorf("have starts %v for work of priority 0 after a failure, want none", starts)
	}
	f.Cancel(f.now, records.Cancellation{Job: "urgent"})
	f.submit("single", "batch", smallStep(2))
	if starts := f.startAll(); len(starts) != 2 {
		t.Errorf("have starts %v for two single tasks after one failure, want both on t0", starts)
	}
	f.submit("gang", "batch", workload.Step{Count: 2, Gang: true, Estimate: time.Second, Needs: workload.Resources{Accelerators: 1}})
	if starts := f.startAll(); len(starts) != 0 {
		t.Errorf("have starts %v for a gang just after a failure, want none", starts)
	}
	f.advance(3500 * time.Millisecond)
	if starts := f.startAll(); len(starts) != 2 {
		t.Errorf("have starts %v for a gang 3.5 s after one failure, want two", starts)
	}
}

// Guards against targets that fail run after run and get several tasks after each pause, and against ones
// that get no more than one when they work again.
func TestTargetOnProbationRunsOneTrialAtATime(t *testing.T) {
	f := occupied(t)
	f.failOnT0(2)
	if have := f.TargetsOnProbation(); have != 1 {
		t.Fatalf("have %d targets on probation after two failures in a row, want 1", have)
	}
	f.submit("single", "batch", smallStep(3))
	if starts := f.startAll(); len(starts) != 0 {
		t.Errorf("have starts %v during the pause, want none", starts)
	}
	f.advance(2 * time.Second)
	trial := f.startAll()
	if len(trial) != 1 || trial[0].Target != "t0" {
		t.Fatalf("have starts %v after the pause, want one on t0", trial)
	}
	f.submit("gang", "batch", workload.Step{Count: 2, Gang: true, Estimate: time.Second, Needs: workload.Resources{Accelerators: 1}})
	f.advance(time.Second)
	if starts := f.startAll(); len(starts) != 0 {
		t.Errorf("have starts %v while the trial runs, want none", starts)
	}
	f.endRun(trial[0], 4, target.Done)
	if starts := f.startAll(); len(starts) != 4 || f.TargetsOnProbation() != 0 {
		t.Errorf("have starts %v and %d targets on probation after the trial is done, want the two tasks and the gang", starts, f.TargetsOnProbation())
	}
}

// Guards against probation for life: a target that nothing is tried on comes back when the evidence is old.
func TestProbationEndsWhenTheEvidenceIsOld(t *testing.T) {
	f := occupied(t)
	f.failOnT0(2)
	f.advance(30 * time.Second)
	f.Step(f.now)
	if have := f.TargetsOnProbation(); have != 0 {
		t.Errorf("have %d targets on probation 30 s after the last failure, want 0", have)
	}
}

// Guards against work that waits although its only room is on targets on probation.
func TestWorkThatOnlyTargetsOnProbationCanHoldStartsThere(t *testing.T) {
	f := occupied(t)
	f.failOnT0(2)
	f.advance(3 * time.Second)
	gang := wideStep(1, true)
	gang.RequiredLabel = "large"
	listing := f.listing(0)
	listing.Labels = []string{"large"}
	f.TargetListed(f.now, listing)
	f.submit("gang", "batch", gang)
	if starts := f.startAll(); len(starts) != 1 || starts[0].Target != "t0" {
		t.Errorf("have starts %v for a gang that only t0 can hold, want one", starts)
	}
}

// Guards against healthy targets that are blamed for a job which fails wherever it runs.
func TestJobThatFailsOnSeveralTargetsIsBlamedItself(t *testing.T) {
	f := newFixture(t, 2)
	f.Configure(&catalogue.Catalogue{Version: 2, Queues: []catalogue.Queue{{Name: "batch", Service: "s", Priority: 2, MaxAttempts: 20, StretchFactor: 3}}})
	f.submit("bad", "batch", wideStep(1, false))
	numbers := map[string]int64{}
	for range 8 {
		starts := f.startAll()
		if len(starts) != 1 {
			t.Fatalf("have starts %v, want one", starts)
		}
		numbers[starts[0].Target]++
		f.endRun(starts[0], numbers[starts[0].Target], target.Failed)
		f.advance(100 * time.Millisecond)
	}
	if have := f.TargetsOnProbation(); have != 0 {
		t.Errorf("have %d targets on probation for one job's failures, want 0", have)
	}
}

// Guards against targets that hang what they start and get more than a trial once the pause is over.
func TestTargetOnWhichARunStalledIsOnProbation(t *testing.T) {
	f := occupied(t)
	f.submit("hangs", "batch", workload.Step{Count: 1, Estimate: 100 * time.Millisecond, Needs: workload.Resources{Accelerators: 1}})
	starts := f.startAll()
	if len(starts) != 1 || starts[0].Target != "t0" {
		t.Fatalf("have starts %v, want one on t0", starts)
	}
	for range 10 {
		f.advance(500 * time.Millisecond)
		f.report(0, target.Report{Running: []target.Running{{Run: starts[0].Run}}})
		f.Step(f.now)
	}
	if have := f.TargetsOnProbation(); have != 1 {
		t.Errorf("have %d targets on probation after a run made no progress for 5 s, want 1", have)
	}
}

// Guards against: tasks that last wait for a sound target that is on probation, because others could hold them if
// these were not full of such tasks for good.
func TestLastingTasksReturnToATargetOnProbation(t *testing.T) {
	f := newFixture(t, 8)
	f.submit("lasting", "batch", lastingStep(64, 1))
	failing := target.Report{}
	for _, s := range f.startAll() {
		if s.Target == "t0" {
			failing.Ended = append(failing.Ended, target.Ended{Run: s.Run, Number: int64(len(failing.Ended) + 1), Outcome: target.Failed})
		}
	}
	f.advance(time.Second)
	f.report(0, failing)
	if have := f.TargetsOnProbation(); have != 1 || len(failing.Ended) != 8 {
		t.Fatalf("have %d targets on probation and %d failures, want 1 and 8", have, len(failing.Ended))
	}
	f.advance(2 * time.Second)
	if starts := f.startAll(); len(starts) != 8 {
		t.Errorf("have %d starts after the pause, want all 8 on t0", len(starts))
	}
}

// Guards against: tasks that last and have failed stay down beside room on a target on probation, because other targets
// could hold them once their runs of hours have ended.
func TestLastingTasksAreTriedOnATargetOnProbation(t *testing.T) {
	// mostDown is within what the users allow: 6 s after the last run, and 3 s more.
	const tasks, mostDown = 3, 8 * time.Second
	f := occupied(t)
	f.submit("lasting", "batch", lastingStep(tasks, 1))
	failing := target.Report{}
	for i, s := range f.startAll() {
		failing.Ended = append(failing.Ended, target.Ended{Run: s.Run, Number: int64(2 + i), Outcome: target.Failed})
	}
	f.advance(time.Second)
	f.report(0, failing)
	if have := f.TargetsOnProbation(); have != 1 || len(failing.Ended) != tasks {
		t.Fatalf("have %d targets on probation and %d failures, want 1 and %d", have, len(failing.Ended), tasks)
	}
	atWork := target.Report{}
	for begun := f.now; f.now.Sub(begun) < mostDown; f.advance(100 * time.Millisecond) {
		f.report(0, atWork)
		for _, s := range f.startAll() {
			atWork.Running = append(atWork.Running, target.Running{Run: s.Run, Percent: 100})
		}
	}
	if have := len(atWork.Running); have != tasks {
		t.Errorf("have %d of %d tasks started again within %s", have, tasks, mostDown)
	}
}

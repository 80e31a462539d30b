package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// fail reports that a run has failed, as the end with the given number on its target, and lets the
// pause of that target pass.
func (f *fixture) fail(failed scheduler.Start, number int64) {
	f.t.Helper()
	index := slices.Index([]string{"t0", "t1"}, failed.Target)
	f.report(index, target.Report{Ended: []target.Ended{{Run: failed.Run, Number: number, Outcome: target.Failed}}})
	f.advance(10 * time.Second)
	for i := range 2 {
		f.report(i, target.Report{})
	}
}

// startOne makes steps until one of them starts a run, accepts the start and returns it.
func (f *fixture) startOne() scheduler.Start {
	f.t.Helper()
	for range 200 {
		if starts := f.startAll(); len(starts) > 0 {
			return starts[0]
		}
		f.advance(100 * time.Millisecond)
		f.report(1, target.Report{})
	}
	f.t.Fatal("no run was started within 20 s")
	return scheduler.Start{}
}

// startAgain accepts the start of run 2 on t1 that giveUpFirst has planned, and returns it.
func (f *fixture) startAgain(first scheduler.Start) scheduler.Start {
	second := scheduler.Start{Run: target.Run{Task: first.Run.Task, Number: 2}, Target: "t1"}
	f.StartSent(second)
	f.StartAnswered(f.now, second, target.Reply{Answer: target.Accepted})
	return second
}

// returns lists t0 again and passes its report that a run failed there.
func (f *fixture) returns(failed target.Run) {
	f.TargetListed(f.now, f.listing(0))
	f.report(0, target.Report{Ended: []target.Ended{{Run: failed, Number: 1, Outcome: target.Failed}}})
}

// phase returns the phase in the last write of a plan.
func phase(plan scheduler.Plan) wire.JobPhase {
	if len(plan.Writes) == 0 {
		return wire.JobPhase_JOB_PHASE_UNSPECIFIED
	}
	return plan.Writes[len(plan.Writes)-1].Record.GetPhase()
}

// Guards against starts beyond the limit of attempts: the failed end of a run that had been given up is
// an attempt like any other.
func TestFailedEndOfAGivenUpRunCounts(t *testing.T) {
	f := newFixture(t, 2)
	first := f.giveUpFirst()
	second := f.startAgain(first)
	f.returns(first.Run)
	f.fail(second, 1)
	third := f.startOne()
	f.fail(third, 2)
	plan := f.Step(f.now)
	if len(plan.Starts) > 0 || phase(plan) != wire.JobPhase_JOB_PHASE_FAILED {
		t.Errorf("after three failed ends: have starts %v and phase %s, want none and the job failed", plan.Starts, phase(plan))
	}
}

// Guards against a run that is stopped although it may yet end as done, and against one more start when
// it does not: the limit is used up by an end that is listed while the last run is alive.
func TestLastRunGoesOnWhenAGivenUpRunHasFailed(t *testing.T) {
	f := newFixture(t, 2)
	first := f.giveUpFirst()
	second := f.startAgain(first)
	f.fail(second, 1)
	third := f.startOne()
	f.fail(third, 2)
	last := f.startOne()
	f.returns(first.Run)
	if plan := f.Step(f.now); len(plan.Starts)+len(plan.Stops) > 0 {
		t.Errorf("after three failed ends: have starts %v and stops %v, want %v to go on", plan.Starts, plan.Stops, last.Run)
	}
	f.fail(last, 3)
	if plan := f.Step(f.now); len(plan.Starts) > 0 || phase(plan) != wire.JobPhase_JOB_PHASE_FAILED {
		t.Errorf("after the last run's end: have starts %v and phase %s, want none and the job failed", plan.Starts, phase(plan))
	}
}

// Guards against jobs that fail too early: an end that a former planner has counted is listed again to
// its successor, if the target has not been told to forget it.
func TestFailedEndIsCountedOncePerRun(t *testing.T) {
	run := target.Run{Task: target.Task{Job: "a"}, Number: 1}
	job := &workload.Job{ID: "a", Queue: "batch", Organisation: "o", Accepted: start, Steps: []workload.Step{smallStep(1)}}
	for name, unit := range map[string]*wire.UnitRecord{
		"this release":    {Run: 1, Failures: 1, FailedRuns: []int32{1}},
		"earlier release": {Run: 1, Failures: 1},
	} {
		f := newFixture(t, 2)
		f.Restore(f.now, job, &wire.ProgressRecord{Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitRecord{unit}})
		f.report(0, target.Report{Ended: []target.Ended{{Run: run, Number: 1, Outcome: target.Failed}}})
		f.fail(f.startOne(), 2)
		if next := f.startOne(); next.Run.Number != 3 {
			t.Errorf("%s: have start %v after two failed runs, want run 3", name, next)
		}
	}
}

// Guards against runs beyond the limit: a run that is alive when an earlier release's record is read
// still counts when it fails.
func TestCurrentRunOfAnEarlierReleasesRecordCounts(t *testing.T) {
	job := &workload.Job{ID: "a", Queue: "batch", Organisation: "o", Accepted: start, Steps: []workload.Step{smallStep(1)}}
	second := scheduler.Start{Run: target.Run{Task: target.Task{Job: "a"}, Number: 2}, Target: "t1"}
	f := newFixture(t, 2)
	f.Restore(f.now, job, &wire.ProgressRecord{Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitRecord{{Run: 2, Failures: 1, Targets: []string{"t1"}}}})
	f.fail(second, 1)
	f.fail(f.startOne(), 2)
	if plan := f.Step(f.now); len(plan.Starts) > 0 || phase(plan) != wire.JobPhase_JOB_PHASE_FAILED {
		t.Errorf("after three failed runs: have starts %v and phase %s, want none and the job failed", plan.Starts, phase(plan))
	}
}

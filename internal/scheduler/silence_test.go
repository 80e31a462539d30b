package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// silence passes time in which the planner's renewals to t0 go unanswered and all other targets
// report. It returns the starts that were planned.
func (f *fixture) silence(wait time.Duration) []scheduler.Start {
	var starts []scheduler.Start
	for end := f.now.Add(wait); f.now.Before(end); f.advance(100 * time.Millisecond) {
		f.RenewalSent(f.now, "t0")
		f.Deadline(f.now, "t0")
		f.report(1, target.Report{})
		starts = append(starts, f.Step(f.now).Starts...)
	}
	return starts
}

// giveUpFirst starts a job of one task on t0, removes the entry of t0, and lets its lease end. It
// returns the start that was given up; the next run is planned but not sent.
func (f *fixture) giveUpFirst() scheduler.Start {
	f.t.Helper()
	first := f.startFirst(target.Accepted)
	f.TargetUnlisted(f.now, "t0")
	if again := f.silence(lease + 4*time.Second); len(again) != 1 || again[0].Target != "t1" {
		f.t.Fatalf("have starts %v after the lease of t0 has ended, want one on t1", again)
	}
	return first
}

// Guards against: work that ran to its end is run again, because the answer that says so came after
// the target had been given up.
func TestEndOfARunThatWasGivenUpCompletesItsTask(t *testing.T) {
	f := newFixture(t, 2)
	first := f.giveUpFirst()
	second := scheduler.Start{Run: target.Run{Task: first.Run.Task, Number: 2}, Target: "t1"}
	f.TargetListed(f.now, f.listing(0))
	f.report(0, target.Report{Ended: []target.Ended{{Run: first.Run, Number: 1, Outcome: target.Done}}})
	plan := f.Step(f.now)
	if f.StartSent(second) {
		t.Error("the next run is still wanted after the first one's end as done was listed")
	}
	if len(plan.Writes) != 1 || !plan.Writes[0].Record.GetUnits()[0].GetDone() || plan.Ends["t0"].Number != 1 {
		t.Errorf("have writes %v and ends %v, want the task as done with the end", plan.Writes, plan.Ends)
	}
}

// Guards against: the end as done of one gang member's former run leaves the new run alive.
func TestEndOfAGangThatWasGivenUpStopsItsNextRun(t *testing.T) {
	f := newFixture(t, 2)
	gang := smallStep(2)
	gang.Gang, gang.Needs = true, workload.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 4}
	f.submit("a", "batch", gang)
	first := f.startAll()
	if len(first) != 2 || first[0].Target != "t0" || first[1].Target != "t0" {
		t.Fatalf("have starts %v, want both on t0", first)
	}
	f.Deadline(f.now, "t0")
	f.TargetUnlisted(f.now, "t0")
	again := f.silence(lease + 4*time.Second)
	if len(again) != 2 {
		t.Fatalf("have starts %v, want two on t1", again)
	}
	for _, s := range again {
		f.StartSent(s)
		f.StartAnswered(f.now, s, target.Reply{Answer: target.Accepted})
	}
	f.TargetListed(f.now, f.listing(0))
	f.report(0, target.Report{Ended: []target.Ended{{Run: first[0].Run, Number: 1, Outcome: target.Done}}})
	if plan := f.Step(f.now); len(plan.Stops) != 2 || len(plan.Starts) != 0 {
		t.Errorf("have stops %v and starts %v, want both members of the next run stopped", plan.Stops, plan.Starts)
	}
}

// Guards against: a target that is alive, since its entry stays, has its runs started elsewhere as
// soon as the planner has not heard from it for the time of a lease.
func TestRunsOfASilentTargetAreKeptWhileItsEntryStays(t *testing.T) {
	f := newFixture(t, 2)
	f.startFirst(target.Accepted)
	if again := f.silence(lease + 4*time.Second); len(again) != 0 {
		t.Errorf("have starts %v while t0 is listed, want none yet", again)
	}
	if again := f.silence(5 * time.Second); len(again) != 1 {
		t.Errorf("have starts %v after t0 was silent for so long, want one", again)
	}
}

// Guards against: the runs of a target that has gone wait as if it were alive.
func TestRunsOfASilentTargetStartElsewhereOnceItsEntryIsGone(t *testing.T) {
	f := newFixture(t, 2)
	f.startFirst(target.Accepted)
	f.silence(lease + 3*time.Second)
	f.TargetUnlisted(f.now, "t0")
	if again := f.silence(300 * time.Millisecond); len(again) != 1 {
		t.Errorf("have starts %v after the entry of t0 was removed and its leases had ended, want one", again)
	}
}

// Guards against: silence is taken for a run without progress, and the run is moved.
func TestRunsOfASilentTargetAreNotMoved(t *testing.T) {
	f := newFixture(t, 2)
	short := smallStep(1)
	short.Estimate = time.Second
	f.submit("a", "batch", short)
	first := f.startAll()[0]
	for _, percent := range []int{0, 70} {
		f.advance(700 * time.Millisecond)
		f.Deadline(f.now, "t0")
		f.report(0, target.Report{Running: []target.Running{{Run: first.Run, Percent: percent}}})
	}
	for range 62 {
		f.advance(100 * time.Millisecond)
		if stops := f.Step(f.now).Stops; len(stops) > 0 {
			t.Fatalf("have stops %v %s after the last report, want none", stops, f.now.Sub(start))
		}
	}
}

// Guards against: tasks that last are down for longer than users allow, 9 s, where targets grant leases of 10 s.
func TestLastingTasksOfALostTargetStartElsewhereInTime(t *testing.T) {
	const mostDown = 9 * time.Second
	f := newFixture(t, 2)
	f.Limits.TaskLease = 10 * time.Second
	f.submit("lasting", "batch", lastingStep(1, 1))
	first := f.startAll()[0]
	if first.Target != "t0" {
		t.Fatalf("have a start on %s, want t0", first.Target)
	}
	for range 60 {
		f.advance(100 * time.Millisecond)
		f.RenewalSent(f.now, "t0")
		f.Deadline(f.now, "t0")
		f.report(0, target.Report{Running: []target.Running{{Run: first.Run, Percent: 100}}})
	}
	lost := f.now
	f.advance(100 * time.Millisecond)
	if starts := f.silence(4500 * time.Millisecond); len(starts) > 0 {
		t.Fatalf("have starts %v while the lease lasts, want none", starts)
	}
	f.TargetUnlisted(f.now, "t0")
	for ; f.now.Sub(lost) < mostDown; f.advance(100 * time.Millisecond) {
		f.report(1, target.Report{})
		if len(f.Step(f.now).Starts) > 0 {
			return
		}
	}
	t.Errorf("not started elsewhere within %s", mostDown)
}

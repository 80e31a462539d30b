package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// firstBorn is the Born of the targets that the fixture lists.
const firstBorn = 1

// restart lists a target's entry by a new incarnation.
func (f *fixture) restart(i int, born int64) {
	listing := f.listing(i)
	listing.Born = born
	f.TargetListed(f.now, listing)
}

// reportFrom passes a report by the given incarnation, which was requested at sent.
func (f *fixture) reportFrom(i int, born int64, sent time.Time, report target.Report) {
	report.Born, report.Clock = born, f.clock()
	f.ReportReceived(f.now, f.listing(i).ID, sent, report)
}

// placeFirst submits a job of one task and returns its start, which is not sent yet.
func (f *fixture) placeFirst() scheduler.Start {
	f.t.Helper()
	f.submit("a", "batch", smallStep(1))
	starts := f.Step(f.now).Starts
	if len(starts) != 1 || starts[0].Target != "t0" {
		f.t.Fatalf("have starts %v, want one on t0", starts)
	}
	return starts[0]
}

// send records that a start is sent with a lease.
func (f *fixture) send(start scheduler.Start) {
	f.StartSent(start)
	f.Deadline(f.now, start.Target)
}

// startFirst submits a job of one task, sends its start with a lease and passes the answer.
func (f *fixture) startFirst(answer target.Answer) scheduler.Start {
	f.t.Helper()
	first := f.placeFirst()
	f.send(first)
	f.StartAnswered(f.now, first, target.Reply{Answer: answer})
	return first
}

// wantNoStart makes the steps of a second and fails if one of them starts a run. It returns the
// stops.
func (f *fixture) wantNoStart(reason string) []scheduler.Stop {
	f.t.Helper()
	var stops []scheduler.Stop
	for range 20 {
		plan := f.Step(f.now)
		stops = append(stops, plan.Stops...)
		if len(plan.Starts) > 0 {
			f.t.Fatalf("have starts %v after %s, want none: %s", plan.Starts, f.now.Sub(start), reason)
		}
		f.advance(50 * time.Millisecond)
		f.report(1, target.Report{})
	}
	return stops
}

// wantNextRun makes the steps of a second and fails unless one of them starts run 2.
func (f *fixture) wantNextRun(reason string) {
	f.t.Helper()
	for range 20 {
		if starts := f.Step(f.now).Starts; len(starts) > 0 {
			if starts[0].Run.Number != 2 {
				f.t.Fatalf("have start %v, want run 2", starts[0])
			}
			return
		}
		f.advance(50 * time.Millisecond)
	}
	f.t.Fatalf("run 2 was not started within a second: %s", reason)
}

// Guards against two runs of one task: a start that is in transit when its target restarts can
// reach the new incarnation, so the task must not start elsewhere before the new incarnation has
// accepted a stop and reported without the run.
func TestStartInTransitAtARestartIsStoppedFirst(t *testing.T) {
	f := newFixture(t, 2)
	first := f.placeFirst()
	f.send(first)
	f.restart(0, firstBorn+1)
	stops := f.wantNoStart("the start may have reached the new incarnation")
	if len(stops) != 1 || stops[0].Run != first.Run {
		t.Fatalf("have stops %v, want one of %v", stops, first.Run)
	}
	f.StartAnswered(f.now, first, target.Reply{Answer: target.Accepted})
	running := target.Report{Running: []target.Running{{Run: first.Run}}}
	f.reportFrom(0, firstBorn+1, f.now, running)
	f.wantNoStart("the new incarnation lists the run")
	f.StopAnswered(f.now, stops[0], firstBorn+1, target.Reply{Answer: target.Accepted})
	f.advance(10 * time.Millisecond)
	f.reportFrom(0, firstBorn+1, f.now, target.Report{Ended: []target.Ended{{Run: first.Run, Number: 1, Outcome: target.Stopped}}})
	f.wantNextRun("the new incarnation has listed the run's end")
}

// Guards against two runs of one task: the new incarnation knows nothing of a stop that the former
// one accepted, and an unanswered start may still reach it.
func TestStopThatTheFormerIncarnationAcceptedIsRepeated(t *testing.T) {
	f := newFixture(t, 2)
	f.startFirst(target.Unanswered)
	f.Cancel(f.now, records.Cancellation{Job: "a"})
	stop := f.Step(f.now).Stops[0]
	f.restart(0, firstBorn+1)
	f.StopAnswered(f.now, stop, firstBorn, target.Reply{Answer: target.Accepted})
	if stops := f.Step(f.now).Stops; len(stops) != 1 || !f.StopPending(stops[0]) {
		t.Errorf("have stops %v, want one that is pending at the new incarnation", stops)
	}
}

// Guards against two runs of one task: a target can accept a start after a restart of which the
// planner has not heard yet, and then the run is alive.
func TestRunThatTheNewIncarnationListsIsKept(t *testing.T) {
	tests := map[string]func(f *fixture, run target.Run){
		"restart shown by the report": func(f *fixture, run target.Run) {
			f.reportFrom(0, firstBorn+1, f.now, target.Report{Running: []target.Running{{Run: run}}})
		},
		"restart shown by the entry": func(f *fixture, run target.Run) {
			f.restart(0, firstBorn+1)
			f.wantNoStart("no report of the new incarnation has come yet")
			f.reportFrom(0, firstBorn+1, f.now, target.Report{Running: []target.Running{{Run: run}}})
		},
	}
	for name, learn := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			first := f.startFirst(target.Accepted)
			f.advance(100 * time.Millisecond)
			learn(f, first.Run)
			if stops := f.wantNoStart("the new incarnation lists the run"); len(stops) > 0 {
				t.Errorf("have stops %v, want none", stops)
			}
		})
	}
}

// Guards against tasks that wait for a dead target: a report of the new incarnation that does not
// list a run shows that it ended with the former one.
func TestRunThatTheNewIncarnationDoesNotListIsRestarted(t *testing.T) {
	f := newFixture(t, 2)
	f.startFirst(target.Accepted)
	f.advance(100 * time.Millisecond)
	f.reportFrom(0, firstBorn+1, f.now, target.Report{})
	f.wantNextRun("the new incarnation does not list run 1")
}

// Guards against two runs of one task: after a restart it is not known which leases the new
// incarnation was given, and the wait for them begins at the restart, however long the planner
// has known the target.
func TestWaitForLeasesAfterARestartBeginsAtTheRestart(t *testing.T) {
	f := newFixture(t, 2)
	f.advance(time.Minute)
	f.report(0, target.Report{})
	f.report(1, target.Report{})
	f.startFirst(target.Unanswered)
	f.restart(0, firstBorn+1)
	f.wantNoStart("the unanswered start may reach the new incarnation")
}

// Guards against targets that are lost for good: Born is a time of day, which may have been set
// back, so an incarnation with an earlier Born can be the newer one.
func TestIncarnationWithAnEarlierBornIsTheNewOne(t *testing.T) {
	f := newFixture(t, 2)
	f.startFirst(target.Accepted)
	f.advance(100 * time.Millisecond)
	f.restart(0, firstBorn-10)
	f.reportFrom(0, firstBorn-10, f.now, target.Report{})
	f.wantNextRun("the target has restarted with an earlier Born and does not list run 1")
	if status := f.TargetStatus(f.now, "t0"); status.Listing.Born != firstBorn-10 || status.NeedsReport {
		t.Errorf("have status %+v, want the incarnation %d with a report", status, firstBorn-10)
	}
}

// Guards against a late report of a dead incarnation: one that was requested before the planner
// heard of the restart says nothing about the new incarnation.
func TestLateReportOfTheFormerIncarnationIsIgnored(t *testing.T) {
	f := newFixture(t, 2)
	f.startFirst(target.Accepted)
	f.advance(100 * time.Millisecond)
	sent := f.now
	f.advance(100 * time.Millisecond)
	f.restart(0, firstBorn+1)
	f.reportFrom(0, firstBorn, sent, target.Report{})
	f.wantNoStart("only the former incarnation has reported")
}

// Guards against two runs of one task: a target that leaves renewals unanswered may have
// restarted, and the new incarnation's clock has started anew, so that a deadline on the former
// clock would prolong its leases each time while the planner counts on their end.
func TestUnansweredRenewalsProlongNoLease(t *testing.T) {
	f := newFixture(t, 2)
	f.startFirst(target.Accepted)
	f.RenewalSent(f.now.Add(time.Millisecond), "t0")
	f.advance(2 * time.Second)
	if have := f.Deadline(f.now, "t0"); have != 0 {
		t.Errorf("Deadline for a target that has not answered for 2 s: have %s, want none", have)
	}
}

// Guards against tasks that wait for a target that does not answer: a start that was never sent
// there can be placed elsewhere at once.
func TestStartThatWasNotSentLeavesAnUnresponsiveTarget(t *testing.T) {
	f := newFixture(t, 2)
	first := f.placeFirst()
	f.RenewalSent(f.now.Add(time.Millisecond), "t0")
	f.advance(2 * time.Second)
	f.report(1, target.Report{})
	if f.StartHeldBack(f.now, first) {
		t.Error("the start that was never sent is still wanted")
	}
	f.wantNextRun("run 1 was never sent")
}

// Guards against two runs of one task: a start that was sent and not answered may have been
// carried out, so it is kept until the leases have ended.
func TestStartThatWasSentStaysOnAnUnresponsiveTarget(t *testing.T) {
	f := newFixture(t, 2)
	first := f.startFirst(target.Unanswered)
	f.RenewalSent(f.now.Add(time.Millisecond), "t0")
	f.advance(2 * time.Second)
	f.report(1, target.Report{})
	if !f.StartHeldBack(f.now, first) {
		t.Error("the start that may have been carried out is no longer wanted")
	}
	f.wantNoStart("run 1 may be alive on t0")
}

// Guards against a second run of a finished task: a copy of a start that was not answered may be
// carried out seconds later by a new incarnation, which knows nothing of the run's end.
func TestLateStartOfAClosedRunIsStoppedAfterARestart(t *testing.T) {
	f := newFixture(t, 2)
	first := f.startFirst(target.Unanswered)
	f.report(0, target.Report{Ended: []target.Ended{{Run: first.Run, Number: 1, Outcome: target.Done}}})
	f.Step(f.now)
	f.advance(2 * time.Second)
	f.restart(0, firstBorn+1)
	stops := f.Step(f.now).Stops
	if len(stops) != 1 || stops[0].Run != first.Run {
		t.Fatalf("have stops %v, want one of %v", stops, first.Run)
	}
	f.StopAnswered(f.now, stops[0], firstBorn+1, target.Reply{Answer: target.Unanswered})
	if !f.StopPending(stops[0]) {
		t.Error("the stop is no longer pending, though the new incarnation has not accepted it")
	}
	f.StopAnswered(f.now, stops[0], firstBorn+1, target.Reply{Answer: target.Accepted})
	if f.StopPending(stops[0]) {
		t.Error("the stop is still pending, though the new incarnation has accepted it")
	}
}

// Guards against a flood of orders: a run that is being stopped is listed until it has ended.
func TestUnknownRunIsStoppedOncePerInterval(t *testing.T) {
	f := newFixture(t, 1)
	unknown := target.Report{Running: []target.Running{{Run: target.Run{Task: target.Task{Job: "x"}, Number: 1}}}}
	stops := 0
	for range 100 {
		f.report(0, unknown)
		stops += len(f.Step(f.now).Stops)
		f.advance(10 * time.Millisecond)
	}
	if stops != 2 {
		t.Errorf("stops of an unknown run in a second of reports: have %d, want 2", stops)
	}
}

// Guards against tasks that wait for a dead target: an entry of the store may come from another
// writer, and a lease by its clock would count as not ended long after the target is gone.
func TestLeaseIsGrantedByTheReportedClock(t *testing.T) {
	for name, born := range map[string]int64{"same incarnation": firstBorn, "no incarnation": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			entry := f.listing(0)
			entry.Born, entry.Clock = born, f.clock()+time.Hour
			f.TargetListed(f.now, entry)
			if have, want := f.Deadline(f.now, "t0"), f.clock()+lease; have != want {
				t.Errorf("Deadline after an entry with another clock: have %s, want %s", have, want)
			}
		})
	}
}

// Guards against two runs of one task: a repeated start was accepted while an earlier copy is still
// in transit, and a new incarnation that does not list the run would carry that copy out.
func TestConfirmedRunWithAnUnansweredCopyWaitsForItsStopAfterARestart(t *testing.T) {
	tests := map[string]func(f *fixture){
		"restart shown by the report": func(*fixture) {},
		"restart shown by the entry":  func(f *fixture) { f.restart(0, firstBorn+1) },
	}
	for name, learn := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			first := f.placeFirst()
			f.send(first)
			f.StartAnswered(f.now, first, target.Reply{Answer: target.Unanswered})
			f.send(first)
			f.StartAnswered(f.now, first, target.Reply{Answer: target.Accepted})
			f.report(0, target.Report{Running: []target.Running{{Run: first.Run}}})
			f.advance(100 * time.Millisecond)
			learn(f)
			f.advance(100 * time.Millisecond)
			f.reportFrom(0, firstBorn+1, f.now, target.Report{})
			stops := f.wantNoStart("the new incarnation has not accepted the stop, so it would carry out the earlier copy")
			if len(stops) != 1 || !f.StopPending(stops[0]) {
				t.Fatalf("have stops %v, want one that is pending at the new incarnation", stops)
			}
			f.StopAnswered(f.now, stops[0], firstBorn+1, target.Reply{Answer: target.Accepted})
			f.advance(10 * time.Millisecond)
			f.reportFrom(0, firstBorn+1, f.now, target.Report{})
			f.wantNextRun("the new incarnation has accepted the stop and does not list the run")
		})
	}
}

// Guards against two runs of one task: on the clock of a new incarnation the deadline of a draining
// target's lease is far ahead, so the lease lasts for the maximum.
func TestLeaseOfADrainingTargetIsWholeAfterARestart(t *testing.T) {
	f := newFixture(t, 2)
	f.advance(time.Minute)
	f.report(0, target.Report{})
	f.report(1, target.Report{})
	first := f.placeFirst()
	draining := f.listing(0)
	draining.Draining = true
	f.TargetListed(f.now, draining)
	f.send(first)
	f.StartAnswered(f.now, first, target.Reply{Answer: target.Unanswered})
	sent := f.now
	f.restart(0, firstBorn+1)
	for f.now.Sub(sent) < lease {
		f.report(1, target.Report{})
		f.wantNoStart("the new incarnation may have been given a whole lease")
	}
}

// Guards against two runs of one task: on the clock of a new incarnation the short lease of a draining
// target is a whole one, and a run that it accepted has no unanswered start to wait for.
func TestAcceptedRunOfADrainingTargetHasAWholeLeaseAfterARestart(t *testing.T) {
	f := newFixture(t, 2)
	f.advance(time.Minute)
	f.report(0, target.Report{})
	f.report(1, target.Report{})
	first := f.placeFirst()
	draining := f.listing(0)
	draining.Draining = true
	f.TargetListed(f.now, draining)
	f.send(first)
	f.StartAnswered(f.now, first, target.Reply{Answer: target.Accepted})
	accepted := f.now
	f.restart(0, firstBorn+1)
	for f.now.Sub(accepted) < lease {
		f.report(1, target.Report{})
		f.wantNoStart("the new incarnation may have accepted the run")
	}
}

// Guards against two runs of one task: a silent new incarnation may carry out a late copy of a start
// after the leases have ended, so the task waits and the stop is repeated until it is accepted.
func TestLateStartAtASilentNewIncarnationIsStoppedFirst(t *testing.T) {
	f := newFixture(t, 2)
	f.advance(time.Minute)
	f.report(0, target.Report{})
	f.report(1, target.Report{})
	first := f.placeFirst()
	f.send(first)
	f.restart(0, firstBorn+1)
	f.StartAnswered(f.now, first, target.Reply{Answer: target.Unanswered})
	stops := f.Step(f.now).Stops
	if len(stops) != 1 {
		t.Fatalf("have stops %v, want one", stops)
	}
	f.advance(lease + 2*time.Second)
	f.report(1, target.Report{})
	f.wantNoStart("the start may still be carried out")
	if !f.StopPending(stops[0]) {
		t.Error("the stop is no longer pending, though the new incarnation has not accepted it")
	}
	f.StopAnswered(f.now, stops[0], firstBorn+1, target.Reply{Answer: target.Accepted})
	f.advance(10 * time.Millisecond)
	f.reportFrom(0, firstBorn+1, f.now, target.Report{})
	f.wantNextRun("the new incarnation refuses run 1")
}

// Guards against tasks that wait for good: a start that was not answered is not carried out for ever.
func TestTaskOfALateStartStartsAgainInTheEnd(t *testing.T) {
	f := newFixture(t, 2)
	f.startFirst(target.Unanswered)
	f.restart(0, firstBorn+1)
	f.advance(30 * time.Second)
	f.report(1, target.Report{})
	f.wantNextRun("30 s have passed")
}

// Guards against targets that are lost for good: the first sign of an incarnation whose time of day
// was set back may be its report, since a target that is cut off from the store writes no entry.
func TestReportWithAnEarlierBornShowsARestart(t *testing.T) {
	f := newFixture(t, 2)
	f.startFirst(target.Accepted)
	f.advance(100 * time.Millisecond)
	f.reportFrom(0, firstBorn-10, f.now, target.Report{})
	f.wantNextRun("the target has restarted with an earlier Born and does not list run 1")
}

// Guards against two runs of one task: a start that gets no answer may be carried out 12 s later,
// and in a new incarnation its deadline has not passed.
func TestLateStartAtASilentNewIncarnationKeepsItsTask(t *testing.T) {
	const latest = 12 * time.Second
	f := newFixture(t, 2)
	f.advance(time.Minute)
	f.report(0, target.Report{})
	f.report(1, target.Report{})
	f.startFirst(target.Unanswered)
	sent := f.now
	f.restart(0, firstBorn+1)
	for f.now.Sub(sent) < latest {
		f.report(1, target.Report{})
		f.wantNoStart("the new incarnation may carry out the start, and has accepted no stop")
	}
}

// Guards against two runs of one task: a report that lists an earlier run as running shows that it is
// alive, so the task must not start again before that run has ended.
func TestTaskWaitsForAnEarlierRunThatATargetLists(t *testing.T) {
	f := newFixture(t, 2)
	first := f.startFirst(target.Unanswered)
	f.StartAnswered(f.now, first, target.Reply{Answer: target.Unhealthy})
	stop := f.Step(f.now).Stops[0]
	f.StopAnswered(f.now, stop, firstBorn, target.Reply{Answer: target.Accepted})
	f.advance(10 * time.Millisecond)
	f.report(0, target.Report{})
	f.advance(10 * time.Millisecond)
	// The new incarnation has carried the start out late.
	listed := target.Report{Running: []target.Running{{Run: first.Run}}}
	f.reportFrom(0, firstBorn+1, f.now, listed)
	f.advance(100 * time.Millisecond)
	f.reportFrom(0, firstBorn+1, f.now, listed)
	f.wantNoStart("t0 lists run 1, which is being stopped")
	f.reportFrom(0, firstBorn+1, f.now, target.Report{Ended: []target.Ended{{Run: first.Run, Number: 1, Outcome: target.Stopped}}})
	f.wantNextRun("run 1 has ended")
}

// Guards against tasks that wait for a dead target: a lease that was granted by the clock of an entry
// before the first report has ended when that report's clock says so.
func TestFirstReportCorrectsTheEndOfTheLease(t *testing.T) {
	for name, tt := range map[string]struct {
		listed bool
		// earliest and latest bound the next start, counted from the last order.
		earliest, latest time.Duration
	}{
		"entry removed": {false, lease, lease + 3*time.Second},
		"entry stays":   {true, lease + 5*time.Second, lease + 8*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			job := &workload.Job{ID: "a", Queue: "batch", Organisation: "o", Accepted: f.now, Steps: []workload.Step{smallStep(1)}}
			f.Restore(f.now, job, &wire.ProgressRecord{
				Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitRecord{{Run: 1, Targets: []string{"t0"}}},
			})
			entry := f.listing(0)
			entry.Clock = f.clock() + time.Hour
			f.TargetListed(f.now, entry)
			f.TargetListed(f.now, f.listing(1))
			f.Deadline(f.now, "t0")
			f.report(0, target.Report{Running: []target.Running{{Run: target.Run{Task: target.Task{Job: "a"}, Number: 1}}}})
			f.RenewalSent(f.now.Add(time.Millisecond), "t0")
			if !tt.listed {
				f.TargetUnlisted(f.now, "t0")
			}
			f.wantNextRunBetween(tt.earliest, tt.latest)
		})
	}
}

// wantNextRunBetween makes steps, while t1 reports, until a run is started, and fails unless that is run
// 2 on t1 between two times from now.
func (f *fixture) wantNextRunBetween(earliest, latest time.Duration) {
	f.t.Helper()
	begun := f.now
	for ; f.now.Sub(begun) <= latest; f.advance(100 * time.Millisecond) {
		f.report(1, target.Report{})
		starts := f.Step(f.now).Starts
		if len(starts) == 0 {
			continue
		}
		if after := f.now.Sub(begun); len(starts) != 1 || starts[0].Run.Number != 2 || starts[0].Target != "t1" || after < earliest {
			f.t.Errorf("have starts %v after %s, want run 2 on t1 after %s at the earliest", starts, after, earliest)
		}
		return
	}
	f.t.Errorf("have no start within %s", latest)
}

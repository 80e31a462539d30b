package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// placeWide submits a job whose task takes a whole target, and returns where it starts; "" for nowhere.
func (f *fixture) placeWide(id string) string {
	f.submit(id, "batch", workload.Step{Count: 1, Estimate: 4 * time.Second, Needs: workload.Resources{Accelerators: 8}})
	starts := f.Step(f.now).Starts
	if len(starts) == 0 {
		return ""
	}
	return starts[0].Target
}

// Guards against gangs that wait for a member on a target which has just stopped answering: one that
// left an order unanswered gets no start until it has accepted a later one.
func TestTargetThatLeftAnOrderUnansweredGetsNoStart(t *testing.T) {
	f := newFixture(t, 1)
	sentBefore := f.now
	f.advance(10 * time.Millisecond)
	f.OrderAnswered(f.now, "t0", sentBefore, target.Unanswered)
	if have := f.placeWide("a"); have != "" {
		t.Errorf("placed on %s, which left an order unanswered, want nowhere", have)
	}
	f.advance(10 * time.Millisecond)
	f.OrderAnswered(f.now, "t0", sentBefore, target.Accepted)
	if starts := f.Step(f.now).Starts; len(starts) != 0 {
		t.Errorf("have starts %v after an order was accepted that had been sent before, want none", starts)
	}
	sent := f.now
	f.advance(10 * time.Millisecond)
	f.OrderAnswered(f.now, "t0", sent, target.Accepted)
	if starts := f.Step(f.now).Starts; len(starts) != 1 {
		t.Errorf("have starts %v after a later order was accepted, want one", starts)
	}
}

// Guards against a gang that waits for a member which was placed before its target stopped answering:
// none of its starts was sent, so it starts elsewhere at once.
func TestStartOnASuspectTargetIsWithdrawn(t *testing.T) {
	f := newFixture(t, 3)
	f.submit("a", "batch", workload.Step{Count: 2, Gang: true, Estimate: time.Second, Needs: workload.Resources{Accelerators: 8}})
	starts := f.Step(f.now).Starts
	if len(starts) != 2 {
		t.Fatalf("have starts %v, want two", starts)
	}
	f.OrderAnswered(f.now, starts[0].Target, f.now, target.Unanswered)
	if f.StartHeldBack(f.now, starts[0]) {
		t.Error("a start that was not sent to a suspect target is still wanted")
	}
	again := f.Step(f.now).Starts
	if len(again) != 2 || again[0].Target == starts[0].Target || again[1].Target == starts[0].Target {
		t.Errorf("have starts %v, want the gang on the two other targets", again)
	}
}

// Guards against starts that are never repeated: one that was sent to a target before it became suspect
// is still wanted.
func TestStartThatWasSentToASuspectTargetIsRepeated(t *testing.T) {
	f := newFixture(t, 2)
	first := f.startFirst(target.Unanswered)
	f.OrderAnswered(f.now, "t0", f.now, target.Unanswered)
	if !f.StartHeldBack(f.now, first) {
		t.Error("an unanswered start is no longer wanted")
	}
}

// startGang submits a gang of two that takes two whole targets, and answers its starts in order.
func (f *fixture) startGang(answers ...target.Answer) []scheduler.Start {
	f.t.Helper()
	f.submit("a", "batch", workload.Step{Count: 2, Gang: true, Estimate: time.Second, Needs: workload.Resources{Accelerators: 8}})
	starts := f.Step(f.now).Starts
	if len(starts) != 2 || starts[0].Target != "t0" || starts[1].Target != "t1" {
		f.t.Fatalf("have starts %v, want one on t0 and one on t1", starts)
	}
	for i, s := range starts {
		f.send(s)
		f.OrderAnswered(f.now, s.Target, f.now, answers[i])
		f.StartAnswered(f.now, s, target.Reply{Answer: answers[i]})
	}
	return starts
}

// endStopped accepts a stop and reports the end of its run.
func (f *fixture) endStopped(i int, stop scheduler.Stop, number int64) {
	f.StopAnswered(f.now, stop, firstBorn, target.Reply{Answer: target.Accepted})
	f.advance(time.Millisecond)
	f.report(i, target.Report{Ended: []target.Ended{{Run: stop.Run, Number: number, Outcome: target.Stopped}}})
}

// Guards against room that members of a gang hold for seconds while another member's start is unanswered,
// and against a second run of that member: its gang starts again only when its target, which has accepted
// the stop, doesn't list it.
func TestGangWhoseMemberIsMissingIsStoppedEarly(t *testing.T) {
	f := newFixture(t, 3)
	f.startGang(target.Accepted, target.Unanswered)
	f.advance(200 * time.Millisecond)
	if stops := f.Step(f.now).Stops; len(stops) != 0 {
		t.Fatalf("have stops %v while the start can be repeated, want none", stops)
	}
	f.advance(200 * time.Millisecond)
	stops := f.Step(f.now).Stops
	if len(stops) != 2 {
		t.Fatalf("have stops %v after the start was unanswered for 400 ms, want both members", stops)
	}
	f.endStopped(0, stops[0], 1)
	f.advance(100 * time.Millisecond)
	if starts := f.Step(f.now).Starts; len(starts) != 0 {
		t.Fatalf("have starts %v while the unanswered start may be carried out, want none", starts)
	}
	if !f.StopAnswered(f.now, stops[1], firstBorn, target.Reply{Answer: target.Accepted}) {
		t.Error("no report is asked for after the stop of a run that may not exist")
	}
	f.advance(time.Millisecond)
	f.report(1, target.Report{})
	f.advance(100 * time.Millisecond)
	if starts := f.Step(f.now).Starts; len(starts) != 2 || starts[0].Run.Number != 2 {
		t.Errorf("have starts %v after the last member's target reported without it, want the next run", starts)
	}
}

// Guards against gangs that are stopped for one lost answer: the target has accepted the repeated start.
func TestGangWhoseMembersStartIsRepeatedInTimeGoesOn(t *testing.T) {
	f := newFixture(t, 3)
	starts := f.startGang(target.Accepted, target.Unanswered)
	f.advance(200 * time.Millisecond)
	f.StartAnswered(f.now, starts[1], target.Reply{Answer: target.Accepted})
	f.advance(2 * time.Second)
	if stops := f.Step(f.now).Stops; len(stops) != 0 {
		t.Errorf("have stops %v, want none", stops)
	}
}

// Guards against gangs that wait for a target that can't be reached: a start that was not sent can't be
// carried out, so the gang starts elsewhere as soon as its other members have ended.
func TestGangStartsElsewhereWhenAMembersStartWasNotSent(t *testing.T) {
	f := newFixture(t, 3)
	f.startGang(target.Accepted, target.Unreached)
	stops := f.Step(f.now).Stops
	if len(stops) != 1 || stops[0].Target != "t0" {
		t.Fatalf("have stops %v, want the member that has started", stops)
	}
	f.endStopped(0, stops[0], 1)
	f.advance(100 * time.Millisecond)
	starts := f.Step(f.now).Starts
	if len(starts) != 2 || starts[0].Target != "t0" || starts[1].Target != "t2" {
		t.Errorf("have starts %v, want the gang on t0 and t2", starts)
	}
}

// Guards against two runs of one task: an earlier copy of a start that was not sent may have arrived.
func TestStartThatWasNotSentAgainIsStoppedFirst(t *testing.T) {
	f := newFixture(t, 2)
	first := f.startFirst(target.Unanswered)
	f.StartAnswered(f.now, first, target.Reply{Answer: target.Unreached})
	if stops := f.wantNoStart("an earlier copy was unanswered"); len(stops) != 1 {
		t.Errorf("have stops %v, want one", stops)
	}
}

// Guards against a finished run that is taken for alive: of two reports that are requested at once, the
// earlier one may come last.
func TestReportThatIsOvertakenIsIgnored(t *testing.T) {
	f := newFixture(t, 1)
	first := f.startFirst(target.Accepted)
	clock, sent := f.clock(), f.now
	f.advance(10 * time.Millisecond)
	f.report(0, target.Report{Ended: []target.Ended{{Run: first.Run, Number: 1, Outcome: target.Stopped}}})
	f.ReportReceived(f.now, "t0", sent, target.Report{Born: firstBorn, Clock: clock, Running: []target.Running{{Run: first.Run}}})
	f.advance(100 * time.Millisecond)
	if plan := f.Step(f.now); len(plan.Stops) != 0 || len(plan.Starts) != 1 {
		t.Errorf("have stops %v and starts %v, want the next run", plan.Stops, plan.Starts)
	}
}

// Guards against: the started members of a gang hold their room while another member's start is held back.
func TestGangOfWhichAStartIsHeldBackIsStopped(t *testing.T) {
	f := newFixture(t, 3)
	f.submit("a", "batch", workload.Step{Count: 2, Gang: true, Estimate: time.Second, Needs: workload.Resources{Accelerators: 8}})
	starts := f.Step(f.now).Starts
	f.StartSent(starts[0])
	f.StartAnswered(f.now, starts[0], target.Reply{Answer: target.Accepted})
	stops := 0
	for range 50 {
		stops += len(f.Step(f.now).Stops)
		f.advance(100 * time.Millisecond)
	}
	if stops == 0 {
		t.Error("have no member stopped 5 s after one of two was started, want one")
	}
}

// Guards against: a task is never run again because the target that it was placed on answers renewals but no start.
func TestTaskWhoseStartIsNeverAnsweredStartsElsewhere(t *testing.T) {
	f := newFixture(t, 2)
	first := f.startFirst(target.Unanswered)
	stops := 0
	for range 60 {
		f.advance(500 * time.Millisecond)
		f.report(0, target.Report{})
		f.report(1, target.Report{})
		stops += len(f.Step(f.now).Stops)
		if f.StartSent(first) {
			f.StartAnswered(f.now, first, target.Reply{Answer: target.Unanswered})
		}
	}
	if stops == 0 {
		t.Error("have no stop of a start that was not answered for 30 s, want one")
	}
}

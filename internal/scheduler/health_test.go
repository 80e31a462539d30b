package scheduler_test

import (
	"testing"
	"time"

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


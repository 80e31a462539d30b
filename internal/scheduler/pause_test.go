package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// Guards against: no work starts for seconds because a run has failed on each target that is left.
func TestPausesEndWhenNoOtherTargetIsLeft(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("failing", "batch", smallStep(1))
	failed := f.startAll()[0]
	f.report(0, target.Report{Ended: []target.Ended{{Run: failed.Run, Number: 1, Outcome: target.Failed}}})
	f.advance(100 * time.Millisecond)
	f.submit("next", "urgent", smallStep(1))
	if starts := f.startAll(); len(starts) == 0 {
		t.Error("have no start 100 ms after a run failed on the only target, want one")
	}
}

// Guards against: work waits for a target of another service or label although the only one that can hold it pauses.
func TestPausesEndWhereNoOtherTargetOfTheServiceIsLeft(t *testing.T) {
	f := newFixture(t, 2)
	other := f.listing(1)
	other.Service = "other"
	f.TargetListed(f.now, other)
	f.submit("failing", "batch", smallStep(1))
	failed := f.startAll()[0]
	f.report(0, target.Report{Ended: []target.Ended{{Run: failed.Run, Number: 1, Outcome: target.Failed}}})
	f.advance(100 * time.Millisecond)
	f.submit("next", "urgent", smallStep(1))
	if starts := f.startAll(); len(starts) == 0 {
		t.Error("have no start 100 ms after a run failed on the only target of the service, want one")
	}
}

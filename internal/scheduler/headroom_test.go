package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const headroomTargets = 40

func wholeStep(count int) workload.Step {
	return workload.Step{Count: count, Estimate: time.Second, Needs: workload.Resources{MilliCores: 8000, Accelerators: 8}}
}

// step lets time pass in which all targets are in contact, and returns how many accelerators start to be used.
func (f *fixture) step(wait time.Duration) int64 {
	f.advance(wait)
	for i := range headroomTargets {
		f.Deadline(f.now, fmt.Sprintf("t%d", i))
	}
	started := int64(0)
	for _, s := range f.startAll() {
		if started++; s.Run.Task.Job != "bulk" {
			started += 7
		}
	}
	return started
}

// afterUrgentWork returns targets full of bulk tasks, of which more wait, but for what was kept after urgent
// runs on 12 of 36 targets ended. kept is the number of accelerators that are free.
func afterUrgentWork(t *testing.T, queue string) (f *fixture, kept int64) {
	f = newFixture(t, headroomTargets)
	f.submit("first", queue, wholeStep(36))
	starts := f.startAll()
	f.submit("bulk", "batch", workload.Step{Count: 600, Estimate: time.Minute, Needs: smallStep(1).Needs})
	before := f.step(0)
	f.advance(time.Second)
	for _, s := range starts[:12] {
		f.ReportReceived(f.now, s.Target, f.now, target.Report{Born: 1, Clock: f.clock(), Ended: []target.Ended{{Run: s.Run, Number: 1, Outcome: target.Done}}})
	}
	return f, 16*8 - before - f.step(0)
}

// Guards against: bulk tasks refill each target that urgent work leaves, so that the next urgent job of the
// stream has runs stopped; room that is kept though no urgent work arrives, or for longer than it does; work of
// lower priorities that waits for ever for what is kept.
func TestRoomIsKeptForAStreamOfUrgentWork(t *testing.T) {
	f, kept := afterUrgentWork(t, "urgent")
	if kept != 4*8 {
		t.Fatalf("have %d accelerators kept, want a tenth", kept)
	}
	f.submit("gang", "batch", wholeStep(1))
	f.step(0)
	f.submit("second", "urgent", wholeStep(4))
	plan := f.Step(f.now)
	if len(plan.Starts) != 4 || len(plan.Stops) != 0 {
		t.Errorf("next urgent job: have %d starts and %d stops, want 4 and 0", len(plan.Starts), len(plan.Stops))
	}
	if _, kept := afterUrgentWork(t, "batch"); kept != 0 {
		t.Errorf("no urgent work: have %d accelerators kept, want none", kept)
	}
	f, _ = afterUrgentWork(t, "urgent")
	f.submit("gang", "batch", wholeStep(1))
	// A gang that fits nowhere keeps the demand up.
	tooLarge := wholeStep(headroomTargets + 1)
	tooLarge.Gang = true
	f.submit("too large", "urgent", tooLarge)
	if used := f.step(4 * time.Second); used != 0 {
		t.Errorf("before maxHeadroomWait: have %d accelerators used, want none", used)
	}
	if used := f.step(1500 * time.Millisecond); used != 8 {
		t.Errorf("gang that has waited for long: have %d accelerators used, want 8", used)
	}
	f, _ = afterUrgentWork(t, "urgent")
	if used := f.step(10 * time.Second); used != kept {
		t.Errorf("10 s after the last urgent job: have %d accelerators used again, want %d", used, kept)
	}
	f = newFixture(t, headroomTargets)
	f.submit("first", "urgent", wholeStep(8))
	f.startAll()
	f.submit("bulk", "batch", workload.Step{Count: 600, Estimate: time.Minute, Needs: smallStep(1).Needs})
	if used := f.step(0); used != 32*8 {
		t.Errorf("little in use: have %d accelerators used by others, want all %d", used, 32*8)
	}
}

package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	bigTargets     = 12
	slotsPerTarget = 180
)

// slotStep is a step whose tasks need a slot of a target each.
func slotStep(count int) workload.Step {
	return workload.Step{Count: count, Gang: true, Estimate: time.Hour, Needs: workload.Resources{MilliCores: 10, MemoryMB: 1}}
}

// newBigFixture returns targets of many slots, a gang of members that has been placed there and, once it runs, jobs of
// both priorities that find no room.
func newBigFixture(t testing.TB, members int) (f *fixture, starts []scheduler.Start) {
	f = newFixture(t, 0)
	f.Limits.ColdOverage = 1.5
	for i := range bigTargets {
		listing := f.listing(i)
		listing.Capacity = workload.Resources{MilliCores: 10 * slotsPerTarget, MemoryMB: slotsPerTarget, Accelerators: 8}
		f.TargetListed(f.now, listing)
		f.report(i, target.Report{})
	}
	f.submit("gang", "batch", slotStep(members))
	starts = f.Step(f.now).Starts
	if len(starts) != members {
		t.Fatalf("have %d starts, want %d", len(starts), members)
	}
	return f, starts
}

// accept lets targets accept starts, and submits the jobs that wait.
func (f *fixture) accept(starts []scheduler.Start) {
	for _, s := range starts {
		f.StartSent(s)
		f.StartAnswered(f.now, s, target.Reply{Answer: target.Accepted})
	}
	f.advance(time.Second)
	f.reportRuns(starts, 1)
	f.submit("waits", "batch", slotStep(bigTargets*slotsPerTarget))
	f.submit("urgent waits", "urgent", slotStep(bigTargets*slotsPerTarget))
}

// reportRuns has each target report its runs of the starts.
func (f *fixture) reportRuns(starts []scheduler.Start, percent int) {
	for i := range bigTargets {
		report := target.Report{}
		for _, s := range starts {
			if s.Target == fmt.Sprintf("t%d", i) {
				report.Running = append(report.Running, target.Running{Run: s.Run, Percent: percent})
			}
		}
		f.report(i, report)
	}
}

// gangWork is work of the scheduler for a gang, after what prepares it.
var gangWork = map[string]func(f *fixture, starts []scheduler.Start) func(){
	"steps beside jobs that wait": func(f *fixture, starts []scheduler.Start) func() {
		f.accept(starts)
		return func() {
			for range 3 {
				f.advance(100 * time.Millisecond)
				f.Step(f.now)
			}
		}
	},
	"reports": func(f *fixture, starts []scheduler.Start) func() {
		f.accept(starts)
		return func() {
			f.advance(time.Second)
			f.reportRuns(starts, 2)
		}
	},
	"load": func(f *fixture, starts []scheduler.Start) func() {
		f.accept(starts)
		return func() { f.Load(f.now) }
	},
	"cancellation before the starts": func(f *fixture, _ []scheduler.Start) func() {
		return func() { f.Cancel(f.now, records.Cancellation{Job: "gang"}) }
	},
	"a start that is held back": func(f *fixture, starts []scheduler.Start) func() {
		return func() { f.StartHeldBack(f.now, starts[0]) }
	},
	"the end": func(f *fixture, starts []scheduler.Start) func() {
		f.accept(starts)
		ended := target.Ended{Run: starts[0].Run, Number: 1, Outcome: target.Done}
		return func() {
			f.report(slices.Index([]string{"t0", "t1"}, starts[0].Target), target.Report{Ended: []target.Ended{ended}})
		}
	},
	"the loss of its targets": func(f *fixture, starts []scheduler.Start) func() {
		f.accept(starts)
		for i := range bigTargets {
			f.TargetUnlisted(f.now, fmt.Sprintf("t%d", i))
		}
		f.advance(time.Minute)
		return func() { f.Step(f.now) }
	},
}

// cost returns the shortest of some measurements of work for a gang.
func cost(t testing.TB, members int, prepare func(*fixture, []scheduler.Start) func()) time.Duration {
	best := time.Hour
	for range 3 {
		f, starts := newBigFixture(t, members)
		work := prepare(f, starts)
		begun := time.Now()
		work()
		best = min(best, time.Since(begun))
	}
	return best
}

// Guards against: one large gang takes so much of the planner's time that nothing else is planned.
func TestWorkForAGangIsLinearInItsMembers(t *testing.T) {
	const few, many = 125, 1000
	// Work in proportion to the members takes 8 times as long, in proportion to their square 64 times.
	const most = 24
	for name, prepare := range gangWork {
		t.Run(name, func(t *testing.T) {
			small := max(cost(t, few, prepare), 20*time.Microsecond)
			if large := cost(t, many, prepare); large > most*small {
				t.Errorf("have %s for %d members and %s for %d: %.0f times as long, want at most %d", large, many, small, few, float64(large)/float64(small), most)
			}
		})
	}
}

func BenchmarkGang(b *testing.B) {
	for name, prepare := range gangWork {
		for _, members := range []int{125, 500, 2000} {
			b.Run(fmt.Sprintf("%s/%d", name, members), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					work := prepare(newBigFixture(b, members))
					b.StartTimer()
					work()
				}
			})
		}
	}
}

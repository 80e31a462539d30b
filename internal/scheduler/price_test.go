package scheduler

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Guards against: lost capacity that costs something while nothing waits for it, or nothing while other work
// could have used it.
func TestLostCapacityCostsWhatWaitsForIt(t *testing.T) {
	s := newSequence(1)
	submit := func(id, queue string, count int, estimate time.Duration) {
		step := workload.Step{Count: count, Estimate: estimate, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 4}}
		s.Submit(s.now, &workload.Job{ID: id, Queue: queue, Organisation: "other", Accepted: s.now, Steps: []workload.Step{step}})
	}
	price := func() float64 {
		s.now = s.now.Add(20 * time.Millisecond)
		s.Step(s.now)
		return s.price("s")
	}
	for i := range fleetSize {
		s.restart(i)
		s.ReportReceived(s.now, targetName(i), s.now, target.Report{Born: s.born[i], Clock: time.Minute})
	}
	submit("running", "q1", 1, 10*time.Second)
	if have := price(); have != 0 {
		t.Errorf("price while nothing waits: have %g, want 0", have)
	}
	running := s.Scheduler.jobs["running"].occurrences[0].steps[0].units[0]
	idleLoss := s.loss(s.now, running)
	// The queue's jobs weigh 1/4 at mean work. Each task needs a whole target for ten seconds.
	submit("waiting", "q2", 4*fleetSize, 10*time.Second)
	if have, want := price(), 0.25/(4*fleetSize*10); have < want*0.99 || have > want*1.1 {
		t.Errorf("price while low-priority work waits: have %g, want %g", have, want)
	}
	if have := s.loss(s.now, running); have <= idleLoss {
		t.Errorf("loss by a stop while work waits: have %g, want more than %g", have, idleLoss)
	}
	// With twice the work of the other job, this one has 4/3 of the queue's mean work.
	submit("longer", "q2", 4*fleetSize, 20*time.Second)
	price()
	s.Cancel(s.now, records.Cancellation{Job: "waiting"})
	if have, want := price(), 0.25*(0.5+0.5*4/3)/(4*fleetSize*20); have < want*0.99 || have > want*1.1 {
		t.Errorf("price after one of two jobs was cancelled: have %g, want %g, that of the other", have, want)
	}
	s.Cancel(s.now, records.Cancellation{Job: "longer"})
	if have := price(); have != 0 {
		t.Errorf("price after both jobs were cancelled: have %g, want 0", have)
	}
}

// Guards against: the price of capacity, and so how many runs are stopped, depends on which organisation's work
// waits.
func TestPriceDoesNotDependOnShares(t *testing.T) {
	price := func(heavy string) float64 {
		s := newSequence(1)
		s.InheritUsage(s.now, map[string]float64{heavy: 1000, "light": 10})
		s.restart(0)
		s.ReportReceived(s.now, targetName(0), s.now, target.Report{Born: s.born[0], Clock: time.Minute})
		submit := func(o string, count int) {
			s.Submit(s.now, &workload.Job{ID: o, Queue: "q1", Organisation: o, Accepted: s.now, Steps: []workload.Step{{Count: count, Estimate: 10 * time.Second, Needs: workload.Resources{MilliCores: 4000, MemoryMB: 100, Accelerators: 4}}}})
		}
		submit("light", 1)
		s.Step(s.now)
		submit("a", 40)
		for range 3 {
			s.now = s.now.Add(20 * time.Millisecond)
			s.Step(s.now)
		}
		return s.price("s")
	}
	if a, b := price("a"), price("light"); a > 1.01*b || b > 1.01*a {
		t.Errorf("have price %g and %g, want the same", a, b)
	}
}

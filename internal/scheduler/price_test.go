package scheduler

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

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

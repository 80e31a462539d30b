package coordinator_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Guards against work on a target that leaves: a start without an answer is not repeated once the target
// has said that it leaves, and its task runs elsewhere.
func TestStartIsNotRepeatedToATargetThatLeaves(t *testing.T) {
	const leaving = targetCount / 2
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		var mu sync.Mutex
		var left time.Time
		unanswered, late := 0, 0
		d.starting = func(id string, _ target.StartOrder) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case id >= targetID(leaving):
			case left.IsZero():
				unanswered++
			case time.Since(left) > drainTime:
				late++
			}
		}
		d.restartHosts()
		time.Sleep(5 * time.Second)
		for i := range leaving {
			d.fleet.DelayOrders(targetID(i), 100)
		}
		for range 6 {
			d.submit()
		}
		time.Sleep(200 * time.Millisecond)
		mu.Lock()
		left = time.Now()
		mu.Unlock()
		for i := range leaving {
			d.writeEntry(i, true)
		}
		time.Sleep(2 * drainTime)
		for i := range leaving {
			d.fleet.DelayOrders(targetID(i), 0)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
		if unanswered == 0 {
			t.Error("no start was sent to a target before it left")
		}
		if late > 0 {
			t.Errorf("starts that were sent over %s after their target had said that it leaves: have %d, want none", drainTime, late)
		}
	})
}

// Guards against: a start that is placed by what a target was reaches the next incarnation, which may be of another
// kind, before the planner has heard of it.
func TestNoStartReachesAnIncarnationThatHasNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(10 * time.Second)
		for i := range targetCount {
			d.born[i]++
			d.fleet.Add(listing(i, d.born[i]))
		}
		d.submitStep(workload.Step{Count: 4 * targetCount, Estimate: time.Second, Needs: workload.Resources{Accelerators: 1}})
		time.Sleep(100 * time.Millisecond)
		for i := range targetCount {
			d.list(i)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

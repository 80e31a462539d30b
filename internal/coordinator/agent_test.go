package coordinator_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// Guards against a second run of a finished task: a target that left a renewal unanswered may have
// restarted, and numbers of ends that it had listed before would make the new incarnation forget
// ends that nobody has read.
func TestNothingIsAcknowledgedAfterAnUnansweredRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		var mu sync.Mutex
		unanswered, after := map[string]bool{}, 0
		d.renewed = func(id string, order target.RenewOrder, answer target.Answer) {
			mu.Lock()
			defer mu.Unlock()
			if unanswered[id] {
				after++
				if order.Acknowledged != 0 {
					t.Errorf("the renewal of %s after an unanswered one: have acknowledged end %d, want none", id, order.Acknowledged)
				}
			}
			unanswered[id] = answer == target.Unanswered
		}
		for i, stop := range d.stopHost {
			stop()
			<-d.hostEnded[i]
			d.startHost(i)
		}
		time.Sleep(5 * time.Second)
		for range 6 {
			d.submit()
			time.Sleep(2 * time.Second)
		}
		for i := range targetCount {
			d.fleet.SetUnreachable(targetID(i), true)
		}
		time.Sleep(3 * time.Second)
		for i := range targetCount {
			d.fleet.SetUnreachable(targetID(i), false)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
		if after == 0 {
			t.Error("no renewal followed an unanswered one")
		}
	})
}

// Guards against a second run of a finished task: a restarted target has seen no fencing token, so
// until it has an order of this term it carries out a late start of a former one.
func TestRestartedIdleTargetIsContactedSoon(t *testing.T) {
	const (
		soon  = time.Second
		tries = 5
	)
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		var mu sync.Mutex
		contacts := 0
		d.renewed = func(id string, _ target.RenewOrder, answer target.Answer) {
			mu.Lock()
			defer mu.Unlock()
			if id == targetID(0) && answer == target.Accepted {
				contacts++
			}
		}
		for i, stop := range d.stopHost {
			stop()
			<-d.hostEnded[i]
			d.startHost(i)
		}
		time.Sleep(5 * time.Second)
		for try := range tries {
			mu.Lock()
			before := contacts
			mu.Unlock()
			d.addTarget(0, false)
			time.Sleep(soon)
			mu.Lock()
			if contacts == before {
				t.Errorf("restart %d: the target has had no order %s after its entry changed", try, soon)
			}
			mu.Unlock()
			time.Sleep(2*time.Second + 137*time.Millisecond)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

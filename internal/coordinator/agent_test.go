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
		d.restartHosts()
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

// Guards against targets that stay unused after a restart: nothing runs on the new incarnation, so
// only the planner's own question brings the report that it needs.
func TestIdleTargetIsAskedForAReportWhenItRestarts(t *testing.T) {
	const bound = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		asked := make(chan time.Time, 100)
		d.renewed = func(id string, _ target.RenewOrder, _ target.Answer) {
			if id == targetID(0) {
				asked <- time.Now()
			}
		}
		d.restartHosts()
		time.Sleep(10*time.Second + 300*time.Millisecond)
		for len(asked) > 0 {
			<-asked
		}
		restarted := time.Now()
		d.addTarget(0, false)
		if at := <-asked; at.Sub(restarted) > bound {
			t.Errorf("the first renewal was answered %s after the restart, want at most %s", at.Sub(restarted), bound)
		}
		d.stopHosts()
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
		d.restartHosts()
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

// Guards against a flood of renewals: an acknowledgement that was meant for the former incarnation
// of a target does not count as delivered to the one that answers.
func TestAcknowledgementsOfAFormerIncarnationDoNotCountAsDelivered(t *testing.T) {
	const (
		acknowledged = 8
		transit      = 100 * time.Microsecond
		most         = 20
	)
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		var mu sync.Mutex
		inTransit := false
		renewals := 0
		d.renewing = func(id string, order target.RenewOrder) {
			if id != targetID(0) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			renewals++
			if !inTransit && order.Wait > 0 && order.Acknowledged >= acknowledged {
				inTransit = true
				// The renewal is in transit when the target restarts, and waits there while the planner
				// reads the target's entry.
				time.AfterFunc(transit, func() { d.addTarget(0, false) })
			}
		}
		d.restartHosts()
		time.Sleep(5 * time.Second)
		isInTransit := func() bool { mu.Lock(); defer mu.Unlock(); return inTransit }
		for range 200 {
			if isInTransit() {
				break
			}
			d.submit()
			time.Sleep(3 * time.Second)
		}
		time.Sleep(time.Minute)
		mu.Lock()
		if !inTransit {
			t.Error("no renewal with an acknowledgement was in transit at a restart")
		}
		renewals = 0
		mu.Unlock()
		time.Sleep(10 * time.Second)
		mu.Lock()
		if renewals > most {
			t.Errorf("renewals of an idle target in 10 s: have %d, want %d at most", renewals, most)
		}
		mu.Unlock()
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

// Guards against a second run of a finished task: a target that had nothing to do restarts unnoticed,
// and the next renewal must not have it forget its own ends by the numbers of its former incarnation.
func TestIdleTargetThatRestartsForgetsNoEndsUnread(t *testing.T) {
	const idle = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		for range 8 {
			for range 4 {
				d.submit()
			}
			time.Sleep(idle)
			for i := range targetCount {
				d.addTarget(i, false)
			}
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

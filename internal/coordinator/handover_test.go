package coordinator_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// alivePlanner returns the index of the host that the store names as the planner; 0 if it names none.
func (d *deployment) alivePlanner() int {
	item, err := d.store.Get(context.Background(), "planner/alive")
	for i := range hostCount {
		if err == nil && item != nil && strings.HasPrefix(string(item.Value), fmt.Sprintf("host%d-", i)) {
			return i
		}
	}
	return 0
}

// replacePlanner stops the planner and starts its host again.
func (d *deployment) replacePlanner() {
	host := d.alivePlanner()
	d.stopHost[host]()
	<-d.hostEnded[host]
	d.startHost(host)
}

// silence makes a target unreachable and removes its entry, or ends both.
func (d *deployment) silence(i int, silent bool) {
	d.fleet.SetUnreachable(targetID(i), silent)
	if silent != d.unlisted[i] {
		d.toggleEntry(i)
	}
}

// replacePlannersOfSilentTargets starts tasks that take long, makes two targets silent, replaces the planner or
// cuts it off, and lets the targets answer again, one of them perhaps restarted, before they are listed.
func (d *deployment) replacePlannersOfSilentTargets(first int) {
	lost := []int{first, (first + 1) % targetCount}
	if d.random.IntN(4) > 0 {
		// Then no start of a former planner can be carried out late any more, and less is handed over.
		time.Sleep(22 * time.Second)
	}
	d.submitSteps(workload.Step{Count: 8, Estimate: 25 * time.Second, Needs: workload.Resources{MilliCores: 2000, MemoryMB: 100, Accelerators: 2}})
	time.Sleep(time.Second)
	for _, i := range lost {
		d.silence(i, true)
	}
	// By then they are handed over, and the leases have yet to end.
	time.Sleep(3500 * time.Millisecond)
	d.pause(2 * time.Second)
	for range 1 + d.random.IntN(2) {
		if d.random.IntN(2) == 0 {
			d.replacePlanner()
		} else {
			cut := d.links[d.alivePlanner()]
			cut.cut.Store(true)
			time.AfterFunc(time.Duration(d.random.IntN(12))*time.Second, func() { cut.cut.Store(false) })
		}
		d.pause(500 * time.Millisecond)
		for _, i := range lost {
			d.fleet.SetUnreachable(targetID(i), d.random.IntN(3) == 0)
		}
		d.pause(12 * time.Second)
	}
	for _, i := range lost {
		if d.random.IntN(4) == 0 {
			d.addTarget(i, false)
		}
		d.silence(i, false)
		d.pause(2 * time.Second)
	}
}

// pause lets up to limit pass.
func (d *deployment) pause(limit time.Duration) {
	time.Sleep(time.Duration(d.random.Int64N(int64(limit))))
}

// loseTarget starts a task that takes long and makes its target silent. It returns the target, and a
// function that returns when the task was last started.
func (d *deployment) loseTarget() (lost int, lastStart func() time.Time) {
	d.t.Helper()
	// Longer than a former planner's starts may be carried out late.
	const settled = 40 * time.Second
	var mu sync.Mutex
	var started time.Time
	var on string
	d.starting = func(id string, _ target.StartOrder) {
		mu.Lock()
		defer mu.Unlock()
		started, on = time.Now(), id
	}
	d.restartHosts()
	time.Sleep(settled)
	job := &workload.Job{ID: "a", Payload: "p", Steps: []workload.Step{{Count: 1, Estimate: 30 * time.Second, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100}}}}
	d.fleet.ExpectJob(job)
	if err := d.intake.Submit(context.Background(), intake.Call{Queue: "q2", Organisation: "o", ID: job.ID}, job); err != nil {
		d.t.Fatalf("Intake.Submit: %v", err)
	}
	d.accepted[job.ID] = job
	time.Sleep(5 * time.Second)
	mu.Lock()
	for i := range targetCount {
		if on == targetID(i) {
			lost = i
		}
	}
	mu.Unlock()
	d.silence(lost, true)
	return lost, func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return started
	}
}

// Guards against: each new planner waits anew for the leases of targets that have been silent for long, so
// that with planners lost in a row their tasks never run again.
func TestNewPlannersDoNotWaitAnewForSilentTargets(t *testing.T) {
	// The last lease is granted within 2.5 s and ends within 7 s, and each of the two new planners that it takes
	// counts from a record that is 2 s old.
	const bound = 14 * time.Second
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		_, lastStart := d.loseTarget()
		silentSince := time.Now()
		for range 3 {
			time.Sleep(4 * time.Second)
			d.replacePlanner()
		}
		time.Sleep(time.Minute)
		if took := lastStart().Sub(silentSince); took <= 0 || took > bound {
			t.Errorf("the task of the silent target was started elsewhere after %s, want within %s", took, bound)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

// Guards against two runs of one task: a target that was handed over answers a planner that the store can't
// be reached by, and is granted a lease. The next planner would take the run for lapsed.
func TestTargetThatWasHandedOverGetsNoLeaseBeforeTheRecordChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		var mu sync.Mutex
		leases := map[string]int{}
		d.renewing = func(id string, order target.RenewOrder) {
			mu.Lock()
			defer mu.Unlock()
			if order.Deadline > 0 {
				leases[id]++
			}
		}
		lost, _ := d.loseTarget()
		time.Sleep(4 * time.Second)
		d.links[d.alivePlanner()].cut.Store(true)
		mu.Lock()
		clear(leases)
		mu.Unlock()
		// It is not listed again, so that the next planner can't reach it.
		d.fleet.SetUnreachable(targetID(lost), false)
		// No other planner takes over within this time.
		time.Sleep(term.Lease - 200*time.Millisecond)
		mu.Lock()
		if count := leases[targetID(lost)]; count > 0 {
			t.Errorf("the target that was handed over was granted %d leases without a new record, want none", count)
		}
		mu.Unlock()
		time.Sleep(20 * time.Second)
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

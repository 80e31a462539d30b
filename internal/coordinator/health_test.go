package coordinator_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// submitStep submits a job of one step through queue q0.
func (d *deployment) submitStep(step workload.Step) {
	d.t.Helper()
	d.submitted++
	job := &workload.Job{ID: fmt.Sprintf("%016x", d.submitted), Payload: "payload", Steps: []workload.Step{step}}
	d.fleet.ExpectJob(job)
	if err := d.intake.Submit(d.t.Context(), intake.Call{Queue: "q0", Organisation: "o", ID: job.ID}, job); err != nil {
		d.t.Fatalf("Intake.Submit: %v", err)
	}
	d.accepted[job.ID] = job
}

// Guards against gangs that wait for a target which went silent while it had nothing to do: idle targets
// are renewed, so that no start is sent to it.
func TestNoStartIsSentToATargetThatWentSilentWhileIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		var mu sync.Mutex
		silent, toSilent, others := false, 0, 0
		d.starting = func(id string, _ target.StartOrder) {
			mu.Lock()
			defer mu.Unlock()
			if silent && id == targetID(0) {
				toSilent++
			} else {
				others++
			}
		}
		d.restartHosts()
		time.Sleep(10 * time.Second)
		mu.Lock()
		silent = true
		mu.Unlock()
		d.fleet.SetUnreachable(targetID(0), true)
		time.Sleep(2 * time.Second)
		d.submitStep(workload.Step{Count: targetCount, Estimate: time.Second, Needs: workload.Resources{Accelerators: 4}})
		time.Sleep(2 * time.Second)
		mu.Lock()
		if toSilent > 0 || others < targetCount-1 {
			t.Errorf("have %d starts sent to the silent target and %d to others, want 0 and %d", toSilent, others, targetCount-1)
		}
		mu.Unlock()
		d.fleet.SetUnreachable(targetID(0), false)
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

// Guards against an idle fleet that costs its planner more than a busy one: a target with runs is
// renewed about once a second.
func TestIdleTargetsAreRenewedAboutOnceASecond(t *testing.T) {
	const seconds = 20
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		var mu sync.Mutex
		renewals := map[string]int{}
		d.renewing = func(id string, _ target.RenewOrder) {
			mu.Lock()
			defer mu.Unlock()
			renewals[id]++
		}
		d.restartHosts()
		time.Sleep(10 * time.Second)
		mu.Lock()
		clear(renewals)
		mu.Unlock()
		time.Sleep(seconds * time.Second)
		mu.Lock()
		for i := range targetCount {
			if have := renewals[targetID(i)]; have < seconds*4/5 || have > seconds {
				t.Errorf("renewals of idle target %s in %d s: have %d, want %d to %d", targetID(i), seconds, have, seconds*4/5, seconds)
			}
		}
		mu.Unlock()
		d.stopHosts()
	})
}

// Guards against a gang that waits for a long poll after it is known that its missing member can't run: a
// report is asked for as soon as that member's target has accepted the stop.
func TestReportIsAskedForAfterTheStopOfAMissingMember(t *testing.T) {
	const (
		silence = 3 * time.Second
		bound   = 800 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		var mu sync.Mutex
		var again time.Time
		gang, first := "", ""
		d.starting = func(id string, order target.StartOrder) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case order.Task.Job != gang:
			case order.Task.Index == 1 && order.Number == 1:
				first = id
				d.fleet.SetUnreachable(id, true)
			case order.Number == 2 && again.IsZero():
				again = time.Now()
			}
		}
		d.restartHosts()
		time.Sleep(10 * time.Second)
		// Each target has a run, so that its renewals wait.
		d.submitStep(workload.Step{Count: targetCount, Estimate: 20 * time.Second, Needs: workload.Resources{MilliCores: 5000}})
		time.Sleep(5 * time.Second)
		mu.Lock()
		gang = fmt.Sprintf("%016x", d.submitted+1)
		mu.Unlock()
		d.submitStep(workload.Step{Count: 2, Gang: true, Estimate: time.Second, Needs: workload.Resources{Accelerators: 4}})
		time.Sleep(silence)
		mu.Lock()
		if first == "" || !again.IsZero() {
			t.Errorf("first start of the missing member on %q, next run at %s: want the first one only", first, again)
		}
		mu.Unlock()
		d.fleet.SetUnreachable(first, false)
		back := time.Now()
		time.Sleep(5 * time.Second)
		mu.Lock()
		if again.IsZero() || again.Sub(back) > bound {
			t.Errorf("next run %s after the target was back, want within %s", again.Sub(back), bound)
		}
		mu.Unlock()
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

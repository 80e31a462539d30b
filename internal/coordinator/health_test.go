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
func (d *deployment) submitStep(step workload.Step) string {
	d.t.Helper()
	d.submitted++
	job := &workload.Job{ID: fmt.Sprintf("%016x", d.submitted), Payload: "payload", Steps: []workload.Step{step}}
	d.fleet.ExpectJob(job)
	if err := d.intake.Submit(d.t.Context(), intake.Call{Queue: "q0", Organisation: "o", ID: job.ID}, job); err != nil {
		d.t.Fatalf("Intake.Submit: %v", err)
	}
	d.accepted[job.ID] = job
	return job.ID
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
			if have := renewals[targetID(i)]; have < seconds-1 || have > seconds*5/4 {
				t.Errorf("renewals of idle target %s in %d s: have %d, want %d to %d", targetID(i), seconds, have, seconds-1, seconds*5/4)
			}
		}
		mu.Unlock()
		d.stopHosts()
	})
}

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/client"
)

// submitGang submits an urgent gang job of workers with 8 accelerators each, and returns its
// ticket.
func (p *prover) submitGang(ctx context.Context, host int, workers int) (string, error) {
	answer, err := p.host(host).Submit(ctx, client.Request{
		Organisation: "headOffice", Class: "urgentRebuild", Workers: workers, AcceleratorsPerWorker: 8, Declared: 30 * time.Second, Wait: time.Millisecond,
	})
	if err != nil || answer.Outcome != nil {
		return "", fmt.Errorf("the gang was not accepted: %#v %w", answer.Outcome, err)
	}
	return answer.Ticket, nil
}

// runningMembers returns the number of members of a job that run, as the workers report it.
func (p *prover) runningMembers(ctx context.Context, job string) int {
	count := 0
	for _, worker := range p.fleet.WorkerProcesses {
		if worker.Ended() {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, time.Second)
		status, err := wire.NewWorkerProtobufClient("http://"+worker.Address.String(), http.DefaultClient).Renew(callContext, &wire.RenewRequest{Epoch: 0})
		cancel()
		if err != nil {
			continue
		}
		for _, task := range status.GetTasks() {
			if task.GetJob() == job && task.GetState() == wire.TaskState_TASK_STATE_RUNNING {
				count++
			}
		}
	}
	return count
}

// waitUntilRunning waits until the given number of members run, and returns how long that took.
func (p *prover) waitUntilRunning(ctx context.Context, job string, members int, timeout time.Duration) (time.Duration, error) {
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if p.runningMembers(ctx, job) == members {
			return time.Since(start), nil
		}
		if time.Since(start) > timeout {
			return 0, fmt.Errorf("%d of %d members run after %s", p.runningMembers(ctx, job), members, timeout)
		}
	}
}

// workerDies kills the worker of a gang's member. The other members have to end, and the whole
// gang has to run again.
func workerDies(ctx context.Context, p *prover) (string, error) {
	job, err := p.submitGang(ctx, 0, 3)
	if err != nil {
		return "", err
	}
	if _, err := p.waitUntilRunning(ctx, job, 3, urgentBound); err != nil {
		return "", err
	}
	for _, worker := range p.fleet.WorkerProcesses {
		status, err := wire.NewWorkerProtobufClient("http://"+worker.Address.String(), http.DefaultClient).Renew(ctx, &wire.RenewRequest{})
		if err == nil && len(status.GetTasks()) > 0 {
			worker.Kill()
			break
		}
	}
	start := time.Now()
	for p.runningMembers(ctx, job) == 2 {
		if time.Since(start) > gangRepairBound {
			return "", fmt.Errorf("2 of 3 members still run after %s", gangRepairBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
	ended := time.Since(start)
	if _, err := p.waitUntilRunning(ctx, job, 3, gangRepairBound); err != nil {
		return "", err
	}
	return fmt.Sprintf("the other members ended after %s, and the whole gang ran again after %s", ended.Round(100*time.Millisecond), time.Since(start).Round(100*time.Millisecond)), nil
}

// plannerKilled kills the host that plans the zone. An urgent gang has to start in time, and
// the gang that runs has to continue.
func plannerKilled(ctx context.Context, p *prover) (string, error) {
	before, err := p.submitGang(ctx, 0, 1)
	if err != nil {
		return "", err
	}
	if _, err := p.waitUntilRunning(ctx, before, 1, urgentBound); err != nil {
		return "", err
	}
	// A host that is not the planner reports epoch 0.
	planner := -1
	for i, host := range p.fleet.Hosts {
		text, err := host.Client().Call(ctx, http.MethodGet, "/metrics", nil)
		if err == nil && !strings.Contains(string(text), `"planner.epoch":{"value":0}`) {
			planner = i
		}
	}
	if planner < 0 {
		return "", errors.New("no host is the planner of the zone")
	}
	p.fleet.Hosts[planner].Kill()
	job, err := p.submitGang(ctx, (planner+1)%3, 2)
	if err != nil {
		return "", err
	}
	took, err := p.waitUntilRunning(ctx, job, 2, urgentBound)
	if err != nil {
		return "", err
	}
	if p.runningMembers(ctx, before) != 1 {
		return "", errors.New("the new planner did not keep the running gang")
	}
	return fmt.Sprintf("the planner was killed, the next urgent gang ran %s later, and the running gang continued", took.Round(100*time.Millisecond)), nil
}

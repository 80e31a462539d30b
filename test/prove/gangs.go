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

func (p *prover) gang(ctx context.Context, host int, workers int) (string, error) {
	answer, err := p.host(host).Submit(ctx, client.Request{
		Organisation: "headOffice", Class: "urgentRebuild", Workers: workers, AcceleratorsPerWorker: 8, Declared: 30 * time.Second, Wait: time.Millisecond,
	})
	if err != nil || answer.Outcome != nil {
		return "", fmt.Errorf("the gang was not accepted: %#v %w", answer.Outcome, err)
	}
	return answer.Ticket, nil
}

// running returns the number of members that run, by asking the workers.
func (p *prover) running(ctx context.Context, job string) int {
	count := 0
	for _, worker := range p.fleet.Work {
		if worker.Ended() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, time.Second)
		status, err := wire.NewWorkerProtobufClient("http://"+worker.Address.String(), http.DefaultClient).Renew(call, &wire.RenewRequest{Epoch: 0})
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

func (p *prover) untilRunning(ctx context.Context, job string, members int, bound time.Duration) (time.Duration, error) {
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if p.running(ctx, job) == members {
			return time.Since(start), nil
		}
		if time.Since(start) > bound {
			return 0, fmt.Errorf("%d of %d members run after %s", p.running(ctx, job), members, bound)
		}
	}
}

func workerDies(ctx context.Context, p *prover) (string, error) {
	job, err := p.gang(ctx, 0, 3)
	if err != nil {
		return "", err
	}
	if _, err := p.untilRunning(ctx, job, 3, urgentBound); err != nil {
		return "", err
	}
	for _, worker := range p.fleet.Work {
		status, err := wire.NewWorkerProtobufClient("http://"+worker.Address.String(), http.DefaultClient).Renew(ctx, &wire.RenewRequest{})
		if err == nil && len(status.GetTasks()) > 0 {
			worker.Kill()
			break
		}
	}
	start := time.Now()
	for p.running(ctx, job) == 2 {
		if time.Since(start) > partBound {
			return "", fmt.Errorf("2 of 3 members still run after %s", partBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
	ended := time.Since(start)
	if _, err := p.untilRunning(ctx, job, 3, partBound); err != nil {
		return "", err
	}
	return fmt.Sprintf("the other members ended after %s, and the gang runs whole again after %s", ended.Round(100*time.Millisecond), time.Since(start).Round(100*time.Millisecond)), nil
}

func plannerKilled(ctx context.Context, p *prover) (string, error) {
	before, err := p.gang(ctx, 0, 1)
	if err != nil {
		return "", err
	}
	if _, err := p.untilRunning(ctx, before, 1, urgentBound); err != nil {
		return "", err
	}
	planner := -1
	for i, host := range p.fleet.Hosts {
		text, err := host.Client().Call(ctx, http.MethodGet, "/metrics", nil)
		if err == nil && !strings.Contains(string(text), `"planner.epoch":{"value":0}`) {
			planner = i
		}
	}
	if planner < 0 {
		return "", errors.New("no host plans the zone")
	}
	p.fleet.Hosts[planner].Kill()
	job, err := p.gang(ctx, (planner+1)%3, 2)
	if err != nil {
		return "", err
	}
	took, err := p.untilRunning(ctx, job, 2, urgentBound)
	if err != nil {
		return "", err
	}
	if p.running(ctx, before) != 1 {
		return "", errors.New("the successor did not keep the gang that ran")
	}
	return fmt.Sprintf("the planner was killed, the next urgent gang ran %s later, and the gang that ran went on", took.Round(100*time.Millisecond)), nil
}

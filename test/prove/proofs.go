package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/client"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	urgentBound  = 7400 * time.Millisecond
	leavingBound = 3 * time.Second
	configBound  = 5 * time.Second
	// partBound is the lease that finds a lost member, the lease that ends the others, and a second.
	partBound = 13 * time.Second
)

func proofs() []proof {
	return []proof{
		{"nonIdempotentAtMostOnce", "hostKilledDuringTrace", killedDuringTrace},
		{"nonIdempotentAtMostOnce", "hostFrozenPastLease", frozenPastLease},
		{"nonIdempotentAtMostOnce", "storeLosesAnswers", storeLosesAnswers},
		{"notRunDidNotRun", "storeOut", storeOut},
		{"wholeOwnAnswer", "connectionsSilent", connectionsSilent},
		{"wholeOwnAnswer", "answersCrossedAndCut", answersSpoiled},
		{"leavingTargetNoNewWork", "runnerLeaves", runnerLeaves},
		{"plannedStopCutsOffNothing", "hostStops", hostStops},
		{"configurationInForceAndNeverReverts", "storeOutAndRestart", configurationStays},
		{"gangWhole", "workerDies", workerDies},
		{"urgentStart", "plannerKilled", plannerKilled},
	}
}

func killedDuringTrace(ctx context.Context, p *prover) (string, error) {
	req := p.trace("order-killed", 2*time.Second)
	req.Wait = 100 * time.Millisecond
	first, err := p.host(0).Submit(ctx, req)
	if err != nil {
		return "", err
	}
	time.Sleep(300 * time.Millisecond)
	p.fleet.Hosts[0].Kill()
	repeat, err := p.host(1).Submit(ctx, req)
	if err != nil || repeat.Ticket != first.Ticket {
		return "", fmt.Errorf("the repeat ran as %s beside %s: %w", repeat.Ticket, first.Ticket, err)
	}
	return p.oneRun(ctx, 2, first.Ticket, req)
}

// oneRun waits for the end of a trace on a host and checks that it ran once, whole.
func (p *prover) oneRun(ctx context.Context, host int, ticket string, req client.Request) (string, error) {
	out, err := p.end(ctx, host, ticket, 40*time.Second)
	if err != nil {
		return "", err
	}
	runs, err := p.runs(ctx, ticket)
	done, ok := out.(outcome.Done)
	switch {
	case err != nil:
		return "", err
	case runs > 1:
		return "", fmt.Errorf("it ran %d times", runs)
	case !ok || string(done.Answer) != "match "+string(req.Payload):
		return "", fmt.Errorf("runs=%d, and it ended as %#v", runs, out)
	}
	return fmt.Sprintf("runs=%d and its whole answer on another host", runs), nil
}

func frozenPastLease(ctx context.Context, p *prover) (string, error) {
	req := p.trace("order-frozen", 2*time.Second)
	req.Wait = 100 * time.Millisecond
	first, err := p.host(0).Submit(ctx, req)
	if err != nil {
		return "", err
	}
	p.signal(0, syscall.SIGSTOP)
	time.Sleep(14 * time.Second)
	p.signal(0, syscall.SIGCONT)
	time.Sleep(time.Second)
	if _, err := p.host(0).Submit(ctx, req); err != nil {
		return "", err
	}
	return p.oneRun(ctx, 1, first.Ticket, req)
}

func storeLosesAnswers(ctx context.Context, p *prover) (string, error) {
	if _, err := p.fleet.Store.Set(ctx, &wire.FaultSettings{LoseAnswers: 0.3}); err != nil {
		return "", err
	}
	const traces = 20
	ended := 0
	for i := range traces {
		req := p.trace(fmt.Sprintf("order-lost-%d", i), 20*time.Millisecond)
		answer, err := p.host(i%3).Submit(ctx, req)
		if err != nil {
			return "", err
		}
		repeat, err := p.host((i+1)%3).Submit(ctx, req)
		if err != nil {
			return "", err
		}
		runs, err := p.runs(ctx, answer.Ticket)
		if repeat.Ticket != answer.Ticket && err == nil {
			more, failed := p.runs(ctx, repeat.Ticket)
			runs, err = runs+more, failed
		}
		if err != nil || runs > 1 {
			return "", fmt.Errorf("%s ran %d times, tickets %q and %q: %w", req.Key, runs, answer.Ticket, repeat.Ticket, err)
		}
		if _, ok := answer.Outcome.(outcome.Done); ok {
			ended++
		}
	}
	return fmt.Sprintf("%d traces and their repeats on other hosts, none ran twice, %d answered at once", traces, ended), nil
}

func storeOut(ctx context.Context, p *prover) (string, error) {
	if _, err := p.fleet.Store.Set(ctx, &wire.FaultSettings{Refuse: true}); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	stop := p.load(ctx, 6, 0, 1, 2)
	refused, started := 0, time.Now()
	for time.Since(started) < 5*time.Second {
		req := client.Request{Organisation: "shops", Class: "lineageTrace", Payload: p.payload(), Declared: 20 * time.Millisecond}
		answer, err := p.host(refused%3).Submit(ctx, req)
		if err != nil {
			return "", err
		}
		if _, ok := answer.Outcome.(outcome.NotRun); !ok {
			return "", fmt.Errorf("a trace without a durable intent ended as %#v", answer.Outcome)
		}
		if runs, err := p.runs(ctx, answer.Ticket); err != nil || runs != 0 {
			return "", fmt.Errorf("it was refused as not run and ran %d times: %w", runs, err)
		}
		refused++
	}
	sum, err := stop()
	if err != nil || sum.done == 0 || sum.notRun+sum.unknown+sum.cut > 0 {
		return "", fmt.Errorf("lookups in the outage: %s: %w", sum.String(), err)
	}
	return fmt.Sprintf("%d traces refused and none ran; lookups went on: %s", refused, sum.String()), nil
}

func connectionsSilent(ctx context.Context, p *prover) (string, error) {
	stop := p.load(ctx, 12, 0, 1, 2)
	for range 4 {
		time.Sleep(1500 * time.Millisecond)
		if _, err := p.fleet.Run[p.random.IntN(3)].Set(ctx, &wire.FaultSettings{Silence: true}); err != nil {
			return "", err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	sum, err := stop()
	if err != nil || sum.notRun+sum.unknown+sum.pending+sum.cut > 0 {
		return "", fmt.Errorf("%s: %w", sum.String(), err)
	}
	return "4 times every open connection of a runner went silent: " + sum.String(), nil
}

func answersSpoiled(ctx context.Context, p *prover) (string, error) {
	stop := p.load(ctx, 12, 0, 1, 2)
	for i := range 2 {
		if _, err := p.fleet.Run[i].Set(ctx, &wire.FaultSettings{CrossAnswers: i == 0, TruncateAnswers: i == 1}); err != nil {
			return "", err
		}
	}
	time.Sleep(5 * time.Second)
	sum, err := stop()
	if err != nil || sum.done == 0 {
		return "", fmt.Errorf("%s: %w", sum.String(), err)
	}
	return "one runner crosses answers, one cuts them short, no caller got a wrong one: " + sum.String(), nil
}

func runnerLeaves(ctx context.Context, p *prover) (string, error) {
	leaving := p.fleet.Run[0]
	stop := p.load(ctx, 12, 0, 1, 2)
	time.Sleep(time.Second)
	if _, err := leaving.Set(ctx, &wire.FaultSettings{Leaving: true}); err != nil {
		return "", err
	}
	time.Sleep(leavingBound)
	before, err := leaving.Set(ctx, &wire.FaultSettings{Leaving: true})
	if err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	after, err := leaving.Set(ctx, &wire.FaultSettings{Leaving: true})
	if err != nil {
		return "", err
	}
	sum, err := stop()
	if err != nil || after != before || sum.notRun+sum.unknown+sum.cut > 0 {
		return "", fmt.Errorf("%d requests reached it after %s; %s: %w", after-before, leavingBound, sum.String(), err)
	}
	return fmt.Sprintf("0 requests reached it after %s, list and all: %s", leavingBound, sum.String()), nil
}

func hostStops(ctx context.Context, p *prover) (string, error) {
	traced := make(chan error, 1)
	req := p.trace("order-stop", 2*time.Second)
	go func() {
		answer, err := p.host(0).Submit(ctx, req)
		if done, ok := answer.Outcome.(outcome.Done); err == nil && answer.Outcome != nil && (!ok || string(done.Answer) != "match "+string(req.Payload)) {
			err = fmt.Errorf("the trace in flight ended as %#v", answer.Outcome)
		}
		traced <- err
	}()
	time.Sleep(200 * time.Millisecond)
	entry := p.fleet.Balancer.Client()
	entry.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	sum, stopped := tally{}, make(chan error, 1)
	go func() { stopped <- p.fleet.Hosts[0].Stop() }()
	for started := time.Now(); time.Since(started) < 6*time.Second; {
		lookup := p.lookup()
		answer, err := entry.Submit(ctx, lookup)
		sum.take(lookup, answer, err)
	}
	if err := errors.Join(<-stopped, <-traced, sum.wrong); err != nil {
		return "", err
	}
	if sum.cut+sum.notRun+sum.unknown > 0 {
		return "", errors.New(sum.String())
	}
	return "a trace in flight ended, the host exited 0, and through the balancer: " + sum.String(), nil
}

func (p *prover) apply(ctx context.Context, to *client.Client, req *wire.ApplyRequest) error {
	body, err := protojson.Marshal(req)
	if err != nil {
		return err
	}
	_, err = to.Call(ctx, http.MethodPost, "/v1/operator/configuration", body)
	return err
}

func (p *prover) revisions(ctx context.Context) (map[string]int64, error) {
	out := map[string]int64{}
	for i, host := range p.fleet.Hosts {
		if host.Ended() {
			continue
		}
		text, err := p.host(i).Call(ctx, http.MethodGet, "/v1/operator/configuration", nil)
		if err != nil {
			return nil, err
		}
		held := &wire.ConfigurationView{}
		if err := protojson.Unmarshal(text, held); err != nil {
			return nil, err
		}
		out[host.Name] = held.GetManifest().GetRevision()
	}
	return out, nil
}

func configurationStays(ctx context.Context, p *prover) (string, error) {
	raced := make(chan error, 3)
	for i := range 3 {
		name := fmt.Sprintf("5%d-team.toml", i)
		file := &wire.ConfigurationFileBody{Name: name, Content: []byte(fmt.Sprintf("[organisations.team%d]\n", i))}
		go func() {
			raced <- p.apply(ctx, p.host(i), &wire.ApplyRequest{BaseRevision: 1, Operator: name, Files: []*wire.ConfigurationFileBody{file}})
		}()
	}
	if err := errors.Join(<-raced, <-raced, <-raced); err != nil {
		return "", fmt.Errorf("three operators on different files at once: %w", err)
	}
	start := time.Now()
	for {
		held, err := p.revisions(ctx)
		if err != nil {
			return "", err
		}
		behind := ""
		for name, revision := range held {
			if revision < 4 {
				behind = name
			}
		}
		if behind == "" {
			break
		}
		if time.Since(start) > configBound {
			return "", fmt.Errorf("revision 4 is not in force on %s after %s", behind, configBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
	inForce := time.Since(start)
	if _, err := p.fleet.Store.Set(ctx, &wire.FaultSettings{Refuse: true}); err != nil {
		return "", err
	}
	p.fleet.Hosts[2].Kill()
	reborn, err := p.fleet.StartHost(ctx, "vest-1-entry-9", "vest-1")
	if err != nil {
		return "", err
	}
	started := time.Now()
	for {
		held, err := p.revisions(ctx)
		if err == nil && held[reborn.Name] == 4 {
			return fmt.Sprintf("3 operators at once, in force on 3 hosts after %s; a host started while the store was out held revision 4 after %s",
				inForce.Round(time.Millisecond), time.Since(started).Round(time.Millisecond)), nil
		}
		if time.Since(started) > configBound {
			return "", fmt.Errorf("the new host holds revision %d: %w", held[reborn.Name], err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

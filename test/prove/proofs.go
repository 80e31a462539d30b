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
	// urgentBound is the time within which an urgent gang has to run.
	urgentBound = 7400 * time.Millisecond
	// leavingBound is the time after which a leaving runner must get no new requests.
	leavingBound = 3 * time.Second
	// configBound is the time within which a new configuration has to be in force on every
	// host, and the newest one on a host that starts during a store outage.
	configBound = 5 * time.Second
	// gangRepairBound is the lease after which a lost member is noticed, plus the lease after
	// which the other members end, plus one second.
	gangRepairBound = 13 * time.Second
)

// proofs returns the proofs in the order in which they run.
func proofs() []proof {
	return []proof{
		{"nonIdempotentAtMostOnce", "hostKilledDuringTrace", killedDuringTrace},
		{"nonIdempotentAtMostOnce", "hostFrozenPastLease", frozenPastLease},
		{"nonIdempotentAtMostOnce", "storeLosesAnswers", storeLosesAnswers},
		{"notRunDidNotRun", "storeOut", storeUnavailable},
		{"wholeOwnAnswer", "connectionsSilent", connectionsSilent},
		{"wholeOwnAnswer", "answersCrossedAndCut", answersCrossedAndTruncated},
		{"leavingTargetNoNewWork", "runnerLeaves", runnerLeaves},
		{"plannedStopCutsOffNothing", "hostStops", hostStops},
		{"configurationInForceAndNeverReverts", "storeOutAndRestart", configurationStays},
		{"gangWhole", "workerDies", workerDies},
		{"urgentStart", "plannerKilled", plannerKilled},
	}
}

// killedDuringTrace kills the host that dispatched a trace, and repeats the request on another
// host.
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
		return "", fmt.Errorf("the repeat got ticket %s, want the first one, %s: %w", repeat.Ticket, first.Ticket, err)
	}
	return p.checkOneRun(ctx, 2, first.Ticket, req)
}

// checkOneRun waits for the outcome of a trace on a host, and checks that the trace ran at
// most once and that the host returns its whole answer.
func (p *prover) checkOneRun(ctx context.Context, host int, ticket string, req client.Request) (string, error) {
	out, err := p.waitForOutcome(ctx, host, ticket, 40*time.Second)
	if err != nil {
		return "", err
	}
	runs, err := p.runs(ctx, ticket)
	done, ok := out.(outcome.Done)
	switch {
	case err != nil:
		return "", err
	case runs > 1:
		return "", fmt.Errorf("the trace ran %d times, want at most 1", runs)
	case !ok || string(done.Answer) != "match "+string(req.Payload):
		return "", fmt.Errorf("runs=%d, and the trace ended as %#v, want its whole answer", runs, out)
	}
	return fmt.Sprintf("runs=%d, and another host returned the whole answer", runs), nil
}

// frozenPastLease freezes a host for longer than its lease while it has a trace in flight, and
// then repeats the request on that host.
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
	return p.checkOneRun(ctx, 1, first.Ticket, req)
}

// storeLosesAnswers sends traces and repeats them on other hosts, while the store loses 30 %
// of its answers.
func storeLosesAnswers(ctx context.Context, p *prover) (string, error) {
	if _, err := p.fleet.Store.Set(ctx, &wire.FaultSettings{LoseAnswers: 0.3}); err != nil {
		return "", err
	}
	const traces = 20
	answered := 0
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
			repeatRuns, repeatErr := p.runs(ctx, repeat.Ticket)
			runs, err = runs+repeatRuns, repeatErr
		}
		if err != nil || runs > 1 {
			return "", fmt.Errorf("%s ran %d times, tickets %q and %q: %w", req.Key, runs, answer.Ticket, repeat.Ticket, err)
		}
		if _, ok := answer.Outcome.(outcome.Done); ok {
			answered++
		}
	}
	return fmt.Sprintf("%d traces and their repeats on other hosts, none ran twice, %d answered at once", traces, answered), nil
}

// storeUnavailable sends traces and lookups while the store refuses all calls. Traces need a
// durable record and have to be refused; lookups have to be answered.
func storeUnavailable(ctx context.Context, p *prover) (string, error) {
	if _, err := p.fleet.Store.Set(ctx, &wire.FaultSettings{Refuse: true}); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	stop := p.startLoad(ctx, 6, 0, 1, 2)
	refused, started := 0, time.Now()
	for time.Since(started) < 5*time.Second {
		req := client.Request{Organisation: "shops", Class: "lineageTrace", Payload: p.payload(), Declared: 20 * time.Millisecond}
		answer, err := p.host(refused%3).Submit(ctx, req)
		if err != nil {
			return "", err
		}
		if _, ok := answer.Outcome.(outcome.NotRun); !ok {
			return "", fmt.Errorf("a trace without a durable intent ended as %#v, want not run", answer.Outcome)
		}
		if runs, err := p.runs(ctx, answer.Ticket); err != nil || runs != 0 {
			return "", fmt.Errorf("a trace was reported as not run, but ran %d times: %w", runs, err)
		}
		refused++
	}
	sum, err := stop()
	if err != nil || sum.done == 0 || sum.notRun+sum.unknown+sum.callErrors > 0 {
		return "", fmt.Errorf("lookups during the outage: %s: %w", sum.String(), err)
	}
	return fmt.Sprintf("%d traces refused, and none ran; lookups continued: %s", refused, sum.String()), nil
}

// connectionsSilent makes the open connections of a random runner silent, four times, under
// load.
func connectionsSilent(ctx context.Context, p *prover) (string, error) {
	stop := p.startLoad(ctx, 12, 0, 1, 2)
	for range 4 {
		time.Sleep(1500 * time.Millisecond)
		if _, err := p.fleet.RunnerProcesses[p.random.IntN(3)].Set(ctx, &wire.FaultSettings{Silence: true}); err != nil {
			return "", err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	sum, err := stop()
	if err != nil || sum.notRun+sum.unknown+sum.pending+sum.callErrors > 0 {
		return "", fmt.Errorf("%s: %w", sum.String(), err)
	}
	return "all open connections of a runner went silent, 4 times: " + sum.String(), nil
}

// answersCrossedAndTruncated lets one runner send answers to the wrong requests, and another
// one truncate its answers. No caller may get a wrong answer.
func answersCrossedAndTruncated(ctx context.Context, p *prover) (string, error) {
	stop := p.startLoad(ctx, 12, 0, 1, 2)
	for i := range 2 {
		if _, err := p.fleet.RunnerProcesses[i].Set(ctx, &wire.FaultSettings{CrossAnswers: i == 0, TruncateAnswers: i == 1}); err != nil {
			return "", err
		}
	}
	time.Sleep(5 * time.Second)
	sum, err := stop()
	if err != nil || sum.done == 0 {
		return "", fmt.Errorf("%s: %w", sum.String(), err)
	}
	return "one runner crossed answers, one truncated them, and no caller got a wrong answer: " + sum.String(), nil
}

// runnerLeaves marks a runner as leaving under load. After leavingBound it must get no new
// requests.
func runnerLeaves(ctx context.Context, p *prover) (string, error) {
	leaving := p.fleet.RunnerProcesses[0]
	stop := p.startLoad(ctx, 12, 0, 1, 2)
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
	if err != nil || after != before || sum.notRun+sum.unknown+sum.callErrors > 0 {
		return "", fmt.Errorf("%d requests reached the leaving runner after %s, want 0; %s: %w", after-before, leavingBound, sum.String(), err)
	}
	return fmt.Sprintf("0 requests reached the leaving runner after %s, which includes the delay of the list: %s", leavingBound, sum.String()), nil
}

// hostStops stops a host gracefully while it has a trace in flight and the load balancer sends
// requests. No request may be cut off.
func hostStops(ctx context.Context, p *prover) (string, error) {
	traceEnded := make(chan error, 1)
	req := p.trace("order-stop", 2*time.Second)
	go func() {
		answer, err := p.host(0).Submit(ctx, req)
		if done, ok := answer.Outcome.(outcome.Done); err == nil && answer.Outcome != nil && (!ok || string(done.Answer) != "match "+string(req.Payload)) {
			err = fmt.Errorf("the trace in flight ended as %#v, want its whole answer", answer.Outcome)
		}
		traceEnded <- err
	}()
	time.Sleep(200 * time.Millisecond)
	entry := p.fleet.Balancer.Client()
	entry.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	sum, stopped := tally{}, make(chan error, 1)
	go func() { stopped <- p.fleet.Hosts[0].Stop() }()
	for started := time.Now(); time.Since(started) < 6*time.Second; {
		lookup := p.lookup()
		answer, err := entry.Submit(ctx, lookup)
		sum.add(lookup, answer, err)
	}
	if err := errors.Join(<-stopped, <-traceEnded, sum.wrongAnswer); err != nil {
		return "", err
	}
	if sum.callErrors+sum.notRun+sum.unknown > 0 {
		return "", errors.New(sum.String())
	}
	return "the trace in flight ended, the host exited with code 0, and requests through the load balancer: " + sum.String(), nil
}

func (p *prover) apply(ctx context.Context, to *client.Client, req *wire.ApplyRequest) error {
	body, err := protojson.Marshal(req)
	if err != nil {
		return err
	}
	_, err = to.Call(ctx, http.MethodPost, "/v1/operator/configuration", body)
	return err
}

// revisions returns the revision of the configuration in force on each running host, by name.
// It returns an error if one of them does not answer.
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
		view := &wire.ConfigurationView{}
		if err := protojson.Unmarshal(text, view); err != nil {
			return nil, err
		}
		out[host.Name] = view.GetManifest().GetRevision()
	}
	return out, nil
}

// configurationStays lets three operators change different files at the same time. It then
// makes the store unavailable, and starts a host, which has to get the newest revision from
// the other hosts.
func configurationStays(ctx context.Context, p *prover) (string, error) {
	applied := make(chan error, 3)
	for i := range 3 {
		name := fmt.Sprintf("5%d-team.toml", i)
		file := &wire.ConfigurationFileBody{Name: name, Content: []byte(fmt.Sprintf("[organisations.team%d]\n", i))}
		go func() {
			applied <- p.apply(ctx, p.host(i), &wire.ApplyRequest{BaseRevision: 1, Operator: name, Files: []*wire.ConfigurationFileBody{file}})
		}()
	}
	if err := errors.Join(<-applied, <-applied, <-applied); err != nil {
		return "", fmt.Errorf("three operators applied different files at the same time: %w", err)
	}
	start := time.Now()
	for {
		revisionByHost, err := p.revisions(ctx)
		if err != nil {
			return "", err
		}
		hostBehind := ""
		for name, revision := range revisionByHost {
			if revision < 4 {
				hostBehind = name
			}
		}
		if hostBehind == "" {
			break
		}
		if time.Since(start) > configBound {
			return "", fmt.Errorf("revision 4 is not in force on %s after %s", hostBehind, configBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
	inForce := time.Since(start)
	if _, err := p.fleet.Store.Set(ctx, &wire.FaultSettings{Refuse: true}); err != nil {
		return "", err
	}
	p.fleet.Hosts[2].Kill()
	newHost, err := p.fleet.StartHost(ctx, "vest-1-entry-9", "vest-1")
	if err != nil {
		return "", err
	}
	started := time.Now()
	for {
		revisionByHost, err := p.revisions(ctx)
		if err == nil && revisionByHost[newHost.Name] == 4 {
			return fmt.Sprintf("3 operators at once, in force on 3 hosts after %s; a host started during the store outage had revision 4 after %s",
				inForce.Round(time.Millisecond), time.Since(started).Round(time.Millisecond)), nil
		}
		if time.Since(started) > configBound {
			return "", fmt.Errorf("the new host has revision %d, want 4: %w", revisionByHost[newHost.Name], err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

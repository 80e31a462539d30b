// Command prove causes failures in a zone of real processes, and prints one line for each
// promise that it checked under a failure. Its arguments are the folder of the built programs
// and optionally the seed. It exits with code 1 if a promise was broken.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/client"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
	"github.com/eelgrasstide/eelgrasstide/test/fleet"
)

const (
	totalTimeout = 8 * time.Minute
	proofTimeout = time.Minute
	// settleTime is the time between the first answers of all hosts and the start of a proof.
	settleTime  = 2 * time.Second
	defaultSeed = 1
)

// proof checks one promise under one fault. run returns what was seen, and an error if the
// promise was broken.
type proof struct {
	promise, fault string
	run            func(context.Context, *prover) (string, error)
}

// prover runs a proof on its own set of processes.
type prover struct {
	fleet  *fleet.Fleet
	random *rand.Rand
	// payloads is the number of payloads made, so that each payload is different.
	payloads int
	mu       sync.Mutex
}

func main() {
	seed := uint64(defaultSeed)
	if len(os.Args) > 2 {
		if value, err := strconv.ParseUint(os.Args[2], 10, 64); err == nil {
			seed = value
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), totalTimeout)
	defer cancel()
	broken := 0
	for _, p := range proofs() {
		start := time.Now()
		seen, err := prove(ctx, filepath.Clean(os.Args[1]), seed, p)
		verdict := "held"
		if err != nil {
			verdict, seen = "broken", err.Error()
			broken++
		}
		fmt.Printf("promise=%s fault=%s seed=%d verdict=%s time=%s seen=%q\n", p.promise, p.fault, seed, verdict, time.Since(start).Round(100*time.Millisecond), seen)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

// prove starts the processes for one proof and runs it.
func prove(ctx context.Context, bin string, seed uint64, proofToRun proof) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "eelgrasstide-prove-")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(dir)
	p := &prover{random: rand.New(rand.NewPCG(seed, 1)), fleet: &fleet.Fleet{
		Bin: bin, Dir: dir, HostsPerZone: map[string]int{"vest-1": 3}, RunnersPerZone: 3, WorkersPerZone: 4, WorkersPerRack: 4,
		Slowness: func(i int) float64 { return float64(1 + i) },
	}}
	defer p.fleet.Close()
	if err := p.fleet.Start(ctx); err != nil {
		return "", err
	}
	if err := p.configure(ctx); err != nil {
		return "", err
	}
	return proofToRun.run(ctx, p)
}

// configure applies the example configuration and waits until every host has answered a
// request.
func (p *prover) configure(ctx context.Context) error {
	files, err := filepath.Glob("docs/examples/slaegtsnavn/*.toml")
	if err != nil {
		return err
	}
	req := &wire.ApplyRequest{Operator: "prove"}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		req.Files = append(req.Files, &wire.ConfigurationFileBody{Name: filepath.Base(path), Content: text})
	}
	if err := p.apply(ctx, p.host(0), req); err != nil {
		return err
	}
	if err := p.fleet.WaitReady(ctx); err != nil {
		return err
	}
	for i := range p.fleet.Hosts {
		for ctx.Err() == nil {
			answer, err := p.host(i).Submit(ctx, p.lookup())
			if _, ok := answer.Outcome.(outcome.Done); err == nil && ok {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return ctx.Err()
}

// host returns a client of a host that opens a new connection for each call.
func (p *prover) host(i int) *client.Client {
	hostClient := p.fleet.Hosts[i].Client()
	hostClient.HTTP = &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return hostClient
}

// payload returns a payload that no other request of the proof has.
func (p *prover) payload() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.payloads++
	return []byte(fmt.Sprintf("surname-%d", p.payloads))
}

// lookup returns an idempotent short request.
func (p *prover) lookup() client.Request {
	return client.Request{Organisation: "shops", Class: "nameMatch", Payload: p.payload(), Declared: 20 * time.Millisecond}
}

// trace returns a non-idempotent request.
func (p *prover) trace(key string, length time.Duration) client.Request {
	return client.Request{Organisation: "shops", Class: "lineageTrace", Key: key, Payload: p.payload(), Declared: length}
}

// runs returns how many times the runners together have started the request with a ticket.
func (p *prover) runs(ctx context.Context, ticket string) (int, error) {
	total := 0
	if ticket == "" {
		return 0, nil
	}
	for _, runner := range p.fleet.RunnerProcesses {
		status, err := wire.NewRunnerProtobufClient("http://"+runner.Address.String(), p.host(0).HTTP).Status(ctx, &wire.RunnerStatusRequest{})
		if err != nil {
			return 0, err
		}
		total += int(status.GetStarts()[ticket])
	}
	return total, nil
}

// startLoad sends lookups to the hosts until the context ends or the returned function is
// called. The returned function waits for the answers, and returns their outcomes and an error
// for a wrong one.
func (p *prover) startLoad(ctx context.Context, callers int, hosts ...int) func() (tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	var (
		sum   tally
		mu    sync.Mutex
		group sync.WaitGroup
	)
	for i := range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				req := p.lookup()
				answer, err := p.host(hosts[i%len(hosts)]).Submit(context.WithoutCancel(ctx), req)
				mu.Lock()
				sum.add(req, answer, err)
				mu.Unlock()
			}
		})
	}
	return func() (tally, error) {
		cancel()
		group.Wait()
		return sum, sum.wrongAnswer
	}
}

// tally counts the outcomes of requests. callErrors is the number of calls that returned an
// error.
type tally struct {
	done, notRun, unknown, pending, callErrors int
	slowest                                    time.Duration
	wrongAnswer                                error
}

// add counts one request, and records an error if its answer belongs to another request or is
// truncated.
func (t *tally) add(req client.Request, answer client.Answer, err error) {
	switch out := answer.Outcome.(type) {
	case outcome.Done:
		t.done++
		t.slowest = max(t.slowest, answer.Took)
		if string(out.Answer) != "match "+string(req.Payload) && !out.Failed {
			t.wrongAnswer = fmt.Errorf("the request with payload %s got the answer %q", req.Payload, out.Answer)
		}
	case outcome.NotRun:
		t.notRun++
	case outcome.Unknown:
		t.unknown++
	default:
		if err != nil {
			t.callErrors++
		} else {
			t.pending++
		}
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("done=%d notRun=%d unknown=%d pending=%d cut=%d slowest=%s", t.done, t.notRun, t.unknown, t.pending, t.callErrors, t.slowest.Round(time.Millisecond))
}

// waitForOutcome polls a ticket on a host until it has an outcome. It returns an error after
// the timeout.
func (p *prover) waitForOutcome(ctx context.Context, host int, ticket string, timeout time.Duration) (outcome.Outcome, error) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		answer, err := p.host(host).Poll(ctx, ticket, time.Second)
		if err == nil && answer.Outcome != nil {
			return answer.Outcome, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("ticket %s has no outcome after %s", ticket, timeout)
}

func (p *prover) signal(i int, signal syscall.Signal) { _ = p.fleet.Hosts[i].Signal(signal) }

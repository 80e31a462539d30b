package dispatcher_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"github.com/twitchtv/twirp"

	"github.com/eelgrasstide/eelgrasstide/internal/admission"
	"github.com/eelgrasstide/eelgrasstide/internal/dispatcher"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/retry"
	"github.com/eelgrasstide/eelgrasstide/internal/router"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/runner"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

var (
	sequences = flag.Int("sequences", 60, "command sequences for each seed")
	seed      = flag.Int64("seed", 1, "first seed")
	seeds     = flag.Int("seeds", 3, "number of seeds")
)

const testRules = `
[organisations.a]
[organisations.b]
weight = 3
[classes.lookup]
kind = "short"
urgency = "urgent"
idempotent = true
hedge = true
deadline = "2s"
[classes.reprint]
kind = "short"
deadline = "2s"
storeOutage = "carryOn"
[classes.stamp]
kind = "short"
deadline = "30s"
[classes.trace]
kind = "trace"
deadline = "20s"
[classes.sweep]
kind = "trace"
idempotent = true
deadline = "20s"
[rules.r1]
organisation = "a"
class = "lookup"
[rules.r2]
organisation = "a"
class = "reprint"
[rules.r6]
organisation = "a"
class = "stamp"
[rules.r3]
organisation = "b"
class = "trace"
[rules.r4]
organisation = "b"
class = "sweep"
[rules.r5]
organisation = "b"
class = "lookup"
`

// runnerPool simulates the runners. It counts the runs of each payload for the oracle and injects
// the faults that the commands set. The maps ended, closed and running are keyed by the runner's
// name, then by the request's ID.
type runnerPool struct {
	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]int
	ended   map[string]map[string]outcome.Outcome
	closed  map[string]map[string]bool
	running map[string]map[string]bool
	fault   [runnerCount]string
}

const (
	runnerCount = 3
	hostCount   = 3
)

func newRunnerPool(seed uint64) *runnerPool {
	p := &runnerPool{
		random: rand.New(rand.NewPCG(seed, 7)), runs: map[string]int{}, ended: map[string]map[string]outcome.Outcome{},
		closed: map[string]map[string]bool{}, running: map[string]map[string]bool{},
	}
	for i := range runnerCount {
		name := runnerName(i)
		p.ended[name], p.closed[name], p.running[name] = map[string]outcome.Outcome{}, map[string]bool{}, map[string]bool{}
	}
	return p
}

func runnerName(i int) string { return fmt.Sprintf("runner-%d", i) }

// poolRunner is a host's client of one simulated runner.
type poolRunner struct {
	runnerPool *runnerPool
	index      int
	host       *testHost
}

func (r *poolRunner) Run(ctx context.Context, req *wire.RunRequest) runner.Report {
	p, name := r.runnerPool, runnerName(r.index)
	p.mu.Lock()
	fault := p.fault[r.index]
	if fault == "busy" || len(p.running[name]) >= 8 {
		p.mu.Unlock()
		return runner.Report{Health: runner.Busy, Outcome: outcome.NotRun{Reason: "busy", RetryAfter: time.Second}}
	}
	if fault == "leaving" || p.closed[name][req.GetId()] {
		p.mu.Unlock()
		return runner.Report{Health: runner.Leaving, Outcome: outcome.NotRun{Reason: "leaving"}}
	}
	if fault == "swallow" {
		// The request never reaches the runner, which the caller can't detect.
		p.mu.Unlock()
		return runner.Report{Health: runner.ConnectionLost, Outcome: outcome.Unknown{Reason: "silent", Target: name}}
	}
	p.runs[string(req.GetPayload())]++
	p.running[name][req.GetId()] = true
	length := time.Duration(1+p.random.IntN(300)) * time.Millisecond
	p.mu.Unlock()
	done := make(chan runner.Report, 1)
	go func() {
		time.Sleep(length)
		done <- p.complete(name, req, fault)
	}()
	select {
	case report := <-done:
		r.host.waitWhileFrozen()
		if fault == "lose" {
			return runner.Report{Health: runner.ConnectionLost, Outcome: outcome.Unknown{Reason: "lost", Target: name}}
		}
		return report
	case <-ctx.Done():
		return runner.Report{Health: runner.ConnectionLost, Outcome: outcome.Unknown{Reason: "gave up", Target: name}}
	}
}

func (p *runnerPool) complete(name string, req *wire.RunRequest, fault string) runner.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running[name], req.GetId())
	report := runner.Report{Outcome: outcome.Done{Answer: append([]byte("for "), req.GetPayload()...), Target: name}}
	if fault == "fail" {
		report = runner.Report{Health: runner.Failed, Outcome: outcome.Done{Failed: true, Target: name}}
	}
	p.ended[name][req.GetId()] = report.Outcome
	return report
}

func (r *poolRunner) Resolve(_ context.Context, id string) (outcome.Outcome, bool) {
	p, name := r.runnerPool, runnerName(r.index)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault[r.index] == "unreachable" {
		return outcome.Unknown{Reason: "unreachable"}, false
	}
	if p.running[name][id] {
		return outcome.Unknown{Reason: "running"}, true
	}
	if out, ok := p.ended[name][id]; ok {
		return out, false
	}
	p.closed[name][id] = true
	return outcome.NotRun{Reason: "never seen", RetryAfter: time.Second}, false
}

// faultyStore is a host's store client with injected faults.
type faultyStore struct {
	wire.Store
	host *testHost
}

func (s *faultyStore) injectFault(ctx context.Context) error {
	s.host.waitWhileFrozen()
	switch s.host.currentStoreFault() {
	case "down":
		return twirp.NewError(twirp.Unavailable, "down").WithMeta("effect", "none")
	case "silent":
		time.Sleep(3 * time.Second)
		return twirp.NewError(twirp.DeadlineExceeded, "silent")
	case "unanswered":
		<-ctx.Done()
		return twirp.NewError(twirp.DeadlineExceeded, "unanswered")
	}
	return nil
}

func (s *faultyStore) Put(ctx context.Context, req *wire.PutRequest) (*wire.PutResponse, error) {
	if err := s.injectFault(ctx); err != nil {
		return nil, err
	}
	answer, err := s.Store.Put(ctx, req)
	if err == nil && s.host.currentStoreFault() == "lose" && s.host.randomBool() {
		return nil, twirp.NewError(twirp.Internal, "the answer was lost")
	}
	s.host.waitWhileFrozen()
	return answer, err
}

func (s *faultyStore) List(ctx context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	if err := s.injectFault(ctx); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, req)
}

// testHost is one host with its dispatcher, journal and store client.
type testHost struct {
	cluster    *cluster
	name       string
	dispatcher *dispatcher.Dispatcher
	store      *store.Store
	cancel     context.CancelFunc

	mu     sync.Mutex
	fault  string
	frozen chan struct{}
	dead   bool
	random *rand.Rand
}

func (h *testHost) currentStoreFault() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fault
}

func (h *testHost) randomBool() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(2) == 0
}

// waitWhileFrozen blocks while the host is frozen, and until the end of the test if it is dead.
func (h *testHost) waitWhileFrozen() {
	h.mu.Lock()
	frozen := h.frozen
	h.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-h.cluster.closed:
		}
	}
}

// cluster is the simulated system: the store, the runners and the hosts.
type cluster struct {
	store        *keyvalue.KeyValue
	runnerPool   *runnerPool
	rules        *rules.Rules
	hosts        []*testHost
	hostsStarted int
	sent         []*sent
	closed       chan struct{}
	seed         uint64
}

// sent records one request of a caller and its outcomes for the oracle.
type sent struct {
	payload    string
	idempotent bool
	key        string
	req        *wire.WorkRequest

	mu       sync.Mutex
	tickets  []string
	outcomes []outcome.Outcome
	// deliveries counts the submissions; lastNotRun is the number of the last one that was
	// reported as not run.
	deliveries, lastNotRun int
	violation              string
}

// recordAnswer records the answer to one submission. A request that is reported as not run must
// not have run by then.
func (s *sent) recordAnswer(delivery int, ticket string, out outcome.Outcome, runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ticket != "" {
		s.tickets = append(s.tickets, ticket)
	}
	if out == nil {
		return
	}
	s.outcomes = append(s.outcomes, out)
	if _, ok := out.(outcome.NotRun); ok && !s.idempotent {
		s.lastNotRun = delivery
		if runs > 0 {
			s.violation = s.payload + " was reported as not run after it had run"
		}
	}
}

func newCluster(seed uint64) *cluster {
	merged, problems := rules.Merge(1, []rules.File{{Name: "a.toml", Text: []byte(testRules)}})
	if len(problems) > 0 {
		panic(problems)
	}
	c := &cluster{store: &keyvalue.KeyValue{}, runnerPool: newRunnerPool(seed), rules: merged, closed: make(chan struct{}), seed: seed}
	for range hostCount {
		c.hosts = append(c.hosts, c.startHost())
	}
	return c
}

func (c *cluster) startHost() *testHost {
	c.hostsStarted++
	h := &testHost{cluster: c, name: fmt.Sprintf("host~%d", c.hostsStarted), random: rand.New(rand.NewPCG(c.seed, uint64(c.hostsStarted)))}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.store = &store.Store{Backend: &faultyStore{Store: c.store, host: h}}
	hostJournal := &journal.Journal{Store: h.store, Incarnation: h.name, Writer: h.name}
	h.dispatcher = &dispatcher.Dispatcher{
		Incarnation: h.name, Journal: hostJournal, Store: h.store, Rules: func() *rules.Rules { return c.rules },
		Runner: func(l router.Listing) dispatcher.Target {
			var index int
			fmt.Sscanf(l.Name, "runner-%d", &index)
			return &poolRunner{runnerPool: c.runnerPool, index: index, host: h}
		},
		Router: &router.Router{Self: h.name, MaxPerRunner: 7, Random: rand.New(rand.NewPCG(c.seed, 11))},
		Queue:  &admission.Queue{Limit: 50}, Budget: &retry.Budget{}, Capacity: 64, Locate: c.locate,
	}
	h.dispatcher.Prepare(ctx)
	var listed []router.Listing
	for i := range runnerCount {
		listed = append(listed, router.Listing{Name: runnerName(i), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))})
	}
	h.dispatcher.Update(listed, nil)
	go hostJournal.Run(ctx, 0)
	go h.dispatcher.Run(ctx)
	return h
}

// locate stands in for the hosts' lookup of a ticket at its owner or in the owner's journal.
func (c *cluster) locate(ctx context.Context, ticket string) outcome.Outcome {
	for _, h := range c.hosts {
		if out, ok := h.dispatcher.Find(ctx, ticket, 0); ok && !h.dead {
			return out
		}
	}
	return nil
}

// kill marks a host as dead. Its calls block until the end of the test.
func (c *cluster) kill(h *testHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen == nil {
		h.frozen = make(chan struct{})
	}
	h.dead = true
}

// adopt makes another host adopt a host's journal, as if that host's lease had lapsed.
func (c *cluster) adopt(by, from *testHost) {
	taken := &journal.Journal{Store: by.store, Incarnation: from.name, Writer: by.name}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	requests, err := taken.Adopt(ctx)
	if err != nil {
		return
	}
	loops, stop := context.WithCancel(context.Background())
	go func() {
		<-c.closed
		stop()
	}()
	go taken.Run(loops, 0)
	by.dispatcher.Adopt(requests, taken)
}

func (c *cluster) runs(s *sent) int {
	c.runnerPool.mu.Lock()
	defer c.runnerPool.mu.Unlock()
	return c.runnerPool.runs[s.payload]
}

// violations is the oracle: it checks every request sent so far and returns the violations that
// it finds, or an empty string.
func (c *cluster) violations() string {
	var out []string
	for _, s := range c.sent {
		runs := c.runs(s)
		s.mu.Lock()
		for _, ticket := range s.tickets {
			for _, h := range c.hosts {
				if out, ok := h.dispatcher.Find(context.Background(), ticket, 0); ok && out != nil {
					s.outcomes = append(s.outcomes, out)
				}
			}
		}
		if !s.idempotent && runs > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", s.payload, runs))
		}
		for _, end := range s.outcomes {
			switch end := end.(type) {
			case outcome.NotRun:
				if !s.idempotent && s.deliveries == 1 && runs > 0 {
					out = append(out, s.payload+" was reported as not run but ran: "+end.Reason)
				}
			case outcome.Done:
				if !end.Failed && string(end.Answer) != "for "+s.payload {
					out = append(out, fmt.Sprintf("%s got the answer %q", s.payload, end.Answer))
				}
				if runs == 0 {
					out = append(out, s.payload+" was reported as done but never ran")
				}
			}
		}
		if s.lastNotRun == s.deliveries && s.lastNotRun > 0 && runs > 0 {
			out = append(out, s.payload+" ran although its last submission was reported as not run")
		}
		if s.violation != "" {
			out = append(out, s.violation)
		}
		s.mu.Unlock()
	}
	return strings.Join(out, "; ")
}

func (c *cluster) close() {
	close(c.closed)
	for _, h := range c.hosts {
		h.cancel()
	}
	time.Sleep(time.Minute)
}

// command is one step of a sequence. There is no separate model state, as the oracle checks only
// effects.
type command struct {
	name string
	run  func(c *cluster)
}

func (cmd command) Run(sut commands.SystemUnderTest) commands.Result {
	c := sut.(*cluster)
	cmd.run(c)
	synctest.Wait()
	return c.violations()
}
func (cmd command) NextState(state commands.State) commands.State { return state }
func (cmd command) PreCondition(commands.State) bool              { return true }
func (cmd command) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if text := result.(string); text != "" {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{text}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}
func (cmd command) String() string { return cmd.name }

// submit sends a new request to a host. Kind 0 is of class lookup, 1 of reprint, 2 of trace with a
// key, 3 of sweep, 4 of trace without a key, and 5 of stamp.
func submit(host, kind int) command {
	return command{name: fmt.Sprintf("submit(%d,%d)", host, kind), run: func(c *cluster) {
		h := c.hosts[host]
		s := &sent{payload: fmt.Sprintf("p%d", len(c.sent))}
		s.req = &wire.WorkRequest{Organisation: "b", Class: "trace", Payload: []byte(s.payload)}
		switch kind {
		case 0:
			s.req.Organisation, s.req.Class, s.idempotent = "a", "lookup", true
		case 1:
			s.req.Organisation, s.req.Class = "a", "reprint"
		case 2:
			s.key = s.payload
		case 5:
			s.req.Organisation, s.req.Class = "a", "stamp"
		case 3:
			s.req.Class, s.idempotent = "sweep", true
		}
		s.req.Key = s.key
		c.sent = append(c.sent, s)
		c.deliver(h, s)
	}}
}

// deliver submits a request in the background, as callers do, and waits up to 5 s for the answer.
func (c *cluster) deliver(h *testHost, s *sent) {
	s.mu.Lock()
	s.deliveries++
	delivery := s.deliveries
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		ticket, out := h.dispatcher.Submit(context.Background(), s.req)
		s.recordAnswer(delivery, ticket, out, c.runs(s))
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// repeat submits an earlier request again to any host if it has a key.
func repeat(host, index int) command {
	return command{name: fmt.Sprintf("repeat(%d,%d)", host, index), run: func(c *cluster) {
		if len(c.sent) == 0 {
			return
		}
		if s := c.sent[index%len(c.sent)]; s.key != "" {
			c.deliver(c.hosts[host], s)
		}
	}}
}

func runnerFault(index int, fault string) command {
	return command{name: fmt.Sprintf("runner(%d,%s)", index, fault), run: func(c *cluster) {
		c.runnerPool.mu.Lock()
		defer c.runnerPool.mu.Unlock()
		c.runnerPool.fault[index%runnerCount] = fault
	}}
}

func storeFault(host int, fault string) command {
	return command{name: fmt.Sprintf("store(%d,%s)", host, fault), run: func(c *cluster) {
		h := c.hosts[host]
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fault = fault
	}}
}

// freeze blocks a host at its next call to the store or answer of a runner for 10 s. If adopted
// is set, the two other hosts then try to adopt its journal at once. The host resumes, or is
// replaced by a new one if killed is set.
func freeze(host int, adopted, killed bool) command {
	return command{name: fmt.Sprintf("freeze(%d,%t,%t)", host, adopted, killed), run: func(c *cluster) {
		h := c.hosts[host]
		h.mu.Lock()
		h.frozen = make(chan struct{})
		frozen := h.frozen
		h.mu.Unlock()
		time.Sleep(10 * time.Second)
		if adopted {
			first, second := c.hosts[(host+1)%hostCount], c.hosts[(host+2)%hostCount]
			ended := make(chan struct{})
			go func() { c.adopt(first, h); close(ended) }()
			c.adopt(second, h)
			<-ended
		}
		if killed {
			c.kill(h)
			// The first hostCount hosts are alive. Dead ones are kept after them for the oracle.
			c.hosts[host] = c.startHost()
			c.hosts = append(c.hosts, h)
			return
		}
		h.mu.Lock()
		h.frozen = nil
		h.mu.Unlock()
		close(frozen)
	}}
}

func wait(length time.Duration) command {
	return command{name: "wait(" + length.String() + ")", run: func(*cluster) { time.Sleep(length) }}
}

func genCommand() gopter.Gen {
	runnerFaults := []any{"", "", "busy", "leaving", "swallow", "lose", "fail", "unreachable"}
	storeFaults := []any{"", "", "down", "silent", "lose"}
	return gen.Weighted([]gen.WeightedGen{
		{Weight: 10, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.IntRange(0, 5)).Map(func(v []any) commands.Command { return submit(v[0].(int), v[1].(int)) })},
		{Weight: 4, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.IntRange(0, 30)).Map(func(v []any) commands.Command { return repeat(v[0].(int), v[1].(int)) })},
		{Weight: 4, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.OneConstOf(runnerFaults...)).Map(func(v []any) commands.Command { return runnerFault(v[0].(int), v[1].(string)) })},
		{Weight: 3, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.OneConstOf(storeFaults...)).Map(func(v []any) commands.Command { return storeFault(v[0].(int), v[1].(string)) })},
		{Weight: 2, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.Bool(), gen.Bool()).Map(func(v []any) commands.Command { return freeze(v[0].(int), v[1].(bool), v[2].(bool)) })},
		{Weight: 4, Gen: gen.IntRange(0, 4000).Map(func(ms int) commands.Command { return wait(time.Duration(ms) * time.Millisecond) })},
	})
}

// TestPromisesOfRequests runs random sequences of requests and faults against three hosts, their
// journals, the store and the runners. The oracle counts the runs at the runners.
func TestPromisesOfRequests(t *testing.T) {
	for i := range *seeds {
		first := *seed + int64(i)
		t.Run(fmt.Sprintf("seed %d", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				parameters := gopter.DefaultTestParametersWithSeed(first)
				parameters.MinSuccessfulTests, parameters.MaxSize, parameters.Workers = *sequences, 60, 1
				parameters.MaxShrinkCount = 200
				properties := gopter.NewProperties(parameters)
				properties.Property("promises", commands.Prop(&commands.ProtoCommands{
					NewSystemUnderTestFunc:     func(commands.State) commands.SystemUnderTest { return newCluster(uint64(first)) },
					DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) { sut.(*cluster).close() },
					InitialStateGen:            gen.Const(struct{}{}),
					GenCommandFunc:             func(commands.State) gopter.Gen { return genCommand() },
				}))
				properties.TestingRun(t)
			})
		})
	}
}

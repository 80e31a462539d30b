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

const fuzzRules = `
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

// plant is the runners: it counts the runs of each payload, which is what the
// oracle needs, and spoils calls as the commands say.
type plant struct {
	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]int
	seen    map[string]map[string]outcome.Outcome
	closed  map[string]map[string]bool
	running map[string]map[string]bool
	fault   [plantSize]string
}

const (
	plantSize = 3
	hostCount = 3
)

func newPlant(seed uint64) *plant {
	p := &plant{
		random: rand.New(rand.NewPCG(seed, 7)), runs: map[string]int{}, seen: map[string]map[string]outcome.Outcome{},
		closed: map[string]map[string]bool{}, running: map[string]map[string]bool{},
	}
	for i := range plantSize {
		name := runnerName(i)
		p.seen[name], p.closed[name], p.running[name] = map[string]outcome.Outcome{}, map[string]bool{}, map[string]bool{}
	}
	return p
}

func runnerName(i int) string { return fmt.Sprintf("runner-%d", i) }

type plantRunner struct {
	plant *plant
	index int
	host  *fuzzHost
}

func (r *plantRunner) Run(ctx context.Context, req *wire.RunRequest) runner.Report {
	p, name := r.plant, runnerName(r.index)
	p.mu.Lock()
	fault := p.fault[r.index]
	if fault == "busy" || len(p.running[name]) >= 8 {
		p.mu.Unlock()
		return runner.Report{Sign: runner.Busy, Outcome: outcome.NotRun{Reason: "busy", RetryAfter: time.Second}}
	}
	if fault == "leaving" || p.closed[name][req.GetId()] {
		p.mu.Unlock()
		return runner.Report{Sign: runner.Leaving, Outcome: outcome.NotRun{Reason: "leaving"}}
	}
	if fault == "swallow" {
		// The request never reaches the runner, and the caller can't tell.
		p.mu.Unlock()
		return runner.Report{Sign: runner.Lost, Outcome: outcome.Unknown{Reason: "silent", Target: name}}
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
		r.host.thaw()
		if fault == "lose" {
			return runner.Report{Sign: runner.Lost, Outcome: outcome.Unknown{Reason: "lost", Target: name}}
		}
		return report
	case <-ctx.Done():
		return runner.Report{Sign: runner.Lost, Outcome: outcome.Unknown{Reason: "gave up", Target: name}}
	}
}

func (p *plant) complete(name string, req *wire.RunRequest, fault string) runner.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running[name], req.GetId())
	report := runner.Report{Outcome: outcome.Done{Answer: append([]byte("for "), req.GetPayload()...), Target: name}}
	if fault == "fail" {
		report = runner.Report{Sign: runner.Failed, Outcome: outcome.Done{Failed: true, Target: name}}
	}
	p.seen[name][req.GetId()] = report.Outcome
	return report
}

func (r *plantRunner) Resolve(_ context.Context, id string) (outcome.Outcome, bool) {
	p, name := r.plant, runnerName(r.index)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault[r.index] == "unreachable" {
		return outcome.Unknown{Reason: "unreachable"}, false
	}
	if p.running[name][id] {
		return outcome.Unknown{Reason: "running"}, true
	}
	if out, ok := p.seen[name][id]; ok {
		return out, false
	}
	p.closed[name][id] = true
	return outcome.NotRun{Reason: "never seen", RetryAfter: time.Second}, false
}

// cutStore is a host's way to the store, with faults.
type cutStore struct {
	wire.Store
	host *fuzzHost
}

func (s *cutStore) before() error {
	s.host.thaw()
	switch s.host.storeFault() {
	case "down":
		return twirp.NewError(twirp.Unavailable, "down").WithMeta("effect", "none")
	case "silent":
		time.Sleep(3 * time.Second)
		return twirp.NewError(twirp.DeadlineExceeded, "silent")
	}
	return nil
}

func (s *cutStore) Put(ctx context.Context, req *wire.PutRequest) (*wire.PutResponse, error) {
	if err := s.before(); err != nil {
		return nil, err
	}
	answer, err := s.Store.Put(ctx, req)
	if err == nil && s.host.storeFault() == "lose" && s.host.flip() {
		return nil, twirp.NewError(twirp.Internal, "the answer was lost")
	}
	s.host.thaw()
	return answer, err
}

func (s *cutStore) List(ctx context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	if err := s.before(); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, req)
}

// fuzzHost is one entry host: its dispatcher, journal and way to the store.
type fuzzHost struct {
	world      *world
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

func (h *fuzzHost) storeFault() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fault
}

func (h *fuzzHost) flip() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(2) == 0
}

// thaw blocks while the host is frozen; a dead host stays there for good.
func (h *fuzzHost) thaw() {
	h.mu.Lock()
	frozen := h.frozen
	h.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-h.world.closed:
		}
	}
}

type world struct {
	store  *keyvalue.KeyValue
	plant  *plant
	rules  *rules.Rules
	hosts  []*fuzzHost
	starts int
	sent   []*sent
	closed chan struct{}
	seed   uint64
}

// sent is what the oracle remembers of one request of a caller.
type sent struct {
	payload    string
	idempotent bool
	key        string
	req        *wire.WorkRequest

	mu      sync.Mutex
	tickets []string
	ends    []outcome.Outcome
	// deliveries counts the tries; refused is the last one that ended as not run.
	deliveries, refused int
	broken              string
}

// end takes the answer to one delivery. "Not run" must be true when it is said.
func (s *sent) end(delivery int, ticket string, out outcome.Outcome, runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ticket != "" {
		s.tickets = append(s.tickets, ticket)
	}
	if out == nil {
		return
	}
	s.ends = append(s.ends, out)
	if _, ok := out.(outcome.NotRun); ok && !s.idempotent {
		s.refused = delivery
		if runs > 0 {
			s.broken = s.payload + " was refused as not run after it had run"
		}
	}
}

func newWorld(seed uint64) *world {
	merged, problems := rules.Merge(1, []rules.File{{Name: "a.toml", Text: []byte(fuzzRules)}})
	if len(problems) > 0 {
		panic(problems)
	}
	w := &world{store: &keyvalue.KeyValue{}, plant: newPlant(seed), rules: merged, closed: make(chan struct{}), seed: seed}
	for range hostCount {
		w.hosts = append(w.hosts, w.start())
	}
	return w
}

func (w *world) start() *fuzzHost {
	w.starts++
	h := &fuzzHost{world: w, name: fmt.Sprintf("host~%d", w.starts), random: rand.New(rand.NewPCG(w.seed, uint64(w.starts)))}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.store = &store.Store{Backend: &cutStore{Store: w.store, host: h}}
	held := &journal.Journal{Store: h.store, Incarnation: h.name, Writer: h.name}
	h.dispatcher = &dispatcher.Dispatcher{
		Incarnation: h.name, Journal: held, Store: h.store, Rules: func() *rules.Rules { return w.rules },
		Runner: func(l router.Listing) dispatcher.Target {
			var index int
			fmt.Sscanf(l.Name, "runner-%d", &index)
			return &plantRunner{plant: w.plant, index: index, host: h}
		},
		Router: &router.Router{Self: h.name, PerRunner: 7, Random: rand.New(rand.NewPCG(w.seed, 11))},
		Queue:  &admission.Queue{Limit: 50}, Budget: &retry.Budget{}, Capacity: 64, Locate: w.locate,
	}
	h.dispatcher.Prepare(ctx)
	var listed []router.Listing
	for i := range plantSize {
		listed = append(listed, router.Listing{Name: runnerName(i), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))})
	}
	h.dispatcher.Update(listed, nil)
	go held.Run(ctx, 0)
	go h.dispatcher.Run(ctx)
	return h
}

// locate is what hosts do together: ask the owner, or read its journal.
func (w *world) locate(ctx context.Context, ticket string) outcome.Outcome {
	for _, h := range w.hosts {
		if out, ok := h.dispatcher.Find(ctx, ticket, 0); ok && !h.dead {
			return out
		}
	}
	return nil
}

func (w *world) kill(h *fuzzHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen == nil {
		h.frozen = make(chan struct{})
	}
	h.dead = true
}

// adopt has a survivor take over a host's journal, as if its lease had lapsed.
func (w *world) adopt(by, from *fuzzHost) {
	held := &journal.Journal{Store: by.store, Incarnation: from.name, Writer: by.name}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	requests, err := held.Adopt(ctx)
	if err != nil {
		return
	}
	loops, stop := context.WithCancel(context.Background())
	go func() {
		<-w.closed
		stop()
	}()
	go held.Run(loops, 0)
	by.dispatcher.Adopt(requests, held)
}

func (w *world) runs(s *sent) int {
	w.plant.mu.Lock()
	defer w.plant.mu.Unlock()
	return w.plant.runs[s.payload]
}

// violations is the oracle: what the promises say of everything sent so far.
func (w *world) violations() string {
	var out []string
	for _, s := range w.sent {
		runs := w.runs(s)
		s.mu.Lock()
		for _, ticket := range s.tickets {
			for _, h := range w.hosts {
				if out, ok := h.dispatcher.Find(context.Background(), ticket, 0); ok && out != nil {
					s.ends = append(s.ends, out)
				}
			}
		}
		if !s.idempotent && runs > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", s.payload, runs))
		}
		for _, end := range s.ends {
			switch end := end.(type) {
			case outcome.NotRun:
				if !s.idempotent && s.deliveries == 1 && runs > 0 {
					out = append(out, s.payload+" is not run, and ran: "+end.Reason)
				}
			case outcome.Done:
				if !end.Failed && string(end.Answer) != "for "+s.payload {
					out = append(out, fmt.Sprintf("%s got %q", s.payload, end.Answer))
				}
				if runs == 0 {
					out = append(out, s.payload+" is done and never ran")
				}
			}
		}
		if s.refused == s.deliveries && s.refused > 0 && runs > 0 {
			out = append(out, s.payload+" ran after its last try was refused as not run")
		}
		if s.broken != "" {
			out = append(out, s.broken)
		}
		s.mu.Unlock()
	}
	return strings.Join(out, "; ")
}

func (w *world) close() {
	close(w.closed)
	for _, h := range w.hosts {
		h.cancel()
	}
	time.Sleep(time.Minute)
}

// command is one step; the model is only the world itself, as the oracle looks at effects.
type command struct {
	name string
	run  func(w *world)
}

func (c command) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	c.run(w)
	synctest.Wait()
	return w.violations()
}
func (c command) NextState(state commands.State) commands.State { return state }
func (c command) PreCondition(commands.State) bool              { return true }
func (c command) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if text := result.(string); text != "" {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{text}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}
func (c command) String() string { return c.name }

// submit sends a new request to a host, in the background as callers do.
func submit(host, kind int) command {
	return command{name: fmt.Sprintf("submit(%d,%d)", host, kind), run: func(w *world) {
		h := w.hosts[host]
		s := &sent{payload: fmt.Sprintf("p%d", len(w.sent))}
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
		w.sent = append(w.sent, s)
		w.deliver(h, s)
	}}
}

func (w *world) deliver(h *fuzzHost, s *sent) {
	s.mu.Lock()
	s.deliveries++
	delivery := s.deliveries
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		ticket, out := h.dispatcher.Submit(context.Background(), s.req)
		s.end(delivery, ticket, out, w.runs(s))
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// repeat sends an earlier keyed request again, to any host.
func repeat(host, which int) command {
	return command{name: fmt.Sprintf("repeat(%d,%d)", host, which), run: func(w *world) {
		if len(w.sent) == 0 {
			return
		}
		if s := w.sent[which%len(w.sent)]; s.key != "" {
			w.deliver(w.hosts[host], s)
		}
	}}
}

func setRunner(index int, fault string) command {
	return command{name: fmt.Sprintf("runner(%d,%s)", index, fault), run: func(w *world) {
		w.plant.mu.Lock()
		defer w.plant.mu.Unlock()
		w.plant.fault[index%plantSize] = fault
	}}
}

func setStore(host int, fault string) command {
	return command{name: fmt.Sprintf("store(%d,%s)", host, fault), run: func(w *world) {
		h := w.hosts[host]
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fault = fault
	}}
}

// freeze stops a host at its next step outwards; another takes its journal over; then it resumes.
func freeze(host int, adopted, killed bool) command {
	return command{name: fmt.Sprintf("freeze(%d,%t,%t)", host, adopted, killed), run: func(w *world) {
		h := w.hosts[host]
		h.mu.Lock()
		h.frozen = make(chan struct{})
		frozen := h.frozen
		h.mu.Unlock()
		time.Sleep(10 * time.Second)
		if adopted {
			first, second := w.hosts[(host+1)%hostCount], w.hosts[(host+2)%hostCount]
			ended := make(chan struct{})
			go func() { w.adopt(first, h); close(ended) }()
			w.adopt(second, h)
			<-ended
		}
		if killed {
			w.kill(h)
			// The first hostCount hosts are alive; the dead stay behind them for the oracle.
			w.hosts[host] = w.start()
			w.hosts = append(w.hosts, h)
			return
		}
		h.mu.Lock()
		h.frozen = nil
		h.mu.Unlock()
		close(frozen)
	}}
}

func wait(length time.Duration) command {
	return command{name: "wait(" + length.String() + ")", run: func(*world) { time.Sleep(length) }}
}

func genCommand() gopter.Gen {
	runnerFaults := []any{"", "", "busy", "leaving", "swallow", "lose", "fail", "unreachable"}
	storeFaults := []any{"", "", "down", "silent", "lose"}
	return gen.Weighted([]gen.WeightedGen{
		{Weight: 10, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.IntRange(0, 5)).Map(func(v []any) commands.Command { return submit(v[0].(int), v[1].(int)) })},
		{Weight: 4, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.IntRange(0, 30)).Map(func(v []any) commands.Command { return repeat(v[0].(int), v[1].(int)) })},
		{Weight: 4, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.OneConstOf(runnerFaults...)).Map(func(v []any) commands.Command { return setRunner(v[0].(int), v[1].(string)) })},
		{Weight: 3, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.OneConstOf(storeFaults...)).Map(func(v []any) commands.Command { return setStore(v[0].(int), v[1].(string)) })},
		{Weight: 2, Gen: gopter.CombineGens(gen.IntRange(0, hostCount-1), gen.Bool(), gen.Bool()).Map(func(v []any) commands.Command { return freeze(v[0].(int), v[1].(bool), v[2].(bool)) })},
		{Weight: 4, Gen: gen.IntRange(0, 4000).Map(func(ms int) commands.Command { return wait(time.Duration(ms) * time.Millisecond) })},
	})
}

// TestPromisesOfRequests drives three hosts, their journals and the store with
// every fault in any order. The oracle counts the runs at the runners.
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
					NewSystemUnderTestFunc:     func(commands.State) commands.SystemUnderTest { return newWorld(uint64(first)) },
					DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) { sut.(*world).close() },
					InitialStateGen:            gen.Const(struct{}{}),
					GenCommandFunc:             func(commands.State) gopter.Gen { return genCommand() },
				}))
				properties.TestingRun(t)
			})
		})
	}
}

package planner_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/leadership"
	"github.com/eelgrasstide/eelgrasstide/internal/planner"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/faults"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/worker"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

var (
	sequences = flag.Int("sequences", 25, "command sequences for each seed")
	seed      = flag.Int64("seed", 1, "first seed")
	seeds     = flag.Int("seeds", 2, "number of seeds")
	shrinks   = flag.Int("shrinks", 30, "tries to shorten a failing sequence")
)

const (
	zone       = "z"
	workers    = 6
	perRack    = 3
	taskLease  = 6 * time.Second
	planners   = 2
	zonesRules = `
[zones.z]
workers = 6
workersPerRack = 3
acceleratorsPerWorker = 4
[organisations.a]
[organisations.a.guarantees.g]
zone = "z"
workers = 2
acceleratorsPerWorker = 4
[organisations.b]
[classes.urgent]
kind = "gang"
urgency = "urgent"
idempotent = true
[classes.once]
kind = "gang"
[classes.sweep]
kind = "gang"
urgency = "batch"
idempotent = true
preemptible = true
[rules.r1]
organisation = "a"
class = "urgent"
[rules.r2]
organisation = "b"
class = "once"
[rules.r3]
organisation = "b"
class = "sweep"
`
	// partLimit is how long a part of a gang may survive the loss of a member: the
	// lease that finds the loss, the lease that ends the others, and a second of grace.
	partLimit = 2*taskLease + time.Second
)

// site is one worker with the oracle's observations and its faults.
type site struct {
	worker.Worker
	mu     sync.Mutex
	cut    bool
	starts map[string]int
	epoch  int64
}

func (s *site) holds(key string, states ...wire.TaskState) bool {
	for _, task := range s.Tasks() {
		if fmt.Sprintf("%s/%d", task.GetJob(), task.GetAttempt()) == key && slices.Contains(states, task.GetState()) {
			return true
		}
	}
	return false
}

type world struct {
	kv       *keyvalue.KeyValue
	rules    *rules.Rules
	sites    []*site
	planners []*node
	closed   chan struct{}
	jobs     []*wire.JobRecord
	jobsMu   sync.Mutex
	started  int
	partial  map[string]time.Time
	seed     uint64
	problems []string
	// harmed says that a worker had a fault, after which a guarantee may be short.
	harmed bool
	mu     sync.Mutex
}

// node is one host's planner.
type node struct {
	world  *world
	mu     sync.Mutex
	fault  string
	frozen chan struct{}
	random *rand.Rand
	cancel context.CancelFunc
	leader *leadership.Leadership
	plan   *planner.Planner
}

var errLost = errors.New("the answer was lost")

func (n *node) thaw() {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-n.world.closed:
		}
	}
}

func (n *node) state() (fault string, flip bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fault, n.random.IntN(2) == 0
}

// nodeStore is a planner's way to the store.
type nodeStore struct {
	wire.Store
	node *node
}

func (s *nodeStore) pass() error {
	s.node.thaw()
	if fault, _ := s.node.state(); fault == "down" {
		return twirp.NewError(twirp.Unavailable, "down").WithMeta("effect", "none")
	}
	return nil
}

func (s *nodeStore) Get(ctx context.Context, req *wire.GetRequest) (*wire.GetResponse, error) {
	if err := s.pass(); err != nil {
		return nil, err
	}
	return s.Store.Get(ctx, req)
}

func (s *nodeStore) List(ctx context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	if err := s.pass(); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, req)
}

func (s *nodeStore) KeepAlive(ctx context.Context, req *wire.KeepAliveRequest) (*wire.GrantResponse, error) {
	if err := s.pass(); err != nil {
		return nil, err
	}
	return s.Store.KeepAlive(ctx, req)
}

func (s *nodeStore) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.ListResponse, error) {
	if err := s.pass(); err != nil {
		return nil, err
	}
	answer, err := s.Store.Watch(ctx, req)
	s.node.thaw()
	return answer, err
}

func (s *nodeStore) Put(ctx context.Context, req *wire.PutRequest) (*wire.PutResponse, error) {
	if err := s.pass(); err != nil {
		return nil, err
	}
	answer, err := s.Store.Put(ctx, req)
	s.node.thaw()
	if fault, flip := s.node.state(); fault == "lose" && flip {
		return nil, twirp.NewError(twirp.Internal, "the answer was lost")
	}
	return answer, err
}

// link is a planner's way to a worker.
type link struct {
	site *site
	node *node
}

func (l *link) pass() error {
	l.node.thaw()
	l.site.mu.Lock()
	defer l.site.mu.Unlock()
	if l.site.cut {
		return errors.New("no route")
	}
	return nil
}

// ordered checks that no worker carries out an order of an older epoch than one
// that it has carried out before.
func (l *link) ordered(epoch int64, order string) {
	l.site.mu.Lock()
	older := epoch < l.site.epoch
	l.site.epoch = max(l.site.epoch, epoch)
	l.site.mu.Unlock()
	if older {
		l.node.world.report(fmt.Sprintf("%s carried out %q of an older planner", l.site.Name, order))
	}
}

func (l *link) after() error {
	if fault, flip := l.node.state(); fault == "loseCalls" && flip {
		return errLost
	}
	return nil
}

func (l *link) Reserve(ctx context.Context, req *wire.ReserveRequest) (*wire.WorkerResponse, error) {
	if err := l.pass(); err != nil {
		return nil, err
	}
	answer, err := l.site.Reserve(ctx, req)
	if answer.GetApplied() {
		l.ordered(req.GetEpoch(), "reserve "+req.GetJob())
	}
	return answer, errors.Join(err, l.after())
}

func (l *link) Start(ctx context.Context, req *wire.TaskRequest) (*wire.WorkerResponse, error) {
	if err := l.pass(); err != nil {
		return nil, err
	}
	key := fmt.Sprintf("%s/%d", req.GetJob(), req.GetAttempt())
	reserved := l.site.holds(key, wire.TaskState_TASK_STATE_RESERVED)
	answer, err := l.site.Start(ctx, req)
	if answer.GetApplied() {
		l.node.world.memberStarted(l.site, key, reserved)
		l.ordered(req.GetEpoch(), "start "+key)
	}
	return answer, errors.Join(err, l.after())
}

func (l *link) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.WorkerStatus, error) {
	if err := l.pass(); err != nil {
		return nil, err
	}
	answer, err := l.site.Renew(ctx, req)
	return answer, errors.Join(err, l.after())
}

func (l *link) Stop(ctx context.Context, req *wire.StopRequest) (*wire.WorkerResponse, error) {
	if err := l.pass(); err != nil {
		return nil, err
	}
	answer, err := l.site.Stop(ctx, req)
	if answer.GetApplied() {
		l.ordered(req.GetEpoch(), "stop "+req.GetJob())
	}
	return answer, errors.Join(err, l.after())
}

func newWorld(seed uint64) *world {
	merged, problems := rules.Merge(1, []rules.File{{Name: "a.toml", Text: []byte(zonesRules)}})
	if len(problems) > 0 {
		panic(problems)
	}
	w := &world{kv: &keyvalue.KeyValue{}, rules: merged, closed: make(chan struct{}), partial: map[string]time.Time{}, seed: seed}
	for i := range workers {
		s := &site{starts: map[string]int{}}
		s.Name, s.Zone, s.Rack, s.Accelerators, s.Cores, s.MemoryMB, s.Faults = fmt.Sprintf("w%d", i), zone, i/perRack, 4, 64, 64_000, &faults.Faults{}
		w.sites = append(w.sites, s)
	}
	for range planners {
		w.planners = append(w.planners, w.start())
	}
	time.Sleep(5 * time.Second)
	return w
}

func (w *world) start() *node {
	w.started++
	n := &node{world: w, random: rand.New(rand.NewPCG(w.seed, uint64(w.started)))}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	held := &store.Store{Backend: &nodeStore{Store: w.kv, node: n}}
	name := fmt.Sprintf("host~%d", w.started)
	n.leader = &leadership.Leadership{Store: held, Zone: zone, Incarnation: name, Lease: leadership.DefaultLease}
	n.plan = &planner.Planner{
		Zone: zone, Store: held, Leadership: n.leader, Rules: func() *rules.Rules { return w.rules },
		Worker: func(address string) wire.Worker {
			var index int
			fmt.Sscanf(address, "w%d", &index)
			return &link{site: w.sites[index], node: n}
		},
		Period: 500 * time.Millisecond, TaskLease: taskLease,
	}
	n.plan.Workers(w.listing())
	go n.leader.Run(ctx)
	go n.plan.Run(ctx)
	go n.plan.Watch(ctx)
	return n
}

func (w *world) listing() []*wire.Listed {
	var out []*wire.Listed
	for _, s := range w.sites {
		out = append(out, &wire.Listed{Name: s.Name, Zone: zone, Address: s.Name, Kind: wire.ListedKind_LISTED_KIND_WORKER})
	}
	return out
}

func (w *world) report(problem string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, problem)
}

// memberStarted takes the start of one member. When the first member starts, every
// other one must be reserved.
func (w *world) memberStarted(s *site, key string, first bool) {
	if !first {
		return
	}
	s.mu.Lock()
	s.starts[key]++
	s.mu.Unlock()
	members, begun := 0, 0
	for _, other := range w.sites {
		if other.holds(key, wire.TaskState_TASK_STATE_RESERVED, wire.TaskState_TASK_STATE_RUNNING, wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_FAILED) {
			members++
		}
		other.mu.Lock()
		begun += other.starts[key]
		other.mu.Unlock()
	}
	if size := w.size(key); begun == 1 && members < size {
		w.report(fmt.Sprintf("gang %s started with %d of %d members", key, members, size))
	}
}

// look is the oracle: it reads the workers themselves, not the planner.
func (w *world) look() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	type gang struct{ running, ended int }
	gangs := map[string]*gang{}
	var out []string
	for _, s := range w.sites {
		used := map[int32]string{}
		for _, task := range s.Tasks() {
			key := fmt.Sprintf("%s/%d", task.GetJob(), task.GetAttempt())
			if gangs[key] == nil {
				gangs[key] = &gang{}
			}
			switch task.GetState() {
			case wire.TaskState_TASK_STATE_RUNNING:
				gangs[key].running++
			case wire.TaskState_TASK_STATE_DONE:
				gangs[key].ended++
			}
			if task.GetState() != wire.TaskState_TASK_STATE_RUNNING && task.GetState() != wire.TaskState_TASK_STATE_RESERVED {
				continue
			}
			for _, index := range task.GetAccelerators() {
				if other, ok := used[index]; ok {
					out = append(out, fmt.Sprintf("accelerator %s/%d is held by %s and %s", s.Name, index, other, key))
				}
				used[index] = key
			}
		}
	}
	out = append(out, w.once()...)
	now := time.Now()
	for key, seen := range gangs {
		size := w.size(key)
		if seen.running == 0 || seen.running+seen.ended >= size {
			delete(w.partial, key)
			continue
		}
		if _, ok := w.partial[key]; !ok {
			w.partial[key] = now
		}
		if since := now.Sub(w.partial[key]); since > partLimit {
			out = append(out, fmt.Sprintf("a part of gang %s (%d of %d) runs for %s", key, seen.running, size, since))
		}
	}
	for key := range w.partial {
		if gangs[key] == nil {
			delete(w.partial, key)
		}
	}
	sort.Strings(out)
	return strings.Join(append(w.problems, out...), "; ")
}

// once checks that each member of a job that is not idempotent started once at most.
func (w *world) once() []string {
	starts := map[string]int{}
	for _, s := range w.sites {
		s.mu.Lock()
		for key, count := range s.starts {
			starts[key[:strings.LastIndexByte(key, '/')]] += count
		}
		s.mu.Unlock()
	}
	var out []string
	for _, job := range w.jobs {
		if count := starts[job.GetId()]; !job.GetIdempotent() && count > int(job.GetWorkers()) {
			out = append(out, fmt.Sprintf("%s of %d members was started %d times", job.GetId(), job.GetWorkers(), count))
		}
	}
	return out
}

func (w *world) size(key string) int {
	w.jobsMu.Lock()
	defer w.jobsMu.Unlock()
	for _, job := range w.jobs {
		if strings.HasPrefix(key, job.GetId()+"/") {
			return int(job.GetWorkers())
		}
	}
	return 0
}

func (w *world) close() {
	close(w.closed)
	for _, n := range w.planners {
		n.cancel()
	}
	time.Sleep(time.Minute)
}

func (w *world) record(id string) *wire.JobRecord {
	found, _ := w.kv.Get(context.Background(), &wire.GetRequest{Key: planner.JobKey(id)})
	record := &wire.JobRecord{}
	_ = proto.Unmarshal(found.GetEntry().GetValue(), record)
	return record
}

type command struct {
	name string
	run  func(w *world)
}

func (c command) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	c.run(w)
	synctest.Wait()
	return w.look()
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

func submit(class string, size, accelerators, seconds int) command {
	return command{name: fmt.Sprintf("submit(%s,%d,%d,%ds)", class, size, accelerators, seconds), run: func(w *world) {
		organisation := "b"
		if class == "urgent" {
			organisation = "a"
		}
		job := &wire.JobRecord{
			Id: fmt.Sprintf("%s:j%d", zone, len(w.jobs)), Zone: zone, Organisation: organisation, Class: class, Workers: int32(size),
			AcceleratorsPerWorker: int32(accelerators), Declared: durationpb.New(time.Duration(seconds) * time.Second),
			Submitted: timestamppb.Now(), State: wire.JobState_JOB_STATE_WAITING, Idempotent: class != "once",
		}
		w.jobsMu.Lock()
		w.jobs = append(w.jobs, job)
		w.jobsMu.Unlock()
		value, _ := proto.Marshal(job)
		if _, err := w.kv.Put(context.Background(), &wire.PutRequest{Key: planner.JobKey(job.GetId()), Value: value}); err != nil {
			panic(err)
		}
		time.Sleep(time.Second)
	}}
}

// reclaim sends the guaranteed shape and checks that it starts within the bound.
func reclaim() command {
	return command{name: "reclaim", run: func(w *world) {
		w.heal()
		if !w.quiet() {
			return
		}
		submit("urgent", 2, 4, 1).run(w)
		id := w.jobs[len(w.jobs)-1].GetId()
		const bound = 7400 * time.Millisecond
		time.Sleep(bound - time.Second)
		if record := w.record(id); record.GetAttempt() == 0 {
			var why []string
			for _, n := range w.planners {
				epoch, may := n.leader.Epoch()
				why = append(why, fmt.Sprintf("epoch %d %t: %v", epoch, may, n.plan.Explain(id)))
			}
			w.report(fmt.Sprintf("the guaranteed shape %s did not start within %s: %v %v", id, bound, record, why))
		}
	}}
}

// heal ends every fault and every earlier claim of the guarantee.
func (w *world) heal() {
	for i := range w.sites {
		siteFault(i, "").run(w)
	}
	for i := range w.planners {
		nodeFault(i, "").run(w)
	}
	for i, job := range w.jobs {
		if job.GetClass() == "urgent" {
			cancel(i).run(w)
		}
	}
}

// flood fills the zone with jobs that can't be moved, as far as they are let.
func flood(class string) command {
	return command{name: "flood(" + class + ")", run: func(w *world) {
		for range 2 * workers {
			submit(class, 1, 4, 600).run(w)
		}
	}}
}

// quiet reports whether no fault is on and an earlier claim of the guarantee is over.
func (w *world) quiet() bool {
	for _, s := range w.sites {
		s.mu.Lock()
		cut := s.cut
		s.mu.Unlock()
		if cut || s.Faults.Now().GetFailAll() || s.Faults.Now().GetLeaving() {
			return false
		}
	}
	for _, n := range w.planners {
		if fault, _ := n.state(); fault != "" {
			return false
		}
	}
	time.Sleep(30 * time.Second)
	for _, job := range w.jobs {
		if job.GetClass() == "urgent" && !planner.Ended(w.record(job.GetId()).GetState()) {
			return false
		}
	}
	for _, n := range w.planners {
		if epoch, _ := n.leader.Epoch(); epoch == 0 {
			continue
		}
		short := n.plan.Shortfalls()
		if len(short) > 0 && !w.harmed {
			w.report(fmt.Sprintf("a guarantee is short though every worker was whole: %v", short))
		}
		return len(short) == 0
	}
	return false
}

func siteFault(index int, fault string) command {
	return command{name: fmt.Sprintf("worker(%d,%s)", index, fault), run: func(w *world) {
		s := w.sites[index]
		w.harmed = w.harmed || fault != ""
		s.mu.Lock()
		s.cut = fault == "cut"
		s.mu.Unlock()
		_, _ = s.Faults.Set(context.Background(), &wire.FaultSettings{FailAll: fault == "failAll", Leaving: fault == "leaving"})
	}}
}

func nodeFault(index int, fault string) command {
	return command{name: fmt.Sprintf("planner(%d,%s)", index, fault), run: func(w *world) {
		n := w.planners[index]
		n.mu.Lock()
		defer n.mu.Unlock()
		n.fault = fault
	}}
}

// freeze pauses a planner past its lease, or for good.
func freeze(index int, seconds int, killed bool) command {
	return command{name: fmt.Sprintf("freeze(%d,%ds,%t)", index, seconds, killed), run: func(w *world) {
		n := w.planners[index]
		frozen := make(chan struct{})
		n.mu.Lock()
		n.frozen = frozen
		n.mu.Unlock()
		time.Sleep(time.Duration(seconds) * time.Second)
		if killed {
			n.cancel()
			w.planners[index] = w.start()
		}
		n.mu.Lock()
		n.frozen = nil
		n.mu.Unlock()
		close(frozen)
	}}
}

func cancel(which int) command {
	return command{name: fmt.Sprintf("cancel(%d)", which), run: func(w *world) {
		if len(w.jobs) == 0 {
			return
		}
		key := planner.JobKey(w.jobs[which%len(w.jobs)].GetId())
		for {
			found, _ := w.kv.Get(context.Background(), &wire.GetRequest{Key: key})
			record := &wire.JobRecord{}
			_ = proto.Unmarshal(found.GetEntry().GetValue(), record)
			if found.GetEntry().GetRevision() == 0 || planner.Ended(record.GetState()) {
				return
			}
			record.Cancelled = true
			value, _ := proto.Marshal(record)
			if put, _ := w.kv.Put(context.Background(), &wire.PutRequest{Key: key, Value: value, ExpectedRevision: found.GetEntry().GetRevision()}); put.GetApplied() {
				return
			}
		}
	}}
}

func wait(seconds int) command {
	return command{name: fmt.Sprintf("wait(%ds)", seconds), run: func(*world) { time.Sleep(time.Duration(seconds) * time.Second) }}
}

func genCommand() gopter.Gen {
	return gen.Weighted([]gen.WeightedGen{
		{Weight: 10, Gen: gopter.CombineGens(gen.OneConstOf("urgent", "once", "sweep", "sweep"), gen.IntRange(1, 3), gen.IntRange(1, 4), gen.IntRange(1, 60)).
			Map(func(v []any) commands.Command { return submit(v[0].(string), v[1].(int), v[2].(int), v[3].(int)) })},
		{Weight: 3, Gen: gopter.CombineGens(gen.IntRange(0, workers-1), gen.OneConstOf("", "", "cut", "failAll", "leaving")).
			Map(func(v []any) commands.Command { return siteFault(v[0].(int), v[1].(string)) })},
		{Weight: 3, Gen: gopter.CombineGens(gen.IntRange(0, planners-1), gen.OneConstOf("", "", "down", "lose", "loseCalls")).
			Map(func(v []any) commands.Command { return nodeFault(v[0].(int), v[1].(string)) })},
		{Weight: 2, Gen: gopter.CombineGens(gen.IntRange(0, planners-1), gen.IntRange(1, 20), gen.Bool()).
			Map(func(v []any) commands.Command { return freeze(v[0].(int), v[1].(int), v[2].(bool)) })},
		{Weight: 1, Gen: gen.IntRange(0, 30).Map(func(i int) commands.Command { return cancel(i) })},
		{Weight: 2, Gen: gen.Const(commands.Command(reclaim()))},
		{Weight: 1, Gen: gen.OneConstOf("once", "sweep").Map(func(class string) commands.Command { return flood(class) })},
		{Weight: 4, Gen: gen.IntRange(1, 15).Map(func(s int) commands.Command { return wait(s) })},
	})
}

// TestPromisesOfGangs drives two planners of a zone, six workers and the store
// with every fault in any order. The oracle reads the workers.
func TestPromisesOfGangs(t *testing.T) {
	for i := range *seeds {
		first := *seed + int64(i)
		t.Run(fmt.Sprintf("seed %d", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				parameters := gopter.DefaultTestParametersWithSeed(first)
				parameters.MinSuccessfulTests, parameters.MaxSize, parameters.Workers = *sequences, 40, 1
				parameters.MaxShrinkCount = *shrinks
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

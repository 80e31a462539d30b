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
	"sync/atomic"
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
	zone      = "z"
	workers   = 6
	perRack   = 3
	taskLease = 6 * time.Second
	hosts     = 2
	rulesText = `
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
	// partialLimit is how long the other members of a gang may run after one is lost: one task
	// lease to detect the loss, one for the others' leases to lapse, and a second of tolerance.
	partialLimit = 2*taskLease + time.Second
)

// testWorker is a stand-in worker with its faults and what the checks have recorded of it: the
// number of starts by JOB/ATTEMPT and the highest epoch of a command that it carried out.
type testWorker struct {
	worker.Worker
	mu          sync.Mutex
	unreachable bool
	starts      map[string]int
	epoch       int64
}

// holds reports whether the worker has the task with the key JOB/ATTEMPT in one of the states.
func (w *testWorker) holds(key string, states ...wire.TaskState) bool {
	for _, task := range w.CurrentTasks() {
		if fmt.Sprintf("%s/%d", task.GetJob(), task.GetAttempt()) == key && slices.Contains(states, task.GetState()) {
			return true
		}
	}
	return false
}

// simulation is one zone with its store, workers and hosts, and the state of the checks.
type simulation struct {
	kv           *keyvalue.KeyValue
	rules        *rules.Rules
	testWorkers  []*testWorker
	hosts        []*host
	closed       chan struct{}
	jobs         []*wire.JobRecord
	jobsMu       sync.Mutex
	hostsStarted int
	partialSince map[string]time.Time
	seed         uint64
	problems     []string
	// cordon is the record of the zone's cordon; nil if there is none.
	cordon atomic.Pointer[wire.CordonRecord]
	// workerFaulted is set once a worker has had a fault, as a guarantee may then have a
	// shortfall.
	workerFaulted bool
	mu            sync.Mutex
}

// host is a host that runs a planner, with the fault injected into its calls.
type host struct {
	simulation  *simulation
	mu          sync.Mutex
	fault       string
	frozen      chan struct{}
	random      *rand.Rand
	cancel      context.CancelFunc
	election    *leadership.Leadership
	zonePlanner *planner.Planner
}

var errAnswerLost = errors.New("the answer was lost")

// waitWhileFrozen blocks while the host is frozen, at most until the simulation ends.
func (h *host) waitWhileFrozen() {
	h.mu.Lock()
	frozen := h.frozen
	h.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-h.simulation.closed:
		}
	}
}

// currentFault returns the host's fault and a random bit that decides whether it strikes.
func (h *host) currentFault() (fault string, flip bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fault, h.random.IntN(2) == 0
}

// hostStore is a host's connection to the store, with the host's faults applied.
type hostStore struct {
	wire.Store
	host *host
}

func (s *hostStore) checkReachable() error {
	s.host.waitWhileFrozen()
	if fault, _ := s.host.currentFault(); fault == "storeDown" {
		return twirp.NewError(twirp.Unavailable, "the store is down").WithMeta("effect", "none")
	}
	return nil
}

func (s *hostStore) Get(ctx context.Context, req *wire.GetRequest) (*wire.GetResponse, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	return s.Store.Get(ctx, req)
}

func (s *hostStore) List(ctx context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, req)
}

func (s *hostStore) KeepAlive(ctx context.Context, req *wire.KeepAliveRequest) (*wire.GrantResponse, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	return s.Store.KeepAlive(ctx, req)
}

func (s *hostStore) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.ListResponse, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	answer, err := s.Store.Watch(ctx, req)
	s.host.waitWhileFrozen()
	return answer, err
}

func (s *hostStore) Put(ctx context.Context, req *wire.PutRequest) (*wire.PutResponse, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	answer, err := s.Store.Put(ctx, req)
	s.host.waitWhileFrozen()
	if fault, flip := s.host.currentFault(); fault == "loseStoreAnswers" && flip {
		return nil, twirp.NewError(twirp.Internal, "the answer was lost")
	}
	return answer, err
}

// workerClient is a host's connection to a worker, with the faults of both applied.
type workerClient struct {
	testWorker *testWorker
	host       *host
}

func (c *workerClient) checkReachable() error {
	c.host.waitWhileFrozen()
	c.testWorker.mu.Lock()
	defer c.testWorker.mu.Unlock()
	if c.testWorker.unreachable {
		return errors.New("no route")
	}
	return nil
}

// checkEpoch reports a violation if the worker has carried out a command of an older epoch than
// one that it carried out before.
func (c *workerClient) checkEpoch(epoch int64, command string) {
	c.testWorker.mu.Lock()
	older := epoch < c.testWorker.epoch
	c.testWorker.epoch = max(c.testWorker.epoch, epoch)
	c.testWorker.mu.Unlock()
	if older {
		c.host.simulation.report(fmt.Sprintf("worker %s carried out %q of an older epoch", c.testWorker.Name, command))
	}
}

// maybeLoseAnswer returns an error in place of an answer if the host's fault strikes.
func (c *workerClient) maybeLoseAnswer() error {
	if fault, flip := c.host.currentFault(); fault == "loseWorkerAnswers" && flip {
		return errAnswerLost
	}
	return nil
}

func (c *workerClient) Reserve(ctx context.Context, req *wire.ReserveRequest) (*wire.WorkerResponse, error) {
	if err := c.checkReachable(); err != nil {
		return nil, err
	}
	answer, err := c.testWorker.Reserve(ctx, req)
	if answer.GetApplied() {
		c.checkEpoch(req.GetEpoch(), "reserve "+req.GetJob())
	}
	return answer, errors.Join(err, c.maybeLoseAnswer())
}

func (c *workerClient) Start(ctx context.Context, req *wire.TaskRequest) (*wire.WorkerResponse, error) {
	if err := c.checkReachable(); err != nil {
		return nil, err
	}
	key := fmt.Sprintf("%s/%d", req.GetJob(), req.GetAttempt())
	reserved := c.testWorker.holds(key, wire.TaskState_TASK_STATE_RESERVED)
	answer, err := c.testWorker.Start(ctx, req)
	if answer.GetApplied() {
		c.host.simulation.memberStarted(c.testWorker, key, reserved)
		c.checkEpoch(req.GetEpoch(), "start "+key)
	}
	return answer, errors.Join(err, c.maybeLoseAnswer())
}

func (c *workerClient) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.WorkerStatus, error) {
	if err := c.checkReachable(); err != nil {
		return nil, err
	}
	answer, err := c.testWorker.Renew(ctx, req)
	return answer, errors.Join(err, c.maybeLoseAnswer())
}

func (c *workerClient) Stop(ctx context.Context, req *wire.StopRequest) (*wire.WorkerResponse, error) {
	if err := c.checkReachable(); err != nil {
		return nil, err
	}
	answer, err := c.testWorker.Stop(ctx, req)
	if answer.GetApplied() {
		c.checkEpoch(req.GetEpoch(), "stop "+req.GetJob())
	}
	return answer, errors.Join(err, c.maybeLoseAnswer())
}

func newSimulation(seed uint64) *simulation {
	merged, problems := rules.Merge(1, []rules.File{{Name: "a.toml", Text: []byte(rulesText)}})
	if len(problems) > 0 {
		panic(problems)
	}
	sim := &simulation{kv: &keyvalue.KeyValue{}, rules: merged, closed: make(chan struct{}), partialSince: map[string]time.Time{}, seed: seed}
	for i := range workers {
		w := &testWorker{starts: map[string]int{}}
		w.Name, w.Zone, w.Rack, w.Accelerators, w.Cores, w.MemoryMB, w.Faults = fmt.Sprintf("w%d", i), zone, i/perRack, 4, 64, 64_000, &faults.Faults{}
		sim.testWorkers = append(sim.testWorkers, w)
	}
	for range hosts {
		sim.hosts = append(sim.hosts, sim.startHost())
	}
	time.Sleep(5 * time.Second)
	return sim
}

func (sim *simulation) startHost() *host {
	sim.hostsStarted++
	h := &host{simulation: sim, random: rand.New(rand.NewPCG(sim.seed, uint64(sim.hostsStarted)))}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	platformStore := &store.Store{Backend: &hostStore{Store: sim.kv, host: h}}
	name := fmt.Sprintf("host~%d", sim.hostsStarted)
	h.election = &leadership.Leadership{Store: platformStore, Zone: zone, Incarnation: name, Lease: leadership.DefaultLease}
	h.zonePlanner = &planner.Planner{
		Zone: zone, Store: platformStore, Leadership: h.election, Rules: func() *rules.Rules { return sim.rules },
		Worker: func(address string) wire.Worker {
			var index int
			fmt.Sscanf(address, "w%d", &index)
			return &workerClient{testWorker: sim.testWorkers[index], host: h}
		},
		Period: 500 * time.Millisecond, TaskLease: taskLease, Cordon: sim.cordon.Load,
	}
	h.zonePlanner.UpdateWorkers(sim.listedWorkers())
	go h.election.Run(ctx)
	go h.zonePlanner.Run(ctx)
	go h.zonePlanner.Watch(ctx)
	return h
}

func (sim *simulation) listedWorkers() []*wire.Listed {
	var out []*wire.Listed
	for _, w := range sim.testWorkers {
		out = append(out, &wire.Listed{Name: w.Name, Zone: zone, Address: w.Name, Kind: wire.ListedKind_LISTED_KIND_WORKER})
	}
	return out
}

func (sim *simulation) report(problem string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.problems = append(sim.problems, problem)
}

// memberStarted records the start of a member that was reserved. When the first member of a gang
// starts, every other one must be reserved or have started.
func (sim *simulation) memberStarted(w *testWorker, key string, wasReserved bool) {
	if !wasReserved {
		return
	}
	w.mu.Lock()
	w.starts[key]++
	w.mu.Unlock()
	members, started := 0, 0
	for _, other := range sim.testWorkers {
		if other.holds(key, wire.TaskState_TASK_STATE_RESERVED, wire.TaskState_TASK_STATE_RUNNING, wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_FAILED) {
			members++
		}
		other.mu.Lock()
		started += other.starts[key]
		other.mu.Unlock()
	}
	if gangSize := sim.gangSize(key); started == 1 && members < gangSize {
		sim.report(fmt.Sprintf("gang %s started with %d of %d members", key, members, gangSize))
	}
}

// violations returns the violations found so far, or an empty string. It reads the state of the
// workers, not of the planners.
func (sim *simulation) violations() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	type gang struct{ running, ended int }
	gangs := map[string]*gang{}
	var out []string
	for _, w := range sim.testWorkers {
		used := map[int32]string{}
		for _, task := range w.CurrentTasks() {
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
					out = append(out, fmt.Sprintf("accelerator %s/%d is held by %s and %s", w.Name, index, other, key))
				}
				used[index] = key
			}
		}
	}
	out = append(out, sim.repeatedStarts()...)
	now := time.Now()
	for key, counts := range gangs {
		gangSize := sim.gangSize(key)
		if counts.running == 0 || counts.running+counts.ended >= gangSize {
			delete(sim.partialSince, key)
			continue
		}
		if _, ok := sim.partialSince[key]; !ok {
			sim.partialSince[key] = now
		}
		if since := now.Sub(sim.partialSince[key]); since > partialLimit {
			out = append(out, fmt.Sprintf("gang %s has run in part (%d of %d members) for %s", key, counts.running, gangSize, since))
		}
	}
	for key := range sim.partialSince {
		if gangs[key] == nil {
			delete(sim.partialSince, key)
		}
	}
	sort.Strings(out)
	return strings.Join(append(sim.problems, out...), "; ")
}

// repeatedStarts returns the jobs that are not idempotent and had more starts than members.
func (sim *simulation) repeatedStarts() []string {
	starts := map[string]int{}
	for _, w := range sim.testWorkers {
		w.mu.Lock()
		for key, count := range w.starts {
			starts[key[:strings.LastIndexByte(key, '/')]] += count
		}
		w.mu.Unlock()
	}
	var out []string
	for _, job := range sim.jobs {
		if count := starts[job.GetId()]; !job.GetIdempotent() && count > int(job.GetWorkers()) {
			out = append(out, fmt.Sprintf("job %s of %d members had %d member starts", job.GetId(), job.GetWorkers(), count))
		}
	}
	return out
}

// gangSize returns the number of members of the job with the key JOB/ATTEMPT.
func (sim *simulation) gangSize(key string) int {
	sim.jobsMu.Lock()
	defer sim.jobsMu.Unlock()
	for _, job := range sim.jobs {
		if strings.HasPrefix(key, job.GetId()+"/") {
			return int(job.GetWorkers())
		}
	}
	return 0
}

// close stops the planners and lets a minute pass, so that every goroutine ends.
func (sim *simulation) close() {
	close(sim.closed)
	for _, h := range sim.hosts {
		h.cancel()
	}
	time.Sleep(time.Minute)
}

// record returns a job's record in the store.
func (sim *simulation) record(id string) *wire.JobRecord {
	found, _ := sim.kv.Get(context.Background(), &wire.GetRequest{Key: planner.JobKey(id)})
	record := &wire.JobRecord{}
	_ = proto.Unmarshal(found.GetEntry().GetValue(), record)
	return record
}

// command is one step of a generated sequence. Its result is the text of the violations.
type command struct {
	name string
	run  func(sim *simulation)
}

func (c command) Run(sut commands.SystemUnderTest) commands.Result {
	sim := sut.(*simulation)
	c.run(sim)
	synctest.Wait()
	return sim.violations()
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

// submit adds a waiting job: class "urgent" belongs to organisation a, the others to b.
func submit(class string, size, accelerators, seconds int) command {
	return command{name: fmt.Sprintf("submit(%s,%d,%d,%ds)", class, size, accelerators, seconds), run: func(sim *simulation) {
		organisation := "b"
		if class == "urgent" {
			organisation = "a"
		}
		job := &wire.JobRecord{
			Id: fmt.Sprintf("%s:j%d", zone, len(sim.jobs)), Zone: zone, Organisation: organisation, Class: class, Workers: int32(size),
			AcceleratorsPerWorker: int32(accelerators), Declared: durationpb.New(time.Duration(seconds) * time.Second),
			Submitted: timestamppb.Now(), State: wire.JobState_JOB_STATE_WAITING, Idempotent: class != "once",
		}
		sim.jobsMu.Lock()
		sim.jobs = append(sim.jobs, job)
		sim.jobsMu.Unlock()
		value, _ := proto.Marshal(job)
		if _, err := sim.kv.Put(context.Background(), &wire.PutRequest{Key: planner.JobKey(job.GetId()), Value: value}); err != nil {
			panic(err)
		}
		time.Sleep(time.Second)
	}}
}

// reclaim submits a job of the guaranteed shape and checks that it starts within the bound.
func reclaim() command {
	return command{name: "reclaim", run: func(sim *simulation) {
		sim.clearFaultsAndClaims()
		if !sim.readyForClaim() {
			return
		}
		submit("urgent", 2, 4, 1).run(sim)
		id := sim.jobs[len(sim.jobs)-1].GetId()
		const bound = 7400 * time.Millisecond
		time.Sleep(bound - time.Second)
		if record := sim.record(id); record.GetAttempt() == 0 {
			var reasons []string
			for _, h := range sim.hosts {
				epoch, leaseValid := h.election.Epoch()
				reasons = append(reasons, fmt.Sprintf("epoch %d %t: %v", epoch, leaseValid, h.zonePlanner.Explain(id)))
			}
			sim.report(fmt.Sprintf("job %s of the guaranteed shape did not start within %s: %v %v", id, bound, record, reasons))
		}
	}}
}

// clearFaultsAndClaims ends every fault and cancels every earlier claim of the guarantee.
func (sim *simulation) clearFaultsAndClaims() {
	for i := range sim.testWorkers {
		workerFault(i, "").run(sim)
	}
	for i := range sim.hosts {
		hostFault(i, "").run(sim)
	}
	for i, job := range sim.jobs {
		if job.GetClass() == "urgent" {
			cancel(i).run(sim)
		}
	}
}

// fillZone submits more jobs than fit the zone, each of which needs a whole worker for 600 s.
// The planner places as many as the guarantees allow.
func fillZone(class string) command {
	return command{name: "fillZone(" + class + ")", run: func(sim *simulation) {
		for range 2 * workers {
			submit(class, 1, 4, 600).run(sim)
		}
	}}
}

// readyForClaim reports whether the guarantee has to be claimable: no fault is on, every earlier
// claim has ended after 30 s, and the planner that holds an epoch reports no shortfall. A
// shortfall without an earlier worker fault is a violation.
func (sim *simulation) readyForClaim() bool {
	for _, w := range sim.testWorkers {
		w.mu.Lock()
		unreachable := w.unreachable
		w.mu.Unlock()
		if unreachable || w.Faults.Current().GetFailAll() || w.Faults.Current().GetLeaving() {
			return false
		}
	}
	for _, h := range sim.hosts {
		if fault, _ := h.currentFault(); fault != "" {
			return false
		}
	}
	time.Sleep(30 * time.Second)
	for _, job := range sim.jobs {
		if job.GetClass() == "urgent" && !planner.Ended(sim.record(job.GetId()).GetState()) {
			return false
		}
	}
	for _, h := range sim.hosts {
		if epoch, _ := h.election.Epoch(); epoch == 0 {
			continue
		}
		shortfalls := h.zonePlanner.Shortfalls()
		if len(shortfalls) > 0 && !sim.workerFaulted {
			sim.report(fmt.Sprintf("a guarantee has a shortfall although no worker has had a fault: %v", shortfalls))
		}
		return len(shortfalls) == 0
	}
	return false
}

func workerFault(index int, fault string) command {
	return command{name: fmt.Sprintf("worker(%d,%s)", index, fault), run: func(sim *simulation) {
		w := sim.testWorkers[index]
		sim.workerFaulted = sim.workerFaulted || fault != ""
		w.mu.Lock()
		w.unreachable = fault == "unreachable"
		w.mu.Unlock()
		_, _ = w.Faults.Set(context.Background(), &wire.FaultSettings{FailAll: fault == "failAll", Leaving: fault == "leaving"})
	}}
}

func hostFault(index int, fault string) command {
	return command{name: fmt.Sprintf("planner(%d,%s)", index, fault), run: func(sim *simulation) {
		h := sim.hosts[index]
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fault = fault
	}}
}

// freeze blocks a planner's calls for some seconds, which may outlast its lease. If killed is
// set, the planner is then cancelled and a new host takes its place.
func freeze(index int, seconds int, killed bool) command {
	return command{name: fmt.Sprintf("freeze(%d,%ds,%t)", index, seconds, killed), run: func(sim *simulation) {
		h := sim.hosts[index]
		frozen := make(chan struct{})
		h.mu.Lock()
		h.frozen = frozen
		h.mu.Unlock()
		time.Sleep(time.Duration(seconds) * time.Second)
		if killed {
			h.cancel()
			sim.hosts[index] = sim.startHost()
		}
		h.mu.Lock()
		h.frozen = nil
		h.mu.Unlock()
		close(frozen)
	}}
}

// cancel marks a job as cancelled, unless it has ended.
func cancel(which int) command {
	return command{name: fmt.Sprintf("cancel(%d)", which), run: func(sim *simulation) {
		if len(sim.jobs) == 0 {
			return
		}
		key := planner.JobKey(sim.jobs[which%len(sim.jobs)].GetId())
		for {
			found, _ := sim.kv.Get(context.Background(), &wire.GetRequest{Key: key})
			record := &wire.JobRecord{}
			_ = proto.Unmarshal(found.GetEntry().GetValue(), record)
			if found.GetEntry().GetRevision() == 0 || planner.Ended(record.GetState()) {
				return
			}
			record.Cancelled = true
			value, _ := proto.Marshal(record)
			if put, _ := sim.kv.Put(context.Background(), &wire.PutRequest{Key: key, Value: value, ExpectedRevision: found.GetEntry().GetRevision()}); put.GetApplied() {
				return
			}
		}
	}}
}

func wait(seconds int) command {
	return command{name: fmt.Sprintf("wait(%ds)", seconds), run: func(*simulation) { time.Sleep(time.Duration(seconds) * time.Second) }}
}

func genCommand() gopter.Gen {
	return gen.Weighted([]gen.WeightedGen{
		{Weight: 10, Gen: gopter.CombineGens(gen.OneConstOf("urgent", "once", "sweep", "sweep"), gen.IntRange(1, 3), gen.IntRange(1, 4), gen.IntRange(1, 60)).
			Map(func(v []any) commands.Command { return submit(v[0].(string), v[1].(int), v[2].(int), v[3].(int)) })},
		{Weight: 3, Gen: gopter.CombineGens(gen.IntRange(0, workers-1), gen.OneConstOf("", "", "unreachable", "failAll", "leaving")).
			Map(func(v []any) commands.Command { return workerFault(v[0].(int), v[1].(string)) })},
		{Weight: 3, Gen: gopter.CombineGens(gen.IntRange(0, hosts-1), gen.OneConstOf("", "", "storeDown", "loseStoreAnswers", "loseWorkerAnswers")).
			Map(func(v []any) commands.Command { return hostFault(v[0].(int), v[1].(string)) })},
		{Weight: 2, Gen: gopter.CombineGens(gen.IntRange(0, hosts-1), gen.IntRange(1, 20), gen.Bool()).
			Map(func(v []any) commands.Command { return freeze(v[0].(int), v[1].(int), v[2].(bool)) })},
		{Weight: 1, Gen: gen.IntRange(0, 30).Map(func(i int) commands.Command { return cancel(i) })},
		{Weight: 2, Gen: gen.Const(commands.Command(reclaim()))},
		{Weight: 1, Gen: gen.OneConstOf("once", "sweep").Map(func(class string) commands.Command { return fillZone(class) })},
		{Weight: 4, Gen: gen.IntRange(1, 15).Map(func(seconds int) commands.Command { return wait(seconds) })},
	})
}

// TestPromisesOfGangs runs two planners of a zone with six workers and a store under generated
// sequences of submissions, cancellations and faults. After each command it checks the
// workers: no accelerator is held twice, no gang starts or keeps running in part, no member of
// a job that is not idempotent starts twice, and no worker obeys an older epoch. A claimed
// guarantee starts within the bound.
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
					NewSystemUnderTestFunc:     func(commands.State) commands.SystemUnderTest { return newSimulation(uint64(first)) },
					DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) { sut.(*simulation).close() },
					InitialStateGen:            gen.Const(struct{}{}),
					GenCommandFunc:             func(commands.State) gopter.Gen { return genCommand() },
				}))
				properties.TestingRun(t)
			})
		})
	}
}

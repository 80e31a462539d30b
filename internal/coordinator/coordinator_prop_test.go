package coordinator_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/coordinator"
	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchtarget"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

var (
	seed  = flag.Int64("seed", 1, "seed of the first sequence")
	tries = flag.Int("tries", 40, "number of sequences")
)

const (
	hostCount   = 3
	targetCount = 6
	perRack     = 3
	attempts    = 3
	lease       = 6 * time.Second
	// recovery is how long everything may take once nothing is wrong any more.
	recovery = 90 * time.Second
	prefix   = "servers/"
)

// link cuts one host off from the store, as its machine's link would.
type link struct {
	keyvalue.Service
	cut atomic.Bool
}

var errCut = fault.Ambiguous.New("mend the link", "the link is cut")

func (l *link) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	if l.cut.Load() {
		wait(ctx, time.Second)
		return keyvalue.TxnResult{}, errCut
	}
	return l.Service.Commit(ctx, txn)
}

func (l *link) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	if l.cut.Load() {
		wait(ctx, time.Second)
		return false, errCut
	}
	return l.Service.KeepAlive(ctx, lease)
}

func (l *link) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	if l.cut.Load() {
		wait(ctx, time.Second)
		return nil, 0, errCut
	}
	return l.Service.List(ctx, prefix)
}

func (l *link) Watch(ctx context.Context, prefix string, after int64, most time.Duration) (keyvalue.Events, error) {
	if l.cut.Load() {
		wait(ctx, time.Second)
		return keyvalue.Events{}, errCut
	}
	return l.Service.Watch(ctx, prefix, after, most)
}

func wait(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// world is a small deployment: hosts, a store and targets.
type world struct {
	t        *testing.T
	random   *rand.Rand
	store    *batchstore.Store
	fleet    *batchtarget.Fleet
	links    []*link
	stops    []context.CancelFunc
	ends     []chan struct{}
	intake   *intake.Intake
	queues   *catalogue.Catalogue
	accepted map[string]*workload.Job
	// cancelled holds jobs whose cancellation was tried.
	cancelled map[string]bool
	born      int64
	sent      int
}

func newWorld(t *testing.T, seed int64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(uint64(seed), 1)), store: &batchstore.Store{},
		accepted: map[string]*workload.Job{}, cancelled: map[string]bool{}, born: 1,
	}
	w.fleet = &batchtarget.Fleet{Attempts: attempts, Fails: func(run target.Run) bool {
		return run.Task.Index == 1 && run.Number == 1
	}}
	w.queues = &catalogue.Catalogue{
		Version: 1, Services: map[string]catalogue.Service{"s": {Name: "s"}},
		Organisations: map[string]catalogue.Organisation{"o": {Name: "o", GuaranteedAccelerators: 8}}, ByKey: map[string]string{"k": "o"},
	}
	for priority := range 3 {
		name := fmt.Sprintf("q%d", priority)
		w.queues.Queues = append(w.queues.Queues, catalogue.Queue{
			Name: name, Host: "h", Prefix: "/" + name + "/", Service: "s", Priority: priority, MaxAttempts: attempts, StretchFactor: 2,
		})
	}
	for i := range targetCount {
		w.addTarget(i)
	}
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	w.intake = &intake.Intake{Store: w.store, Catalogue: func() *catalogue.Catalogue { return w.queues }, Metrics: metrics.NewRegistry(), Log: quiet}
	for i := range hostCount {
		w.links = append(w.links, &link{Service: w.store})
		w.stops, w.ends = append(w.stops, nil), append(w.ends, nil)
		w.startHost(i, quiet)
	}
	return w
}

func targetID(i int) string { return fmt.Sprintf("t%d", i) }

func listing(i int, born int64) target.Listing {
	return target.Listing{
		ID: targetID(i), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Rack: fmt.Sprintf("r%d", i/perRack), Born: born,
		Capacity: workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 4},
	}
}

func (w *world) addTarget(i int) {
	w.born++
	w.fleet.Add(listing(i, w.born))
	value := fmt.Appendf(nil, "%d %d", i, w.born)
	_, err := w.store.Commit(context.Background(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: prefix + targetID(i), Value: value}}})
	if err != nil {
		w.t.Logf("a target's entry was not answered: %v", err)
	}
}

func (w *world) startHost(i int, quiet log.Interface) {
	ctx, stop := context.WithCancel(context.Background())
	w.stops[i], w.ends[i] = stop, make(chan struct{})
	begun := time.Now()
	planner := &coordinator.Coordinator{
		Store: w.links[i], Targets: w.fleet, TargetPrefix: prefix, Catalogue: func() *catalogue.Catalogue { return w.queues },
		ReadListing: func(_ string, value []byte) (target.Listing, error) {
			var index int
			var born int64
			_, err := fmt.Sscan(string(value), &index, &born)
			return listing(index, born), err
		},
		Limits: scheduler.Limits{
			TaskLease: lease, RenewalHorizon: coordinator.RenewalHorizon, RemoteFactor: 3, Retention: time.Hour,
			CheckpointPeriod: time.Second,
		},
		Metrics: metrics.NewRegistry(), Log: quiet,
	}
	seat := &term.Term{
		Store: w.links[i], Name: fmt.Sprintf("host%d-%d", i, w.random.Int()), Elapsed: func() time.Duration { return time.Since(begun) },
		Lead: planner.Lead, Log: quiet,
	}
	end := w.ends[i]
	go func() {
		defer close(end)
		if err := seat.Run(ctx); !errors.Is(err, context.Canceled) {
			w.t.Errorf("Term.Run: %v", err)
		}
	}()
}

func (w *world) submit() {
	w.sent++
	id := fmt.Sprintf("%016x", w.sent)
	job := &workload.Job{ID: id, Payload: "payload of " + id}
	first := workload.Step{
		Count: 1 + w.random.IntN(4), Estimate: time.Duration(1+w.random.IntN(4)) * time.Second, Gang: w.random.IntN(2) == 0, SameRack: w.random.IntN(2) == 0,
		Needs: workload.Resources{MilliCores: 2000, MemoryMB: 100 + 100*int64(w.random.IntN(4)), Accelerators: int64(w.random.IntN(3))},
	}
	job.Steps = []workload.Step{first}
	if w.random.IntN(3) == 0 {
		second := first
		second.After, second.Gang = []int{0}, false
		job.Steps = append(job.Steps, second)
	}
	w.fleet.Expect(job)
	call := intake.Call{Queue: fmt.Sprintf("q%d", w.random.IntN(3)), Organisation: "o", ID: id}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := w.intake.Submit(ctx, call, job)
	if err == nil {
		w.accepted[id] = job
	}
	if fault.Unavailable.Is(err) {
		// The job must never run: the fleet holds every start of it against us.
		w.fleet.Expect(&workload.Job{ID: id, Payload: "refused"})
	}
}

func (w *world) cancel() {
	for _, id := range w.ids() {
		if w.cancelled[id] || w.random.IntN(4) != 0 {
			continue
		}
		w.cancelled[id] = true
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if err := w.intake.Cancel(ctx, intake.Call{ID: id}); err == nil {
			w.fleet.Cancelled(id)
		}
		return
	}
}

func (w *world) ids() []string {
	var ids []string
	for id := range w.accepted {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// act makes one step of a sequence.
func (w *world) act(step uint8) {
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	which := w.random.IntN(hostCount)
	where := w.random.IntN(targetCount)
	switch step % 14 {
	case 0, 1, 2, 3:
		w.submit()
	case 4:
		w.cancel()
	case 5:
		w.stops[which]()
		<-w.ends[which]
		w.startHost(which, quiet)
	case 6:
		w.links[which].cut.Store(!w.links[which].cut.Load())
	case 7:
		w.store.SetDown(true)
		time.Sleep(time.Duration(1+w.random.IntN(9)) * time.Second)
		w.store.SetDown(false)
	case 8:
		w.store.LoseAnswers(1+w.random.IntN(3), time.Duration(w.random.IntN(3))*time.Second)
	case 9:
		w.fleet.Cut(targetID(where), true)
		time.Sleep(time.Duration(w.random.IntN(9)) * time.Second)
		w.fleet.Cut(targetID(where), false)
	case 10:
		w.addTarget(where)
	case 11:
		w.fleet.CarryOutLate(targetID(where), 1+w.random.IntN(3))
	case 12:
		w.store.Compact()
	case 13:
		time.Sleep(time.Duration(w.random.IntN(5)) * time.Second)
	}
	time.Sleep(time.Duration(w.random.IntN(700)) * time.Millisecond)
}

// settle mends everything and checks that each accepted job ends as it should.
func (w *world) settle() []string {
	for _, link := range w.links {
		link.cut.Store(false)
	}
	w.store.LoseAnswers(0, 0)
	time.Sleep(recovery)
	broken := w.fleet.Broken()
	for _, id := range w.ids() {
		phase, err := w.intake.State(context.Background(), intake.Call{ID: id})
		switch {
		case err != nil:
			broken = append(broken, fmt.Sprintf("lost: %s: %v", id, err))
		case phase == wire.JobPhase_JOB_PHASE_DONE:
			broken = append(broken, w.undone(id)...)
		case phase != wire.JobPhase_JOB_PHASE_CANCELLED || !w.cancelled[id]:
			broken = append(broken, fmt.Sprintf("lost: %s is %s at the end", id, phase))
		}
	}
	for i, stop := range w.stops {
		stop()
		<-w.ends[i]
	}
	return broken
}

// undone lists the tasks of a job shown as done that have not ended so.
func (w *world) undone(id string) []string {
	var broken []string
	for number, step := range w.accepted[id].Steps {
		ended := false
		for index := range step.Count {
			done := w.fleet.Done(target.Task{Job: id, Step: number, Index: index})
			ended = ended || done
			if !step.Gang && !done {
				broken = append(broken, fmt.Sprintf("mixed: %s is done, task %d.%d is not", id, number, index))
			}
		}
		if !ended {
			broken = append(broken, fmt.Sprintf("mixed: %s is done, no member of step %d is", id, number))
		}
	}
	return broken
}

// Random sequences of submissions, cancellations and faults keep the promises: no task
// runs twice, before its time, unasked or too often, and no accepted job is lost.
func TestPromisesOfBatchJobs(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*seed)
	parameters.MinSuccessfulTests = *tries
	parameters.MinSize, parameters.MaxSize = 10, 40
	properties := gopter.NewProperties(parameters)
	properties.Property("promises are kept", prop.ForAll(func(steps []uint8, seed int64) string {
		var broken []string
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed)
			for _, step := range steps {
				w.act(step)
			}
			broken = w.settle()
		})
		if len(broken) > 0 {
			return fmt.Sprint(broken)
		}
		return ""
	}, gen.SliceOf(gen.UInt8()), gen.Int64Range(1, 1<<40)))
	properties.TestingRun(t)
}

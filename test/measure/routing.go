package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/admission"
	"github.com/eelgrasstide/eelgrasstide/internal/retry"
	"github.com/eelgrasstide/eelgrasstide/internal/router"
	"github.com/eelgrasstide/eelgrasstide/internal/runner"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	routedRunners  = 16
	routedHosts    = 3
	slotsPerRunner = 8
	routedSeconds  = 20
	routedService  = 20 * time.Millisecond
	routedDeadline = 2 * time.Second
)

// event is one arrival or one end, in the order of its time.
type event struct {
	at   time.Duration
	run  func()
	turn int
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].turn < h[j].turn
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// bench drives the real router, queue and budget of a few hosts over counted
// slots, in event time: the decisions alone, without wire.
type bench struct {
	random   *rand.Rand
	policy   router.Policy
	budget   bool
	failing  int
	queue    events
	turn     int
	now      time.Duration
	base     time.Time
	hosts    []*benchHost
	busy     [routedRunners]int
	slowness [routedRunners]float64
	done     []float64
	late     int
	offered  int
	failed   int
	runs     int
}

type benchHost struct {
	router *router.Router
	queue  *admission.Queue
	budget *retry.Budget
	// waiting says that a look at the queue is due.
	waiting bool
}

func newBench(seed uint64, policy router.Policy, budget bool, failing int) *bench {
	b := &bench{random: rand.New(rand.NewPCG(seed, 3)), policy: policy, budget: budget, failing: failing, base: time.Unix(1_000_000, 0)}
	var listed []router.Listing
	for i := range routedRunners {
		b.slowness[i] = 1 + 7*float64(i)/(routedRunners-1)
		listed = append(listed, router.Listing{Name: fmt.Sprintf("r%02d", i), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))})
	}
	for i := range routedHosts {
		h := &benchHost{
			router: &router.Router{Self: fmt.Sprint(i), PerRunner: 7, Policy: policy, Random: rand.New(rand.NewPCG(seed, uint64(i)))},
			queue:  &admission.Queue{Limit: 2048}, budget: &retry.Budget{},
		}
		h.router.Update(b.base, listed, nil)
		b.hosts = append(b.hosts, h)
	}
	return b
}

// capacity is the requests a second that the slots can serve.
func (b *bench) capacity() float64 {
	sum := 0.0
	for i := range routedRunners {
		if i >= b.failing {
			sum += slotsPerRunner / (routedService.Seconds() * b.slowness[i])
		}
	}
	return sum
}

func (b *bench) at(wait time.Duration, run func()) {
	b.turn++
	heap.Push(&b.queue, event{at: b.now + wait, run: run, turn: b.turn})
}

func (b *bench) run(load float64) {
	rate := b.capacity() * load
	var arrive func()
	arrive = func() {
		if b.now > routedSeconds*time.Second {
			return
		}
		b.arrive(b.hosts[b.random.IntN(routedHosts)])
		b.at(time.Duration(b.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	b.at(0, arrive)
	for len(b.queue) > 0 {
		next := heap.Pop(&b.queue).(event)
		b.now = next.at
		next.run()
	}
}

type ask struct {
	arrived  time.Duration
	attempts int
	tried    map[string]bool
}

func (b *bench) time() time.Time { return b.base.Add(b.now) }

func (b *bench) arrive(h *benchHost) {
	b.offered++
	h.budget.FirstTry()
	item := &admission.Item{
		Organisation: "a", Weight: 1, Urgency: wire.Urgency_urgent, Deadline: b.time().Add(routedDeadline),
		Service: h.router.Service("c"), Value: &ask{arrived: b.now, tried: map[string]bool{}},
	}
	_, slots := h.router.Room(b.time())
	if evicted, refused := h.queue.Offer(b.time(), item, slots); evicted != nil || refused != nil {
		b.late++
		return
	}
	b.pump(h)
}

func (b *bench) pump(h *benchHost) {
	for h.queue.Len() > 0 {
		item, expired := h.queue.Next(b.time())
		b.late += len(expired)
		if item == nil {
			return
		}
		held := item.Value.(*ask)
		picked, ok := h.router.Pick(b.time(), held.tried)
		if !ok {
			h.queue.Requeue(item, false)
			b.pumpLater(h)
			return
		}
		b.dispatch(h, item, held, picked.Name)
	}
}

// pumpLater looks again in a while; one look at a time is enough for a host.
func (b *bench) pumpLater(h *benchHost) {
	if h.waiting {
		return
	}
	h.waiting = true
	b.at(5*time.Millisecond, func() {
		h.waiting = false
		b.pump(h)
	})
}

func (b *bench) dispatch(h *benchHost, item *admission.Item, held *ask, name string) {
	index, err := strconv.Atoi(strings.TrimPrefix(name, "r"))
	if err != nil {
		return
	}
	held.attempts++
	if b.busy[index] >= slotsPerRunner {
		h.router.Ended(b.time(), name, "c", runner.Busy, 0)
		h.queue.Requeue(item, false)
		return
	}
	b.busy[index]++
	b.runs++
	length := time.Duration(b.slowness[index] * float64(routedService) * (0.5 + b.random.ExpFloat64()/2))
	if index < b.failing {
		length = time.Millisecond
	}
	b.at(length, func() {
		b.busy[index]--
		b.ended(h, item, held, name, index < b.failing, length)
		b.pump(h)
	})
}

func (b *bench) ended(h *benchHost, item *admission.Item, held *ask, name string, failed bool, took time.Duration) {
	sign := runner.Good
	if failed {
		sign = runner.Failed
	}
	h.router.Ended(b.time(), name, "c", sign, took)
	switch {
	case !failed && b.now-held.arrived <= routedDeadline:
		b.done = append(b.done, float64((b.now-held.arrived).Microseconds())/1000)
	case failed && held.attempts < 4 && (!b.budget || h.budget.Spend()):
		held.tried[name] = true
		h.queue.Requeue(item, true)
	case failed:
		b.failed++
	default:
		b.late++
	}
}

func measureRouting(p *printer) {
	ways := []struct {
		name   string
		policy router.Policy
		budget bool
	}{{"", router.LeastWork, true}, {"roundRobinWithoutBudget", router.RoundRobin, false}, {"randomTwoChoices", router.TwoChoices, true}}
	goodput := map[float64]float64{}
	for _, load := range []float64{0.5, 0.8, 1, 1.2, 2} {
		for _, way := range ways {
			b := newBench(p.seed, way.policy, way.budget, 0)
			b.run(load)
			b.print(p, fmt.Sprintf("routing.load%d.", int(load*100)), way.name)
			if way.name == "" {
				goodput[load] = float64(len(b.done)) / routedSeconds
			}
		}
	}
	p.print("routing.goodput200Of100", "share", goodput[2]/goodput[1], "")
	for _, way := range ways {
		b := newBench(p.seed, way.policy, way.budget, 2)
		b.run(0.8)
		b.print(p, "routing.twoOf16FailAll.load80.", way.name)
	}
}

func (b *bench) print(p *printer, prefix, baseline string) {
	p.print(prefix+"p50", "ms", quantile(b.done, 0.5), baseline)
	p.print(prefix+"p99", "ms", quantile(b.done, 0.99), baseline)
	p.print(prefix+"p999", "ms", quantile(b.done, 0.999), baseline)
	p.print(prefix+"doneInTime", "share", float64(len(b.done))/float64(b.offered), baseline)
	p.print(prefix+"failed", "share", float64(b.failed)/float64(b.offered), baseline)
	p.print(prefix+"runsPerRequest", "runs", float64(b.runs)/float64(b.offered), baseline)
}

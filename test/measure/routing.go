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
	routedRunners     = 16
	routedHosts       = 3
	slotsPerRunner    = 8
	routedSeconds     = 20
	routedServiceTime = 20 * time.Millisecond
	routedDeadline    = 2 * time.Second
)

// event is the arrival or the end of a request at a simulated time. Events of the same time
// run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	run      func()
	sequence int
}

// events is a heap, with the earliest event first.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// routingSimulation runs the routers, queues and retry budgets of a few hosts against
// simulated runners with a fixed number of slots, in simulated time. It makes the decisions
// alone, without network calls.
type routingSimulation struct {
	random *rand.Rand
	policy router.Policy
	// budget is set if the retry budgets limit retries.
	budget bool
	// failing is the number of runners that fail every request after 1 ms.
	failing  int
	queue    events
	sequence int
	// now is the simulated time since base.
	now   time.Duration
	base  time.Time
	hosts []*routingHost
	// busy is the number of slots in use at each runner, and slowness the factor of its
	// service time.
	busy     [routedRunners]int
	slowness [routedRunners]float64
	// latencies holds the milliseconds that the requests done in time took.
	latencies []float64
	// late counts the requests that were refused, expired in a queue or were done too late.
	late    int
	offered int
	failed  int
	runs    int
}

type routingHost struct {
	router *router.Router
	queue  *admission.Queue
	budget *retry.Budget
	// dispatchScheduled is set while a call of dispatchQueued is scheduled.
	dispatchScheduled bool
}

func newRoutingSimulation(seed uint64, policy router.Policy, budget bool, failing int) *routingSimulation {
	s := &routingSimulation{random: rand.New(rand.NewPCG(seed, 3)), policy: policy, budget: budget, failing: failing, base: time.Unix(1_000_000, 0)}
	var listed []router.Listing
	for i := range routedRunners {
		// The slowness rises evenly from 1 for the first runner to 8 for the last one.
		s.slowness[i] = 1 + 7*float64(i)/(routedRunners-1)
		listed = append(listed, router.Listing{Name: fmt.Sprintf("r%02d", i), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))})
	}
	for i := range routedHosts {
		h := &routingHost{
			router: &router.Router{Self: fmt.Sprint(i), MaxPerRunner: 7, Policy: policy, Random: rand.New(rand.NewPCG(seed, uint64(i)))},
			queue:  &admission.Queue{Limit: 2048}, budget: &retry.Budget{},
		}
		h.router.Update(s.base, listed, nil)
		s.hosts = append(s.hosts, h)
	}
	return s
}

// capacity returns the number of requests per second that the runners can serve, without the
// failing ones.
func (s *routingSimulation) capacity() float64 {
	sum := 0.0
	for i := range routedRunners {
		if i >= s.failing {
			sum += slotsPerRunner / (routedServiceTime.Seconds() * s.slowness[i])
		}
	}
	return sum
}

// at adds an event that runs after wait.
func (s *routingSimulation) at(wait time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now + wait, run: run, sequence: s.sequence})
}

// run offers a load, as a share of the capacity, for routedSeconds, and runs until no event is
// left.
func (s *routingSimulation) run(load float64) {
	rate := s.capacity() * load
	var arrive func()
	arrive = func() {
		if s.now > routedSeconds*time.Second {
			return
		}
		s.arrive(s.hosts[s.random.IntN(routedHosts)])
		s.at(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.at(0, arrive)
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
}

// simulatedRequest is the state of one request.
type simulatedRequest struct {
	arrived  time.Duration
	attempts int
	tried    map[string]bool
}

// time returns the current simulated time as a time.Time.
func (s *routingSimulation) time() time.Time { return s.base.Add(s.now) }

// arrive queues a new request on a host, unless the queue refuses it.
func (s *routingSimulation) arrive(h *routingHost) {
	s.offered++
	h.budget.AddFirstAttempt()
	item := &admission.Item{
		Organisation: "a", Weight: 1, Urgency: wire.Urgency_urgent, Deadline: s.time().Add(routedDeadline),
		ServiceTime: h.router.ServiceTime("c"), Value: &simulatedRequest{arrived: s.now, tried: map[string]bool{}},
	}
	_, slots := h.router.FreeCapacity(s.time())
	if evicted, refused := h.queue.Offer(s.time(), item, slots); evicted != nil || refused != nil {
		s.late++
		return
	}
	s.dispatchQueued(h)
}

// dispatchQueued dispatches queued requests of a host until no runner can take one.
func (s *routingSimulation) dispatchQueued(h *routingHost) {
	for h.queue.Len() > 0 {
		item, expired := h.queue.Next(s.time())
		s.late += len(expired)
		if item == nil {
			return
		}
		req := item.Value.(*simulatedRequest)
		picked, ok := h.router.Pick(s.time(), req.tried)
		if !ok {
			h.queue.Requeue(item, false)
			s.dispatchLater(h)
			return
		}
		s.dispatch(h, item, req, picked.Name)
	}
}

// dispatchLater schedules a call of dispatchQueued after 5 ms, unless one is scheduled for the
// host already.
func (s *routingSimulation) dispatchLater(h *routingHost) {
	if h.dispatchScheduled {
		return
	}
	h.dispatchScheduled = true
	s.at(5*time.Millisecond, func() {
		h.dispatchScheduled = false
		s.dispatchQueued(h)
	})
}

// dispatch starts a request at a runner, or queues it again if the runner has no free slot.
func (s *routingSimulation) dispatch(h *routingHost, item *admission.Item, req *simulatedRequest, name string) {
	index, err := strconv.Atoi(strings.TrimPrefix(name, "r"))
	if err != nil {
		return
	}
	req.attempts++
	if s.busy[index] >= slotsPerRunner {
		h.router.RecordResult(s.time(), name, "c", runner.Busy, 0)
		h.queue.Requeue(item, false)
		return
	}
	s.busy[index]++
	s.runs++
	duration := time.Duration(s.slowness[index] * float64(routedServiceTime) * (0.5 + s.random.ExpFloat64()/2))
	if index < s.failing {
		duration = time.Millisecond
	}
	s.at(duration, func() {
		s.busy[index]--
		s.recordEnd(h, item, req, name, index < s.failing, duration)
		s.dispatchQueued(h)
	})
}

// recordEnd records the end of a run, and queues a failed request again while it has attempts
// and retry budget left.
func (s *routingSimulation) recordEnd(h *routingHost, item *admission.Item, req *simulatedRequest, name string, failed bool, took time.Duration) {
	health := runner.Healthy
	if failed {
		health = runner.Failed
	}
	h.router.RecordResult(s.time(), name, "c", health, took)
	switch {
	case !failed && s.now-req.arrived <= routedDeadline:
		s.latencies = append(s.latencies, float64((s.now-req.arrived).Microseconds())/1000)
	case failed && req.attempts < 4 && (!s.budget || h.budget.Spend()):
		req.tried[name] = true
		h.queue.Requeue(item, true)
	case failed:
		s.failed++
	default:
		s.late++
	}
}

// measureRouting compares the router in use with two baselines, at several loads and with two
// runners that fail every request.
func measureRouting(p *printer) {
	variants := []struct {
		name   string
		policy router.Policy
		budget bool
	}{{"", router.LeastWork, true}, {"roundRobinWithoutBudget", router.RoundRobin, false}, {"randomTwoChoices", router.TwoChoices, true}}
	goodput := map[float64]float64{}
	for _, load := range []float64{0.5, 0.8, 1, 1.2, 2} {
		for _, variant := range variants {
			s := newRoutingSimulation(p.seed, variant.policy, variant.budget, 0)
			s.run(load)
			s.print(p, fmt.Sprintf("routing.load%d.", int(load*100)), variant.name)
			if variant.name == "" {
				goodput[load] = float64(len(s.latencies)) / routedSeconds
			}
		}
	}
	p.print("routing.goodput200Of100", "share", goodput[2]/goodput[1], "")
	for _, variant := range variants {
		s := newRoutingSimulation(p.seed, variant.policy, variant.budget, 2)
		s.run(0.8)
		s.print(p, "routing.twoOf16FailAll.load80.", variant.name)
	}
}

func (s *routingSimulation) print(p *printer, prefix, baseline string) {
	p.print(prefix+"p50", "ms", quantile(s.latencies, 0.5), baseline)
	p.print(prefix+"p99", "ms", quantile(s.latencies, 0.99), baseline)
	p.print(prefix+"p999", "ms", quantile(s.latencies, 0.999), baseline)
	p.print(prefix+"doneInTime", "share", float64(len(s.latencies))/float64(s.offered), baseline)
	p.print(prefix+"failed", "share", float64(s.failed)/float64(s.offered), baseline)
	p.print(prefix+"runsPerRequest", "runs", float64(s.runs)/float64(s.offered), baseline)
}

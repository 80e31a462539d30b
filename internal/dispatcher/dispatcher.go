// Package dispatcher sends requests to runners. It admits, queues, routes, retries and recovers
// them, and runs a non-idempotent request at most once.
package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/admission"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress/budget"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/retry"
	"github.com/eelgrasstide/eelgrasstide/internal/router"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/runner"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	dispatchInterval = 10 * time.Millisecond
	// TicketRetention is how long the outcome of a request can be looked up.
	TicketRetention = 10 * time.Minute
	// ticketValidity is how long a ticket from POST /v1/tickets may be used to submit a request.
	ticketValidity     = 10 * time.Minute
	maxEndedTickets    = 20_000
	maxEndedRepeatable = 1_000
	// idempotentGrace is how long after the deadline a dispatch of an idempotent request is
	// cancelled.
	idempotentGrace = time.Second
	trimPeriod      = time.Minute
	// TicketSeparator separates the incarnation and the sequence number in a ticket.
	TicketSeparator = "."
)

// Target is the client of a runner that the dispatcher uses.
type Target interface {
	// Run dispatches a request once.
	Run(ctx context.Context, req *wire.RunRequest) runner.Report
	// Resolve asks on a new connection how a request ended. running reports that it has not
	// ended yet.
	Resolve(ctx context.Context, id string) (out outcome.Outcome, running bool)
}

// Dispatcher handles the requests for short work and traces that one host accepts. Set the
// exported fields before Prepare or Run.
type Dispatcher struct {
	Incarnation string
	Journal     *journal.Journal
	Store       *store.Store
	// Rules returns the rules in force.
	Rules func() *rules.Rules
	// Runner returns the client of a runner.
	Runner func(router.Listing) Target
	Router *router.Router
	Queue  *admission.Queue
	Budget *retry.Budget
	// Payloads, if set, bounds the memory of the payloads of unfinished requests. Those adopted from another
	// host are never refused for it.
	Payloads *budget.Budget
	// Capacity is the largest number of this host's dispatches in progress.
	Capacity int
	// Locate returns the outcome of a ticket of any host, or nil if it is not known.
	Locate  func(ctx context.Context, ticket string) outcome.Outcome
	Metrics metrics.Registry

	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// requests holds the requests by ticket, and issued the time of each ticket that was issued but
	// not used yet.
	requests map[string]*work
	issued   map[string]time.Time
	// endedTickets and endedRepeatable list the tickets of ended requests, the oldest first.
	// endedRepeatable holds those of idempotent short work.
	endedTickets    []string
	endedRepeatable []string
	sequence        int64
	// inFlight counts the unfinished requests by organisation and class, and unfinishedCount all of
	// them. hostDispatches counts the dispatches in progress.
	inFlight        map[[2]string]int
	hostDispatches  int
	unfinishedCount int
	draining        bool
	wake            chan struct{}
}

// Run dispatches queued requests until ctx ends. It then cancels the dispatches in flight and
// waits for them to return. Call Drain first to let them finish.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.mu.Lock()
	d.prepare(ctx)
	d.mu.Unlock()
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	trim := time.NewTicker(trimPeriod)
	defer trim.Stop()
	for {
		select {
		case <-ctx.Done():
			d.cancel()
			d.tasks.Wait()
			return ctx.Err()
		case <-tick.C:
			d.lockAndDispatch()
		case <-d.wake:
			d.lockAndDispatch()
		case <-trim.C:
			d.trim(ctx)
		}
	}
}

// Prepare initialises the dispatcher, so that its methods may be called before Run.
func (d *Dispatcher) Prepare(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prepare(ctx)
}

func (d *Dispatcher) prepare(ctx context.Context) {
	if d.requests != nil {
		return
	}
	d.ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	d.requests, d.issued = map[string]*work{}, map[string]time.Time{}
	d.inFlight, d.wake = map[[2]string]int{}, make(chan struct{}, 1)
	if d.Metrics == nil {
		d.Metrics = metrics.NewRegistry()
	}
}

// Ticket issues a ticket, with which a caller can safely repeat its first request even while the
// store is unavailable.
func (d *Dispatcher) Ticket() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	ticket := d.nextTicket()
	d.issued[ticket] = time.Now()
	return ticket
}

func (d *Dispatcher) nextTicket() string {
	d.sequence++
	return fmt.Sprintf("%s%s%d", d.Incarnation, TicketSeparator, d.sequence)
}

// IssuingIncarnation returns the incarnation that issued a ticket.
func IssuingIncarnation(ticket string) string {
	incarnation, _, _ := strings.Cut(ticket, TicketSeparator)
	return incarnation
}

// Submit accepts a request and returns its ticket, and an outcome if the request has already
// ended. For a ticket or key that was used before it returns the ticket of the first request.
func (d *Dispatcher) Submit(ctx context.Context, req *wire.WorkRequest) (string, outcome.Outcome) {
	w, refused := d.newWork(req)
	if refused != nil {
		return req.GetTicket(), refused
	}
	if w.class.GetIdempotent() || req.GetKey() == "" {
		return d.accept(ctx, w)
	}
	return d.submitKeyed(ctx, w, req)
}

// newWork checks the request against the rules in force. A non-nil outcome is the refusal.
func (d *Dispatcher) newWork(req *wire.WorkRequest) (*work, outcome.Outcome) {
	inForce := d.Rules()
	if _, ok := inForce.RuleFor(req.GetOrganisation(), req.GetClass()); !ok {
		return nil, outcome.NotRun{
			Reason: fmt.Sprintf("no rule allows organisation %q to use class %q", req.GetOrganisation(), req.GetClass()),
			Remedy: "ask an operator for a rule, or correct the names",
		}
	}
	class := inForce.Classes[req.GetClass()]
	if class.GetKind() == wire.Kind_gang {
		return nil, outcome.NotRun{Reason: "a class of kind gang takes jobs, not single requests", Remedy: "submit it as a gang job"}
	}
	timeLimit := rules.Deadline(class)
	if req.GetDeadline() != nil {
		timeLimit = req.GetDeadline().AsDuration()
	}
	if timeLimit <= 0 {
		return nil, outcome.NotRun{Reason: "the request's deadline is not in the future", Remedy: "set a longer deadline"}
	}
	now := time.Now()
	return &work{
		ticket: req.GetTicket(), req: withoutPayload(req), payload: req.GetPayload(), class: class, weight: inForce.Organisations[req.GetOrganisation()].GetWeight(),
		accepted: now, deadline: now.Add(timeLimit), journal: d.Journal, excluded: map[string]bool{}, done: make(chan struct{}),
	}, nil
}

// register stores the work under its ticket, unless the ticket is already in use, or returns the
// refusal. The lock is held.
func (d *Dispatcher) register(w *work) outcome.Outcome {
	if w.ticket == "" {
		w.ticket = d.nextTicket()
	} else if _, ok := d.requests[w.ticket]; ok {
		return nil
	} else if _, ok := d.issued[w.ticket]; !ok {
		return outcome.Unknown{Reason: "this host did not issue the ticket, or no longer retains it"}
	}
	delete(d.issued, w.ticket)
	if refused := d.limit(w); refused != nil {
		return refused
	}
	d.requests[w.ticket] = w
	return nil
}

// limit counts the work as in flight, or refuses it if this host is stopping, the rule's limit is
// reached, there is no memory for its payload, or no runner takes it because the zone is cordoned. A trace may wait for the end of that. The lock is held.
func (d *Dispatcher) limit(w *work) outcome.Outcome {
	if d.draining {
		return outcome.NotRun{Reason: "this host is stopping", Remedy: "send the request to another host", RetryAfter: dispatchInterval}
	}
	if d.Router.Cordoned() && w.class.GetKind() != wire.Kind_trace {
		return outcome.NotRun{Reason: "the availability zone of this host is cordoned", Remedy: "send the request to a host of another zone", RetryAfter: time.Second}
	}
	rule, _ := d.Rules().RuleFor(w.req.GetOrganisation(), w.req.GetClass())
	pair := [2]string{w.req.GetOrganisation(), w.req.GetClass()}
	if limit := int(rule.GetMaxInFlight()); limit > 0 && d.inFlight[pair] >= limit {
		return outcome.NotRun{Reason: fmt.Sprintf("the rule's limit of %d requests in flight is reached", limit), Remedy: "wait for earlier requests to end, or ask an operator for a higher limit", RetryAfter: dispatchInterval}
	}
	if !d.reservePayload(w) {
		return outcome.NotRun{Reason: "there is no memory for the payload while earlier requests wait", Remedy: "try again later, or send the request to another host", RetryAfter: time.Second}
	}
	d.inFlight[pair]++
	d.unfinishedCount++
	return nil
}

// makeDurable appends a record to the journal and waits until it is durable. A non-nil outcome
// means that the request must not continue.
func (d *Dispatcher) makeDurable(ctx context.Context, w *work, record *wire.JournalRecord) outcome.Outcome {
	err := w.journal.Append(ctx, record)
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		w.journalled = true
		return nil
	}
	return d.withoutStore(w, err)
}

// withoutStore decides whether a request whose record is not durable may continue. It returns nil
// if so, which requires a class with storeOutage = "carryOn", no key and this host's own journal.
func (d *Dispatcher) withoutStore(w *work, err error) outcome.Outcome {
	switch {
	case errkind.Fenced.Is(err):
		return outcome.NotRun{Reason: "another host has taken over the journal because this host appeared to be dead", Remedy: "send the request to another host", RetryAfter: dispatchInterval}
	case w.class.GetStoreOutage() == wire.StoreOutage_carryOn && w.req.GetKey() == "" && w.journal == d.Journal:
		return nil
	}
	return outcome.NotRun{Reason: "the platform's store accepts no writes", Remedy: "try again later", RetryAfter: time.Second}
}

// enqueue queues the work, or ends it if the queue refuses it. If the queue is full, it may
// accept the work and evict another request, which then ends. The lock is held.
func (d *Dispatcher) enqueue(w *work) {
	now := time.Now()
	w.queueItem = &admission.Item{
		Organisation: w.req.GetOrganisation(), Weight: w.weight, Urgency: w.class.GetUrgency(),
		Deadline: w.deadline, ServiceTime: d.Router.ServiceTime(w.req.GetClass()), Value: w,
	}
	d.Budget.AddFirstAttempt()
	_, slots := d.Router.FreeCapacity(now)
	evicted, refused := d.Queue.Offer(now, w.queueItem, min(slots, d.Capacity))
	if evicted != nil {
		d.finish(evicted.Value.(*work), outcome.NotRun{Reason: "the queue is full and the organisation exceeds its share of it", Remedy: "try again later", RetryAfter: time.Second})
	}
	if refused != nil {
		d.finish(w, *refused)
	}
}

func (d *Dispatcher) lockAndDispatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatchQueued()
}

// dispatchQueued dispatches queued requests while a runner has free capacity. The lock is held.
func (d *Dispatcher) dispatchQueued() {
	now := time.Now()
	for d.hostDispatches < d.Capacity && d.Queue.Len() > 0 {
		if free, _ := d.Router.FreeCapacity(now); free <= 0 {
			return
		}
		item, expired := d.Queue.Next(now)
		for _, late := range expired {
			d.finish(late.Value.(*work), outcome.NotRun{Reason: "the request could no longer finish before its deadline", Remedy: "set a longer deadline or try again later", RetryAfter: time.Second})
		}
		if item == nil {
			return
		}
		if !d.startDispatch(now, item.Value.(*work)) {
			d.Queue.Requeue(item, false)
			return
		}
	}
}

// startDispatch starts one dispatch and reports whether a runner had free capacity. If every
// runner with free capacity is excluded and this is not a hedge, the exclusions are dropped. The
// lock is held.
func (d *Dispatcher) startDispatch(now time.Time, w *work) bool {
	listing, ok := d.Router.Pick(now, w.excluded)
	if !ok && len(w.excluded) > 0 && !w.hedged {
		clear(w.excluded)
		listing, ok = d.Router.Pick(now, nil)
	}
	if !ok {
		return false
	}
	d.hostDispatches++
	w.activeDispatches++
	w.attempts++
	w.target = listing.Name
	metrics.GetOrRegisterCounter("dispatches", d.Metrics).Inc(1)
	d.tasks.Go(func() { d.attempt(w, listing) })
	return true
}

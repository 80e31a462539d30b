// Package dispatcher carries requests to runners: it admits, queues, routes,
// retries and recovers them, and runs a non-idempotent one at most once.
package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/admission"
	"github.com/eelgrasstide/eelgrasstide/internal/fault"
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
	pumpPeriod = 10 * time.Millisecond
	// TicketRetention is how long the end of a request can be looked up.
	TicketRetention = 10 * time.Minute
	// ticketLife is how long a ticket from POST /v1/tickets may wait for its request.
	ticketLife      = 10 * time.Minute
	maxRemembered   = 20_000
	maxBrief        = 1_000
	idempotentGrace = time.Second
	trimPeriod      = time.Minute
	// TicketSeparator stands between the incarnation and the sequence of a ticket.
	TicketSeparator = "."
)

// Target is a runner as the dispatcher sees it.
type Target interface {
	// Run dispatches a request once.
	Run(ctx context.Context, req *wire.RunRequest) runner.Report
	// Resolve asks on a new connection how a request ended.
	Resolve(ctx context.Context, id string) (out outcome.Outcome, running bool)
}

// Dispatcher serves the short work and traces of one host. Set the exported
// fields before Run.
type Dispatcher struct {
	Incarnation string
	Journal     *journal.Journal
	Store       *store.Store
	Rules       func() *rules.Rules
	// Runner returns the client of a runner.
	Runner func(router.Listing) Target
	Router *router.Router
	Queue  *admission.Queue
	Budget *retry.Budget
	// Capacity bounds the requests that this host has at runners at once.
	Capacity int
	// Locate returns the outcome of a ticket of any host; nil while it is not known.
	Locate  func(ctx context.Context, ticket string) outcome.Outcome
	Metrics metrics.Registry

	mu        sync.Mutex
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	works     map[string]*work
	issued    map[string]time.Time
	forgotten []string
	brief     []string
	sequence  int64
	inFlight  map[[2]string]int
	flying    int
	held      int
	leaving   bool
	wake      chan struct{}
}

// Run pumps the queue until ctx ends, then gives up what is still in flight and
// waits for it. A planned stop calls Drain first.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.mu.Lock()
	d.prepare(ctx)
	d.mu.Unlock()
	tick := time.NewTicker(pumpPeriod)
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
			d.lockedPump()
		case <-d.wake:
			d.lockedPump()
		case <-trim.C:
			d.trim(ctx)
		}
	}
}

// Prepare readies the dispatcher for calls before Run.
func (d *Dispatcher) Prepare(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prepare(ctx)
}

func (d *Dispatcher) prepare(ctx context.Context) {
	if d.works != nil {
		return
	}
	d.ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	d.works, d.issued = map[string]*work{}, map[string]time.Time{}
	d.inFlight, d.wake = map[[2]string]int{}, make(chan struct{}, 1)
	if d.Metrics == nil {
		d.Metrics = metrics.NewRegistry()
	}
}

// Ticket issues a ticket, so that a caller can repeat its very first request
// safely even while the store is out.
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

// Owner returns the incarnation that issued a ticket.
func Owner(ticket string) string {
	incarnation, _, _ := strings.Cut(ticket, TicketSeparator)
	return incarnation
}

// Submit takes a request on and returns its ticket, or an outcome that ends it
// at once. A ticket or key that was seen before leads to the first request.
func (d *Dispatcher) Submit(ctx context.Context, req *wire.WorkRequest) (string, outcome.Outcome) {
	w, refused := d.build(req)
	if refused != nil {
		return req.GetTicket(), refused
	}
	if w.class.GetIdempotent() || req.GetKey() == "" {
		return d.accept(ctx, w)
	}
	return d.submitKeyed(ctx, w)
}

// build checks the request against the rules in force.
func (d *Dispatcher) build(req *wire.WorkRequest) (*work, outcome.Outcome) {
	held := d.Rules()
	if _, ok := held.Permits(req.GetOrganisation(), req.GetClass()); !ok {
		return nil, outcome.NotRun{
			Reason: fmt.Sprintf("no rule ties organisation %q to class %q", req.GetOrganisation(), req.GetClass()),
			Remedy: "ask an operator for a rule, or correct the names",
		}
	}
	class := held.Classes[req.GetClass()]
	if class.GetKind() == wire.Kind_gang {
		return nil, outcome.NotRun{Reason: "the class is for gang jobs", Remedy: "submit it as a job"}
	}
	length := rules.Deadline(class)
	if req.GetDeadline() != nil {
		length = req.GetDeadline().AsDuration()
	}
	if length <= 0 {
		return nil, outcome.NotRun{Reason: "the deadline has passed", Remedy: "allow more time"}
	}
	now := time.Now()
	return &work{
		ticket: req.GetTicket(), req: req, class: class, weight: held.Organisations[req.GetOrganisation()].GetWeight(),
		accepted: now, deadline: now.Add(length), journal: d.Journal, tried: map[string]bool{}, done: make(chan struct{}),
	}, nil
}

// accept registers the work under its ticket and queues it.
func (d *Dispatcher) accept(ctx context.Context, w *work) (string, outcome.Outcome) {
	d.mu.Lock()
	if refused := d.register(w); refused != nil {
		d.mu.Unlock()
		return w.ticket, refused
	}
	if first := d.works[w.ticket]; first != w {
		d.mu.Unlock()
		return w.ticket, nil
	}
	d.mu.Unlock()
	if w.class.GetKind() == wire.Kind_trace {
		return w.ticket, d.promise(ctx, w)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.offer(w)
	d.pump()
	return w.ticket, w.out
}

// promise makes the acceptance durable, so that a survivor would run the request.
// While it is not known whether the record is, the request is pending.
func (d *Dispatcher) promise(ctx context.Context, w *work) outcome.Outcome {
	if w.journal.Stalled() || !d.Store.Writable() {
		return d.unpromised(w, fault.Unavailable.New("wait for the store", "Dispatcher.promise: writes fail"))
	}
	durable := w.journal.Queue(w.acceptance())
	timer := time.NewTimer(journal.AppendTimeout)
	defer timer.Stop()
	select {
	case err := <-durable:
		return d.promisedOrNot(w, err)
	case <-timer.C:
	case <-ctx.Done():
	}
	d.tasks.Go(func() { d.awaitPromise(w, durable) })
	return nil
}

func (d *Dispatcher) awaitPromise(w *work, durable <-chan error) {
	select {
	case err := <-durable:
		d.promisedOrNot(w, err)
	case <-d.ctx.Done():
	}
}

func (d *Dispatcher) promisedOrNot(w *work, err error) outcome.Outcome {
	if err != nil {
		return d.unpromised(w, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	w.durable, w.promised = true, true
	d.offer(w)
	d.pump()
	return w.out
}

// unpromised goes on without the store where the class allows it.
func (d *Dispatcher) unpromised(w *work, err error) outcome.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if out := d.withoutStore(w, err); out != nil {
		d.finish(w, out)
		return w.out
	}
	d.offer(w)
	d.pump()
	return w.out
}

// register enters the work, or finds why it may not run. The lock is held.
func (d *Dispatcher) register(w *work) outcome.Outcome {
	if w.ticket == "" {
		w.ticket = d.nextTicket()
	} else if _, ok := d.works[w.ticket]; ok {
		return nil
	} else if _, ok := d.issued[w.ticket]; !ok {
		return outcome.Unknown{Reason: "the ticket was not issued here, or was used and forgotten"}
	}
	delete(d.issued, w.ticket)
	if refused := d.limit(w); refused != nil {
		return refused
	}
	d.works[w.ticket] = w
	return nil
}

func (d *Dispatcher) limit(w *work) outcome.Outcome {
	if d.leaving {
		return outcome.NotRun{Reason: "this host is stopping", Remedy: "send the request to another host", RetryAfter: pumpPeriod}
	}
	rule, _ := d.Rules().Permits(w.req.GetOrganisation(), w.req.GetClass())
	pair := [2]string{w.req.GetOrganisation(), w.req.GetClass()}
	if limit := int(rule.GetMaxInFlight()); limit > 0 && d.inFlight[pair] >= limit {
		return outcome.NotRun{Reason: fmt.Sprintf("the rule allows %d requests at once", limit), Remedy: "wait for earlier ones or ask for a higher limit", RetryAfter: pumpPeriod}
	}
	d.inFlight[pair]++
	d.held++
	return nil
}

// makeDurable writes a record before the next effect. A non-nil outcome says
// that the request may not go on.
func (d *Dispatcher) makeDurable(ctx context.Context, w *work, record *wire.JournalRecord) outcome.Outcome {
	err := w.journal.Append(ctx, record)
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		w.durable = true
		return nil
	}
	return d.withoutStore(w, err)
}

// withoutStore decides what becomes of a request whose record is not durable.
func (d *Dispatcher) withoutStore(w *work, err error) outcome.Outcome {
	switch {
	case fault.Fenced.Is(err):
		return outcome.NotRun{Reason: "this host was taken for dead", Remedy: "send the request to another host", RetryAfter: pumpPeriod}
	case w.class.GetStoreOutage() == wire.StoreOutage_carryOn && w.req.GetKey() == "" && w.journal == d.Journal:
		return nil
	}
	return outcome.NotRun{Reason: "the platform's store accepts no writes", Remedy: "try again later", RetryAfter: time.Second}
}

// offer queues the work. The lock is held.
func (d *Dispatcher) offer(w *work) {
	now := time.Now()
	w.item = &admission.Item{
		Organisation: w.req.GetOrganisation(), Weight: w.weight, Urgency: w.class.GetUrgency(),
		Deadline: w.deadline, Service: d.Router.Service(w.req.GetClass()), Value: w,
	}
	d.Budget.FirstTry()
	_, slots := d.Router.Room(now)
	evicted, refused := d.Queue.Offer(now, w.item, min(slots, d.Capacity))
	if evicted != nil {
		d.finish(evicted.Value.(*work), outcome.NotRun{Reason: "the queue is full and the organisation is over its share", Remedy: "try again later", RetryAfter: time.Second})
	}
	if refused != nil {
		d.finish(w, *refused)
	}
}

func (d *Dispatcher) lockedPump() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump()
}

// pump dispatches while a runner has room. The lock is held.
func (d *Dispatcher) pump() {
	now := time.Now()
	for d.flying < d.Capacity && d.Queue.Len() > 0 {
		if free, _ := d.Router.Room(now); free <= 0 {
			return
		}
		item, expired := d.Queue.Next(now)
		for _, late := range expired {
			d.finish(late.Value.(*work), outcome.NotRun{Reason: "it could no longer finish in time", Remedy: "allow more time or try again later", RetryAfter: time.Second})
		}
		if item == nil {
			return
		}
		if !d.launch(now, item.Value.(*work)) {
			d.Queue.Requeue(item, false)
			return
		}
	}
}

// launch starts one dispatch and reports whether a runner had room. The lock is held.
func (d *Dispatcher) launch(now time.Time, w *work) bool {
	listing, ok := d.Router.Pick(now, w.tried)
	if !ok && len(w.tried) > 0 && !w.hedged {
		clear(w.tried)
		listing, ok = d.Router.Pick(now, nil)
	}
	if !ok {
		return false
	}
	d.flying++
	w.active++
	w.attempts++
	w.target = listing.Name
	metrics.GetOrRegisterCounter("dispatches", d.Metrics).Inc(1)
	d.tasks.Go(func() { d.attempt(w, listing) })
	return true
}

package dispatcher

import (
	"context"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/router"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// Find returns the outcome of a ticket that this host holds, waiting for it up
// to wait. A nil outcome with found is still pending.
func (d *Dispatcher) Find(ctx context.Context, ticket string, wait time.Duration) (out outcome.Outcome, found bool) {
	d.mu.Lock()
	w, ok := d.works[ticket]
	d.mu.Unlock()
	if !ok {
		return nil, false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return w.out, true
}

// Attempts returns how often a ticket was dispatched.
func (d *Dispatcher) Attempts(ticket string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w, ok := d.works[ticket]; ok {
		return w.attempts
	}
	return 0
}

// Abandoned drops an idempotent request that waits while its caller has gone.
func (d *Dispatcher) Abandoned(ticket string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w, ok := d.works[ticket]; ok && w.idempotent() && w.class.GetKind() == wire.Kind_short && w.item != nil && d.Queue.Remove(w.item) {
		d.finish(w, outcome.NotRun{Reason: "the caller went away", Remedy: "send the request again"})
	}
}

// Cancel ends a request that has not been dispatched and reports whether it did.
func (d *Dispatcher) Cancel(ticket string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.works[ticket]
	if !ok || w.finished() || w.item == nil || w.active > 0 || !d.Queue.Remove(w.item) {
		return false
	}
	d.finish(w, outcome.NotRun{Reason: "it was cancelled", Remedy: "send the request again if it is still wanted"})
	return true
}

// Left records that a runner is leaving, as another host saw it.
func (d *Dispatcher) Left(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.Left(time.Now(), name)
}

// Update gives the router the runners and the hosts that share them.
func (d *Dispatcher) Update(listed []router.Listing, hosts []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.Update(time.Now(), listed, hosts)
}

// Departures returns the runners known to be leaving.
func (d *Dispatcher) Departures() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Router.Departures()
}

// Runners describes the runners for operators.
func (d *Dispatcher) Runners() []router.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Router.Views(time.Now())
}

// Load returns the queued and unfinished requests of an organisation.
func (d *Dispatcher) Load(organisation string) (queued, unfinished int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for pair, count := range d.inFlight {
		if pair[0] == organisation {
			unfinished += count
		}
	}
	return d.Queue.Queued(organisation), unfinished
}

// Adopt goes on with the requests of a dead host's journal, which this host has
// taken over. Ended ones can be looked up; dispatched ones are resolved at their
// runner; those never dispatched are queued.
func (d *Dispatcher) Adopt(requests []journal.Request, from *journal.Journal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, request := range requests {
		if w := d.restore(request, from); w != nil {
			d.resume(w, request.Last)
		}
	}
	d.pump()
}

func (d *Dispatcher) restore(request journal.Request, from *journal.Journal) *work {
	accepted := request.Accepted
	if _, ok := d.works[accepted.GetId()]; ok {
		return nil
	}
	class, ok := d.Rules().Classes[accepted.GetClass()]
	if !ok {
		class = &wire.Class{Idempotent: accepted.GetIdempotent()}
	}
	if class.GetIdempotent() != accepted.GetIdempotent() {
		class = &wire.Class{Kind: class.GetKind(), Urgency: class.GetUrgency(), MaxAttempts: class.GetMaxAttempts(), Idempotent: accepted.GetIdempotent()}
	}
	w := &work{
		ticket: accepted.GetId(), class: class, journal: from, durable: true, adopted: true, weight: 1,
		promised: accepted.GetKind() == wire.RecordKind_RECORD_KIND_ACCEPTED,
		req:      &wire.WorkRequest{Organisation: accepted.GetOrganisation(), Class: accepted.GetClass(), Payload: accepted.GetPayload(), Declared: accepted.GetDeclared()},
		accepted: time.Now(), deadline: accepted.GetDeadline().AsTime(), tried: map[string]bool{}, done: make(chan struct{}),
	}
	d.works[w.ticket] = w
	d.inFlight[[2]string{accepted.GetOrganisation(), accepted.GetClass()}]++
	d.held++
	return w
}

func (d *Dispatcher) resume(w *work, last *wire.JournalRecord) {
	if out := Ended(last); out != nil {
		w.durable = false
		d.finish(w, out)
		w.durable = true
		return
	}
	if last.GetKind() == wire.RecordKind_RECORD_KIND_INTENT {
		listing, err := intended(last)
		if err != nil {
			d.finish(w, outcome.Unknown{Reason: "the journal names no runner", Target: last.GetTarget()})
			return
		}
		w.attempts = 1
		d.tasks.Go(func() { d.resolve(w, d.Runner(listing), listing.Name) })
		return
	}
	d.offer(w)
}

// Drain refuses new requests and waits until every accepted one has ended.
func (d *Dispatcher) Drain(ctx context.Context) {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	for ctx.Err() == nil && d.unfinished() > 0 {
		time.Sleep(pumpPeriod)
	}
}

func (d *Dispatcher) unfinished() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

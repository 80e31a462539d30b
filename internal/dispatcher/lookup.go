package dispatcher

import (
	"context"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/router"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// Find returns the outcome of a ticket that this host holds. It waits for the outcome up to wait,
// or until ctx ends. A nil outcome with found set means that the request is pending.
func (d *Dispatcher) Find(ctx context.Context, ticket string, wait time.Duration) (out outcome.Outcome, found bool) {
	d.mu.Lock()
	w, ok := d.requests[ticket]
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

// Attempts returns the number of dispatches that count against the class's maximum of attempts,
// which are all but those that a runner refused as busy. It is 0 if this host does not hold the
// ticket.
func (d *Dispatcher) Attempts(ticket string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w, ok := d.requests[ticket]; ok {
		return w.attempts
	}
	return 0
}

// CancelAbandoned ends a queued request of idempotent short work whose caller has disconnected.
func (d *Dispatcher) CancelAbandoned(ticket string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w, ok := d.requests[ticket]; ok && w.idempotent() && w.class.GetKind() == wire.Kind_short && w.queueItem != nil && d.Queue.Remove(w.queueItem) {
		d.finish(w, outcome.NotRun{Reason: "the caller disconnected", Remedy: "send the request again"})
	}
}

// Cancel ends a request that is still queued and reports whether it did so.
func (d *Dispatcher) Cancel(ticket string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.requests[ticket]
	if !ok || w.finished() || w.queueItem == nil || w.activeDispatches > 0 || !d.Queue.Remove(w.queueItem) {
		return false
	}
	d.finish(w, outcome.NotRun{Reason: "it was cancelled", Remedy: "send the request again if it is still wanted"})
	return true
}

// MarkLeaving records that a runner is leaving, as reported by another host.
func (d *Dispatcher) MarkLeaving(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.MarkLeaving(time.Now(), name)
}

// SetCordoned says whether the runners' availability zone is cordoned. Requests that wait are dispatched
// when it no longer is.
func (d *Dispatcher) SetCordoned(cordoned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.SetCordoned(cordoned)
	d.dispatchQueued()
}

// Update passes the listed runners and the hosts that share them to the router.
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

// Runners returns the router's view of each runner, for operators.
func (d *Dispatcher) Runners() []router.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Router.Views(time.Now())
}

// Load returns the numbers of queued and of unfinished requests of an organisation.
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

// Adopt continues the requests in a dead host's journal that this host has adopted. Ended
// requests can be looked up, dispatched ones are resolved at their runner, and those that were
// never dispatched are queued.
func (d *Dispatcher) Adopt(requests []journal.Request, from *journal.Journal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, request := range requests {
		if w := d.restore(request, from); w != nil {
			d.resume(w, request.Last)
		}
	}
	d.dispatchQueued()
}

// restore registers a request from a journal, or returns nil if its ticket is known already. The lock
// is held.
func (d *Dispatcher) restore(request journal.Request, from *journal.Journal) *work {
	accepted := request.Accepted
	if _, ok := d.requests[accepted.GetId()]; ok {
		return nil
	}
	class := d.restoredClass(accepted)
	w := &work{
		ticket: accepted.GetId(), class: class, journal: from, journalled: true, adopted: true, weight: 1,
		acceptanceDurable: accepted.GetKind() == wire.RecordKind_RECORD_KIND_ACCEPTED,
		req:               &wire.WorkRequest{Organisation: accepted.GetOrganisation(), Class: accepted.GetClass(), Declared: accepted.GetDeclared()},
		payload:           accepted.GetPayload(),
		accepted:          time.Now(), deadline: accepted.GetDeadline().AsTime(), excluded: map[string]bool{}, done: make(chan struct{}),
	}
	d.reservePayload(w)
	d.requests[w.ticket] = w
	d.inFlight[[2]string{accepted.GetOrganisation(), accepted.GetClass()}]++
	d.unfinishedCount++
	return w
}

// restoredClass returns the class of an accepted request: the one in force, or the one that it was
// accepted under if that was removed or its idempotence was changed.
func (d *Dispatcher) restoredClass(accepted *wire.JournalRecord) *wire.Class {
	class, ok := d.Rules().Classes[accepted.GetClass()]
	switch {
	case ok && class.GetIdempotent() == accepted.GetIdempotent():
		return class
	case accepted.GetAcceptedClass() != nil:
		return accepted.GetAcceptedClass()
	}
	// The record is of an earlier release.
	return &wire.Class{Kind: class.GetKind(), Urgency: class.GetUrgency(), MaxAttempts: class.GetMaxAttempts(), Idempotent: accepted.GetIdempotent()}
}

// resume continues a restored request from its last journal record. The lock is held.
func (d *Dispatcher) resume(w *work, last *wire.JournalRecord) {
	if out := RecordedOutcome(last); out != nil {
		w.journalled = false
		d.finish(w, out)
		w.journalled = true
		return
	}
	if last.GetKind() == wire.RecordKind_RECORD_KIND_INTENT {
		listing, err := intentRunner(last)
		if err != nil {
			d.finish(w, outcome.Unknown{Reason: "the intent in the journal has no valid runner address", Target: last.GetTarget()})
			return
		}
		w.attempts = 1
		d.tasks.Go(func() { d.resolve(w, d.Runner(listing), listing.Name) })
		return
	}
	d.enqueue(w)
}

// Drain refuses new requests and waits until every accepted one has ended or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	for ctx.Err() == nil && d.unfinished() > 0 {
		time.Sleep(dispatchInterval)
	}
}

func (d *Dispatcher) unfinished() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unfinishedCount
}

package dispatcher

import (
	"context"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// accept registers the work under its ticket and queues it. The acceptance of a trace is made
// durable first.
func (d *Dispatcher) accept(ctx context.Context, w *work) (string, outcome.Outcome) {
	d.mu.Lock()
	if refused := d.register(w); refused != nil {
		d.mu.Unlock()
		return w.ticket, refused
	}
	if first := d.requests[w.ticket]; first != w {
		d.mu.Unlock()
		return w.ticket, nil
	}
	if w.class.GetKind() == wire.Kind_trace {
		record := w.acceptance()
		d.mu.Unlock()
		return w.ticket, d.journalAcceptance(ctx, w, record)
	}
	defer d.mu.Unlock()
	d.enqueue(w)
	d.dispatchQueued()
	return w.ticket, w.out
}

// journalAcceptance makes the acceptance durable, so that another host runs the request if this
// one dies. While it is not known whether the record is durable, the request is pending.
func (d *Dispatcher) journalAcceptance(ctx context.Context, w *work, record *wire.JournalRecord) outcome.Outcome {
	if w.journal.Stalled() || !d.Store.Writable() {
		return d.acceptanceNotDurable(w, errkind.Unavailable.New("wait for the store", "Dispatcher.journalAcceptance: the store accepts no writes"))
	}
	durable := w.journal.Enqueue(record)
	timer := time.NewTimer(journal.AppendTimeout)
	defer timer.Stop()
	select {
	case err := <-durable:
		return d.acceptanceEnded(w, err)
	case <-timer.C:
	case <-ctx.Done():
	}
	d.tasks.Go(func() { d.awaitAcceptance(w, durable) })
	return nil
}

// awaitAcceptance continues in the background when the journal did not answer in time.
func (d *Dispatcher) awaitAcceptance(w *work, durable <-chan error) {
	select {
	case err := <-durable:
		d.acceptanceEnded(w, err)
	case <-d.ctx.Done():
	}
}

// acceptanceEnded queues the request if its acceptance is durable.
func (d *Dispatcher) acceptanceEnded(w *work, err error) outcome.Outcome {
	if err != nil {
		return d.acceptanceNotDurable(w, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	w.journalled, w.acceptanceDurable = true, true
	d.enqueue(w)
	d.dispatchQueued()
	return w.out
}

// acceptanceNotDurable queues the request without a durable acceptance if its class allows that,
// and otherwise ends it. A host that adopts the journal runs a request whose acceptance it finds, so
// one whose acceptance may be durable is left to it.
func (d *Dispatcher) acceptanceNotDurable(w *work, err error) outcome.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if errkind.Ambiguous.Is(err) {
		d.finish(w, outcome.Unknown{Reason: "this host ended before the platform's store confirmed the acceptance; another host may run the request"})
		return w.out
	}
	if out := d.withoutStore(w, err); out != nil {
		d.finish(w, out)
		return w.out
	}
	d.enqueue(w)
	d.dispatchQueued()
	return w.out
}

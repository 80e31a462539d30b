package dispatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// finish ends the request. The lock is held. A non-idempotent request whose acceptance is durable
// is reported as not run only after that outcome is durable too, because a host that adopts the
// journal would otherwise run it.
func (d *Dispatcher) finish(w *work, out outcome.Outcome) {
	if w.finished() || w.finishing {
		return
	}
	if _, ok := out.(outcome.NotRun); ok && w.acceptanceDurable && !w.idempotent() {
		w.finishing = true
		d.tasks.Go(func() { d.finishDurably(w, out) })
		return
	}
	d.finishNow(w, out)
}

// finishDurably writes the outcome to the journal before the caller can see it, and retries
// until the write succeeds. If another host has adopted the journal, it hands over the request.
func (d *Dispatcher) finishDurably(w *work, out outcome.Outcome) {
	for d.ctx.Err() == nil {
		err := w.journal.Append(d.ctx, w.ending(out))
		d.mu.Lock()
		if err == nil || errkind.Fenced.Is(err) {
			defer d.mu.Unlock()
			w.journalled = false
			if err != nil {
				d.handOver(w)
				return
			}
			d.finishNow(w, out)
			return
		}
		d.mu.Unlock()
		sleep(d.ctx, retryInterval)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handOver leaves a request to the host that adopted the journal and removes the ticket here.
// The lock is held.
func (d *Dispatcher) handOver(w *work) {
	d.finishNow(w, outcome.Unknown{Reason: "another host has taken over this request", Remedy: "poll the ticket on any host"})
	delete(d.requests, w.ticket)
}

// finishNow sets the outcome and wakes the callers that wait for it. The lock is held.
func (d *Dispatcher) finishNow(w *work, out outcome.Outcome) {
	w.out, w.ended = out, time.Now()
	close(w.done)
	pair := [2]string{w.req.GetOrganisation(), w.req.GetClass()}
	if d.inFlight[pair]--; d.inFlight[pair] <= 0 {
		delete(d.inFlight, pair)
	}
	d.unfinishedCount--
	if w.journalled {
		w.journal.Enqueue(w.ending(out))
	}
	d.recordMetrics(w)
	d.retain(w)
	dropPayload(w)
}

func (d *Dispatcher) recordMetrics(w *work) {
	name := fmt.Sprintf("work.%s.%s", w.req.GetOrganisation(), w.req.GetClass())
	metrics.GetOrRegisterCounter(name+"."+outcome.Name(w.out), d.Metrics).Inc(1)
	if _, ok := w.out.(outcome.Done); ok {
		histogram := d.Metrics.GetOrRegister(name+".completion", func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramDecay))
		}).(metrics.Histogram)
		histogram.Update(w.ended.Sub(w.accepted).Microseconds())
	}
}

// retain keeps an ended request for lookups. It drops the oldest ones beyond maxEndedTickets, or
// beyond maxEndedRepeatable for idempotent short work. The lock is held.
func (d *Dispatcher) retain(w *work) {
	if w.idempotent() && w.class.GetKind() == wire.Kind_short {
		// Nothing depends on this ticket, because a repeated request may run again.
		d.endedRepeatable = append(d.endedRepeatable, w.ticket)
		for len(d.endedRepeatable) > maxEndedRepeatable {
			delete(d.requests, d.endedRepeatable[0])
			d.endedRepeatable = d.endedRepeatable[1:]
		}
		return
	}
	d.endedTickets = append(d.endedTickets, w.ticket)
	for len(d.endedTickets) > maxEndedTickets {
		delete(d.requests, d.endedTickets[0])
		d.endedTickets = d.endedTickets[1:]
	}
}

// trim drops the outcomes of requests that ended more than TicketRetention ago, except idempotent
// short work, and the tickets that were not used within ticketValidity. It then removes the
// journal segments that hold only dropped requests.
func (d *Dispatcher) trim(ctx context.Context) {
	before := time.Now().Add(-TicketRetention)
	d.mu.Lock()
	for len(d.endedTickets) > 0 {
		if w, ok := d.requests[d.endedTickets[0]]; ok && w.ended.After(before) {
			break
		}
		delete(d.requests, d.endedTickets[0])
		d.endedTickets = d.endedTickets[1:]
	}
	for ticket, at := range d.issued {
		if time.Since(at) > ticketValidity {
			delete(d.issued, ticket)
		}
	}
	d.mu.Unlock()
	_ = d.Journal.Trim(ctx, before, func(id string) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		_, retained := d.requests[id]
		return !retained
	})
}

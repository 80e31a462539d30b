package dispatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// finish ends the work for its caller. The lock is held. "Not run" is told only
// once no survivor would run a promised request.
func (d *Dispatcher) finish(w *work, out outcome.Outcome) {
	if w.finished() || w.concluding {
		return
	}
	if _, ok := out.(outcome.NotRun); ok && w.promised && !w.idempotent() {
		w.concluding = true
		d.tasks.Go(func() { d.conclude(w, out) })
		return
	}
	d.finishNow(w, out)
}

// conclude makes the end durable before it is told. If another host has taken the
// journal over, the request is that host's.
func (d *Dispatcher) conclude(w *work, out outcome.Outcome) {
	for d.ctx.Err() == nil {
		err := w.journal.Append(d.ctx, w.ending(out))
		d.mu.Lock()
		if err == nil || fault.Fenced.Is(err) {
			defer d.mu.Unlock()
			w.durable = false
			if err != nil {
				d.handOver(w)
				return
			}
			d.finishNow(w, out)
			return
		}
		d.mu.Unlock()
		rest(d.ctx, resolvePause)
	}
}

func rest(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handOver leaves a request to the host that has taken the journal over. The
// lock is held.
func (d *Dispatcher) handOver(w *work) {
	d.finishNow(w, outcome.Unknown{Reason: "another host has taken it over", Remedy: "poll the ticket"})
	delete(d.works, w.ticket)
}

func (d *Dispatcher) finishNow(w *work, out outcome.Outcome) {
	w.out, w.ended = out, time.Now()
	close(w.done)
	pair := [2]string{w.req.GetOrganisation(), w.req.GetClass()}
	if d.inFlight[pair]--; d.inFlight[pair] <= 0 {
		delete(d.inFlight, pair)
	}
	d.held--
	if w.durable {
		w.journal.Queue(w.ending(out))
	}
	d.measure(w)
	d.remember(w)
}

func (d *Dispatcher) measure(w *work) {
	name := fmt.Sprintf("work.%s.%s", w.req.GetOrganisation(), w.req.GetClass())
	metrics.GetOrRegisterCounter(name+"."+outcome.Name(w.out), d.Metrics).Inc(1)
	if _, ok := w.out.(outcome.Done); ok {
		histogram := d.Metrics.GetOrRegister(name+".completion", func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramDecay))
		}).(metrics.Histogram)
		histogram.Update(w.ended.Sub(w.accepted).Microseconds())
	}
}

// remember keeps ended work for look-ups, bounded in number.
func (d *Dispatcher) remember(w *work) {
	if w.idempotent() && w.class.GetKind() == wire.Kind_short {
		// Nothing depends on its ticket: a repeat may run again.
		d.brief = append(d.brief, w.ticket)
		for len(d.brief) > maxBrief {
			delete(d.works, d.brief[0])
			d.brief = d.brief[1:]
		}
		return
	}
	d.forgotten = append(d.forgotten, w.ticket)
	for len(d.forgotten) > maxRemembered {
		delete(d.works, d.forgotten[0])
		d.forgotten = d.forgotten[1:]
	}
}

// trim forgets old ends and removes their journal segments.
func (d *Dispatcher) trim(ctx context.Context) {
	before := time.Now().Add(-TicketRetention)
	d.mu.Lock()
	for len(d.forgotten) > 0 {
		if w, ok := d.works[d.forgotten[0]]; ok && w.ended.After(before) {
			break
		}
		delete(d.works, d.forgotten[0])
		d.forgotten = d.forgotten[1:]
	}
	for ticket, at := range d.issued {
		if time.Since(at) > ticketLife {
			delete(d.issued, ticket)
		}
	}
	d.mu.Unlock()
	_ = d.Journal.Trim(ctx, before, func(id string) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		_, held := d.works[id]
		return !held
	})
}

package dispatcher

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/router"
	"github.com/eelgrasstide/eelgrasstide/internal/runner"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	histogramSamples = 512
	histogramDecay   = 0.015
	retryInterval    = 200 * time.Millisecond
	// ResolveTimeout is how long Resolve keeps asking after the runner last reported that the
	// request is running.
	ResolveTimeout = 10 * time.Second
	// hedgeDelayFactor is the number of learned service times after which a hedge starts.
	hedgeDelayFactor = 3
	// maxIntentAge is the longest time from the start of writing an intent to its dispatch. A
	// host that was paused for longer does not dispatch the request.
	maxIntentAge = 30 * time.Second
)

// attempt dispatches a request once: it writes the intent if the request is not idempotent,
// calls the runner and passes the result to dispatchEnded.
func (d *Dispatcher) attempt(w *work, listing router.Listing) {
	if !w.idempotent() {
		if out := d.writeIntent(w, listing); out != nil {
			d.dispatchEnded(w, listing, runner.Report{Outcome: out}, 0, true)
			return
		}
	}
	hedge := d.startHedgeTimer(w)
	defer hedge.Stop()
	ctx, cancel := d.runContext(w)
	defer cancel()
	start := time.Now()
	report := d.Runner(listing).Run(ctx, d.runRequest(w))
	d.dispatchEnded(w, listing, report, time.Since(start), false)
}

// writeIntent makes the intent durable before the dispatch. A non-nil outcome means that the
// request must not be dispatched.
func (d *Dispatcher) writeIntent(w *work, listing router.Listing) outcome.Outcome {
	start := time.Now()
	record := w.acceptance()
	record.Kind, record.Target, record.TargetAddress = wire.RecordKind_RECORD_KIND_INTENT, listing.Name, listing.Address.String()
	if out := d.makeDurable(d.ctx, w, record); out != nil {
		return out
	}
	if time.Since(start) > maxIntentAge {
		return outcome.NotRun{Reason: "this host was paused for more than 30 s before the dispatch", Remedy: "send the request again", RetryAfter: dispatchInterval}
	}
	return nil
}

// intentRunner returns the runner named in an intent record. The error is errkind.Invalid if the
// runner's address can't be parsed.
func intentRunner(record *wire.JournalRecord) (router.Listing, error) {
	address, err := netip.ParseAddrPort(record.GetTargetAddress())
	if err != nil {
		return router.Listing{}, errkind.Invalid.New("remove the record", "dispatcher.intentRunner: record %s has no valid target address: %v", record.GetId(), err)
	}
	return router.Listing{Name: record.GetTarget(), Address: address}, nil
}

// runContext returns the context of a dispatch. Only that of an idempotent request has a deadline.
func (d *Dispatcher) runContext(w *work) (context.Context, context.CancelFunc) {
	if w.idempotent() {
		return context.WithDeadline(d.ctx, w.deadline.Add(idempotentGrace))
	}
	return context.WithCancel(d.ctx)
}

func (d *Dispatcher) runRequest(w *work) *wire.RunRequest {
	return &wire.RunRequest{
		Id: w.ticket, Organisation: w.req.GetOrganisation(), Class: w.req.GetClass(),
		Payload: w.payload, Declared: durationpb.New(w.req.GetDeclared().AsDuration()),
	}
}

// dispatchEnded processes the result of a dispatch: it updates the router, then finishes,
// requeues or resolves the request. notDispatched means that writeIntent returned an outcome, so
// that nothing was sent to the runner.
func (d *Dispatcher) dispatchEnded(w *work, listing router.Listing, report runner.Report, took time.Duration, notDispatched bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hostDispatches--
	w.activeDispatches--
	// The payload is in use until the last dispatch has returned.
	defer dropPayload(w)
	now := time.Now()
	if notDispatched {
		d.Router.CancelPick(listing.Name)
		d.notDispatched(w, report.Outcome)
		return
	}
	d.Router.RecordResult(now, listing.Name, w.req.GetClass(), report.Health, took)
	if w.finished() {
		d.dispatchQueued()
		return
	}
	next := decide(report, decisionInput{
		idempotent: w.idempotent(), attempts: w.attempts, maxAttempts: int(w.class.GetMaxAttempts()),
		timeLeft: w.deadline.Sub(now), spendRetry: d.Budget.Spend,
	})
	switch next := next.(type) {
	case finish:
		d.finishUnlessHedged(w, next.out)
	case redispatch:
		if next.excludeRunner {
			w.excluded[listing.Name] = true
		} else {
			w.attempts--
		}
		if w.activeDispatches == 0 {
			d.requeue(w)
		}
	case resolve:
		d.tasks.Go(func() { d.resolve(w, d.Runner(listing), listing.Name) })
	}
	d.dispatchQueued()
}

// notDispatched handles a request that was not sent because writeIntent returned an outcome. A
// request with a durable acceptance passes to the host that adopted the journal, if one did;
// otherwise it is requeued until its deadline, because the acceptance is still valid. Any other
// request ends with out. The lock is held.
func (d *Dispatcher) notDispatched(w *work, out outcome.Outcome) {
	switch {
	case w.acceptanceDurable && w.journal.Fenced():
		d.handOver(w)
	case w.acceptanceDurable && time.Now().Before(w.deadline):
		time.AfterFunc(retryInterval, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.requeue(w)
		})
	default:
		d.finish(w, out)
	}
}

// requeue puts a request back into the queue, ahead of later arrivals. The lock is held.
func (d *Dispatcher) requeue(w *work) {
	if w.finished() || w.finishing {
		return
	}
	if w.queueItem == nil {
		d.enqueue(w)
		return
	}
	d.Queue.Requeue(w.queueItem, true)
}

// finishUnlessHedged finishes the request, unless the outcome is not a success and a hedge is
// still running that may succeed. The lock is held.
func (d *Dispatcher) finishUnlessHedged(w *work, out outcome.Outcome) {
	if done, ok := out.(outcome.Done); w.activeDispatches > 0 && (!ok || done.Failed) {
		return
	}
	d.finish(w, out)
}

// resolve asks the runner how a non-idempotent request ended. If the runner can't say, the
// outcome is unknown and the request is never dispatched again.
func (d *Dispatcher) resolve(w *work, target Target, name string) {
	out := Resolve(d.ctx, target, w.ticket)
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.finished() {
		return
	}
	if _, ok := out.(outcome.NotRun); ok && w.mayRunAgain() {
		w.excluded[name] = true
		d.requeue(w)
		d.dispatchQueued()
		return
	}
	d.finish(w, out)
}

// Resolve polls a runner for the outcome of a request, for as long as the runner reports that
// the request is running. It returns outcome.Unknown if the runner has given no usable answer
// for ResolveTimeout or ctx has ended.
func Resolve(ctx context.Context, target Target, id string) outcome.Outcome {
	lastContact := time.Now()
	for {
		out, running := target.Resolve(ctx, id)
		if running {
			lastContact = time.Now()
		}
		if _, unknown := out.(outcome.Unknown); !unknown || time.Since(lastContact) > ResolveTimeout || ctx.Err() != nil {
			return out
		}
		sleep(ctx, retryInterval)
	}
}

// startHedgeTimer starts the timer that hedges a slow request, if its class allows hedging and
// is idempotent and urgent. For other requests it returns a timer that does nothing.
func (d *Dispatcher) startHedgeTimer(w *work) *time.Timer {
	if !w.idempotent() || !w.class.GetHedge() || w.class.GetUrgency() != wire.Urgency_urgent {
		return time.NewTimer(time.Hour)
	}
	d.mu.Lock()
	wait := hedgeDelayFactor * d.Router.ServiceTime(w.req.GetClass())
	d.mu.Unlock()
	return time.AfterFunc(wait, func() { d.hedge(w) })
}

// hedge dispatches a request a second time if its first dispatch is still running and the retry
// budget allows it.
func (d *Dispatcher) hedge(w *work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if w.finished() || w.hedged || w.activeDispatches != 1 || d.hostDispatches >= d.Capacity || now.After(w.deadline) || !d.Budget.Spend() {
		return
	}
	w.hedged = true
	w.excluded[w.target] = true
	d.startDispatch(now, w)
	w.hedged = w.activeDispatches > 1
}

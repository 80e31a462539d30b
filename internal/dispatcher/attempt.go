package dispatcher

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/router"
	"github.com/eelgrasstide/eelgrasstide/internal/runner"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	histogramSamples = 512
	histogramDecay   = 0.015
	resolvePause     = 200 * time.Millisecond
	// ResolveWindow is how long a runner that can't be asked is asked again.
	ResolveWindow = 10 * time.Second
	// hedgeFactor is the number of ordinary service times after which a hedge starts.
	hedgeFactor = 3
	// maxPause is the longest time from the writing of an intent to its dispatch. A
	// host that was frozen for longer does not dispatch.
	maxPause = 30 * time.Second
)

// attempt is one dispatch, from the durable intent to the next step.
func (d *Dispatcher) attempt(w *work, listing router.Listing) {
	if !w.idempotent() {
		if out := d.intend(w, listing); out != nil {
			d.settle(w, listing, runner.Report{Outcome: out}, 0, true)
			return
		}
	}
	hedge := d.armHedge(w)
	defer hedge.Stop()
	ctx, cancel := d.runContext(w)
	defer cancel()
	start := time.Now()
	report := d.Runner(listing).Run(ctx, d.runRequest(w))
	d.settle(w, listing, report, time.Since(start), false)
}

// intend makes the intent durable before the one dispatch.
func (d *Dispatcher) intend(w *work, listing router.Listing) outcome.Outcome {
	start := time.Now()
	record := w.acceptance()
	record.Kind, record.Target, record.TargetAddress = wire.RecordKind_RECORD_KIND_INTENT, listing.Name, listing.Address.String()
	if out := d.makeDurable(d.ctx, w, record); out != nil {
		return out
	}
	if time.Since(start) > maxPause {
		return outcome.NotRun{Reason: "this host was paused before the dispatch", Remedy: "send the request again", RetryAfter: pumpPeriod}
	}
	return nil
}

// intended returns the runner that an intent names.
func intended(record *wire.JournalRecord) (router.Listing, error) {
	address, err := netip.ParseAddrPort(record.GetTargetAddress())
	if err != nil {
		return router.Listing{}, fault.Invalid.New("remove the record", "intended: %s: %v", record.GetId(), err)
	}
	return router.Listing{Name: record.GetTarget(), Address: address}, nil
}

func (d *Dispatcher) runContext(w *work) (context.Context, context.CancelFunc) {
	if w.idempotent() {
		return context.WithDeadline(d.ctx, w.deadline.Add(idempotentGrace))
	}
	return context.WithCancel(d.ctx)
}

func (d *Dispatcher) runRequest(w *work) *wire.RunRequest {
	return &wire.RunRequest{
		Id: w.ticket, Organisation: w.req.GetOrganisation(), Class: w.req.GetClass(),
		Payload: w.req.GetPayload(), Declared: durationpb.New(w.req.GetDeclared().AsDuration()),
	}
}

// settle takes the end of a dispatch and goes on with the next step.
func (d *Dispatcher) settle(w *work, listing router.Listing, report runner.Report, took time.Duration, withheld bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flying--
	w.active--
	now := time.Now()
	if withheld {
		d.Router.Withdraw(listing.Name)
		d.withheld(w, report.Outcome)
		return
	}
	d.Router.Ended(now, listing.Name, w.req.GetClass(), report.Sign, took)
	if w.finished() {
		d.pump()
		return
	}
	next := decide(report, facts{
		idempotent: w.idempotent(), attempts: w.attempts, maxAttempts: int(w.class.GetMaxAttempts()),
		left: w.deadline.Sub(now), budget: d.Budget.Spend,
	})
	switch next := next.(type) {
	case finish:
		d.finishUnlessHedged(w, next.out)
	case again:
		if next.avoid {
			w.tried[listing.Name] = true
		} else {
			w.attempts--
		}
		if w.active == 0 {
			d.requeue(w)
		}
	case resolve:
		d.tasks.Go(func() { d.resolve(w, d.Runner(listing), listing.Name) })
	}
	d.pump()
}

// withheld ends a request whose intent is not durable. A promised one is a
// survivor's if the journal was taken over; else it stays queued until its
// deadline, as its acceptance still stands.
func (d *Dispatcher) withheld(w *work, out outcome.Outcome) {
	switch {
	case w.promised && w.journal.Fenced():
		d.handOver(w)
	case w.promised && time.Now().Before(w.deadline):
		time.AfterFunc(resolvePause, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.requeue(w)
		})
	default:
		d.finish(w, out)
	}
}

// requeue queues a request again, ahead of later ones. The lock is held.
func (d *Dispatcher) requeue(w *work) {
	if w.finished() || w.concluding {
		return
	}
	if w.item == nil {
		d.offer(w)
		return
	}
	d.Queue.Requeue(w.item, true)
}

// finishUnlessHedged leaves a poor end to the other dispatch while one is active.
func (d *Dispatcher) finishUnlessHedged(w *work, out outcome.Outcome) {
	if done, ok := out.(outcome.Done); w.active > 0 && (!ok || done.Failed) {
		return
	}
	d.finish(w, out)
}

// resolve asks the runner how a non-idempotent request ended. What can't be
// known is unknown, and is never dispatched again.
func (d *Dispatcher) resolve(w *work, target Target, name string) {
	out := Resolve(d.ctx, target, w.ticket)
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.finished() {
		return
	}
	if _, ok := out.(outcome.NotRun); ok && w.mayRunAgain() {
		w.tried[name] = true
		d.requeue(w)
		d.pump()
		return
	}
	d.finish(w, out)
}

// Resolve asks a runner until it knows, or until it can't be asked for
// ResolveWindow. It returns a final outcome.
func Resolve(ctx context.Context, target Target, id string) outcome.Outcome {
	lastHeard := time.Now()
	for {
		out, running := target.Resolve(ctx, id)
		if running {
			lastHeard = time.Now()
		}
		if _, unknown := out.(outcome.Unknown); !unknown || time.Since(lastHeard) > ResolveWindow || ctx.Err() != nil {
			return out
		}
		rest(ctx, resolvePause)
	}
}

// armHedge starts a second dispatch of a slow, idempotent and urgent request.
func (d *Dispatcher) armHedge(w *work) *time.Timer {
	if !w.idempotent() || !w.class.GetHedge() || w.class.GetUrgency() != wire.Urgency_urgent {
		return time.NewTimer(time.Hour)
	}
	d.mu.Lock()
	wait := hedgeFactor * d.Router.Service(w.req.GetClass())
	d.mu.Unlock()
	return time.AfterFunc(wait, func() { d.hedge(w) })
}

func (d *Dispatcher) hedge(w *work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if w.finished() || w.hedged || w.active != 1 || d.flying >= d.Capacity || now.After(w.deadline) || !d.Budget.Spend() {
		return
	}
	w.hedged = true
	w.tried[w.target] = true
	d.launch(now, w)
	w.hedged = w.active > 1
}

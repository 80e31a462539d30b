package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// askDelay is the pause between the answer to a stop and a request for a report.
const askDelay = time.Millisecond

// sendLoop sends the target its orders, stops first.
func (a *agent) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		stops, starts := a.stops, a.starts
		a.stops, a.starts = nil, nil
		a.mu.Unlock()
		if len(stops)+len(starts) == 0 {
			wait(ctx, a.orderSignal, idleCheckPeriod)
			continue
		}
		asks := false
		for _, stop := range stops {
			asks = a.sendStop(ctx, stop) || asks
		}
		if asks {
			a.session.run("coordinator: request for a report of "+a.targetID, func() { a.askForReport(ctx) })
		}
		for _, start := range starts {
			a.sendStart(ctx, start)
		}
		a.session.requestStep()
		notify(a.renewSignal)
	}
}

// retryLater runs order again after retryInterval, unless the term ends before.
func (a *agent) retryLater(ctx context.Context, order func()) {
	a.session.run("coordinator: order to "+a.targetID, func() {
		if sleep(ctx, retryInterval) {
			order()
		}
	})
}

// askForReport asks for a report beside the renewals, which may be waiting for a run to end. It neither
// prolongs leases nor acknowledges ends.
func (a *agent) askForReport(ctx context.Context) {
	s := a.session
	// The request has to be later than the answers to the stops, by the planner's clock.
	if !sleep(ctx, askDelay) || !s.maySendOrders() {
		return
	}
	to := s.listing(a.targetID)
	if !to.Address.IsValid() {
		return
	}
	sent := time.Now()
	report, reply := s.Targets.Renew(ctx, to, target.RenewOrder{FenceToken: s.currentTerm.Token})
	metrics.GetOrRegisterCounter("target.ask."+reply.Answer.String(), s.Metrics).Inc(1)
	s.locked(func() {
		s.plan.OrderAnswered(time.Now(), a.targetID, sent, reply.Answer)
		switch reply.Answer {
		case target.Accepted:
			s.plan.ReportReceived(time.Now(), a.targetID, sent, report)
			a.recordRequest(sent, report, s.plan.TargetStatus(time.Now(), a.targetID).Listing.Born)
		case target.Fenced:
			s.cancel(errFenced)
		default:
			a.unanswered = true
		}
	})
	s.requestStep()
}

// sendStop sends a stop. It repeats it until the target accepts it or it is no longer needed. It reports
// whether a report that is asked for now may show that the run does not exist.
func (a *agent) sendStop(ctx context.Context, stop scheduler.Stop) bool {
	s := a.session
	to := s.listing(a.targetID)
	if !to.Address.IsValid() {
		a.retryStop(ctx, stop)
		return false
	}
	if !s.maySendOrders() {
		a.logDropped("stop", stop.Run, "the term is not confirmed")
		return false
	}
	sent := time.Now()
	reply := s.Targets.Stop(ctx, to, stop.Run, s.currentTerm.Token)
	a.recordReply("stop", reply, log.Fields{"run": stop.Run, "born": to.Born, "took": time.Since(sent)})
	asks := false
	s.locked(func() {
		s.plan.OrderAnswered(time.Now(), a.targetID, sent, reply.Answer)
		asks = s.plan.StopAnswered(time.Now(), stop, to.Born, reply)
	})
	a.retryStop(ctx, stop)
	return asks
}

// retryStop sends a stop again later unless it is no longer needed.
func (a *agent) retryStop(ctx context.Context, stop scheduler.Stop) {
	wanted := false
	a.session.locked(func() { wanted = a.session.plan.StopPending(stop) })
	if wanted {
		a.retryLater(ctx, func() { a.stop(stop) })
	}
}

// sendStart sends a start, unless its target leaves or is cordoned. It repeats it if the target does
// not answer; any other answer is final.
func (a *agent) sendStart(ctx context.Context, start scheduler.Start) {
	s := a.session
	if !s.maySendStarts() {
		a.holdBack(ctx, start, "the lease of the term may have ended")
		return
	}
	decided := a.decideStart(start)
	switch {
	case decided.heldBack != "":
		a.holdBack(ctx, start, decided.heldBack)
		return
	case decided.dropped != "":
		a.logDropped("start", start.Run, decided.dropped)
		return
	case !decided.wanted:
		return
	}
	to, order := decided.to, decided.order
	sent := time.Now()
	reply := s.Targets.Start(ctx, to, order)
	a.recordReply("start", reply, log.Fields{"run": start.Run, "born": to.Born, "deadline": order.Deadline, "took": time.Since(sent)})
	if reply.Answer == target.Unverified {
		a.verify(ctx, start)
		return
	}
	s.locked(func() {
		a.unverified = 0
		s.plan.OrderAnswered(time.Now(), a.targetID, sent, reply.Answer)
		s.plan.StartAnswered(time.Now(), start, reply)
	})
	if reply.Answer == target.Unanswered {
		a.retryLater(ctx, func() { a.start(start) })
	}
}

// startDecision says what becomes of a start that is due: it is held back or dropped for a reason, sent as an order
// to a target, or no longer wanted.
type startDecision struct {
	heldBack, dropped string
	wanted            bool
	to                target.Listing
	order             target.StartOrder
}

// decideStart decides what becomes of a start.
func (a *agent) decideStart(start scheduler.Start) startDecision {
	s := a.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.outdated(time.Now()); reason != "" {
		return startDecision{heldBack: reason}
	}
	status := s.plan.TargetStatus(time.Now(), a.targetID)
	if status.Suspect || status.Unresponsive || status.Withheld {
		if !s.plan.StartHeldBack(time.Now(), start) {
			return startDecision{}
		}
		if status.Unresponsive || status.Withheld {
			return startDecision{heldBack: "the target leaves renewals unanswered, or the record for a successor lists it"}
		}
	}
	if status.TakesNoStarts || status.Cordoned {
		reason := "its target leaves"
		if status.Cordoned {
			reason = "its target is cordoned"
		}
		s.plan.StartWithdrawn(time.Now(), start, reason)
		return startDecision{dropped: reason}
	}
	decided := startDecision{wanted: s.plan.StartSent(start), to: status.Listing}
	payload, checkpoint := s.plan.StartPayload(start)
	decided.order = target.StartOrder{
		Run: start.Run, Payload: payload, Checkpoint: checkpoint, FenceToken: s.currentTerm.Token, Deadline: s.plan.Deadline(time.Now(), a.targetID),
	}
	if a.reportedBy == status.Listing.Born && a.unverified < maxUnverified {
		decided.order.ReportRequested = a.reportRequested
	}
	return decided
}

// verify asks the target for a report before a start is sent: no connection is open that was so when the last one
// was requested, so it may have started again, as another kind of target.
func (a *agent) verify(ctx context.Context, start scheduler.Start) {
	a.session.locked(func() {
		a.unverified++
		a.session.plan.StartNotSent(start)
	})
	a.askForReport(ctx)
	a.start(start)
}

// recordReply counts and logs the answer to an order. A fenced order ends the term. Each answer
// to a start is logged, since any is final, and each accepted stop.
func (a *agent) recordReply(kind string, reply target.Reply, fields log.Fields) {
	fields["answer"], fields["token"], fields["clock"] = reply.Answer.String(), a.session.currentTerm.Token, reply.Clock
	metrics.GetOrRegisterCounter("target."+kind+"."+reply.Answer.String(), a.session.Metrics).Inc(1)
	if reply.Answer == target.Fenced {
		a.session.cancel(errFenced)
	}
	if reply.Answer == target.Accepted || (kind == "start" && reply.Answer.Arrived()) {
		a.session.Log.WithFields(fields).WithField("target", a.targetID).Info("coordinator: a " + kind + " was answered")
	}
	if reply.Answer != target.Accepted {
		a.logUnaccepted(kind, fields)
	}
}

// logDropped logs an order that is neither sent nor repeated.
func (a *agent) logDropped(kind string, run target.Run, reason string) {
	term := a.session.currentTerm
	a.session.Log.WithFields(log.Fields{
		"run": run, "target": a.targetID, "token": term.Token, "contact": term.SinceContact(), "reason": reason,
	}).Info("coordinator: a " + kind + " was dropped")
}

// logUnaccepted logs an order that was not accepted. The metrics count every one.
func (a *agent) logUnaccepted(kind string, fields log.Fields) {
	a.logLimited("coordinator: a "+kind+" was not accepted", fields)
}

// holdBack sends a start later, because it may not be sent now.
func (a *agent) holdBack(ctx context.Context, start scheduler.Start, reason string) {
	metrics.GetOrRegisterCounter("target.start.heldBack", a.session.Metrics).Inc(1)
	a.logLimited("coordinator: a start is held back", log.Fields{
		"run": start.Run, "token": a.session.currentTerm.Token, "contact": a.session.currentTerm.SinceContact(), "reason": reason,
	})
	a.retryLater(ctx, func() { a.start(start) })
}

// logLimited logs at most one line per logInterval for a target.
func (a *agent) logLimited(message string, fields log.Fields) {
	a.mu.Lock()
	due := time.Since(a.lastLogged) >= logInterval
	if due {
		a.lastLogged = time.Now()
	}
	a.mu.Unlock()
	if due {
		a.session.Log.WithFields(fields).WithField("target", a.targetID).Info(message)
	}
}

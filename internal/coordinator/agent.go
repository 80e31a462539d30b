package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// maxReportWait is how long a target may delay its report while it waits for a run to end.
	maxReportWait = time.Second
	// acknowledgeWait is how long the next renewal is delayed after a report with ended runs, so
	// that it can acknowledge them.
	acknowledgeWait = 250 * time.Millisecond
	// idleCheckPeriod is how often an agent without work checks whether its target was removed.
	idleCheckPeriod = 2 * time.Second
	// logInterval limits the log to one line per interval for a target that does not accept orders
	// or is not sent them.
	logInterval = time.Second
	// maxLeftOut is how many acknowledgements in a row may be left out for want of a connection that
	// was open before: a target may close each after a response.
	maxLeftOut = 3
	// maxUnverified is the same for starts that are not sent: after so many in a row a start is sent on any
	// connection.
	maxUnverified = 3
)

// agent communicates with one target. One goroutine renews the leases there and reads the
// reports; another sends the orders, one at a time.
type agent struct {
	session  *session
	targetID string
	// durable is the number of the last ended run whose effect is durable; delivered is the
	// last such number that the target has received. Both count within one incarnation.
	durable     int64
	delivered   int64
	incarnation int64
	// reportRequested is when the renewal was sent that the incarnation reportedBy answered last.
	reportRequested time.Time
	reportedBy      int64
	// leftOut counts the renewals in a row of which the acknowledgement was left out, and unverified the starts
	// to the incarnation reportedBy in a row that were not sent.
	leftOut, unverified int
	// unanswered says that the last renewal, or a request for a report since, was not answered.
	unanswered bool
	// nextCheck is how long the target needs no renewal, as the last call of nextRenewal found. Only the
	// goroutine that renews uses it.
	nextCheck   time.Duration
	renewSignal chan struct{}
	orderSignal chan struct{}

	mu     sync.Mutex
	stops  []scheduler.Stop
	starts []scheduler.Start
	// lastLogged is when logLimited last logged a line.
	lastLogged time.Time
}

// agent returns the agent of a target, and starts it if there is none. The session's lock
// must be held.
func (s *session) agent(targetID string) *agent {
	a := s.agents[targetID]
	if a == nil {
		a = &agent{session: s, targetID: targetID, renewSignal: make(chan struct{}, 1), orderSignal: make(chan struct{}, 1)}
		s.agents[targetID] = a
		ctx, cancel := context.WithCancel(s.context)
		s.run("coordinator: renewals of "+targetID, func() { defer cancel(); a.logEnd(a.report(ctx)) })
		s.run("coordinator: orders to "+targetID, func() { a.sendLoop(ctx) })
	}
	return a
}

// notify wakes the goroutine that waits on channel, or lets its next wait return at once.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// stop queues an order for sendLoop; start does the same.
func (a *agent) stop(stop scheduler.Stop) {
	a.mu.Lock()
	a.stops = append(a.stops, stop)
	a.mu.Unlock()
	notify(a.orderSignal)
}

func (a *agent) start(start scheduler.Start) {
	a.mu.Lock()
	a.starts = append(a.starts, start)
	a.mu.Unlock()
	notify(a.orderSignal)
}

// setDurable records that the effects of ended runs are durable. The session's lock must be
// held.
func (a *agent) setDurable(last scheduler.EndNumber) {
	a.durable = max(a.durableIn(last.Born), last.Number)
	notify(a.renewSignal)
}

// durableIn returns the number of the last ended run whose effect is durable, in the given
// incarnation of the target. Numbers start from 0 in a new incarnation.
func (a *agent) durableIn(incarnation int64) int64 {
	if a.incarnation != incarnation {
		a.incarnation, a.durable, a.delivered = incarnation, 0, 0
	}
	return a.durable
}

// report renews the target's leases while runs may be alive there and processes its reports. It
// returns the cause when the target is removed or the term ends.
func (a *agent) report(ctx context.Context) error {
	for ctx.Err() == nil {
		sent := time.Now()
		order, to, ok := a.nextRenewal()
		if !ok {
			if a.removeIfUnused() {
				return errTargetRemoved
			}
			wait(ctx, a.renewSignal, a.nextCheck)
			continue
		}
		if !a.session.maySendOrders() {
			return errTermUnconfirmed
		}
		report, reply := a.session.Targets.Renew(ctx, to, order)
		a.renewalAnswered(sent, reply.Answer)
		metrics.GetOrRegisterCounter("target.renew."+reply.Answer.String(), a.session.Metrics).Inc(1)
		switch reply.Answer {
		case target.Accepted:
			if a.processReport(sent, to.Born, order, report) {
				// Targets answer without delay as long as they have ended runs to list, so
				// the loop waits here until these can be acknowledged.
				wait(ctx, a.renewSignal, acknowledgeWait)
			}
		case target.Fenced:
			a.session.cancel(errFenced)
			return errFenced
		default:
			if ctx.Err() == nil {
				a.logUnaccepted("renewal", log.Fields{"answer": reply.Answer.String(), "took": time.Since(sent)})
			}
			sleep(ctx, retryInterval)
		}
	}
	return context.Cause(ctx)
}

// renewalAnswered passes the answer to a renewal to the scheduler, and lets it decide anew if that changes
// where it may start work.
func (a *agent) renewalAnswered(sent time.Time, answer target.Answer) {
	s := a.session
	changed := false
	s.locked(func() {
		a.unanswered = answer != target.Accepted
		changed = s.plan.OrderAnswered(time.Now(), a.targetID, sent, answer)
	})
	if changed {
		s.requestStep()
	}
}

// logEnd logs that the agent sends nothing more, and how many orders it leaves.
func (a *agent) logEnd(cause error) {
	a.mu.Lock()
	stops, starts := len(a.stops), len(a.starts)
	a.mu.Unlock()
	a.session.Log.WithFields(log.Fields{
		"target": a.targetID, "token": a.session.currentTerm.Token, "contact": a.session.currentTerm.SinceContact(), "cause": cause, "stops": stops, "starts": starts,
	}).Info("coordinator: an agent ended")
}

// wait returns when channel receives, after timeout, or when ctx ends.
func wait(ctx context.Context, channel chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-channel:
	case <-timer.C:
	}
}

// nextRenewal returns the next renewal order, or false if the target needs none at present.
func (a *agent) nextRenewal() (target.RenewOrder, target.Listing, bool) {
	s := a.session
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.plan.TargetStatus(time.Now(), a.targetID)
	acknowledged := a.durableIn(status.Listing.Born)
	due := status.HasRuns || status.NeedsReport || acknowledged != a.delivered || (status.Idle && status.IdleRenewalIn == 0)
	if !status.Listing.Address.IsValid() || !due {
		a.nextCheck = idleCheckPeriod
		if status.Idle && !due {
			a.nextCheck = min(idleCheckPeriod, status.IdleRenewalIn)
		}
		return target.RenewOrder{}, target.Listing{}, false
	}
	s.plan.RenewalSent(time.Now(), a.targetID)
	order := target.RenewOrder{FenceToken: s.currentTerm.Token}
	if acknowledged != a.delivered && !a.unanswered && a.reportedBy == a.incarnation {
		// Each number is sent until it is delivered, and no longer: the target may restart at any time,
		// and a new incarnation would forget ends that have the same numbers.
		order.Acknowledged, order.ReportRequested = acknowledged, a.reportRequested
		if a.leftOut >= maxLeftOut {
			order.ReportRequested = time.Time{}
		}
	}
	if status.HasRuns {
		order.Deadline = s.plan.Deadline(time.Now(), a.targetID)
		if !status.NeedsReport && !status.Unresponsive && acknowledged == status.LastEnd {
			order.Wait = maxReportWait
			if status.Withheld {
				// Its leases are to be renewed as soon as that is allowed.
				order.Wait = retryInterval
			}
		}
	}
	return order, status.Listing, true
}

// removeIfUnused removes the agent if its target is neither listed nor running anything, and
// reports whether it did.
func (a *agent) removeIfUnused() bool {
	s := a.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.plan.TargetStatus(time.Now(), a.targetID).Removed {
		return false
	}
	delete(s.agents, a.targetID)
	return true
}

// recordRequest records when a report of the incarnation born was requested that has been processed. The
// session's lock must be held.
func (a *agent) recordRequest(sent time.Time, report target.Report, born int64) {
	if report.Born != 0 && report.Born != born {
		return
	}
	if report.Requested.After(sent) {
		sent = report.Requested
	}
	if born != a.reportedBy {
		a.reportRequested, a.reportedBy, a.unverified = sent, born, 0
	} else if sent.After(a.reportRequested) {
		a.reportRequested = sent
	}
}

// processReport passes the report of a renewal that was meant for the incarnation born to the
// scheduler. It returns true if the effects of some ended runs are not durable yet.
func (a *agent) processReport(sent time.Time, born int64, order target.RenewOrder, report target.Report) (waiting bool) {
	quiet := false
	a.session.locked(func() { waiting, quiet = a.takeReport(sent, born, order, report) })
	if !quiet {
		a.session.requestStep()
	}
	return waiting
}

// takeReport is processReport without the step that follows. A report is quiet if it calls for no decision. The
// session's lock must be held.
func (a *agent) takeReport(sent time.Time, born int64, order target.RenewOrder, report target.Report) (waiting, quiet bool) {
	s := a.session
	// The numbers of ends count within one incarnation.
	if a.incarnation == born && (report.Born == 0 || report.Born == born) {
		a.delivered = max(a.delivered, report.Acknowledged)
	}
	if report.Acknowledged < order.Acknowledged {
		a.leftOut++
		metrics.GetOrRegisterCounter("target.renew.acknowledgementLeftOut", s.Metrics).Inc(1)
	} else {
		a.leftOut = 0
	}
	// A target without work that has nothing new to tell calls for none.
	before := s.plan.TargetStatus(time.Now(), a.targetID)
	quiet = !before.HasRuns && !before.NeedsReport && len(report.Running)+len(report.Ended) == 0 && report.Born == before.Listing.Born
	s.plan.ReportReceived(time.Now(), a.targetID, sent, report)
	after := s.plan.TargetStatus(time.Now(), a.targetID)
	a.recordRequest(sent, report, after.Listing.Born)
	return after.LastEnd > a.durableIn(after.Listing.Born), quiet
}

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
	// reportWait lets a target hold its report back until a run ends.
	reportWait = time.Second
	// commitWait is how long a report waits, so that it can acknowledge the ends of the last one.
	commitWait = 250 * time.Millisecond
	// idleCheck is how often an agent without work looks whether its target is gone.
	idleCheck = 2 * time.Second
	// linePause bounds the log while a target does not accept orders.
	linePause = time.Second
)

// agent deals with one target: it renews the leases there, reads the reports and
// sends the orders, one at a time.
type agent struct {
	session *session
	id      string
	// acknowledged is the last end whose effect is durable; told is the last that the target knows of.
	acknowledged int64
	told         int64
	born         int64
	renew        chan struct{}
	order        chan struct{}

	mu     sync.Mutex
	stops  []scheduler.Stop
	starts []scheduler.Start
	// logged is when an order that was not accepted was last logged.
	logged time.Time
}

// agent returns the agent of a target. The session's lock is held.
func (s *session) agent(id string) *agent {
	a := s.agents[id]
	if a == nil {
		a = &agent{session: s, id: id, renew: make(chan struct{}, 1), order: make(chan struct{}, 1)}
		s.agents[id] = a
		ctx, cancel := context.WithCancel(s.context)
		s.group.Go(func() { defer cancel(); a.report(ctx) })
		s.group.Go(func() { a.send(ctx) })
	}
	return a
}

func poke(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (a *agent) stop(stop scheduler.Stop) {
	a.mu.Lock()
	a.stops = append(a.stops, stop)
	a.mu.Unlock()
	poke(a.order)
}

func (a *agent) start(start scheduler.Start) {
	a.mu.Lock()
	a.starts = append(a.starts, start)
	a.mu.Unlock()
	poke(a.order)
}

// acknowledge notes that ends are durable. The session's lock is held.
func (a *agent) acknowledge(seen seenEnd) {
	a.acknowledged = max(a.acknowledgedIn(seen.born), seen.number)
	poke(a.renew)
}

// acknowledgedIn returns the last durable end in a life of the target; a new life starts
// from nothing.
func (a *agent) acknowledgedIn(born int64) int64 {
	if a.born != born {
		a.born, a.acknowledged, a.told = born, 0, 0
	}
	return a.acknowledged
}

// report renews the target's lease while it runs anything and takes its reports.
func (a *agent) report(ctx context.Context) {
	for ctx.Err() == nil {
		order, to, ok := a.renewal()
		if !ok {
			if a.gone() {
				return
			}
			wait(ctx, a.renew, idleCheck)
			continue
		}
		if !a.session.mayOrder() {
			return
		}
		sent := time.Now()
		report, reply := a.session.Targets.Renew(ctx, to, order)
		metrics.GetOrRegisterCounter("target.renew."+reply.Answer.String(), a.session.Metrics).Inc(1)
		switch reply.Answer {
		case target.Accepted:
			if a.take(sent, order, report) {
				// The target answers at once as long as it has ends to list.
				wait(ctx, a.renew, commitWait)
			}
		case target.Fenced:
			a.session.cancel(errFenced)
			return
		default:
			if ctx.Err() == nil {
				a.unaccepted("renewal", log.Fields{"answer": reply.Answer.String(), "took": time.Since(sent)})
			}
			pause(ctx, retryPause)
		}
	}
}

func wait(ctx context.Context, channel chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-channel:
	case <-timer.C:
	}
}

// renewal makes the next order of renewal; none when the target needs nothing.
func (a *agent) renewal() (target.RenewOrder, target.Listing, bool) {
	s := a.session
	s.mu.Lock()
	defer s.mu.Unlock()
	needs := s.plan.Attention(time.Now(), a.id)
	acknowledged := a.acknowledgedIn(needs.Listing.Born)
	if !needs.Listing.Address.IsValid() || (!needs.Runs && !needs.Unknown && acknowledged == a.told) {
		return target.RenewOrder{}, target.Listing{}, false
	}
	s.plan.Asked(time.Now(), a.id)
	order := target.RenewOrder{Fence: s.tenure.Token, Acknowledged: acknowledged}
	if needs.Runs {
		order.Deadline = s.plan.Deadline(time.Now(), a.id)
		if !needs.Unknown && !needs.Quiet && acknowledged == needs.Seen {
			order.Wait = reportWait
		}
	}
	return order, needs.Listing, true
}

func (a *agent) gone() bool {
	s := a.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.plan.Attention(time.Now(), a.id).Gone {
		return false
	}
	delete(s.agents, a.id)
	return true
}

// take hands a report to the scheduler and reports whether ends wait to be durable.
func (a *agent) take(sent time.Time, order target.RenewOrder, report target.Report) bool {
	s := a.session
	s.mu.Lock()
	before := s.plan.Attention(time.Now(), a.id)
	if report.Born == 0 || report.Born == before.Listing.Born {
		a.told = max(a.told, order.Acknowledged)
	}
	s.plan.Reported(time.Now(), a.id, sent, report)
	after := s.plan.Attention(time.Now(), a.id)
	waiting := after.Seen > a.acknowledgedIn(after.Listing.Born)
	s.mu.Unlock()
	s.signal()
	return waiting
}

// send gives the target its orders, stops first.
func (a *agent) send(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		stops, starts := a.stops, a.starts
		a.stops, a.starts = nil, nil
		a.mu.Unlock()
		if len(stops)+len(starts) == 0 {
			wait(ctx, a.order, idleCheck)
			continue
		}
		for _, stop := range stops {
			a.sendStop(ctx, stop)
		}
		for _, start := range starts {
			a.sendStart(ctx, start)
		}
		a.session.signal()
		poke(a.renew)
	}
}

// again repeats an order after a pause, unless the term ends.
func (a *agent) again(ctx context.Context, order func()) {
	a.session.group.Go(func() {
		if pause(ctx, retryPause) {
			order()
		}
	})
}

func (a *agent) sendStop(ctx context.Context, stop scheduler.Stop) {
	s := a.session
	s.mu.Lock()
	to := s.plan.Attention(time.Now(), a.id).Listing
	s.mu.Unlock()
	if !to.Address.IsValid() || !s.mayOrder() {
		return
	}
	reply := s.Targets.Stop(ctx, to, stop.Run, s.tenure.Token)
	a.answered("stop", stop.Run, reply)
	s.mu.Lock()
	s.plan.Stopped(time.Now(), stop, reply)
	wanted := s.plan.Wanted(stop)
	s.mu.Unlock()
	if wanted && reply.Answer != target.Accepted {
		a.again(ctx, func() { a.stop(stop) })
	}
}

func (a *agent) sendStart(ctx context.Context, start scheduler.Start) {
	s := a.session
	s.mu.Lock()
	wanted := s.plan.Sent(start)
	to := s.plan.Attention(time.Now(), a.id).Listing
	payload, checkpoint := s.plan.Order(start)
	order := target.StartOrder{
		Run: start.Run, Payload: payload, Checkpoint: checkpoint, Fence: s.tenure.Token, Deadline: s.plan.Deadline(time.Now(), a.id),
	}
	s.mu.Unlock()
	if !wanted || !s.mayOrder() {
		return
	}
	reply := s.Targets.Start(ctx, to, order)
	a.answered("start", start.Run, reply)
	s.mu.Lock()
	s.plan.Started(time.Now(), start, reply)
	s.mu.Unlock()
	if reply.Answer == target.Unanswered {
		a.again(ctx, func() { a.start(start) })
	}
}

func (a *agent) answered(kind string, run target.Run, reply target.Reply) {
	metrics.GetOrRegisterCounter("target."+kind+"."+reply.Answer.String(), a.session.Metrics).Inc(1)
	if reply.Answer == target.Fenced {
		a.session.cancel(errFenced)
	}
	if reply.Answer != target.Accepted {
		a.unaccepted(kind, log.Fields{"run": run, "answer": reply.Answer.String()})
	}
}

// unaccepted logs an order that was not accepted; while a target goes on so, once a
// linePause. The counters hold them all.
func (a *agent) unaccepted(kind string, fields log.Fields) {
	a.mu.Lock()
	due := time.Since(a.logged) >= linePause
	if due {
		a.logged = time.Now()
	}
	a.mu.Unlock()
	if due {
		a.session.Log.WithFields(fields).WithField("target", a.id).Info("coordinator: a " + kind + " was not accepted")
	}
}

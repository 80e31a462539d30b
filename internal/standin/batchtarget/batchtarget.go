// Package batchtarget simulates a fleet of targets that run the tasks of batch jobs. The tests
// report the jobs that they submitted or cancelled, and the fleet records each order that
// violates a guarantee of the scheduler.
package batchtarget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// minLatency and maxLatency bound the delay before each call.
	minLatency = 2 * time.Millisecond
	maxLatency = 3 * time.Millisecond
	// pollPeriod is how often a waiting renewal looks for ended runs.
	pollPeriod = 20 * time.Millisecond
	// callTimeout is how long a call that gets no answer blocks.
	callTimeout = 700 * time.Millisecond
	// maxLease is the longest lease that an order can ask for.
	maxLease = 6 * time.Second
	// cancelTolerance is for how long after a job's cancellation was acknowledged its tasks may
	// still be started.
	cancelTolerance = 3 * time.Second
	latencySeed     = 1
	// minLateness and maxLateness bound how much later an order is carried out that is delayed.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

// Fleet implements target.Targets. Set the exported fields before the first call.
type Fleet struct {
	// MaxFailures is the number of failures after which a task must not be started again;
	// 0 means no limit.
	MaxFailures int
	// RunFails reports whether a run ends as failed; nil means that none does.
	RunFails func(target.Run) bool
	// ClockLag is the fraction by which the targets' clocks run slow, 0.02 at most.
	ClockLag float64
	// StopTime is how long a stop takes. The run continues meanwhile.
	StopTime time.Duration
	// LateOrdersOutliveRestarts says that an order that its target would have carried out late is
	// carried out by the target's next incarnation, since it names the target by ID only.
	LateOrdersOutliveRestarts bool
	// CordonTime is how long after a cordon was acknowledged starts may still arrive in its zone.
	CordonTime time.Duration
	// Log receives what the targets do; nil discards it.
	Log log.Interface

	mu sync.Mutex
	// muted holds the IDs of the targets whose answers are lost.
	muted map[string]bool
	// connections holds the targets whose connections fail.
	connections map[string]Connections
	// latencies is the source of the calls' delays. Timers for the same instant fire in random
	// order, so the delays differ.
	latencies *rand.Rand
	// targets holds the current incarnation of each target, by ID.
	targets   map[string]*incarnation
	jobs      map[string]*workload.Job
	cancelled map[string]time.Time
	done      map[target.Task]bool
	failures  map[target.Task]int
	// violations describes the guarantees that were violated.
	violations []string
	// started is the highest run number of each task that was started.
	started map[target.Task]int
	// lastStart is when the last order to start a run arrived at a reachable target.
	lastStart time.Time
	// acknowledged holds the tasks whose end as done was acknowledged.
	acknowledged map[target.Task]bool
	// cordoned holds when the cordons of availability zones were acknowledged.
	cordoned map[string]time.Time
}

// Add starts a target, or restarts it as a new incarnation without runs.
func (f *Fleet) Add(listing target.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets == nil {
		f.targets, f.jobs, f.cancelled = map[string]*incarnation{}, map[string]*workload.Job{}, map[string]time.Time{}
		f.done, f.failures, f.started = map[target.Task]bool{}, map[target.Task]int{}, map[target.Task]int{}
		f.muted, f.cordoned, f.connections = map[string]bool{}, map[string]time.Time{}, map[string]Connections{}
		f.acknowledged, f.latencies = map[target.Task]bool{}, rand.New(rand.NewPCG(latencySeed, latencySeed))
	}
	f.event("target begins", log.Fields{"target": listing.ID, "born": listing.Born})
	f.targets[listing.ID] = &incarnation{
		listing: listing, started: time.Now(), running: map[target.Task]*run{}, highest: map[target.Task]int{}, nextEnd: 1, clockLag: f.ClockLag,
	}
}

// Clock returns the time on a target's clock.
func (f *Fleet) Clock(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[id].clock()
}

// event logs what happened on the targets.
func (f *Fleet) event(event string, fields log.Fields) {
	if f.Log != nil {
		f.Log.WithFields(fields).Info(event)
	}
}

// end ends a run. The caller holds mu.
func (f *Fleet) end(t *incarnation, task target.Task, how target.Outcome, at time.Time) {
	run := target.Run{Task: task, Number: t.running[task].number}
	f.event("run ends", log.Fields{"target": t.listing.ID, "born": t.listing.Born, "run": run, "how": how, "ago": time.Since(at)})
	t.end(task, how, at)
	f.acknowledge(t, 0)
}

// updateRuns ends the runs whose work is finished or whose lease has expired. The caller holds
// mu.
func (f *Fleet) updateRuns(t *incarnation) {
	now := time.Now()
	if leaseExpiry := t.leaseExpiry(); leaseExpiry.Before(now) {
		t.lastExpiry = leaseExpiry
	}
	for _, task := range t.runningTasks() {
		at, stopped := t.running[task].due()
		switch leaseExpiry := t.leaseExpiry(); {
		case !at.After(now) && !at.After(leaseExpiry):
			how := target.Stopped
			if !stopped {
				how = f.outcome(task, t.running[task].number)
			}
			f.end(t, task, how, at)
		case leaseExpiry.Before(now):
			f.end(t, task, target.Lapsed, leaseExpiry)
		}
	}
}

// outcome returns how a run ends whose work is finished, and records it.
func (f *Fleet) outcome(task target.Task, number int) target.Outcome {
	if f.runFails(task, number) {
		f.failures[task]++
		return target.Failed
	}
	f.done[task] = true
	return target.Done
}

// runFails reports whether a run fails. The members of a gang end alike: RunFails is called for
// the second member.
func (f *Fleet) runFails(task target.Task, number int) bool {
	if job := f.jobs[task.Job]; job != nil && job.Steps[task.Step].Gang && job.Steps[task.Step].Count > 1 {
		task.Index = 1
	}
	return f.RunFails != nil && f.RunFails(target.Run{Task: task, Number: number})
}

// Start implements target.Targets.
func (f *Fleet) Start(ctx context.Context, to target.Listing, order target.StartOrder) target.Reply {
	t, failure := f.reach(ctx, to)
	if t == nil {
		return target.Reply{Answer: failure}
	}
	if !order.ReportRequested.IsZero() && t.started.After(order.ReportRequested) {
		// No connection is left that was open then.
		f.mu.Unlock()
		return target.Reply{Answer: target.Unverified}
	}
	// An order that came over the wire does not tell which incarnation it is meant for.
	if to.Born != 0 && t.listing.Born != to.Born {
		f.addViolation("kind: %s was sent to %s by what its incarnation %d was, and arrived at %d", order.Run, to.ID, to.Born, t.listing.Born)
	}
	f.lastStart = time.Now()
	f.checkCordon(t, order)
	if t.lateOrders > 0 {
		t.lateOrders--
		f.carryOutLate(ctx, to.ID, func(t *incarnation) { f.start(t, order) })
		return target.Reply{Answer: target.Unanswered}
	}
	reply := target.Reply{Answer: f.start(t, order), Clock: t.clock()}
	f.mu.Unlock()
	return f.deliver(ctx, to, reply)
}

func (f *Fleet) start(t *incarnation, order target.StartOrder) target.Answer {
	if order.FenceToken < t.token {
		return target.Fenced
	}
	t.token = order.FenceToken
	if current := t.running[order.Task]; current != nil && current.number == order.Number {
		return target.Accepted
	}
	if order.Number <= t.highest[order.Task] {
		return target.Outdated
	}
	if order.Deadline <= t.clock() {
		return target.Late
	}
	t.leaseEnd = max(t.leaseEnd, min(order.Deadline, t.clock()+maxLease))
	f.event("run starts", log.Fields{"target": t.listing.ID, "born": t.listing.Born, "run": order.Run, "token": order.FenceToken, "lease": t.leaseEnd, "clock": t.clock()})
	f.checkStart(t, order)
	job := f.jobs[order.Task.Job]
	work := time.Second
	if job != nil {
		work = job.Steps[order.Task.Step].Estimate
	}
	t.running[order.Task] = &run{number: order.Number, started: time.Now(), work: work}
	return target.Accepted
}

// Stop implements target.Targets. A run that was not started can't be started after it.
func (f *Fleet) Stop(ctx context.Context, to target.Listing, stop target.Run, token int64) target.Reply {
	t, failure := f.reach(ctx, to)
	if t == nil {
		return target.Reply{Answer: failure}
	}
	if t.lateOrders > 0 {
		t.lateOrders--
		f.carryOutLate(ctx, to.ID, func(t *incarnation) { f.stop(t, stop, token) })
		return target.Reply{Answer: target.Unanswered}
	}
	reply := target.Reply{Answer: f.stop(t, stop, token), Clock: t.clock()}
	f.mu.Unlock()
	return f.deliver(ctx, to, reply)
}

func (f *Fleet) stop(t *incarnation, stop target.Run, token int64) target.Answer {
	if token < t.token {
		return target.Fenced
	}
	t.token = token
	if current := t.running[stop.Task]; current != nil && current.number == stop.Number {
		current.stop(time.Now().Add(f.StopTime))
		f.updateRuns(t)
	}
	t.highest[stop.Task] = max(t.highest[stop.Task], stop.Number)
	return target.Accepted
}

// Renew implements target.Targets.
func (f *Fleet) Renew(ctx context.Context, to target.Listing, order target.RenewOrder) (target.Report, target.Reply) {
	t, failure := f.reach(ctx, to)
	if t == nil {
		return target.Report{}, target.Reply{Answer: failure}
	}
	if t.lateRenewals > 0 {
		t.lateRenewals--
		f.carryOutLate(ctx, to.ID, func(t *incarnation) { f.renew(t, order) })
		return target.Report{}, target.Reply{Answer: target.Unanswered}
	}
	report, reply := f.renewAndReport(ctx, t, order)
	f.mu.Unlock()
	if reply = f.deliver(ctx, to, reply); reply.Answer != target.Accepted {
		return target.Report{}, reply
	}
	return report, reply
}

// renewAndReport carries out a renewal and reports the target's runs. The caller holds mu.
func (f *Fleet) renewAndReport(ctx context.Context, t *incarnation, order target.RenewOrder) (target.Report, target.Reply) {
	if !order.ReportRequested.IsZero() && t.started.After(order.ReportRequested) {
		// No connection is left that was open then.
		order.Acknowledged = 0
	}
	if answer := f.renew(t, order); answer != target.Accepted {
		return target.Report{}, target.Reply{Answer: answer}
	}
	if f.awaitEnd(ctx, t, order.Wait); ctx.Err() != nil {
		return target.Report{}, target.Reply{Answer: target.Unanswered}
	}
	report := target.Report{Born: t.listing.Born, Clock: t.clock(), Acknowledged: order.Acknowledged}
	for _, end := range t.ends {
		report.Ended = append(report.Ended, end.Ended)
	}
	for _, task := range t.runningTasks() {
		r := t.running[task]
		percent := int(100 * time.Since(r.started) / r.work)
		report.Running = append(report.Running, target.Running{Run: target.Run{Task: task, Number: r.number}, Percent: percent})
	}
	return report, target.Reply{Answer: target.Accepted, Clock: t.clock()}
}

// renew prolongs the lease and discards the ends that the order acknowledges. The caller holds mu.
func (f *Fleet) renew(t *incarnation, order target.RenewOrder) target.Answer {
	if order.FenceToken < t.token {
		return target.Fenced
	}
	t.token = order.FenceToken
	t.leaseEnd = max(t.leaseEnd, min(order.Deadline, t.clock()+maxLease))
	f.acknowledge(t, order.Acknowledged)
	return target.Accepted
}

// awaitEnd waits until there is a run end to report, at most for wait. The caller holds mu, which
// is unlocked between two polls.
func (f *Fleet) awaitEnd(ctx context.Context, t *incarnation, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for len(t.ends) == 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		f.mu.Unlock()
		timer := time.NewTimer(pollPeriod)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		f.mu.Lock()
		f.updateRuns(t)
	}
}

// Package batchtarget is a stand-in for a fleet of targets that run the tasks of
// batch jobs. It knows what was asked for, and notes every promise that is broken.
package batchtarget

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	answerTime  = 2 * time.Millisecond
	lookPeriod  = 20 * time.Millisecond
	callTimeout = 700 * time.Millisecond
	maxLease    = 6 * time.Second
	// cancelTime is how long after its cancellation a job's tasks may still be started.
	cancelTime = 3 * time.Second
)

// Fleet is the stand-in. Set the exported fields before the first call.
type Fleet struct {
	// Attempts is how often a task may fail.
	Attempts int
	// Fails tells whether a run fails by its own fault.
	Fails func(target.Run) bool
	// SlowClocks is by how much the targets' clocks are slow: 0.02 at most.
	SlowClocks float64

	mu        sync.Mutex
	machines  map[string]*machine
	jobs      map[string]*workload.Job
	cancelled map[string]time.Time
	done      map[target.Task]bool
	failures  map[target.Task]int
	broken    []string
	// started is the highest run of each task that was started.
	started map[target.Task]int
	// noted are the tasks of which an end `done` was acknowledged.
	noted map[target.Task]bool
}

// Add brings a target up, or starts it anew.
func (f *Fleet) Add(listing target.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.machines == nil {
		f.machines, f.jobs, f.cancelled = map[string]*machine{}, map[string]*workload.Job{}, map[string]time.Time{}
		f.done, f.failures, f.started = map[target.Task]bool{}, map[target.Task]int{}, map[target.Task]int{}
		f.noted = map[target.Task]bool{}
	}
	f.machines[listing.ID] = &machine{
		listing: listing, started: time.Now(), running: map[target.Task]*run{}, highest: map[target.Task]int{}, next: 1, slow: f.SlowClocks,
	}
}

// Cut makes a target unreachable, or reachable again. It runs on meanwhile.
func (f *Fleet) Cut(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[id].cut = cut
}

// CarryOutLate makes a target leave its next orders unanswered and carry them out later.
func (f *Fleet) CarryOutLate(id string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[id].lateLeft = count
}

// Expect tells the fleet that a job may have been accepted.
func (f *Fleet) Expect(job *workload.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job.ID] = job
}

// Cancelled tells the fleet that a job's cancellation was acknowledged.
func (f *Fleet) Cancelled(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled[id] = time.Now()
}

// Broken lists the promises that were broken.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// Clock reads a target's clock.
func (f *Fleet) Clock(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines[id].clock()
}

// Done reports whether a run of the task has ended done.
func (f *Fleet) Done(task target.Task) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

func (f *Fleet) breach(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// settle ends what has ended by now. The lock is held.
func (f *Fleet) settle(m *machine) {
	tasks := make([]target.Task, 0, len(m.running))
	for task := range m.running {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, j int) bool { return fmt.Sprint(tasks[i]) < fmt.Sprint(tasks[j]) })
	now := time.Now()
	if lapse := m.lapse(); lapse.Before(now) {
		m.lapsed = lapse
	}
	for _, task := range tasks {
		r := m.running[task]
		end := r.begun.Add(r.work)
		lapse := m.lapse()
		switch {
		case !end.After(now) && !end.After(lapse):
			how := target.Done
			if f.fails(task, r.number) {
				how = target.Failed
				f.failures[task]++
			} else {
				f.done[task] = true
			}
			m.end(task, how, end)
		case lapse.Before(now):
			m.end(task, target.Lapsed, lapse)
		}
	}
}

// fails tells whether a run fails. The members of a gang share their end: the second decides.
func (f *Fleet) fails(task target.Task, number int) bool {
	if job := f.jobs[task.Job]; job != nil && job.Steps[task.Step].Gang && job.Steps[task.Step].Count > 1 {
		task.Index = 1
	}
	return f.Fails != nil && f.Fails(target.Run{Task: task, Number: number})
}

// stepDone reports whether all tasks of a step have ended done; one member's end stands for a gang.
func (f *Fleet) stepDone(job *workload.Job, occurrence, step int) bool {
	ended := 0
	for index := range job.Steps[step].Count {
		if f.done[target.Task{Job: job.ID, Occurrence: occurrence, Step: step, Index: index}] {
			ended++
		}
	}
	return ended == job.Steps[step].Count || (ended > 0 && job.Steps[step].Gang)
}

// reach finds a target, or waits as long as a caller does without an answer.
func (f *Fleet) reach(ctx context.Context, to target.Listing) *machine {
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
	}
	f.mu.Lock()
	m := f.machines[to.ID]
	if m == nil || m.cut {
		f.mu.Unlock()
		f.silence(ctx)
		return nil
	}
	f.settle(m)
	return m
}

func (f *Fleet) silence(ctx context.Context) {
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// late carries an order out some seconds from now, if the target still lives this life.
func (f *Fleet) late(ctx context.Context, m *machine, order func()) {
	const lateBy = 3 * time.Second
	m.lateLeft--
	f.mu.Unlock()
	time.AfterFunc(lateBy, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.machines[m.listing.ID] == m {
			f.settle(m)
			order()
		}
	})
	f.silence(ctx)
}

// Start begins a run.
func (f *Fleet) Start(ctx context.Context, to target.Listing, order target.StartOrder) target.Reply {
	m := f.reach(ctx, to)
	if m == nil {
		return target.Reply{Answer: target.Unanswered}
	}
	if m.lateLeft > 0 {
		f.late(ctx, m, func() { f.start(m, order) })
		return target.Reply{Answer: target.Unanswered}
	}
	defer f.mu.Unlock()
	return target.Reply{Answer: f.start(m, order), Clock: m.clock()}
}

func (f *Fleet) start(m *machine, order target.StartOrder) target.Answer {
	if order.Fence < m.fence {
		return target.Fenced
	}
	m.fence = order.Fence
	if held := m.running[order.Task]; held != nil && held.number == order.Number {
		return target.Accepted
	}
	if order.Number <= m.highest[order.Task] {
		return target.Outdated
	}
	if order.Deadline <= m.clock() {
		return target.Late
	}
	m.deadline = max(m.deadline, min(order.Deadline, m.clock()+maxLease))
	f.check(m, order)
	job := f.jobs[order.Task.Job]
	work := time.Second
	if job != nil {
		work = job.Steps[order.Task.Step].Estimate
	}
	m.running[order.Task] = &run{number: order.Number, begun: time.Now(), work: work}
	return target.Accepted
}

// check notes the promises that a start breaks.
func (f *Fleet) check(m *machine, order target.StartOrder) {
	job := f.jobs[order.Task.Job]
	if job == nil || job.Payload != order.Payload {
		f.breach("unasked: %s", order.Run)
		return
	}
	if at, ok := f.cancelled[job.ID]; ok && time.Since(at) > cancelTime {
		f.breach("cancelled: %s started %s after its job's cancellation", order.Run, time.Since(at))
	}
	for _, other := range f.machines {
		f.settle(other)
		if other.running[order.Task] != nil {
			f.breach("twice: %s on %s runs on %s too", order.Run, m.listing.ID, other.listing.ID)
		}
	}
	f.started[order.Task] = max(f.started[order.Task], order.Number)
	if f.noted[order.Task] {
		f.breach("twice: %s started after its end was acknowledged", order.Run)
	}
	if f.failures[order.Task] >= f.Attempts && f.Attempts > 0 {
		f.breach("budget: %s started after %d failures", order.Run, f.failures[order.Task])
	}
	for _, earlier := range job.Steps[order.Task.Step].After {
		if !f.stepDone(job, order.Task.Occurrence, earlier) {
			f.breach("order: %s started before step %d was done", order.Run, earlier)
		}
	}
}

// Stop ends a run, or closes it.
func (f *Fleet) Stop(ctx context.Context, to target.Listing, stop target.Run, fence int64) target.Reply {
	m := f.reach(ctx, to)
	if m == nil {
		return target.Reply{Answer: target.Unanswered}
	}
	if m.lateLeft > 0 {
		f.late(ctx, m, func() { f.stop(m, stop, fence) })
		return target.Reply{Answer: target.Unanswered}
	}
	defer f.mu.Unlock()
	return target.Reply{Answer: f.stop(m, stop, fence), Clock: m.clock()}
}

func (f *Fleet) stop(m *machine, stop target.Run, fence int64) target.Answer {
	if fence < m.fence {
		return target.Fenced
	}
	m.fence = fence
	if held := m.running[stop.Task]; held != nil && held.number == stop.Number {
		m.end(stop.Task, target.Stopped, time.Now())
	}
	m.highest[stop.Task] = max(m.highest[stop.Task], stop.Number)
	return target.Accepted
}

// Renew prolongs the lease and reports.
func (f *Fleet) Renew(ctx context.Context, to target.Listing, order target.RenewOrder) (target.Report, target.Reply) {
	m := f.reach(ctx, to)
	if m == nil {
		return target.Report{}, target.Reply{Answer: target.Unanswered}
	}
	defer f.mu.Unlock()
	if order.Fence < m.fence {
		return target.Report{}, target.Reply{Answer: target.Fenced}
	}
	m.fence = order.Fence
	m.deadline = max(m.deadline, min(order.Deadline, m.clock()+maxLease))
	f.acknowledge(m, order.Acknowledged)
	if f.await(ctx, m, order.Wait); ctx.Err() != nil {
		return target.Report{}, target.Reply{Answer: target.Unanswered}
	}
	report := target.Report{Born: m.listing.Born, Clock: m.clock()}
	for _, end := range m.ends {
		report.Ended = append(report.Ended, end.Ended)
	}
	for task, r := range m.running {
		percent := int(100 * time.Since(r.begun) / r.work)
		report.Running = append(report.Running, target.Running{Run: target.Run{Task: task, Number: r.number}, Percent: percent})
	}
	return report, target.Reply{Answer: target.Accepted, Clock: m.clock()}
}

// await holds an answer back until a run has ended. The lock is held, but for the time between two looks.
func (f *Fleet) await(ctx context.Context, m *machine, wait time.Duration) {
	until := time.Now().Add(wait)
	for len(m.ends) == 0 && time.Now().Before(until) && ctx.Err() == nil {
		f.mu.Unlock()
		timer := time.NewTimer(lookPeriod)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		f.mu.Lock()
		f.settle(m)
	}
}

// acknowledge forgets ends. A task that was started again after an end `done` that is
// acknowledged now has run twice, unless the lease ran out between the two.
func (f *Fleet) acknowledge(m *machine, upTo int64) {
	kept := m.ends[:0]
	for _, end := range m.ends {
		if end.Number > upTo {
			kept = append(kept, end)
			continue
		}
		if end.How != target.Done || !m.lapsed.Before(end.at) {
			continue
		}
		f.noted[end.Task] = true
		if f.started[end.Task] > end.Run.Number {
			f.breach("twice: %s had ended done on %s and was started again", end.Run, m.listing.ID)
		}
	}
	m.ends = kept
}

package batchtarget

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// incarnation is one run of a target's process.
type incarnation struct {
	listing target.Listing
	started time.Time
	// clockLag is the fraction by which the clock runs slow.
	clockLag float64
	// token is the highest fencing token of the orders received.
	token int64
	// leaseEnd is when the lease of all runs expires, on this incarnation's clock.
	leaseEnd time.Duration
	running  map[target.Task]*run
	// highest is the highest run number of each task that has ended or was stopped.
	highest map[target.Task]int
	// ends are those not yet acknowledged; nextEnd is the number of the next one. cursor is the highest
	// number that was acknowledged in this incarnation; a later end up to it is forgotten at once.
	ends    []runEnd
	nextEnd int64
	cursor  int64
	// lastExpiry is when the lease last expired.
	lastExpiry  time.Time
	unreachable bool
	// lateOrders is the number of starts and stops still to be carried out late; lateRenewals is
	// that of renewals.
	lateOrders   int
	lateRenewals int
}

type runEnd struct {
	target.Ended
	at time.Time
}

type run struct {
	number  int
	started time.Time
	// work is how long the run takes.
	work time.Duration
	// stopping says that the run is being stopped; it ends at stopsAt unless it ends before.
	stopping bool
	stopsAt  time.Time
}

// due returns when the run ends if its lease lasts, and whether a stop ends it then.
func (r *run) due() (at time.Time, stopped bool) {
	end := r.started.Add(r.work)
	if r.stopping && r.stopsAt.Before(end) {
		return r.stopsAt, true
	}
	return end, false
}

// stop makes the run end at a time. A run that is being stopped already is not changed.
func (r *run) stop(at time.Time) {
	if !r.stopping {
		r.stopping, r.stopsAt = true, at
	}
}

// clock returns the time since the start on the target's own clock.
func (t *incarnation) clock() time.Duration {
	return time.Duration(float64(time.Since(t.started)) * (1 - t.clockLag))
}

// leaseExpiry returns when the lease expires, in real time.
func (t *incarnation) leaseExpiry() time.Time {
	return t.started.Add(time.Duration(float64(t.leaseEnd) / (1 - t.clockLag)))
}

// runningTasks returns the tasks that are running, in a fixed order.
func (t *incarnation) runningTasks() []target.Task {
	tasks := make([]target.Task, 0, len(t.running))
	for task := range t.running {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b target.Task) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	return tasks
}

func (t *incarnation) end(task target.Task, how target.Outcome, at time.Time) {
	r := t.running[task]
	delete(t.running, task)
	t.highest[task] = max(t.highest[task], r.number)
	t.ends = append(t.ends, runEnd{Ended: target.Ended{Run: target.Run{Task: task, Number: r.number}, Number: t.nextEnd, Outcome: how}, at: at})
	t.nextEnd++
}

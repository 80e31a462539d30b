package batchtarget

import (
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
	// ends are those not yet acknowledged; nextEnd is the number of the next one.
	ends    []runEnd
	nextEnd int64
	// lastExpiry is when the lease last expired.
	lastExpiry  time.Time
	unreachable bool
	// lateOrders is the number of orders still to be carried out late.
	lateOrders int
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
}

// clock returns the time since the start on the target's own clock.
func (m *incarnation) clock() time.Duration {
	return time.Duration(float64(time.Since(m.started)) * (1 - m.clockLag))
}

// leaseExpiry returns when the lease expires, in real time.
func (m *incarnation) leaseExpiry() time.Time {
	return m.started.Add(time.Duration(float64(m.leaseEnd) / (1 - m.clockLag)))
}

func (m *incarnation) end(task target.Task, how target.How, at time.Time) {
	r := m.running[task]
	delete(m.running, task)
	m.highest[task] = max(m.highest[task], r.number)
	m.ends = append(m.ends, runEnd{Ended: target.Ended{Run: target.Run{Task: task, Number: r.number}, Number: m.nextEnd, How: how}, at: at})
	m.nextEnd++
}

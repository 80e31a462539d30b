package batchtarget

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// machine is one life of a target.
type machine struct {
	listing  target.Listing
	started  time.Time
	slow     float64
	fence    int64
	deadline time.Duration
	running  map[target.Task]*run
	highest  map[target.Task]int
	ends     []ended
	next     int64
	// lapsed is when the lease last ran out.
	lapsed   time.Time
	cut      bool
	lateLeft int
}

type ended struct {
	target.Ended
	at time.Time
}

type run struct {
	number int
	begun  time.Time
	work   time.Duration
}

// clock is the target's own, which may be slow.
func (m *machine) clock() time.Duration {
	return time.Duration(float64(time.Since(m.started)) * (1 - m.slow))
}

// lapse is when the lease runs out.
func (m *machine) lapse() time.Time {
	return m.started.Add(time.Duration(float64(m.deadline) / (1 - m.slow)))
}

func (m *machine) end(task target.Task, how target.How, at time.Time) {
	r := m.running[task]
	delete(m.running, task)
	m.highest[task] = max(m.highest[task], r.number)
	m.ends = append(m.ends, ended{Ended: target.Ended{Run: target.Run{Task: task, Number: r.number}, Number: m.next, How: how}, at: at})
	m.next++
}

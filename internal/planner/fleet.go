package planner

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	quarantineFailures = 3
	quarantineFirst    = time.Minute
	quarantineLast     = time.Hour
)

// machine is what the planner knows of one worker.
type machine struct {
	name        string
	address     string
	client      wire.Worker
	status      *wire.WorkerStatus
	seen        time.Time
	leaving     bool
	failing     map[string]bool
	quarantined time.Time
	spells      int
}

func (m *machine) lost(now time.Time, lease time.Duration) bool {
	return m.status == nil || now.Sub(m.seen) > lease
}

func (m *machine) closed(now time.Time, lease time.Duration) bool {
	return m.leaving || m.status.GetLeaving() || m.lost(now, lease) || now.Before(m.quarantined)
}

// task returns the worker's report on a job's attempt; nil when it has none.
func (m *machine) task(job string, attempt int32) *wire.Task {
	for _, task := range m.status.GetTasks() {
		if task.GetJob() == job && task.GetAttempt() == attempt {
			return task
		}
	}
	return nil
}

// succeeded clears the blame of a worker.
func (m *machine) succeeded() {
	m.failing, m.spells = nil, 0
}

// failed blames the worker for a job. Several different jobs in a row close it
// for a while, longer each time.
func (m *machine) failed(now time.Time, job string) {
	if m.failing == nil {
		m.failing = map[string]bool{}
	}
	m.failing[job] = true
	threshold := quarantineFailures
	if m.spells > 0 {
		threshold = 1
	}
	if len(m.failing) < threshold {
		return
	}
	m.quarantined = now.Add(min(quarantineFirst<<min(m.spells, 6), quarantineLast))
	m.spells++
	m.failing = nil
}

// grid returns the workers as placement sees them, without holders.
func (p *Planner) grid(now time.Time) *placement.Grid {
	var workers []*placement.Worker
	for _, m := range p.machines {
		if m.status == nil {
			continue
		}
		workers = append(workers, &placement.Worker{
			Name: m.name, Rack: int(m.status.GetRack()), Closed: m.closed(now, p.TaskLease),
			Cores: int(m.status.GetCores()), MemoryMB: m.status.GetMemoryMb(),
			Slots: make([]placement.Slot, m.status.GetAccelerators()),
		})
	}
	return placement.New(workers)
}

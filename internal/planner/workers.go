package planner

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// quarantineFailures is the number of different jobs that have to fail on a worker, with no
	// success in between, before it is quarantined.
	quarantineFailures = 3
	quarantineMin      = time.Minute
	quarantineMax      = time.Hour
)

// workerState is the planner's view of one worker.
type workerState struct {
	name    string
	address string
	client  wire.Worker
	status  *wire.WorkerStatus
	// lastReport is when the worker last answered a renewal.
	lastReport time.Time
	leaving    bool
	// failedJobs holds the jobs that have failed on the worker since its last success or
	// quarantine.
	failedJobs       map[string]bool
	quarantinedUntil time.Time
	// quarantines counts the quarantines since the last job that succeeded on the worker.
	quarantines int
}

// lost reports whether the worker has not answered a renewal for longer than a task lease.
func (w *workerState) lost(now time.Time, lease time.Duration) bool {
	return w.status == nil || now.Sub(w.lastReport) > lease
}

// unschedulable reports whether the worker takes no new tasks: it is leaving, lost or
// quarantined.
func (w *workerState) unschedulable(now time.Time, lease time.Duration) bool {
	return w.leaving || w.status.GetLeaving() || w.lost(now, lease) || now.Before(w.quarantinedUntil)
}

// task returns the task of a job's attempt from the worker's last report, or nil if there is
// none.
func (w *workerState) task(job string, attempt int32) *wire.Task {
	for _, task := range w.status.GetTasks() {
		if task.GetJob() == job && task.GetAttempt() == attempt {
			return task
		}
	}
	return nil
}

// clearFailures forgets earlier failures and quarantines, after a job has succeeded on the
// worker.
func (w *workerState) clearFailures() {
	w.failedJobs, w.quarantines = nil, 0
}

// recordFailure counts a failed job against the worker. When quarantineFailures different jobs
// have failed without a success in between, the worker is quarantined. From then on, each
// further failed job quarantines it again for twice as long, up to quarantineMax, until a job
// succeeds.
func (w *workerState) recordFailure(now time.Time, job string) {
	if w.failedJobs == nil {
		w.failedJobs = map[string]bool{}
	}
	w.failedJobs[job] = true
	threshold := quarantineFailures
	if w.quarantines > 0 {
		threshold = 1
	}
	if len(w.failedJobs) < threshold {
		return
	}
	w.quarantinedUntil = now.Add(min(quarantineMin<<min(w.quarantines, 6), quarantineMax))
	w.quarantines++
	w.failedJobs = nil
}

// inventory returns the workers that have reported in this epoch, with no accelerator occupied.
// The lock is held.
func (p *Planner) inventory(now time.Time) *placement.Inventory {
	var reported []*placement.Worker
	cordoned := p.cordon() != nil
	for _, w := range p.workers {
		if w.status == nil {
			continue
		}
		reported = append(reported, &placement.Worker{
			Name: w.name, Rack: int(w.status.GetRack()), Unschedulable: cordoned || w.unschedulable(now, p.TaskLease),
			Cores: int(w.status.GetCores()), MemoryMB: w.status.GetMemoryMb(),
			Slots: make([]placement.Slot, w.status.GetAccelerators()),
		})
	}
	return placement.New(reported)
}

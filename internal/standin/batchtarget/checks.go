package batchtarget

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// ExpectJob records a job that was submitted and may have been accepted, so that its tasks may
// be started. Starting one with another payload is a violation.
func (f *Fleet) ExpectJob(job *workload.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job.ID] = job
}

// JobCancelled records that the cancellation of a job was acknowledged.
func (f *Fleet) JobCancelled(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled[id] = time.Now()
}

// ZoneCordoned records that the cordon of an availability zone was acknowledged, and ZoneUncordoned
// that it may have ended.
func (f *Fleet) ZoneCordoned(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.cordoned[zone]; !ok {
		f.cordoned[zone] = time.Now()
	}
}

// ZoneUncordoned is described with ZoneCordoned.
func (f *Fleet) ZoneUncordoned(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cordoned, zone)
}

// checkCordon records a start that arrives too late after the cordon of its target's zone. When it is
// carried out does not count: an order may be late for reasons that the scheduler can't know.
func (f *Fleet) checkCordon(t *incarnation, order target.StartOrder) {
	if at, ok := f.cordoned[t.listing.Zone]; ok && time.Since(at) > f.CordonTime {
		f.addViolation("cordoned: %s arrived on %s %s after the cordon of its zone", order.Run, t.listing.ID, time.Since(at))
	}
}

// LastStart returns when the last order to start a run arrived at a reachable target; zero if
// none has.
func (f *Fleet) LastStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStart
}

// Violations describes the recorded violations of guarantees.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// TaskDone reports whether a run of the task has ended as done.
func (f *Fleet) TaskDone(task target.Task) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

func (f *Fleet) addViolation(format string, args ...any) {
	violation := fmt.Sprintf(format, args...)
	f.violations = append(f.violations, violation)
	f.event("VIOLATION", log.Fields{"of": violation})
}

// stepDone reports whether all tasks of a step have ended as done. For a gang, one member
// suffices.
func (f *Fleet) stepDone(job *workload.Job, occurrence, step int) bool {
	ended := 0
	for index := range job.Steps[step].Count {
		if f.done[target.Task{Job: job.ID, Occurrence: occurrence, Step: step, Index: index}] {
			ended++
		}
	}
	return ended == job.Steps[step].Count || (ended > 0 && job.Steps[step].Gang)
}

// checkStart records the guarantees that starting a run violates: the job was submitted and not
// cancelled, the task runs only once at a time and not after a known success or too many
// failures, and the steps before it are done.
func (f *Fleet) checkStart(t *incarnation, order target.StartOrder) {
	job := f.jobs[order.Task.Job]
	if job == nil || job.Payload != order.Payload {
		f.addViolation("unasked: %s", order.Run)
		return
	}
	if at, ok := f.cancelled[job.ID]; ok && time.Since(at) > cancelTolerance {
		f.addViolation("cancelled: %s started %s after its job's cancellation", order.Run, time.Since(at))
	}
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		other := f.targets[id]
		f.updateRuns(other)
		if other.running[order.Task] != nil {
			f.addViolation("twice: %s on %s runs on %s too", order.Run, t.listing.ID, other.listing.ID)
		}
	}
	f.started[order.Task] = max(f.started[order.Task], order.Number)
	if f.acknowledged[order.Task] {
		f.addViolation("twice: %s started after its end was acknowledged", order.Run)
	}
	if f.failures[order.Task] >= f.MaxFailures && f.MaxFailures > 0 {
		f.addViolation("budget: %s started after %d failures", order.Run, f.failures[order.Task])
	}
	for _, earlier := range job.Steps[order.Task.Step].After {
		if !f.stepDone(job, order.Task.Occurrence, earlier) {
			f.addViolation("order: %s started before step %d was done", order.Run, earlier)
		}
	}
}

// acknowledge discards the ends up to the number upTo, now and when they come. A task whose end `done` is acknowledged
// must not have been started again. Ends before the last expiry of the lease are not checked:
// the task may have been started elsewhere after that.
func (f *Fleet) acknowledge(t *incarnation, upTo int64) {
	t.cursor = max(t.cursor, upTo)
	kept := t.ends[:0]
	for _, end := range t.ends {
		if end.Number > t.cursor {
			kept = append(kept, end)
			continue
		}
		if end.Outcome != target.Done || !t.lastExpiry.Before(end.at) {
			continue
		}
		f.acknowledged[end.Task] = true
		if f.started[end.Task] > end.Run.Number {
			f.addViolation("twice: %s had ended done on %s and was started again", end.Run, t.listing.ID)
		}
	}
	t.ends = kept
}

package planner

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// maxFailures is the number of failed attempts after which the job itself fails.
	maxFailures = 3
	// historyLength is the number of history lines that a job's record keeps.
	historyLength  = 20
	launchRetryMin = 500 * time.Millisecond
	launchRetryMax = 8 * time.Second
)

// job is one gang job and the revision of its record in the store.
type job struct {
	*wire.JobRecord
	revision int64
	// stateSince is when this planner first read the job or last changed its record.
	stateSince time.Time
	// waitReason says why the job was not started in the last pass that considered it.
	waitReason string
	// retryAt is the earliest time of the next launch; launchFailures counts failed launches
	// since the last success.
	retryAt        time.Time
	launchFailures int
	// stopping is set from the start of a suspension until the record is next written, so that
	// the job's tasks are not renewed meanwhile.
	stopping bool
}

// active reports whether the job's members hold accelerators.
func active(state wire.JobState) bool {
	return state == wire.JobState_JOB_STATE_STARTING || state == wire.JobState_JOB_STATE_RUNNING
}

// Ended reports whether a job's state is final.
func Ended(state wire.JobState) bool {
	switch state {
	case wire.JobState_JOB_STATE_DONE, wire.JobState_JOB_STATE_FAILED, wire.JobState_JOB_STATE_CANCELLED,
		wire.JobState_JOB_STATE_UNKNOWN, wire.JobState_JOB_STATE_REFUSED:
		return true
	}
	return false
}

// addHistory appends a line with the time of day in UTC and keeps the last historyLength lines.
func (j *job) addHistory(now time.Time, format string, args ...any) {
	line := now.UTC().Format(time.TimeOnly) + " " + fmt.Sprintf(format, args...)
	j.History = append(j.History, line)
	if len(j.History) > historyLength {
		j.History = j.History[len(j.History)-historyLength:]
	}
}

// end puts the job into a final state with a reason.
func (j *job) end(now time.Time, state wire.JobState, format string, args ...any) {
	j.State, j.Reason, j.Ended = state, fmt.Sprintf(format, args...), timestamppb.New(now)
	j.addHistory(now, "%s", j.Reason)
}

// backOff delays the next launch after one that failed. The delay doubles with each failure,
// from launchRetryMin up to launchRetryMax.
func (j *job) backOff(now time.Time) {
	j.retryAt = now.Add(min(launchRetryMin<<min(j.launchFailures, 10), launchRetryMax))
	j.launchFailures++
}

// placedMembers converts the members of the job's record to those of package placement.
func (j *job) placedMembers() []placement.Member {
	out := make([]placement.Member, 0, len(j.Members))
	for _, member := range j.Members {
		indices := make([]int, len(member.GetAccelerators()))
		for i, index := range member.GetAccelerators() {
			indices[i] = int(index)
		}
		out = append(out, placement.Member{Worker: member.GetWorker(), Accelerators: indices})
	}
	return out
}

// holder describes the job as a holder of accelerators, for placement.Inventory.Occupy.
func (p *Planner) holder(j *job) placement.Holder {
	class := p.Rules().Classes[j.GetClass()]
	return placement.Holder{
		Job: j.GetId(), Owner: j.GetOrganisation(), Preemptible: class.GetPreemptible(), Rank: int(class.GetUrgency()),
		Cores: int(j.GetCoresPerWorker()), MemoryMB: j.GetMemoryMbPerWorker(),
	}
}

// request describes what the job needs, for placement.Inventory.Place.
func (p *Planner) request(j *job) placement.Request {
	class := p.Rules().Classes[j.GetClass()]
	return placement.Request{
		Organisation: j.GetOrganisation(), Workers: int(j.GetWorkers()), PerWorker: int(j.GetAcceleratorsPerWorker()),
		Cores: int(j.GetCoresPerWorker()), MemoryMB: j.GetMemoryMbPerWorker(),
		Preemptible: class.GetPreemptible(), Rank: int(class.GetUrgency()),
	}
}

// health is the state of a gang according to the workers' reports. While no member has failed or
// is lost, the gang has the lowest health of its members.
type health int

const (
	// memberNotStarted means that at least one member is not known to have started.
	memberNotStarted health = iota
	// allRunning means that every member runs or is done.
	allRunning
	allDone
	// checkpointed means that a member was checkpointed because its job was preempted.
	checkpointed
	// memberFailed means that a member ran and failed.
	memberFailed
	// memberLost means that a member was stopped or did not start in time, that its lease lapsed or
	// that its worker is unreachable.
	memberLost
)

// gangHealth derives the health of an active gang from the workers' reports, with a reason when
// a member has failed or is lost. It counts a failed member against its worker. For one task
// lease after j.stateSince, a member whose worker does not report counts as not started, because
// a new planner has no reports at first. The lock is held.
func (p *Planner) gangHealth(now time.Time, j *job) (health, string) {
	lowest := allDone
	for _, member := range j.Members {
		w := p.workers[member.GetWorker()]
		if w == nil || w.lost(now, p.TaskLease) {
			if now.Sub(j.stateSince) > p.TaskLease {
				return memberLost, fmt.Sprintf("worker %s does not report", member.GetWorker())
			}
			lowest = min(lowest, memberNotStarted)
			continue
		}
		switch task := w.task(j.GetId(), j.GetAttempt()); task.GetState() {
		case wire.TaskState_TASK_STATE_RUNNING:
			lowest = min(lowest, allRunning)
		case wire.TaskState_TASK_STATE_DONE:
		case wire.TaskState_TASK_STATE_FAILED:
			w.recordFailure(now, j.GetId())
			return memberFailed, fmt.Sprintf("a member failed on worker %s: %s", w.name, task.GetMessage())
		case wire.TaskState_TASK_STATE_RESERVED:
			lowest = min(lowest, memberNotStarted)
		case wire.TaskState_TASK_STATE_CHECKPOINTED:
			return checkpointed, ""
		default:
			// The report may be older than the start of this attempt.
			if w.lastReport.Before(j.stateSince) {
				lowest = min(lowest, memberNotStarted)
				continue
			}
			return memberLost, fmt.Sprintf("worker %s no longer runs its member", w.name)
		}
	}
	if lowest == memberNotStarted && now.Sub(j.stateSince) > p.TaskLease {
		return memberLost, "a member did not start within the task lease"
	}
	return lowest, ""
}

// allMembersReported reports whether every member's worker has reported within two thirds of the
// task lease, so that the gang may be renewed. During one task lease after j.stateSince no
// report is needed.
func (p *Planner) allMembersReported(now time.Time, j *job) bool {
	if now.Sub(j.stateSince) < p.TaskLease {
		return true
	}
	for _, member := range j.Members {
		w := p.workers[member.GetWorker()]
		if w == nil || now.Sub(w.lastReport) > p.TaskLease*2/3 {
			return false
		}
	}
	return true
}

package planner

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// maxFailures is the number of failed attempts after which the job is at fault.
	maxFailures     = 3
	historyLength   = 20
	launchRetry     = 500 * time.Millisecond
	launchRetryLast = 8 * time.Second
)

// job is one gang job and the revision of its record in the store.
type job struct {
	*wire.JobRecord
	revision int64
	// heldSince is when the planner first saw the job in its present attempt.
	heldSince time.Time
	reason    string
	// notBefore is the time of the next try after a launch that failed; tries counts those.
	notBefore time.Time
	tries     int
	// stopping says that the job's tasks are not to be renewed.
	stopping bool
}

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

func (j *job) note(now time.Time, format string, args ...any) {
	line := now.UTC().Format(time.TimeOnly) + " " + fmt.Sprintf(format, args...)
	j.History = append(j.History, line)
	if len(j.History) > historyLength {
		j.History = j.History[len(j.History)-historyLength:]
	}
}

func (j *job) end(now time.Time, state wire.JobState, format string, args ...any) {
	j.State, j.Reason, j.Ended = state, fmt.Sprintf(format, args...), timestamppb.New(now)
	j.note(now, "%s", j.Reason)
}

// postpone spaces the tries of a job whose members could not all be reserved.
func (j *job) postpone(now time.Time) {
	j.notBefore = now.Add(min(launchRetry<<min(j.tries, 10), launchRetryLast))
	j.tries++
}

func (j *job) placed() []placement.Member {
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

func (p *Planner) holder(j *job) placement.Holder {
	class := p.Rules().Classes[j.GetClass()]
	return placement.Holder{
		Job: j.GetId(), Owner: j.GetOrganisation(), Movable: class.GetPreemptible(), Rank: int(class.GetUrgency()),
		Cores: int(j.GetCoresPerWorker()), MemoryMB: j.GetMemoryMbPerWorker(),
	}
}

func (p *Planner) request(j *job) placement.Request {
	class := p.Rules().Classes[j.GetClass()]
	return placement.Request{
		Organisation: j.GetOrganisation(), Workers: int(j.GetWorkers()), PerWorker: int(j.GetAcceleratorsPerWorker()),
		Cores: int(j.GetCoresPerWorker()), MemoryMB: j.GetMemoryMbPerWorker(),
		Movable: class.GetPreemptible(), Rank: int(class.GetUrgency()),
	}
}

// health is what the workers' reports say of a gang.
type health int

const (
	// coming says that a member has not started yet.
	coming health = iota
	whole
	finished
	// checkpointed says that members were stopped to make room.
	checkpointed
	// failedMember says that a member ran and failed.
	failedMember
	// lostMember says that a member stopped, lapsed, or its worker is gone.
	lostMember
)

// examine reads the workers' reports on an active gang.
func (p *Planner) examine(now time.Time, j *job) (health, string) {
	state := finished
	for _, member := range j.Members {
		m := p.machines[member.GetWorker()]
		if m == nil || m.lost(now, p.TaskLease) {
			if now.Sub(j.heldSince) > p.TaskLease {
				return lostMember, fmt.Sprintf("worker %s is not heard of", member.GetWorker())
			}
			state = min(state, coming)
			continue
		}
		switch task := m.task(j.GetId(), j.GetAttempt()); task.GetState() {
		case wire.TaskState_TASK_STATE_RUNNING:
			state = min(state, whole)
		case wire.TaskState_TASK_STATE_DONE:
		case wire.TaskState_TASK_STATE_FAILED:
			m.failed(now, j.GetId())
			return failedMember, fmt.Sprintf("it failed on worker %s: %s", m.name, task.GetMessage())
		case wire.TaskState_TASK_STATE_RESERVED:
			state = min(state, coming)
		case wire.TaskState_TASK_STATE_CHECKPOINTED:
			return checkpointed, ""
		default:
			if m.seen.Before(j.heldSince) {
				state = min(state, coming)
				continue
			}
			return lostMember, fmt.Sprintf("worker %s no longer has it", m.name)
		}
	}
	if state == coming && now.Sub(j.heldSince) > p.TaskLease {
		return lostMember, "a member did not start in time"
	}
	return state, ""
}

// confirmed reports whether every member's worker was heard of lately, so that
// the gang may be renewed.
func (p *Planner) confirmed(now time.Time, j *job) bool {
	if now.Sub(j.heldSince) < p.TaskLease {
		return true
	}
	for _, member := range j.Members {
		m := p.machines[member.GetWorker()]
		if m == nil || now.Sub(m.seen) > p.TaskLease*2/3 {
			return false
		}
	}
	return true
}

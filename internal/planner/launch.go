package planner

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// launch starts a job on the chosen members and reports whether it was started. It first
// preempts the victims and reserves every member, then writes the new attempt to the store,
// and only then starts the tasks. If one reservation is refused, all are released and nothing
// starts.
func (p *Planner) launch(ctx context.Context, epoch int64, inventory *placement.Inventory, j *job, chosen placement.Placement) bool {
	now := time.Now()
	for _, name := range chosen.Victims {
		if !p.preempt(ctx, epoch, inventory, name, j) {
			p.setWaitReason(j, "job %s has to be preempted first", name)
			return false
		}
	}
	attempt, members := j.GetAttempt()+1, p.wireMembers(chosen)
	reserved, refused := p.reserve(ctx, epoch, j, attempt, members)
	if reserved < len(members) {
		p.setWaitReason(j, "workers refused the reservation: %v", refused)
		p.release(ctx, epoch, j, attempt, members)
		p.renewOnNextPass()
		return false
	}
	started := p.updateRecord(ctx, j, func(next *job) {
		next.State, next.Attempt, next.Members = wire.JobState_JOB_STATE_STARTING, attempt, members
		next.addHistory(now, "attempt %d starts on %d workers", attempt, len(members))
	})
	if !started {
		// The reservations lapse after the task lease. If the write did reach the store, the
		// next reload reads it.
		return false
	}
	p.start(ctx, epoch, j)
	return true
}

func (p *Planner) taskRequest(j *job, epoch int64) *wire.TaskRequest {
	return &wire.TaskRequest{Epoch: epoch, Job: j.GetId(), Attempt: j.GetAttempt(), Ttl: durationpb.New(p.TaskLease)}
}

// wireMembers converts a placement to the members of a job record, with their workers'
// addresses.
func (p *Planner) wireMembers(chosen placement.Placement) []*wire.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*wire.Member, len(chosen.Members))
	for i, member := range chosen.Members {
		out[i] = &wire.Member{Worker: member.Worker, Address: p.workers[member.Worker].address}
		for _, index := range member.Accelerators {
			out[i].Accelerators = append(out[i].Accelerators, int32(index))
		}
	}
	return out
}

// reserve asks every member's worker for its accelerators and returns the number of reservations
// and the refusals.
func (p *Planner) reserve(ctx context.Context, epoch int64, j *job, attempt int32, members []*wire.Member) (int, []string) {
	remaining := max(j.GetDeclared().AsDuration()-j.GetProgress().AsDuration(), 0)
	return p.callMembers(ctx, members, func(ctx context.Context, worker wire.Worker, i int) (*wire.WorkerResponse, error) {
		return worker.Reserve(ctx, &wire.ReserveRequest{
			Epoch: epoch, Job: j.GetId(), Attempt: attempt, Member: int32(i), Accelerators: members[i].GetAccelerators(),
			Ttl: durationpb.New(p.TaskLease), RunTime: durationpb.New(remaining),
			Cores: j.GetCoresPerWorker(), MemoryMb: j.GetMemoryMbPerWorker(),
		})
	})
}

// release stops an attempt's tasks, which frees the accelerators reserved for them.
func (p *Planner) release(ctx context.Context, epoch int64, j *job, attempt int32, members []*wire.Member) {
	p.callMembers(ctx, members, func(ctx context.Context, worker wire.Worker, _ int) (*wire.WorkerResponse, error) {
		return worker.Stop(ctx, &wire.StopRequest{Epoch: epoch, Job: j.GetId(), Attempt: attempt})
	})
}

// preempt checkpoints a preemptible job to free its accelerators for another, the preemptor. It
// reports whether they are free.
func (p *Planner) preempt(ctx context.Context, epoch int64, inventory *placement.Inventory, name string, preemptor *job) bool {
	p.mu.Lock()
	victim := p.jobs[name]
	p.mu.Unlock()
	if victim == nil {
		return false
	}
	holder, placedMembers := p.holder(victim), victim.placedMembers()
	if !p.suspend(ctx, epoch, victim, "checkpointed: preempted for job "+preemptor.GetId()) {
		return false
	}
	inventory.Release(holder, placedMembers)
	return true
}

// suspend checkpoints every member and queues the job again with its progress. It reports
// whether it did: unless every worker confirms the stop, the job stays as it is, its leases
// are no longer renewed, and a later pass tries again.
func (p *Planner) suspend(ctx context.Context, epoch int64, j *job, reason string) bool {
	now := time.Now()
	j.stopping = true
	p.renewOnNextPass()
	if p.stop(ctx, epoch, j, true) < len(j.Members) {
		return false
	}
	return p.updateRecord(ctx, j, func(next *job) {
		ran := now.Sub(next.GetStarted().AsTime())
		if next.GetState() == wire.JobState_JOB_STATE_RUNNING && ran > 0 {
			next.Progress = durationpb.New(next.GetProgress().AsDuration() + ran)
		}
		next.State, next.Members = wire.JobState_JOB_STATE_WAITING, nil
		next.addHistory(now, "%s", reason)
	})
}

// forgetEndedTasks makes workers forget tasks that have ended and belong to no active attempt.
func (p *Planner) forgetEndedTasks(ctx context.Context, epoch int64) {
	p.mu.Lock()
	var endedTasks []*job
	for _, w := range p.workers {
		for _, task := range w.status.GetTasks() {
			j, ok := p.jobs[task.GetJob()]
			current := ok && active(j.GetState()) && j.GetAttempt() == task.GetAttempt()
			if !current && !holdsAccelerators(task.GetState()) {
				endedTasks = append(endedTasks, &job{JobRecord: &wire.JobRecord{
					Id: task.GetJob(), Attempt: task.GetAttempt(), Members: []*wire.Member{{Worker: w.name}},
				}})
			}
		}
	}
	p.mu.Unlock()
	for _, task := range endedTasks {
		p.stop(ctx, epoch, task, false)
	}
	if len(endedTasks) > 0 {
		p.renewOnNextPass()
	}
}

func holdsAccelerators(state wire.TaskState) bool {
	return state == wire.TaskState_TASK_STATE_RESERVED || state == wire.TaskState_TASK_STATE_RUNNING
}

package planner

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// launch makes room, reserves every member, makes the start durable and only
// then starts. Anything less than every reservation starts nothing.
func (p *Planner) launch(ctx context.Context, epoch int64, grid *placement.Grid, j *job, found placement.Placement) bool {
	now := time.Now()
	for _, name := range found.Victims {
		if !p.preempt(ctx, epoch, grid, name, j) {
			p.explain(j, "job %s has to make room", name)
			return false
		}
	}
	attempt, members := j.GetAttempt()+1, p.membersOf(found)
	reserved, refused := p.reserve(ctx, epoch, j, attempt, members)
	if reserved < len(members) {
		p.explain(j, "workers refused: %v", refused)
		p.release(ctx, epoch, j, attempt, members)
		p.observeSoon()
		return false
	}
	started := p.change(ctx, j, func(next *job) {
		next.State, next.Attempt, next.Members = wire.JobState_JOB_STATE_STARTING, attempt, members
		next.note(now, "attempt %d starts on %d workers", attempt, len(members))
	})
	if !started {
		// The reservations lapse by themselves; a start that may be durable is settled by the next reload.
		return false
	}
	p.start(ctx, epoch, j)
	return true
}

func (p *Planner) membersOf(found placement.Placement) []*wire.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*wire.Member, len(found.Members))
	for i, member := range found.Members {
		out[i] = &wire.Member{Worker: member.Worker, Address: p.machines[member.Worker].address}
		for _, index := range member.Accelerators {
			out[i].Accelerators = append(out[i].Accelerators, int32(index))
		}
	}
	return out
}

func (p *Planner) reserve(ctx context.Context, epoch int64, j *job, attempt int32, members []*wire.Member) (int, []string) {
	left := max(j.GetDeclared().AsDuration()-j.GetProgress().AsDuration(), 0)
	return p.each(ctx, members, func(ctx context.Context, worker wire.Worker, i int) (*wire.WorkerResponse, error) {
		return worker.Reserve(ctx, &wire.ReserveRequest{
			Epoch: epoch, Job: j.GetId(), Attempt: attempt, Member: int32(i), Accelerators: members[i].GetAccelerators(),
			Ttl: durationpb.New(p.TaskLease), RunTime: durationpb.New(left),
			Cores: j.GetCoresPerWorker(), MemoryMb: j.GetMemoryMbPerWorker(),
		})
	})
}

func (p *Planner) release(ctx context.Context, epoch int64, j *job, attempt int32, members []*wire.Member) {
	p.each(ctx, members, func(ctx context.Context, worker wire.Worker, _ int) (*wire.WorkerResponse, error) {
		return worker.Stop(ctx, &wire.StopRequest{Epoch: epoch, Job: j.GetId(), Attempt: attempt})
	})
}

// preempt checkpoints a movable job, so that another may have its accelerators.
func (p *Planner) preempt(ctx context.Context, epoch int64, grid *placement.Grid, name string, reason *job) bool {
	p.mu.Lock()
	victim := p.jobs[name]
	p.mu.Unlock()
	if victim == nil {
		return false
	}
	holder, placed := p.holder(victim), victim.placed()
	if !p.suspend(ctx, epoch, victim, "checkpointed to make room for job "+reason.GetId()) {
		return false
	}
	grid.Release(holder, placed)
	return true
}

// suspend checkpoints every member and queues the job again, with its progress,
// once no member can still be running.
func (p *Planner) suspend(ctx context.Context, epoch int64, j *job, why string) bool {
	now := time.Now()
	j.stopping = true
	p.observeSoon()
	if p.stop(ctx, epoch, j, true) < len(j.Members) {
		return false
	}
	return p.change(ctx, j, func(next *job) {
		ran := now.Sub(next.GetStarted().AsTime())
		if next.GetState() == wire.JobState_JOB_STATE_RUNNING && ran > 0 {
			next.Progress = durationpb.New(next.GetProgress().AsDuration() + ran)
		}
		next.State, next.Members = wire.JobState_JOB_STATE_WAITING, nil
		next.note(now, "%s", why)
	})
}

// sweep has workers forget tasks that have ended and belong to no active attempt.
func (p *Planner) sweep(ctx context.Context, epoch int64) {
	p.mu.Lock()
	var gone []*job
	for _, m := range p.machines {
		for _, task := range m.status.GetTasks() {
			j, ok := p.jobs[task.GetJob()]
			current := ok && active(j.GetState()) && j.GetAttempt() == task.GetAttempt()
			if !current && !holding(task.GetState()) {
				gone = append(gone, &job{JobRecord: &wire.JobRecord{
					Id: task.GetJob(), Attempt: task.GetAttempt(), Members: []*wire.Member{{Worker: m.name}},
				}})
			}
		}
	}
	p.mu.Unlock()
	for _, task := range gone {
		p.stop(ctx, epoch, task, false)
	}
	if len(gone) > 0 {
		p.observeSoon()
	}
}

func holding(state wire.TaskState) bool {
	return state == wire.TaskState_TASK_STATE_RESERVED || state == wire.TaskState_TASK_STATE_RUNNING
}

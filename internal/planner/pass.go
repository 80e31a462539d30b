package planner

import (
	"context"
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/panics"
	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// selectJobs returns the jobs that match, in the order of submission. The lock is held.
func (p *Planner) selectJobs(matches func(*job) bool) []*job {
	var out []*job
	for _, j := range p.jobs {
		if matches(j) {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		if at, bt := out[a].GetSubmitted().AsTime(), out[b].GetSubmitted().AsTime(); !at.Equal(bt) {
			return at.Before(bt)
		}
		return out[a].GetId() < out[b].GetId()
	})
	return out
}

// review updates the active jobs from the workers' reports, ends cancelled jobs and deletes the
// records of jobs that ended more than jobRetention ago.
func (p *Planner) review(ctx context.Context, epoch int64) {
	now := time.Now()
	p.mu.Lock()
	running := p.selectJobs(func(j *job) bool { return active(j.GetState()) })
	cancelled := p.selectJobs(func(j *job) bool { return j.GetState() == wire.JobState_JOB_STATE_WAITING && j.GetCancelled() })
	expired := p.selectJobs(func(j *job) bool {
		return Ended(j.GetState()) && now.Sub(j.GetEnded().AsTime()) > jobRetention
	})
	p.mu.Unlock()
	for _, j := range running {
		p.reviewActive(ctx, epoch, j)
	}
	for _, j := range cancelled {
		p.updateRecord(ctx, j, func(next *job) {
			next.end(now, wire.JobState_JOB_STATE_CANCELLED, "it was cancelled before it started")
		})
	}
	for _, j := range expired {
		p.deleteRecord(ctx, j)
	}
}

// deleteRecord deletes the record of an ended job, unless it has changed in the store.
func (p *Planner) deleteRecord(ctx context.Context, j *job) {
	if p.Store.Delete(ctx, store.Housekeeping, JobKey(j.GetId()), j.revision) == nil {
		p.mu.Lock()
		delete(p.jobs, j.GetId())
		p.mu.Unlock()
	}
}

// reviewActive acts on the health of an active gang: it ends or requeues the job, records that
// every member runs, or sends the start to the members again.
func (p *Planner) reviewActive(ctx context.Context, epoch int64, j *job) {
	now := time.Now()
	p.mu.Lock()
	gang, reason := p.gangHealth(now, j)
	p.mu.Unlock()
	switch {
	case j.GetCancelled() && gang != allDone:
		p.stop(ctx, epoch, j, false)
		p.updateRecord(ctx, j, func(next *job) {
			next.end(now, wire.JobState_JOB_STATE_CANCELLED, "it was cancelled while it was running")
		})
	case gang == allDone:
		if p.updateRecord(ctx, j, func(next *job) { next.end(now, wire.JobState_JOB_STATE_DONE, "every member is done") }) {
			p.clearWorkerFailures(j)
			p.stop(ctx, epoch, j, false)
		}
	case gang == checkpointed:
		p.suspend(ctx, epoch, j, "it was checkpointed because it was preempted")
	case gang == memberFailed || gang == memberLost:
		p.stop(ctx, epoch, j, false)
		p.updateRecord(ctx, j, func(next *job) { endOrRequeue(now, next, gang, reason) })
	case gang == allRunning && j.GetState() == wire.JobState_JOB_STATE_STARTING:
		p.updateRecord(ctx, j, func(next *job) {
			next.State, next.Started = wire.JobState_JOB_STATE_RUNNING, timestamppb.New(now)
			next.addHistory(now, "every member is running")
		})
	case gang == memberNotStarted:
		p.start(ctx, epoch, j)
	}
}

// endOrRequeue ends a job that has lost a member, or queues it again. A job that is not
// idempotent ends as failed if the member failed, and as unknown if it was lost. An idempotent
// job runs again until maxFailures of its attempts have failed; lost members don't count as
// failures.
func endOrRequeue(now time.Time, next *job, gang health, reason string) {
	if gang == memberFailed {
		next.Failures++
	}
	switch {
	case !next.GetIdempotent() && gang == memberFailed:
		next.end(now, wire.JobState_JOB_STATE_FAILED, "%s; it is not idempotent and does not run again", reason)
	case !next.GetIdempotent():
		next.end(now, wire.JobState_JOB_STATE_UNKNOWN, "%s; it is not idempotent and does not run again", reason)
	case next.GetFailures() >= maxFailures:
		next.end(now, wire.JobState_JOB_STATE_FAILED, "%s; it has failed %d times", reason, next.GetFailures())
	default:
		next.State, next.Members = wire.JobState_JOB_STATE_WAITING, nil
		next.addHistory(now, "%s; every member was stopped and the job was queued again", reason)
	}
}

// clearWorkerFailures forgets the earlier failures of the workers that have completed a job.
func (p *Planner) clearWorkerFailures(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range j.Members {
		if w := p.workers[member.GetWorker()]; w != nil {
			w.clearFailures()
		}
	}
}

// updateRecord writes a job's edited record if the store still has the revision that this
// planner read, and reports whether it did. Otherwise the newer record is merged.
func (p *Planner) updateRecord(ctx context.Context, j *job, edit func(*job)) bool {
	p.mu.Lock()
	next := &job{JobRecord: proto.Clone(j.JobRecord).(*wire.JobRecord)}
	revision := j.revision
	p.mu.Unlock()
	edit(next)
	next.Epoch = p.epoch
	value, err := proto.Marshal(next.JobRecord)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	result, err := p.Store.Put(ctx, store.Safety, &wire.PutRequest{Key: JobKey(j.GetId()), Value: value, ExpectedRevision: revision})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		return false
	}
	if !result.Applied {
		p.mergeEntries([]*wire.Entry{result.Current})
		return false
	}
	j.JobRecord, j.revision, j.stateSince, j.stopping = next.JobRecord, result.Current.GetRevision(), time.Now(), false
	return true
}

// callMembers calls the workers of all members concurrently. It returns the number of accepted
// calls and, for each of the others, the worker's name and the refusal or error.
func (p *Planner) callMembers(ctx context.Context, members []*wire.Member, call func(context.Context, wire.Worker, int) (*wire.WorkerResponse, error)) (accepted int, refused []string) {
	type workerReply struct {
		worker  string
		applied bool
		text    string
	}
	replies := make(chan workerReply, len(members))
	for i, member := range members {
		p.mu.Lock()
		w := p.workers[member.GetWorker()]
		p.mu.Unlock()
		if w == nil {
			replies <- workerReply{worker: member.GetWorker(), text: "not listed"}
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			response, err := panics.Guard("planner: call of a worker", func() (*wire.WorkerResponse, error) { return call(ctx, w.client, i) })
			text := response.GetRefusal().String()
			if err != nil {
				text = err.Error()
			}
			if response.GetRefusal() == wire.WorkerRefusal_WORKER_REFUSAL_STALE_EPOCH {
				p.Leadership.AbandonEpoch(p.epoch)
			}
			replies <- workerReply{worker: w.name, applied: response.GetApplied(), text: text}
		}()
	}
	for range members {
		if reply := <-replies; reply.applied {
			accepted++
		} else {
			refused = append(refused, reply.worker+": "+reply.text)
		}
	}
	sort.Strings(refused)
	return accepted, refused
}

func (p *Planner) start(ctx context.Context, epoch int64, j *job) {
	p.callMembers(ctx, j.Members, func(ctx context.Context, worker wire.Worker, _ int) (*wire.WorkerResponse, error) {
		return worker.Start(ctx, p.taskRequest(j, epoch))
	})
	p.renewOnNextPass()
}

// renewOnNextPass makes the next pass renew the leases, and so read the workers' reports, at
// once.
func (p *Planner) renewOnNextPass() {
	p.mu.Lock()
	p.renewedAt = time.Time{}
	p.mu.Unlock()
}

// stop stops or checkpoints the job's tasks and returns the number of workers that confirmed it.
func (p *Planner) stop(ctx context.Context, epoch int64, j *job, checkpoint bool) int {
	stopped, _ := p.callMembers(ctx, j.Members, func(ctx context.Context, worker wire.Worker, _ int) (*wire.WorkerResponse, error) {
		return worker.Stop(ctx, &wire.StopRequest{Epoch: epoch, Job: j.GetId(), Attempt: j.GetAttempt(), Checkpoint: checkpoint})
	})
	return stopped
}

// occupiedInventory returns the workers with every active job on them. The lock is held.
func (p *Planner) occupiedInventory(now time.Time) *placement.Inventory {
	inventory := p.inventory(now)
	for _, j := range p.jobs {
		if active(j.GetState()) {
			inventory.Occupy(p.holder(j), j.placedMembers())
		}
	}
	p.occupyStaleTasks(inventory)
	return inventory
}

// occupyStaleTasks marks the accelerators that workers still hold for attempts that are over,
// until their leases lapse. The lock is held.
func (p *Planner) occupyStaleTasks(inventory *placement.Inventory) {
	for _, w := range p.workers {
		for _, task := range w.status.GetTasks() {
			j, ok := p.jobs[task.GetJob()]
			current := ok && active(j.GetState()) && j.GetAttempt() == task.GetAttempt()
			if current || !holdsAccelerators(task.GetState()) {
				continue
			}
			stale := &job{JobRecord: &wire.JobRecord{Members: []*wire.Member{{Worker: w.name, Accelerators: task.GetAccelerators()}}}}
			inventory.Occupy(placement.Holder{Job: task.GetJob() + " (ending)", Preemptible: true}, stale.placedMembers())
		}
	}
}

// guarantees returns the guarantees of this zone from the rules.
func (p *Planner) guarantees() []placement.Guarantee {
	var out []placement.Guarantee
	for name, organisation := range p.Rules().Organisations {
		for shape, guarantee := range organisation.GetGuarantees() {
			if guarantee.GetZone() == p.Zone {
				out = append(out, placement.Guarantee{
					Organisation: name, Shape: shape,
					Workers: int(guarantee.GetWorkers()), PerWorker: int(guarantee.GetAcceleratorsPerWorker()),
				})
			}
		}
	}
	return out
}

// place starts the waiting jobs that fit, in the order of the queue. When the first job that
// does not fit has waited longer than holdAfter, accelerators are held for it.
func (p *Planner) place(ctx context.Context, epoch int64) {
	now := time.Now()
	p.mu.Lock()
	inventory := p.occupiedInventory(now)
	if p.Policy == placement.BestFitWithHomes {
		p.homes, p.short = inventory.AssignHomes(p.guarantees(), p.homes)
	}
	waiting := p.queue()
	p.mu.Unlock()
	head := true
	for _, j := range waiting {
		if now.Before(j.retryAt) {
			continue
		}
		if record := p.cordon(); record != nil {
			p.setWaitReason(j, "%s", CordonReason(record))
			continue
		}
		req := p.request(j)
		req.HeadOfQueue = head
		if !p.withinLimit(j) {
			p.setWaitReason(j, "starting it would exceed the rule's limit of accelerators")
			continue
		}
		if len(inventory.Workers) > 0 && !inventory.FitsWhenIdle(req) {
			p.refuse(ctx, now, j)
			continue
		}
		chosen, reason := inventory.Place(p.Policy, req)
		if reason != "" {
			p.setWaitReason(j, "%s", reason)
			if head && now.Sub(j.GetSubmitted().AsTime()) > holdAfter {
				inventory.HoldForHead(req)
			}
			head = false
			continue
		}
		if p.launch(ctx, epoch, inventory, j, chosen) {
			j.launchFailures = 0
		} else {
			j.backOff(now)
		}
		// Even if the launch failed, no other job gets these accelerators in this pass.
		inventory.Occupy(p.holder(j), chosen.Members)
	}
}

// refuse ends a job that does not fit the zone even when idle. For one task lease after this
// planner first read the job, and until every worker has reported, the job only waits, as the
// zone's size may not be known yet.
func (p *Planner) refuse(ctx context.Context, now time.Time, j *job) {
	if now.Sub(j.stateSince) < p.TaskLease || !p.allWorkersReported() {
		p.setWaitReason(j, "the zone's workers have yet to report")
		return
	}
	p.updateRecord(ctx, j, func(next *job) {
		next.end(now, wire.JobState_JOB_STATE_REFUSED, "no %d adjacent workers of zone %s have %d accelerators each outside the guarantees of other organisations, even when idle; request fewer or use another zone",
			next.GetWorkers(), p.Zone, next.GetAcceleratorsPerWorker())
	})
}

// allWorkersReported reports whether every listed worker has reported in this epoch.
func (p *Planner) allWorkersReported() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.status == nil {
			return false
		}
	}
	return true
}

// setWaitReason records why a job waits, for Explain.
func (p *Planner) setWaitReason(j *job, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.waitReason = fmt.Sprintf(format, args...)
}

// queue returns the waiting jobs in the order of urgency, then of the accelerators that their
// organisation uses relative to its weight, fewest first, then of age. The lock is held.
func (p *Planner) queue() []*job {
	inUse := p.usage()
	// An organisation that is not in the rules has weight 0; a weight below 0.001 counts as 0.001.
	load := func(j *job) float64 {
		return float64(inUse[j.GetOrganisation()]) / max(p.Rules().Organisations[j.GetOrganisation()].GetWeight(), 0.001)
	}
	out := p.selectJobs(func(j *job) bool { return j.GetState() == wire.JobState_JOB_STATE_WAITING && !j.GetCancelled() })
	sort.SliceStable(out, func(a, b int) bool {
		if ra, rb := p.request(out[a]).Rank, p.request(out[b]).Rank; ra != rb {
			return ra < rb
		}
		return load(out[a]) < load(out[b])
	})
	return out
}

// usage returns the number of accelerators that each organisation's active jobs use. The lock is
// held.
func (p *Planner) usage() map[string]int32 {
	out := map[string]int32{}
	for _, j := range p.jobs {
		if active(j.GetState()) {
			out[j.GetOrganisation()] += j.GetWorkers() * j.GetAcceleratorsPerWorker()
		}
	}
	return out
}

// withinLimit reports whether the job, together with the active jobs of its organisation and
// class, stays within the rule's limit of accelerators.
func (p *Planner) withinLimit(j *job) bool {
	rule, ok := p.Rules().RuleFor(j.GetOrganisation(), j.GetClass())
	if !ok || rule.GetMaxAccelerators() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := j.GetWorkers() * j.GetAcceleratorsPerWorker()
	for _, other := range p.jobs {
		if active(other.GetState()) && other.GetOrganisation() == j.GetOrganisation() && other.GetClass() == j.GetClass() {
			sum += other.GetWorkers() * other.GetAcceleratorsPerWorker()
		}
	}
	return sum <= rule.GetMaxAccelerators()
}

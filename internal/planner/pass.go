package planner

import (
	"context"
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

func (p *Planner) taskRequest(j *job, epoch int64) *wire.TaskRequest {
	return &wire.TaskRequest{Epoch: epoch, Job: j.GetId(), Attempt: j.GetAttempt(), Ttl: durationpb.New(p.TaskLease)}
}

// sorted returns the jobs that satisfy a test, in the order of submission.
func (p *Planner) sorted(test func(*job) bool) []*job {
	var out []*job
	for _, j := range p.jobs {
		if test(j) {
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

// review ends or repairs the active jobs and drops old records.
func (p *Planner) review(ctx context.Context, epoch int64) {
	now := time.Now()
	p.mu.Lock()
	running := p.sorted(func(j *job) bool { return active(j.GetState()) })
	cancelled := p.sorted(func(j *job) bool { return j.GetState() == wire.JobState_JOB_STATE_WAITING && j.GetCancelled() })
	old := p.sorted(func(j *job) bool {
		return Ended(j.GetState()) && now.Sub(j.GetEnded().AsTime()) > jobRetention
	})
	p.mu.Unlock()
	for _, j := range running {
		p.reviewActive(ctx, epoch, j)
	}
	for _, j := range cancelled {
		p.change(ctx, j, func(next *job) {
			next.end(now, wire.JobState_JOB_STATE_CANCELLED, "it was cancelled before it started")
		})
	}
	for _, j := range old {
		p.forget(ctx, j)
	}
}

func (p *Planner) forget(ctx context.Context, j *job) {
	if p.Store.Delete(ctx, store.Housekeeping, JobKey(j.GetId()), j.revision) == nil {
		p.mu.Lock()
		delete(p.jobs, j.GetId())
		p.mu.Unlock()
	}
}

func (p *Planner) reviewActive(ctx context.Context, epoch int64, j *job) {
	now := time.Now()
	p.mu.Lock()
	state, reason := p.examine(now, j)
	p.mu.Unlock()
	switch {
	case j.GetCancelled() && state != finished:
		p.stop(ctx, epoch, j, false)
		p.change(ctx, j, func(next *job) {
			next.end(now, wire.JobState_JOB_STATE_CANCELLED, "it was cancelled while it ran")
		})
	case state == finished:
		if p.change(ctx, j, func(next *job) { next.end(now, wire.JobState_JOB_STATE_DONE, "every member finished") }) {
			p.credit(j)
			p.stop(ctx, epoch, j, false)
		}
	case state == checkpointed:
		p.suspend(ctx, epoch, j, "it was checkpointed to make room")
	case state == failedMember || state == lostMember:
		p.stop(ctx, epoch, j, false)
		p.change(ctx, j, func(next *job) { broken(now, next, state, reason) })
	case state == whole && j.GetState() == wire.JobState_JOB_STATE_STARTING:
		p.change(ctx, j, func(next *job) {
			next.State, next.Started = wire.JobState_JOB_STATE_RUNNING, timestamppb.New(now)
			next.note(now, "every member runs")
		})
	case state == coming:
		p.start(ctx, epoch, j)
	}
}

// broken decides what becomes of a gang that is no longer whole.
func broken(now time.Time, next *job, state health, reason string) {
	if state == failedMember {
		next.Failures++
	}
	switch {
	case !next.GetIdempotent() && state == failedMember:
		next.end(now, wire.JobState_JOB_STATE_FAILED, "%s; it is not idempotent and does not run again", reason)
	case !next.GetIdempotent():
		next.end(now, wire.JobState_JOB_STATE_UNKNOWN, "%s; it is not idempotent and does not run again", reason)
	case next.GetFailures() >= maxFailures:
		next.end(now, wire.JobState_JOB_STATE_FAILED, "%s; it failed %d times on different workers", reason, next.GetFailures())
	default:
		next.State, next.Members = wire.JobState_JOB_STATE_WAITING, nil
		next.note(now, "%s; every member was stopped and it waits again", reason)
	}
}

func (p *Planner) credit(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range j.Members {
		if m := p.machines[member.GetWorker()]; m != nil {
			m.succeeded()
		}
	}
}

// change writes a job's next state where the record is still the one this
// planner read, and reports whether it did.
func (p *Planner) change(ctx context.Context, j *job, edit func(*job)) bool {
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
		p.take([]*wire.Entry{result.Current})
		return false
	}
	j.JobRecord, j.revision, j.heldSince, j.stopping = next.JobRecord, result.Current.GetRevision(), time.Now(), false
	return true
}

// each calls every member's worker at once and reports how many agreed.
func (p *Planner) each(ctx context.Context, members []*wire.Member, call func(context.Context, wire.Worker, int) (*wire.WorkerResponse, error)) (agreed int, refused []string) {
	type answer struct {
		worker  string
		applied bool
		text    string
	}
	answers := make(chan answer, len(members))
	for i, member := range members {
		p.mu.Lock()
		m := p.machines[member.GetWorker()]
		p.mu.Unlock()
		if m == nil {
			answers <- answer{worker: member.GetWorker(), text: "not listed"}
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			response, err := call(ctx, m.client, i)
			text := response.GetRefusal().String()
			if err != nil {
				text = err.Error()
			}
			if response.GetRefusal() == wire.WorkerRefusal_WORKER_REFUSAL_STALE_EPOCH {
				p.Leadership.Fenced(p.epoch)
			}
			answers <- answer{worker: m.name, applied: response.GetApplied(), text: text}
		}()
	}
	for range members {
		if got := <-answers; got.applied {
			agreed++
		} else {
			refused = append(refused, got.worker+": "+got.text)
		}
	}
	sort.Strings(refused)
	return agreed, refused
}

func (p *Planner) start(ctx context.Context, epoch int64, j *job) {
	p.each(ctx, j.Members, func(ctx context.Context, worker wire.Worker, _ int) (*wire.WorkerResponse, error) {
		return worker.Start(ctx, p.taskRequest(j, epoch))
	})
	p.observeSoon()
}

// observeSoon has the next pass ask the workers again.
func (p *Planner) observeSoon() {
	p.mu.Lock()
	p.renewedAt = time.Time{}
	p.mu.Unlock()
}

func (p *Planner) stop(ctx context.Context, epoch int64, j *job, checkpoint bool) int {
	stopped, _ := p.each(ctx, j.Members, func(ctx context.Context, worker wire.Worker, _ int) (*wire.WorkerResponse, error) {
		return worker.Stop(ctx, &wire.StopRequest{Epoch: epoch, Job: j.GetId(), Attempt: j.GetAttempt(), Checkpoint: checkpoint})
	})
	return stopped
}

// occupied returns the grid with every active job on it. The lock is held.
func (p *Planner) occupied(now time.Time) *placement.Grid {
	grid := p.grid(now)
	for _, j := range p.jobs {
		if active(j.GetState()) {
			grid.Occupy(p.holder(j), j.placed())
		}
	}
	p.occupyStrays(grid)
	return grid
}

// occupyStrays marks what workers still hold for attempts that are over, until
// their leases lapse. The lock is held.
func (p *Planner) occupyStrays(grid *placement.Grid) {
	for _, m := range p.machines {
		for _, task := range m.status.GetTasks() {
			j, ok := p.jobs[task.GetJob()]
			current := ok && active(j.GetState()) && j.GetAttempt() == task.GetAttempt()
			if current || !holding(task.GetState()) {
				continue
			}
			stray := &job{JobRecord: &wire.JobRecord{Members: []*wire.Member{{Worker: m.name, Accelerators: task.GetAccelerators()}}}}
			grid.Occupy(placement.Holder{Job: task.GetJob() + " (ending)", Movable: true}, stray.placed())
		}
	}
}

// guarantees returns the shapes that the rules guarantee in this zone.
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

// place starts the waiting jobs that fit, in order of urgency and then of share.
func (p *Planner) place(ctx context.Context, epoch int64) {
	now := time.Now()
	p.mu.Lock()
	grid := p.occupied(now)
	if p.Policy == placement.KeepHoles {
		p.homes, p.short = grid.AssignHomes(p.guarantees(), p.homes)
	}
	waiting := p.queue()
	p.mu.Unlock()
	head := true
	for _, j := range waiting {
		if now.Before(j.notBefore) {
			continue
		}
		req := p.request(j)
		req.Head = head
		if !p.allowed(j) {
			p.explain(j, "its rule's limit of accelerators is reached")
			continue
		}
		if len(grid.Workers) > 0 && !grid.Possible(req) {
			p.refuse(ctx, now, j)
			continue
		}
		found, reason := grid.Place(p.Policy, req)
		if reason != "" {
			p.explain(j, "%s", reason)
			if head && now.Sub(j.GetSubmitted().AsTime()) > holdAfter {
				grid.Hold(req)
			}
			head = false
			continue
		}
		if p.launch(ctx, epoch, grid, j, found) {
			j.tries = 0
		} else {
			j.postpone(now)
		}
		// Even if it did not start, nothing else takes its place in this pass.
		grid.Occupy(p.holder(j), found.Members)
	}
}

// refuse ends a job that can't run in the zone as it is and as it was declared.
func (p *Planner) refuse(ctx context.Context, now time.Time, j *job) {
	if now.Sub(j.heldSince) < p.TaskLease || !p.counted() {
		p.explain(j, "the zone's workers are being counted")
		return
	}
	p.change(ctx, j, func(next *job) {
		next.end(now, wire.JobState_JOB_STATE_REFUSED, "no %d adjacent workers of zone %s have %d accelerators each beside the guarantees of others, even when idle; ask for less or for another zone",
			next.GetWorkers(), p.Zone, next.GetAcceleratorsPerWorker())
	})
}

// counted reports whether every listed worker has reported in this epoch.
func (p *Planner) counted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.status == nil {
			return false
		}
	}
	return true
}

// explain keeps why a job waits.
func (p *Planner) explain(j *job, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.reason = fmt.Sprintf(format, args...)
}

// queue returns the waiting jobs: urgent ones first, then the organisation that
// holds least for its weight, then the oldest. The lock is held.
func (p *Planner) queue() []*job {
	held := p.usage()
	load := func(j *job) float64 {
		return float64(held[j.GetOrganisation()]) / max(p.Rules().Organisations[j.GetOrganisation()].GetWeight(), 0.001)
	}
	out := p.sorted(func(j *job) bool { return j.GetState() == wire.JobState_JOB_STATE_WAITING && !j.GetCancelled() })
	sort.SliceStable(out, func(a, b int) bool {
		if ra, rb := p.request(out[a]).Rank, p.request(out[b]).Rank; ra != rb {
			return ra < rb
		}
		return load(out[a]) < load(out[b])
	})
	return out
}

// usage returns the accelerators that each organisation holds.
func (p *Planner) usage() map[string]int32 {
	out := map[string]int32{}
	for _, j := range p.jobs {
		if active(j.GetState()) {
			out[j.GetOrganisation()] += j.GetWorkers() * j.GetAcceleratorsPerWorker()
		}
	}
	return out
}

// allowed checks the rule's limit of accelerators.
func (p *Planner) allowed(j *job) bool {
	rule, ok := p.Rules().Permits(j.GetOrganisation(), j.GetClass())
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

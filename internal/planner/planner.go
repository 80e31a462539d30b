// Package planner schedules the gang jobs of one availability zone and supervises them until
// they end. It keeps its state in memory only: a successor rebuilds it from the job records in
// the store and the workers' reports.
package planner

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/leadership"
	"github.com/eelgrasstide/eelgrasstide/internal/panics"
	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// Prefix is the prefix of the store keys of jobs. The zone follows it.
	Prefix      = "job/"
	callTimeout = time.Second
	saveTimeout = 3 * time.Second
	// passesPerPeriod is the maximum number of passes in a Period.
	passesPerPeriod = 5
	// renewalsPerLease is the number of renewals within a task's lease.
	renewalsPerLease = 3
	// holdAfter is how long the job at the head of the queue waits before accelerators are held
	// for it.
	holdAfter    = 10 * time.Second
	jobRetention = 6 * time.Hour
	watchWait    = 20 * time.Second
	reloadPeriod = 30 * time.Second
)

// Planner plans one zone while this host holds the zone's Leadership. Set the exported fields
// before Run.
type Planner struct {
	Zone       string
	Store      *store.Store
	Leadership *leadership.Leadership
	// Rules returns the rules in force.
	Rules func() *rules.Rules
	// Cordon returns the record of this zone's cordon, or nil if the zone is not cordoned. A nil function
	// means that it never is.
	Cordon func() *wire.CordonRecord
	// Worker returns a client of the worker at an address.
	Worker func(address string) wire.Worker
	// Period is the time between two planning passes without a Wake.
	Period time.Duration
	// TaskLease is how long a task runs, or keeps its reservation, without a renewal.
	TaskLease time.Duration
	Policy    placement.Policy

	mu    sync.Mutex
	epoch int64
	jobs  map[string]*job
	// newEntries holds entries from the watch until the next pass merges them, as only a pass
	// changes jobs.
	newEntries []*wire.Entry
	workers    map[string]*workerState
	homes      placement.Homes
	short      []placement.Shortfall
	// renewedAt is when the leases were last renewed; zero makes the next pass renew them.
	renewedAt time.Time
	loadedAt  time.Time
	wake      chan struct{}
	passes    int64
	passTime  time.Duration
}

// Run makes a planning pass once a Period and after each Wake, until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	p.mu.Lock()
	p.prepare()
	p.mu.Unlock()
	tick := time.NewTicker(p.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-p.wake:
		}
		p.Step(ctx)
		// The records that a pass writes wake the next one; the pause limits the rate of passes.
		pause(ctx, p.Period/passesPerPeriod)
	}
}

// prepare creates the maps and the wake channel if they are missing. The lock is held.
func (p *Planner) prepare() {
	if p.jobs == nil {
		p.jobs, p.workers, p.wake = map[string]*job{}, map[string]*workerState{}, make(chan struct{}, 1)
	}
}

// Watch passes changes of the zone's job records to the planner while this host plans, until ctx
// ends. At the start of each epoch it reads all records.
func (p *Planner) Watch(ctx context.Context) error {
	var after, epoch int64
	for ctx.Err() == nil {
		current, _ := p.Leadership.Epoch()
		if current == 0 || current != epoch {
			epoch, after = current, 0
			pause(ctx, p.Period)
			if current == 0 {
				continue
			}
		}
		changes, err := p.Store.Watch(ctx, p.prefix(), after, watchWait)
		if err != nil {
			pause(ctx, p.Period)
			continue
		}
		after = max(after, changes.GetRevision())
		p.mu.Lock()
		p.prepare()
		p.newEntries = append(p.newEntries, changes.GetEntries()...)
		p.mu.Unlock()
		p.Wake()
	}
	return ctx.Err()
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Wake requests a planning pass without waiting for the end of the Period.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Planner) prefix() string { return Prefix + p.Zone + "/" }

// mergeEntries adds jobs from the store's entries and replaces records of older revisions. The
// lock is held.
func (p *Planner) mergeEntries(entries []*wire.Entry) {
	for _, entry := range entries {
		record := &wire.JobRecord{}
		if proto.Unmarshal(entry.GetValue(), record) != nil {
			continue
		}
		known, ok := p.jobs[record.GetId()]
		switch {
		case !ok:
			p.jobs[record.GetId()] = &job{JobRecord: record, revision: entry.GetRevision(), stateSince: time.Now()}
		case entry.GetRevision() > known.revision:
			known.JobRecord, known.revision = record, entry.GetRevision()
		}
	}
}

// UpdateWorkers replaces the zone's workers with those in the platform's list. A worker that is no
// longer listed is kept until it is lost.
func (p *Planner) UpdateWorkers(listed []*wire.Listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare()
	seen := map[string]bool{}
	for _, entry := range listed {
		if entry.GetKind() != wire.ListedKind_LISTED_KIND_WORKER || entry.GetZone() != p.Zone {
			continue
		}
		seen[entry.GetName()] = true
		w, ok := p.workers[entry.GetName()]
		if !ok || w.address != entry.GetAddress() {
			w = &workerState{name: entry.GetName(), address: entry.GetAddress(), client: p.Worker(entry.GetAddress())}
			p.workers[entry.GetName()] = w
		}
		w.leaving = entry.GetLeaving()
	}
	for name, w := range p.workers {
		if !seen[name] && w.lost(time.Now(), p.TaskLease) {
			delete(p.workers, name)
		}
	}
}

// Step makes one pass: it renews leases, updates active jobs and places waiting ones. Without a
// valid leadership lease it sends no commands except renewals.
func (p *Planner) Step(ctx context.Context) {
	epoch, leaseValid := p.Leadership.Epoch()
	if !p.enterEpoch(epoch) {
		return
	}
	// Until the records have been listed once in this epoch, the jobs are not known.
	if p.reload(ctx) != nil && p.loadedAt.IsZero() {
		return
	}
	if time.Since(p.renewedAt) >= p.TaskLease/renewalsPerLease {
		p.renew(ctx, epoch)
	}
	if !leaseValid {
		return
	}
	start := time.Now()
	p.review(ctx, epoch)
	p.forgetEndedTasks(ctx, epoch)
	p.place(ctx, epoch)
	p.mu.Lock()
	p.passes++
	p.passTime += time.Since(start)
	p.mu.Unlock()
}

// enterEpoch discards the state of an earlier epoch and reports whether this host plans.
func (p *Planner) enterEpoch(epoch int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare()
	if epoch != p.epoch {
		p.newEntries = nil
		p.epoch, p.jobs, p.homes, p.loadedAt, p.renewedAt = epoch, map[string]*job{}, nil, time.Time{}, time.Time{}
		for _, w := range p.workers {
			w.status = nil
		}
	}
	return epoch != 0
}

// reload merges the entries from the watch. It also lists every job record at the start of an
// epoch and then once per reloadPeriod.
func (p *Planner) reload(ctx context.Context) error {
	p.mu.Lock()
	p.mergeEntries(p.newEntries)
	p.newEntries = nil
	p.mu.Unlock()
	if time.Since(p.loadedAt) < reloadPeriod {
		return nil
	}
	listed, err := p.Store.List(ctx, store.Serving, p.prefix())
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mergeEntries(listed.GetEntries())
	p.loadedAt = time.Now()
	return nil
}

// renew sends each worker one request that renews all its leases, and records the reports.
func (p *Planner) renew(ctx context.Context, epoch int64) {
	now := time.Now()
	type call struct {
		worker *workerState
		req    *wire.RenewRequest
	}
	var calls []call
	p.mu.Lock()
	for _, worker := range p.workers {
		calls = append(calls, call{worker: worker, req: &wire.RenewRequest{Epoch: epoch, Tasks: p.renewals(now, worker, epoch)}})
	}
	p.renewedAt = now
	p.mu.Unlock()
	done := make(chan bool, len(calls))
	for _, call := range calls {
		go func() { done <- p.renewWorker(ctx, call.worker, call.req) }()
	}
	for range calls {
		if stale := <-done; stale {
			p.Leadership.AbandonEpoch(epoch)
		}
	}
}

// renewWorker renews the leases on one worker and records its report. It returns whether the
// worker refused the epoch as stale.
func (p *Planner) renewWorker(ctx context.Context, w *workerState, req *wire.RenewRequest) (stale bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := panics.Guard("planner: renewal", func() (*wire.WorkerStatus, error) { return w.client.Renew(ctx, req) })
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if status.GetRefusal() == wire.WorkerRefusal_WORKER_REFUSAL_STALE_EPOCH {
		return true
	}
	w.status, w.lastReport = status, time.Now()
	return false
}

// renewals returns the leases to renew on a worker: those of active gangs of which every
// member's worker has reported lately and that are neither cancelled nor being suspended. The
// lock is held.
func (p *Planner) renewals(now time.Time, w *workerState, epoch int64) []*wire.TaskRequest {
	var out []*wire.TaskRequest
	for _, j := range p.jobs {
		if !active(j.GetState()) || j.GetCancelled() || j.stopping || !p.allMembersReported(now, j) {
			continue
		}
		for _, member := range j.Members {
			if member.GetWorker() == w.name {
				out = append(out, p.taskRequest(j, epoch))
			}
		}
	}
	return out
}

// Shortfalls returns the guarantees that can't be claimed in full at present.
func (p *Planner) Shortfalls() []placement.Shortfall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]placement.Shortfall(nil), p.short...)
}

// WorkerViews returns the workers' state for operators, sorted by name.
func (p *Planner) WorkerViews() []*wire.TargetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare()
	now := time.Now()
	inventory := p.occupiedInventory(now)
	free := map[string]int32{}
	for _, worker := range inventory.Workers {
		for _, slot := range worker.Slots {
			if slot.Job == "" {
				free[worker.Name]++
			}
		}
	}
	out := []*wire.TargetView{}
	for _, w := range p.workers {
		view := &wire.TargetView{Name: w.name, Zone: p.Zone, Kind: "worker", Address: w.address, State: "up", Rack: w.status.GetRack(), FreeAccelerators: free[w.name]}
		switch {
		case w.leaving || w.status.GetLeaving():
			view.State = "leaving"
		case now.Before(w.quarantinedUntil):
			view.State = "quarantined"
		case p.cordon() != nil:
			view.State = "cordoned"
		case w.lost(now, p.TaskLease):
			view.State = "lost"
		}
		out = append(out, view)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

// Explain returns a job's history, why it waits and its organisation's shortfalls. It returns
// nil if this host does not know the job.
func (p *Planner) Explain(id string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.jobs[id]
	if !ok {
		return nil
	}
	out := append([]string(nil), known.GetHistory()...)
	if known.waitReason != "" && known.GetState() == wire.JobState_JOB_STATE_WAITING {
		out = append(out, "waits: "+known.waitReason)
	}
	for _, short := range p.short {
		if short.Organisation == known.GetOrganisation() {
			out = append(out, fmt.Sprintf("guarantee %s can't be claimed in full: %s", short.Name(), short.Reason))
		}
	}
	return out
}

// PassStats returns the number of planning passes and their mean duration.
func (p *Planner) PassStats() (count int64, mean time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passes == 0 {
		return 0, 0
	}
	return p.passes, p.passTime / time.Duration(p.passes)
}

// JobKey returns the store key of a job. The ID has the form ZONE:REST.
func JobKey(id string) string {
	zone, _, _ := strings.Cut(id, ":")
	return Prefix + zone + "/" + id
}

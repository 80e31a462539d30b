// Package planner places the gang jobs of one availability zone and looks after
// them. Its state is soft: a successor rebuilds it from the store's job records
// and the workers' reports.
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
	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// Prefix is where the store holds the jobs, by zone.
	Prefix      = "job/"
	callTimeout = time.Second
	saveTimeout = 3 * time.Second
	// passShare is the largest number of passes in a Period.
	passShare = 5
	// renewShare is the number of renewals in a task's lease.
	renewShare = 3
	// holdAfter is how long the head of the queue waits before accelerators are held for it.
	holdAfter    = 10 * time.Second
	jobRetention = 6 * time.Hour
	watchWait    = 20 * time.Second
	reloadPeriod = 30 * time.Second
)

// Planner plans one zone while Leadership names this host. Set the exported
// fields before Run.
type Planner struct {
	Zone       string
	Store      *store.Store
	Leadership *leadership.Leadership
	Rules      func() *rules.Rules
	// Worker returns the client of a worker.
	Worker func(address string) wire.Worker
	Period time.Duration
	// TaskLease is how long a task runs without a renewal.
	TaskLease time.Duration
	Policy    placement.Policy

	mu    sync.Mutex
	epoch int64
	jobs  map[string]*job
	// inbox holds records from the watch until the next pass, the only writer of jobs.
	inbox     []*wire.Entry
	machines  map[string]*machine
	homes     placement.Homes
	short     []placement.Shortfall
	renewedAt time.Time
	loadedAt  time.Time
	wake      chan struct{}
	passes    int64
	passTime  time.Duration
}

// Run plans until ctx ends.
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
		// A pass writes records that wake the next one; the pause bounds their rate.
		pause(ctx, p.Period/passShare)
	}
}

func (p *Planner) prepare() {
	if p.jobs == nil {
		p.jobs, p.machines, p.wake = map[string]*job{}, map[string]*machine{}, make(chan struct{}, 1)
	}
}

// Watch follows the zone's job records while this host plans, until ctx ends.
func (p *Planner) Watch(ctx context.Context) error {
	var after, epoch int64
	for ctx.Err() == nil {
		now, _ := p.Leadership.Epoch()
		if now == 0 || now != epoch {
			epoch, after = now, 0
			pause(ctx, p.Period)
			if now == 0 {
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
		p.inbox = append(p.inbox, changes.GetEntries()...)
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

// Wake asks for a planning pass at once.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Planner) prefix() string { return Prefix + p.Zone + "/" }

// take merges newer records from the store. The lock is held.
func (p *Planner) take(entries []*wire.Entry) {
	for _, entry := range entries {
		record := &wire.JobRecord{}
		if proto.Unmarshal(entry.GetValue(), record) != nil {
			continue
		}
		held, ok := p.jobs[record.GetId()]
		switch {
		case !ok:
			p.jobs[record.GetId()] = &job{JobRecord: record, revision: entry.GetRevision(), heldSince: time.Now()}
		case entry.GetRevision() > held.revision:
			held.JobRecord, held.revision = record, entry.GetRevision()
		}
	}
}

// Workers takes the zone's workers from the platform's list.
func (p *Planner) Workers(listed []*wire.Listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare()
	seen := map[string]bool{}
	for _, found := range listed {
		if found.GetKind() != wire.ListedKind_LISTED_KIND_WORKER || found.GetZone() != p.Zone {
			continue
		}
		seen[found.GetName()] = true
		m, ok := p.machines[found.GetName()]
		if !ok || m.address != found.GetAddress() {
			m = &machine{name: found.GetName(), address: found.GetAddress(), client: p.Worker(found.GetAddress())}
			p.machines[found.GetName()] = m
		}
		m.leaving = found.GetLeaving()
	}
	for name, m := range p.machines {
		if !seen[name] && m.lost(time.Now(), p.TaskLease) {
			delete(p.machines, name)
		}
	}
}

// Step makes one pass: renew what runs, end what is over, place what waits.
func (p *Planner) Step(ctx context.Context) {
	epoch, mayOrder := p.Leadership.Epoch()
	if !p.enter(epoch) {
		return
	}
	if p.reload(ctx) != nil && p.loadedAt.IsZero() {
		return
	}
	if time.Since(p.renewedAt) >= p.TaskLease/renewShare {
		p.renew(ctx, epoch)
	}
	if !mayOrder {
		return
	}
	start := time.Now()
	p.review(ctx, epoch)
	p.sweep(ctx, epoch)
	p.place(ctx, epoch)
	p.mu.Lock()
	p.passes++
	p.passTime += time.Since(start)
	p.mu.Unlock()
}

// enter forgets the state of an earlier epoch and reports whether this host plans.
func (p *Planner) enter(epoch int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare()
	if epoch != p.epoch {
		p.inbox = nil
		p.epoch, p.jobs, p.homes, p.loadedAt, p.renewedAt = epoch, map[string]*job{}, nil, time.Time{}, time.Time{}
		for _, m := range p.machines {
			m.status = nil
		}
	}
	return epoch != 0
}

// reload reads every job record at the start of an epoch and now and then after.
func (p *Planner) reload(ctx context.Context) error {
	p.mu.Lock()
	p.take(p.inbox)
	p.inbox = nil
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
	p.take(listed.GetEntries())
	p.loadedAt = time.Now()
	return nil
}

// renew sends each worker one message with all its leases and takes its report.
func (p *Planner) renew(ctx context.Context, epoch int64) {
	now := time.Now()
	type call struct {
		m   *machine
		req *wire.RenewRequest
	}
	var calls []call
	p.mu.Lock()
	for _, m := range p.machines {
		calls = append(calls, call{m: m, req: &wire.RenewRequest{Epoch: epoch, Tasks: p.renewals(now, m, epoch)}})
	}
	p.renewedAt = now
	p.mu.Unlock()
	done := make(chan bool, len(calls))
	for _, call := range calls {
		go func() { done <- p.report(ctx, call.m, call.req) }()
	}
	for range calls {
		if stale := <-done; stale {
			p.Leadership.Fenced(epoch)
		}
	}
}

func (p *Planner) report(ctx context.Context, m *machine, req *wire.RenewRequest) (stale bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := m.client.Renew(ctx, req)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if status.GetRefusal() == wire.WorkerRefusal_WORKER_REFUSAL_STALE_EPOCH {
		return true
	}
	m.status, m.seen = status, time.Now()
	return false
}

// renewals lists the leases of whole gangs on a worker.
func (p *Planner) renewals(now time.Time, m *machine, epoch int64) []*wire.TaskRequest {
	var out []*wire.TaskRequest
	for _, j := range p.jobs {
		if !active(j.GetState()) || j.GetCancelled() || j.stopping || !p.confirmed(now, j) {
			continue
		}
		for _, member := range j.Members {
			if member.GetWorker() == m.name {
				out = append(out, p.taskRequest(j, epoch))
			}
		}
	}
	return out
}

// Shortfalls returns the guarantees without a whole home.
func (p *Planner) Shortfalls() []placement.Shortfall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]placement.Shortfall(nil), p.short...)
}

// Views describes the workers for operators.
func (p *Planner) Views() []*wire.TargetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare()
	now := time.Now()
	grid := p.occupied(now)
	free := map[string]int32{}
	for _, worker := range grid.Workers {
		for _, slot := range worker.Slots {
			if slot.Job == "" {
				free[worker.Name]++
			}
		}
	}
	out := []*wire.TargetView{}
	for _, m := range p.machines {
		view := &wire.TargetView{Name: m.name, Zone: p.Zone, Kind: "worker", Address: m.address, State: "up", Rack: m.status.GetRack(), FreeAccelerators: free[m.name]}
		switch {
		case m.leaving || m.status.GetLeaving():
			view.State = "leaving"
		case now.Before(m.quarantined):
			view.State = "quarantined"
		case m.lost(now, p.TaskLease):
			view.State = "lost"
		}
		out = append(out, view)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

// Explain says why a job waits or how it went; empty when this host does not plan it.
func (p *Planner) Explain(id string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.jobs[id]
	if !ok {
		return nil
	}
	out := append([]string(nil), held.GetHistory()...)
	if held.reason != "" && held.GetState() == wire.JobState_JOB_STATE_WAITING {
		out = append(out, "waits: "+held.reason)
	}
	for _, short := range p.short {
		if short.Organisation == held.GetOrganisation() {
			out = append(out, fmt.Sprintf("guarantee %s is short: %s", short.Name(), short.Reason))
		}
	}
	return out
}

// Passes returns the number of planning passes and their mean time.
func (p *Planner) Passes() (count int64, mean time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passes == 0 {
		return 0, 0
	}
	return p.passes, p.passTime / time.Duration(p.passes)
}

// JobKey returns where the store holds a job. The ID is ZONE:REST.
func JobKey(id string) string {
	zone, _, _ := strings.Cut(id, ":")
	return Prefix + zone + "/" + id
}

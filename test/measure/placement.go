package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
)

// site is the shape of one deployment's zone.
type site struct {
	name                         string
	workers, perRack, perWorker  int
	guaranteeWorkers, jobs       int
	meanMinutes, arrivalsPerHour float64
}

func sites() []site {
	return []site{
		{name: "slaegtsnavn", workers: 50, perRack: 8, perWorker: 8, guaranteeWorkers: 4, jobs: 1500, meanMinutes: 150, arrivalsPerHour: 24},
		{name: "huallaga", workers: 50, perRack: 6, perWorker: 8, guaranteeWorkers: 6, jobs: 1500, meanMinutes: 150, arrivalsPerHour: 24},
	}
}

// batch is one job of the workload. The same workload is given to each policy.
type batch struct {
	id       string
	arrives  float64
	minutes  float64
	req      placement.Request
	started  float64
	members  []placement.Member
	finishes float64
}

func workload(at site, seed uint64) []*batch {
	random := rand.New(rand.NewPCG(seed, uint64(at.perRack)))
	var out []*batch
	now := 0.0
	for i := range at.jobs {
		now += random.ExpFloat64() * 60 / at.arrivalsPerHour
		job := &batch{id: fmt.Sprintf("j%d", i), arrives: now, minutes: random.ExpFloat64() * at.meanMinutes}
		job.req = placement.Request{Organisation: fmt.Sprintf("o%d", random.IntN(4)), Workers: 1, PerWorker: 1 + random.IntN(4), Rank: 3, Movable: random.IntN(2) == 0}
		switch kind := random.IntN(20); {
		case kind == 0:
			job.req.Workers, job.req.PerWorker = at.perRack, at.perWorker
		case kind < 4:
			job.req.Workers, job.req.PerWorker = 2+random.IntN(3), at.perWorker
		}
		out = append(out, job)
	}
	return out
}

// replay is an event replay of the placement decisions alone: no hosts, no wire.
type replay struct {
	site    site
	policy  placement.Policy
	grid    *placement.Grid
	homes   placement.Homes
	waiting []*batch
	running []*batch
	waits   []float64
	large   []float64
	rack    []float64
	used    []float64
	reclaim []float64
	claims  int
}

func newGrid(workers, perRack, perWorker int) *placement.Grid {
	var out []*placement.Worker
	for i := range workers {
		out = append(out, &placement.Worker{Name: fmt.Sprintf("w%04d", i), Rack: i / perRack, Slots: make([]placement.Slot, perWorker)})
	}
	return placement.New(out)
}

func (r *replay) holder(job *batch) placement.Holder {
	return placement.Holder{Job: job.id, Owner: job.req.Organisation, Movable: job.req.Movable, Rank: job.req.Rank}
}

// advance ends the jobs that finish before a time, and places what waits after each.
func (r *replay) advance(until float64) {
	for {
		next := -1
		for i, job := range r.running {
			if job.finishes <= until && (next < 0 || job.finishes < r.running[next].finishes) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		job := r.running[next]
		r.running = append(r.running[:next], r.running[next+1:]...)
		r.grid.Release(r.holder(job), job.members)
		r.place(job.finishes)
	}
}

func (r *replay) place(now float64) {
	if r.policy == placement.KeepHoles {
		r.homes, _ = r.grid.AssignHomes([]placement.Guarantee{{Organisation: "guaranteed", Shape: "g", Workers: r.site.guaranteeWorkers, PerWorker: r.site.perWorker}}, r.homes)
	}
	var left []*batch
	for _, job := range r.waiting {
		found, reason := r.grid.Place(r.policy, job.req)
		if reason != "" || len(found.Victims) > 0 {
			left = append(left, job)
			continue
		}
		job.started, job.finishes, job.members = now, now+job.minutes, found.Members
		r.grid.Occupy(r.holder(job), found.Members)
		r.running = append(r.running, job)
		r.waits = append(r.waits, now-job.arrives)
	}
	r.waiting = left
	share, free := r.grid.Fragmentation(4, r.site.perWorker)
	if free > 0 {
		r.large = append(r.large, share)
		share, _ = r.grid.Fragmentation(r.site.perRack, r.site.perWorker)
		r.rack = append(r.rack, share)
	}
	r.used = append(r.used, 1-float64(free)/float64(r.site.workers*r.site.perWorker))
}

// claim asks whether the guaranteed shape could start at once.
func (r *replay) claim() {
	r.claims++
	_, reason := r.grid.Place(r.policy, placement.Request{Organisation: "guaranteed", Workers: r.site.guaranteeWorkers, PerWorker: r.site.perWorker, Rank: 1})
	if reason == "" {
		r.reclaim = append(r.reclaim, 1)
	}
}

func measurePlacement(p *printer) {
	names := map[placement.Policy]string{placement.FirstFit: "firstFit", placement.BestFit: "bestFitWithoutHomes", placement.KeepHoles: ""}
	for _, at := range sites() {
		for _, policy := range []placement.Policy{placement.KeepHoles, placement.BestFit, placement.FirstFit} {
			r := &replay{site: at, policy: policy, grid: newGrid(at.workers, at.perRack, at.perWorker)}
			for i, job := range workload(at, p.seed) {
				r.advance(job.arrives)
				r.waiting = append(r.waiting, job)
				r.place(job.arrives)
				if i%10 == 0 {
					r.claim()
				}
			}
			prefix, baseline := "placement."+at.name+".", names[policy]
			p.print(prefix+"fragmentationFourWorkers", "share", mean(r.large), baseline)
			p.print(prefix+"fragmentationRack", "share", mean(r.rack), baseline)
			p.print(prefix+"utilisation", "share", mean(r.used), baseline)
			p.print(prefix+"waitMean", "min", mean(r.waits), baseline)
			p.print(prefix+"waitP99", "min", quantile(r.waits, 0.99), baseline)
			p.print(prefix+"guaranteeClaimable", "share", float64(len(r.reclaim))/float64(r.claims), baseline)
			p.print(prefix+"jobsNotStarted", "jobs", float64(len(r.waiting)), baseline)
		}
	}
	measureDecision(p)
}

// measureDecision times one placement on a zone that is nearly full.
func measureDecision(p *printer) {
	for _, workers := range []int{20, 41, 81, 162} {
		grid := newGrid(workers, 8, 8)
		random := rand.New(rand.NewPCG(p.seed, 5))
		for i := range workers * 6 {
			req := placement.Request{Organisation: "b", Workers: 1, PerWorker: 1, Movable: random.IntN(2) == 0, Rank: 3}
			if found, reason := grid.Place(placement.KeepHoles, req); reason == "" {
				grid.Occupy(placement.Holder{Job: fmt.Sprint(i), Owner: "b", Movable: req.Movable, Rank: 3}, found.Members)
			}
		}
		const rounds = 200
		start := time.Now()
		for range rounds {
			grid.Place(placement.KeepHoles, placement.Request{Organisation: "a", Workers: 4, PerWorker: 8, Rank: 1})
		}
		p.print(fmt.Sprintf("placement.decision.%dWorkers", workers), "ms", time.Since(start).Seconds()*1000/rounds, "")
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	if len(values) == 0 {
		return 0
	}
	return sum / float64(len(values))
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

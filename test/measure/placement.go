package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
)

// deployment describes the zone and the workload of one simulated deployment: perWorker is the
// number of accelerators of each worker, guaranteeWorkers the number of whole workers of the
// guaranteed shape, and meanMinutes the mean run time of the jobs.
type deployment struct {
	name                               string
	workers, workersPerRack, perWorker int
	guaranteeWorkers, jobs             int
	meanMinutes, arrivalsPerHour       float64
}

func deployments() []deployment {
	return []deployment{
		{name: "slaegtsnavn", workers: 50, workersPerRack: 8, perWorker: 8, guaranteeWorkers: 4, jobs: 1500, meanMinutes: 150, arrivalsPerHour: 24},
		{name: "huallaga", workers: 50, workersPerRack: 6, perWorker: 8, guaranteeWorkers: 6, jobs: 1500, meanMinutes: 150, arrivalsPerHour: 24},
	}
}

// simulatedJob is one job of the workload. Times are in minutes of simulated time.
type simulatedJob struct {
	id       string
	arrives  float64
	minutes  float64
	req      placement.Request
	started  float64
	members  []placement.Member
	finishes float64
}

// workload returns the jobs of a deployment in the order of their arrival. It depends only on
// the deployment and the seed, so that each policy gets the same workload.
func workload(d deployment, seed uint64) []*simulatedJob {
	random := rand.New(rand.NewPCG(seed, uint64(d.workersPerRack)))
	var out []*simulatedJob
	now := 0.0
	for i := range d.jobs {
		now += random.ExpFloat64() * 60 / d.arrivalsPerHour
		job := &simulatedJob{id: fmt.Sprintf("j%d", i), arrives: now, minutes: random.ExpFloat64() * d.meanMinutes}
		job.req = placement.Request{Organisation: fmt.Sprintf("o%d", random.IntN(4)), Workers: 1, PerWorker: 1 + random.IntN(4), Rank: 3, Preemptible: random.IntN(2) == 0}
		// 5 % of the jobs need a whole rack, 15 % need 2 to 4 whole workers, and the others 1
		// to 4 accelerators of one worker.
		switch kind := random.IntN(20); {
		case kind == 0:
			job.req.Workers, job.req.PerWorker = d.workersPerRack, d.perWorker
		case kind < 4:
			job.req.Workers, job.req.PerWorker = 2+random.IntN(3), d.perWorker
		}
		out = append(out, job)
	}
	return out
}

// placementSimulation runs a workload in simulated time. It makes the placement decisions
// alone, without hosts or network calls. The slices hold the values of one metric each, as
// place and checkClaim record them.
type placementSimulation struct {
	deployment        deployment
	policy            placement.Policy
	inventory         *placement.Inventory
	homes             placement.Homes
	waiting           []*simulatedJob
	running           []*simulatedJob
	waits             []float64
	fragmentationFour []float64
	fragmentationRack []float64
	utilisation       []float64
	claimable         []float64
	claims            int
}

// newInventory returns an inventory of idle workers.
func newInventory(workers, workersPerRack, perWorker int) *placement.Inventory {
	var out []*placement.Worker
	for i := range workers {
		out = append(out, &placement.Worker{Name: fmt.Sprintf("w%04d", i), Rack: i / workersPerRack, Slots: make([]placement.Slot, perWorker)})
	}
	return placement.New(out)
}

func (s *placementSimulation) holder(job *simulatedJob) placement.Holder {
	return placement.Holder{Job: job.id, Owner: job.req.Organisation, Preemptible: job.req.Preemptible, Rank: job.req.Rank}
}

// advance ends the jobs that finish by a time, in the order of their ends. After each end it
// places the waiting jobs.
func (s *placementSimulation) advance(until float64) {
	for {
		next := -1
		for i, job := range s.running {
			if job.finishes <= until && (next < 0 || job.finishes < s.running[next].finishes) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		job := s.running[next]
		s.running = append(s.running[:next], s.running[next+1:]...)
		s.inventory.Release(s.holder(job), job.members)
		s.place(job.finishes)
	}
}

// place starts the waiting jobs that fit without preemption, and records fragmentation and
// utilisation.
func (s *placementSimulation) place(now float64) {
	if s.policy == placement.BestFitWithHomes {
		s.homes, _ = s.inventory.AssignHomes([]placement.Guarantee{{Organisation: "guaranteed", Shape: "g", Workers: s.deployment.guaranteeWorkers, PerWorker: s.deployment.perWorker}}, s.homes)
	}
	var stillWaiting []*simulatedJob
	for _, job := range s.waiting {
		placed, reason := s.inventory.Place(s.policy, job.req)
		if reason != "" || len(placed.Victims) > 0 {
			stillWaiting = append(stillWaiting, job)
			continue
		}
		job.started, job.finishes, job.members = now, now+job.minutes, placed.Members
		s.inventory.Occupy(s.holder(job), placed.Members)
		s.running = append(s.running, job)
		s.waits = append(s.waits, now-job.arrives)
	}
	s.waiting = stillWaiting
	share, free := s.inventory.Fragmentation(4, s.deployment.perWorker)
	if free > 0 {
		s.fragmentationFour = append(s.fragmentationFour, share)
		share, _ = s.inventory.Fragmentation(s.deployment.workersPerRack, s.deployment.perWorker)
		s.fragmentationRack = append(s.fragmentationRack, share)
	}
	s.utilisation = append(s.utilisation, 1-float64(free)/float64(s.deployment.workers*s.deployment.perWorker))
}

// checkClaim checks whether a job of the guaranteed shape could start at once, with preemption
// if the policy has it, and counts the result.
func (s *placementSimulation) checkClaim() {
	s.claims++
	_, reason := s.inventory.Place(s.policy, placement.Request{Organisation: "guaranteed", Workers: s.deployment.guaranteeWorkers, PerWorker: s.deployment.perWorker, Rank: 1})
	if reason == "" {
		s.claimable = append(s.claimable, 1)
	}
}

// measurePlacement compares the placement policy in use with two baselines.
func measurePlacement(p *printer) {
	baselines := map[placement.Policy]string{placement.FirstFit: "firstFit", placement.BestFitWithoutHomes: "bestFitWithoutHomes", placement.BestFitWithHomes: ""}
	for _, d := range deployments() {
		for _, policy := range []placement.Policy{placement.BestFitWithHomes, placement.BestFitWithoutHomes, placement.FirstFit} {
			s := &placementSimulation{deployment: d, policy: policy, inventory: newInventory(d.workers, d.workersPerRack, d.perWorker)}
			for i, job := range workload(d, p.seed) {
				s.advance(job.arrives)
				s.waiting = append(s.waiting, job)
				s.place(job.arrives)
				if i%10 == 0 {
					s.checkClaim()
				}
			}
			prefix, baseline := "placement."+d.name+".", baselines[policy]
			p.print(prefix+"fragmentationFourWorkers", "share", mean(s.fragmentationFour), baseline)
			p.print(prefix+"fragmentationRack", "share", mean(s.fragmentationRack), baseline)
			p.print(prefix+"utilisation", "share", mean(s.utilisation), baseline)
			p.print(prefix+"waitMean", "min", mean(s.waits), baseline)
			p.print(prefix+"waitP99", "min", quantile(s.waits, 0.99), baseline)
			p.print(prefix+"guaranteeClaimable", "share", float64(len(s.claimable))/float64(s.claims), baseline)
			p.print(prefix+"jobsNotStarted", "jobs", float64(len(s.waiting)), baseline)
		}
	}
	measureDecision(p)
}

// measureDecision measures the time of one placement decision, in zones that hold six jobs of
// one accelerator for each worker of eight.
func measureDecision(p *printer) {
	for _, workers := range []int{20, 41, 81, 162} {
		inventory := newInventory(workers, 8, 8)
		random := rand.New(rand.NewPCG(p.seed, 5))
		for i := range workers * 6 {
			req := placement.Request{Organisation: "b", Workers: 1, PerWorker: 1, Preemptible: random.IntN(2) == 0, Rank: 3}
			if placed, reason := inventory.Place(placement.BestFitWithHomes, req); reason == "" {
				inventory.Occupy(placement.Holder{Job: fmt.Sprint(i), Owner: "b", Preemptible: req.Preemptible, Rank: 3}, placed.Members)
			}
		}
		const rounds = 200
		start := time.Now()
		for range rounds {
			inventory.Place(placement.BestFitWithHomes, placement.Request{Organisation: "a", Workers: 4, PerWorker: 8, Rank: 1})
		}
		p.print(fmt.Sprintf("placement.decision.%dWorkers", workers), "ms", time.Since(start).Seconds()*1000/rounds, "")
	}
}

// mean returns 0 if there are no values.
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

// quantile returns the value below which a fraction of the values lies; 0 if there are none,
// and the largest value for a fraction of 1.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

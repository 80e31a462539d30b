package placement

import (
	"fmt"
	"sort"
	"strings"
)

// Policy is a placement policy. The planner uses the first one; the others serve as baselines
// in measurements.
type Policy int

// The placement policies.
const (
	// BestFitWithHomes prefers the smallest free block that fits and keeps the homes of guarantees
	// claimable.
	BestFitWithHomes Policy = iota
	// BestFitWithoutHomes prefers the smallest free block that fits, without regard to homes.
	BestFitWithoutHomes
	// FirstFit takes the first workers with enough free capacity, adjacent or not.
	FirstFit
)

// The costs have no unit and are compared only with each other.
const (
	// splitRackCost is added for each idle rack of which a gang would leave a part. When
	// accelerators are held for the head of the queue, it is also the cost of one whose job can't
	// be preempted.
	splitRackCost = 10_000
	// splitWorkerCost is added for each idle worker of which a gang would leave a part.
	splitWorkerCost = 100
	// victimCost is the cost of an accelerator whose job has to be preempted.
	victimCost = 1_000_000
	// otherHomeCost is the cost of an accelerator in a home of another organisation.
	otherHomeCost = 1_000
)

// Request describes the accelerators that a gang needs: PerWorker on each of Workers workers.
// Cores and MemoryMB are per worker.
type Request struct {
	Organisation string
	Workers      int
	PerWorker    int
	Cores        int
	MemoryMB     int64
	// Preemptible means that the job can be stopped or checkpointed within the time in which a
	// guarantee has to be claimable.
	Preemptible bool
	// Rank is the urgency of the job; a lower number is more urgent.
	Rank int
	// HeadOfQueue means that the job is at the head of the queue, for which accelerators are held.
	HeadOfQueue bool
}

// Placement is the members of a gang and the jobs that have to be preempted first.
type Placement struct {
	Members []Member
	Victims []string
}

// shape is the size of a gang: its workers, and the accelerators, cores and memory on each.
type shape struct {
	workers, perWorker, cores int
	memoryMB                  int64
}

func (r Request) shape() shape {
	return shape{workers: r.Workers, perWorker: r.PerWorker, cores: r.Cores, memoryMB: r.MemoryMB}
}

// Place returns a placement for the request, or the reason why there is none. It prefers free
// accelerators. Next it considers free accelerators in other organisations' homes if the job
// is preemptible, then preempting jobs of others in the organisation's own homes, and last
// preempting less urgent jobs elsewhere, except those in homes of their own organisation.
func (inv *Inventory) Place(policy Policy, req Request) (Placement, string) {
	if policy == FirstFit {
		return inv.firstFit(req)
	}
	for _, usable := range inv.tiers(policy, req) {
		members := inv.search(req.shape(), usable, func(slot Slot) int { return slotCost(slot, req) })
		if members != nil {
			return Placement{Members: members, Victims: inv.victims(members)}, ""
		}
	}
	return Placement{}, fmt.Sprintf("no %d adjacent workers have %d accelerators each that this job may use", req.Workers, req.PerWorker)
}

// tiers returns the conditions under which an accelerator may be used, from the least to the
// most disruptive.
func (inv *Inventory) tiers(policy Policy, req Request) []func(Slot) bool {
	outsideOtherHomes := func(slot Slot) bool {
		return slot.Home == "" || policy == BestFitWithoutHomes || strings.HasPrefix(slot.Home, req.Organisation+"/")
	}
	heldForOther := func(slot Slot) bool { return slot.HeldForHead && !req.HeadOfQueue && !req.Preemptible }
	free := func(slot Slot) bool { return slot.Job == "" && outsideOtherHomes(slot) && !heldForOther(slot) }
	tiers := []func(Slot) bool{free}
	if req.Preemptible {
		tiers = append(tiers, func(slot Slot) bool { return slot.Job == "" })
	}
	reclaim := func(slot Slot) bool {
		return free(slot) || (slot.Home != "" && outsideOtherHomes(slot) && slot.Preemptible && slot.Owner != req.Organisation)
	}
	preempt := func(slot Slot) bool {
		return reclaim(slot) || (slot.Preemptible && slot.Rank > req.Rank && outsideOtherHomes(slot) && !strings.HasPrefix(slot.Home, slot.Owner+"/"))
	}
	if policy == BestFitWithHomes {
		tiers = append(tiers, reclaim)
	}
	return append(tiers, preempt)
}

// slotCost returns the cost of an accelerator for a request.
func slotCost(slot Slot, req Request) int {
	cost := 0
	if slot.Job != "" {
		cost += victimCost
	}
	if slot.Home != "" && !strings.HasPrefix(slot.Home, req.Organisation+"/") {
		cost += otherHomeCost
	}
	return cost
}

// victims returns the jobs that hold any of the members' accelerators.
func (inv *Inventory) victims(members []Member) []string {
	seen := map[string]bool{}
	var out []string
	for _, member := range members {
		for _, index := range member.Accelerators {
			if job := inv.byName[member.Worker].Slots[index].Job; job != "" && !seen[job] {
				seen[job] = true
				out = append(out, job)
			}
		}
	}
	sort.Strings(out)
	return out
}

// candidateWorker is a worker that could run a member, with the accelerators for it. The field
// leftover is the number of the worker's other usable accelerators.
type candidateWorker struct {
	worker   *Worker
	slots    []int
	cost     int
	leftover int
}

// search returns the cheapest members on adjacent workers, or nil. A shape that fits into one
// rack is placed within a rack, a larger one within the fewest neighbouring racks.
func (inv *Inventory) search(want shape, usable func(Slot) bool, cost func(Slot) int) []Member {
	racks := inv.racks()
	candidates := make([][]candidateWorker, len(racks))
	largest := 0
	for i, rack := range racks {
		candidates[i] = rackCandidates(rack, want, usable, cost)
		largest = max(largest, len(rack))
	}
	for span := 1; span <= len(racks); span++ {
		if members := cheapestWindow(racks, candidates, want, span); members != nil {
			return members
		}
		// A gang that fits into one rack waits for enough free workers in a rack rather than
		// being spread over several.
		if want.workers <= largest {
			return nil
		}
	}
	return nil
}

// cheapestWindow returns the cheapest members within span neighbouring racks, or nil. Racks with
// more candidates than needed cost one for each unused candidate and splitRackCost for each idle
// rack, so that idle racks are kept whole.
func cheapestWindow(racks [][]*Worker, candidates [][]candidateWorker, want shape, span int) []Member {
	var best []candidateWorker
	bestCost := 0
	for from := 0; from+span <= len(racks); from++ {
		var window []candidateWorker
		idleRacks := 0
		for i := from; i < from+span; i++ {
			window = append(window, candidates[i]...)
			if idle(racks[i]) {
				idleRacks++
			}
		}
		if len(window) < want.workers {
			continue
		}
		sort.SliceStable(window, func(i, j int) bool { return window[i].cost < window[j].cost })
		total := 0
		for _, candidate := range window[:want.workers] {
			total += candidate.cost
		}
		if len(window) > want.workers {
			total += idleRacks*splitRackCost + len(window) - want.workers
		}
		if best == nil || total < bestCost {
			best, bestCost = window[:want.workers], total
		}
	}
	return toMembers(best)
}

// toMembers converts the chosen candidates to members in the order of the workers' names.
func toMembers(chosen []candidateWorker) []Member {
	if chosen == nil {
		return nil
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].worker.Name < chosen[j].worker.Name })
	out := make([]Member, len(chosen))
	for i, candidate := range chosen {
		out[i] = Member{Worker: candidate.worker.Name, Accelerators: candidate.slots}
	}
	return out
}

// idle reports whether every accelerator of a rack is free and every worker takes new tasks.
func idle(rack []*Worker) bool {
	for _, worker := range rack {
		if worker.Unschedulable || worker.free() != len(worker.Slots) {
			return false
		}
	}
	return true
}

// rackCandidates returns the workers of a rack that could run a member.
func rackCandidates(rack []*Worker, want shape, usable func(Slot) bool, cost func(Slot) int) []candidateWorker {
	var out []candidateWorker
	for _, worker := range rack {
		if worker.Unschedulable || !worker.fits(want) {
			continue
		}
		if candidate, ok := worker.candidate(want, usable, cost); ok {
			out = append(out, candidate)
		}
	}
	return out
}

// fits reports whether the worker has enough cores and memory left. A worker that reports none
// is assumed to have enough.
func (w *Worker) fits(want shape) bool {
	cores := w.Cores == 0 || w.usedCores+want.cores <= w.Cores
	return cores && (w.MemoryMB == 0 || w.usedMemory+want.memoryMB <= w.MemoryMB)
}

// candidate returns the worker with its cheapest usable accelerators, if there are enough. An
// idle worker that would be split costs more, and so does each usable accelerator that is left
// over.
func (w *Worker) candidate(want shape, usable func(Slot) bool, cost func(Slot) int) (candidateWorker, bool) {
	var indices []int
	for i, slot := range w.Slots {
		if usable(slot) {
			indices = append(indices, i)
		}
	}
	if len(indices) < want.perWorker {
		return candidateWorker{}, false
	}
	sort.SliceStable(indices, func(i, j int) bool { return cost(w.Slots[indices[i]]) < cost(w.Slots[indices[j]]) })
	out := candidateWorker{worker: w, slots: append([]int(nil), indices[:want.perWorker]...), leftover: len(indices) - want.perWorker}
	for _, index := range out.slots {
		out.cost += cost(w.Slots[index])
	}
	if w.free() == len(w.Slots) && out.leftover > 0 {
		out.cost += splitWorkerCost
	}
	out.cost += out.leftover
	sort.Ints(out.slots)
	return out, true
}

// firstFit places the request on the first workers that fit, without regard to racks and homes.
func (inv *Inventory) firstFit(req Request) (Placement, string) {
	var chosen []candidateWorker
	for _, worker := range inv.Workers {
		if worker.Unschedulable || !worker.fits(req.shape()) || len(chosen) == req.Workers {
			continue
		}
		if candidate, ok := worker.candidate(req.shape(), func(slot Slot) bool { return slot.Job == "" }, func(Slot) int { return 0 }); ok {
			chosen = append(chosen, candidate)
		}
	}
	if len(chosen) < req.Workers {
		return Placement{}, "not enough workers have free capacity"
	}
	return Placement{Members: toMembers(chosen)}, ""
}

// HoldForHead holds accelerators for the job at the head of the queue, where the fewest of them
// belong to jobs that can't be preempted. Until the head starts, only preemptible jobs are
// placed there, so that no job with a long declared run time delays it. It returns the members
// that it marked.
func (inv *Inventory) HoldForHead(req Request) []Member {
	usable := func(slot Slot) bool {
		return slot.Home == "" || strings.HasPrefix(slot.Home, req.Organisation+"/")
	}
	cost := func(slot Slot) int {
		switch {
		case slot.Job == "":
			return 0
		case slot.Preemptible:
			return 1
		}
		return splitRackCost
	}
	found := inv.search(req.shape(), usable, cost)
	for _, member := range found {
		for _, index := range member.Accelerators {
			inv.byName[member.Worker].Slots[index].HeldForHead = true
		}
	}
	return found
}

// FitsWhenIdle reports whether the request would fit if every job had ended and every worker took
// new tasks. A job that can't be preempted is not placed in homes of other organisations.
func (inv *Inventory) FitsWhenIdle(req Request) bool {
	usable := func(slot Slot) bool {
		return req.Preemptible || slot.Home == "" || strings.HasPrefix(slot.Home, req.Organisation+"/")
	}
	saved := make([]struct {
		cores         int
		memory        int64
		unschedulable bool
	}, len(inv.Workers))
	for i, worker := range inv.Workers {
		saved[i].cores, saved[i].memory, saved[i].unschedulable = worker.usedCores, worker.usedMemory, worker.Unschedulable
		worker.usedCores, worker.usedMemory, worker.Unschedulable = 0, 0, false
	}
	found := inv.search(req.shape(), usable, func(Slot) int { return 0 })
	for i, worker := range inv.Workers {
		worker.usedCores, worker.usedMemory, worker.Unschedulable = saved[i].cores, saved[i].memory, saved[i].unschedulable
	}
	return found != nil
}

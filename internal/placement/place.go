package placement

import (
	"fmt"
	"sort"
	"strings"
)

// Policy names a way to place, for comparison runs.
type Policy int

// The policies. KeepHoles is the one in use.
const (
	// KeepHoles prefers the smallest adequate hole and keeps homes reclaimable.
	KeepHoles Policy = iota
	// BestFit is KeepHoles without homes.
	BestFit
	// FirstFit takes the first workers with room, wherever they are.
	FirstFit
)

const (
	splitRackCost   = 10_000
	splitWorkerCost = 100
	victimCost      = 1_000_000
	otherHomeCost   = 1_000
)

// Request is a gang that asks for accelerators.
type Request struct {
	Organisation string
	Workers      int
	PerWorker    int
	Cores        int
	MemoryMB     int64
	// Movable says that the job can be stopped or checkpointed within the reclaim bound.
	Movable bool
	// Rank is the urgency; a lower number is more urgent.
	Rank int
	// Head says that the job is at the head of the queue, so that held slots are its own.
	Head bool
}

// Placement is where a gang goes and which jobs have to make room first.
type Placement struct {
	Members []Member
	Victims []string
}

type shape struct {
	workers, perWorker, cores int
	memoryMB                  int64
}

func (r Request) shape() shape {
	return shape{workers: r.Workers, perWorker: r.PerWorker, cores: r.Cores, memoryMB: r.MemoryMB}
}

// Place finds members for the request. The reason says what is missing when
// there are none. Free accelerators go first, then others' homes for movable
// jobs, then the request's own home from those who borrowed it, then movable jobs
// of lower urgency.
func (g *Grid) Place(policy Policy, req Request) (Placement, string) {
	if policy == FirstFit {
		return g.firstFit(req)
	}
	for _, usable := range g.tiers(policy, req) {
		members := g.search(req.shape(), usable, func(slot Slot) int { return slotCost(slot, req) })
		if members != nil {
			return Placement{Members: members, Victims: g.victims(members)}, ""
		}
	}
	return Placement{}, fmt.Sprintf("no %d adjacent workers have %d accelerators each that this job may use", req.Workers, req.PerWorker)
}

// tiers returns the tests of usable slots, from the least to the most invasive.
func (g *Grid) tiers(policy Policy, req Request) []func(Slot) bool {
	own := func(slot Slot) bool {
		return slot.Home == "" || policy == BestFit || strings.HasPrefix(slot.Home, req.Organisation+"/")
	}
	held := func(slot Slot) bool { return slot.Held && !req.Head && !req.Movable }
	free := func(slot Slot) bool { return slot.Job == "" && own(slot) && !held(slot) }
	tiers := []func(Slot) bool{free}
	if req.Movable {
		tiers = append(tiers, func(slot Slot) bool { return slot.Job == "" })
	}
	reclaim := func(slot Slot) bool {
		return free(slot) || (slot.Home != "" && own(slot) && slot.Movable && slot.Owner != req.Organisation)
	}
	preempt := func(slot Slot) bool {
		return reclaim(slot) || (slot.Movable && slot.Rank > req.Rank && own(slot) && !strings.HasPrefix(slot.Home, slot.Owner+"/"))
	}
	if policy == KeepHoles {
		tiers = append(tiers, reclaim)
	}
	return append(tiers, preempt)
}

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

func (g *Grid) victims(members []Member) []string {
	seen := map[string]bool{}
	var out []string
	for _, member := range members {
		for _, index := range member.Accelerators {
			if job := g.byName[member.Worker].Slots[index].Job; job != "" && !seen[job] {
				seen[job] = true
				out = append(out, job)
			}
		}
	}
	sort.Strings(out)
	return out
}

// option is one worker's offer.
type option struct {
	worker *Worker
	slots  []int
	cost   int
	left   int
}

// search returns the cheapest adjacent members: within one rack where the shape
// fits a rack, else within the shortest run of neighbouring racks.
func (g *Grid) search(want shape, usable func(Slot) bool, cost func(Slot) int) []Member {
	racks := g.racks()
	offers := make([][]option, len(racks))
	largest := 0
	for i, rack := range racks {
		offers[i] = offersOf(rack, want, usable, cost)
		largest = max(largest, len(rack))
	}
	for span := 1; span <= len(racks); span++ {
		if members := cheapestRun(racks, offers, want, span); members != nil {
			return members
		}
		// A shape that fits one rack waits for a whole hole instead of spreading.
		if want.workers <= largest {
			return nil
		}
	}
	return nil
}

func cheapestRun(racks [][]*Worker, offers [][]option, want shape, span int) []Member {
	var best []option
	bestCost := 0
	for from := 0; from+span <= len(racks); from++ {
		var run []option
		whole := 0
		for i := from; i < from+span; i++ {
			run = append(run, offers[i]...)
			if untouched(racks[i]) {
				whole++
			}
		}
		if len(run) < want.workers {
			continue
		}
		sort.SliceStable(run, func(i, j int) bool { return run[i].cost < run[j].cost })
		total := 0
		for _, offer := range run[:want.workers] {
			total += offer.cost
		}
		if len(run) > want.workers {
			total += whole*splitRackCost + len(run) - want.workers
		}
		if best == nil || total < bestCost {
			best, bestCost = run[:want.workers], total
		}
	}
	return members(best)
}

func members(chosen []option) []Member {
	if chosen == nil {
		return nil
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].worker.Name < chosen[j].worker.Name })
	out := make([]Member, len(chosen))
	for i, offer := range chosen {
		out[i] = Member{Worker: offer.worker.Name, Accelerators: offer.slots}
	}
	return out
}

func untouched(rack []*Worker) bool {
	for _, worker := range rack {
		if worker.Closed || worker.free() != len(worker.Slots) {
			return false
		}
	}
	return true
}

func offersOf(rack []*Worker, want shape, usable func(Slot) bool, cost func(Slot) int) []option {
	var out []option
	for _, worker := range rack {
		if worker.Closed || !worker.fits(want) {
			continue
		}
		if offer, ok := worker.offer(want, usable, cost); ok {
			out = append(out, offer)
		}
	}
	return out
}

// fits reports whether processors and memory are enough. A worker that reports
// none is taken to have enough.
func (w *Worker) fits(want shape) bool {
	cores := w.Cores == 0 || w.usedCores+want.cores <= w.Cores
	return cores && (w.MemoryMB == 0 || w.usedMemory+want.memoryMB <= w.MemoryMB)
}

func (w *Worker) offer(want shape, usable func(Slot) bool, cost func(Slot) int) (option, bool) {
	var indices []int
	for i, slot := range w.Slots {
		if usable(slot) {
			indices = append(indices, i)
		}
	}
	if len(indices) < want.perWorker {
		return option{}, false
	}
	sort.SliceStable(indices, func(i, j int) bool { return cost(w.Slots[indices[i]]) < cost(w.Slots[indices[j]]) })
	out := option{worker: w, slots: append([]int(nil), indices[:want.perWorker]...), left: len(indices) - want.perWorker}
	for _, index := range out.slots {
		out.cost += cost(w.Slots[index])
	}
	if w.free() == len(w.Slots) && out.left > 0 {
		out.cost += splitWorkerCost
	}
	out.cost += out.left
	sort.Ints(out.slots)
	return out, true
}

func (g *Grid) firstFit(req Request) (Placement, string) {
	var chosen []option
	for _, worker := range g.Workers {
		if worker.Closed || !worker.fits(req.shape()) || len(chosen) == req.Workers {
			continue
		}
		if offer, ok := worker.offer(req.shape(), func(slot Slot) bool { return slot.Job == "" }, func(Slot) int { return 0 }); ok {
			chosen = append(chosen, offer)
		}
	}
	if len(chosen) < req.Workers {
		return Placement{}, "not enough workers have room"
	}
	return Placement{Members: members(chosen)}, ""
}

// Hold marks accelerators that the head of the queue waits for, where the fewest
// jobs that can't be moved stand in its way. Only movable jobs are placed there
// meanwhile, so that no declared run time can delay the head.
func (g *Grid) Hold(req Request) []Member {
	usable := func(slot Slot) bool {
		return slot.Home == "" || strings.HasPrefix(slot.Home, req.Organisation+"/")
	}
	cost := func(slot Slot) int {
		switch {
		case slot.Job == "":
			return 0
		case slot.Movable:
			return 1
		}
		return splitRackCost
	}
	found := g.search(req.shape(), usable, cost)
	for _, member := range found {
		for _, index := range member.Accelerators {
			g.byName[member.Worker].Slots[index].Held = true
		}
	}
	return found
}

// Possible reports whether the request could ever be placed if every job ended,
// with homes of other organisations left out for jobs that can't be moved.
func (g *Grid) Possible(req Request) bool {
	usable := func(slot Slot) bool {
		return req.Movable || slot.Home == "" || strings.HasPrefix(slot.Home, req.Organisation+"/")
	}
	saved := make([]struct {
		cores  int
		memory int64
		closed bool
	}, len(g.Workers))
	for i, worker := range g.Workers {
		saved[i].cores, saved[i].memory, saved[i].closed = worker.usedCores, worker.usedMemory, worker.Closed
		worker.usedCores, worker.usedMemory, worker.Closed = 0, 0, false
	}
	found := g.search(req.shape(), usable, func(Slot) int { return 0 })
	for i, worker := range g.Workers {
		worker.usedCores, worker.usedMemory, worker.Closed = saved[i].cores, saved[i].memory, saved[i].closed
	}
	return found != nil
}

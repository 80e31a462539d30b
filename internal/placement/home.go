package placement

import (
	"fmt"
	"sort"
)

const blockedCost = 1_000

// Guarantee is a shape that an organisation can always claim.
type Guarantee struct {
	Organisation string
	Shape        string
	Workers      int
	PerWorker    int
}

// Name returns organisation/shape.
func (g Guarantee) Name() string { return g.Organisation + "/" + g.Shape }

// Shortfall says that a guarantee has no whole home.
type Shortfall struct {
	Guarantee
	Reason string
}

// Homes maps the name of a guarantee to its accelerators.
type Homes map[string][]Member

// AssignHomes gives each guarantee adjacent accelerators that nothing but its
// owner's work or movable work holds. Homes that are still whole stay where they
// are; the others move, the largest first. Guarantees without a whole home are returned.
func (g *Grid) AssignHomes(guarantees []Guarantee, before Homes) (Homes, []Shortfall) {
	g.clearHomes()
	homes := Homes{}
	ordered := append([]Guarantee(nil), guarantees...)
	sort.SliceStable(ordered, func(i, j int) bool {
		if a, b := ordered[i].Workers*ordered[i].PerWorker, ordered[j].Workers*ordered[j].PerWorker; a != b {
			return a > b
		}
		return ordered[i].Name() < ordered[j].Name()
	})
	var moving []Guarantee
	for _, guarantee := range ordered {
		if members, ok := before[guarantee.Name()]; ok && g.whole(guarantee, members) {
			g.mark(guarantee, members)
			homes[guarantee.Name()] = members
			continue
		}
		moving = append(moving, guarantee)
	}
	var short []Shortfall
	for _, guarantee := range moving {
		members := g.findHome(guarantee)
		if members == nil {
			members = g.blockedHome(guarantee)
			short = append(short, Shortfall{Guarantee: guarantee, Reason: g.shortReason(guarantee, members)})
		}
		if members != nil {
			g.mark(guarantee, members)
			homes[guarantee.Name()] = members
		}
	}
	return homes, short
}

func (g *Grid) clearHomes() {
	for _, worker := range g.Workers {
		for i := range worker.Slots {
			worker.Slots[i].Home = ""
		}
	}
}

func (g *Grid) mark(guarantee Guarantee, members []Member) {
	for _, member := range members {
		for _, index := range member.Accelerators {
			g.byName[member.Worker].Slots[index].Home = guarantee.Name()
		}
	}
}

// whole reports whether a home still covers its guarantee.
func (g *Grid) whole(guarantee Guarantee, members []Member) bool {
	if len(members) != guarantee.Workers {
		return false
	}
	for _, member := range members {
		worker, ok := g.byName[member.Worker]
		if !ok || worker.Closed || len(member.Accelerators) != guarantee.PerWorker {
			return false
		}
		for _, index := range member.Accelerators {
			if index >= len(worker.Slots) || !reclaimable(worker.Slots[index], guarantee.Organisation) {
				return false
			}
		}
	}
	return true
}

// reclaimable reports whether a slot can be part of the organisation's home.
func reclaimable(slot Slot, organisation string) bool {
	return slot.Home == "" && (slot.Job == "" || slot.Movable || slot.Owner == organisation)
}

// blockedHome picks the home with the fewest accelerators held by work that can't
// be moved. As a home it takes in no more of it, so that it becomes whole in time.
func (g *Grid) blockedHome(guarantee Guarantee) []Member {
	usable := func(slot Slot) bool { return slot.Home == "" }
	cost := func(slot Slot) int {
		if reclaimable(slot, guarantee.Organisation) {
			return 0
		}
		return blockedCost
	}
	return g.search(shape{workers: guarantee.Workers, perWorker: guarantee.PerWorker}, usable, cost)
}

func (g *Grid) shortReason(guarantee Guarantee, members []Member) string {
	if members == nil {
		return fmt.Sprintf("no %d adjacent workers are left with %d accelerators each", guarantee.Workers, guarantee.PerWorker)
	}
	blocked := 0
	for _, member := range members {
		for _, index := range member.Accelerators {
			slot := g.byName[member.Worker].Slots[index]
			if slot.Job != "" && !slot.Movable && slot.Owner != guarantee.Organisation {
				blocked++
			}
		}
	}
	return fmt.Sprintf("%d accelerators of its home are held by work that can't be moved; the home is kept free of more", blocked)
}

func (g *Grid) findHome(guarantee Guarantee) []Member {
	usable := func(slot Slot) bool { return reclaimable(slot, guarantee.Organisation) }
	cost := func(slot Slot) int {
		if slot.Job != "" && slot.Owner != guarantee.Organisation {
			return 1
		}
		return 0
	}
	return g.search(shape{workers: guarantee.Workers, perWorker: guarantee.PerWorker}, usable, cost)
}

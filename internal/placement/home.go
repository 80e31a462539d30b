package placement

import (
	"fmt"
	"sort"
)

// blockedCost is the cost, in the choice of a home, of an accelerator that is held by another
// organisation's job that can't be preempted.
const blockedCost = 1_000

// Guarantee is a shape that an organisation can always claim: a number of adjacent workers, with
// PerWorker accelerators on each.
type Guarantee struct {
	Organisation string
	Shape        string
	Workers      int
	PerWorker    int
}

// Name returns the name in the form organisation/shape.
func (g Guarantee) Name() string { return g.Organisation + "/" + g.Shape }

// Shortfall is a guarantee that can't be claimed in full at present.
type Shortfall struct {
	Guarantee
	Reason string
}

// Homes maps the name of a guarantee to its home: the accelerators on which it can be claimed.
type Homes map[string][]Member

// AssignHomes assigns a home to each guarantee: accelerators on adjacent workers that are free
// or held by preemptible jobs or jobs of the same organisation. Previous homes that still meet
// this are kept; the other guarantees get new homes, the largest first. A guarantee without such
// a home is returned as a shortfall; it gets the home that blockedHome finds, if there is one.
func (inv *Inventory) AssignHomes(guarantees []Guarantee, previous Homes) (Homes, []Shortfall) {
	inv.clearHomes()
	homes := Homes{}
	ordered := append([]Guarantee(nil), guarantees...)
	sort.SliceStable(ordered, func(i, j int) bool {
		if a, b := ordered[i].Workers*ordered[i].PerWorker, ordered[j].Workers*ordered[j].PerWorker; a != b {
			return a > b
		}
		return ordered[i].Name() < ordered[j].Name()
	})
	var unassigned []Guarantee
	for _, guarantee := range ordered {
		if members, ok := previous[guarantee.Name()]; ok && inv.homeIntact(guarantee, members) {
			inv.markHome(guarantee, members)
			homes[guarantee.Name()] = members
			continue
		}
		unassigned = append(unassigned, guarantee)
	}
	var shortfalls []Shortfall
	for _, guarantee := range unassigned {
		members := inv.findHome(guarantee)
		if members == nil {
			members = inv.blockedHome(guarantee)
			shortfalls = append(shortfalls, Shortfall{Guarantee: guarantee, Reason: inv.shortfallReason(guarantee, members)})
		}
		if members != nil {
			inv.markHome(guarantee, members)
			homes[guarantee.Name()] = members
		}
	}
	return homes, shortfalls
}

// clearHomes removes the marks that markHome has set.
func (inv *Inventory) clearHomes() {
	for _, worker := range inv.Workers {
		for i := range worker.Slots {
			worker.Slots[i].Home = ""
		}
	}
}

func (inv *Inventory) markHome(guarantee Guarantee, members []Member) {
	for _, member := range members {
		for _, index := range member.Accelerators {
			inv.byName[member.Worker].Slots[index].Home = guarantee.Name()
		}
	}
}

// homeIntact reports whether every accelerator of a home can still be claimed.
func (inv *Inventory) homeIntact(guarantee Guarantee, members []Member) bool {
	if len(members) != guarantee.Workers {
		return false
	}
	for _, member := range members {
		worker, ok := inv.byName[member.Worker]
		if !ok || worker.Unschedulable || len(member.Accelerators) != guarantee.PerWorker {
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

// reclaimable reports whether an accelerator can be part of a home of the organisation.
func reclaimable(slot Slot, organisation string) bool {
	return slot.Home == "" && (slot.Job == "" || slot.Preemptible || slot.Owner == organisation)
}

// blockedHome returns the home with the fewest accelerators held by other organisations' jobs
// that can't be preempted. No further jobs of that kind are placed in a home, so that all of
// it can be claimed once the present ones have ended.
func (inv *Inventory) blockedHome(guarantee Guarantee) []Member {
	usable := func(slot Slot) bool { return slot.Home == "" }
	cost := func(slot Slot) int {
		if reclaimable(slot, guarantee.Organisation) {
			return 0
		}
		return blockedCost
	}
	return inv.search(shape{workers: guarantee.Workers, perWorker: guarantee.PerWorker}, usable, cost)
}

func (inv *Inventory) shortfallReason(guarantee Guarantee, members []Member) string {
	if members == nil {
		return fmt.Sprintf("no %d adjacent workers are left with %d accelerators each", guarantee.Workers, guarantee.PerWorker)
	}
	blocked := 0
	for _, member := range members {
		for _, index := range member.Accelerators {
			slot := inv.byName[member.Worker].Slots[index]
			if slot.Job != "" && !slot.Preemptible && slot.Owner != guarantee.Organisation {
				blocked++
			}
		}
	}
	return fmt.Sprintf("%d accelerators of its home are held by jobs that can't be preempted; no more of them are placed there", blocked)
}

// findHome returns a home that can be claimed at once, with the fewest accelerators held by
// other organisations. It returns nil if there is none.
func (inv *Inventory) findHome(guarantee Guarantee) []Member {
	usable := func(slot Slot) bool { return reclaimable(slot, guarantee.Organisation) }
	cost := func(slot Slot) int {
		if slot.Job != "" && slot.Owner != guarantee.Organisation {
			return 1
		}
		return 0
	}
	return inv.search(shape{workers: guarantee.Workers, perWorker: guarantee.PerWorker}, usable, cost)
}

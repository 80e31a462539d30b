package scheduler

import (
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// begin prepares a pass with the targets that may be given new work.
func (p *pass) begin(s *Scheduler, now time.Time) {
	p.s, p.now, p.reservations, p.searches = s, now, 0, 0
	s.beginRound()
	p.empty()
	p.countWarmTasks()
	s.cordonWaits.begin(s, now)
	// The lists hold pointers into capacities, so it must not grow while it is filled.
	if cap(p.capacities) < len(s.ordered) {
		p.capacities = make([]freeCapacity, 0, len(s.ordered))
	}
	p.addEligible()
	p.addPaused()
	for i := range p.capacities {
		open := &p.capacities[i]
		open.rack = p.rackIndex[open.Rack]
	}
	p.restrict()
}

// addEligible adds the targets that may be given new work.
func (p *pass) addEligible() {
	for _, n := range p.s.ordered {
		if p.isEligible(n, false) {
			p.open(n)
		}
	}
}

// addPaused adds the targets that pause after failures if their service has no others: a pause only helps where
// others can take the work.
func (p *pass) addPaused() {
	for _, n := range p.s.ordered {
		if total := p.usage[n.Service]; (total == nil || total.paused) && p.isEligible(n, true) {
			p.open(n)
			p.usage[n.Service].paused = true
		}
	}
}

// open adds a target with its free capacity.
func (p *pass) open(n *node) {
	p.capacities = append(p.capacities, freeCapacity{node: n, free: n.Capacity.Minus(n.used), cold: p.coldLimit(n)})
	p.add(&p.capacities[len(p.capacities)-1])
}

// empty empties the lists of the last pass and keeps their memory.
func (p *pass) empty() {
	if p.unplaceable == nil {
		p.unplaceable, p.couldHold, p.rackIndex, p.usage = map[unitRequirements]bool{}, map[unitRequirements]bool{}, map[string]int{}, map[string]*usage{}
		p.away = map[*step]int{}
	}
	clear(p.unplaceable)
	clear(p.couldHold)
	p.covered, p.urgentUse = nil, nil
	clear(p.away)
	p.victimMembers = p.victimMembers[:0]
	clear(p.usage)
	for i := range p.racks {
		p.racks[i], p.rackFree[i] = p.racks[i][:0], workload.Resources{}
	}
	for i := range p.withFree {
		p.withFree[i] = p.withFree[i][:0]
	}
	p.capacities, p.openNodes = p.capacities[:0], p.openNodes[:0]
}

// add adds a target to the lists of the pass.
func (p *pass) add(n *freeCapacity) {
	p.openNodes = append(p.openNodes, n)
	for i := int64(0); i <= min(n.free.Accelerators, maxFreeIndex); i++ {
		p.withFree[i] = append(p.withFree[i], n)
	}
	rack := p.rack(n.Rack)
	p.racks[rack] = append(p.racks[rack], n)
	p.rackFree[rack] = p.rackFree[rack].Plus(n.free.AtLeastZero())
	total := p.usage[n.Service]
	if total == nil {
		total = &usage{}
		p.usage[n.Service] = total
	}
	total.used, total.whole, total.targets = total.used.Plus(n.used), total.whole.Plus(n.Capacity), total.targets+1
}

// usage is how much of the capacity of a service's targets is in use.
type usage struct {
	used, whole workload.Resources
	targets     int
	// paused says that these targets pause after failures.
	paused bool
}

// candidateNodes returns the targets that had enough free accelerators for a task of the step at the
// start of the pass.
func (p *pass) candidateNodes(c *candidate) []*freeCapacity {
	return p.withFree[max(0, min(c.step.spec.CapacityUse().Accelerators, maxFreeIndex))]
}

// rack returns the index of a rack.
func (p *pass) rack(name string) int {
	if index, known := p.rackIndex[name]; known {
		return index
	}
	index, _ := slices.BinarySearch(p.rackNames, name)
	p.rackNames, p.racks = slices.Insert(p.rackNames, index, name), slices.Insert(p.racks, index, nil)
	p.rackFree = slices.Insert(p.rackFree, index, workload.Resources{})
	for i, later := range p.rackNames[index:] {
		p.rackIndex[later] = index + i
	}
	return index
}

// take marks capacity of a target as used.
func (p *pass) take(n *freeCapacity, use workload.Resources) {
	n.free, p.rackFree[n.rack] = n.free.Minus(use), p.rackFree[n.rack].Minus(use)
	total := p.usage[n.Service]
	total.used = total.used.Plus(use)
	n.hasReleases, n.hasVictims = false, false
	n.cold.take(use)
}

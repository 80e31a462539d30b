package scheduler

import (
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// reserve reserves capacity for a candidate that found none: for priority 0 by stopping less
// valuable runs where that is worthwhile, otherwise on the targets that are expected to have
// enough free capacity first.
func (p *pass) reserve(c *candidate) {
	if c.step.job.terms.Priority == 0 && p.preempt(c) {
		return
	}
	if p.reservations >= maxReservations {
		return
	}
	count := c.step.spec.Members()
	var best []*freeCapacity
	var earliest time.Time
	for _, openNodes := range p.nodeSets(c, count) {
		chosen, at := p.earliest(c, openNodes, count)
		if chosen != nil && (best == nil || at.Before(earliest)) {
			best, earliest = chosen, at
		}
	}
	for _, n := range best {
		n.reserved = c.step
	}
	if best != nil {
		p.reservations++
	}
}

// nodeSets returns the sets of targets within which a unit may be placed: each rack for a gang
// that should run in one rack and fits into an empty one, otherwise all targets.
func (p *pass) nodeSets(c *candidate, count int) [][]*freeCapacity {
	if !c.step.spec.Gang || !c.step.spec.SameRack || !p.rackCouldHold(c, count) {
		return [][]*freeCapacity{p.openNodes}
	}
	return p.racks
}

// earliest finds the targets that will have free capacity for count members first, and when.
func (p *pass) earliest(c *candidate, openNodes []*freeCapacity, count int) ([]*freeCapacity, time.Time) {
	type option struct {
		n  *freeCapacity
		at time.Time
	}
	var options []option
	for _, n := range openNodes {
		if n.reserved != nil || (n.kept && !c.usesHeadroom) || n.Service != c.step.job.terms.Service || !n.hasLabel(c.step.spec.RequiredLabel) || !p.admits(c, n) {
			continue
		}
		at, ok := p.capacityAt(c.step.spec, n)
		if ok {
			options = append(options, option{n, at})
		}
	}
	if len(options) < count {
		return nil, time.Time{}
	}
	slices.SortStableFunc(options, func(a, b option) int { return a.at.Compare(b.at) })
	var chosen []*freeCapacity
	for _, o := range options[:count] {
		chosen = append(chosen, o.n)
	}
	return chosen, options[count-1].at
}

// capacityAt returns when a target is expected to have free capacity for one task; false if the
// task would not fit even after all runs there have ended.
func (p *pass) capacityAt(spec *workload.Step, n *freeCapacity) (time.Time, bool) {
	free := n.free
	if n.countFitting(spec.CapacityUse(), free, 1) > 0 {
		return p.now, true
	}
	for _, r := range p.releases(n) {
		free = free.Plus(r.use)
		if n.countFitting(spec.CapacityUse(), free, 1) > 0 {
			return r.at, true
		}
	}
	if n.cold.left > 0 && spec.CapacityUse().Fits(free) {
		return p.now.Add(n.cold.left), true
	}
	return time.Time{}, false
}

// release is capacity that becomes free when a run ends.
type release struct {
	at  time.Time
	use workload.Resources
}

// releases returns the runs on a target in the order in which they are expected to end, without those that
// are not.
func (p *pass) releases(n *freeCapacity) []release {
	if n.hasReleases {
		return n.releases
	}
	n.releases, n.hasReleases = n.releases[:0], true
	for _, m := range n.sorted {
		if at, ends := p.s.expectedEnd(p.now, m); ends {
			n.releases = append(n.releases, release{at, m.unit.step.spec.CapacityUse()})
		}
	}
	slices.SortStableFunc(n.releases, func(a, b release) int { return a.at.Compare(b.at) })
	return n.releases
}

// expectedEnd returns when a run is expected to end; false if it is not, because its task lasts and is not
// being stopped.
func (s *Scheduler) expectedEnd(now time.Time, m *member) (at time.Time, ends bool) {
	if !m.stopDecided.IsZero() {
		return now, true
	}
	if m.unit.step.spec.LongRunning {
		return time.Time{}, false
	}
	return now.Add(s.remainingTime(now, m.unit)), true
}

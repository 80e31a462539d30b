package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// maxKeptOut is how long capacity that is reserved for steps that wait may keep others out that yielding
// would serve; see usesReserved.
const maxKeptOut = 1500 * time.Millisecond

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
	var best *reservation
	for _, openNodes := range p.nodeSets(c, count) {
		if found := p.earliest(c, openNodes, count); found != nil && (best == nil || found.at.Before(best.at)) {
			best = found
		}
	}
	if best == nil {
		return
	}
	mostlyUsed := p.mostlyUsed(c)
	for _, slot := range best.slots {
		n := slot.n
		n.reserved, n.reservedUse = c.step, n.reservedUse.Plus(c.step.spec.CapacityUse())
		if mostlyUsed {
			// What others would take of the rest fragments the capacity that gangs wait for.
			n.reservedUse = n.Capacity
		}
	}
	p.reservations++
}

// usesReserved reports whether the candidate may use capacity that is reserved for steps that wait. Such a
// reservation may take long to ripen, so it yields to work that it has kept out for maxKeptOut: to tasks that
// last, which may not be down for long, and to steps of which nothing runs while little of the service is in
// use. It does not yield on a service of which more is in use, so that gangs get their turn.
func (p *pass) usesReserved(c *candidate) bool {
	return p.isKeptOutForLong(c) && (c.step.spec.LongRunning || (c.step.isIdle() && !p.mostlyUsed(c)))
}

// isKeptOutForLong reports whether the candidate has found only capacity that is kept for others for maxKeptOut.
func (p *pass) isKeptOutForLong(c *candidate) bool {
	since := c.step.keptOutSince
	return !since.IsZero() && p.now.Sub(since) >= maxKeptOut
}

// freeFor returns the free capacity of a target that a candidate may use.
func (n *freeCapacity) freeFor(c *candidate) workload.Resources {
	switch {
	case n.reserved == nil || n.reserved == c.step:
		return n.free
	case n.reservedUse == workload.Resources{}:
		return workload.Resources{}
	case c.usesReserved:
		return n.free
	}
	return n.free.Minus(n.reservedUse)
}

// nodeSets returns the sets of targets within which a unit may be placed: each rack for a gang
// that should run in one rack and that some rack could hold, otherwise all targets.
func (p *pass) nodeSets(c *candidate, count int) [][]*freeCapacity {
	if !c.step.spec.Gang || !c.step.spec.SameRack || !p.waitsForRack(c, count) {
		return [][]*freeCapacity{p.openNodes}
	}
	return p.racks
}

// reservation is the capacity that is expected to be free for all members of a unit first.
type reservation struct {
	slots []slot
	// at is when the last of the slots becomes free.
	at time.Time
}

// slot is capacity for one member on a target.
type slot struct {
	n *freeCapacity
	// at is when it becomes free, and together how many slots the target then has.
	at       time.Time
	together int
}

// earliest finds the targets that will have free capacity for count members first; nil if they never will.
func (p *pass) earliest(c *candidate, openNodes []*freeCapacity, count int) *reservation {
	var slots []slot
	for _, n := range openNodes {
		if n.reserved != nil || (n.kept && !c.usesHeadroom) || !p.mayRunOn(c, n) {
			continue
		}
		slots = p.addSlots(slots, c, n, count)
	}
	if len(slots) < count {
		return nil
	}
	// Of the slots that become free at the same time, those on fewer targets come first.
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.together, a.together)) })
	return &reservation{slots: slots[:count], at: slots[count-1].at}
}

// addSlots adds the slots of a target, at most count.
func (p *pass) addSlots(slots []slot, c *candidate, n *freeCapacity, count int) []slot {
	r, found := c.roomOn(n), 0
	add := func(at time.Time, fitting int) {
		for ; found < fitting; found++ {
			slots = append(slots, slot{n: n, at: at, together: fitting})
		}
	}
	add(p.now, r.holds(count))
	for _, released := range p.releases(n) {
		if found == count {
			return slots
		}
		r.release(released.step)
		add(released.at, r.holds(count))
	}
	if n.cold.left > 0 {
		add(p.now.Add(n.cold.left), r.holdsWarm(count))
	}
	return slots
}

// release is the expected end of a task of a step, which frees its capacity.
type release struct {
	at   time.Time
	step *step
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
			n.releases = append(n.releases, release{at, m.unit.step})
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

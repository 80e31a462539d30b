package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// victim is a unit whose run could be stopped to free capacity.
type victim struct {
	unit *unit
	// from and to bound the unit's members on the target in pass.victimMembers.
	from, to int
	class    victimClass
	// loss is the value that stopping it costs, and rank is that times the share factor of its organisation:
	// those above their fair part lose runs first, but no more runs are stopped for that.
	loss, rank float64
}

// victimClass orders victims before their rank does. Those of a higher class are stopped for overdue guarantees
// only, and only where those of lower classes don't free enough.
type victimClass int

const (
	// classEnding: a run of lower priority whose task ends.
	classEnding victimClass = iota
	// classLasting: a run of lower priority whose task lasts.
	classLasting
	// classUrgent: a run of priority 0 that no guarantee covers.
	classUrgent
)

func (u *unit) victimClass() victimClass {
	switch {
	case u.step.job.terms.Priority == 0:
		return classUrgent
	case u.step.spec.LongRunning:
		return classLasting
	}
	return classEnding
}

// victims returns the units on a target in the order in which they are stopped, by class and then by the loss
// that stopping them costs, the cheapest first.
func (p *pass) victims(n *freeCapacity) []victim {
	if n.hasVictims {
		return n.victims
	}
	n.victims, n.hasVictims = n.victims[:0], true
	for i := 0; i < len(n.sorted); {
		// The members of a unit stand next to each other, as they are ordered by their runs.
		u, from, waitsForWrite := n.sorted[i].unit, len(p.victimMembers), true
		for ; i < len(n.sorted) && n.sorted[i].unit == u; i++ {
			p.victimMembers = append(p.victimMembers, n.sorted[i])
			waitsForWrite = waitsForWrite && n.sorted[i].state == memberAwaitingWrite
		}
		if waitsForWrite {
			continue
		}
		v := newVictim(u, p.s.loss(p.now, u), p.s.shareFactor(u.step.job))
		v.from, v.to = from, len(p.victimMembers)
		n.victims = append(n.victims, v)
	}
	slices.SortStableFunc(n.victims, func(a, b victim) int { return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.rank, b.rank)) })
	return n.victims
}

func newVictim(u *unit, loss, shareFactor float64) victim {
	return victim{unit: u, class: u.victimClass(), loss: loss, rank: loss * shareFactor}
}

// isVictim reports whether a unit may be stopped on a target for a candidate: it is less important,
// not being stopped there already, and has not been stopped as often as the policy allows. An overdue
// guarantee is not bound by that limit. For it alone long-running tasks are stopped, and runs of the same
// priority that no guarantee covers, as far as stopBudget allows.
func (p *pass) isVictim(v victim, c *candidate) bool {
	u := v.unit
	switch {
	case c.guaranteeOverdue:
		if u.step.job == c.step.job || (u.step.job.terms.Priority == 0 && p.isCovered(u.step.job.Organisation)) {
			return false
		}
	case u.step.job.terms.Priority <= c.step.job.terms.Priority, u.step.spec.LongRunning, u.preempted >= p.s.Limits.Policy.MaxPreemptions:
		return false
	}
	return slices.ContainsFunc(p.victimMembers[v.from:v.to], func(m *member) bool { return !m.closed && m.stopDecided.IsZero() })
}

// isCovered reports whether an organisation's guarantee covers all its open jobs of priority 0.
func (p *pass) isCovered(organisation string) bool {
	if p.covered == nil {
		p.covered = p.s.guaranteeCovered()
	}
	return p.covered[organisation]
}

// stopBudget limits what the stops of one preemption take. A step with MaxUnavailable keeps so many tasks at
// work that no more are away than that, and an organisation keeps as many accelerators as it is guaranteed.
type stopBudget struct {
	pass *pass
	// away counts the tasks that are not at work, by step, and urgentUse is what the runs of priority 0 use, by
	// organisation; both count the planned stops.
	away      map[*step]int
	urgentUse map[string]int64
}

func (p *pass) newStopBudget() *stopBudget { return &stopBudget{pass: p} }

// spend plans to stop victims, and reports whether the limits allow that; nothing is planned otherwise.
func (b *stopBudget) spend(victims []victim) bool {
	for i, v := range victims {
		if !b.spendOne(v) {
			for _, planned := range victims[:i] {
				b.add(planned, -1)
			}
			return false
		}
	}
	return true
}

func (b *stopBudget) spendOne(v victim) bool {
	b.add(v, 1)
	st := v.unit.step
	awayTooMany := st.spec.LongRunning && st.spec.MaxUnavailable > 0 && b.away[st] > st.spec.MaxUnavailable
	takesGuarantee := v.class == classUrgent && b.urgentUse[st.job.Organisation] < b.pass.s.guarantee(st.job.Organisation)
	if awayTooMany || takesGuarantee {
		b.add(v, -1)
		return false
	}
	return true
}

// add adds a victim to the planned stops, or takes it off if sign is -1.
func (b *stopBudget) add(v victim, sign int) {
	st, members := v.unit.step, v.unit.step.spec.Members()
	if st.spec.LongRunning && st.spec.MaxUnavailable > 0 {
		if b.away == nil {
			b.away = map[*step]int{}
		}
		if _, known := b.away[st]; !known {
			b.away[st] = b.pass.countAway(st)
		}
		b.away[st] += sign * members
	}
	if v.class == classUrgent {
		if b.urgentUse == nil {
			b.urgentUse = map[string]int64{}
		}
		organisation := st.job.Organisation
		if _, known := b.urgentUse[organisation]; !known {
			b.urgentUse[organisation] = b.pass.urgentUseOf(organisation)
		}
		b.urgentUse[organisation] -= int64(sign*members) * st.spec.CapacityUse().Accelerators
	}
}

// countAway counts the tasks of a long-running step that are not at work.
func (p *pass) countAway(st *step) int {
	if away, known := p.away[st]; known {
		return away
	}
	away := 0
	for _, u := range st.units {
		if len(u.members) < st.spec.Members() || slices.ContainsFunc(u.members, func(m *member) bool { return !m.isAtWork(p.now) }) {
			away += st.spec.Members()
		}
	}
	p.away[st] = away
	return away
}

// isAtWork reports whether the task of a long-running step serves: it has got through its startup and is not
// being stopped, and its target answers.
func (m *member) isAtWork(now time.Time) bool {
	return m.state == memberConfirmed && !m.atWorkSince.IsZero() && m.stopDecided.IsZero() && !m.node.unresponsive(now) && !m.node.hasLeft(now)
}

// urgentUseOf returns how many accelerators the runs of priority 0 of an organisation use that are not being
// stopped.
func (p *pass) urgentUseOf(organisation string) int64 {
	if p.urgentUse == nil {
		p.urgentUse = map[string]int64{}
		for _, n := range p.s.ordered {
			for _, m := range n.sorted {
				if j := m.unit.step.job; j.terms.Priority == 0 && m.stopDecided.IsZero() {
					p.urgentUse[j.Organisation] += m.unit.step.spec.CapacityUse().Accelerators
				}
			}
		}
	}
	return p.urgentUse[organisation]
}

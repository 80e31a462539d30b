package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// coresPerAccelerator is how many cores an accelerator counts as when lost work is valued.
	coresPerAccelerator = 8
	// wasteCost is the credit that one core-second of lost work costs.
	wasteCost = 0.0012
	// preemptionCost is the additional credit that each stop costs. It grows with each stop of
	// the same unit, so that the unit is not stopped again and again.
	preemptionCost = 0.1
	// maxLossShare is the share of a job's worth that may be lost to other jobs when runs are
	// stopped for it.
	maxLossShare = 0.8
	// guaranteeWait is how long a job that a guarantee covers waits before runs that are worth
	// more than the job are stopped for it.
	guaranteeWait = 500 * time.Millisecond
	// fasterTargetWait is how long, in addition to the time of a stop, a job waits for
	// capacity on faster targets.
	fasterTargetWait = 250 * time.Millisecond
	// maxSearches is how many searches for runs to stop may fail in one pass, and searchPause the
	// time until the next search for the same step. They bound what a surge of urgent jobs costs.
	maxSearches = 8
	searchPause = 100 * time.Millisecond
	// likelyLate is the probability from which a job counts as late.
	likelyLate = 0.5
)

// victim is a unit whose run could be stopped to free capacity.
type victim struct {
	unit *unit
	// loss is the credit that stopping it costs, times the share factor of its organisation: those above
	// their fair part lose runs first.
	loss float64
}

// preempt stops less important runs so that a candidate of priority 0 fits, if the job's worth
// outweighs the loss or its guarantee is overdue. It reports whether capacity is reserved.
func (p *pass) preempt(c *candidate) bool {
	if !c.guaranteeOverdue && (p.searches >= maxSearches || p.now.Before(c.step.searchAgainAt)) {
		return false
	}
	best := p.preemption(c)
	if best == nil {
		p.searchFailed(c)
		return false
	}
	// A guarantee is met in any case, but before a costly stop the job waits for
	// guaranteeWait, in which capacity may become free.
	if !c.guaranteeOverdue && best.loss > c.credit(best.late)*maxLossShare {
		if c.guaranteed {
			p.s.wakeAt(c.step.occurrence.due.Add(guaranteeWait))
		}
		p.searchFailed(c)
		return false
	}
	p.applyPreemption(c, best)
	return true
}

// searchFailed records that no runs were found that are worth stopping for a candidate.
func (p *pass) searchFailed(c *candidate) {
	p.searches++
	c.step.searchAgainAt = p.now.Add(searchPause)
}

// preemptFaster stops less important runs on faster targets for a candidate that would
// probably be late on the free ones. It reports whether capacity is reserved for the
// candidate, which waits for it only once.
func (p *pass) preemptFaster(c *candidate, chosen placement) bool {
	if c.step.job.terms.Priority != 0 || c.guaranteeOverdue || c.lateProbability(chosen.runSeconds) < likelyLate {
		return false
	}
	until := c.step.preemptFasterAt.Add(p.s.Limits.StopTime + fasterTargetWait)
	if !c.step.preemptFasterAt.IsZero() && p.now.After(until) {
		return false
	}
	best := p.preemption(c)
	if best == nil || best.late || best.loss > (c.credit(false)-c.credit(true))*maxLossShare {
		return false
	}
	if c.step.preemptFasterAt.IsZero() {
		c.step.preemptFasterAt = p.now
	}
	p.s.wakeAt(c.step.preemptFasterAt.Add(p.s.Limits.StopTime + fasterTargetWait + time.Millisecond))
	p.applyPreemption(c, best)
	return true
}

// credit returns what the candidate's job earns on time or late. Without slack, its worth is
// already that of a late job.
func (c *candidate) credit(late bool) float64 {
	if late && c.slack > 0 {
		return c.worth * lateShare
	}
	return c.worth
}

// preemption returns the stops that free enough capacity and for which the loss less the
// credit that the job then earns, on time or late, is smallest; nil if there are none.
func (p *pass) preemption(c *candidate) *preemption {
	count := c.step.spec.Members()
	var best *preemption
	for _, openNodes := range p.nodeSets(c, count) {
		for _, late := range []bool{false, true} {
			found := p.clear(c, p.fastEnough(c, openNodes, late), count)
			if found == nil {
				continue
			}
			found.late = late
			if best == nil || found.loss-c.credit(late) < best.loss-c.credit(best.late) {
				best = found
			}
		}
	}
	return best
}

// fastEnough returns the targets on which the candidate's job would end on time once runs
// there have been stopped; all targets if it may be late.
func (p *pass) fastEnough(c *candidate, openNodes []*freeCapacity, late bool) []*freeCapacity {
	if late {
		return openNodes
	}
	maxSeconds := safeSlackShare*c.slack - p.s.Limits.StopTime.Seconds()
	var out []*freeCapacity
	for _, n := range openNodes {
		if p.runSeconds(c, p.effectiveSpeed(c, n)) <= maxSeconds {
			out = append(out, n)
		}
	}
	return out
}

func (p *pass) applyPreemption(c *candidate, found *preemption) {
	for _, n := range found.openNodes {
		n.reserved = c.step
	}
	for _, v := range found.victims {
		v.preempted++
		p.s.stopUnit(p.now, v, "preempted for job "+c.step.job.ID)
	}
}

// preemption is a set of targets and the units to stop on them.
type preemption struct {
	openNodes []*freeCapacity
	victims   []*unit
	// loss is the credit that the stops cost.
	loss float64
	// late says that the job would still be late there.
	late bool
}

// clear finds the cheapest runs to stop on openNodes so that count members fit; nil if they do
// not fit even then.
func (p *pass) clear(c *candidate, openNodes []*freeCapacity, count int) *preemption {
	type option struct {
		n          *freeCapacity
		victims    []victim
		loss       float64
		maxMembers int
	}
	var options []option
	for _, n := range openNodes {
		if (n.reserved != nil && n.reserved != c.step) || n.Service != c.step.job.terms.Service || !n.hasLabel(c.step.spec.RequiredLabel) {
			continue
		}
		free := n.free
		o := option{n: n}
		limit := count
		if c.step.spec.MaxPerTarget > 0 {
			limit = min(limit, c.step.spec.MaxPerTarget-n.count(c.step))
		}
		// Capacity of runs that are being stopped already costs nothing more.
		for _, m := range n.sorted {
			if !m.stopDecided.IsZero() {
				free = free.Plus(m.unit.step.spec.CapacityUse())
			}
		}
		o.maxMembers = c.step.spec.CapacityUse().CountFitting(free, limit)
		if o.maxMembers == 0 {
			for _, v := range p.victims(n) {
				if !v.unit.isVictim(c, n) {
					continue
				}
				o.victims, o.loss = append(o.victims, v), o.loss+v.loss
				for _, m := range v.unit.members {
					if m.node == n.node {
						free = free.Plus(v.unit.step.spec.CapacityUse())
					}
				}
				if o.maxMembers = c.step.spec.CapacityUse().CountFitting(free, limit); o.maxMembers > 0 {
					break
				}
			}
		}
		if o.maxMembers > 0 {
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.loss/float64(a.maxMembers), b.loss/float64(b.maxMembers)) })
	found := &preemption{}
	missing := count
	counted := map[*unit]bool{}
	for _, o := range options {
		if missing <= 0 {
			break
		}
		missing -= o.maxMembers
		found.openNodes = append(found.openNodes, o.n)
		for _, v := range o.victims {
			if !counted[v.unit] {
				counted[v.unit] = true
				found.victims, found.loss = append(found.victims, v.unit), found.loss+v.loss
			}
		}
	}
	if missing > 0 {
		return nil
	}
	return found
}

// victims returns the units on a target in the order of the loss that stopping them costs, the
// cheapest first.
func (p *pass) victims(n *freeCapacity) []victim {
	if n.hasVictims {
		return n.victims
	}
	n.victims, n.hasVictims = n.victims[:0], true
	for _, m := range n.sorted {
		u := m.unit
		known := func(v victim) bool { return v.unit == u }
		if m.state == memberAwaitingWrite || u.step.spec.LongRunning || slices.ContainsFunc(n.victims, known) {
			continue
		}
		n.victims = append(n.victims, victim{unit: u, loss: p.s.loss(p.now, u) * p.s.shareFactor(u.step.job)})
	}
	slices.SortStableFunc(n.victims, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	return n.victims
}

// isVictim reports whether a unit may be stopped on a target for a candidate: it is less important
// and not being stopped there already.
func (u *unit) isVictim(c *candidate, n *freeCapacity) bool {
	if u.step.job.terms.Priority <= c.step.job.terms.Priority {
		return false
	}
	return slices.ContainsFunc(u.members, func(m *member) bool { return m.node == n.node && m.stopDecided.IsZero() })
}

// loss returns the credit that stopping a unit costs: the work that is lost, and the share of
// the job's worth that this work stood for.
func (s *Scheduler) loss(now time.Time, u *unit) float64 {
	ran := runningFor(now, u)
	if u.step.spec.Checkpointing {
		// A stop makes a checkpoint, so only the restart is lost. It counts as at most one
		// checkpoint period of work.
		ran = min(ran, s.Limits.CheckpointPeriod)
	}
	spec := u.step.spec
	cores := float64(spec.Needs.MilliCores)/1000 + coresPerAccelerator*float64(spec.Needs.Accelerators)
	members := float64(len(u.members))
	j := u.step.job
	workShare := ran.Seconds() * s.targetShare(spec) * members / max(j.work, 0.01)
	return wasteCost*cores*members*ran.Seconds() + s.worth(j)*workShare + preemptionCost*float64(1+u.preempted)
}

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxLossShare is the share of what a job gains that may be lost to other jobs when runs are
	// stopped for it.
	maxLossShare = 0.8
	// guaranteeWait is how long a job that a guarantee covers waits before runs whose loss is more
	// than the job's value are stopped for it.
	guaranteeWait = 500 * time.Millisecond
	// fasterTargetWait is how long, in addition to the time of a stop, a job waits for
	// capacity on faster targets.
	fasterTargetWait = 250 * time.Millisecond
	// maxSearches is how many searches for runs to stop may fail in one pass, and searchPause the
	// time until the next search for the same step. They bound what a surge of urgent jobs costs.
	maxSearches = 8
	searchPause = 100 * time.Millisecond
	// stepMargin is how long after a stop has ended its capacity may lie idle: the longest time until the
	// step that uses it.
	stepMargin = 120 * time.Millisecond
	// likelyLate is the probability from which a job counts as late.
	likelyLate = 0.5
)

// victim is a unit whose run could be stopped to free capacity.
type victim struct {
	unit *unit
	// loss is the value that stopping it costs, and rank is that times the share factor of its organisation:
	// those above their fair part lose runs first, but no more runs are stopped for that.
	loss, rank float64
}

// preempt stops less important runs so that a candidate of priority 0 fits, if the job's value
// outweighs the loss or its guarantee is overdue. It reports whether capacity is reserved.
func (p *pass) preempt(c *candidate) bool {
	if !c.guaranteeOverdue && (p.searches >= maxSearches || p.now.Before(c.step.searchAgainAt)) {
		return false
	}
	if found := p.waitable(c); found != nil {
		p.waitFor(c, found)
		return true
	}
	best := p.preemption(c)
	if best == nil {
		p.searchFailed(c)
		return false
	}
	// A guarantee is met in any case, but before a costly stop the job waits for
	// guaranteeWait, in which capacity may become free.
	if !c.guaranteeOverdue && best.loss > best.value*maxLossShare {
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
	if best == nil {
		return false
	}
	if gain := best.value - c.valueIn(chosen.runSeconds); gain <= 0 || best.loss > gain*maxLossShare {
		return false
	}
	if c.step.preemptFasterAt.IsZero() {
		c.step.preemptFasterAt = p.now
	}
	p.s.wakeAt(c.step.preemptFasterAt.Add(p.s.Limits.StopTime + fasterTargetWait + time.Millisecond))
	p.applyPreemption(c, best)
	return true
}

// preemption returns the stops that free enough capacity and for which the loss less the
// value that the job then has is smallest; nil if there are none.
func (p *pass) preemption(c *candidate) *preemption {
	count := c.step.spec.Members()
	var best *preemption
	for _, openNodes := range p.nodeSets(c, count) {
		for _, mayBeLate := range []bool{false, true} {
			found := p.clear(c, p.fastEnough(c, openNodes, mayBeLate, p.s.Limits.StopTime), count, p.freeWait(c), true)
			if found == nil {
				continue
			}
			if best == nil || found.loss-found.value < best.loss-best.value {
				best = found
			}
		}
	}
	return best
}

// fastEnough returns the targets on which the candidate's job would end on time if it started there after
// a wait; all targets if it may be late.
func (p *pass) fastEnough(c *candidate, openNodes []*freeCapacity, mayBeLate bool, wait time.Duration) []*freeCapacity {
	if mayBeLate {
		return openNodes
	}
	maxSeconds := safeSlackShare*c.slack - wait.Seconds()
	var out []*freeCapacity
	for _, n := range openNodes {
		if p.runSeconds(c, p.effectiveSpeed(c, n)) <= maxSeconds {
			out = append(out, n)
		}
	}
	return out
}

func (p *pass) applyPreemption(c *candidate, found *preemption) {
	if len(found.victims) == 0 {
		p.waitFor(c, found)
		return
	}
	for _, n := range found.openNodes {
		n.reserved = c.step
	}
	for _, v := range found.victims {
		v.unit.preempted++
		p.s.dirty[v.unit.step.job.ID] = v.unit.step.job
		p.s.stopUnitWith(p.now, v.unit, "preempted for job "+c.step.job.ID, Fields{
			"for": c.step.job.ID, "loss": v.loss, "totalLoss": found.loss, "gain": found.value, "guaranteeOverdue": c.guaranteeOverdue, "preempted": v.unit.preempted,
		})
	}
}

// preemption is a set of targets and the units to stop on them.
type preemption struct {
	openNodes []*freeCapacity
	victims   []victim
	// loss is the value that the stops cost, and value what the candidate's job is then worth.
	loss, value float64
}

// clear finds the cheapest runs to stop on openNodes so that count members fit; nil if they do
// not fit even then. Runs that are expected to end within wait count as ended; no others are stopped if
// mayStop is false.
func (p *pass) clear(c *candidate, openNodes []*freeCapacity, count int, wait time.Duration, mayStop bool) *preemption {
	var options []clearOption
	for _, n := range openNodes {
		if (n.reserved != nil && n.reserved != c.step) || !p.mayRunOn(c, n) {
			continue
		}
		if o := p.clearTarget(c, n, count, p.now.Add(wait), mayStop); o.maxMembers > 0 {
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(a, b clearOption) int {
		return cmp.Or(cmp.Compare(a.rank/float64(a.maxMembers), b.rank/float64(b.maxMembers)), cmp.Compare(b.maxMembers, a.maxMembers))
	})
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
				found.victims, found.loss = append(found.victims, v), found.loss+v.loss
			}
		}
	}
	if missing > 0 {
		return nil
	}
	slowest := math.Inf(1)
	for _, n := range found.openNodes {
		slowest = min(slowest, p.effectiveSpeed(c, n))
	}
	found.value = c.valueIn(p.s.Limits.StopTime.Seconds() + p.runSeconds(c, slowest))
	return found
}

// clearOption is a target with the runs to stop there for a candidate.
type clearOption struct {
	n       *freeCapacity
	victims []victim
	// rank is the sum of the victims' ranks.
	rank float64
	// maxMembers is how many tasks of the candidate then fit there.
	maxMembers int
}

// clearTarget finds the runs to stop on one target so that at least one of count tasks fits there. Runs that
// are expected to end by until count as ended.
func (p *pass) clearTarget(c *candidate, n *freeCapacity, count int, until time.Time, mayStop bool) clearOption {
	r := c.roomOn(n)
	// Capacity of runs that are being stopped already, or are about to end, costs nothing more.
	for _, m := range n.sorted {
		if !m.stopDecided.IsZero() || p.endsBy(m.unit, until) {
			r.release(m.unit.step)
		}
	}
	o := clearOption{n: n, maxMembers: r.holds(count)}
	if o.maxMembers != 0 || !mayStop {
		return o
	}
	for _, v := range p.victims(n) {
		if !p.isVictim(v.unit, c, n) || p.endsBy(v.unit, until) {
			continue
		}
		o.victims, o.rank = append(o.victims, v), o.rank+v.rank
		for _, m := range v.unit.members {
			if m.node == n.node {
				r.release(v.unit.step)
			}
		}
		if o.maxMembers = r.holds(count); o.maxMembers > 0 {
			break
		}
	}
	return o
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
		n.victims = append(n.victims, newVictim(u, p.s.loss(p.now, u), p.s.shareFactor(u.step.job)))
	}
	slices.SortStableFunc(n.victims, func(a, b victim) int { return cmp.Compare(a.rank, b.rank) })
	return n.victims
}

func newVictim(u *unit, loss, shareFactor float64) victim {
	return victim{unit: u, loss: loss, rank: loss * shareFactor}
}

// isVictim reports whether a unit may be stopped on a target for a candidate: it is less important,
// not being stopped there already, and has not been stopped as often as the policy allows. An overdue
// guarantee is not bound by that limit.
func (p *pass) isVictim(u *unit, c *candidate, n *freeCapacity) bool {
	if u.step.job.terms.Priority <= c.step.job.terms.Priority {
		return false
	}
	if u.preempted >= p.s.Limits.Policy.MaxPreemptions && !c.guaranteeOverdue {
		return false
	}
	return slices.ContainsFunc(u.members, func(m *member) bool { return m.node == n.node && m.stopDecided.IsZero() })
}

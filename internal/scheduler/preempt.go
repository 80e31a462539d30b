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

// preempt stops less important runs so that a candidate of priority 0 fits, if the job's value
// outweighs the loss or its guarantee is overdue. It reports whether capacity is reserved.
func (p *pass) preempt(c *candidate) bool {
	if !c.guaranteeOverdue && (p.searches >= maxSearches || p.now.Before(c.step.searchAgainAt)) {
		return false
	}
	if c.guaranteed && !c.guaranteeOverdue {
		p.s.wakeAt(c.step.occurrence.due.Add(guaranteeWait))
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

// preemption returns the best stops that free enough capacity; nil if there are none.
func (p *pass) preemption(c *candidate) *preemption {
	count := c.step.spec.Members()
	if c.guaranteeOverdue {
		// All tasks of the step have to begin, and each stop takes time.
		count *= len(c.startableUnits) - c.placed
	}
	var best *preemption
	for _, openNodes := range p.nodeSets(c, count) {
		for _, mayBeLate := range []bool{false, true} {
			found := p.clear(c, p.fastEnough(c, openNodes, mayBeLate, p.s.Limits.StopTime), count, p.freeWait(c), true)
			if found == nil {
				continue
			}
			if best == nil || found.compare(best) < 0 {
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
	p.urgentUse = nil
	clear(p.away)
	for _, v := range found.victims {
		v.unit.preempted++
		p.s.dirty[v.unit.step.job.ID] = v.unit.step.job
		p.s.stopUnitWith(p.now, v.unit, "preempted for job "+c.step.job.ID, Fields{
			"for": c.step.job.ID, "loss": v.loss, "totalLoss": found.loss, "gain": found.value, "guaranteeOverdue": c.guaranteeOverdue, "preempted": v.unit.preempted,
			"longRunning": v.unit.step.spec.LongRunning,
		})
	}
}

// preemption is a set of targets and the units to stop on them.
type preemption struct {
	openNodes []*freeCapacity
	victims   []victim
	// missing is for how many members there is no room even then.
	missing int
	// class is the highest of the victims' classes.
	class victimClass
	// loss is the value that the stops cost, and value what the candidate's job is then worth.
	loss, value float64
}

// compare orders the better one first: the one that makes room for more members, stops runs of lower classes,
// and for which the loss less the value that the job then has is smaller.
func (f *preemption) compare(other *preemption) int {
	return cmp.Or(cmp.Compare(f.missing, other.missing), cmp.Compare(f.class, other.class), cmp.Compare(f.loss-f.value, other.loss-other.value))
}

// clear finds the cheapest runs to stop on openNodes so that count members fit; nil if they do
// not fit even then. For single tasks of an overdue guarantee it makes room for as many as it can. Runs that are expected to end within wait count as ended; no others are stopped if
// mayStop is false.
func (p *pass) clear(c *candidate, openNodes []*freeCapacity, count int, wait time.Duration, mayStop bool) *preemption {
	var options []clearOption
	for _, n := range openNodes {
		if (n.reserved != nil && n.reserved != c.step) || !p.mayRunOn(c, n) {
			continue
		}
		options = append(options, p.clearTarget(c, n, count, p.now.Add(wait), mayStop)...)
	}
	slices.SortStableFunc(options, func(a, b clearOption) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.rank, b.rank), cmp.Compare(a.order, b.order), cmp.Compare(b.members, a.members))
	})
	found := p.cheapest(options, count)
	// Single tasks that a guarantee covers don't wait for each other.
	inPart := c.guaranteeOverdue && !c.step.spec.Gang && found.missing < count
	if found.missing > 0 && !inPart {
		return nil
	}
	slowest := math.Inf(1)
	for _, n := range found.openNodes {
		slowest = min(slowest, p.effectiveSpeed(c, n))
	}
	found.value = c.valueIn(p.s.Limits.StopTime.Seconds() + p.runSeconds(c, slowest))
	return found
}

// cheapest takes options in their order until count members fit, or there are no more.
func (p *pass) cheapest(options []clearOption, count int) *preemption {
	found := &preemption{missing: count}
	budget, counted, taken := p.newStopBudget(), map[*unit]bool{}, map[*freeCapacity]int{}
	for _, o := range options {
		if found.missing == 0 {
			break
		}
		// Those of one target build on each other. A gang may be a victim on several targets.
		further := slices.DeleteFunc(slices.Clone(o.victims), func(v victim) bool { return counted[v.unit] })
		if taken[o.n] != o.order || !budget.spend(further) {
			continue
		}
		if taken[o.n]++; o.order == 0 {
			found.openNodes = append(found.openNodes, o.n)
		}
		found.missing, found.class = max(0, found.missing-o.members), max(found.class, o.class)
		for _, v := range further {
			counted[v.unit] = true
			found.victims, found.loss = append(found.victims, v), found.loss+v.loss
		}
	}
	return found
}

// clearOption is a target with runs to stop there for a candidate, in addition to those of the target's options
// of a lower order.
type clearOption struct {
	n       *freeCapacity
	victims []victim
	// members is how many more tasks of the candidate then fit there.
	members int
	// class is the highest of the victims' classes, and rank the sum of their ranks for each member. Neither is
	// below that of the option before.
	class victimClass
	rank  float64
	order int
}

// clearTarget finds the runs to stop on one target so that up to count tasks fit there. Runs that are expected
// to end by until count as ended. If the candidate's guarantee is overdue, so that all its tasks have to begin,
// each further task is an option of its own; otherwise the first that fit are the only one.
func (p *pass) clearTarget(c *candidate, n *freeCapacity, count int, until time.Time, mayStop bool) []clearOption {
	r := c.roomOn(n)
	// Capacity of runs that are being stopped already, or are about to end, costs nothing more.
	for _, m := range n.sorted {
		if !m.stopDecided.IsZero() || p.endsBy(m.unit, until) {
			r.release(m.unit.step)
		}
	}
	var options []clearOption
	members := r.holds(count)
	if members > 0 {
		options = append(options, clearOption{n: n, members: members})
	}
	if !mayStop || (members > 0 && !c.guaranteeOverdue) {
		return options
	}
	budget, next := p.newStopBudget(), clearOption{n: n, order: len(options)}
	for _, v := range p.victims(n) {
		if members >= count {
			break
		}
		if !p.isVictim(v, c) || p.endsBy(v.unit, until) || !budget.spend([]victim{v}) {
			continue
		}
		next.victims, next.rank, next.class = append(next.victims, v), next.rank+v.rank, max(next.class, v.class)
		for _, m := range p.victimMembers[v.from:v.to] {
			if !m.closed {
				r.release(v.unit.step)
			}
		}
		fitting := r.holds(count)
		if fitting <= members {
			continue
		}
		next.members = fitting - members
		next.rank /= float64(next.members)
		if len(options) > 0 {
			last := options[len(options)-1]
			next.class, next.rank = max(next.class, last.class), max(next.rank, last.rank)
		}
		options, members = append(options, next), fitting
		if !c.guaranteeOverdue {
			break
		}
		next = clearOption{n: n, order: len(options)}
	}
	return options
}

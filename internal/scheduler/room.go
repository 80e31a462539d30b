package scheduler

import "github.com/eelgrasstide/eelgrasstide/internal/workload"

// room is what a target has for tasks of one step: free capacity, now or after the end of some runs, and the
// number of them that may run there beside each other.
type room struct {
	n    *freeCapacity
	step *step
	free workload.Resources
	// ofStep counts the tasks of the step that run on the target, if their number is limited.
	ofStep int
}

// roomOn returns the room for a candidate's tasks on a target now. What is reserved or kept there is not
// taken off.
func (c *candidate) roomOn(n *freeCapacity) room {
	r := room{n: n, step: c.step, free: n.free}
	if c.step.spec.MaxPerTarget > 0 {
		r.ofStep = n.count(c.step)
	}
	return r
}

// release adds what will be free when a task of another or of the same step has ended.
func (r *room) release(ended *step) {
	r.free = r.free.Plus(ended.spec.CapacityUse())
	if ended == r.step {
		r.ofStep--
	}
}

// holds returns for how many more tasks of the step there is room, at most limit.
func (r *room) holds(limit int) int {
	return r.n.countFitting(r.step.spec.CapacityUse(), r.free, r.step.limitBeside(r.ofStep, limit))
}

// holdsWarm is holds for the time when the target is no longer cold.
func (r *room) holdsWarm(limit int) int {
	return r.step.spec.CapacityUse().CountFitting(r.free, r.step.limitBeside(r.ofStep, limit))
}

// limitBeside returns how many more tasks of the step may run on a target that runs some, at most limit.
func (st *step) limitBeside(running, limit int) int {
	if st.spec.MaxPerTarget == 0 {
		return limit
	}
	return max(0, min(limit, st.spec.MaxPerTarget-running))
}

// mayRunOn reports whether the candidate's tasks may run on a target at all, whatever runs there.
func (p *pass) mayRunOn(c *candidate, n *freeCapacity) bool {
	return n.Service == c.step.job.terms.Service && n.hasLabel(c.step.spec.RequiredLabel) && p.admits(c, n)
}

// maxMembers returns how many tasks of the candidate's step may be started on a target now, at most limit.
func (p *pass) maxMembers(c *candidate, n *freeCapacity, limit int) int {
	if n.Service != c.step.job.terms.Service {
		return 0
	}
	r := c.roomOn(n)
	if r.holds(1) == 0 || !p.mayRunOn(c, n) {
		return 0
	}
	if n.kept && !c.usesHeadroom {
		c.keptOut = true
		return 0
	}
	r.free = n.freeFor(c)
	members := r.holds(limit)
	if members == 0 {
		c.keptOut = true
	}
	return members
}

// maxMembersEmptied returns how many tasks of the candidate's step, at most limit, a target could hold if all
// runs there had ended that end by themselves.
func (p *pass) maxMembersEmptied(c *candidate, n *freeCapacity, limit int) int {
	if !p.mayRunOn(c, n) {
		return 0
	}
	return n.maxEmptied(c.step, limit)
}

// maxEmptied is maxMembersEmptied for a target on which tasks of the step may run.
func (n *node) maxEmptied(st *step, limit int) int {
	return st.spec.CapacityUse().CountFitting(n.emptied(), st.limitBeside(n.countLasting(st), limit))
}

// emptied returns the capacity that will be free when all runs have ended that end by themselves.
func (n *node) emptied() workload.Resources { return n.Capacity.Minus(n.lastingUse) }

// countLasting counts the tasks of a step here that don't end by themselves, if their number is limited.
func (n *node) countLasting(st *step) int {
	if !st.spec.LongRunning {
		return 0
	}
	return n.countOf(st)
}

// countOf counts the tasks of a step here, if their number is limited.
func (n *node) countOf(st *step) int {
	if st.spec.MaxPerTarget == 0 {
		return 0
	}
	count := 0
	for _, m := range n.sorted {
		if m.unit.step == st {
			count++
		}
	}
	return count
}

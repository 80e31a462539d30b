package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// acceleratorCores is how many cores an accelerator counts as in work thrown away.
	acceleratorCores = 8
	// wasteCredit is the credit that a core-second of work thrown away costs.
	wasteCredit = 0.0012
	// stopCredit is the credit that a stop costs besides; it grows with each stop of the
	// same unit, so that one is not stopped again and again.
	stopCredit = 0.1
	// maxLossShare of a job's worth may be lost to others when room is made for it.
	maxLossShare = 0.8
	// reclaimPatience is how long a job that a guarantee covers waits before it stops runs
	// that are worth more than itself.
	reclaimPatience = 500 * time.Millisecond
	// clearTime, besides that of a stop, is how long a job waits for room on faster targets.
	clearTime = 250 * time.Millisecond
	// likely is the risk from which a job counts as late.
	likely = 0.5
)

// reserve keeps room for a candidate that found none: by stopping less valuable runs
// where it may, and otherwise on the targets where room comes free soonest.
func (p *pass) reserve(c *candidate) {
	if c.step.job.queue.Priority == 0 && p.preempt(c) {
		return
	}
	if p.kept >= maxReservations {
		return
	}
	count := c.step.shape.Members()
	var best []*room
	var soonest time.Time
	for _, rooms := range p.sets(c, count) {
		chosen, at := p.soonest(c, rooms, count)
		if chosen != nil && (best == nil || at.Before(soonest)) {
			best, soonest = chosen, at
		}
	}
	for _, r := range best {
		r.reserved = c.step
	}
	if best != nil {
		p.kept++
	}
}

// sets returns the rooms among which a unit may be spread: those of one rack, where its
// tasks have to be in one, or all.
func (p *pass) sets(c *candidate, count int) [][]*room {
	if !c.step.shape.Gang || !c.step.shape.SameRack || !p.rackCanHold(c, count) {
		return [][]*room{p.rooms}
	}
	var sets [][]*room
	for _, name := range p.rackNames() {
		sets = append(sets, p.racks[name])
	}
	return sets
}

// soonest finds the targets on which count members have room first, and when.
func (p *pass) soonest(c *candidate, rooms []*room, count int) ([]*room, time.Time) {
	type option struct {
		r  *room
		at time.Time
	}
	var options []option
	for _, r := range rooms {
		if r.reserved != nil || r.Service != c.step.job.queue.Service || !r.labelled(c.step.shape.RequiredLabel) {
			continue
		}
		at, ok := p.roomAt(c.step.shape, r)
		if ok {
			options = append(options, option{r, at})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return a.at.Compare(b.at) })
	if len(options) < count {
		return nil, time.Time{}
	}
	var chosen []*room
	for _, o := range options[:count] {
		chosen = append(chosen, o.r)
	}
	return chosen, options[count-1].at
}

// roomAt is when a target is expected to have room for one task.
func (p *pass) roomAt(shape *workload.Step, r *room) (time.Time, bool) {
	free := r.free
	if shape.Counted().Fits(free) {
		return p.now, true
	}
	members := r.sorted()
	slices.SortStableFunc(members, func(a, b *member) int { return p.s.expectedEnd(p.now, a).Compare(p.s.expectedEnd(p.now, b)) })
	for _, m := range members {
		free = free.Plus(m.unit.step.shape.Counted())
		if shape.Counted().Fits(free) {
			return p.s.expectedEnd(p.now, m), true
		}
	}
	return time.Time{}, false
}

// expectedEnd is when a run is expected to end.
func (s *Scheduler) expectedEnd(now time.Time, m *member) time.Time {
	if !m.stopping.IsZero() {
		return now
	}
	return now.Add(s.left(now, m.unit))
}

// victim is a run that could be stopped to make room.
type victim struct {
	unit *unit
	// loss is the credit that a stop costs.
	loss float64
}

// preempt stops less important runs so that a candidate of the first priority fits, if
// what is lost is worth it or a guarantee asks for it. It reports whether room is kept.
func (p *pass) preempt(c *candidate) bool {
	best := p.clearing(c)
	if best == nil {
		return false
	}
	// A guarantee is met in any case, but a costly stop waits a moment for room to come free.
	if !c.claims && best.loss > c.earns(best.late)*maxLossShare {
		if c.guaranteed {
			p.s.wakeAt(c.step.occurrence.due.Add(reclaimPatience))
		}
		return false
	}
	p.carryOut(c, best)
	return true
}

// hasten stops less important runs on faster targets for a candidate that would be late
// on those that are free. It reports whether room is kept for the candidate, which waits
// for it once.
func (p *pass) hasten(c *candidate, chosen choice) bool {
	if c.step.job.queue.Priority != 0 || c.claims || c.risk(chosen.seconds) < likely {
		return false
	}
	until := c.step.hastened.Add(p.s.Limits.StopTime + clearTime)
	if !c.step.hastened.IsZero() && p.now.After(until) {
		return false
	}
	best := p.clearing(c)
	if best == nil || best.late || best.loss > (c.earns(false)-c.earns(true))*maxLossShare {
		return false
	}
	if c.step.hastened.IsZero() {
		c.step.hastened = p.now
	}
	p.s.wakeAt(c.step.hastened.Add(p.s.Limits.StopTime + clearTime + time.Millisecond))
	p.carryOut(c, best)
	return true
}

// earns is the credit that the candidate's job earns on time or late.
func (c *candidate) earns(late bool) float64 {
	if late && c.slack > 0 {
		return c.worth * lateShare
	}
	return c.worth
}

// clearing finds the cheapest way to make room: what is stopped, and what the job loses if
// it is late all the same.
func (p *pass) clearing(c *candidate) *clearing {
	count := c.step.shape.Members()
	var best *clearing
	for _, rooms := range p.sets(c, count) {
		for _, late := range []bool{false, true} {
			found := p.clear(c, p.inTime(c, rooms, late), count)
			if found == nil {
				continue
			}
			found.late = late
			if best == nil || found.loss-c.earns(late) < best.loss-c.earns(best.late) {
				best = found
			}
		}
	}
	return best
}

// inTime returns the rooms that are fast enough for the candidate's job once they have
// been cleared; all rooms, if it may be late.
func (p *pass) inTime(c *candidate, rooms []*room, late bool) []*room {
	if late {
		return rooms
	}
	most := safeSlack*c.slack - p.s.Limits.StopTime.Seconds()
	var out []*room
	for _, r := range rooms {
		if p.seconds(c, p.pace(c, r)) <= most {
			out = append(out, r)
		}
	}
	return out
}

func (p *pass) carryOut(c *candidate, found *clearing) {
	for _, r := range found.rooms {
		r.reserved = c.step
	}
	for _, v := range found.victims {
		v.preempted++
		p.s.stop(p.now, v, "preempted for job "+c.step.job.ID)
	}
}

// clearing is a set of targets and the runs to stop on them.
type clearing struct {
	rooms   []*room
	victims []*unit
	// loss is the credit that the stops cost.
	loss float64
	// late says that the job would be late there.
	late bool
}

// clear finds the cheapest runs to stop in some rooms so that count members fit.
func (p *pass) clear(c *candidate, rooms []*room, count int) *clearing {
	type option struct {
		r       *room
		victims []victim
		loss    float64
		times   int
	}
	var options []option
	for _, r := range rooms {
		if (r.reserved != nil && r.reserved != c.step) || r.Service != c.step.job.queue.Service || !r.labelled(c.step.shape.RequiredLabel) {
			continue
		}
		free := r.free
		o := option{r: r}
		limit := count
		if c.step.shape.MaxPerTarget > 0 {
			limit = min(limit, c.step.shape.MaxPerTarget-r.count(c.step))
		}
		// Room that is being made already costs nothing more.
		for _, m := range r.members {
			if !m.stopping.IsZero() {
				free = free.Plus(m.unit.step.shape.Counted())
			}
		}
		o.times = c.step.shape.Counted().Times(free, limit)
		if o.times == 0 {
			for _, v := range p.victims(c, r) {
				o.victims, o.loss = append(o.victims, v), o.loss+v.loss
				for _, m := range v.unit.members {
					if m.node == r.node {
						free = free.Plus(v.unit.step.shape.Counted())
					}
				}
				if o.times = c.step.shape.Counted().Times(free, limit); o.times > 0 {
					break
				}
			}
		}
		if o.times > 0 {
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.loss/float64(a.times), b.loss/float64(b.times)) })
	found := &clearing{}
	left := count
	taken := map[*unit]bool{}
	for _, o := range options {
		if left <= 0 {
			break
		}
		left -= o.times
		found.rooms = append(found.rooms, o.r)
		for _, v := range o.victims {
			if !taken[v.unit] {
				taken[v.unit] = true
				found.victims, found.loss = append(found.victims, v.unit), found.loss+v.loss
			}
		}
	}
	if left > 0 {
		return nil
	}
	return found
}

// victims lists the runs on a target that may be stopped for the candidate, cheapest first.
func (p *pass) victims(c *candidate, r *room) []victim {
	var out []victim
	seen := map[*unit]bool{}
	for _, m := range r.sorted() {
		u := m.unit
		if seen[u] || !m.stopping.IsZero() || m.state == intended || u.step.job.queue.Priority <= c.step.job.queue.Priority || u.step.shape.LongRunning {
			continue
		}
		seen[u] = true
		out = append(out, victim{unit: u, loss: p.s.loss(p.now, u)})
	}
	slices.SortStableFunc(out, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	return out
}

// loss is what a stop of a unit costs, in credit: the work that is thrown away, and the
// part of the job's worth that it stood for.
func (s *Scheduler) loss(now time.Time, u *unit) float64 {
	ran := sinceBegun(now, u)
	if u.step.shape.Checkpointing {
		// A stop makes a checkpoint; what is lost is the restart.
		ran = min(ran, s.Limits.CheckpointPeriod)
	}
	shape := u.step.shape
	cores := float64(shape.Needs.MilliCores)/1000 + acceleratorCores*float64(shape.Needs.Accelerators)
	members := float64(len(u.members))
	j := u.step.job
	part := ran.Seconds() * s.share(shape) * members / max(j.work, 0.01)
	return wasteCredit*cores*members*ran.Seconds() + s.worth(j)*part + stopCredit*float64(1+u.preempted)
}

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// spreadPenalty weighs the free room that a placement breaks up against duration.
	spreadPenalty = 0.5
	// maxReservations is how many steps that find no room may keep some for themselves.
	maxReservations = 4
	// busyShare of a service in use, a gang waits for a whole rack instead of running spread.
	busyShare = 0.5
	// latePenalty keeps tasks from targets that are too slow for their job's objective.
	latePenalty = 4
	// safeSlack of a job's spare time is counted on, as estimates are rough.
	safeSlack = 0.8
	// tightShare of a job's spare time taken by its work, it gets the fastest target.
	tightShare = 0.5
	// fastShare is what a fast target costs a task that does not need it.
	fastShare = 0.3
	// avoidPenalty makes a unit prefer another target than the one where it failed.
	avoidPenalty = 3
	// idlePause spaces the passes in which nothing but time has changed.
	idlePause = 500 * time.Millisecond
)

// room is a node as one pass of placement sees it.
type room struct {
	*node
	free workload.Resources
	// reserved is the step that the node's room is kept for.
	reserved *step
	// perStep counts the members of steps that bound them.
	perStep map[*step]int
}

// pass is one pass of placement.
type pass struct {
	s     *Scheduler
	now   time.Time
	rooms []*room
	racks map[string][]*room
	kept  int
	// failed holds shapes that found no room in this pass.
	failed map[shapeKey]bool
}

type shapeKey struct {
	service  string
	needs    workload.Resources
	count    int
	gang     bool
	sameRack bool
	label    string
	dataRack string
}

// place starts what can be started, most valuable first.
func (s *Scheduler) place(now time.Time) {
	candidates := s.candidates(now)
	if len(candidates) == 0 {
		return
	}
	p := &pass{s: s, now: now, racks: map[string][]*room{}, failed: map[shapeKey]bool{}}
	for _, n := range s.nodes {
		if p.usable(n) {
			r := &room{node: n, free: n.Capacity.Minus(n.used)}
			p.rooms = append(p.rooms, r)
			p.racks[n.Rack] = append(p.racks[n.Rack], r)
		}
	}
	slices.SortFunc(p.rooms, func(a, b *room) int { return cmp.Compare(a.ID, b.ID) })
	for _, rack := range p.racks {
		slices.SortFunc(rack, func(a, b *room) int { return cmp.Compare(a.ID, b.ID) })
	}
	for _, c := range candidates {
		p.serve(c)
	}
	s.wakeAt(now.Add(idlePause))
}

// usable reports whether a target may be given new work.
func (p *pass) usable(n *node) bool {
	if !n.listed || n.Draining || !n.contacted || n.quiet(p.now) {
		return false
	}
	if n.blocked.After(p.now) {
		p.s.wakeAt(n.blocked)
		return false
	}
	return true
}

// serve starts the units of a candidate for which there is room.
func (p *pass) serve(c *candidate) {
	key := c.key()
	for _, u := range c.idle {
		if p.failed[key] {
			break
		}
		var chosen []*room
		if c.step.shape.Gang {
			chosen = p.gang(c, c.step.shape.Count)
		} else if r := p.single(c, u); r != nil {
			chosen = []*room{r}
		}
		if chosen == nil {
			p.failed[key] = true
			p.reserve(c)
			break
		}
		p.start(c, u, chosen)
	}
}

func (c *candidate) key() shapeKey {
	shape := c.step.shape
	key := shapeKey{
		service: c.step.job.queue.Service, needs: shape.Counted(), count: 1, gang: shape.Gang, sameRack: shape.SameRack,
		label: shape.RequiredLabel, dataRack: shape.DataRack,
	}
	if shape.Gang {
		key.count = shape.Count
	}
	if shape.MaxPerTarget > 0 {
		// A bound depends on where the step's other tasks run; do not share the finding.
		key.service += "/" + c.step.job.ID
	}
	return key
}

// fits reports whether one more task of the step may run in a room.
func (p *pass) fits(c *candidate, r *room) bool {
	shape := c.step.shape
	if r.Service != c.step.job.queue.Service || !shape.Counted().Fits(r.free) || !r.labelled(shape.RequiredLabel) {
		return false
	}
	if r.reserved != nil && r.reserved != c.step {
		return false
	}
	return shape.MaxPerTarget == 0 || r.count(c.step) < shape.MaxPerTarget
}

func (n *node) labelled(label string) bool { return label == "" || slices.Contains(n.Labels, label) }

// count returns the tasks of a step on a target, those placed in this pass included.
func (r *room) count(st *step) int {
	if r.perStep == nil {
		r.perStep = map[*step]int{}
		for _, m := range r.members {
			r.perStep[m.unit.step]++
		}
	}
	return r.perStep[st]
}

// cost compares rooms for a task: a room where the job would be late is worse than any
// other, and a job with time to spare leaves the fast targets to others. Room that the
// task would break up counts against it.
func (p *pass) cost(c *candidate, u *unit, r *room) float64 {
	shape := c.step.shape
	work := p.s.duration(c.step).Seconds()
	if shape.DataRack != "" && shape.DataRack != r.Rack {
		work *= max(p.s.Limits.RemoteFactor, 1)
	}
	seconds := work / r.speed
	cost := work * (1 + fastShare*r.speed)
	if work > tightShare*c.slack {
		cost = seconds
	}
	if seconds > safeSlack*c.slack {
		cost = latePenalty * seconds
	}
	if u != nil && u.avoid == r.ID {
		cost *= avoidPenalty
	}
	left := r.free.Minus(shape.Counted())
	open := (share(left.MilliCores, r.Capacity.MilliCores) + share(left.MemoryMB, r.Capacity.MemoryMB) + share(left.Accelerators, r.Capacity.Accelerators)) / 3
	return cost * (1 + spreadPenalty*open)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// single finds the best room for one task; nil when there is none.
func (p *pass) single(c *candidate, u *unit) *room {
	var best *room
	lowest := 0.0
	for _, r := range p.rooms {
		if !p.fits(c, r) {
			continue
		}
		if cost := p.cost(c, u, r); best == nil || cost < lowest {
			best, lowest = r, cost
		}
	}
	return best
}

// gang finds rooms for all members of a gang, in one rack where it can; nil when there are none.
func (p *pass) gang(c *candidate, count int) []*room {
	var best []*room
	lowest := 0.0
	for _, name := range p.rackNames() {
		chosen, cost := p.fill(c, p.racks[name], count)
		if chosen != nil && (best == nil || cost < lowest) {
			best, lowest = chosen, cost
		}
	}
	if best != nil || (c.step.shape.SameRack && p.rackCanHold(c, count) && p.busy(c)) {
		return best
	}
	chosen, _ := p.fill(c, p.rooms, count)
	return chosen
}

// busy reports whether so much of a service is in use that a gang spread over racks,
// which runs for longer, would take room from others.
func (p *pass) busy(c *candidate) bool {
	var used, whole workload.Resources
	for _, r := range p.rooms {
		if r.Service == c.step.job.queue.Service {
			used, whole = used.Plus(r.Capacity.Minus(r.free)), whole.Plus(r.Capacity)
		}
	}
	return used.Share(whole) > busyShare
}

func (p *pass) rackNames() []string {
	names := make([]string, 0, len(p.racks))
	for name := range p.racks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// rackCanHold reports whether some rack could hold the gang if it were empty.
func (p *pass) rackCanHold(c *candidate, count int) bool {
	shape := c.step.shape
	for _, rack := range p.racks {
		total := 0
		for _, r := range rack {
			if r.Service != c.step.job.queue.Service || !r.labelled(shape.RequiredLabel) {
				continue
			}
			limit := count
			if shape.MaxPerTarget > 0 {
				limit = min(limit, shape.MaxPerTarget)
			}
			total += shape.Counted().Times(r.Capacity, limit)
		}
		if total >= count {
			return true
		}
	}
	return false
}

// fill chooses rooms for count members out of some; the slowest member decides the duration.
func (p *pass) fill(c *candidate, rooms []*room, count int) ([]*room, float64) {
	type option struct {
		r     *room
		cost  float64
		times int
	}
	var options []option
	total := 0
	for _, r := range rooms {
		if !p.fits(c, r) {
			continue
		}
		limit := count
		if c.step.shape.MaxPerTarget > 0 {
			limit = min(limit, c.step.shape.MaxPerTarget-r.count(c.step))
		}
		times := c.step.shape.Counted().Times(r.free, limit)
		options = append(options, option{r, p.cost(c, nil, r), times})
		total += times
	}
	if total < count {
		return nil, 0
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	var chosen []*room
	worst := 0.0
	for _, o := range options {
		for range o.times {
			if len(chosen) == count {
				return chosen, worst
			}
			chosen = append(chosen, o.r)
			worst = o.cost
		}
	}
	return chosen, worst
}

// start begins a new run of a unit in the chosen rooms.
func (p *pass) start(c *candidate, u *unit, chosen []*room) {
	j := c.step.job
	u.run++
	u.failed, u.begun = false, time.Time{}
	for i, r := range chosen {
		m := &member{unit: u, index: u.index + i, node: r.node, state: intended}
		u.members = append(u.members, m)
		p.s.attach(m)
		r.free = r.free.Minus(c.step.shape.Counted())
		if c.step.shape.MaxPerTarget > 0 {
			r.count(c.step)
			r.perStep[c.step]++
		}
		p.s.starts = append(p.s.starts, Start{Run: m.run(), Target: r.ID})
		p.s.log("run placed", Fields{
			"job": j.ID, "run": m.run(), "target": r.ID, "rack": r.Rack, "queue": j.Queue, "score": c.score, "guaranteed": c.guaranteed,
			"waited": p.now.Sub(c.step.occurrence.due), "objective": j.objective, "heard": p.now.Sub(r.heard), "speed": r.speed, "slack": c.slack,
			"expected": p.s.duration(c.step).Seconds() / r.speed,
		})
	}
	if j.phase == wire.JobPhase_JOB_PHASE_QUEUED {
		j.phase = wire.JobPhase_JOB_PHASE_RUNNING
	}
	p.s.dirty[j.ID] = j
}

// Order returns what a start sends to its target.
func (s *Scheduler) Order(start Start) (payload, checkpoint string) {
	m := s.member(start.Target, start.Run)
	if m == nil {
		return "", ""
	}
	return m.unit.step.job.Payload, m.unit.checkpoint
}

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// maxReservations is how many steps that find no room may keep some for themselves.
	maxReservations = 4
	// busyShare of a service in use, a gang waits for a whole rack instead of running spread.
	busyShare = 0.5
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
		var chosen choice
		if c.step.shape.Gang {
			chosen = p.gang(c, c.step.shape.Count)
		} else {
			chosen = p.single(c, u)
		}
		if chosen.rooms == nil {
			p.failed[key] = true
			p.reserve(c)
			break
		}
		if p.hasten(c, chosen) {
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

// gang finds rooms for all members of a gang, in one rack where it can.
func (p *pass) gang(c *candidate, count int) choice {
	best := choice{}
	for _, name := range p.rackNames() {
		if found := p.fill(c, p.racks[name], count, 1); found.rooms != nil && (best.rooms == nil || found.cost < best.cost) {
			best = found
		}
	}
	if !c.step.shape.SameRack {
		if found := p.fill(c, p.rooms, count, 1); found.rooms != nil && (best.rooms == nil || found.cost < best.cost) {
			best = found
		}
		return best
	}
	if best.rooms != nil || (p.rackCanHold(c, count) && p.busy(c)) {
		return best
	}
	return p.fill(c, p.rooms, count, max(p.s.Limits.RemoteFactor, 1))
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

// start begins a new run of a unit in the chosen rooms.
func (p *pass) start(c *candidate, u *unit, chosen choice) {
	j := c.step.job
	u.run++
	u.failed, u.begun = false, time.Time{}
	for i, r := range chosen.rooms {
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
			"expected": chosen.seconds,
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

package scheduler

import (
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// maxReservations is how many steps without enough free capacity may reserve targets in
	// one pass.
	maxReservations = 4
	// mostlyUsedShare is the share of a service's capacity in use above which a gang waits for
	// capacity in one rack instead of running spread over several.
	mostlyUsedShare = 0.5
	// maxRackWait is how long a gang that lasts waits for a rack while others have room for it together.
	maxRackWait = 200 * time.Millisecond
	// idlePassInterval is the longest time between two passes while steps wait to be placed
	// and nothing but the time has changed.
	idlePassInterval = 500 * time.Millisecond
	// maxFreeIndex is the highest number of free accelerators by which targets are indexed.
	maxFreeIndex = 8
)

// freeCapacity is a target that may be given new work, with the capacity that is still free in
// this pass.
type freeCapacity struct {
	*node
	free workload.Resources
	cold coldLimit
	// rack is the index of the target's rack in pass.racks.
	rack int
	// restriction says which work the target gets in this pass.
	restriction restriction
	// doubted says that failures of a short time ago speak against the target.
	doubted bool
	// reserved is the step for which capacity of the target is reserved. What it will use is in reservedUse;
	// others may have the rest. If reservedUse is zero, the whole target is reserved, until runs there have
	// been stopped or have ended.
	reserved    *step
	reservedUse workload.Resources
	// kept says that the free capacity is kept for work of priority 0.
	kept bool
	// releases holds the runs here in the order in which they are expected to end, once a step
	// has needed them; victims holds the units that may be stopped for a job of priority 0.
	releases []release
	victims  []victim
	// hasReleases and hasVictims say that these have been filled in this pass.
	hasReleases, hasVictims bool
	// perStep counts the tasks here by step. It is filled when a step with a limit per target
	// first needs it.
	perStep map[*step]int
}

// pass is one placement pass. Its memory is used again in the next one.
type pass struct {
	s   *Scheduler
	now time.Time
	// openNodes are the targets that may be given new work, in order of their IDs. racks holds
	// them by rack, in the order of rackNames.
	openNodes  []*freeCapacity
	racks      [][]*freeCapacity
	rackNames  []string
	rackIndex  map[string]int
	capacities []freeCapacity
	// withFree holds, by the number of free accelerators at the start of the pass, the targets
	// that had so many or more; the last entry is for all higher numbers too.
	withFree [maxFreeIndex + 1][]*freeCapacity
	// rackFree sums the free capacity of each rack.
	rackFree []workload.Resources
	// usage holds the capacity of each service and how much of it is used.
	usage map[string]*usage
	// warmTasks sums up the tasks on the warm targets of each service.
	warmTasks map[string]weightedSum
	// byFree holds targets in the order of their free capacity.
	byFree []*freeCapacity
	// bySpeed and byCost hold the options for the gang that is being placed.
	bySpeed, byCost []memberOption
	// couldHold holds what rackCouldHold has found.
	couldHold    map[unitRequirements]bool
	reservations int
	// restricted counts the targets with a restriction.
	restricted int
	// covered says, by organisation, whether its guarantee covers all its open jobs of priority 0, and urgentUse
	// how many accelerators its runs of priority 0 use. Both are nil until they are needed.
	covered   map[string]bool
	urgentUse map[string]int64
	// victimMembers holds members of the units that may be stopped; see victim.
	victimMembers []*member
	// away counts the tasks of long-running steps that are not at work, where that is known.
	away map[*step]int
	// searches counts the searches for runs to stop that found none worthwhile.
	searches int
	// unplaceable holds the requirements for which no target had enough free capacity in this
	// pass, and whether some had but for what is kept for others.
	unplaceable map[unitRequirements]bool
}

// unitRequirements are the properties of a unit that decide whether it fits anywhere. When a
// unit does not fit, units with equal requirements are not tried in the same pass.
type unitRequirements struct {
	service  string
	needs    workload.Resources
	count    int
	gang     bool
	sameRack bool
	label    string
	dataRack string
	// usesHeadroom says that the unit may use what is kept for priority 0, and usesReserved that it may use
	// what is reserved for steps that wait.
	usesHeadroom, usesReserved bool
	// hasWaitedForRack says that the unit may be spread over racks.
	hasWaitedForRack bool
	// urgent says that the unit has priority 0, and mayBeTrial that it may be risked on a target on probation.
	urgent, mayBeTrial bool
	// limited is the unit's step if it has a limit per target.
	limited *step
}

// place starts the units for which there is free capacity, in the order of the candidates.
func (s *Scheduler) place(now time.Time) {
	candidates := s.candidates(now)
	s.shares.short = false
	if len(candidates) == 0 {
		clear(s.backlogs)
		return
	}
	p := &s.pass
	p.begin(s, now)
	s.recordUrgentDemand(now, candidates)
	p.keepHeadroom()
	for _, c := range candidates {
		p.startUnits(c)
	}
	p.measureBacklogs(candidates)
	s.wakeAt(now.Add(idlePassInterval))
}

// isEligible reports whether a target may be given new work.
func (p *pass) isEligible(n *node, ignorePauses bool) bool {
	if !n.listed || n.awaitsEntry() || n.Draining || p.s.isCordoned(n) || !n.contacted || n.suspect || n.unresponsive(p.now) || p.s.isWithheld(n.ID) {
		return false
	}
	until := n.refusedUntil
	if !ignorePauses {
		until = later(until, n.pausedUntil)
	}
	if until.After(p.now) {
		p.s.wakeAt(until)
		return false
	}
	return true
}

// startUnits starts the units of a candidate for which there is free capacity. For the first
// one that does not fit it tries to reserve capacity, and skips the rest.
func (p *pass) startUnits(c *candidate) {
	c.usesHeadroom, c.usesReserved = p.usesHeadroom(c), p.usesReserved(c)
	c.lateCostFactor = p.lateCostFactor(c)
	for _, u := range c.startableUnits {
		requirements := c.requirements()
		requirements.hasWaitedForRack = p.hasWaitedForRack(c)
		requirements.mayBeTrial = p.restricted > 0 && c.mayBeTrial(u, p.runSeconds(c, 1))
		if keptOut, known := p.unplaceable[requirements]; known {
			p.leaveWaiting(c, requirements, keptOut)
			break
		}
		c.keptOut = false
		chosen := p.choose(c, u)
		if chosen.openNodes == nil {
			p.unplaceable[requirements] = c.keptOut
			p.leaveWaiting(c, requirements, c.keptOut)
			p.reserve(c)
			break
		}
		if p.preemptFaster(c, chosen) {
			p.s.shares.short = true
			break
		}
		p.startRun(c, u, chosen)
		c.placed++
		c.usesReserved = c.usesReserved && p.usesReserved(c)
	}
}

// leaveWaiting records that a candidate found no room, or only such as is kept for others.
func (p *pass) leaveWaiting(c *candidate, requirements unitRequirements, keptOut bool) {
	p.s.shares.short = true
	p.logCordonWait(c, requirements)
	switch {
	case !keptOut:
		c.step.keptOutSince = time.Time{}
	case c.step.keptOutSince.IsZero():
		c.step.keptOutSince = p.now
	}
}

func (c *candidate) requirements() unitRequirements {
	spec := c.step.spec
	requirements := unitRequirements{
		service: c.step.job.terms.Service, needs: spec.CapacityUse(), count: 1, gang: spec.Gang, sameRack: spec.SameRack,
		label: spec.RequiredLabel, dataRack: spec.DataRack, urgent: c.step.job.terms.Priority == 0,
	}
	if spec.Gang {
		requirements.count = spec.Count
	}
	requirements.usesHeadroom, requirements.usesReserved = c.usesHeadroom, c.usesReserved
	if spec.MaxPerTarget > 0 {
		// The limit depends on where the step's other tasks run, so the result holds for this
		// step only.
		requirements.limited = c.step
	}
	return requirements
}

func (n *node) hasLabel(label string) bool { return label == "" || slices.Contains(n.Labels, label) }

// count returns the number of tasks of a step on a target, including those placed in this
// pass.
func (n *freeCapacity) count(st *step) int {
	if n.perStep == nil {
		n.perStep = map[*step]int{}
		for _, m := range n.members {
			n.perStep[m.unit.step]++
		}
	}
	return n.perStep[st]
}

// placeGang finds targets for all members of a gang, in one rack where possible.
func (p *pass) placeGang(c *candidate, count int) placement {
	best := placement{}
	for i, rack := range p.racks {
		if c.step.spec.CapacityUse().CountFitting(p.rackFree[i], count) < count {
			continue
		}
		if found := p.placeMembers(c, rack, count, 1); found.openNodes != nil && (best.openNodes == nil || found.cost < best.cost) {
			best = found
		}
	}
	if !c.step.spec.SameRack {
		if found := p.placeMembers(c, p.candidateNodes(c), count, 1); found.openNodes != nil && (best.openNodes == nil || found.cost < best.cost) {
			best = found
		}
		return best
	}
	if best.openNodes != nil {
		return best
	}
	if p.waitsForRack(c, count) && p.mostlyUsed(c) {
		p.beginRackWait(c)
		return best
	}
	return p.placeMembers(c, p.candidateNodes(c), count, max(p.s.Limits.RemoteFactor, 1))
}

// waitsForRack reports whether a gang waits until some rack can hold it. One that lasts does so for maxRackWait: it serves
// nobody meanwhile, and what runs in the racks may take hours.
func (p *pass) waitsForRack(c *candidate, count int) bool {
	return !p.hasWaitedForRack(c) && p.rackCouldHold(c, count)
}

func (p *pass) hasWaitedForRack(c *candidate) bool {
	since := c.step.rackWaitSince
	return c.step.spec.LongRunning && !since.IsZero() && p.now.Sub(since) >= maxRackWait
}

// beginRackWait records that a gang waits for a rack, unless it does so already.
func (p *pass) beginRackWait(c *candidate) {
	if c.step.spec.LongRunning && c.step.rackWaitSince.IsZero() {
		c.step.rackWaitSince = p.now
		p.s.wakeAt(p.now.Add(maxRackWait))
	}
}

// mostlyUsed reports whether so much of a service is in use that a gang spread over racks,
// which runs longer, would take capacity that others need.
func (p *pass) mostlyUsed(c *candidate) bool {
	total := p.usage[c.step.job.terms.Service]
	return total != nil && total.used.DominantShare(total.whole) > mostlyUsedShare
}

// rackCouldHold reports whether some rack could hold the gang if all runs there had ended that end by
// themselves.
func (p *pass) rackCouldHold(c *candidate, count int) bool {
	requirements := c.requirements()
	could, known := p.couldHold[requirements]
	if !known {
		could = p.anyRackHolds(c, count)
		p.couldHold[requirements] = could
	}
	return could
}

func (p *pass) anyRackHolds(c *candidate, count int) bool {
	for _, rack := range p.racks {
		total := 0
		for _, n := range rack {
			total += p.maxMembersEmptied(c, n, count)
		}
		if total >= count {
			return true
		}
	}
	return false
}

// startRun begins a new run of a unit on the chosen targets.
func (p *pass) startRun(c *candidate, u *unit, chosen placement) {
	j := c.step.job
	u.run++
	u.startedAt, c.step.rackWaitSince = time.Time{}, time.Time{}
	for i, n := range chosen.openNodes {
		m := newMember(u, i, n.node, memberAwaitingWrite)
		p.s.attach(m)
		p.take(n, c.step.spec.CapacityUse())
		if c.step.spec.MaxPerTarget > 0 {
			n.count(c.step)
			n.perStep[c.step]++
		}
		p.s.starts = append(p.s.starts, Start{Run: m.run, Target: n.ID})
		placed := m.fields(p.now)
		if n.cold.left > 0 {
			placed["coldRemaining"] = n.cold.left
		}
		if n.reserved != nil && n.reserved != c.step {
			placed["reservedFor"] = n.reserved.job.ID
		}
		if n.recordTrial(m) {
			placed["reason"] = "a trial of a target on probation"
		}
		p.s.log("run placed", placed.with(Fields{
			"rack": n.Rack, "queue": j.Queue, "score": c.score, "value": c.value, "weight": c.weight, "guaranteed": c.guaranteed,
			"organisation": j.Organisation, "shareFactor": p.s.shareFactor(j),
			"waited": p.now.Sub(c.step.occurrence.due), "objective": j.objective, "speed": n.speed, "slack": c.slack,
			"expected": chosen.runSeconds,
		}))
	}
	if j.phase == wire.JobPhase_JOB_PHASE_QUEUED {
		j.phase = wire.JobPhase_JOB_PHASE_RUNNING
	}
	p.s.dirty[j.ID] = j
}

// StartPayload returns the payload and the checkpoint to send with a start; both are empty if
// the start is no longer wanted.
func (s *Scheduler) StartPayload(start Start) (payload, checkpoint string) {
	m := s.member(start.Target, start.Run)
	if m == nil {
		return "", ""
	}
	return m.unit.step.job.Payload, m.unit.checkpoint
}

package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// freeCapacityPenalty raises the cost of a target in proportion to the capacity that the
	// placement would leave free there, so that tasks fill partly used targets first.
	freeCapacityPenalty = 0.5
	// fastTargetExponent is the power of a target's speed in its cost per second. Above 1, a
	// run costs more on a fast target, so tasks with time to spare leave those to others.
	fastTargetExponent = 1.3
	// maxLateCostFactor bounds the cost of a late end, in multiples of the task's expected duration at
	// speed 1. It holds while nothing waits, when any loss of value outweighs the price of capacity.
	maxLateCostFactor = 8
	// endUncertainty is the uncertainty of a run's end, as the scale of a logistic
	// distribution of the logarithm of its duration. Placements use only safeSlackShare of a
	// job's slack.
	endUncertainty = 0.1
	safeSlackShare = 0.9
	// avoidPenalty multiplies the cost of the target on which the unit failed last, and of doubted targets,
	// so that it prefers another.
	avoidPenalty = 3
	// speedStep is the ratio between the minimum speeds that are tried one after another for a
	// gang.
	speedStep = 1.15
)

// costPerSecond returns the cost of running one task on a target for a second. Fast targets
// cost more, and so do targets that would have much free capacity left. u may be nil.
func (p *pass) costPerSecond(c *candidate, u *unit, n *freeCapacity) float64 {
	costPerSecond := n.speedCost
	if (u != nil && u.avoidTarget == n.ID) || n.doubted {
		costPerSecond *= avoidPenalty
	}
	remaining := n.free.Minus(c.step.spec.CapacityUse())
	freeFraction := (fraction(remaining.MilliCores, n.Capacity.MilliCores) + fraction(remaining.MemoryMB, n.Capacity.MemoryMB) + fraction(remaining.Accelerators, n.Capacity.Accelerators)) / 3
	return costPerSecond * (1 + freeCapacityPenalty*freeFraction)
}

// effectiveSpeed returns the speed at which a task of the step would run on a target, reduced
// by RemoteFactor where the target is not in the rack of the step's data, and as long as the target is cold.
func (p *pass) effectiveSpeed(c *candidate, n *freeCapacity) float64 {
	speed := n.speed
	if spec := c.step.spec; spec.DataRack != "" && spec.DataRack != n.Rack {
		speed /= max(p.s.Limits.RemoteFactor, 1)
	}
	if n.cold.left > 0 {
		warmSeconds := p.runSeconds(c, speed)
		speed *= warmSeconds / p.s.secondsFromCold(warmSeconds, n.cold.left.Seconds())
	}
	return speed
}

// runSeconds returns how many seconds a task of the step takes at a speed.
func (p *pass) runSeconds(c *candidate, effectiveSpeed float64) float64 {
	return p.s.taskDuration(c.step).Seconds() / max(effectiveSpeed, minSpeed)
}

// lateProbability returns the probability that a run of so many seconds ends too late for its
// job's objective.
func (c *candidate) lateProbability(runSeconds float64) float64 {
	if c.slack <= 0 {
		return 1
	}
	return 1 / (1 + math.Exp(-math.Log(runSeconds/(safeSlackShare*c.slack))/endUncertainty))
}

// expectedLateCost returns the cost of a late end, weighted by its probability, for one task.
func (p *pass) expectedLateCost(c *candidate, runSeconds float64) float64 {
	return c.lateCostFactor * p.s.taskDuration(c.step).Seconds() * c.lateProbability(runSeconds)
}

// lateCostFactor returns the cost of a late end of a candidate's job, in multiples of the task's expected
// duration at speed 1: how many times as much a target-second is worth to the job as to the work that waits.
// It takes the whole value as lost: a placement is made to meet the objective, and the first second after it
// would cost too little to leave a cheap target for.
func (p *pass) lateCostFactor(c *candidate) float64 {
	price := p.s.price(c.step.job.terms.Service)
	if price <= 0 {
		return maxLateCostFactor
	}
	return min(c.score/price, maxLateCostFactor)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// placement lists the targets for a unit, one entry for each member, with the cost of running
// the unit there and the time that it would take.
type placement struct {
	openNodes  []*freeCapacity
	cost       float64
	runSeconds float64
}

// placeTask finds the cheapest target for one task. The placement is empty when no target has
// enough free capacity.
func (p *pass) placeTask(c *candidate, u *unit) placement {
	var best *freeCapacity
	bestCost, bestSeconds := math.Inf(1), 0.0
	for _, n := range p.candidateNodes(c) {
		if p.maxMembers(c, n, 1) == 0 {
			continue
		}
		runSeconds := p.runSeconds(c, p.effectiveSpeed(c, n))
		cost := runSeconds * p.costPerSecond(c, u, n)
		if cost >= bestCost {
			continue
		}
		if cost += p.expectedLateCost(c, runSeconds); cost < bestCost {
			best, bestCost, bestSeconds = n, cost, runSeconds
		}
	}
	if best == nil {
		return placement{}
	}
	return placement{openNodes: []*freeCapacity{best}, cost: bestCost, runSeconds: bestSeconds}
}

// memberOption is a target on which up to maxMembers members of a gang could run.
type memberOption struct {
	freeCapacity   *freeCapacity
	effectiveSpeed float64
	costPerSecond  float64
	maxMembers     int
}

// placeMembers chooses targets for count members of a gang, whose run takes slowdown times
// as long there as in one rack. All members run at the speed of the slowest, so it tries a
// series of minimum speeds, each with the targets that reach it, and returns the cheapest
// placement. The placement is empty when the targets cannot hold all members.
func (p *pass) placeMembers(c *candidate, openNodes []*freeCapacity, count int, slowdown float64) placement {
	bySpeed, total := p.options(c, openNodes, count)
	if total < count {
		return placement{}
	}
	slices.SortStableFunc(bySpeed, func(a, b memberOption) int { return cmp.Compare(b.effectiveSpeed, a.effectiveSpeed) })
	p.byCost = append(p.byCost[:0], bySpeed...)
	slices.SortStableFunc(p.byCost, func(a, b memberOption) int { return cmp.Compare(a.costPerSecond, b.costPerSecond) })
	best, slowestOfBest := placement{}, 0.0
	included, freeCapacity := 0, 0
	for included < len(bySpeed) {
		slowest := bySpeed[included].effectiveSpeed / speedStep
		for included < len(bySpeed) && bySpeed[included].effectiveSpeed >= slowest {
			freeCapacity += bySpeed[included].maxMembers
			included++
		}
		if freeCapacity < count {
			continue
		}
		slowest = bySpeed[included-1].effectiveSpeed
		if found := p.cheapestPlacement(c, slowest, count, slowdown); slowestOfBest == 0 || found.cost < best.cost {
			best, slowestOfBest = found, slowest
		}
	}
	best.openNodes = p.cheapestNodes(slowestOfBest, count)
	return best
}

// options returns the targets on which members of a gang could run, and how many members fit on
// them together.
func (p *pass) options(c *candidate, openNodes []*freeCapacity, count int) ([]memberOption, int) {
	options := p.bySpeed[:0]
	total := 0
	for _, n := range openNodes {
		maxMembers := p.maxMembers(c, n, count)
		if maxMembers == 0 {
			continue
		}
		options = append(options, memberOption{freeCapacity: n, effectiveSpeed: p.effectiveSpeed(c, n), maxMembers: maxMembers})
		total += maxMembers
	}
	if total >= count {
		for i := range options {
			options[i].costPerSecond = p.costPerSecond(c, nil, options[i].freeCapacity)
		}
	}
	p.bySpeed = options
	return options, total
}

// cheapestPlacement returns the time and the cost of count members on the cheapest targets that are
// no slower than slowest; it leaves the targets out.
func (p *pass) cheapestPlacement(c *candidate, slowest float64, count int, slowdown float64) placement {
	totalCost, effectiveSpeed, missing := 0.0, math.Inf(1), count
	for i := range p.byCost {
		o := &p.byCost[i]
		if o.effectiveSpeed < slowest {
			continue
		}
		members := min(o.maxMembers, missing)
		totalCost, effectiveSpeed = totalCost+float64(members)*o.costPerSecond, min(effectiveSpeed, o.effectiveSpeed)
		if missing -= members; missing == 0 {
			break
		}
	}
	found := placement{runSeconds: slowdown * p.runSeconds(c, effectiveSpeed)}
	found.cost = found.runSeconds*totalCost + float64(count)*p.expectedLateCost(c, found.runSeconds)
	return found
}

// cheapestNodes returns the targets of cheapestPlacement, one entry for each member.
func (p *pass) cheapestNodes(slowest float64, count int) []*freeCapacity {
	nodes := make([]*freeCapacity, 0, count)
	for i := range p.byCost {
		o := &p.byCost[i]
		if o.effectiveSpeed < slowest {
			continue
		}
		for range min(o.maxMembers, count-len(nodes)) {
			nodes = append(nodes, o.freeCapacity)
		}
		if len(nodes) == count {
			break
		}
	}
	return nodes
}

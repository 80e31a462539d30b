package scheduler

import (
	"math"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// coldPriorSamples is how many samples the slowdown that is assumed at first counts as, and
	// maxColdSamples bounds the weight of all earlier samples against a new one.
	coldPriorSamples = 4
	maxColdSamples   = 60
	// maxLogColdSlowdown bounds the logarithm of the slowdown of cold targets.
	maxLogColdSlowdown = 2.0
)

// coldTime is what is known of the time during which a target is slow after its start.
type coldTime struct {
	// whole is the longest remaining time that an entry of this incarnation has shown.
	whole time.Duration
	// remaining is the time that was left when the target's clock showed clock, or at the time since of
	// the planner's clock if clock is 0.
	remaining time.Duration
	clock     time.Duration
	since     time.Time
	// assumed says that no entry of this incarnation is known, so that the whole time of the former one is
	// assumed.
	assumed bool
}

// recordCold records what an entry says of a target's cold time.
func (n *node) recordCold(now time.Time, listing target.Listing) {
	whole := n.cold.whole
	if n.cold.assumed {
		whole = 0
	}
	n.cold = coldTime{whole: max(whole, listing.ColdRemaining), remaining: listing.ColdRemaining, clock: listing.Clock, since: now}
}

// restartCold begins the cold time of a new incarnation of which no entry is known.
func (n *node) restartCold(now time.Time) {
	n.cold = coldTime{whole: n.cold.whole, remaining: n.cold.whole, since: now, assumed: true}
}

// coldLeft returns how much longer a target is slow after its start; 0 for a warm one.
func (s *Scheduler) coldLeft(now time.Time, n *node) time.Duration {
	if s.Limits.ColdOverage <= 0 || n.cold.remaining <= 0 {
		return 0
	}
	passed := now.Sub(n.cold.since)
	if n.cold.clock > 0 && !n.clockAt.IsZero() {
		passed = max(0, n.clock+now.Sub(n.clockAt)-n.cold.clock)
	}
	return max(0, n.cold.remaining-passed)
}

// ColdTargets counts the listed targets that are cold.
func (s *Scheduler) ColdTargets(now time.Time) int {
	count := 0
	for _, n := range s.ordered {
		if n.listed && s.coldLeft(now, n) > 0 {
			count++
		}
	}
	return count
}

// coldPace is what has been learned of the slowdown of cold targets.
type coldPace struct {
	// logSlowdown is the logarithm of how many times as long a run takes on a cold target, relative to
	// ColdOverage, the first assumption.
	logSlowdown float64
	samples     float64
}

// coldSlowdown returns how many times as long runs take on a cold target.
func (s *Scheduler) coldSlowdown() float64 {
	return math.Exp(min(max(s.coldPace.logSlowdown+s.logColdPrior(), 0), maxLogColdSlowdown))
}

func (s *Scheduler) logColdPrior() float64 { return math.Log(max(s.Limits.ColdOverage, 1)) }

// observeCold learns the slowdown of cold targets from the last interval of a run. A gang teaches nothing
// while it also has warm targets.
func (s *Scheduler) observeCold(now time.Time, m *member) {
	u, p := m.unit, &m.progress
	if p.rate <= 0 || m != u.members[0] {
		return
	}
	usual := math.Inf(1)
	for _, other := range u.members {
		if s.coldLeft(now, other.node) <= 0 {
			return
		}
		usual = min(usual, other.node.usualLogSpeed)
	}
	warmRate := usual - math.Log(s.taskDuration(u.step).Seconds()*u.remoteSlowdown(s.Limits.RemoteFactor))
	sample := min(max(warmRate-math.Log(p.rate), -maxLogColdSlowdown), maxLogColdSlowdown) - s.logColdPrior()
	s.coldPace.samples = min(s.coldPace.samples+1, maxColdSamples)
	s.coldPace.logSlowdown += (sample - s.coldPace.logSlowdown) / (coldPriorSamples + s.coldPace.samples)
}

// secondsFromCold returns how long work of so many seconds on a warm target takes on one that stays cold for
// coldSeconds.
func (s *Scheduler) secondsFromCold(warmSeconds, coldSeconds float64) float64 {
	if coldSeconds <= 0 {
		return warmSeconds
	}
	slowdown := s.coldSlowdown()
	return min(warmSeconds*slowdown, warmSeconds+coldSeconds*(1-1/slowdown))
}

// stallTime returns how long a run may make no progress before it counts as stalled.
func (s *Scheduler) stallTime(p *progress) time.Duration {
	if p.cold {
		return time.Duration(float64(stalledAfter) * s.coldSlowdown())
	}
	return stalledAfter
}

// coldLimit limits what a cold target is given in a pass; the zero coldLimit limits nothing.
type coldLimit struct {
	// left is how much longer the target is cold.
	left time.Duration
	// free is the part of the usable capacity that is left; it may be negative.
	free workload.Resources
	// tasks counts the tasks there, and maxTasks is the most that it may have.
	tasks, maxTasks int
}

// coldLimit returns the limits of a target. Its usable capacity grows with the part of its cold time that has
// passed, so that a whole zone that returns is loaded step by step.
func (p *pass) coldLimit(n *node) coldLimit {
	left := p.s.coldLeft(p.now, n)
	if left <= 0 {
		return coldLimit{}
	}
	passed := 1 - float64(left)/float64(max(n.cold.whole, left))
	usable := workload.Resources{
		MilliCores: int64(passed * float64(n.Capacity.MilliCores)), MemoryMB: int64(passed * float64(n.Capacity.MemoryMB)), Accelerators: int64(passed * float64(n.Capacity.Accelerators)),
	}
	limit := coldLimit{left: left, free: usable.Minus(n.used), tasks: len(n.members), maxTasks: math.MaxInt}
	if warm := p.warmTasks[n.Service]; warm.weight > 0 {
		limit.maxTasks = int(p.s.Limits.ColdOverage*warm.total/warm.weight) + p.s.Limits.ColdSlack
	}
	return limit
}

// countWarmTasks sums up the tasks on the warm targets of each service.
func (p *pass) countWarmTasks() {
	clear(p.warmTasks)
	if p.s.Limits.ColdOverage <= 0 {
		return
	}
	if p.warmTasks == nil {
		p.warmTasks = map[string]weightedSum{}
	}
	for _, n := range p.s.ordered {
		if n.listed && !n.Draining && n.contacted && p.s.coldLeft(p.now, n) <= 0 {
			sum := p.warmTasks[n.Service]
			sum.add(float64(len(n.members)), 1)
			p.warmTasks[n.Service] = sum
		}
	}
}

// countFitting returns how many more tasks fit on a target, at most limit, if free is what is free there
// after the end of some runs.
func (n *freeCapacity) countFitting(use, free workload.Resources, limit int) int {
	count := use.CountFitting(free, limit)
	if n.cold.left <= 0 || count == 0 {
		return count
	}
	allowed := use.CountFitting(n.cold.free.Plus(free.Minus(n.free)), limit)
	if n.cold.tasks == 0 {
		allowed = max(allowed, 1)
	}
	return max(0, min(count, allowed, n.cold.maxTasks-n.cold.tasks))
}

// take counts a task that was placed.
func (c *coldLimit) take(use workload.Resources) {
	c.free, c.tasks = c.free.Minus(use), c.tasks+1
}

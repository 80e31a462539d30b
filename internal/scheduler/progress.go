package scheduler

import (
	"math"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// observeInterval is the shortest time over which a rate is measured, because targets
	// report progress in whole percent.
	observeInterval = 700 * time.Millisecond
	// ratioWeight is the weight of one step in its queue's ratio of measured to estimated
	// duration, which stays between minRatio and maxRatio.
	ratioWeight        = 0.1
	minRatio, maxRatio = 0.2, 5.0
	// minSpeed is the lowest speed that is assumed for a target.
	minSpeed = 0.1
	// stalledAfter is how long a run may make no progress before it counts as stalled.
	stalledAfter = 1200 * time.Millisecond
	// moveOverhead is the time that a move takes in addition to the work that is repeated.
	moveOverhead = time.Second
	// moveFactor is how many times as long a run has to be expected to take where it is,
	// compared with a move, before it is moved.
	moveFactor = 3.0
	// maxMoves is how often a unit may be moved.
	maxMoves = 2
	// slowAfter is how long a unit has to run before it may count as slow.
	slowAfter = 2500 * time.Millisecond
	// nearlyDonePercent is the progress from which a run is not moved any more.
	nearlyDonePercent = 90
	// percentAtWork is the progress of a long-running task that has got through its startup.
	percentAtWork = 100
	// spreadWeight is the weight of one step in the spread of its queue's estimates, which
	// starts at firstSpread and stays between minSpread and maxSpread.
	spreadWeight         = 0.1
	firstSpread          = 0.5
	minSpread, maxSpread = 0.1, 1.0
)

// progress is the last measurement of a member's progress.
type progress struct {
	percent int
	at      time.Time
	// rate is the fraction of the work that was done per second over the last interval;
	// increasedAt is when percent last grew.
	rate        float64
	increasedAt time.Time
	// reportedAt is when the target last reported the run.
	reportedAt time.Time
	// cold says that a target of the run was cold at the last measurement.
	cold bool
	// firstAt and firstPercent are the first measurement of the run.
	firstAt      time.Time
	firstPercent int
	// observation is the run's entry in Scheduler.observations; nil before the first.
	observation *observation
}

// stalledFor returns how long the run has made no progress, as far as its target has reported: while
// the target is silent nothing is known.
func (p *progress) stalledFor() time.Duration { return p.reportedAt.Sub(p.increasedAt) }

// observe updates the measured progress of a run, from which the speed of its target and the
// work of its step are estimated. All tasks of a step share one estimate of the work.
func (s *Scheduler) observe(now time.Time, m *member, running target.Running) {
	if m.unit.step.spec.LongRunning {
		return
	}
	p, cold := &m.progress, s.outlook(now, m.unit).coldLeft > 0
	if p.at.IsZero() || running.Percent < p.percent || cold != p.cold {
		// A rate from before and after the end of the cold time would tell neither speed.
		*p = progress{percent: running.Percent, at: now, increasedAt: now, reportedAt: now, firstAt: now, firstPercent: running.Percent, cold: cold}
		return
	}
	p.reportedAt = now
	if running.Percent > p.percent {
		p.increasedAt = now
	}
	took := now.Sub(p.at)
	if took < observeInterval {
		return
	}
	p.rate = float64(running.Percent-p.percent) / 100 / took.Seconds()
	p.percent, p.at = running.Percent, now
	if cold {
		s.observeCold(now, m)
		return
	}
	if sinceFirst := now.Sub(p.firstAt); running.Percent > p.firstPercent {
		s.recordObservation(now, m, running.Percent-p.firstPercent, sinceFirst)
	}
}

// recordObservation records for the next fit that a run advanced by done percentage points in
// the given time. All members of a gang advance together, so only the first one is recorded.
func (s *Scheduler) recordObservation(now time.Time, m *member, done int, took time.Duration) {
	u, p := m.unit, &m.progress
	if m != u.members[0] {
		return
	}
	if p.observation == nil {
		p.observation = &observation{step: u.step, nodes: u.nodes()}
		s.observations = append(s.observations, p.observation)
	}
	remoteSlowdown := u.remoteSlowdown(s.Limits.RemoteFactor)
	spread := taskSpread
	if u.step.spec.Gang {
		spread = gangSpread
	}
	o := p.observation
	o.at, o.rate, o.current = now, math.Log(float64(done)/100/took.Seconds()*remoteSlowdown), math.Log(p.rate*remoteSlowdown)
	o.variance = spread*spread + math.Pow(percentError/float64(done), 2)
	s.hasNewObservations = true
}

// nodes returns the targets of a unit's run, each once.
func (u *unit) nodes() []*node {
	if len(u.members) == 1 {
		return []*node{u.members[0].node}
	}
	var out []*node
	seen := map[*node]bool{}
	for _, m := range u.members {
		if !seen[m.node] {
			seen[m.node] = true
			out = append(out, m.node)
		}
	}
	return out
}

// remoteSlowdown returns the factor by which a unit runs longer because it runs outside the rack
// of its data or is spread over racks; 1 if neither applies.
func (u *unit) remoteSlowdown(factor float64) float64 {
	spec := u.step.spec
	for _, m := range u.members {
		farFromData := spec.DataRack != "" && m.node.Rack != spec.DataRack
		if farFromData || (spec.SameRack && m.node.Rack != u.members[0].node.Rack) {
			return max(factor, 1)
		}
	}
	return 1
}

func (s *Scheduler) memberRemainingTime(now time.Time, m *member) time.Duration {
	p, u := &m.progress, m.unit
	o := s.outlook(now, u)
	total := s.taskDuration(u.step).Seconds() * o.remoteSlowdown / max(m.node.speed, minSpeed)
	coldLeft := o.coldLeft.Seconds()
	if p.at.IsZero() {
		ran := runningFor(now, u).Seconds()
		if coldLeft > 0 {
			total = s.secondsFromCold(total, coldLeft+ran)
		}
		return time.Duration(max(total-ran, 0) * float64(time.Second))
	}
	remaining := float64(100-p.percent) / 100
	stalled := p.stalledFor()
	if p.rate <= 0 || stalled > s.stallTime(p) {
		// A stalled run is expected to stay stalled for as long again.
		return stalled + time.Duration(s.secondsFromCold(remaining*total, coldLeft)*float64(time.Second))
	}
	seconds := remaining / p.rate
	if p.cold {
		seconds = s.secondsFromCold(seconds/s.coldSlowdown(), coldLeft+now.Sub(p.at).Seconds())
	}
	return max(0, time.Duration(seconds*float64(time.Second))-now.Sub(p.at))
}

func runningFor(now time.Time, u *unit) time.Duration {
	if u.startedAt.IsZero() {
		return 0
	}
	return now.Sub(u.startedAt)
}

// timeIfMoved returns how long a run would take if it were moved to a target of speed 1, from
// its checkpoint if it has one and otherwise from the start.
func (s *Scheduler) timeIfMoved(now time.Time, u *unit) time.Duration {
	remaining := 1.0
	if u.step.spec.Checkpointing && u.checkpoint != "" {
		remaining = float64(100-s.outlook(now, u).leastPercent) / 100
	}
	return moveOverhead + time.Duration(remaining*float64(s.taskDuration(u.step)))
}

// moveSlowRuns stops runs that are stalled or very slow, so that they start again on other
// targets. A run is moved only if it would take at least moveFactor times as long where it is.
func (s *Scheduler) moveSlowRuns(now time.Time) {
	s.beginRound()
	var slow []*member
	for _, n := range s.ordered {
		for _, m := range n.sorted {
			if s.isSlow(now, m) {
				slow = append(slow, m)
			}
		}
	}
	for _, m := range slow {
		// The move of another member may have stopped it.
		if m.stopDecided.IsZero() {
			s.move(now, m)
		}
	}
}

// isSlow reports whether a run is stalled or so slow that it should be moved.
func (s *Scheduler) isSlow(now time.Time, m *member) bool {
	u, p := m.unit, &m.progress
	if m.state != memberConfirmed || !m.stopDecided.IsZero() || u.moves >= maxMoves || u.step.spec.LongRunning || p.at.IsZero() || p.percent >= nearlyDonePercent {
		return false
	}
	stalled := p.stalledFor() > s.stallTime(p)
	if !stalled && (runningFor(now, u) < slowAfter || p.cold) {
		return false
	}
	return float64(s.memberRemainingTime(now, m)) >= moveFactor*float64(s.timeIfMoved(now, u))
}

// move stops a slow run, so that its unit starts again elsewhere.
func (s *Scheduler) move(now time.Time, m *member) {
	u, n := m.unit, m.node
	u.moves++
	u.avoidTarget = n.ID
	stalled := m.progress.stalledFor()
	if stalled > s.stallTime(&m.progress) {
		s.blameStall(now, u)
	}
	s.log("run moved", Fields{
		"job": u.step.job.ID, "run": m.run, "target": n.ID, "percent": m.progress.percent, "here": s.memberRemainingTime(now, m), "there": s.timeIfMoved(now, u),
		"stalled": stalled, "speed": n.speed,
	})
	s.stopUnit(now, u, "it makes too little progress")
}

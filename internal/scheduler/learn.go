package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// observeEvery is the shortest time over which progress is measured; percent is whole.
	observeEvery = 700 * time.Millisecond
	// ratioWeight is the weight of one step in its queue's ratio of real to estimated work.
	ratioWeight = 0.1
	// slowestSpeed bounds what is expected of a slow target.
	slowestSpeed = 0.1
	stalledAfter = 1200 * time.Millisecond
	moveOverhead = time.Second
	moveFactor   = 3.0
	maxMoves     = 2
	// moveAfter is how long a run is measured before it counts as slow.
	moveAfter          = 2500 * time.Millisecond
	nearlyDone         = 90
	minRatio, maxRatio = 0.2, 5.0
	// spreadWeight is the weight of one step in how far off its queue's estimates are.
	spreadWeight         = 0.1
	firstSpread          = 0.5
	minSpread, maxSpread = 0.1, 1.0
)

// progress is what was last measured of a unit's run.
type progress struct {
	percent int
	at      time.Time
	// rate is the part of the work done in a second; moved is when it last grew.
	rate  float64
	moved time.Time
	// first is when the run was first measured.
	first        time.Time
	firstPercent int
	observation  *observation
}

// observe learns from the progress of a run: the speed of its target, and the work of
// its step, which all its tasks share.
func (s *Scheduler) observe(now time.Time, m *member, running target.Running) {
	if m.unit.step.shape.LongRunning {
		return
	}
	p := &m.progress
	if p.at.IsZero() || running.Percent < p.percent {
		*p = progress{percent: running.Percent, at: now, moved: now, first: now, firstPercent: running.Percent}
		return
	}
	if running.Percent > p.percent {
		p.moved = now
	}
	took := now.Sub(p.at)
	if took < observeEvery {
		return
	}
	p.rate = float64(running.Percent-p.percent) / 100 / took.Seconds()
	p.percent, p.at = running.Percent, now
	if whole := now.Sub(p.first); running.Percent > p.firstPercent {
		s.note(now, m, running.Percent-p.firstPercent, whole)
	}
}

// note keeps the rate of a run for the next fit: the percent that it did in a while. The
// members of a gang get on together, so one of them speaks for all.
func (s *Scheduler) note(now time.Time, m *member, done int, took time.Duration) {
	u, p := m.unit, &m.progress
	if m != u.members[0] {
		return
	}
	if p.observation == nil {
		p.observation = &observation{step: u.step, nodes: u.nodes()}
		s.observed = append(s.observed, p.observation)
	}
	remote := u.remote(s.Limits.RemoteFactor)
	spread := taskSpread
	if u.step.shape.Gang {
		spread = gangSpread
	}
	o := p.observation
	o.at, o.rate, o.current = now, math.Log(float64(done)/100/took.Seconds()*remote), math.Log(p.rate*remote)
	o.variance = spread*spread + math.Pow(percentError/float64(done), 2)
	s.observedNews = true
}

// nodes lists the targets of a unit's run, each once.
func (u *unit) nodes() []*node {
	var out []*node
	for _, m := range u.members {
		if !slices.Contains(out, m.node) {
			out = append(out, m.node)
		}
	}
	return out
}

// remote is how much longer a unit runs for being away from its data or spread over racks.
func (u *unit) remote(factor float64) float64 {
	shape := u.step.shape
	for _, m := range u.members {
		away := shape.DataRack != "" && m.node.Rack != shape.DataRack
		if away || (shape.SameRack && m.node.Rack != u.members[0].node.Rack) {
			return max(factor, 1)
		}
	}
	return 1
}

// left is how long a unit's run is expected to go on where it is: as its slowest member.
func (s *Scheduler) left(now time.Time, u *unit) time.Duration {
	longest := time.Duration(0)
	for _, m := range u.members {
		longest = max(longest, s.memberLeft(now, m))
	}
	return longest
}

func (s *Scheduler) memberLeft(now time.Time, m *member) time.Duration {
	p, u := m.progress, m.unit
	whole := s.duration(u.step).Seconds() * u.remote(s.Limits.RemoteFactor) / max(m.node.speed, slowestSpeed)
	if p.at.IsZero() {
		return time.Duration(max(whole-sinceBegun(now, u).Seconds(), 0) * float64(time.Second))
	}
	rest := float64(100-p.percent) / 100
	stalled := now.Sub(p.moved)
	if p.rate <= 0 || stalled > stalledAfter {
		// What stands still is expected to do so for as long again.
		return stalled + time.Duration(rest*whole*float64(time.Second))
	}
	return max(0, time.Duration(rest/p.rate*float64(time.Second))-now.Sub(p.at))
}

func sinceBegun(now time.Time, u *unit) time.Duration {
	if u.begun.IsZero() {
		return 0
	}
	return now.Sub(u.begun)
}

// elsewhere is how long a run would take if it were moved to a typical target.
func (s *Scheduler) elsewhere(u *unit) time.Duration {
	rest := 1.0
	if u.step.shape.Checkpointing && u.checkpoint != "" {
		least := 100
		for _, m := range u.members {
			least = min(least, m.progress.percent)
		}
		rest = float64(100-least) / 100
	}
	return moveOverhead + time.Duration(rest*float64(s.duration(u.step)))
}

// rescue moves runs that stand still or crawl to other targets.
func (s *Scheduler) rescue(now time.Time) {
	for _, n := range s.nodes {
		for _, m := range n.sorted() {
			u, p := m.unit, m.progress
			if m.state != present || !m.stopping.IsZero() || u.moves >= maxMoves || u.step.shape.LongRunning || p.at.IsZero() || p.percent >= nearlyDone {
				continue
			}
			stalled := now.Sub(p.moved)
			if stalled <= stalledAfter && sinceBegun(now, u) < moveAfter {
				continue
			}
			here, there := s.memberLeft(now, m), s.elsewhere(u)
			if float64(here) < moveFactor*float64(there) {
				continue
			}
			u.moves++
			u.avoid = n.ID
			if stalled > stalledAfter {
				n.block(now.Add(blamePause))
			}
			s.log("run moved", Fields{
				"job": u.step.job.ID, "run": m.run(), "target": n.ID, "percent": p.percent, "here": here, "there": there,
				"stalled": stalled, "speed": n.speed,
			})
			s.stop(now, u, "it makes too little progress")
		}
	}
}

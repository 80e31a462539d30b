package scheduler

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// observeEvery is the shortest time over which progress is measured; percent is whole.
	observeEvery = 700 * time.Millisecond
	// speedWeight is the weight of a new observation of a target's speed.
	speedWeight = 0.3
	// ratioWeight is the weight of one step in its queue's ratio of real to estimated work.
	ratioWeight = 0.1
	// maxObservations bounds the weight of a step's earlier observations.
	maxObservations    = 20
	slowest, fastest   = 0.1, 3.0
	stalledAfter       = 1200 * time.Millisecond
	moveOverhead       = time.Second
	moveFactor         = 3.0
	maxMoves           = 2
	nearlyDone         = 90
	minRatio, maxRatio = 0.2, 5.0
)

// progress is what was last measured of a unit's run.
type progress struct {
	percent int
	at      time.Time
	// rate is the part of the work done in a second; moved is when it last grew.
	rate  float64
	moved time.Time
}

// observe learns from the progress of a run: the speed of its target, and the work of
// its step, which all its tasks share.
func (s *Scheduler) observe(now time.Time, m *member, running target.Running) {
	u := m.unit
	if u.step.shape.LongRunning || (u.step.shape.Gang && m != u.members[0]) {
		return
	}
	p := &u.progress
	if p.at.IsZero() || running.Percent < p.percent {
		*p = progress{percent: running.Percent, at: now, moved: now}
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
	n := u.slowestNode()
	if p.rate <= 0 {
		return
	}
	st := u.step
	work := s.duration(st).Seconds() * u.remote(s.Limits.RemoteFactor)
	observed := min(max(n.speed/p.rate, work*minRatio), work*maxRatio)
	st.observations = min(st.observations+1, maxObservations)
	st.ratio = s.ratio(st) * (1 + (observed/work-1)/float64(st.observations+1))
	n.speed += speedWeight * (min(max(p.rate*s.duration(st).Seconds()*u.remote(s.Limits.RemoteFactor), slowest), fastest) - n.speed)
}

// slowestNode is the target that decides how fast a unit runs.
func (u *unit) slowestNode() *node {
	n := u.members[0].node
	for _, m := range u.members {
		if m.node.speed < n.speed {
			n = m.node
		}
	}
	return n
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

// ratio is a step's real work in relation to its estimate.
func (s *Scheduler) ratio(st *step) float64 {
	if st.ratio > 0 {
		return st.ratio
	}
	return s.estimateOf(st.job.Queue).ratio
}

// duration is how long a task of a step is expected to run at speed 1 near its data.
func (s *Scheduler) duration(st *step) time.Duration {
	return time.Duration(float64(st.shape.Nominal()) * s.ratio(st))
}

// learn passes what was observed of a step on to its queue.
func (s *Scheduler) learn(u *unit) {
	if u.step.observations > 1 {
		e := s.estimateOf(u.step.job.Queue)
		e.ratio += ratioWeight * (min(max(u.step.ratio, minRatio), maxRatio) - e.ratio)
	}
}

// left is how long a run is expected to go on where it is.
func (s *Scheduler) left(now time.Time, u *unit) time.Duration {
	p := u.progress
	whole := s.duration(u.step).Seconds() * u.remote(s.Limits.RemoteFactor) / max(u.slowestNode().speed, slowest)
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
		rest = float64(100-u.progress.percent) / 100
	}
	return moveOverhead + time.Duration(rest*float64(s.duration(u.step)))
}

// rescue moves runs that stand still or crawl to other targets.
func (s *Scheduler) rescue(now time.Time) {
	for _, n := range s.nodes {
		for _, m := range n.sorted() {
			u := m.unit
			if m.state != present || !m.stopping.IsZero() || m != u.members[0] || u.moves >= maxMoves || u.step.shape.LongRunning || u.progress.at.IsZero() || u.progress.percent >= nearlyDone {
				continue
			}
			here, there := s.left(now, u), s.elsewhere(u)
			if float64(here) < moveFactor*float64(there) {
				continue
			}
			slow := u.slowestNode()
			u.moves++
			u.avoid = slow.ID
			if now.Sub(u.progress.moved) > stalledAfter {
				slow.block(now.Add(blamePause))
			}
			s.log("run moved", Fields{
				"job": u.step.job.ID, "run": m.run(), "target": slow.ID, "percent": u.progress.percent, "here": here, "there": there,
				"stalled": now.Sub(u.progress.moved), "speed": slow.speed,
			})
			s.stop(now, u, "it makes too little progress")
		}
	}
}

package scheduler

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// Reported takes a target's report. sent is when the report was asked for.
func (s *Scheduler) Reported(now time.Time, id string, sent time.Time, report target.Report) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	if report.Born != 0 && n.Born != 0 && report.Born != n.Born {
		if report.Born < n.Born {
			return
		}
		s.reborn(now, n, report.Born)
	}
	if !n.contacted {
		// A former planner may have granted a whole lease just before it was fenced.
		n.granted = max(n.granted, report.Clock+s.Limits.TaskLease)
	}
	n.contacted, n.heard, n.clock, n.clockAt = true, now, report.Clock, now
	for _, end := range report.Ended {
		if end.Number > n.seen {
			n.seen = end.Number
			s.ended(now, n, end)
		}
	}
	listed := make(map[target.Run]bool, len(report.Running))
	for _, running := range report.Running {
		listed[running.Run] = true
		s.running(now, n, running)
	}
	if len(report.Ended) >= maxListedEnds {
		return
	}
	for _, m := range n.sorted() {
		if listed[m.run()] {
			continue
		}
		resolved := m.state == inherited || (m.state == present && m.confirmed.Before(sent)) || (!m.stopped.IsZero() && m.stopped.Before(sent))
		if resolved {
			s.lose(now, m, "the target does not list it")
		}
	}
}

func (s *Scheduler) running(now time.Time, n *node, running target.Running) {
	m := n.members[running.Run]
	if m == nil || m.state == intended {
		s.stops = append(s.stops, Stop{Run: running.Run, Target: n.ID})
		s.log("unknown run stopped", Fields{"run": running.Run, "target": n.ID})
		return
	}
	if m.state != present {
		m.state, m.confirmed = present, now
		if m.unit.begun.IsZero() {
			m.unit.begun = now
		}
	}
	u := m.unit
	if running.Checkpoint != "" {
		u.checkpoint = running.Checkpoint
	}
	s.observe(now, m, running)
}

// ended processes the end of a run.
func (s *Scheduler) ended(now time.Time, n *node, end target.Ended) {
	m := n.members[end.Run]
	if m == nil {
		s.log("end ignored", Fields{"run": end.Run, "target": n.ID, "how": end.How.String(), "number": end.Number})
		return
	}
	u := m.unit
	if end.Checkpoint != "" {
		u.checkpoint = end.Checkpoint
	}
	s.log("run ended", Fields{"job": u.step.job.ID, "run": end.Run, "target": n.ID, "how": end.How.String(), "number": end.Number, "ran": now.Sub(u.begun)})
	switch end.How {
	case target.Done:
		n.failures = 0
		s.learn(u)
		s.finish(now, u)
		return
	case target.Failed:
		s.blame(now, n, u)
	}
	s.close(now, m, "it ended "+end.How.String())
	u.notBefore = now.Add(retryPause)
}

// finish notes that a unit is done: one member's end stands for the whole gang.
func (s *Scheduler) finish(now time.Time, u *unit) {
	s.dirty[u.step.job.ID] = u.step.job
	if u.step.shape.LongRunning {
		for _, m := range append([]*member(nil), u.members...) {
			s.close(now, m, "it ended")
		}
		return
	}
	if !u.done {
		u.done = true
		u.step.left--
	}
	for _, m := range append([]*member(nil), u.members...) {
		s.close(now, m, "it is done")
	}
}

// blame counts a failure against the unit, once a run, and against its target.
func (s *Scheduler) blame(now time.Time, n *node, u *unit) {
	u.avoid = n.ID
	n.failures++
	n.block(now.Add(min(blamePause<<min(n.failures-1, 4), maxBlamePause)))
	if u.failed || u.step.shape.LongRunning {
		return
	}
	u.failed = true
	u.failures++
	j := u.step.job
	if j.queue.MaxAttempts > 0 && u.failures >= j.queue.MaxAttempts && !ended(j.phase) {
		s.end(now, j, failedPhase, "a task has failed in all its attempts")
	}
}

func (n *node) block(until time.Time) {
	if until.After(n.blocked) {
		n.blocked = until
	}
}

// Started takes the answer to a start.
func (s *Scheduler) Started(now time.Time, start Start, reply target.Reply) {
	m := s.member(start.Target, start.Run)
	if m == nil {
		return
	}
	switch reply.Answer {
	case target.Accepted:
		m.node.heard = now
		if m.state != present {
			m.state, m.confirmed = present, now
			m.unit.begun = now
		}
	case target.Unanswered:
		m.doubtful = true
	default:
		s.refused(now, m, reply.Answer)
	}
}

// refused handles a start that the target has not carried out.
func (s *Scheduler) refused(now time.Time, m *member, answer target.Answer) {
	s.log("start refused", Fields{"job": m.unit.step.job.ID, "run": m.run(), "target": m.node.ID, "answer": answer.String(), "doubtful": m.doubtful, "used": m.node.used})
	m.node.block(now.Add(refusalPause))
	m.unit.notBefore = now.Add(retryPause)
	if m.doubtful {
		// An earlier copy of the order may have been or may yet be carried out.
		s.stop(now, m.unit, "its start was refused after one without an answer")
		return
	}
	s.close(now, m, "its start was refused: "+answer.String())
}

// Stopped takes the answer to a stop.
func (s *Scheduler) Stopped(now time.Time, stop Stop, reply target.Reply) {
	m := s.member(stop.Target, stop.Run)
	if m != nil && reply.Answer == target.Accepted {
		m.stopped, m.node.heard = now, now
	}
}

// Sent notes that a start goes out. It reports whether it is still wanted.
func (s *Scheduler) Sent(start Start) bool {
	m := s.member(start.Target, start.Run)
	if m == nil || !m.stopping.IsZero() || m.state == present {
		return false
	}
	m.state = ordered
	return true
}

// Wanted reports whether a stop still waits for its acknowledgement.
func (s *Scheduler) Wanted(stop Stop) bool {
	m := s.member(stop.Target, stop.Run)
	return m != nil && m.stopped.IsZero()
}

func (s *Scheduler) member(id string, run target.Run) *member {
	if n := s.nodes[id]; n != nil {
		return n.members[run]
	}
	return nil
}

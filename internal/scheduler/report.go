package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// ReportReceived handles a target's report; sent is a time before it was requested. A report of a
// former incarnation is ignored.
func (s *Scheduler) ReportReceived(now time.Time, id string, sent time.Time, report target.Report) {
	n := s.nodes[id]
	if n == nil || !s.acceptsReport(now, n, sent, report) {
		return
	}
	if n.contacted && report.Born != 0 && report.Clock < n.clock {
		// A later report has been handled. Two that are requested at once may arrive in any order.
		return
	}
	if !n.contacted {
		// A former planner may have granted a whole lease just before it was fenced.
		n.leaseEnd = report.Clock + s.Limits.TaskLease
		n.recordLease(now, s.Limits.TaskLease)
	}
	n.contacted, n.lastContact, n.clock, n.clockAt = true, now, report.Clock, now
	delete(s.handover.inherited, id)
	for _, end := range report.Ended {
		if end.Number > n.lastEnd {
			n.lastEnd = end.Number
			s.ends[n.ID] = n
			s.runEnded(now, n, end)
		}
	}
	s.beginRound()
	listed := make(map[target.Run]bool, len(report.Running))
	for _, running := range report.Running {
		listed[running.Run] = true
		s.running(now, n, running)
	}
	if len(n.unknownStops) > 0 {
		maps.DeleteFunc(n.unknownStops, func(run target.Run, _ time.Time) bool { return !listed[run] })
	}
	if len(report.Ended) >= maxListedEnds {
		// The report may leave out further ended runs, so a run that it does not list may have
		// ended as done.
		return
	}
	for _, m := range n.sortedMembers() {
		if listed[m.run] {
			continue
		}
		s.runNotListed(now, m, sent)
	}
}

// runNotListed handles a run that a report, requested at sent, does not list. A start that is still
// in transit may arrive after the report, also an earlier copy of one that the target has confirmed.
// So a run is gone only if a former planner started it, if the target had confirmed its only start,
// or if it had accepted its stop.
func (s *Scheduler) runNotListed(now time.Time, m *member, sent time.Time) {
	stopped := !m.stopAcknowledged.IsZero() && m.stopAcknowledged.Before(sent)
	confirmed := m.state == memberConfirmed && m.confirmed.Before(sent)
	switch {
	case stopped, m.state == memberInherited, confirmed && !m.startUnanswered:
		s.loseRun(now, m, "the target's report does not list it")
	case confirmed && m.stopDecided.IsZero():
		s.stopMember(now, m, "the target's report does not list it, and an earlier copy of its start was not answered")
	}
}

// running handles a run that a target lists as running. A run that is not known, or whose start
// has not been sent, is stopped.
func (s *Scheduler) running(now time.Time, n *node, running target.Running) {
	m := n.members[running.Run]
	if m == nil || m.state == memberAwaitingWrite {
		s.stopUnknown(now, n, running.Run)
		return
	}
	if m.state != memberConfirmed {
		m.confirm(now)
		if m.unit.startedAt.IsZero() {
			m.unit.startedAt = now
		}
	}
	m.listedBy = n.Born
	m.recordWork(now, running.Percent)
	u := m.unit
	if running.Checkpoint != "" {
		u.checkpoint = running.Checkpoint
	}
	s.observe(now, m, running)
}

// recordWork records whether the task of a long-running step is at work.
func (m *member) recordWork(now time.Time, percent int) {
	switch {
	case percent < percentAtWork:
		m.atWorkSince = time.Time{}
	case m.atWorkSince.IsZero():
		m.atWorkSince = now
	}
}

// runEnded handles the end of a run.
func (s *Scheduler) runEnded(now time.Time, n *node, end target.Ended) {
	m := n.members[end.Run]
	if m == nil {
		s.log("end ignored", n.fields(now).with(Fields{"run": end.Run, "how": end.Outcome.String(), "number": end.Number}))
		if _, held := n.unknownStops[end.Run]; held {
			s.holdTask(end.Task, now.Add(retryPause))
		}
		switch end.Outcome {
		case target.Done:
			s.completeGivenUp(now, end.Run)
		case target.Failed:
			s.failGivenUp(end.Run)
		}
		return
	}
	u := m.unit
	u.step.job.begun = true
	if end.Checkpoint != "" {
		u.checkpoint = end.Checkpoint
	}
	s.log("run ended", m.fields(now).with(Fields{"how": end.Outcome.String(), "number": end.Number, "ran": now.Sub(u.startedAt)}))
	switch end.Outcome {
	case target.Done:
		s.runSucceeded(now, m)
		s.updateEstimate(u)
		s.finishUnit(now, m)
		return
	case target.Failed:
		s.runFailed(now, n, u)
	}
	s.close(now, m, "it ended as "+end.Outcome.String())
	u.notBefore = now.Add(retryPause)
}

// finishUnit marks the unit of a member that ended as done, and closes its run: a gang is done
// when one member is. A long-running unit is not marked, so that it starts again.
func (s *Scheduler) finishUnit(now time.Time, first *member) {
	u := first.unit
	s.dirty[u.step.job.ID] = u.step.job
	if u.step.spec.LongRunning {
		s.closeMembers(now, first, "its long-running task ended")
		return
	}
	s.markUnitDone(u)
	s.closeMembers(now, first, "it is done")
}

// completeGivenUp marks the unit of a run as done that ended so after it had been given up, and stops
// the unit's next run.
func (s *Scheduler) completeGivenUp(now time.Time, run target.Run) {
	u := s.unit(run.Task)
	if u == nil || u.done || run.Number > u.run || u.step.spec.LongRunning || ended(u.step.job.phase) {
		return
	}
	s.log("given-up run done", Fields{"job": run.Task.Job, "run": run, "latest": u.run, "members": len(u.members)})
	s.markUnitDone(u)
	s.stopUnit(now, u, "an earlier run of it is done")
}

// markUnitDone marks a unit as done.
func (s *Scheduler) markUnitDone(u *unit) {
	if u.done {
		return
	}
	u.done = true
	u.step.unitsLeft--
	if len(u.members) == 0 {
		u.step.idleUnits--
	}
	j := u.step.job
	s.dirty[j.ID], s.allDone[j.ID] = j, j
}

// closeMembers closes all members of the run of a member that ended. It logs the others, because
// the event of the end shows only the one that ended.
func (s *Scheduler) closeMembers(now time.Time, first *member, reason string) {
	for _, m := range slices.Clone(first.unit.members) {
		if m != first {
			s.logClosed(now, m, reason)
		}
		s.close(now, m, reason)
	}
}

// failGivenUp counts the failure of a run that had been given up. If its unit has used up its attempts
// by that, the job ends when the unit's latest run has; see endExhausted.
func (s *Scheduler) failGivenUp(run target.Run) {
	u := s.unit(run.Task)
	if u == nil || u.done || run.Number > u.run || ended(u.step.job.phase) || !u.countFailure(run.Number) {
		return
	}
	j := u.step.job
	s.dirty[j.ID], s.toCheckAttempts[j.ID] = j, j
	s.log("given-up run failed", Fields{"job": j.ID, "run": run, "latest": u.run, "members": len(u.members), "failures": u.failures, "maxAttempts": j.terms.MaxAttempts})
}

// runFailed counts the failure of a unit's current run, against the unit and against its target.
func (s *Scheduler) runFailed(now time.Time, n *node, u *unit) {
	u.avoidTarget = n.ID
	s.blameFailure(now, n, u)
	if j := u.step.job; u.countFailure(u.run) && u.exhausted() && !ended(j.phase) {
		s.endJob(now, j, failedPhase, exhaustedReason)
	}
}

// countFailure counts the failure of a run against the unit, and reports whether it was not counted
// before: each member of a gang may list it, and a target lists it again until it is acknowledged.
// Long-running tasks have no limit.
func (u *unit) countFailure(run int) bool {
	if u.step.spec.LongRunning || slices.Contains(u.failedRuns, run) {
		return false
	}
	u.failedRuns = append(u.failedRuns, run)
	u.failures++
	return true
}

// pause lets the target have no new work until a time, if others can take it.
func (n *node) pause(until time.Time) { n.pausedUntil = later(n.pausedUntil, until) }

// StartAnswered handles the answer to a start.
func (s *Scheduler) StartAnswered(now time.Time, start Start, reply target.Reply) {
	m := s.member(start.Target, start.Run)
	if n := s.nodes[start.Target]; n != nil {
		delete(n.startsUnderWay, start.Run)
		if reply.Answer == target.Unanswered {
			born := n.Born
			if m != nil {
				born = m.sentTo
			}
			n.recordLateStart(now, start.Run, born)
		}
	}
	if m == nil {
		return
	}
	switch reply.Answer {
	case target.Accepted:
		m.node.lastContact = now
		if m.state != memberConfirmed {
			m.confirm(now)
			m.unit.startedAt = now
		}
	case target.Unanswered:
		if !m.startUnanswered {
			s.log("start unanswered", m.fields(now))
			m.unansweredSince = now
		}
		m.startUnanswered = true
	default:
		s.startRefused(now, m, reply.Answer)
	}
}

// startRefused handles a start that the target refused.
func (s *Scheduler) startRefused(now time.Time, m *member, answer target.Answer) {
	s.log("start refused", m.fields(now).with(Fields{"answer": answer.String(), "used": m.node.used}))
	m.node.refusedUntil = later(m.node.refusedUntil, now.Add(refusalPause))
	m.unit.notBefore = now.Add(retryPause)
	if m.startUnanswered {
		// An earlier copy of the order may have been carried out, or may be carried out later.
		s.stopUnit(now, m.unit, "its start was refused after an earlier copy was not answered")
		return
	}
	s.close(now, m, "its start was refused: "+answer.String())
}

// StopAnswered handles the answer to a stop that was sent to the incarnation born. Another
// incarnation knows nothing of the stop. StopAnswered reports whether a report that is requested after
// now may show that the run does not exist: its start may never have arrived.
func (s *Scheduler) StopAnswered(now time.Time, stop Stop, born int64, reply target.Reply) bool {
	n := s.nodes[stop.Target]
	if n == nil || reply.Answer != target.Accepted || n.Born != born {
		return false
	}
	if late := n.lateStarts[stop.Run]; late != nil {
		late.stopBy = 0
	}
	m := n.members[stop.Run]
	if m == nil {
		return false
	}
	m.stopAcknowledged, n.lastContact = now, now
	return m.state != memberConfirmed || m.startUnanswered
}

// StartSent records that a start is about to be sent. It reports whether the start is still
// wanted.
func (s *Scheduler) StartSent(start Start) bool {
	m := s.wantedStart(start)
	if m == nil {
		s.log("start dropped", Fields{"run": start.Run, "target": start.Target, "reason": s.member(start.Target, start.Run).startDropReason()})
		return false
	}
	m.state, m.sentTo = memberStartSent, m.node.Born
	m.node.startsUnderWay[start.Run] = true
	return true
}

// StartNotSent handles a start that was not sent after all, because its target may have started again. A first
// one waits again as before StartSent.
func (s *Scheduler) StartNotSent(start Start) {
	if n := s.nodes[start.Target]; n != nil {
		delete(n.startsUnderWay, start.Run)
	}
	if m := s.member(start.Target, start.Run); m != nil && m.state == memberStartSent && !m.startUnanswered {
		m.state, m.unit.stoppedRun = memberAwaitingWrite, 0
	}
}

// StartHeldBack handles a start whose target is suspect, unresponsive or withheld. A start that was never sent
// is withdrawn, so that its task can start elsewhere at once. It reports whether the start is still wanted:
// one that was sent before may be repeated.
func (s *Scheduler) StartHeldBack(now time.Time, start Start) bool {
	m := s.wantedStart(start)
	if m == nil {
		return false
	}
	if m.state == memberAwaitingWrite {
		s.logClosed(now, m, "its target left orders unanswered before its start was sent")
		s.close(now, m, "its target left orders unanswered before its start was sent")
		return false
	}
	return true
}

// wantedStart returns the member of a start that is still to be sent; nil if it is not.
func (s *Scheduler) wantedStart(start Start) *member {
	m := s.member(start.Target, start.Run)
	if m == nil || !m.stopDecided.IsZero() || m.state == memberConfirmed {
		return nil
	}
	return m
}

// startDropReason says why the start of a run is no longer wanted; m is nil if the run is closed.
func (m *member) startDropReason() string {
	switch {
	case m == nil:
		return "the run is closed"
	case !m.stopDecided.IsZero():
		return "the run is to be stopped"
	}
	return "the target has confirmed the run"
}

// StopPending reports whether a stop has yet to be accepted.
func (s *Scheduler) StopPending(stop Stop) bool {
	n := s.nodes[stop.Target]
	if n == nil {
		return false
	}
	if m := n.members[stop.Run]; m != nil {
		return m.stopAcknowledged.IsZero()
	}
	late := n.lateStarts[stop.Run]
	return late != nil && late.stopBy != 0 && late.stopBy == n.Born
}

func (s *Scheduler) member(id string, run target.Run) *member {
	if n := s.nodes[id]; n != nil {
		return n.members[run]
	}
	return nil
}

package scheduler

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// recordIncarnation records the incarnation of a target that the planner has now heard of. It is a
// restart unless it is the first one.
func (s *Scheduler) recordIncarnation(now time.Time, n *node, born int64) {
	n.incarnationSince = now
	if n.Born == 0 {
		n.Born = born
		return
	}
	if n.formerIncarnations == nil {
		n.formerIncarnations = map[int64]bool{}
	}
	n.formerIncarnations[n.Born] = true
	delete(n.formerIncarnations, born)
	s.restarted(now, n, born)
}

// acceptsReport reports whether a report comes from the target's current incarnation. One that was
// requested after the planner heard of that, and comes from another, shows a restart, which is
// recorded; one that was requested before may come from any incarnation.
func (s *Scheduler) acceptsReport(now time.Time, n *node, sent time.Time, report target.Report) bool {
	if report.Born == 0 || report.Born == n.Born {
		return true
	}
	if sent.Before(n.incarnationSince) {
		s.logIgnored(now, n, "report ignored", &n.reportIgnoredLogged, Fields{
			"reportBorn": report.Born, "reportClock": report.Clock, "running": len(report.Running), "ended": len(report.Ended), "requested": now.Sub(sent),
		})
		return false
	}
	s.recordIncarnation(now, n, report.Born)
	return true
}

// restarted handles the first sign of a new incarnation of a target. It closes only the runs that
// are known not to be alive in it; a report of the new incarnation decides about the others.
func (s *Scheduler) restarted(now time.Time, n *node, born int64) {
	s.log("target restarted", n.fields(now).with(Fields{"born": born, "formerBorn": n.Born, "runs": len(n.members)}))
	// On the clock of the new incarnation a deadline of the former one is far ahead, so an order that
	// was sent until now may have given it a whole lease.
	n.recordLease(now, s.Limits.TaskLease)
	delete(s.handover.inherited, n.ID)
	former := n.Born
	s.endProbation(now, n, "the target restarted")
	n.probation = probation{}
	n.Born, n.clock, n.clockAt, n.leaseEnd, n.lastEnd, n.contacted, n.failures = born, 0, time.Time{}, 0, 0, false, 0
	n.restartCold(now)
	for _, m := range n.sortedMembers() {
		switch {
		case m.state == memberAwaitingWrite:
			s.logClosed(now, m, "the target restarted before its start was sent")
			s.close(now, m, "the target restarted before its start was sent")
		case m.state == memberStartSent || m.startUnanswered:
			// A start in transit may reach the new incarnation, which knows of no stop that the
			// former one accepted.
			s.stopAgain(now, m, "the target restarted while a start was in transit")
		case m.state == memberConfirmed && m.listedBy == former:
			s.loseRun(now, m, "the target restarted")
		}
	}
	s.stopLateStarts(now, n)
}

// stopAgain stops a run, also if its target has accepted a stop of it before.
func (s *Scheduler) stopAgain(now time.Time, m *member, reason string) {
	m.stopDecided, m.stopAcknowledged = time.Time{}, time.Time{}
	s.stopMember(now, m, reason)
}

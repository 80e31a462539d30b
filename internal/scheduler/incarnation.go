package scheduler

import (
	"time"
)

// restarted handles the first sign of a new incarnation of a target. It closes only the runs that
// are known not to be alive in it; a report of the new incarnation decides about the others.
func (s *Scheduler) restarted(now time.Time, n *node, born int64) {
	s.log("target restarted", n.fields(now).with(Fields{"born": born, "formerBorn": n.Born, "runs": len(n.members)}))
	former := n.Born
	n.Born, n.clock, n.clockAt, n.leaseEnd, n.lastEnd, n.contacted, n.failures = born, 0, time.Time{}, 0, 0, false, 0
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
}

// stopAgain stops a run, also if its target has accepted a stop of it before.
func (s *Scheduler) stopAgain(now time.Time, m *member, reason string) {
	m.stopDecided, m.stopAcknowledged = time.Time{}, time.Time{}
	s.stopMember(now, m, reason)
}

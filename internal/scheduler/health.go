package scheduler

import (
	"hash/fnv"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// maxIdleSilence is how long a target that may be given work and has none goes without an order. It is
	// longer than maxReportWait of the coordinator, so that idle targets cost no more than those with runs. The
	// times of different targets are spread over the last idleSpread of it, so that a planner that reached all
	// targets at once doesn't do so every second.
	maxIdleSilence = 1200 * time.Millisecond
	idleSpread     = 200 * time.Millisecond
	// suspectStartWait is how long a start of a gang's member may be unanswered while its target is suspect
	// before the gang is stopped: it is repeated twice meanwhile. maxStartWait is the same for a target that
	// answers other orders. Targets end the members that wait on their own, but later.
	suspectStartWait = 350 * time.Millisecond
	maxStartWait     = 1200 * time.Millisecond
)

// OrderAnswered records the answer to any order or renewal that was sent at sent. A target that left one
// unanswered is suspect until it accepts one that was sent after that was known. OrderAnswered reports
// whether that has changed.
func (s *Scheduler) OrderAnswered(now time.Time, id string, sent time.Time, answer target.Answer) bool {
	n := s.nodes[id]
	if n == nil {
		return false
	}
	before := n.suspect
	switch answer {
	case target.Unanswered, target.Unreached:
		if !n.suspect {
			s.log("target suspect", n.fields(now).with(Fields{"sent": now.Sub(sent), "runs": len(n.members)}))
			n.suspect, n.suspectSince = true, now
		}
		n.unansweredAt = now
	case target.Accepted:
		if n.suspect && sent.After(n.unansweredAt) {
			s.log("target no longer suspect", n.fields(now).with(Fields{"after": now.Sub(n.suspectSince), "runs": len(n.members)}))
			n.suspect = false
		}
	}
	return n.suspect != before
}

// SuspectTargets counts the listed targets that are suspect.
func (s *Scheduler) SuspectTargets() int {
	count := 0
	for _, n := range s.ordered {
		if n.listed && n.suspect {
			count++
		}
	}
	return count
}

// idleRenewalIn returns how long it is until a target without runs has to be renewed, so that its silence
// is known before a start is sent there; false if the target is to be given no work.
func (n *node) idleRenewalIn(now time.Time) (time.Duration, bool) {
	if !n.listed || n.Draining || !n.contacted {
		return 0, false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(n.ID))
	period := maxIdleSilence - time.Duration(hash.Sum32())%idleSpread
	return max(0, period-now.Sub(n.lastContact)), true
}

// stopIncompleteGangs stops the gangs of which a member's start stays unanswered: the members that have
// started hold their room and do nothing. Such a gang starts again once it is certain that none of its
// members can run.
func (s *Scheduler) stopIncompleteGangs(now time.Time) {
	var missing []*member
	for _, n := range s.ordered {
		for _, m := range n.sorted {
			if m.keepsGangWaiting(now) {
				missing = append(missing, m)
			}
		}
	}
	for _, m := range missing {
		// Another member may have stopped the gang.
		if !m.stopDecided.IsZero() {
			continue
		}
		reason := "a member's start is unanswered"
		if m.node.suspect {
			reason = "a member's target is suspect"
		}
		s.log("gang incomplete", m.fields(now).with(Fields{"reason": reason, "unanswered": now.Sub(m.unansweredSince), "members": len(m.unit.members)}))
		m.unit.avoidTarget = m.node.ID
		s.stopUnit(now, m.unit, reason)
	}
}

// keepsGangWaiting reports whether the member's start has been unanswered for so long that its gang is
// stopped.
func (m *member) keepsGangWaiting(now time.Time) bool {
	if m.state != memberStartSent || !m.startUnanswered || !m.stopDecided.IsZero() || !m.unit.step.spec.Gang {
		return false
	}
	waited := now.Sub(m.unansweredSince)
	return waited >= maxStartWait || (m.node.suspect && waited >= suspectStartWait)
}

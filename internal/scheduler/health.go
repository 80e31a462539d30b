package scheduler

import (
	"hash/fnv"
	"slices"
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

// stopUnstartedUnits stops the units of which a start stays unanswered, and the gangs of which one is held back
// while others have started: they hold capacity and do nothing. Such a unit starts again once it is certain that
// none of its members can run.
func (s *Scheduler) stopUnstartedUnits(now time.Time) {
	var missing []*member
	for _, n := range s.ordered {
		for _, m := range n.sorted {
			if m.startOverdue(now) || m.isHeldBack(now) {
				missing = append(missing, m)
			}
		}
	}
	for _, m := range missing {
		// Another member may have stopped the gang.
		if !m.stopDecided.IsZero() || len(m.unit.members) == 0 {
			continue
		}
		reason := "a start is unanswered"
		switch {
		case m.state == memberAwaitingWrite:
			reason = "a member's start is held back"
		case m.node.suspect:
			reason = "a member's target is suspect"
		}
		fields := Fields{"reason": reason, "members": len(m.unit.members)}
		if m.startUnanswered {
			fields["unanswered"] = now.Sub(m.unansweredSince)
		}
		s.log("unit incomplete", m.fields(now).with(fields))
		m.unit.avoidTarget = m.node.ID
		s.stopUnit(now, m.unit, reason)
	}
}

// startOverdue reports whether the member's start has been unanswered for so long that its unit is stopped.
func (m *member) startOverdue(now time.Time) bool {
	if m.state != memberStartSent || !m.startUnanswered || !m.stopDecided.IsZero() {
		return false
	}
	waited := now.Sub(m.unansweredSince)
	return waited >= maxStartWait || (m.unit.step.spec.Gang && m.node.suspect && waited >= suspectStartWait)
}

// isHeldBack reports whether the member's start has not been sent although another member of its gang has been
// running for maxStartWait.
func (m *member) isHeldBack(now time.Time) bool {
	return m.state == memberAwaitingWrite && slices.ContainsFunc(m.unit.members, func(other *member) bool {
		return other.state == memberConfirmed && now.Sub(other.confirmed) >= maxStartWait
	})
}

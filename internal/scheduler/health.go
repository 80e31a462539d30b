package scheduler

import (
	"hash/fnv"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// maxIdleSilence is how long a target that may be given work and has none goes without an order; a
	// target with runs is renewed as often. The times of different targets are spread over the last
	// idleSpread of it, so that a planner that reached all targets at once doesn't do so every second.
	maxIdleSilence = time.Second
	idleSpread     = 200 * time.Millisecond
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

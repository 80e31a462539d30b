package scheduler

import (
	"maps"
	"time"
)

// ignoredLogInterval limits the log to one line per interval while a target's reports or entries
// are ignored.
const ignoredLogInterval = time.Second

// with adds more fields and returns the result. A field that is in both keeps the value in more.
func (f Fields) with(more Fields) Fields {
	maps.Copy(f, more)
	return f
}

// fields describes what the planner believes about the target. It leaves out heard, the age of
// the last contact, if there was none.
func (n *node) fields(now time.Time) Fields {
	fields := Fields{
		"target": n.ID, "born": n.Born, "leaseEnd": n.leaseEnd, "clock": n.clockLowerBound(now),
		"contacted": n.contacted, "knownFor": now.Sub(n.knownSince),
	}
	if !n.lastContact.IsZero() {
		fields["heard"] = now.Sub(n.lastContact)
	}
	return fields
}

// fields describes the run and what the planner believes about its target.
func (m *member) fields(now time.Time) Fields {
	return m.node.fields(now).with(Fields{
		"job": m.unit.step.job.ID, "run": m.run, "state": m.state.String(), "doubtful": m.startUnanswered,
	})
}

// String returns the state as the log shows it.
func (s memberState) String() string {
	switch s {
	case memberAwaitingWrite:
		return "awaitingWrite"
	case memberStartSent:
		return "startSent"
	case memberInherited:
		return "inherited"
	case memberConfirmed:
		return "confirmed"
	}
	return "unknown"
}

// logIgnored logs that a report or an entry of an earlier incarnation was ignored, at most once
// per ignoredLogInterval for a target; last is when the same event was last logged.
func (s *Scheduler) logIgnored(now time.Time, n *node, event string, last *time.Time, fields Fields) {
	if !last.IsZero() && now.Sub(*last) < ignoredLogInterval {
		return
	}
	*last = now
	s.log(event, n.fields(now).with(fields))
}

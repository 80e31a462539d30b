package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// lateStartPeriod is how long after it was sent an unanswered start may be carried out.
	lateStartPeriod = 15 * time.Second
	// unknownStopInterval is the time between two stops of a run that is not known. A run that is
	// being stopped is listed until it has ended.
	unknownStopInterval = 500 * time.Millisecond
)

// lateStart is a start that was not answered, so that its target may carry it out later, also
// when the run has been closed.
type lateStart struct {
	sent time.Time
	// born is the incarnation that left it unanswered.
	born int64
	// stopBy is the incarnation that has yet to accept a stop of the run; 0 for none.
	stopBy int64
}

// recordLateStart records that a start that was sent to the incarnation born was not answered.
func (n *node) recordLateStart(now time.Time, run target.Run, born int64) {
	if n.lateStarts == nil {
		n.lateStarts = map[target.Run]*lateStart{}
	}
	n.lateStarts[run] = &lateStart{sent: now, born: born}
}

// dropLateStarts forgets the late starts that can't be carried out any more and whose leases would
// have ended.
func (s *Scheduler) dropLateStarts(now time.Time, n *node) {
	if len(n.lateStarts) == 0 {
		return
	}
	over := lateStartPeriod + longestLease(s.Limits.TaskLease)
	maps.DeleteFunc(n.lateStarts, func(_ target.Run, late *lateStart) bool { return now.Sub(late.sent) > over })
}

// mayOutliveLeases reports whether a run may be alive although the target's leases have ended: a new
// incarnation may carry out a start that a former one left unanswered, and grant its own lease.
func (m *member) mayOutliveLeases() bool {
	late := m.node.lateStarts[m.run]
	return late != nil && late.born != m.node.Born
}

// stopLateStarts stops the late starts of closed runs at a new incarnation, which would carry them
// out since it knows nothing of these runs. Those of open runs are stopped with their members.
func (s *Scheduler) stopLateStarts(now time.Time, n *node) {
	s.dropLateStarts(now, n)
	runs := slices.SortedFunc(maps.Keys(n.lateStarts), target.Run.Compare)
	for _, run := range runs {
		if n.members[run] != nil {
			continue
		}
		n.lateStarts[run].stopBy = n.Born
		s.stops = append(s.stops, Stop{Run: run, Target: n.ID})
		s.log("late start stopped", n.fields(now).with(Fields{"run": run, "sent": now.Sub(n.lateStarts[run].sent)}))
	}
}

// stopUnknown stops a run that a target lists and that is not known, at most once per
// unknownStopInterval.
func (s *Scheduler) stopUnknown(now time.Time, n *node, run target.Run) {
	s.holdTask(run.Task, now.Add(unresponsiveAfter+longestLease(s.Limits.TaskLease)))
	if last, ok := n.unknownStops[run]; ok && now.Sub(last) < unknownStopInterval {
		return
	}
	if n.unknownStops == nil {
		n.unknownStops = map[target.Run]time.Time{}
	}
	n.unknownStops[run] = now
	s.stops = append(s.stops, Stop{Run: run, Target: n.ID})
	s.log("unknown run stopped", n.fields(now).with(Fields{"run": run, "known": n.members[run] != nil}))
}

// holdTask lets a task start no earlier than until. A task of which a target lists a run that is not
// known is held until that run's leases have ended or its end is listed.
func (s *Scheduler) holdTask(task target.Task, until time.Time) {
	if u := s.unit(task); u != nil {
		u.notBefore = until
	}
}

// unit returns the unit that a task belongs to; nil if it is not known.
func (s *Scheduler) unit(task target.Task) *unit {
	if j := s.jobs[task.Job]; j != nil {
		return j.unit(task.Occurrence, task.Step, task.Index)
	}
	return nil
}

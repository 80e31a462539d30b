package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// lateStartPeriod is how long after it was sent an unanswered start may be carried out.
	lateStartPeriod = 30 * time.Second
	// unknownStopInterval is the time between two stops of a run that is not known. A run that is
	// being stopped is listed until it has ended.
	unknownStopInterval = 500 * time.Millisecond
)

// lateStart is a start that was not answered, so that its target may carry it out later, also
// when the run has been closed.
type lateStart struct {
	sent time.Time
	// stopBy is the incarnation that has yet to accept a stop of the run; 0 for none.
	stopBy int64
}

// recordLateStart records that a start was not answered.
func (n *node) recordLateStart(now time.Time, run target.Run) {
	if n.lateStarts == nil {
		n.lateStarts = map[target.Run]*lateStart{}
	}
	n.lateStarts[run] = &lateStart{sent: now}
}

// keepStopPending lets the stop of a run that is being closed be repeated until the target accepts it,
// if the run's start may be carried out late.
func (n *node) keepStopPending(m *member) {
	if late := n.lateStarts[m.run()]; late != nil && !m.stopDecided.IsZero() && m.stopAcknowledged.IsZero() {
		late.stopBy = n.Born
	}
}

// dropLateStarts forgets the late starts that can't be carried out any more.
func (n *node) dropLateStarts(now time.Time) {
	maps.DeleteFunc(n.lateStarts, func(_ target.Run, late *lateStart) bool { return now.Sub(late.sent) > lateStartPeriod })
}

// stopLateStarts stops the late starts of closed runs at a new incarnation, which would carry them
// out since it knows nothing of these runs. Those of open runs are stopped with their members.
func (s *Scheduler) stopLateStarts(now time.Time, n *node) {
	n.dropLateStarts(now)
	runs := slices.SortedFunc(maps.Keys(n.lateStarts), compareRuns)
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
	if j := s.jobs[task.Job]; j != nil {
		if u := j.unit(task.Occurrence, task.Step, task.Index); u != nil {
			u.notBefore = until
		}
	}
}

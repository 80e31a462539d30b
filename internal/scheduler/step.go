package scheduler

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Step makes the decisions that are due and returns them as a plan.
func (s *Scheduler) Step(now time.Time) Plan {
	s.initialise()
	s.wake = time.Time{}
	s.expire(now)
	s.markDone(now)
	s.fit(now)
	s.moveSlowRuns(now)
	if s.catalogue != nil {
		s.place(now)
	}
	plan := Plan{Starts: s.starts, Stops: s.stops, Wake: s.wake}
	for _, j := range s.dirty {
		plan.Writes = append(plan.Writes, Write{Job: j.ID, Record: j.record()})
	}
	s.starts, s.stops, s.dirty = nil, nil, map[string]*job{}
	return plan
}

// wakeAt requests a step at a time, unless an earlier one is due.
func (s *Scheduler) wakeAt(at time.Time) {
	if s.wake.IsZero() || at.Before(s.wake) {
		s.wake = at
	}
}

// markDone marks occurrences and jobs as done whose units are all done.
func (s *Scheduler) markDone(now time.Time) {
	for _, j := range s.jobs {
		if ended(j.phase) {
			continue
		}
		open := 0
		for _, o := range j.occurrences {
			if o.done {
				continue
			}
			unitsLeft := 0
			for _, st := range o.steps {
				unitsLeft += st.unitsLeft
			}
			o.done = unitsLeft == 0
			if !o.done {
				open++
			}
		}
		if open == 0 {
			s.endJob(now, j, wire.JobPhase_JOB_PHASE_DONE, "all tasks are done")
		}
	}
}

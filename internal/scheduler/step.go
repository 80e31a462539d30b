package scheduler

import (
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// checkInterval is the time between two checks of all targets for what follows from the time
// alone: leases that have ended and runs that make too little progress.
const checkInterval = 100 * time.Millisecond

// Step makes the decisions that are due and returns them as a plan.
func (s *Scheduler) Step(now time.Time) Plan {
	s.initialise()
	s.wake = time.Time{}
	if now.Sub(s.checkedAt) >= checkInterval {
		s.checkedAt = now
		s.expire(now)
		s.moveSlowRuns(now)
		s.reviewProbation(now)
		s.stopUnstartedUnits(now)
		s.countServices()
	}
	s.chargeShares(now)
	if slices.ContainsFunc(s.ordered, func(n *node) bool { return len(n.sorted) > 0 }) {
		s.wakeAt(s.checkedAt.Add(checkInterval))
	}
	s.markDone(now)
	s.endExhausted(now)
	s.fit(now)
	if s.catalogue != nil && s.cordonsKnown() {
		s.place(now)
	}
	plan := Plan{Starts: s.starts, Stops: s.stops, Wake: s.wake}
	if len(s.ends) > 0 {
		plan.Ends = make(map[string]EndNumber, len(s.ends))
		for id, n := range s.ends {
			if n.lastEnd > 0 {
				plan.Ends[id] = EndNumber{Born: n.Born, Number: n.lastEnd}
			}
		}
		clear(s.ends)
	}
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
	for _, j := range s.allDone {
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
	clear(s.allDone)
}

// endExhausted ends the jobs of which a task has used up its attempts, because the limit has changed or
// a run that had been given up has failed. A run that is alive may go on: it may yet end as done.
func (s *Scheduler) endExhausted(now time.Time) {
	for id, j := range s.toCheckAttempts {
		waits := false
		for u := range j.units() {
			if !u.exhausted() || ended(j.phase) {
				continue
			}
			if len(u.members) > 0 {
				waits = true
				continue
			}
			s.endJob(now, j, failedPhase, exhaustedReason)
		}
		if !waits || ended(j.phase) {
			delete(s.toCheckAttempts, id)
		}
	}
}

const exhaustedReason = "a task failed in all its attempts"

// exhausted reports whether the unit has failed as often as its queue allows.
func (u *unit) exhausted() bool {
	limit := u.step.job.terms.MaxAttempts
	return limit > 0 && u.failures >= limit && !u.done
}

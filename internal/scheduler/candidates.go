package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const failedPhase = wire.JobPhase_JOB_PHASE_FAILED

// estimate is what the scheduler has learned from a queue's jobs.
type estimate struct {
	// ratio is the measured duration of a task at speed 1 divided by the caller's estimate.
	ratio float64
	// spread is the error of the estimates, as a standard deviation of the logarithm.
	spread float64
	// work is the mean work of a job, in target-seconds: the seconds that its tasks take at
	// speed 1 times the share of a target that they use.
	work float64
	// jobs counts the jobs that work is the mean of.
	jobs int
}

func (s *Scheduler) estimateFor(queue string) *estimate {
	e := s.estimates[queue]
	if e == nil {
		e = &estimate{ratio: 1, spread: firstSpread}
		s.estimates[queue] = e
	}
	return e
}

// assess computes a job's objective and work from its estimates, and updates the queue's mean
// work.
func (s *Scheduler) assess(j *job) {
	j.objective = s.objective(j.occurrences[0])
	j.work = 0
	for i := range j.Steps {
		j.work += float64(j.Steps[i].Count) * j.Steps[i].EstimatedDuration().Seconds() * s.targetShare(&j.Steps[i])
	}
	e := j.estimate
	e.jobs++
	e.work += (j.work - e.work) / float64(e.jobs)
}

// criticalPath returns the length of the longest chain of dependent steps. step returns the
// duration of a step and the earlier steps that it waits for.
func criticalPath(count int, step func(i int) (time.Duration, []int)) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, count)
	for i := range count {
		took, after := step(i)
		start := time.Duration(0)
		for _, earlier := range after {
			start = max(start, ends[earlier])
		}
		ends[i] = start + took
		longest = max(longest, ends[i])
	}
	return longest
}

// targetShare returns the share of a listed target's capacity that one task takes; at least
// 0.01, and 0.1 while no target is listed.
func (s *Scheduler) targetShare(spec *workload.Step) float64 {
	for _, n := range s.ordered {
		if n.listed {
			return max(spec.CapacityUse().DominantShare(n.Capacity), 0.01)
		}
	}
	return 0.1
}

// candidate is a step with units that can start now.
type candidate struct {
	step           *step
	startableUnits []*unit
	// guaranteed says that the guarantee of the job's organisation covers the job.
	guaranteed bool
	// guaranteeOverdue says that a guaranteed job has waited for guaranteeWait. It comes
	// before all others from then on.
	guaranteeOverdue bool
	// score is the job's value for each target-second that it still needs.
	score float64
	// weight is the job's value if it ends on time, and value what it is worth if the step's tasks start
	// now and run at speed 1.
	weight, value float64
	// slack is how many seconds a task of the step may take if the job is to end on time. It
	// is not above 0 if the job cannot end on time on any target.
	slack float64
	// expirySlack is how many seconds such a task may take before the job expires.
	expirySlack float64
	// lateCostFactor is the cost of a late end, as pass.lateCostFactor returns it.
	lateCostFactor float64
	// seeksTrial says that targets on probation may be used for a trial, and ignoresRestrictions that any may be
	// used for everything.
	seeksTrial, ignoresRestrictions bool
	// usesHeadroom says that the job may use what is kept for priority 0, and usesReserved that the step may
	// use what is reserved for others that wait.
	usesHeadroom, usesReserved bool
	// keptOut says that the last search met a target with free capacity that is reserved for others, or kept for
	// priority 0.
	keptOut bool
	// placed counts the units that were started in this pass.
	placed int
}

// candidates returns the steps with units to start in the order in which they are placed:
// by rank; within a rank, overdue guarantees by due time and all others by score, which includes the factor
// of their organisation's share.
func (s *Scheduler) candidates(now time.Time) []*candidate {
	guaranteeCovered := s.guaranteeCovered()
	var out []*candidate
	for _, j := range s.open {
		for _, o := range j.occurrences {
			if o.done {
				continue
			}
			if o.due.After(now) {
				s.wakeAt(o.due)
				break
			}
			for _, st := range o.steps {
				if startableUnits := s.startableUnits(now, st); len(startableUnits) > 0 {
					c := &candidate{step: st, startableUnits: startableUnits, guaranteed: j.terms.Priority == 0 && guaranteeCovered[j.Organisation]}
					c.guaranteeOverdue = c.guaranteed && now.Sub(o.due) >= guaranteeWait
					c.score = s.score(now, c)
					out = append(out, c)
				}
			}
		}
	}
	s.applyShares(now, out)
	slices.SortFunc(out, func(a, b *candidate) int {
		if byRank := cmp.Compare(b.rank(), a.rank()); byRank != 0 {
			return byRank
		}
		if a.guaranteeOverdue {
			return cmp.Or(a.step.occurrence.due.Compare(b.step.occurrence.due), cmp.Compare(a.step.job.ID, b.step.job.ID), cmp.Compare(a.step.number, b.step.number))
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.step.job.ID, b.step.job.ID), cmp.Compare(a.step.number, b.step.number), cmp.Compare(a.step.occurrence.number, b.step.occurrence.number))
	})
	return out
}

// rank orders candidates before their score does: 2 for an overdue guarantee, 1 for a
// guaranteed job and 0 for all others, the highest first.
func (c *candidate) rank() int {
	switch {
	case c.guaranteeOverdue:
		return 2
	case c.guaranteed:
		return 1
	}
	return 0
}

// startableUnits returns the units of a step that may start now: none until all units of the
// steps that it waits for are done.
func (s *Scheduler) startableUnits(now time.Time, st *step) []*unit {
	if st.idleUnits == 0 {
		return nil
	}
	for _, earlier := range st.spec.After {
		if st.occurrence.steps[earlier].unitsLeft > 0 {
			return nil
		}
	}
	var out []*unit
	for _, u := range st.units {
		if u.done || len(u.members) > 0 {
			continue
		}
		if u.notBefore.After(now) {
			s.wakeAt(u.notBefore)
			continue
		}
		out = append(out, u)
	}
	return out
}

// guaranteeCovered reports, by organisation, whether its guarantee covers all its open jobs of
// priority 0.
func (s *Scheduler) guaranteeCovered() map[string]bool {
	needs := map[string]int64{}
	for _, j := range s.open {
		if j.terms.Priority == 0 {
			needs[j.Organisation] += j.MaxAccelerators()
		}
	}
	out := map[string]bool{}
	for organisation, need := range needs {
		out[organisation] = need <= s.guarantee(organisation)
	}
	return out
}

// guarantee returns how many accelerators an organisation is guaranteed for its jobs of priority 0.
func (s *Scheduler) guarantee(organisation string) int64 {
	return s.catalogue.Organisations[organisation].GuaranteedAccelerators
}

// score returns the value that the job still has for each target-second that it still needs. It
// sets the candidate's value, weight and slack.
func (s *Scheduler) score(now time.Time, c *candidate) float64 {
	st := c.step
	remaining := 0.0
	timeLeft := time.Duration(0)
	for _, other := range st.occurrence.steps {
		if other.unitsLeft == 0 {
			continue
		}
		fractionLeft := float64(other.unitsLeft) / float64(other.spec.Units())
		remaining += fractionLeft * float64(other.spec.Count) * s.taskDuration(other).Seconds() * s.targetShare(other.spec)
		timeLeft += s.taskDuration(other)
	}
	lateness := s.lateness(st.occurrence)
	finish := now.Add(timeLeft).Sub(st.occurrence.due)
	if st.spec.LongRunning {
		// Its tasks are never late: one that has to start again has the place of a new one.
		finish = timeLeft
	}
	duration := s.taskDuration(st)
	c.slack, c.expirySlack = (lateness.Objective - finish + duration).Seconds(), (lateness.Expiry - finish + duration).Seconds()
	c.weight = s.weight(st.job)
	c.value = c.weight * lateness.ValueShare(finish)
	return c.value / max(remaining, 0.01)
}

// objective returns the time within which an occurrence has to end to keep its whole value. It
// grows with the work, so it uses the measured durations of the steps rather than the caller's
// estimates.
func (s *Scheduler) objective(o *occurrence) time.Duration {
	terms := &o.steps[0].job.terms
	return time.Duration(terms.StretchFactor*float64(criticalPath(len(o.steps), func(i int) (time.Duration, []int) {
		return s.taskDuration(o.steps[i]), o.steps[i].spec.After
	}))) + terms.RuntimeObjective
}

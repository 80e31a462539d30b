package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const failedPhase = wire.JobPhase_JOB_PHASE_FAILED

const (
	// lateShare is the part of its worth that a job earns after its objective.
	lateShare = 0.25
	// lateFactor times the objective, a job earns nothing any more.
	lateFactor = 3
	// hopelessShare orders the jobs that earn nothing any more, but have to end.
	hopelessShare = 0.01
	// fixedWorth is the part of a job's worth that does not grow with its work.
	fixedWorth = 0.3
	// maxRelativeWork bounds the worth of large jobs.
	maxRelativeWork = 5.3
)

// priorityWorth is the worth of a mean job by priority; later ones as the last.
var priorityWorth = [...]float64{4, 3, 1}

// estimate is what was learned of a queue's jobs.
type estimate struct {
	// ratio of real to estimated duration at speed 1.
	ratio float64
	// spread is how far off estimates are, as a standard deviation of the logarithm.
	spread float64
	// work is the mean work of a job, in node-seconds.
	work float64
	jobs int
}

func (s *Scheduler) estimateOf(queue string) *estimate {
	e := s.learned[queue]
	if e == nil {
		e = &estimate{ratio: 1, spread: firstSpread}
		s.learned[queue] = e
	}
	return e
}

// assess works out a job's objective and work from its estimates.
func (s *Scheduler) assess(j *job) {
	j.objective = s.objective(j.occurrences[0])
	j.work = 0
	for i := range j.Steps {
		j.work += float64(j.Steps[i].Count) * j.Steps[i].Nominal().Seconds() * s.share(&j.Steps[i])
	}
	e := s.estimateOf(j.Queue)
	e.jobs++
	e.work += (j.work - e.work) / float64(e.jobs)
}

// chain is the longest chain of dependent steps, of each of which step tells how long it
// takes and what it comes after.
func chain(count int, step func(i int) (time.Duration, []int)) time.Duration {
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

// share is the part of a typical target that one task takes.
func (s *Scheduler) share(shape *workload.Step) float64 {
	for _, n := range s.nodes {
		if n.listed {
			return max(shape.Counted().Share(n.Capacity), 0.01)
		}
	}
	return 0.1
}

// candidate is a step that could start units now.
type candidate struct {
	step *step
	idle []*unit
	// guaranteed says that its organisation's guarantee covers the job.
	guaranteed bool
	// claims says that it has waited for its guarantee: nothing goes before it any more.
	claims bool
	score  float64
	// worth is the credit that the job can still earn.
	worth float64
	// slack is how many seconds a task of the step may take for the job to be on time.
	slack float64
}

// candidates lists the steps with units to start, the most valuable first.
func (s *Scheduler) candidates(now time.Time) []*candidate {
	covered := s.covered()
	var out []*candidate
	for _, j := range s.jobs {
		if ended(j.phase) {
			continue
		}
		for _, o := range j.occurrences {
			if o.done {
				continue
			}
			if o.due.After(now) {
				s.wakeAt(o.due)
				break
			}
			for _, st := range o.steps {
				if idle := s.idle(now, st); len(idle) > 0 {
					c := &candidate{step: st, idle: idle, guaranteed: j.queue.Priority == 0 && covered[j.Organisation]}
					c.claims = c.guaranteed && now.Sub(o.due) >= reclaimPatience
					c.score = s.score(now, c)
					out = append(out, c)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *candidate) int {
		if byRank := cmp.Compare(b.rank(), a.rank()); byRank != 0 {
			return byRank
		}
		if a.claims {
			return cmp.Or(a.step.occurrence.due.Compare(b.step.occurrence.due), cmp.Compare(a.step.job.ID, b.step.job.ID), cmp.Compare(a.step.number, b.step.number))
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.step.job.ID, b.step.job.ID), cmp.Compare(a.step.number, b.step.number), cmp.Compare(a.step.occurrence.number, b.step.occurrence.number))
	})
	return out
}

// rank orders candidates before their scores do.
func (c *candidate) rank() int {
	switch {
	case c.claims:
		return 2
	case c.guaranteed:
		return 1
	}
	return 0
}

// idle lists the units of a step that may start now.
func (s *Scheduler) idle(now time.Time, st *step) []*unit {
	if st.left == 0 {
		return nil
	}
	for _, earlier := range st.shape.After {
		if st.occurrence.steps[earlier].left > 0 {
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

// covered tells, by organisation, whether its guarantee covers all its open jobs of priority 0.
func (s *Scheduler) covered() map[string]bool {
	needs := map[string]int64{}
	for _, j := range s.jobs {
		if !ended(j.phase) && j.queue.Priority == 0 {
			needs[j.Organisation] += j.accelerators()
		}
	}
	out := map[string]bool{}
	for organisation, need := range needs {
		out[organisation] = need <= s.catalogue.Organisations[organisation].GuaranteedAccelerators
	}
	return out
}

// accelerators is the most that a job's steps need at once.
func (j *job) accelerators() int64 {
	most := int64(0)
	for i := range j.Steps {
		most = max(most, int64(j.Steps[i].Count)*j.Steps[i].Needs.Accelerators)
	}
	return most
}

// score is the credit that the job can still earn for each node-second that it needs.
func (s *Scheduler) score(now time.Time, c *candidate) float64 {
	j, st := c.step.job, c.step
	remaining := 0.0
	chainLeft := time.Duration(0)
	for _, other := range st.occurrence.steps {
		if other.left == 0 {
			continue
		}
		part := float64(other.left) / float64(other.shape.Units())
		remaining += part * float64(other.shape.Count) * s.duration(other).Seconds() * s.share(other.shape)
		chainLeft += s.duration(other)
	}
	worth := s.worth(j)
	objective := s.objective(st.occurrence)
	finish := now.Add(chainLeft).Sub(st.occurrence.due)
	c.slack = (objective - finish + s.duration(st)).Seconds()
	switch {
	case finish <= objective:
	case finish <= lateFactor*objective:
		worth *= lateShare
	default:
		worth *= hopelessShare
	}
	c.worth = worth
	return worth / max(remaining, 0.01)
}

// objective is the time within which an occurrence earns its whole credit. It grows with
// the work, so what was measured of the steps counts and not what their caller guessed.
func (s *Scheduler) objective(o *occurrence) time.Duration {
	queue := &o.steps[0].job.queue
	return time.Duration(queue.StretchFactor*float64(chain(len(o.steps), func(i int) (time.Duration, []int) {
		return s.duration(o.steps[i]), o.steps[i].shape.After
	}))) + queue.RuntimeObjective
}

// worth is the credit that a job earns on time.
func (s *Scheduler) worth(j *job) float64 {
	relative := 1.0
	if mean := s.estimateOf(j.Queue).work; mean > 0 {
		relative = min(j.work/mean, maxRelativeWork)
	}
	return priorityWorth[min(max(j.queue.Priority, 0), len(priorityWorth)-1)] * (fixedWorth + (1-fixedWorth)*relative)
}

func compareRuns(a, b target.Run) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence), cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number),
	)
}

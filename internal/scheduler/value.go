package scheduler

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/policy"
)

// weight returns the value of a job if it ends on time.
func (s *Scheduler) weight(j *job) float64 {
	relativeWork := 1.0
	if mean := j.estimate.work; mean > 0 {
		relativeWork = j.work / mean
	}
	return s.Limits.Policy.Weight(j.terms.Priority, relativeWork)
}

// lateness returns how the value of an occurrence falls.
func (s *Scheduler) lateness(o *occurrence) policy.Lateness {
	return policy.NewLateness(s.objective(o), o.steps[0].job.terms.StretchFactor)
}

// valueIn returns the candidate's value if its tasks take so many seconds from now on.
func (c *candidate) valueIn(seconds float64) float64 {
	lateness := policy.Lateness{Objective: toDuration(c.slack), Expiry: toDuration(c.expirySlack)}
	return c.weight * lateness.ValueShare(toDuration(seconds))
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// backlog is the work of a service that waits for capacity.
type backlog struct {
	// value is the part of the jobs' value that their waiting work stands for, and work that work in
	// target-seconds; both leave out priority 0.
	value, work float64
	// wait is how long the whole service would take for all of the waiting work, priority 0 included.
	wait time.Duration
}

// price returns what a target-second of a service's capacity is worth: the value that the waiting work
// has for each target-second. It is 0 while nothing waits. Work of priority 0 does not count, since it is
// what runs are stopped for: its wait is the gain of a stop and not its cost.
func (s *Scheduler) price(service string) float64 {
	b := s.backlogs[service]
	if b.work <= 0 {
		return 0
	}
	return b.value / b.work
}

// measureBacklogs records what the candidates of a pass still wait for at its end. Whose work it is does not
// change its value.
func (p *pass) measureBacklogs(candidates []*candidate) {
	clear(p.s.backlogs)
	waiting := map[string]float64{}
	for _, c := range candidates {
		st := c.step
		units := len(c.startableUnits) - c.placed
		if units <= 0 {
			continue
		}
		work := float64(units*st.spec.Members()) * p.s.taskDuration(st).Seconds() * p.s.targetShare(st.spec)
		service := st.job.terms.Service
		waiting[service] += work
		if st.job.terms.Priority == 0 {
			continue
		}
		b := p.s.backlogs[service]
		b.value, b.work = b.value+c.score/p.s.shareFactor(c.step.job)*work, b.work+work
		p.s.backlogs[service] = b
	}
	for service, work := range waiting {
		if total := p.usage[service]; total != nil && total.targets > 0 {
			b := p.s.backlogs[service]
			b.wait = toDuration(work / float64(total.targets))
			p.s.backlogs[service] = b
		}
	}
}

// loss returns the value that stopping a unit costs: the capacity that was spent on the lost work and that
// lies idle until the unit runs again, at its price, and the part of its job's value that the delay puts at risk.
func (s *Scheduler) loss(now time.Time, u *unit) float64 {
	st := u.step
	if st.spec.LongRunning {
		return s.lossOfLasting(u)
	}
	lost := runningFor(now, u)
	if st.spec.Checkpointing {
		// A stop makes a checkpoint, so only the restart is lost. It counts as at most one
		// checkpoint period of work.
		lost = min(lost, s.Limits.CheckpointPeriod)
	}
	service := st.job.terms.Service
	capacity := (lost + s.Limits.StopTime + stepMargin).Seconds() * s.targetShare(st.spec) * float64(len(u.members))
	return capacity*s.price(service) + s.valueAtRisk(now, u, lost)
}

// lossOfLasting returns the value that stopping a unit of long-running tasks costs: no work is lost, but these
// tasks don't serve until they run again. It grows with the stops already made of the unit, so that others of
// the step are stopped first.
func (s *Scheduler) lossOfLasting(u *unit) float64 {
	st := u.step
	idle := (s.Limits.StopTime + stepMargin).Seconds() * s.targetShare(st.spec) * float64(len(u.members))
	return idle*s.price(st.job.terms.Service) + s.weight(st.job)*float64(1+u.preempted)*float64(st.spec.Members())/float64(st.spec.Count)
}

// valueAtRisk returns the part of its job's value that stopping a unit puts at risk. The job ends with its
// last unit, so the whole job is delayed by the work that is lost, the stop and the wait for capacity. The
// part is that delay's share of the time that is left until the job expires: after the objective that is
// the loss itself, and before it what is taken of the job's reserve. It grows with the stops already made, so
// that a unit isn't stopped again and again.
func (s *Scheduler) valueAtRisk(now time.Time, u *unit, lost time.Duration) float64 {
	st := u.step
	delay := lost + s.Limits.StopTime + s.backlogs[st.job.terms.Service].wait
	end := now.Add(s.remainingTime(now, u)).Sub(st.occurrence.due)
	lateness := s.lateness(st.occurrence)
	share := 1.0
	if left := lateness.Expiry - end; left > delay {
		share = float64(delay) / float64(left)
	}
	return s.weight(st.job) * lateness.ValueShare(end) * share * float64(1+u.preempted)
}

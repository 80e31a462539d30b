package scheduler

import (
	"iter"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/terms"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// job is a job with the state of its occurrences.
type job struct {
	*workload.Job
	// terms are those that the job is subject to now.
	terms terms.Terms
	phase wire.JobPhase
	// begun says that a target has accepted or listed a run of the job.
	begun       bool
	ended       time.Time
	occurrences []*occurrence
	// objective and work are those of one occurrence; work is in target-seconds.
	objective time.Duration
	work      float64
	// estimate is that of the job's queue.
	estimate *estimate
	// cordonLogged is when it was last logged that the job waits for a cordoned zone.
	cordonLogged time.Time
	// failedOn holds the targets that were not on probation when runs of the job failed there.
	failedOn map[string]bool
}

// occurrence is one run of all the job's steps.
type occurrence struct {
	number int
	due    time.Time
	steps  []*step
	done   bool
}

// step is a step of one occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	number     int
	spec       *workload.Step
	units      []*unit
	// unitsLeft counts the units that are not done, and idleUnits those of them without a run.
	unitsLeft int
	idleUnits int
	// logWork is the logarithm of one task's work in seconds at speed 1, once measured.
	logWork  float64
	measured bool
	// duration is that work as a time, once measured.
	duration time.Duration
	// estimateUpdated says that the queue's estimate has been updated with the step's measured
	// work.
	estimateUpdated bool
	// preemptFasterAt is when runs on faster targets were first stopped for the step.
	preemptFasterAt time.Time
	// demandRecorded says that the step is part of what priority 0 has asked for.
	demandRecorded bool
	// waitsSince is when the step first waited for runs to end instead of having runs stopped.
	waitsSince time.Time
	// keptOutSince is since when free capacity that is kept for others is all that the step would fit into.
	keptOutSince time.Time
	// rackWaitSince is since when the gang, which lasts, waits for one rack; zero if it does not.
	rackWaitSince time.Time
	// searchAgainAt is when runs to stop for the step are next searched for.
	searchAgainAt time.Time
}

// unit is what is started at once: one task, or all tasks of a gang.
type unit struct {
	step  *step
	index int
	// run is the number of the current run; 0 before the first.
	run        int
	failures   int
	done       bool
	checkpoint string
	// members are the tasks of the current run that may be alive.
	members []*member
	// failedRuns holds the numbers of the runs that are counted in failures.
	failedRuns []int
	startedAt  time.Time
	// stoppedRun is the run of which all members have been stopped or closed; 0 if that may not be so.
	stoppedRun int
	outlook    outlook
	// preempted counts how often the unit was stopped to free capacity for another job.
	preempted int
	// moves counts how often the unit was moved for lack of progress.
	moves int
	// avoidTarget is the target on which the unit last failed or made too little progress.
	avoidTarget string
	// notBefore is the earliest time of the next start after a run that did not end as done.
	notBefore time.Time
}

// member is one task of a run on a target.
type member struct {
	unit  *unit
	index int
	node  *node
	// use is what its organisation uses, this member included.
	use *organisationUse
	// run is the run as its target knows it.
	run   target.Run
	state memberState
	// confirmed is when the target accepted the start or first listed the run.
	confirmed time.Time
	progress  progress
	// listedBy is the incarnation of the target that last listed the run as running; 0 if none
	// has.
	listedBy int64
	// atWorkSince is since when the target reports the task of a long-running step as at work; zero if it does not.
	atWorkSince time.Time
	// sentTo is the incarnation of the target that the start was last sent to.
	sentTo int64
	// startUnanswered says that a start was sent and not answered, which was first known at
	// unansweredSince.
	startUnanswered bool
	unansweredSince time.Time
	// stopDecided is when the run was to be stopped, and stopAcknowledged when the target
	// accepted the stop.
	stopDecided      time.Time
	stopAcknowledged time.Time
	// closed says that the member is known not to be running and belongs to its unit no more.
	closed bool
}

type memberState int

const (
	// memberAwaitingWrite: the start waits until its write is durable.
	memberAwaitingWrite memberState = iota
	// memberStartSent: the start was sent.
	memberStartSent
	// memberInherited: a former planner may have started it.
	memberInherited
	// memberConfirmed: the target has accepted the start or listed the run.
	memberConfirmed
)

// confirm records that the target has accepted or listed the run.
func (m *member) confirm(now time.Time) {
	m.state, m.confirmed = memberConfirmed, now
	m.unit.step.job.begun = true
}

// newMember returns a member of a unit's current run. It is not attached to its target yet.
func newMember(u *unit, index int, n *node, state memberState) *member {
	st := u.step
	task := target.Task{Job: st.job.ID, Occurrence: st.occurrence.number, Step: st.number, Index: u.index + index}
	return &member{unit: u, index: u.index + index, node: n, state: state, run: target.Run{Number: u.run, Task: task}}
}

// stepDescriptions describes the job's steps for the log.
func (j *job) stepDescriptions() []string {
	var out []string
	for i := range j.Steps {
		out = append(out, j.Steps[i].String())
	}
	return out
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number, due: j.Due(number)}
	for i := range j.Steps {
		st := &step{job: j, occurrence: o, number: i, spec: &j.Steps[i], unitsLeft: j.Steps[i].Units(), idleUnits: j.Steps[i].Units()}
		for index := range st.spec.Units() {
			st.units = append(st.units, &unit{step: st, index: index})
		}
		o.steps = append(o.steps, st)
	}
	return o
}

// units returns the units of all occurrences in order.
func (j *job) units() iter.Seq[*unit] {
	return func(yield func(*unit) bool) {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				for _, u := range st.units {
					if !yield(u) {
						return
					}
				}
			}
		}
	}
}

func (j *job) hasRuns() bool {
	for u := range j.units() {
		if len(u.members) > 0 {
			return true
		}
	}
	return false
}

func ended(phase wire.JobPhase) bool {
	return phase == wire.JobPhase_JOB_PHASE_DONE || phase == wire.JobPhase_JOB_PHASE_FAILED || phase == wire.JobPhase_JOB_PHASE_CANCELLED
}

func phaseName(phase wire.JobPhase) string {
	switch phase {
	case wire.JobPhase_JOB_PHASE_DONE:
		return "done"
	case wire.JobPhase_JOB_PHASE_FAILED:
		return "failed"
	case wire.JobPhase_JOB_PHASE_CANCELLED:
		return "cancelled"
	}
	return "open"
}

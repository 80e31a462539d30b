// Package scheduler decides what runs where: which tasks start next and on which
// targets, what is stopped for them, and what is done when runs end, fail or are
// lost. It is pure: events and the time come in, writes and orders come out.
package scheduler

import (
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Scheduler holds the planner's whole state. Set the exported fields before the
// first event. It is not safe for concurrent use.
type Scheduler struct {
	Limits Limits
	// Log receives one event for each decision; nil discards them.
	Log func(event string, fields Fields)

	catalogue *catalogue.Catalogue
	jobs      map[string]*job
	nodes     map[string]*node
	dirty     map[string]*job
	learned   map[string]*estimate
	starts    []Start
	stops     []Stop
	wake      time.Time

	observed     []*observation
	observedNews bool
	fitted       time.Time
}

// Fields describe a decision in the log.
type Fields map[string]any

// Limits are the platform's bounds that decisions depend on.
type Limits struct {
	// TaskLease is how long a target goes on without a renewal.
	TaskLease time.Duration
	// RenewalHorizon is how long a former planner may have gone on renewing after the last sign of it.
	RenewalHorizon time.Duration
	// RemoteFactor is how much longer tasks run away from their data or spread over racks.
	RemoteFactor float64
	// Retention is how long an ended job is known.
	Retention time.Duration
	// CheckpointPeriod is the work between two checkpoints.
	CheckpointPeriod time.Duration
	// StopTime is how long a stop takes at most.
	StopTime time.Duration
}

// Start is a run to be started once the writes of its step are durable.
type Start struct {
	Run    target.Run
	Target string
}

// Stop is a run to be stopped.
type Stop struct {
	Run    target.Run
	Target string
}

// Write is a job's progress to be made durable.
type Write struct {
	Job    string
	Record *wire.ProgressRecord
}

// Plan is what one step decided. The starts may be sent only after the writes are durable.
type Plan struct {
	Writes []Write
	Starts []Start
	Stops  []Stop
	// Wake is when the next step is due without an event; zero for none.
	Wake time.Time
}

// job is one job with the state of its occurrences.
type job struct {
	*workload.Job
	queue       catalogue.Queue
	phase       wire.JobPhase
	ended       time.Time
	occurrences []*occurrence
	objective   time.Duration
	work        float64
}

// occurrence is one run of a job's steps.
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
	shape      *workload.Step
	units      []*unit
	left       int
	// logWork is the logarithm of one task's work in seconds, once measured.
	logWork  float64
	measured bool
	// learned says that the queue's estimates have been compared with the step.
	learned bool
	// hastened is when room was first made for the step on faster targets.
	hastened time.Time
}

// unit is what is started at once: one task, or all tasks of a gang.
type unit struct {
	step       *step
	index      int
	run        int
	failures   int
	done       bool
	checkpoint string
	// members are the tasks of the current run that may be alive.
	members []*member
	// failed says that the current run's failure has been counted.
	failed bool
	begun  time.Time
	// preempted counts how often the unit was stopped to make room.
	preempted int
	// moves counts how often the unit was moved for lack of progress.
	moves int
	// avoid is the target on which the unit failed last.
	avoid     string
	notBefore time.Time
}

// member is one task of a run on a target.
type member struct {
	unit  *unit
	index int
	node  *node
	state memberState
	// confirmed is when the target acknowledged the start or listed the run.
	confirmed time.Time
	progress  progress
	// doubtful says that a start was sent and not answered.
	doubtful bool
	// stopping and stopped are when the stop was decided and acknowledged.
	stopping time.Time
	stopped  time.Time
}

type memberState int

const (
	// intended: the start waits for its write.
	intended memberState = iota
	// ordered: the start was sent.
	ordered
	// inherited: a former planner may have started it.
	inherited
	// present: the target has acknowledged or listed it.
	present
)

func (m *member) run() target.Run {
	s := m.unit.step
	return target.Run{Number: m.unit.run, Task: target.Task{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.number, Index: m.index}}
}

func (s *Scheduler) prepare() {
	if s.jobs == nil {
		s.jobs, s.nodes, s.dirty, s.learned = map[string]*job{}, map[string]*node{}, map[string]*job{}, map[string]*estimate{}
	}
}

func (s *Scheduler) log(event string, fields Fields) {
	if s.Log != nil {
		s.Log(event, fields)
	}
}

// Configure takes a version of the operators' configuration.
func (s *Scheduler) Configure(held *catalogue.Catalogue) {
	s.prepare()
	s.catalogue = held
	for _, j := range s.jobs {
		if queue, ok := held.Queue(j.Queue); ok {
			j.queue = *queue
		}
	}
}

// Submit takes an accepted job. A job that is known already stays as it is.
func (s *Scheduler) Submit(now time.Time, submitted *workload.Job) {
	s.prepare()
	if s.jobs[submitted.ID] != nil {
		return
	}
	j := &job{Job: submitted, phase: wire.JobPhase_JOB_PHASE_QUEUED}
	if s.catalogue != nil {
		if queue, ok := s.catalogue.Queue(submitted.Queue); ok {
			j.queue = *queue
		}
	}
	for number := range submitted.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, number))
	}
	s.jobs[j.ID] = j
	s.assess(j)
	s.log("job known", Fields{"job": j.ID, "queue": j.Queue, "organisation": j.Organisation, "age": now.Sub(j.Accepted), "steps": j.shapes()})
}

// shapes describes the job's steps in the log.
func (j *job) shapes() []string {
	var out []string
	for i := range j.Steps {
		out = append(out, j.Steps[i].String())
	}
	return out
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number, due: j.Due(number)}
	for i := range j.Steps {
		st := &step{job: j, occurrence: o, number: i, shape: &j.Steps[i], left: j.Steps[i].Units()}
		for index := range st.shape.Units() {
			st.units = append(st.units, &unit{step: st, index: index})
		}
		o.steps = append(o.steps, st)
	}
	return o
}

// Cancel ends a job whose caller no longer wants it.
func (s *Scheduler) Cancel(now time.Time, id string) {
	s.prepare()
	j := s.jobs[id]
	if j == nil || ended(j.phase) {
		return
	}
	s.end(now, j, wire.JobPhase_JOB_PHASE_CANCELLED, "its caller cancelled it")
}

// Known reports whether a job is held.
func (s *Scheduler) Known(id string) bool { return s.jobs[id] != nil }

func ended(phase wire.JobPhase) bool {
	return phase == wire.JobPhase_JOB_PHASE_DONE || phase == wire.JobPhase_JOB_PHASE_FAILED || phase == wire.JobPhase_JOB_PHASE_CANCELLED
}

// end makes a phase final and stops what still runs.
func (s *Scheduler) end(now time.Time, j *job, phase wire.JobPhase, reason string) {
	j.phase, j.ended = phase, now
	s.dirty[j.ID] = j
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, u := range st.units {
				s.stop(now, u, reason)
			}
		}
	}
	s.log("job ended", Fields{"job": j.ID, "phase": phaseName(phase), "reason": reason, "age": now.Sub(j.Accepted), "objective": j.objective})
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

// stop asks for the end of a unit's current run.
func (s *Scheduler) stop(now time.Time, u *unit, reason string) {
	for _, m := range append([]*member(nil), u.members...) {
		if m.state == intended {
			s.close(now, m, "its start was withdrawn")
			continue
		}
		if m.stopping.IsZero() {
			m.stopping = now
			s.stops = append(s.stops, Stop{Run: m.run(), Target: m.node.ID})
			s.log("run stopped", Fields{"job": u.step.job.ID, "run": m.run(), "target": m.node.ID, "reason": reason})
		}
	}
}

// close notes that a member surely does not run. Closing one member of a gang stops the
// others, which may close them in turn, so it may be asked for again.
func (s *Scheduler) close(now time.Time, m *member, reason string) {
	u := m.unit
	i := slices.Index(u.members, m)
	if i < 0 {
		return
	}
	u.members = slices.Concat(u.members[:i], u.members[i+1:])
	delete(m.node.members, m.run())
	m.node.used = m.node.used.Minus(u.step.shape.Counted())
	s.dirty[u.step.job.ID] = u.step.job
	if !u.done && len(u.members) > 0 && u.step.shape.Gang {
		s.stop(now, u, "another member is gone: "+reason)
	}
}

// Pending counts, by queue, the jobs without times of which nothing has started.
func (s *Scheduler) Pending() map[string]int32 {
	out := map[string]int32{}
	for _, j := range s.jobs {
		if j.phase == wire.JobPhase_JOB_PHASE_QUEUED && j.RepeatCount == 0 {
			out[j.Queue]++
		}
	}
	return out
}

// Expired returns ended jobs that are kept no longer than the retention asks.
func (s *Scheduler) Expired(now time.Time) []string {
	var out []string
	for id, j := range s.jobs {
		if ended(j.phase) && now.Sub(j.ended) >= s.Limits.Retention && !j.alive() {
			out = append(out, id)
		}
	}
	return out
}

// Forget drops a job whose records have been removed.
func (s *Scheduler) Forget(id string) { delete(s.jobs, id) }

func (j *job) alive() bool {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, u := range st.units {
				if len(u.members) > 0 {
					return true
				}
			}
		}
	}
	return false
}

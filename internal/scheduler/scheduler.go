// Package scheduler decides which tasks start next and on which targets, which runs are
// stopped for them, and what follows when runs end, fail or are lost. It does no input or
// output: events and the time are passed in, and each step returns the writes and orders to
// carry out.
package scheduler

import (
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/cordon"
	"github.com/eelgrasstide/eelgrasstide/internal/policy"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/terms"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// lateWriteTime is longer than the store takes to carry out a write that it has not answered.
const lateWriteTime = 30 * time.Second

// Scheduler holds the planner's whole state. Set the exported fields before the first event.
// It is not safe for concurrent use.
type Scheduler struct {
	Limits Limits
	// FirstTerm says that there has been no planner before this one, so that no order of one can be carried out.
	FirstTerm bool
	// Log receives one event for each decision; nil discards them.
	Log func(event string, fields Fields)

	catalogue *catalogue.Catalogue
	// cordons is what is known of the cordons; nil until SetCordons.
	cordons     *cordon.Set
	cordonWaits cordonWaits
	// jobs and nodes hold the known jobs and targets by ID; estimates holds one estimate for
	// each queue, by its name.
	jobs      map[string]*job
	nodes     map[string]*node
	estimates map[string]*estimate
	// backlogs holds, by service, what waited at the end of the last pass.
	backlogs map[string]backlog
	// urgentDemands holds, by service, what work of priority 0 has asked for lately.
	urgentDemands map[string]urgentDemand
	// open holds the jobs that have not ended, and ordered the targets by ID.
	open    map[string]*job
	ordered []*node
	// earlyCancellations holds when a cancellation was learned of that binds no known job: the job is not
	// known, or is another organisation's. The store may carry the submission out later.
	earlyCancellations map[records.Cancellation]time.Time
	// dirty holds the jobs whose progress has changed since the last step.
	dirty map[string]*job
	// allDone holds the open jobs that may have no units left, to be looked at in the next step.
	allDone map[string]*job
	// toCheckAttempts holds the jobs of which tasks may have used up their attempts other than by the end
	// of their current run, until none of these tasks is running.
	toCheckAttempts map[string]*job
	// ends holds the targets of which ended runs were processed since the last step.
	ends map[string]*node
	// round numbers the times during which outlooks hold; see beginRound.
	round int64
	// checkedAt is when the conditions that depend on the time alone were last checked.
	checkedAt time.Time
	pass      pass
	shares    shares
	// starts, stops and wake are collected for the plan of the next step.
	starts []Start
	stops  []Stop
	wake   time.Time
	// handover is what passes from planner to planner.
	handover handover

	// observations are what the next fit uses; hasNewObservations says that some have changed
	// since lastFit.
	observations       []*observation
	hasNewObservations bool
	lastFit            time.Time
	load               loadState
	coldPace           coldPace
	failureRate        failureRate
}

// Fields describe a decision in the log.
type Fields map[string]any

// Limits are the platform's limits and settings that decisions depend on.
type Limits struct {
	// TaskLease is how long a target keeps running its tasks without a renewal.
	TaskLease time.Duration
	// RenewalHorizon is how long a former planner may continue to renew leases after its
	// last contact with the store.
	RenewalHorizon time.Duration
	// RemoteFactor is how many times as long tasks run outside the rack of their data, or spread
	// over racks. Values below 1 count as 1.
	RemoteFactor float64
	// Retention is how long an ended job is kept.
	Retention time.Duration
	// CheckpointPeriod is the running time between two checkpoints.
	CheckpointPeriod time.Duration
	// StopTime is the longest time that a stop takes.
	StopTime time.Duration
	// DrainTime is how long after a target has said that it drains runs may still be started there.
	DrainTime time.Duration
	// CordonTime is how long after the request for a cordon was acknowledged starts in its zone have to
	// have ended; 0 if there is no such bound.
	CordonTime time.Duration
	// ColdOverage is how many times as many tasks as warm targets have on average a cold one is given at most,
	// and ColdSlack how many tasks more. Cold targets are treated as warm ones if ColdOverage is 0.
	ColdOverage float64
	ColdSlack   int
	// Policy holds the weights of decisions; the zero Policy stands for its defaults.
	Policy policy.Policy
	// ShareHalfLife is the time after which capacity that an organisation used counts half when
	// organisations compete; 0 if their use is not considered.
	ShareHalfLife time.Duration
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

// Plan is the result of one step. The starts may be sent only after the writes are durable.
type Plan struct {
	Writes []Write
	Starts []Start
	Stops  []Stop
	// Ends holds the last ended run that was processed, by target, where that has changed.
	Ends map[string]EndNumber
	// Wake is when the next step is due without an event; zero for none.
	Wake time.Time
}

// EndNumber is the number of an ended run in one incarnation of its target; numbers start again
// in each incarnation.
type EndNumber struct {
	Born   int64
	Number int64
}

func (s *Scheduler) initialise() {
	if s.jobs == nil {
		s.jobs, s.nodes, s.estimates = map[string]*job{}, map[string]*node{}, map[string]*estimate{}
		s.open, s.dirty, s.allDone, s.ends = map[string]*job{}, map[string]*job{}, map[string]*job{}, map[string]*node{}
		s.backlogs, s.urgentDemands = map[string]backlog{}, map[string]urgentDemand{}
		s.Limits.Policy.Defaults()
		s.earlyCancellations, s.toCheckAttempts = map[records.Cancellation]time.Time{}, map[string]*job{}
		s.handover.withheld, s.handover.inherited = map[string]int64{}, map[string]inheritedSilence{}
	}
}

func (s *Scheduler) log(event string, fields Fields) {
	if s.Log != nil {
		s.Log(event, fields)
	}
}

// Configure puts a version of the operators' configuration in force.
func (s *Scheduler) Configure(configuration *catalogue.Catalogue) {
	s.initialise()
	s.catalogue = configuration
	for _, j := range s.open {
		s.setTerms(j, configuration)
	}
}

// setTerms makes a job subject to its terms under a configuration. The job's progress is written if
// they have other settings than before, so that a later planner knows them even if the queue is gone
// by then. That of a job without terms, which an earlier release accepted, is written with its next
// start.
func (s *Scheduler) setTerms(j *job, configuration *catalogue.Catalogue) {
	former := j.terms
	j.terms = former.Under(configuration)
	if j.terms.SameSettings(former) {
		return
	}
	if former.Version > 0 {
		s.dirty[j.ID] = j
	}
	if j.terms.MaxAttempts != former.MaxAttempts {
		s.toCheckAttempts[j.ID] = j
	}
	s.log("terms changed", Fields{
		"job": j.ID, "queue": j.Queue, "version": j.terms.Version, "service": j.terms.Service, "maxAttempts": j.terms.MaxAttempts, "priority": j.terms.Priority,
		"formerVersion": former.Version, "formerService": former.Service, "formerMaxAttempts": former.MaxAttempts, "formerPriority": former.Priority,
	})
}

// Submit adds an accepted job. A job that is known already is not changed.
func (s *Scheduler) Submit(now time.Time, submitted *workload.Job) {
	s.initialise()
	if s.jobs[submitted.ID] == nil {
		s.setTerms(s.add(now, submitted, submitted.AcceptedTerms), s.catalogue)
		s.applyEarlyCancellations(now, s.jobs[submitted.ID])
	}
}

// add adds a job under terms that were in force before.
func (s *Scheduler) add(now time.Time, submitted *workload.Job, former terms.Terms) *job {
	former.Queue = submitted.Queue
	j := &job{Job: submitted, terms: former, phase: wire.JobPhase_JOB_PHASE_QUEUED, estimate: s.estimateFor(submitted.Queue)}
	for number := range submitted.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, number))
	}
	s.jobs[j.ID], s.open[j.ID] = j, j
	s.assess(j)
	s.log("job known", Fields{
		"job": j.ID, "queue": j.Queue, "organisation": j.Organisation, "age": now.Sub(j.Accepted), "steps": j.stepDescriptions(),
		"version": former.Version, "service": former.Service, "maxAttempts": former.MaxAttempts,
	})
	return j
}

// Cancel ends a job at its caller's request. If the cancellation binds no known job, one that it binds
// ends as soon as it is known.
func (s *Scheduler) Cancel(now time.Time, cancellation records.Cancellation) {
	s.initialise()
	j := s.jobs[cancellation.Job]
	if j == nil || !slices.Contains(j.cancellations(), cancellation) {
		if _, ok := s.earlyCancellations[cancellation]; !ok {
			s.earlyCancellations[cancellation] = now
			s.log("cancellation kept", Fields{
				"job": cancellation.Job, "owner": cancellation.Owner, "known": j != nil,
				"reason": "it binds no known job; the submission may be carried out late",
			})
		}
		return
	}
	if !ended(j.phase) {
		s.endJob(now, j, wire.JobPhase_JOB_PHASE_CANCELLED, "its caller cancelled it")
	}
}

// cancellations returns the cancellations that bind the job.
func (j *job) cancellations() []records.Cancellation {
	return []records.Cancellation{{Job: j.ID}, records.CancellationBy(j.ID, j.Organisation)}
}

// Cancellations returns the cancellations that bind a known job.
func (s *Scheduler) Cancellations(id string) []records.Cancellation {
	if j := s.jobs[id]; j != nil {
		return j.cancellations()
	}
	return nil
}

// applyEarlyCancellations ends a job that has just become known if it was cancelled before.
func (s *Scheduler) applyEarlyCancellations(now time.Time, j *job) {
	for _, cancellation := range j.cancellations() {
		if _, ok := s.earlyCancellations[cancellation]; ok {
			delete(s.earlyCancellations, cancellation)
			s.Cancel(now, cancellation)
		}
	}
}

// ExpiredCancellations returns the cancellations that were learned of longer ago than the retention
// period, and lateWriteTime, and that bind no known job.
func (s *Scheduler) ExpiredCancellations(now time.Time) []records.Cancellation {
	var out []records.Cancellation
	for cancellation, since := range s.earlyCancellations {
		if now.Sub(since) >= max(s.Limits.Retention, lateWriteTime) {
			out = append(out, cancellation)
		}
	}
	return out
}

// ForgetCancellation removes a cancellation whose mark has been deleted from the store.
func (s *Scheduler) ForgetCancellation(cancellation records.Cancellation) {
	delete(s.earlyCancellations, cancellation)
}

// HasJob reports whether the scheduler holds the job.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// endJob sets a final phase and stops the job's runs.
func (s *Scheduler) endJob(now time.Time, j *job, phase wire.JobPhase, reason string) {
	j.phase, j.ended = phase, now
	s.dirty[j.ID] = j
	delete(s.open, j.ID)
	for u := range j.units() {
		s.stopUnit(now, u, reason)
	}
	s.log("job ended", Fields{"job": j.ID, "phase": phaseName(phase), "reason": reason, "age": now.Sub(j.Accepted), "objective": j.objective})
}

// stopUnit stops a unit's current run. Members whose start has not been sent are closed at once.
func (s *Scheduler) stopUnit(now time.Time, u *unit, reason string) {
	s.stopUnitWith(now, u, reason, nil)
}

// stopUnitWith stops a unit's current run and adds fields to the log of each stop.
func (s *Scheduler) stopUnitWith(now time.Time, u *unit, reason string, details Fields) {
	if u.stoppedRun == u.run && u.run > 0 {
		return
	}
	u.stoppedRun = u.run
	for _, m := range slices.Clone(u.members) {
		if m.state == memberAwaitingWrite {
			s.logClosed(now, m, "its start was withdrawn before it was sent: "+reason)
			s.close(now, m, "its start was withdrawn before it was sent")
			continue
		}
		if m.stopDecided.IsZero() {
			s.stopMemberWith(now, m, reason, details)
		}
	}
}

// stopMember stops one member of a run.
func (s *Scheduler) stopMember(now time.Time, m *member, reason string) {
	s.stopMemberWith(now, m, reason, nil)
}

func (s *Scheduler) stopMemberWith(now time.Time, m *member, reason string, details Fields) {
	m.stopDecided = now
	s.stops = append(s.stops, Stop{Run: m.run, Target: m.node.ID})
	s.log("run stopped", m.fields(now).with(Fields{
		"reason": reason, "organisation": m.unit.step.job.Organisation, "shareFactor": s.shareFactor(m.unit.step.job),
	}).with(details))
}

// logClosed logs that a member is about to be closed, unless it is closed already.
func (s *Scheduler) logClosed(now time.Time, m *member, reason string) {
	if !m.closed {
		s.log("run closed", m.fields(now).with(Fields{"reason": reason}))
	}
}

// close removes a member that is known not to be running. Closing one member of a gang stops
// the others, which may close them in turn, so it may be called again for the same member.
func (s *Scheduler) close(now time.Time, m *member, reason string) {
	u := m.unit
	if m.closed {
		return
	}
	m.closed = true
	if at, found := slices.BinarySearchFunc(u.members, m, compareMembers); found {
		u.members = slices.Delete(u.members, at, at+1)
	}
	m.node.remove(m)
	m.closeUse()
	if len(u.members) == 0 && !u.done {
		u.step.idleUnits++
	}
	s.dirty[u.step.job.ID] = u.step.job
	if !u.done && len(u.members) > 0 && u.step.spec.Gang {
		s.stopUnit(now, u, "another member is gone: "+reason)
	}
}

// PendingJobs counts, by queue, the jobs that run once and of which nothing is known to have
// started.
func (s *Scheduler) PendingJobs() map[string]int32 {
	out := map[string]int32{}
	for _, j := range s.open {
		if !j.begun && j.RepeatCount == 0 {
			out[j.Queue]++
		}
	}
	return out
}

// Expired returns the ended jobs whose retention period is over and that have no runs left.
func (s *Scheduler) Expired(now time.Time) []string {
	var out []string
	for id, j := range s.jobs {
		if ended(j.phase) && now.Sub(j.ended) >= s.Limits.Retention && !j.hasRuns() {
			out = append(out, id)
		}
	}
	return out
}

// Forget removes a job whose records have been deleted from the store. Cancellations by other organisations
// stay: they bind submissions that may still be carried out.
func (s *Scheduler) Forget(id string) {
	delete(s.jobs, id)
	delete(s.open, id)
	delete(s.toCheckAttempts, id)
}

package scheduler

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/terms"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// record returns the record of a job's progress in the store. It lists only units that have been
// started.
func (j *job) record() *wire.ProgressRecord {
	record := &wire.ProgressRecord{Phase: j.phase, Organisation: &j.Organisation}
	if !j.ended.IsZero() {
		record.Ended = timestamppb.New(j.ended)
	}
	if !j.terms.SameSettings(j.AcceptedTerms) {
		record.Terms = j.terms.Record()
	}
	for u := range j.units() {
		if u.run > 0 {
			record.Units = append(record.Units, u.record())
		}
	}
	return record
}

func (u *unit) record() *wire.UnitRecord {
	record := &wire.UnitRecord{
		Occurrence: int32(u.step.occurrence.number), Step: int32(u.step.number), Index: int32(u.index),
		Run: int32(u.run), Failures: int32(u.failures), Done: u.done, Preempted: int32(u.preempted),
	}
	if !u.done {
		record.Checkpoint = u.checkpoint
	}
	for _, number := range u.failedRuns {
		record.FailedRuns = append(record.FailedRuns, int32(number))
	}
	if len(u.members) > 0 && !u.done {
		record.Targets = make([]string, u.step.spec.Members())
		for _, m := range u.members {
			record.Targets[m.index-u.index] = m.node.ID
		}
	}
	return record
}

// Restore adds a job with its progress as a former planner stored it. Runs that may be alive
// are inherited until the targets' reports or the end of their leases show what became of
// them.
func (s *Scheduler) Restore(now time.Time, submitted *workload.Job, progress *wire.ProgressRecord) {
	if progress == nil {
		s.Submit(now, submitted)
		return
	}
	if s.HasJob(submitted.ID) {
		return
	}
	s.initialise()
	j := s.add(now, submitted, submitted.AcceptedTerms.Newer(terms.FromRecord(progress.GetTerms())))
	j.phase = progress.GetPhase()
	if ended(j.phase) {
		delete(s.open, j.ID)
	} else {
		s.setTerms(j, s.catalogue)
	}
	if progress.GetEnded() != nil {
		j.ended = progress.GetEnded().AsTime()
	}
	for _, record := range progress.GetUnits() {
		if u := j.unit(int(record.GetOccurrence()), int(record.GetStep()), int(record.GetIndex())); u != nil {
			s.restoreUnit(now, u, record)
		}
	}
	s.applyEarlyCancellations(now, j)
}

func (s *Scheduler) restoreUnit(now time.Time, u *unit, record *wire.UnitRecord) {
	u.run, u.failures, u.checkpoint = int(record.GetRun()), int(record.GetFailures()), record.GetCheckpoint()
	u.preempted = int(record.GetPreempted())
	u.restoreFailedRuns(record)
	j := u.step.job
	j.begun = j.begun || record.GetDone() || record.GetFailures() > 0 || record.GetCheckpoint() != ""
	if record.GetDone() {
		u.done = true
		u.step.unitsLeft--
		u.step.idleUnits--
		s.allDone[j.ID] = j
		return
	}
	for i, id := range record.GetTargets() {
		if id == "" || i >= u.step.spec.Members() {
			continue
		}
		m := newMember(u, i, s.node(now, id), memberInherited)
		s.attach(m)
		if ended(u.step.job.phase) {
			s.stopMember(now, m, "its job had ended when this planner took over")
		}
	}
	u.startedAt = now
}

// restoreFailedRuns restores the numbers of the runs that are counted in failures. An earlier release
// did not store them: then all runs count but a current one that may be alive.
func (u *unit) restoreFailedRuns(record *wire.UnitRecord) {
	for _, number := range record.GetFailedRuns() {
		u.failedRuns = append(u.failedRuns, int(number))
	}
	if len(u.failedRuns) >= u.failures {
		return
	}
	u.failedRuns = nil
	for number := 1; number < u.run || (number == u.run && len(record.GetTargets()) == 0); number++ {
		u.failedRuns = append(u.failedRuns, number)
	}
}

// attach adds a member to its unit, to the runs and the used resources of its target and to the use of its
// organisation.
func (s *Scheduler) attach(m *member) {
	u, n := m.unit, m.node
	if len(u.members) == 0 && !u.done {
		u.step.idleUnits--
	}
	u.members = append(u.members, m)
	n.members[m.run] = m
	at, _ := slices.BinarySearchFunc(n.sorted, m, compareMembers)
	n.sorted = slices.Insert(n.sorted, at, m)
	n.countUse(m, workload.Resources.Plus)
	s.openUse(m)
}

// unit finds a unit by its position; nil if there is none. A gang has one unit.
func (j *job) unit(occurrence, step, index int) *unit {
	if occurrence < 0 || occurrence >= len(j.occurrences) || step < 0 || step >= len(j.Steps) {
		return nil
	}
	units := j.occurrences[occurrence].steps[step].units
	if j.Steps[step].Gang {
		index = 0
	}
	if index < 0 || index >= len(units) {
		return nil
	}
	return units[index]
}

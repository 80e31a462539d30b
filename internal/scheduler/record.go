package scheduler

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// record is a job's progress as the store holds it.
func (j *job) record() *wire.ProgressRecord {
	record := &wire.ProgressRecord{Phase: j.phase}
	if !j.ended.IsZero() {
		record.Ended = timestamppb.New(j.ended)
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, u := range st.units {
				if u.run > 0 {
					record.Units = append(record.Units, u.record())
				}
			}
		}
	}
	return record
}

func (u *unit) record() *wire.UnitRecord {
	record := &wire.UnitRecord{
		Occurrence: int32(u.step.occurrence.number), Step: int32(u.step.number), Index: int32(u.index),
		Run: int32(u.run), Failures: int32(u.failures), Done: u.done, Checkpoint: u.checkpoint,
	}
	if len(u.members) > 0 && !u.done {
		record.Targets = make([]string, u.step.shape.Members())
		for _, m := range u.members {
			record.Targets[m.index-u.index] = m.node.ID
		}
	}
	return record
}

// Restore takes a job and its progress as a former planner left them. Runs that may
// be alive are inherited: they are resolved by the targets' reports or by time.
func (s *Scheduler) Restore(now time.Time, submitted *workload.Job, progress *wire.ProgressRecord) {
	s.Submit(now, submitted)
	j := s.jobs[submitted.ID]
	if progress == nil {
		return
	}
	j.phase = progress.GetPhase()
	if progress.GetEnded() != nil {
		j.ended = progress.GetEnded().AsTime()
	}
	for _, held := range progress.GetUnits() {
		if u := j.unit(int(held.GetOccurrence()), int(held.GetStep()), int(held.GetIndex())); u != nil {
			s.restoreUnit(now, u, held)
		}
	}
}

func (s *Scheduler) restoreUnit(now time.Time, u *unit, held *wire.UnitRecord) {
	u.run, u.failures, u.checkpoint = int(held.GetRun()), int(held.GetFailures()), held.GetCheckpoint()
	if held.GetDone() {
		u.done = true
		u.step.left--
		return
	}
	for i, id := range held.GetTargets() {
		if id == "" || i >= u.step.shape.Members() {
			continue
		}
		m := &member{unit: u, index: u.index + i, node: s.node(now, id), state: inherited}
		u.members = append(u.members, m)
		s.attach(m)
		if ended(u.step.job.phase) {
			m.stopping = now
		}
	}
	u.begun = now
}

func (s *Scheduler) attach(m *member) {
	m.node.members[m.run()] = m
	m.node.used = m.node.used.Plus(m.unit.step.shape.Counted())
}

// unit finds a unit by its place; nil when there is none. A gang has one unit.
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

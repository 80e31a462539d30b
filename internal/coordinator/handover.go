package coordinator

import (
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// inheritHandover passes what the former planner handed over to the scheduler. It counts only if the
// planner of the term just before wrote it: one in between, of an earlier release, may have granted
// leases to the targets that it lists. The session's lock must be held.
func (s *session) inheritHandover(item *keyvalue.Item) {
	if item == nil {
		return
	}
	fields := log.Fields{"token": s.currentTerm.Token, "revision": item.Revision}
	record := &wire.HandoverRecord{}
	if err := records.Decode(item.Value, record); err != nil {
		s.Log.WithError(err).WithFields(fields).Error("coordinator: what the former planner handed over cannot be decoded; it is ignored")
		return
	}
	fields["writtenBy"], fields["silentTargets"], fields["organisations"] = record.GetToken(), len(record.GetSilentTargets()), len(record.GetUsedTargetSeconds())
	if record.GetToken() != s.currentTerm.Token-1 {
		s.Log.WithFields(fields).Info("coordinator: what a former planner handed over is not of the last term; it is ignored")
		return
	}
	s.Log.WithFields(fields).Info("coordinator: what the former planner handed over is in force")
	s.plan.InheritHandover(time.Now(), record)
}

// nextHandover returns the record for a successor if it is due or other targets are silent than the last
// one says; nil if it is not to be written. What it promises is in force from now on. The session's lock
// must be held.
func (s *session) nextHandover(due bool) *wire.HandoverRecord {
	now := time.Now()
	if !due && !s.plan.HandoverChanged(now) {
		return nil
	}
	record := s.plan.OfferHandover(now)
	if record != nil {
		record.Token = s.currentTerm.Token
		s.countWithheld()
	}
	return record
}

// handoverWritten handles that a record for a successor is durable; nil for none.
func (s *session) handoverWritten(record *wire.HandoverRecord) {
	if record == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.HandoverDurable()
	metrics.GetOrRegisterGauge("handover.silentTargets", s.Metrics).Update(int64(len(record.GetSilentTargets())))
	s.countWithheld()
}

func (s *session) countWithheld() {
	metrics.GetOrRegisterGauge("handover.withheldTargets", s.Metrics).Update(int64(s.plan.WithheldTargets()))
}

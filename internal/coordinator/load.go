package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// loadPeriod is the shortest time between two digests of the load, and maxLoadAge the time after which
	// one is written again while work waits: hosts take older ones for unknown.
	loadPeriod = 500 * time.Millisecond
	maxLoadAge = 2 * time.Second
)

// loadDigests decides when a term writes digests of the load. The session's lock guards it.
type loadDigests struct {
	last                  *load.Digest
	assessedAt, writtenAt time.Time
}

// dueLoad returns the digest to write now, or nil: one that says something new if other summaries are
// written anyway, and any while work waits and the last one has become old. The session's lock must be held.
func (s *session) dueLoad(now time.Time, writesAnyway bool) *load.Digest {
	l := &s.loadDigests
	old := now.Sub(l.writtenAt) >= maxLoadAge
	if !s.PublishLoad || now.Sub(l.assessedAt) < loadPeriod || (!writesAnyway && !old) {
		return nil
	}
	l.assessedAt = now
	digest := s.plan.Load(now)
	metrics.GetOrRegisterHistogram("coordinator.loadUs", s.Metrics, metrics.NewUniformSample(histogramSamples)).Update(time.Since(now).Microseconds())
	if !digest.Differs(l.last) && (!old || !digest.Waits()) {
		return nil
	}
	digest.Token, digest.Number = s.currentTerm.Token, 1
	if l.last != nil {
		digest.Number = l.last.Number + 1
	}
	if l.last != nil {
		for name := range l.last.Queues {
			metrics.GetOrRegisterGauge("coordinator.expectedWaitMs."+name, s.Metrics).Update(0)
		}
	}
	l.last, l.writtenAt = digest, now
	metrics.GetOrRegisterCounter("coordinator.loadDigests", s.Metrics).Inc(1)
	for name, queue := range digest.Queues {
		metrics.GetOrRegisterGauge("coordinator.expectedWaitMs."+name, s.Metrics).Update(queue.ExpectedWait.Milliseconds())
		if queue.ShortFor > 0 {
			s.Log.WithFields(log.Fields{
				"queue": name, "wait": queue.ExpectedWait, "shortFor": queue.ShortFor, "jobs": queue.WaitingJobs, "work": queue.WaitingWork,
				"digest": digest.Number, "token": digest.Token, "warm": digest.Warm,
			}).Info("coordinator: capacity is short")
		}
	}
	return digest
}

// inheritLoad reads the digest of the former planner and returns it; nil if there is none.
func (s *session) inheritLoad(ctx context.Context) (*load.Digest, error) {
	if !s.PublishLoad {
		return nil, nil
	}
	item, err := s.Store.Get(ctx, records.LoadKey)
	if err != nil || item == nil {
		return nil, err
	}
	record := &wire.LoadRecord{}
	if err := records.Decode(item.Value, record); err != nil {
		s.Log.WithError(err).Error("coordinator: the former planner's digest of the load cannot be decoded and is ignored")
		return nil, nil
	}
	return load.FromRecord(record), nil
}

// loadPut returns the write of a digest.
func loadPut(digest *load.Digest) (keyvalue.Put, error) {
	value, err := digest.Encode()
	return keyvalue.Put{Key: records.LoadKey, Value: value}, err
}

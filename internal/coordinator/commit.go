package coordinator

import (
	"cmp"
	"context"
	"crypto/rand"
	"maps"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// maxCommitPuts leaves space for the expectations and the sequence in one transaction.
	maxCommitPuts = keyvalue.MaxTxnEntries - 4
	// maxCommitBytes keeps a transaction well below the store's size limit.
	maxCommitBytes = 512 << 10
	// defaultMaxValueBytes is the size of the largest value if the platform names none.
	defaultMaxValueBytes = 1 << 20
	pendingPeriod        = 500 * time.Millisecond
	speedsPeriod         = 2 * time.Second
)

// batch holds the writes of one commit and what may be done only after it.
type batch struct {
	writes map[string]*wire.ProgressRecord
	starts []scheduler.Start
	// processed holds, by target, the last ended run whose effect is in the writes.
	processed map[string]scheduler.EndNumber
	// pending counts the pending jobs by queue, and speeds holds the logarithms of the targets'
	// speeds; nil if they are not to be written.
	pending map[string]int32
	speeds  map[string]float32
	// load is the digest of the load; nil if it is not to be written.
	load *load.Digest
	// handover is the record for a successor; nil if it is not to be written.
	handover *wire.HandoverRecord
}

func newBatch() batch {
	return batch{writes: map[string]*wire.ProgressRecord{}, processed: map[string]scheduler.EndNumber{}}
}

// enqueue adds a plan to the next commit. The session's lock must be held.
func (s *session) enqueue(plan scheduler.Plan) {
	for _, write := range plan.Writes {
		s.nextBatch.writes[write.Job] = write.Record
	}
	s.nextBatch.starts = append(s.nextBatch.starts, plan.Starts...)
	maps.Copy(s.nextBatch.processed, plan.Ends)
	if len(s.nextBatch.writes) > 0 || len(s.nextBatch.processed) > 0 {
		select {
		case s.commitSignal <- struct{}{}:
		default:
		}
	}
}

// commitLoop writes the queued batches to the store, one commit at a time. It adds the counts
// of pending jobs at most once per pendingPeriod, if they have changed, and the learned speeds
// at most once per speedsPeriod.
func (s *session) commitLoop(ctx context.Context) error {
	pendingAt, speedsAt := time.Time{}, time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.commitSignal:
		case <-time.After(pendingPeriod):
		}
		var next batch
		s.locked(func() {
			next, s.nextBatch = s.nextBatch, newBatch()
			if pending := s.plan.PendingJobs(); time.Since(pendingAt) >= pendingPeriod && !maps.Equal(pending, s.pending) {
				next.pending, s.pending, pendingAt = pending, pending, time.Now()
			}
			if time.Since(speedsAt) >= speedsPeriod {
				next.speeds, speedsAt = s.plan.LogSpeeds(), time.Now()
			}
			next.load = s.dueLoad(time.Now(), next.pending != nil || len(next.speeds) > 0)
			next.handover = s.nextHandover(next.speeds != nil)
		})
		if err := s.writeBatch(ctx, next); err != nil {
			return err
		}
		s.releaseEnds(next.processed)
	}
}

// releaseEnds acknowledges the ended runs of a batch whose writes are all durable.
func (s *session) releaseEnds(processed map[string]scheduler.EndNumber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, last := range processed {
		if s.plan.TargetStatus(time.Now(), id).Listing.Born == last.Born {
			s.agent(id).setDurable(last)
		}
	}
}

// releaseStarts queues starts whose records are durable.
func (s *session) releaseStarts(starts []scheduler.Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, start := range starts {
		s.agent(start.Target).start(start)
	}
}

// order returns the jobs of a batch in the order in which they are written, and the starts of each.
// Jobs with starts come first, in the order in which these were decided.
func (b *batch) order() ([]string, map[string][]scheduler.Start) {
	jobs, starts := make([]string, 0, len(b.writes)), map[string][]scheduler.Start{}
	for _, start := range b.starts {
		id := start.Run.Task.Job
		if starts[id] == nil {
			jobs = append(jobs, id)
		}
		starts[id] = append(starts[id], start)
	}
	for id := range b.writes {
		if starts[id] == nil {
			jobs = append(jobs, id)
		}
	}
	return jobs, starts
}

// writeBatch writes a batch in as many transactions as its size requires. The starts of a job are
// released as soon as its record is durable.
func (s *session) writeBatch(ctx context.Context, next batch) error {
	jobs, starts := next.order()
	for len(jobs) > 0 {
		var puts []keyvalue.Put
		var released []scheduler.Start
		count, bytes := 0, 0
		for count < min(len(jobs), maxCommitPuts) {
			id := jobs[count]
			record := next.writes[id]
			if record == nil {
				// An empty record would erase what is known of the job's runs.
				return errkind.Invalid.New("report this as a defect", "session.writeBatch: job %s has starts but no record", id)
			}
			value, err := s.encodeProgress(id, record)
			if err != nil {
				return err
			}
			if bytes += len(value); count > 0 && bytes > maxCommitBytes {
				break
			}
			puts, released = append(puts, keyvalue.Put{Key: records.ProgressKey(id), Value: value}), append(released, starts[id]...)
			count++
		}
		if err := s.transact(ctx, puts, nil); err != nil {
			return err
		}
		s.releaseStarts(released)
		jobs = jobs[count:]
	}
	return s.writeSummaries(ctx, next)
}

// encodeProgress encodes a job's progress for the store, without checkpoints that it has no room for.
func (s *session) encodeProgress(id string, record *wire.ProgressRecord) ([]byte, error) {
	value, leftOut, err := records.EncodeProgress(record, cmp.Or(s.MaxValueBytes, defaultMaxValueBytes))
	if leftOut > 0 {
		metrics.GetOrRegisterCounter("coordinator.checkpointsLeftOut", s.Metrics).Inc(int64(leftOut))
		if time.Since(s.leftOutLogged) >= logInterval {
			s.leftOutLogged = time.Now()
			s.Log.WithFields(log.Fields{"job": id, "leftOut": leftOut, "units": len(record.GetUnits()), "bytes": len(value)}).Warn("coordinator: checkpoints are left out of a progress record that would be too large")
		}
	}
	return value, err
}

// writeSummaries writes the counts of pending jobs, the speeds, the digest of the load and the record for a
// successor of a batch.
func (s *session) writeSummaries(ctx context.Context, next batch) error {
	puts := []keyvalue.Put{}
	if next.pending != nil {
		value, err := records.Encode(&wire.PendingRecord{Queues: next.pending})
		if err != nil {
			return err
		}
		puts = append(puts, keyvalue.Put{Key: records.PendingKey, Value: value})
	}
	if len(next.speeds) > 0 {
		value, err := records.Encode(&wire.SpeedsRecord{LogSpeeds: next.speeds})
		if err != nil {
			return err
		}
		puts = append(puts, keyvalue.Put{Key: records.SpeedsKey, Value: value})
	}
	if next.load != nil {
		put, err := loadPut(next.load)
		if err != nil {
			return err
		}
		puts = append(puts, put)
	}
	if next.handover != nil {
		value, err := records.Encode(next.handover)
		if err != nil {
			return err
		}
		puts = append(puts, keyvalue.Put{Key: records.HandoverKey, Value: value})
	}
	if len(puts) == 0 {
		return nil
	}
	if err := s.transact(ctx, puts, nil); err != nil {
		return err
	}
	s.handoverWritten(next.handover)
	return nil
}

// transact commits a transaction that is conditional on the term and on the sequence, and
// repeats it until it is known whether it was applied. Each transaction writes a unique value
// to the sequence. If the answer is lost, that value shows whether the transaction was applied
// or another one was. A copy that the store applies late fails because the sequence has
// changed.
func (s *session) transact(ctx context.Context, puts []keyvalue.Put, deletes []string) error {
	nonce := []byte(rand.Text())
	txn := keyvalue.Txn{
		Expect:  []keyvalue.Expectation{{Key: term.RecordKey, Revision: s.currentTerm.Revision}, {Key: records.SequenceKey, Revision: s.sequence.Revision}},
		Puts:    append([]keyvalue.Put{{Key: records.SequenceKey, Value: nonce}}, puts...),
		Deletes: deletes,
	}
	started := time.Now()
	for {
		result, err := s.Store.Commit(ctx, txn)
		switch {
		case err == nil && result.Applied:
			s.sequence.Revision = result.Revision
			metrics.GetOrRegisterHistogram("coordinator.commitMs", s.Metrics, metrics.NewUniformSample(histogramSamples)).Update(time.Since(started).Milliseconds())
			return nil
		case err == nil:
			for _, item := range result.Current {
				if item.Key == records.SequenceKey && string(item.Value) == string(nonce) {
					s.sequence.Revision = item.Revision
					return nil
				}
			}
			return errTermLost
		case errkind.Invalid.Is(err):
			return err
		}
		s.Log.WithError(err).WithField("contact", s.currentTerm.SinceContact()).Warn("coordinator: a commit was not answered")
		if !sleep(ctx, retryInterval) {
			return ctx.Err()
		}
	}
}

package coordinator

import (
	"context"
	"crypto/rand"
	"maps"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/ledger"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// maxCommitJobs leaves room for the conditions and the sequence in one transaction.
	maxCommitJobs = keyvalue.MaxTxnEntries - 4
	// maxCommitBytes keeps one transaction well below what the store takes.
	maxCommitBytes = 512 << 10
	pendingPeriod  = 500 * time.Millisecond
	speedsPeriod   = 2 * time.Second
)

// batch is what one commit makes durable, and what may happen after it.
type batch struct {
	writes map[string]*wire.ProgressRecord
	starts []scheduler.Start
	// seen is, by target, the last end whose effect the writes hold.
	seen    map[string]seenEnd
	pending map[string]int32
	speeds  map[string]float32
}

// seenEnd is the number of an end in one life of a target; another life counts anew.
type seenEnd struct {
	born   int64
	number int64
}

func newBatch() batch {
	return batch{writes: map[string]*wire.ProgressRecord{}, seen: map[string]seenEnd{}}
}

// queue adds a plan to the next commit. The lock is held.
func (s *session) queue(plan scheduler.Plan) {
	for _, write := range plan.Writes {
		s.queued.writes[write.Job] = write.Record
	}
	s.queued.starts = append(s.queued.starts, plan.Starts...)
	for _, id := range s.plan.Targets() {
		held := s.plan.Attention(time.Now(), id)
		if held.Seen > s.agent(id).acknowledgedIn(held.Listing.Born) {
			s.queued.seen[id] = seenEnd{born: held.Listing.Born, number: held.Seen}
		}
	}
	if len(s.queued.writes) > 0 || len(s.queued.seen) > 0 {
		select {
		case s.commit <- struct{}{}:
		default:
		}
	}
}

// commitAll makes queued writes durable, one commit at a time.
func (s *session) commitAll(ctx context.Context) error {
	published, learned := time.Time{}, time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.commit:
		case <-time.After(pendingPeriod):
		}
		s.mu.Lock()
		held := s.queued
		s.queued = newBatch()
		if pending := s.plan.Pending(); time.Since(published) >= pendingPeriod && !maps.Equal(pending, s.pending) {
			held.pending, s.pending, published = pending, pending, time.Now()
		}
		if time.Since(learned) >= speedsPeriod {
			held.speeds, learned = s.plan.Speeds(), time.Now()
		}
		s.mu.Unlock()
		if err := s.makeDurable(ctx, held); err != nil {
			return err
		}
		s.release(held)
	}
}

// release does what had to wait for the commit.
func (s *session) release(held batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, seen := range held.seen {
		if s.plan.Attention(time.Now(), id).Listing.Born == seen.born {
			s.agent(id).acknowledge(seen)
		}
	}
	for _, start := range held.starts {
		s.agent(start.Target).start(start)
	}
}

// makeDurable writes a batch in as many transactions as it takes.
func (s *session) makeDurable(ctx context.Context, held batch) error {
	puts := []keyvalue.Put{}
	if held.pending != nil {
		value, err := ledger.Write(&wire.PendingRecord{Queues: held.pending})
		if err != nil {
			return err
		}
		puts = append(puts, keyvalue.Put{Key: ledger.PendingKey, Value: value})
	}
	if len(held.speeds) > 0 {
		value, err := ledger.Write(&wire.SpeedsRecord{LogSpeeds: held.speeds})
		if err != nil {
			return err
		}
		puts = append(puts, keyvalue.Put{Key: ledger.SpeedsKey, Value: value})
	}
	for id, record := range held.writes {
		value, err := ledger.Write(record)
		if err != nil {
			return err
		}
		puts = append(puts, keyvalue.Put{Key: ledger.Progress(id), Value: value})
	}
	for len(puts) > 0 {
		count, bytes := 0, 0
		for count < len(puts) && count < maxCommitJobs && (count == 0 || bytes+len(puts[count].Value) < maxCommitBytes) {
			bytes += len(puts[count].Value)
			count++
		}
		if err := s.transact(ctx, puts[:count], nil); err != nil {
			return err
		}
		puts = puts[count:]
	}
	return nil
}

// transact makes one transaction of the term, and repeats it until it is known to be
// applied. The sequence's value is unique, so that a lost answer can be told from
// another's write, and a copy that is carried out late fails its condition.
func (s *session) transact(ctx context.Context, puts []keyvalue.Put, deletes []string) error {
	token := []byte(rand.Text())
	txn := keyvalue.Txn{
		Expect:  []keyvalue.Expectation{{Key: term.RecordKey, Revision: s.tenure.Revision}, {Key: ledger.SequenceKey, Revision: s.sequence.Revision}},
		Puts:    append([]keyvalue.Put{{Key: ledger.SequenceKey, Value: token}}, puts...),
		Deletes: deletes,
	}
	begun := time.Now()
	for {
		result, err := s.Store.Commit(ctx, txn)
		switch {
		case err == nil && result.Applied:
			s.sequence.Revision = result.Revision
			metrics.GetOrRegisterHistogram("coordinator.commitMs", s.Metrics, metrics.NewUniformSample(sampleSize)).Update(time.Since(begun).Milliseconds())
			return nil
		case err == nil:
			for _, item := range result.Current {
				if item.Key == ledger.SequenceKey && string(item.Value) == string(token) {
					s.sequence.Revision = item.Revision
					return nil
				}
			}
			return errDeposed
		case fault.Invalid.Is(err):
			return err
		}
		s.Log.WithError(err).WithField("contact", s.tenure.Contact()).Warn("coordinator: a commit was not answered")
		if !pause(ctx, retryPause) {
			return ctx.Err()
		}
	}
}

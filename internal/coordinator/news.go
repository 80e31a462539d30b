package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/ledger"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// takeOver rebuilds the scheduler's state from the store. A read that fails is repeated.
func (s *session) takeOver(ctx context.Context) error {
	begun := time.Now()
	for {
		err := s.load(ctx)
		if err == nil {
			s.Log.WithFields(log.Fields{"token": s.tenure.Token, "targets": len(s.plan.Targets()), "took": time.Since(begun)}).Info("coordinator: took over")
			return nil
		}
		s.Log.WithError(err).Warn("coordinator: the store does not answer at the take-over")
		if !s.mayOrder() {
			return errSilent
		}
		if !pause(ctx, retryPause) {
			return context.Cause(ctx)
		}
	}
}

func (s *session) load(ctx context.Context) error {
	targets, listed, err := s.Store.List(ctx, s.TargetPrefix)
	if err != nil {
		return err
	}
	jobs, revision, err := s.Store.List(ctx, ledger.JobPrefix)
	if err != nil {
		return err
	}
	written, _, err := s.Store.List(ctx, ledger.ProgressPrefix)
	if err != nil {
		return err
	}
	sequence, err := s.Store.Get(ctx, ledger.SequenceKey)
	if err != nil {
		return err
	}
	if sequence != nil {
		s.sequence = *sequence
	}
	speeds := &wire.SpeedsRecord{}
	if learned, err := s.Store.Get(ctx, ledger.SpeedsKey); err != nil {
		return err
	} else if learned != nil {
		if err := ledger.Read(learned.Value, speeds); err != nil {
			return err
		}
	}
	progress := map[string]*wire.ProgressRecord{}
	for _, item := range written {
		record := &wire.ProgressRecord{}
		if err := ledger.Read(item.Value, record); err != nil {
			return err
		}
		progress[item.Key] = record
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed, s.jobs = listed, revision
	if held := s.Catalogue(); held != nil {
		s.version = held.Version
		s.plan.Configure(held)
	}
	s.plan.InheritSpeeds(time.Now(), speeds.GetLogSpeeds())
	for _, item := range targets {
		s.takeTarget(item)
	}
	s.takeJobs(jobs, progress)
	return nil
}

// takeJobs takes submissions and then cancellations, as a list in the order of the
// keys names a job's cancellation before its submission. The lock is held.
func (s *session) takeJobs(items []keyvalue.Item, progress map[string]*wire.ProgressRecord) {
	for _, item := range items {
		if id, cancelled, ok := ledger.Parse(item.Key); ok && !cancelled && !item.Deleted {
			s.takeJob(id, item, progress)
		}
	}
	for _, item := range items {
		if id, cancelled, ok := ledger.Parse(item.Key); ok && cancelled && !item.Deleted {
			s.plan.Cancel(time.Now(), id)
		}
	}
}

// takeJob takes a submission. The lock is held.
func (s *session) takeJob(id string, item keyvalue.Item, progress map[string]*wire.ProgressRecord) {
	if s.plan.Known(id) {
		return
	}
	record := &wire.SubmissionRecord{}
	if err := ledger.Read(item.Value, record); err != nil {
		s.Log.WithError(err).WithField("key", item.Key).Error("coordinator: a submission cannot be read")
		return
	}
	s.plan.Restore(time.Now(), workload.FromRecord(record), progress[ledger.Progress(id)])
}

// takeTarget takes the entry of a target. The lock is held.
func (s *session) takeTarget(item keyvalue.Item) {
	id := item.Key[len(s.TargetPrefix):]
	if item.Deleted {
		s.plan.Unlisted(time.Now(), id)
		return
	}
	listing, err := s.ReadListing(item.Key, item.Value)
	if err != nil {
		s.Log.WithError(err).WithField("key", item.Key).Warn("coordinator: an entry is ignored")
		return
	}
	s.plan.Listed(time.Now(), listing)
}

// watchJobs follows submissions and cancellations. Those that precede a gap in the
// history are read anew.
func (s *session) watchJobs(ctx context.Context) error {
	after := s.jobs
	for ctx.Err() == nil {
		events, err := s.Store.Watch(ctx, ledger.JobPrefix, after, watchWait)
		items := events.Items
		if err == nil && events.Compacted {
			s.Log.WithField("after", after).Warn("coordinator: the jobs' history is gone; reading them anew")
			items, events.Revision, err = s.Store.List(ctx, ledger.JobPrefix)
		}
		if err != nil {
			s.Log.WithError(err).Warn("coordinator: the watch on jobs failed")
			pause(ctx, retryPause)
			continue
		}
		after = events.Revision
		if len(items) == 0 {
			continue
		}
		s.mu.Lock()
		s.takeJobs(items, nil)
		s.mu.Unlock()
		s.signal()
	}
	return ctx.Err()
}

// watchTargets follows the targets' entries.
func (s *session) watchTargets(ctx context.Context) error {
	after := s.listed
	for ctx.Err() == nil {
		events, err := s.Store.Watch(ctx, s.TargetPrefix, after, watchWait)
		if err == nil && events.Compacted {
			s.Log.WithField("after", after).Warn("coordinator: the targets' history is gone; reading them anew")
			err = s.relist(ctx, &events)
		}
		if err != nil {
			s.Log.WithError(err).Warn("coordinator: the watch on targets failed")
			pause(ctx, retryPause)
			continue
		}
		after = events.Revision
		if len(events.Items) == 0 {
			continue
		}
		s.mu.Lock()
		for _, item := range events.Items {
			s.takeTarget(item)
		}
		s.mu.Unlock()
		s.signal()
		pause(ctx, heartbeatPause)
	}
	return ctx.Err()
}

// relist reads all entries; those that are missing count as deleted.
func (s *session) relist(ctx context.Context, events *keyvalue.Events) error {
	items, revision, err := s.Store.List(ctx, s.TargetPrefix)
	if err != nil {
		return err
	}
	events.Items, events.Revision = items, revision
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.plan.Targets() {
		if key := s.TargetPrefix + id; !present[key] {
			events.Items = append(events.Items, keyvalue.Item{Key: key, Deleted: true})
		}
	}
	return nil
}

// expire removes the records of jobs that ended long ago.
func (s *session) expire(ctx context.Context) error {
	for pause(ctx, expirePeriod) {
		s.mu.Lock()
		expired := s.plan.Expired(time.Now())
		s.mu.Unlock()
		for _, id := range expired {
			keys := []string{ledger.Submitted(id), ledger.Cancelled(id), ledger.Progress(id)}
			result, err := s.Store.Commit(ctx, keyvalue.Txn{Deletes: keys})
			if err != nil || !result.Applied {
				s.Log.WithField("job", id).WithField("cause", err).Info("coordinator: an expired job is removed later")
				break
			}
			s.mu.Lock()
			s.plan.Forget(id)
			s.mu.Unlock()
		}
	}
	return ctx.Err()
}

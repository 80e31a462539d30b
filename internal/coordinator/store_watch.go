package coordinator

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/panics"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// loadFromStore rebuilds the scheduler's state from the store at a takeover. It repeats a read
// that fails.
func (s *session) loadFromStore(ctx context.Context) error {
	started := time.Now()
	for {
		err := s.tryLoad(ctx)
		if err == nil {
			s.Log.WithFields(log.Fields{"token": s.currentTerm.Token, "targets": len(s.plan.Targets()), "took": time.Since(started)}).Info("coordinator: took over")
			return nil
		}
		s.Log.WithError(err).Warn("coordinator: reading the scheduler's state from the store failed; it is retried")
		if !s.maySendOrders() {
			return errTermUnconfirmed
		}
		if !sleep(ctx, retryInterval) {
			return context.Cause(ctx)
		}
	}
}

// tryLoad reads targets, jobs, progress, speeds and what the former planner handed over once and passes them
// to the scheduler.
func (s *session) tryLoad(ctx context.Context) error {
	targets, targetsRevision, err := s.Store.List(ctx, s.TargetPrefix)
	if err != nil {
		return err
	}
	jobsSeen := time.Now()
	jobs, jobsRevision, err := s.Store.List(ctx, records.JobPrefix)
	if err != nil {
		return err
	}
	progressItems, _, err := s.Store.List(ctx, records.ProgressPrefix)
	if err != nil {
		return err
	}
	sequence, err := s.Store.Get(ctx, records.SequenceKey)
	if err != nil {
		return err
	}
	if sequence != nil {
		s.sequence = *sequence
	}
	speeds, err := s.readSpeeds(ctx)
	if err != nil {
		return err
	}
	formerLoad, err := s.inheritLoad(ctx)
	if err != nil {
		return err
	}
	handover, err := s.Store.Get(ctx, records.HandoverKey)
	if err != nil {
		return err
	}
	progress, unreadable := s.decodeProgress(progressItems)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsRevision, s.jobs, s.jobsSeen, s.unreadable = targetsRevision, jobsRevision, jobsSeen, unreadable
	if current := s.Catalogue(); current != nil {
		s.catalogueVersion = current.Version
		s.plan.Configure(current)
	}
	s.plan.InheritLogSpeeds(time.Now(), speeds.GetLogSpeeds())
	if formerLoad != nil {
		s.plan.InheritLoad(formerLoad)
	}
	s.inheritHandover(handover)
	for _, item := range targets {
		s.processTarget(item)
	}
	s.processJobs(jobs, progress)
	return nil
}

// readSpeeds reads the targets' speeds that former planners measured. A record that cannot be decoded is ignored: the
// speeds are measured anew.
func (s *session) readSpeeds(ctx context.Context) (*wire.SpeedsRecord, error) {
	speeds := &wire.SpeedsRecord{}
	item, err := s.Store.Get(ctx, records.SpeedsKey)
	if err != nil || item == nil {
		return speeds, err
	}
	if err := records.Decode(item.Value, speeds); err != nil {
		s.Log.WithError(err).WithField("revision", item.Revision).Error("coordinator: the targets' speeds cannot be decoded and are ignored")
		return &wire.SpeedsRecord{}, nil
	}
	return speeds, nil
}

// decodeProgress decodes progress records, by key, and returns the keys of those that are unreadable.
func (s *session) decodeProgress(items []keyvalue.Item) (progress map[string]*wire.ProgressRecord, unreadable map[string]bool) {
	progress, unreadable = map[string]*wire.ProgressRecord{}, map[string]bool{}
	for _, item := range items {
		record := &wire.ProgressRecord{}
		if err := records.Decode(item.Value, record); err != nil {
			s.Log.WithError(err).WithField("key", item.Key).Error("coordinator: a progress record cannot be decoded; its job is neither started nor ended")
			unreadable[item.Key] = true
			continue
		}
		progress[item.Key] = record
	}
	return progress, unreadable
}

// processJobs processes submissions and then cancellations. A record that is older than the removal
// of its key is ignored. The session's lock must be held.
func (s *session) processJobs(items []keyvalue.Item, progress map[string]*wire.ProgressRecord) {
	for _, item := range items {
		if id, ok := records.ParseSubmittedKey(item.Key); ok && !item.Deleted {
			s.processSubmission(id, item, progress)
		}
	}
	for _, item := range items {
		if mark, ok := records.ParseCancelledKey(item.Key); ok && !item.Deleted && item.Revision > s.removals[item.Key] {
			s.plan.Cancel(time.Now(), mark)
		}
	}
}

// processSubmission adds a submitted job to the scheduler. The session's lock must be held.
func (s *session) processSubmission(id string, item keyvalue.Item, progress map[string]*wire.ProgressRecord) {
	if s.plan.HasJob(id) || item.Revision <= s.removals[item.Key] || s.unreadable[records.ProgressKey(id)] {
		return
	}
	record := &wire.SubmissionRecord{}
	if err := records.Decode(item.Value, record); err != nil {
		s.Log.WithError(err).WithField("key", item.Key).Error("coordinator: a submission's record cannot be decoded; the job is ignored")
		return
	}
	job := workload.FromRecord(record)
	if err := job.Validate(); err != nil || job.ID != id {
		s.Log.WithFields(log.Fields{"key": item.Key, "job": job.ID, "cause": err}).Error("coordinator: a submission's record describes no valid job; it is ignored")
		return
	}
	s.submissions[id] = item.Revision
	s.plan.Restore(time.Now(), job, progress[records.ProgressKey(id)])
}

// processTarget passes a target's entry to the scheduler. The session's lock must be held.
func (s *session) processTarget(item keyvalue.Item) {
	id := item.Key[len(s.TargetPrefix):]
	if item.Deleted {
		s.plan.TargetUnlisted(time.Now(), id)
		return
	}
	listing, err := panics.Guard("coordinator: entry decoder", func() (target.Listing, error) { return s.ReadListing(item.Key, item.Value) })
	if err != nil {
		s.Log.WithError(err).WithField("key", item.Key).Warn("coordinator: an entry is ignored")
		return
	}
	s.plan.TargetListed(time.Now(), listing)
}

// watchJobs watches submissions and cancellations. It lists them all again when their history can't be had.
func (s *session) watchJobs(ctx context.Context) error {
	after, listedAt := s.jobs, time.Time{}
	for ctx.Err() == nil {
		sent := time.Now()
		events, err := s.Store.Watch(ctx, records.JobPrefix, after, jobWatchWait)
		items := events.Items
		if err == nil && events.Compacted {
			s.Log.WithField("after", after).Warn("coordinator: the changes of jobs cannot be had; listing them again")
			sleep(ctx, time.Until(listedAt.Add(retryInterval)))
			sent, listedAt = time.Now(), time.Now()
			items, events.Revision, err = s.Store.List(ctx, records.JobPrefix)
		}
		if err != nil {
			s.Log.WithError(err).Warn("coordinator: the watch on jobs failed; it is retried")
			sleep(ctx, retryInterval)
			continue
		}
		after = events.Revision
		s.locked(func() {
			s.jobsSeen = sent
			s.processJobs(items, nil)
			maps.DeleteFunc(s.removals, func(_ string, revision int64) bool { return revision <= after })
		})
		if len(items) > 0 {
			s.requestStep()
		}
	}
	return ctx.Err()
}

// watchTargets watches the targets' entries.
func (s *session) watchTargets(ctx context.Context) error {
	after, listedAt := s.targetsRevision, time.Time{}
	for ctx.Err() == nil {
		events, err := s.Store.Watch(ctx, s.TargetPrefix, after, maxWatchWait)
		if err == nil && events.Compacted {
			s.Log.WithField("after", after).Warn("coordinator: the changes of targets cannot be had; listing them again")
			sleep(ctx, time.Until(listedAt.Add(retryInterval)))
			listedAt = time.Now()
			err = s.relistTargets(ctx, &events)
		}
		if err != nil {
			s.Log.WithError(err).Warn("coordinator: the watch on targets failed; it is retried")
			sleep(ctx, retryInterval)
			continue
		}
		after = events.Revision
		if len(events.Items) == 0 {
			continue
		}
		s.locked(func() {
			for _, item := range events.Items {
				s.processTarget(item)
			}
		})
		s.requestStep()
		sleep(ctx, heartbeatInterval)
	}
	return ctx.Err()
}

// relistTargets replaces events by a list of all entries. Known targets without an entry are
// added as deleted.
func (s *session) relistTargets(ctx context.Context, events *keyvalue.Events) error {
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

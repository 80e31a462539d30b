package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
)

// expire removes the records of jobs that ended longer ago than the retention period, and
// cancellations that have bound no job.
func (s *session) expire(ctx context.Context) error {
	for sleep(ctx, expiryPeriod) {
		var expired []string
		var cancellations []records.Cancellation
		s.locked(func() { expired, cancellations = s.plan.Expired(time.Now()), s.plan.ExpiredCancellations(time.Now()) })
		for _, id := range expired {
			if err := s.removeJob(ctx, id); err != nil {
				break
			}
		}
		for _, cancellation := range cancellations {
			if err := s.removeCancellation(ctx, cancellation); err != nil {
				break
			}
		}
	}
	return ctx.Err()
}

// removeJob removes the records of an ended job and the marks that bind it. Marks of other organisations
// stay until they expire, as their submissions may still be carried out. The records are no longer this job's if the submission has
// another revision: an earlier removal got no answer and was carried out, and the ID may have been
// used again since. The error is that of the store.
func (s *session) removeJob(ctx context.Context, id string) error {
	submitted, keys := int64(0), []string{records.SubmittedKey(id), records.ProgressKey(id)}
	s.locked(func() {
		submitted = s.submissions[id]
		for _, cancellation := range s.plan.Cancellations(id) {
			keys = append(keys, cancellation.Key())
		}
	})
	result, err := s.remove(ctx, id, keyvalue.Expectation{Key: records.SubmittedKey(id), Revision: submitted}, keys)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Applied {
		s.forget(id, result.Revision, keys)
		return nil
	}
	if !s.holdsTerm(result.Current) {
		return nil
	}
	s.forget(id, submitted, keys)
	revision := int64(0)
	for _, item := range result.Current {
		if item.Key == records.SubmittedKey(id) {
			revision = item.Revision
			s.processSubmission(id, item, nil)
		}
	}
	s.Log.WithFields(log.Fields{"job": id, "submitted": submitted, "submittedAgain": revision}).Info("coordinator: an expired job's records had been removed before")
	s.requestStep()
	return nil
}

// removeCancellation removes a mark that has bound no job: none was submitted under the ID, or only
// another organisation's. The error is that of the store.
func (s *session) removeCancellation(ctx context.Context, cancellation records.Cancellation) error {
	submitted := int64(0)
	s.locked(func() { submitted = s.submissions[cancellation.Job] })
	keys := []string{cancellation.Key()}
	result, err := s.remove(ctx, cancellation.Job, keyvalue.Expectation{Key: records.SubmittedKey(cancellation.Job), Revision: submitted}, keys)
	if err != nil || !result.Applied {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteRemoval(result.Revision, keys)
	s.plan.ForgetCancellation(cancellation)
	return nil
}

// remove removes records of a job if its submission is as expected; otherwise they are looked at
// again in the next period. A removal that the store carries out after the term would take progress
// from a successor that is reading it, and the job would look new, so it is conditional on the term
// too. The error is that of the store.
func (s *session) remove(ctx context.Context, id string, submission keyvalue.Expectation, keys []string) (keyvalue.TxnResult, error) {
	result, err := s.Store.Commit(ctx, keyvalue.Txn{
		Expect: []keyvalue.Expectation{{Key: term.RecordKey, Revision: s.currentTerm.Revision}, submission}, Deletes: keys,
	})
	if err != nil || !result.Applied {
		s.Log.WithField("job", id).WithField("cause", err).Info("coordinator: an expired job's records could not be removed; the removal is retried")
		return result, err
	}
	s.Log.WithFields(log.Fields{"job": id, "token": s.currentTerm.Token, "revision": result.Revision}).Info("coordinator: an expired job's records were removed")
	return result, nil
}

// forget drops a job whose records up to a revision of the store are removed. The session's lock must
// be held.
func (s *session) forget(id string, revision int64, keys []string) {
	s.noteRemoval(revision, keys)
	delete(s.submissions, id)
	s.plan.Forget(id)
}

// noteRemoval keeps the revision in which keys were removed. The session's lock must be held.
func (s *session) noteRemoval(revision int64, keys []string) {
	for _, key := range keys {
		s.removals[key] = revision
	}
}

// holdsTerm reports whether the term's record is among items, as this term wrote it.
func (s *session) holdsTerm(items []keyvalue.Item) bool {
	return slices.ContainsFunc(items, func(item keyvalue.Item) bool {
		return item.Key == term.RecordKey && item.Revision == s.currentTerm.Revision
	})
}

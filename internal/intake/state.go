package intake

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// endWait is how long State waits for a running job to end. Callers often ask when their
// last task has just ended, some milliseconds before the planner commits the end, and would
// then poll again only much later.
const endWait = 80 * time.Millisecond

// State returns the phase of a job. It waits up to 80 ms for a running job to end. The error
// is Gone for an unknown job, Invalid for a corrupt record and Unavailable otherwise.
func (i *Intake) State(ctx context.Context, call Call) (wire.JobPhase, error) {
	ctx, cancel := i.bound(ctx, call)
	defer cancel()
	start := time.Now()
	current, err := retry(ctx, func() (progress, error) { return i.progress(ctx, call) })
	if err != nil {
		return current.phase, i.reject(call, err)
	}
	if current.phase == wire.JobPhase_JOB_PHASE_RUNNING {
		current = i.awaitEnd(ctx, call.ID, current)
	}
	i.logAnswer(call, "state told", start, log.Fields{"phase": current.phase.String(), "revision": current.revision})
	return current.phase, nil
}

// progress is a job's phase and the store revision at which it was read.
type progress struct {
	phase    wire.JobPhase
	revision int64
}

// progress reads the phase of a job: from its progress record or, before there is one, from its
// submission and cancellations. The submission is also read if the progress record names no organisation,
// as those of earlier releases, or another one than the call's. The error is Gone if the store has no
// submission of the call's organisation.
func (i *Intake) progress(ctx context.Context, call Call) (progress, error) {
	id := call.ID
	items, progressRevision, err := i.Store.List(ctx, records.ProgressKey(id))
	if err != nil {
		return progress{}, err
	}
	record, err := progressRecord(items, id)
	if err != nil {
		return progress{}, err
	}
	if record != nil && record.Organisation != nil && record.GetOrganisation() == call.Organisation {
		return progress{record.GetPhase(), progressRevision}, nil
	}
	items, revision, err := i.Store.List(ctx, records.PrefixOfJob(id))
	if err != nil {
		return progress{}, err
	}
	own, cancelled := false, false
	for _, item := range items {
		switch item.Key {
		case records.SubmittedKey(id):
			if own, err = i.owns(call, item); err != nil {
				return progress{}, err
			}
		case records.CancelledKey(id), records.CancellationBy(id, call.Organisation).Key():
			cancelled = true
		}
	}
	switch {
	case !own:
		return progress{}, errkind.Gone.New("submit the job first", "Intake.progress: the store has no job %s", id)
	case record != nil:
		return progress{record.GetPhase(), progressRevision}, nil
	case cancelled:
		return progress{wire.JobPhase_JOB_PHASE_CANCELLED, revision}, nil
	}
	return progress{wire.JobPhase_JOB_PHASE_QUEUED, revision}, nil
}

// owns reports whether a submission is of the call's organisation. The error is Invalid for a corrupt record.
func (i *Intake) owns(call Call, submission keyvalue.Item) (bool, error) {
	record := &wire.SubmissionRecord{}
	if err := records.Decode(submission.Value, record); err != nil {
		return false, err
	}
	if record.GetOrganisation() == call.Organisation {
		return true, nil
	}
	metrics.GetOrRegisterCounter("intake.otherOrganisation", i.Metrics).Inc(1)
	return false, nil
}

// progressRecord returns a job's progress record; nil if there is none, which is the case until the job's
// first task starts.
func progressRecord(items []keyvalue.Item, id string) (*wire.ProgressRecord, error) {
	for _, item := range items {
		if item.Key != records.ProgressKey(id) || item.Deleted {
			continue
		}
		record := &wire.ProgressRecord{}
		if err := records.Decode(item.Value, record); err != nil {
			return nil, err
		}
		return record, nil
	}
	return nil, nil //nolint:nilnil // No record is no error.
}

// awaitEnd waits up to endWait for a running job to end and returns its latest known
// progress. That is the given one if the store has no update or does not answer.
func (i *Intake) awaitEnd(ctx context.Context, id string, current progress) progress {
	until := time.Now().Add(endWait)
	ctx, cancel := context.WithTimeout(ctx, 2*endWait)
	defer cancel()
	for current.phase == wire.JobPhase_JOB_PHASE_RUNNING {
		left := time.Until(until)
		if left < time.Millisecond {
			return current
		}
		events, err := i.Store.Watch(ctx, records.ProgressKey(id), current.revision, left)
		if err != nil || events.Compacted {
			i.Log.WithError(err).WithField("job", id).WithField("revision", current.revision).Debug("intake: no update on a job's progress; returning the last known state")
			return current
		}
		record, err := progressRecord(events.Items, id)
		if err != nil {
			i.Log.WithError(err).WithField("job", id).Error("intake: a job's progress record is corrupt; returning the last known state")
			return current
		}
		current.revision = events.Revision
		if record != nil {
			current.phase = record.GetPhase()
		}
	}
	return current
}

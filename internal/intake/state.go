package intake

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/ledger"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// newsWait is how long the state of a running job waits for news. Callers often ask just
// when their last task has ended, some milliseconds before the planner's commit says so,
// and would not ask again for long.
const newsWait = 80 * time.Millisecond

// State tells how a job stands. The error is Gone for a job that is not known.
func (i *Intake) State(ctx context.Context, call Call) (wire.JobPhase, error) {
	ctx, cancel := i.bound(ctx, call)
	defer cancel()
	begun := time.Now()
	held, err := retry(ctx, func() (progress, error) { return i.progress(ctx, call.ID) })
	if err != nil {
		return held.phase, i.refused(call, err)
	}
	if held.phase == wire.JobPhase_JOB_PHASE_RUNNING {
		held = i.news(ctx, call.ID, held)
	}
	i.accepted(call, "state told", begun, log.Fields{"phase": held.phase.String(), "revision": held.revision})
	return held.phase, nil
}

// progress is a job's phase at a revision of the store.
type progress struct {
	phase    wire.JobPhase
	revision int64
}

func (i *Intake) progress(ctx context.Context, id string) (progress, error) {
	items, revision, err := i.Store.List(ctx, ledger.Progress(id))
	if err != nil {
		return progress{}, err
	}
	if phase, ok, err := phaseOf(items, id); ok || err != nil {
		return progress{phase, revision}, err
	}
	items, revision, err = i.Store.List(ctx, ledger.Folder(id))
	if err != nil {
		return progress{}, err
	}
	held := progress{revision: revision}
	for _, item := range items {
		switch item.Key {
		case ledger.Cancelled(id):
			held.phase = wire.JobPhase_JOB_PHASE_CANCELLED
			return held, nil
		case ledger.Submitted(id):
			held.phase = wire.JobPhase_JOB_PHASE_QUEUED
		}
	}
	if held.phase == wire.JobPhase_JOB_PHASE_UNSPECIFIED {
		return held, fault.Gone.New("submit the job first", "Intake.progress: no job %s", id)
	}
	return held, nil
}

// phaseOf finds the phase in a job's record of progress; there is none before its first task starts.
func phaseOf(items []keyvalue.Item, id string) (wire.JobPhase, bool, error) {
	for _, item := range items {
		if item.Key != ledger.Progress(id) || item.Deleted {
			continue
		}
		record := &wire.ProgressRecord{}
		err := ledger.Read(item.Value, record)
		return record.GetPhase(), err == nil, err
	}
	return wire.JobPhase_JOB_PHASE_UNSPECIFIED, false, nil
}

// news waits for a while for a running job to end. What is held is told when the store
// has nothing newer or does not answer.
func (i *Intake) news(ctx context.Context, id string, held progress) progress {
	until := time.Now().Add(newsWait)
	ctx, cancel := context.WithTimeout(ctx, 2*newsWait)
	defer cancel()
	for held.phase == wire.JobPhase_JOB_PHASE_RUNNING {
		left := time.Until(until)
		if left < time.Millisecond {
			return held
		}
		events, err := i.Store.Watch(ctx, ledger.Progress(id), held.revision, left)
		if err != nil || events.Compacted {
			i.Log.WithError(err).WithField("job", id).WithField("revision", held.revision).Debug("intake: no news of a job; its last state is told")
			return held
		}
		phase, ok, err := phaseOf(events.Items, id)
		if err != nil {
			i.Log.WithError(err).WithField("job", id).Error("intake: a job's progress cannot be read; its last state is told")
			return held
		}
		held.revision = events.Revision
		if ok {
			held.phase = phase
		}
	}
	return held
}

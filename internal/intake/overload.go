package intake

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/backoff"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/overload"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// knownTimeout bounds the read that shows whether the job to be refused is stored already.
const knownTimeout = 300 * time.Millisecond

// refusalByLoad returns the error with which a submission is refused because of the load, and what it rests on;
// nil if the submission is accepted. A refusal promises that the job does not run, so there is none for
// a job that an earlier attempt may have stored: its key is read first, and nothing is refused while the store may
// still carry out a write that it left unanswered, here or, as far as this host's own calls show, at others.
func (i *Intake) refusalByLoad(ctx context.Context, now time.Time, call Call, job *workload.Job) (log.Fields, error) {
	if i.Load == nil {
		return nil, nil
	}
	view := i.Load.Get(now)
	if view.Unknown != "" {
		metrics.GetOrRegisterCounter("intake.load.unknown", i.Metrics).Inc(1)
		return nil, nil
	}
	submission := overload.Submission{Job: job, Hosts: 1}
	if i.Hosts != nil {
		submission.Hosts = i.Hosts()
	}
	if current := i.Catalogue(); current != nil {
		submission.Guaranteed = current.Organisations[job.Organisation].GuaranteedAccelerators
	}
	refusal := i.policy.Decide(now, view.Digest, submission)
	if refusal == nil {
		return nil, nil
	}
	queue := view.Digest.Queues[job.Queue]
	fields := log.Fields{
		"reason": refusal.Reason, "wait": queue.ExpectedWait, "shortFor": queue.ShortFor, "digest": view.Digest.Number, "token": view.Digest.Token, "age": view.Age,
	}
	if cause := i.maybeStored(ctx, now, job.ID); cause != "" {
		metrics.GetOrRegisterCounter("intake.load.notRefused", i.Metrics).Inc(1)
		i.Log.WithFields(i.fields(call)).WithFields(fields).WithField("cause", cause).Info("intake: submission not refused by load")
		return nil, nil
	}
	err := errkind.Overloaded.New("submit the job again after the time given in the Retry-After header", "Intake.Submit: %s", refusal.Reason)
	wait := refusal.Wait
	if wait == 0 {
		wait = backoff.DefaultMax
	}
	return fields, backoff.Attach(err, i.Backoff.After(backoff.Refusal{ID: job.ID, Priority: call.Terms.Priority, Wait: wait, Left: call.left()}))
}

// maybeStored says why a job may be stored, or become so by another call than the one that asks; empty if it is surely not.
func (i *Intake) maybeStored(ctx context.Context, now time.Time, id string) string {
	failed := i.breaker.failedAt()
	if i.StoreFailedAt != nil && i.StoreFailedAt().After(failed) {
		failed = i.StoreFailedAt()
	}
	key, late := records.SubmittedKey(id), "the store may still carry out a write of this host"
	if now.Sub(failed) < lateWriteTime || i.lateWrites.has(now, key, 1) {
		return late
	}
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, key)
	switch {
	case err != nil:
		return "the store did not answer whether the job is stored: " + errkind.Message(err)
	case item != nil:
		return "the job is stored"
	case i.lateWrites.has(time.Now(), key, 1):
		return late
	}
	return ""
}

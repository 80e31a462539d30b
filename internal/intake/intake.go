// Package intake answers callers: it admits their calls, makes accepted jobs and
// cancellations durable before it says so, and tells how jobs stand.
package intake

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/ledger"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// RetryAfterSeconds is when a caller whose call was refused should come back.
	RetryAfterSeconds = 1
	idLength          = 16
	// attemptTime bounds one write, so that a lost answer is found out by another.
	attemptTime = 600 * time.Millisecond
	// writeTime bounds all attempts: a caller is better told to come back.
	writeTime = 1200 * time.Millisecond
	// refusedTime bounds the attempts while the store only refuses.
	refusedTime = 300 * time.Millisecond
	retryFirst  = 20 * time.Millisecond
	retryLast   = 300 * time.Millisecond
	remedyStore = "send the call again after the time given; the platform's store does not answer"
)

// Intake answers callers. Set the fields before the first call.
type Intake struct {
	Store keyvalue.Service
	// Catalogue returns the configuration in force; nil before the first.
	Catalogue func() *catalogue.Catalogue
	Metrics   metrics.Registry
	Log       log.Interface

	gate gate
}

// Call is an admitted call.
type Call struct {
	Request      string
	Queue        string
	Organisation string
	// ID of the job; empty for a call about the queue.
	ID           string
	MaxBodyBytes int64
	Version      int64
	timeout      time.Duration
}

// Admit finds the queue of a call and checks its key.
func (i *Intake) Admit(request, host, path, key string) (Call, error) {
	held := i.Catalogue()
	if held == nil {
		return Call{}, i.refused(Call{Request: request}, fault.Unavailable.New("send the call again after the time given", "Intake.Admit: no configuration yet"))
	}
	call := Call{Request: request, MaxBodyBytes: held.MaxBodyBytes, Version: held.Version}
	queue, ok := held.Find(host, path)
	if !ok {
		return Call{}, i.refused(call, fault.NotFound.New("check the host and the path", "Intake.Admit: no queue at %s%s in version %d", host, path, held.Version))
	}
	call.Queue, call.timeout = queue.Name, queue.Timeout
	organisation, known := held.ByKey[key]
	if !known && !queue.Public {
		return Call{}, i.refused(call, fault.Denied.New("send a key of your organisation", "Intake.Admit: the key is not known in version %d", held.Version))
	}
	call.Organisation = organisation
	call.ID = strings.TrimPrefix(path, queue.Prefix)
	if call.ID != "" && !validID(call.ID) {
		return Call{}, i.refused(call, fault.NotFound.New("name a job by 16 hexadecimal digits", "Intake.Admit: %q", call.ID))
	}
	return call, nil
}

func validID(id string) bool {
	return len(id) == idLength && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// Submit makes a job durable. A job that is known already is accepted again.
func (i *Intake) Submit(ctx context.Context, call Call, job *workload.Job) error {
	ctx, cancel := i.bound(ctx, call)
	defer cancel()
	begun := time.Now()
	job.Queue, job.Organisation, job.Accepted = call.Queue, call.Organisation, begun
	if err := job.Validate(); err != nil {
		return i.refused(call, err)
	}
	value, err := ledger.Write(job.Record())
	if err != nil {
		return i.refused(call, err)
	}
	known, err := i.create(ctx, ledger.Submitted(job.ID), value)
	if err != nil {
		return i.refused(call, err)
	}
	i.accepted(call, "job accepted", begun, log.Fields{"steps": len(job.Steps), "known": known})
	return nil
}

// create writes a key that is absent, and reports whether it was there already. The
// error is Unavailable only if no attempt may have taken effect.
func (i *Intake) create(ctx context.Context, key string, value []byte) (known bool, err error) {
	allowed := i.gate.enter(time.Now())
	if allowed == 0 {
		return false, fault.Unavailable.New(remedyStore, "Intake.create: the store takes no writes at present")
	}
	ctx, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	refusedBy := time.Now().Add(refusedTime)
	ambiguous := false
	for wait := retryFirst; ; wait = min(2*wait, retryLast) {
		result, err := i.attempt(ctx, key, value)
		if err == nil {
			i.noteWrite(true)
			return !result.Applied, nil
		}
		ambiguous = ambiguous || !fault.Unavailable.Is(err)
		if !ambiguous && time.Now().After(refusedBy) {
			i.noteWrite(false)
			return false, fault.Unavailable.New(remedyStore, "Intake.create: %v", err)
		}
		select {
		case <-ctx.Done():
			i.noteWrite(false)
			if ambiguous {
				return false, fault.Ambiguous.New("send the call again with the same ID", "Intake.create: %v", err)
			}
			return false, fault.Unavailable.New(remedyStore, "Intake.create: %v", err)
		case <-time.After(wait):
		}
	}
}

func (i *Intake) attempt(ctx context.Context, key string, value []byte) (keyvalue.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	return i.Store.Commit(ctx, keyvalue.Txn{Expect: []keyvalue.Expectation{{Key: key}}, Puts: []keyvalue.Put{{Key: key, Value: value}}})
}

func (i *Intake) noteWrite(answered bool) {
	if i.gate.note(time.Now(), answered) {
		i.Log.WithField("writes", answered).Warn("intake: whether the store takes writes has changed")
	}
}

// Cancel makes a cancellation durable. The error is Gone for a job that is not known.
func (i *Intake) Cancel(ctx context.Context, call Call) error {
	ctx, cancel := i.bound(ctx, call)
	defer cancel()
	begun := time.Now()
	item, err := retry(ctx, func() (*keyvalue.Item, error) { return i.Store.Get(ctx, ledger.Submitted(call.ID)) })
	if err != nil {
		return i.refused(call, err)
	}
	if item == nil {
		return i.refused(call, fault.Gone.New("submit the job first", "Intake.Cancel: no job %s", call.ID))
	}
	known, err := i.create(ctx, ledger.Cancelled(call.ID), []byte{1})
	if err != nil {
		return i.refused(call, err)
	}
	i.accepted(call, "job cancelled", begun, log.Fields{"known": known})
	return nil
}

// Pending counts the queue's accepted jobs of which nothing has started.
func (i *Intake) Pending(ctx context.Context, call Call) (int, error) {
	ctx, cancel := i.bound(ctx, call)
	defer cancel()
	begun := time.Now()
	item, err := retry(ctx, func() (*keyvalue.Item, error) { return i.Store.Get(ctx, ledger.PendingKey) })
	if err != nil {
		return 0, i.refused(call, err)
	}
	pending := &wire.PendingRecord{}
	if item != nil {
		if err := ledger.Read(item.Value, pending); err != nil {
			return 0, i.refused(call, err)
		}
	}
	count := int(pending.GetQueues()[call.Queue])
	i.accepted(call, "pending told", begun, log.Fields{"count": count})
	return count, nil
}

// retry repeats a read until it succeeds or the caller's time is over.
func retry[T any](ctx context.Context, read func() (T, error)) (T, error) {
	for wait := retryFirst; ; wait = min(2*wait, retryLast) {
		value, err := read()
		if err == nil || fault.Gone.Is(err) || fault.Invalid.Is(err) {
			return value, err
		}
		select {
		case <-ctx.Done():
			return value, fault.Unavailable.New(remedyStore, "intake.retry: %v", err)
		case <-time.After(wait):
		}
	}
}

// bound keeps a call within its queue's time.
func (i *Intake) bound(ctx context.Context, call Call) (context.Context, context.CancelFunc) {
	if call.timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, call.timeout)
}

func (i *Intake) fields(call Call) log.Fields {
	return log.Fields{"request": call.Request, "job": call.ID, "queue": call.Queue, "organisation": call.Organisation, "version": call.Version}
}

func (i *Intake) refused(call Call, err error) error {
	metrics.GetOrRegisterCounter("intake.refused."+fault.NameOf(err), i.Metrics).Inc(1)
	i.Log.WithFields(i.fields(call)).WithField("kind", fault.NameOf(err)).WithField("cause", fault.Message(err)).Info("intake: call refused")
	return err
}

func (i *Intake) accepted(call Call, event string, begun time.Time, more log.Fields) {
	took := time.Since(begun)
	metrics.GetOrRegisterCounter("intake.answered", i.Metrics).Inc(1)
	metrics.GetOrRegisterHistogram("intake.latencyMs."+call.Queue, i.Metrics, metrics.NewUniformSample(sampleSize)).Update(took.Milliseconds())
	i.Log.WithFields(i.fields(call)).WithFields(more).WithField("took", took).Info("intake: " + event)
}

const sampleSize = 256

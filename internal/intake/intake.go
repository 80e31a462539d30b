// Package intake handles callers' requests: it authorises them, stores submitted jobs and
// cancellations before it acknowledges them, and returns the state of jobs.
package intake

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/backoff"
	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/loadcopy"
	"github.com/eelgrasstide/eelgrasstide/internal/overload"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/terms"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// RetryAfterSeconds is how long a caller should wait before it retries a refused call whose error has
	// no delay of its own.
	RetryAfterSeconds = 1
	// idLength is the number of hexadecimal digits in a job's ID.
	idLength = 16
	// attemptTimeout bounds one attempt at a write. A further attempt then finds out whether
	// a write whose answer was lost took effect.
	attemptTimeout = 600 * time.Millisecond
	// writeTimeout bounds all attempts at a write together. A caller is better served by an
	// error and a later retry than by a longer wait.
	writeTimeout = 1200 * time.Millisecond
	// refusedTimeout bounds the attempts while the store has refused each of them.
	refusedTimeout = 300 * time.Millisecond
	retryMinWait   = 20 * time.Millisecond
	retryMaxWait   = 300 * time.Millisecond
	storeRemedy    = "retry the call after the time given in the Retry-After header; the platform's store does not answer"
)

// Intake handles callers' requests. Set the exported fields before the first call.
type Intake struct {
	Store keyvalue.Service
	// Catalogue returns the configuration in force; nil until one has been read.
	Catalogue func() *catalogue.Catalogue
	// StoreFailing, if set, reports whether the host's own calls to the store fail. Writes then begin with
	// a read.
	StoreFailing func() bool
	// Alone, if set, reports whether this host is cut off from everything else while other hosts are not.
	// All calls are then refused at once.
	Alone func() bool
	// Backoff chooses when refused callers return.
	Backoff backoff.Backoff
	Metrics metrics.Registry
	Log     log.Interface

	// Load, if set, is what this host knows of the load. Submissions are then refused by load.
	Load *loadcopy.Copy
	// StoreFailedAt, if set, returns when the host's own calls to the store last failed.
	StoreFailedAt func() time.Time
	// Hosts, if set, returns the number of hosts that take submissions.
	Hosts func() int
	// EarlierHosts, if set, reports whether hosts of a release may run that does not know marks of
	// organisations.
	EarlierHosts func() bool

	breaker       breaker
	policy        overload.Policy
	lateWrites    lateWrites
	cancellations cancellationLimits
}

// Call is a caller's request that Admit has authorised.
type Call struct {
	// Request is the caller's ID of the request, for the log.
	Request      string
	Queue        string
	Organisation string
	// Terms are the queue's settings for a job that this call submits.
	Terms terms.Terms
	// ID is the job's ID; empty for a call about the whole queue.
	ID string
	// MaxBodyBytes limits the body of a submission; 0 if the configuration has no limit.
	MaxBodyBytes int64
	// Version is the configuration version that the call was checked against.
	Version int64
	// Deadline is when the caller stops waiting; zero if it did not say so.
	Deadline time.Time
	timeout  time.Duration
}

// Admit finds the queue for the host and path of a call and checks the caller's API key.
// Errors are Unavailable before a configuration has been read and while this host alone is cut off,
// NotFound for an unknown queue or a malformed job ID, and Denied for an unknown key unless the queue is public.
func (i *Intake) Admit(request, host, path, key string) (Call, error) {
	current := i.Catalogue()
	if current == nil {
		return Call{}, i.reject(Call{Request: request}, errkind.Unavailable.New("retry the call after the time given in the Retry-After header", "Intake.Admit: this host has not read a configuration from the store yet"))
	}
	call := Call{Request: request, MaxBodyBytes: current.MaxBodyBytes, Version: current.Version}
	queue, ok := current.Find(host, path)
	if !ok {
		return Call{}, i.reject(call, errkind.NotFound.New("check the host and the path", "Intake.Admit: no queue at %s%s in configuration version %d", host, path, current.Version))
	}
	call.Queue, call.Terms, call.timeout = queue.Name, terms.Of(current.Version, queue), queue.Timeout
	organisation, known := current.OrganisationByKey[key]
	if !known && !queue.Public {
		return Call{}, i.reject(call, errkind.Denied.New("send an API key of your organisation", "Intake.Admit: the API key is not in configuration version %d", current.Version))
	}
	call.Organisation = organisation
	call.ID = strings.TrimPrefix(path, queue.Prefix)
	if call.ID != "" && !validID(call.ID) {
		return Call{}, i.reject(call, errkind.NotFound.New("use the 16 hexadecimal digits of the job's ID", "Intake.Admit: got job ID %q, want 16 hexadecimal digits", call.ID))
	}
	if i.Alone != nil && i.Alone() {
		err := errkind.Unavailable.New("send the call again at once; another host will answer it", "Intake.Admit: this host reaches neither the platform's store nor any other host")
		return Call{}, i.reject(call, backoff.Attach(err, i.Backoff.After(backoff.Refusal{ID: call.ID, Elsewhere: true})))
	}
	return call, nil
}

func validID(id string) bool {
	return len(id) == idLength && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// Submit writes a job to the store. A job with a known ID is accepted again, with no effect.
// Errors are Invalid for a job that fails validation, Overloaded or Unavailable if the job was not
// written, and Ambiguous if it may have been.
func (i *Intake) Submit(ctx context.Context, call Call, job *workload.Job) error {
	ctx, cancel := i.bound(ctx, call)
	defer cancel()
	start := time.Now()
	job.Queue, job.Organisation, job.Accepted, job.AcceptedTerms = call.Queue, call.Organisation, start, call.Terms
	if err := job.Validate(); err != nil {
		return i.reject(call, err)
	}
	key := records.SubmittedKey(job.ID)
	// Of two calls with one ID, each must know of the other before it is refused.
	defer i.lateWrites.begin(key)()
	if fields, refusal := i.refusalByLoad(ctx, start, call, job); refusal != nil {
		return i.reject(call, refusal, fields)
	}
	value, err := records.Encode(job.Record())
	if err != nil {
		return i.reject(call, err)
	}
	known, err := i.create(ctx, key, value)
	if err != nil {
		return i.reject(call, err)
	}
	i.logAnswer(call, "job accepted", start, log.Fields{"steps": len(job.Steps), "known": known})
	return nil
}

// create writes a key unless it exists, and reports whether it existed. The caller has begun it in lateWrites.
// The error is Unavailable only if neither this call nor another one of this host can have written the key or
// may still do so, and Ambiguous otherwise.
func (i *Intake) create(ctx context.Context, key string, value []byte) (known bool, err error) {
	known, err = i.write(ctx, key, value)
	return known, i.ambiguousIfPending(key, err, 1)
}

// write makes the attempts of create. It retries failed ones within writeTimeout. The error is Unavailable
// only if none of them can have taken effect, and Ambiguous otherwise.
func (i *Intake) write(caller context.Context, key string, value []byte) (known bool, err error) {
	probe, err := i.enter(caller)
	if err != nil {
		return false, err
	}
	if probe {
		defer i.breaker.endProbe()
		if item, err := i.tryStore(caller, key); err != nil || item != nil {
			return item != nil, err
		}
	}
	ctx, cancel := context.WithTimeout(caller, writeTimeout)
	defer cancel()
	start := time.Now()
	// failed says that an attempt failed for another reason than the end of the caller's time.
	ambiguous, failed := false, false
	for wait := retryMinWait; ; wait = min(2*wait, retryMaxWait) {
		sent := time.Now()
		result, err := i.attempt(ctx, key, value)
		if err == nil {
			i.recordWrite(sent, true)
			return !result.Applied, nil
		}
		ambiguous = ambiguous || !errkind.Unavailable.Is(err)
		failed = failed || caller.Err() == nil
		if !ambiguous && time.Since(start) > refusedTimeout {
			i.recordWrite(start, false)
			return false, errkind.Unavailable.New(storeRemedy, "Intake.write: no attempt at the write took effect within 300 ms: %v", err)
		}
		select {
		case <-ctx.Done():
			if failed {
				i.recordWrite(start, false)
			}
			if ambiguous {
				i.lateWrites.add(time.Now(), key)
				return false, errkind.Ambiguous.New("send the call again with the same ID", "Intake.write: the store did not confirm the write in time, and it may have taken effect: %v", err)
			}
			return false, errkind.Unavailable.New(storeRemedy, "Intake.write: no attempt at the write took effect before the time limit: %v", err)
		case <-time.After(wait):
		}
	}
}

// attempt makes one attempt to write a key that must not exist.
func (i *Intake) attempt(ctx context.Context, key string, value []byte) (keyvalue.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return i.Store.Commit(ctx, keyvalue.Txn{Expect: []keyvalue.Expectation{{Key: key}}, Puts: []keyvalue.Put{{Key: key, Value: value}}})
}

// recordWrite reports the outcome of a write to the breaker and logs a change of its state.
func (i *Intake) recordWrite(sent time.Time, answered bool) {
	if i.breaker.record(sent, time.Now(), answered) {
		i.Log.WithField("writes", answered).Warn("intake: whether the store takes writes has changed")
	}
}

// Pending returns the number of the queue's accepted jobs that have not started a task, as
// last written by the planner. Errors are Unavailable, or Invalid for a corrupt record.
func (i *Intake) Pending(ctx context.Context, call Call) (int, error) {
	ctx, cancel := i.bound(ctx, call)
	defer cancel()
	start := time.Now()
	item, err := retry(ctx, func() (*keyvalue.Item, error) { return i.Store.Get(ctx, records.PendingKey) })
	if err != nil {
		return 0, i.reject(call, err)
	}
	pending := &wire.PendingRecord{}
	if item != nil {
		if err := records.Decode(item.Value, pending); err != nil {
			return 0, i.reject(call, err)
		}
	}
	count := int(pending.GetQueues()[call.Queue])
	i.logAnswer(call, "pending jobs counted", start, log.Fields{"count": count})
	return count, nil
}

// retry repeats a read until it succeeds or ctx ends. Gone and Invalid errors are final;
// other errors are returned as Unavailable when ctx ends.
func retry[T any](ctx context.Context, read func() (T, error)) (T, error) {
	for wait := retryMinWait; ; wait = min(2*wait, retryMaxWait) {
		value, err := read()
		if err == nil || errkind.Gone.Is(err) || errkind.Invalid.Is(err) {
			return value, err
		}
		select {
		case <-ctx.Done():
			return value, errkind.Unavailable.New(storeRemedy, "intake.retry: the read did not succeed before the time limit: %v", err)
		case <-time.After(wait):
		}
	}
}

// bound returns a context with the timeout of the call's queue, if it has one.
func (i *Intake) bound(ctx context.Context, call Call) (context.Context, context.CancelFunc) {
	if call.timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, call.timeout)
}

// fields returns the log fields that describe a call.
func (i *Intake) fields(call Call) log.Fields {
	return log.Fields{"request": call.Request, "job": call.ID, "queue": call.Queue, "organisation": call.Organisation, "version": call.Version}
}

// reject counts and logs a refused call, and returns err, with the delay for the caller if the call may
// succeed later.
func (i *Intake) reject(call Call, err error, more ...log.Fields) error {
	metrics.GetOrRegisterCounter("intake.refused."+errkind.NameOf(err), i.Metrics).Inc(1)
	entry := i.Log.WithFields(i.fields(call)).WithField("kind", errkind.NameOf(err)).WithField("cause", errkind.Message(err))
	for _, fields := range more {
		entry = entry.WithFields(fields)
	}
	delay, ok := backoff.Of(err)
	if !ok && errkind.Unavailable.Is(err) {
		delay, ok = i.Backoff.After(backoff.Refusal{ID: call.ID, Priority: call.Terms.Priority, Left: call.left()}), true
		err = backoff.Attach(err, delay)
	}
	if ok {
		entry = entry.WithField("returnAfter", delay.Exact)
	}
	entry.Info("intake: call refused")
	return err
}

// left returns how long the caller still waits; 0 if that is not known.
func (c *Call) left() time.Duration {
	if c.Deadline.IsZero() {
		return 0
	}
	return max(time.Until(c.Deadline), time.Millisecond)
}

// Refuse counts and logs a submission that its handler refuses before it is decoded, and returns the error to
// answer: err or, if the job was not accepted but an earlier call with its ID may still take effect, Ambiguous.
func (i *Intake) Refuse(call Call, err error) error {
	return i.reject(call, i.ambiguousIfPending(records.SubmittedKey(call.ID), err, 0))
}

// ambiguousIfPending turns an Unavailable error for a key into Ambiguous if another call of this host may still
// write the key. Besides is 1 if the call itself is counted as writing it, otherwise 0.
func (i *Intake) ambiguousIfPending(key string, err error, besides int) error {
	if errkind.Unavailable.Is(err) && i.lateWrites.has(time.Now(), key, besides) {
		return errkind.Ambiguous.New("send the call again with the same ID", "Intake.ambiguousIfPending: another call with this ID may still take effect: %s", errkind.Message(err))
	}
	return err
}

// logAnswer counts and logs an answered call and records its latency in milliseconds.
func (i *Intake) logAnswer(call Call, event string, start time.Time, more log.Fields) {
	took := time.Since(start)
	metrics.GetOrRegisterCounter("intake.answered", i.Metrics).Inc(1)
	metrics.GetOrRegisterHistogram("intake.latencyMs."+call.Queue, i.Metrics, metrics.NewUniformSample(sampleSize)).Update(took.Milliseconds())
	i.Log.WithFields(i.fields(call)).WithFields(more).WithField("took", took).Info("intake: " + event)
}

// sampleSize is the number of latencies that the histogram of a queue keeps.
const sampleSize = 256

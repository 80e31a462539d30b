package intake

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
)

// Each organisation may cancel unknownCancellationBurst jobs that the store does not have at once on each
// host, and unknownCancellationRate a second in the long run. Clients cancel in waves of some hundred jobs.
const (
	unknownCancellationRate  = 100
	unknownCancellationBurst = 2000
)

// cancellationLimits holds the limit of each organisation for cancelling jobs that the store does not have.
type cancellationLimits struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	// logged bounds the log lines about refused cancellations.
	logged rate.Sometimes
}

// allow reports whether an organisation may cancel another job that the store does not have.
func (c *cancellationLimits) allow(now time.Time, organisation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limiters == nil {
		c.limiters = map[string]*rate.Limiter{}
		c.logged.Interval = time.Second
	}
	limiter, ok := c.limiters[organisation]
	if !ok {
		limiter = rate.NewLimiter(unknownCancellationRate, unknownCancellationBurst)
		c.limiters[organisation] = limiter
	}
	return limiter.AllowN(now, 1)
}

// Cancel writes the cancellation of a job to the store, also if the store does not have the job or it is
// another organisation's: the submission of the call's organisation may be carried out after the answer.
// The error is Gone for a job that the organisation does not have, which then never runs for it, Unavailable
// if the cancellation was not written, Ambiguous if it may have been, and Invalid for a corrupt submission.
func (i *Intake) Cancel(ctx context.Context, call Call) error {
	ctx, cancel := i.bound(ctx, call)
	defer cancel()
	start := time.Now()
	item, err := retry(ctx, func() (*keyvalue.Item, error) { return i.Store.Get(ctx, records.SubmittedKey(call.ID)) })
	if err != nil {
		return i.reject(call, err)
	}
	own, corrupt := false, error(nil)
	if item != nil {
		own, corrupt = i.owns(call, *item)
	}
	if !own && !i.cancellations.allow(start, call.Organisation) {
		return i.rejectCancellation(call)
	}
	known, err := i.writeCancellation(ctx, call, item == nil || own || corrupt != nil)
	if err != nil {
		return i.reject(call, err)
	}
	if corrupt != nil {
		return i.reject(call, corrupt)
	}
	if !own {
		return i.reject(call, errkind.Gone.New("submit the job under another ID", "Intake.Cancel: the store has no job %s; if its submission is carried out late, the job will be cancelled", call.ID))
	}
	i.logAnswer(call, "job cancelled", start, log.Fields{"known": known})
	return nil
}

// writeCancellation writes the organisation's mark. While hosts of an earlier release may run, one of them
// may plan, or come to plan, and it obeys only the mark that binds any submission: that is written too, unless
// the store has the job of another organisation. The errors are those of create.
func (i *Intake) writeCancellation(ctx context.Context, call Call, bindAny bool) (known bool, err error) {
	key := records.CancellationBy(call.ID, call.Organisation).Key()
	defer i.lateWrites.begin(key)()
	known, err = i.create(ctx, key, []byte{1})
	if err != nil || !bindAny || i.EarlierHosts == nil || !i.EarlierHosts() {
		return known, err
	}
	earlier := records.CancelledKey(call.ID)
	defer i.lateWrites.begin(earlier)()
	if _, err := i.create(ctx, earlier, []byte{1}); err != nil {
		return known, errkind.Ambiguous.New("send the call again", "Intake.writeCancellation: the organisation's mark was written, that for hosts of an earlier release may not have been: %v", err)
	}
	return known, nil
}

// rejectCancellation refuses the cancellation of an unknown job beyond the organisation's limit.
func (i *Intake) rejectCancellation(call Call) error {
	metrics.GetOrRegisterCounter("intake.cancellations.limited", i.Metrics).Inc(1)
	i.cancellations.logged.Do(func() {
		i.Log.WithFields(i.fields(call)).WithFields(log.Fields{"perSecond": unknownCancellationRate, "burst": unknownCancellationBurst}).Warn("intake: cancellations of unknown jobs are limited")
	})
	return i.reject(call, errkind.Unavailable.New("cancel the job again after the time given in the Retry-After header", "Intake.Cancel: the organisation cancels too many jobs that the store does not have; the cancellation was not written"))
}

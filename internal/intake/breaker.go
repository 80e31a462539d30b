package intake

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
)

const (
	// trialInterval is the time after a failed trial in which writes are refused at once.
	trialInterval = 100 * time.Millisecond
	// A trial sends up to trialReads reads, one each trialReadPeriod, until one is answered, so that it
	// also notices a store that returns during the trial. It ends early after refusedReads reads that the
	// store has refused.
	trialReads      = 3
	trialReadPeriod = 200 * time.Millisecond
	refusedReads    = 2
)

// breaker is a circuit breaker for writes. It opens when a write fails. While it is open, or the store is
// in doubt for another reason, one call at a time tries the store, and the others wait for the outcome. A
// trial begins with a read, so that a call that the store does not answer is known to have written
// nothing.
type breaker struct {
	mu   sync.Mutex
	open bool
	// failed is when the last trial or write failed, and answered when the last write that the store
	// answered was sent.
	failed   time.Time
	answered time.Time
	// trial is closed when the trial in progress ends; nil if there is none.
	trial chan struct{}
}

// admission is what the breaker lets a call do.
type admission int

const (
	// admitWrite: the call may write.
	admitWrite admission = iota
	// admitTrial: the call has to try the store first, and to call endTrial afterwards.
	admitTrial
	// awaitTrial: the call has to wait for the end of a trial and then ask again.
	awaitTrial
	// refuseWrite: the call must not write.
	refuseWrite
)

// admit decides on a call at a time. The channel, for awaitTrial, is closed when the trial ends.
func (b *breaker) admit(now time.Time, inDoubt bool) (admission, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.open && (!inDoubt || now.Sub(b.answered) < trialInterval):
		return admitWrite, nil
	case b.trial != nil:
		return awaitTrial, b.trial
	case now.Sub(b.failed) < trialInterval:
		return refuseWrite, nil
	}
	b.trial = make(chan struct{})
	return admitTrial, nil
}

// endTrial lets the calls go on that wait for the trial.
func (b *breaker) endTrial() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.trial)
	b.trial = nil
}

// record closes the breaker if the store answered a write that was sent at a time, and opens it if not.
// A failure says nothing if the store has answered a write that was sent later. It reports whether the
// state changed.
func (b *breaker) record(sent, now time.Time, answered bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case answered && sent.After(b.answered):
		b.answered = sent
	case !answered && b.answered.After(sent):
		return false
	case !answered:
		b.failed = now
	}
	changed = b.open == answered
	b.open = !answered
	return changed
}

// failedAt returns when a trial or a write last failed.
func (b *breaker) failedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}

// enter waits until the breaker lets a call write, and reports whether the call has to try the store
// first. The error is Unavailable.
func (i *Intake) enter(ctx context.Context) (trial bool, err error) {
	for {
		decision, trialEnd := i.breaker.admit(time.Now(), i.StoreFailing != nil && i.StoreFailing())
		switch decision {
		case admitWrite:
			return false, nil
		case admitTrial:
			return true, nil
		case refuseWrite:
			return false, errkind.Unavailable.New(storeRemedy, "Intake.enter: the store did not answer within the last 100 ms")
		}
		select {
		case <-ctx.Done():
			return false, errkind.Unavailable.New(storeRemedy, "Intake.enter: the time limit was reached while another call tried the store")
		case <-trialEnd:
		}
	}
}

// tryStore reads the key that is to be written, and returns its item, or nil if there is none. The error
// is Unavailable.
func (i *Intake) tryStore(caller context.Context, key string) (*keyvalue.Item, error) {
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	type answer struct {
		item *keyvalue.Item
		err  error
	}
	answers := make(chan answer, trialReads)
	start, refused, lastErr := time.Now(), 0, error(nil)
	for range trialReads {
		go func() {
			item, err := i.Store.Get(ctx, key)
			answers <- answer{item, err}
		}()
		next := time.After(trialReadPeriod)
		for next != nil {
			select {
			case <-next:
				next = nil
			case <-caller.Done():
				return nil, errkind.Unavailable.New(storeRemedy, "Intake.tryStore: the store did not answer before the time limit: %v", caller.Err())
			case a := <-answers:
				if a.err == nil {
					return a.item, nil
				}
				lastErr = a.err
				if errkind.Unavailable.Is(a.err) {
					refused++
				}
			}
			if refused >= refusedReads {
				next = nil
			}
		}
		if refused >= refusedReads {
			break
		}
	}
	i.recordWrite(start, false)
	return nil, errkind.Unavailable.New(storeRemedy, "Intake.tryStore: the store answered none of the reads before the write: %v", lastErr)
}

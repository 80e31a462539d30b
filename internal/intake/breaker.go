package intake

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/panics"
)

const (
	// probeInterval is the time after a failed probe in which writes are refused at once.
	probeInterval = 100 * time.Millisecond
	// A probe sends up to probeReads reads, one each probeReadPeriod, until one is answered, so that it
	// also notices a store that returns during the probe. It ends early after refusedReads reads that the
	// store has refused.
	probeReads      = 3
	probeReadPeriod = 200 * time.Millisecond
	refusedReads    = 2
)

// breaker is a circuit breaker for writes. It opens when a write fails. While it is open, or the store is
// in doubt for another reason, one call at a time probes the store, and the others wait for the outcome. A
// probe begins with a read, so that a call that the store does not answer is known to have written
// nothing.
type breaker struct {
	mu   sync.Mutex
	open bool
	// failed is when the last probe or write failed, and answered when the last write that the store
	// answered was sent.
	failed   time.Time
	answered time.Time
	// probe is closed when the probe in progress ends; nil if there is none.
	probe chan struct{}
}

// decision is what the breaker lets a call do.
type decision int

const (
	// admitWrite: the call may write.
	admitWrite decision = iota
	// admitProbe: the call has to probe the store first, and to call endProbe afterwards.
	admitProbe
	// awaitProbe: the call has to wait for the end of a probe and then ask again.
	awaitProbe
	// refuseWrite: the call must not write.
	refuseWrite
)

// admit decides on a call at a time. The channel, for awaitProbe, is closed when the probe ends.
func (b *breaker) admit(now time.Time, inDoubt bool) (decision, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.open && (!inDoubt || now.Sub(b.answered) < probeInterval):
		return admitWrite, nil
	case b.probe != nil:
		return awaitProbe, b.probe
	case now.Sub(b.failed) < probeInterval:
		return refuseWrite, nil
	}
	b.probe = make(chan struct{})
	return admitProbe, nil
}

// endProbe lets the calls go on that wait for the probe.
func (b *breaker) endProbe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.probe)
	b.probe = nil
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

// failedAt returns when a probe or a write last failed.
func (b *breaker) failedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}

// enter waits until the breaker lets a call write, and reports whether the call has to probe the store
// first. The error is Unavailable.
func (i *Intake) enter(ctx context.Context) (probe bool, err error) {
	for {
		decided, probeEnd := i.breaker.admit(time.Now(), i.StoreFailing != nil && i.StoreFailing())
		switch decided {
		case admitWrite:
			return false, nil
		case admitProbe:
			return true, nil
		case refuseWrite:
			return false, errkind.Unavailable.New(storeRemedy, "Intake.enter: the store did not answer within the last 100 ms")
		}
		select {
		case <-ctx.Done():
			return false, errkind.Unavailable.New(storeRemedy, "Intake.enter: the time limit was reached while another call tried the store")
		case <-probeEnd:
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
	answers := make(chan answer, probeReads)
	start, refused, lastErr := time.Now(), 0, error(nil)
	for range probeReads {
		go func() {
			item, err := panics.Guard("intake: read before a write", func() (*keyvalue.Item, error) { return i.Store.Get(ctx, key) })
			answers <- answer{item, err}
		}()
		next := time.After(probeReadPeriod)
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

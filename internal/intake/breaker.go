package intake

import (
	"sync"
	"time"
)

// probeInterval is the time between trial writes while the store accepts no writes.
const probeInterval = 250 * time.Millisecond

// breaker is a circuit breaker for writes. While it is open, writes are refused without a
// call to the store, except for one trial write per probeInterval. A refusal by the breaker
// proves that nothing was written.
type breaker struct {
	mu        sync.Mutex
	open      bool
	lastProbe time.Time
}

// allow returns how long a write may be tried: writeTimeout while the breaker is closed,
// attemptTimeout for a trial write while it is open, and 0 if the write is refused.
func (b *breaker) allow(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return writeTimeout
	}
	if now.Sub(b.lastProbe) < probeInterval {
		return 0
	}
	b.lastProbe = now
	return attemptTimeout
}

// record closes the breaker if the store answered a write and opens it if not. It reports
// whether that changed the state.
func (b *breaker) record(now time.Time, answered bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = b.open == answered
	b.open = !answered
	if changed && !answered {
		b.lastProbe = now
	}
	return changed
}

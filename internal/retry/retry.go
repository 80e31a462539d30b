// Package retry bounds retries and hedges to a share of first tries, so that
// retries never amplify an overload.
package retry

import "sync"

const (
	// DefaultShare is the share of first tries that may be tried again.
	DefaultShare = 0.1
	// DefaultReserve is the number of retries that a quiet host may spend at once.
	DefaultReserve = 10
)

// Budget counts tries. The zero value uses the default share and reserve.
type Budget struct {
	Share   float64
	Reserve float64

	mu     sync.Mutex
	opened bool
	tokens float64
}

func (b *Budget) open() {
	if b.opened {
		return
	}
	b.opened = true
	if b.Share == 0 {
		b.Share = DefaultShare
	}
	if b.Reserve == 0 {
		b.Reserve = DefaultReserve
	}
	b.tokens = b.Reserve
}

// FirstTry adds the share of one first try.
func (b *Budget) FirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open()
	b.tokens = min(b.Reserve, b.tokens+b.Share)
}

// Spend takes one retry and reports whether the budget allowed it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

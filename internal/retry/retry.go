// Package retry limits retries and hedges to a share of first attempts, so that they don't amplify
// an overload.
package retry

import "sync"

const (
	// DefaultShare is the number of retries allowed per first attempt.
	DefaultShare = 0.1
	// DefaultReserve is the largest number of unused retries, which may be spent at once.
	DefaultReserve = 10
)

// Budget is a token bucket of retries. The zero value uses DefaultShare and DefaultReserve. It is
// safe for concurrent use.
type Budget struct {
	// Share is the number of retries added by each first attempt.
	Share float64
	// Reserve is the largest number of unused retries, and their initial number.
	Reserve float64

	mu          sync.Mutex
	initialised bool
	tokens      float64
}

func (b *Budget) initialise() {
	if b.initialised {
		return
	}
	b.initialised = true
	if b.Share == 0 {
		b.Share = DefaultShare
	}
	if b.Reserve == 0 {
		b.Reserve = DefaultReserve
	}
	b.tokens = b.Reserve
}

// AddFirstAttempt counts a first attempt, which adds Share to the budget.
func (b *Budget) AddFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialise()
	b.tokens = min(b.Reserve, b.tokens+b.Share)
}

// Spend takes one retry from the budget and reports whether one was available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialise()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

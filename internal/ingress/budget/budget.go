// Package budget bounds the memory of the request bodies that a process holds at once.
package budget

import "sync"

// holderShare is the share of the large part that one holder can have.
const holderShare = 0.5

// Budget bounds memory in bytes. Bodies of up to SmallBytes have a part of their own, which larger ones
// cannot use. Set the exported fields before the first call.
type Budget struct {
	SmallBytes int64
	// Small and Large are the sizes of the parts.
	Small, Large int64

	mu           sync.Mutex
	small, large int64
	// held is what each holder has of the large part.
	held map[string]int64
}

// Reserve takes memory for a body and returns the function that gives it back. Holders are whom a large
// body is counted for; one of them can have half of the large part. A body that is larger than its part
// allows is admitted if nothing else is held there, so that each legal body is served in calm. It reports
// false if the body does not fit.
func (b *Budget) Reserve(bytes int64, holders ...string) (release func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes <= b.SmallBytes {
		if b.small > 0 && b.small+bytes > b.Small {
			return nil, false
		}
		b.small += bytes
		return sync.OnceFunc(func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.small -= bytes
		}), true
	}
	if b.large > 0 && b.large+bytes > b.Large {
		return nil, false
	}
	for _, holder := range holders {
		if b.held[holder] > 0 && float64(b.held[holder]+bytes) > float64(b.Large)*holderShare {
			return nil, false
		}
	}
	b.large += bytes
	if b.held == nil {
		b.held = map[string]int64{}
	}
	for _, holder := range holders {
		b.held[holder] += bytes
	}
	return sync.OnceFunc(func() { b.releaseLarge(bytes, holders) }), true
}

func (b *Budget) releaseLarge(bytes int64, holders []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.large -= bytes
	for _, holder := range holders {
		if b.held[holder] -= bytes; b.held[holder] <= 0 {
			delete(b.held, holder)
		}
	}
}

// Held returns the bytes that are reserved.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small + b.large
}

// Package budget bounds the memory of the request bodies that a process holds at once.
package budget

import "sync"

// holderShare is the share of each part that one holder can have.
const holderShare = 0.5

// Budget bounds memory in bytes. Bodies of up to SmallBytes have a part of their own, which larger ones
// cannot use. Set the exported fields before the first call.
type Budget struct {
	SmallBytes int64
	// Small and Large are the sizes of the parts.
	Small, Large int64

	mu           sync.Mutex
	small, large part
}

// part is what is reserved of one part.
type part struct {
	total int64
	// held is what each holder has.
	held map[string]int64
}

// add changes what is reserved for holders.
func (p *part) add(bytes int64, holders []string) {
	p.total += bytes
	if p.held == nil {
		p.held = map[string]int64{}
	}
	for _, holder := range holders {
		if p.held[holder] += bytes; p.held[holder] <= 0 {
			delete(p.held, holder)
		}
	}
}

// fits reports whether bytes can be added within the size of the part and the shares of the holders.
func (p *part) fits(bytes, size int64, holders []string) bool {
	if p.total > 0 && p.total+bytes > size {
		return false
	}
	for _, holder := range holders {
		if p.held[holder] > 0 && float64(p.held[holder]+bytes) > float64(size)*holderShare {
			return false
		}
	}
	return true
}

// Reservation is memory that a body holds.
type Reservation struct {
	budget  *Budget
	part    *part
	bytes   int64
	holders []string
}

// Reserve takes memory for a body. Holders are whom the body is counted for; one of them can have half of
// a part. A body that is larger than its part allows is admitted if nothing else is held there, so that
// each legal body is served in calm. It reports false if the body does not fit.
func (b *Budget) Reserve(bytes int64, holders ...string) (reservation *Reservation, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	from, size := &b.large, b.Large
	if bytes <= b.SmallBytes {
		from, size = &b.small, b.Small
	}
	if !from.fits(bytes, size, holders) {
		return nil, false
	}
	from.add(bytes, holders)
	return &Reservation{budget: b, part: from, bytes: bytes, holders: holders}, true
}

// Shrink gives back what the reservation has beyond a number of bytes.
func (r *Reservation) Shrink(bytes int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if bytes < r.bytes {
		r.part.add(bytes-r.bytes, r.holders)
		r.bytes = bytes
	}
}

// Release gives the memory back. Further calls have no effect.
func (r *Reservation) Release() { r.Shrink(0) }

// Held returns the bytes that are reserved.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small.total + b.large.total
}

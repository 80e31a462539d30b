package intake

import (
	"maps"
	"sync"
	"time"
)

const (
	// lateWriteTime is longer than the store takes to carry out a write that it has not answered.
	lateWriteTime = 30 * time.Second
	// maxLateWrites bounds the keys that are kept of unanswered writes.
	maxLateWrites = 1000
)

// lateWrites holds the keys that calls of this host write now, and those of writes that the store has left
// unanswered and may still carry out.
type lateWrites struct {
	mu sync.Mutex
	// writing counts the calls that may write a key now.
	writing map[string]int
	since   map[string]time.Time
	// droppedAt is when a key was last not kept for lack of space: until lateWriteTime later, each key counts.
	droppedAt time.Time
}

// begin records that a call may write a key, until it calls end.
func (l *lateWrites) begin(key string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writing == nil {
		l.writing = map[string]int{}
	}
	l.writing[key]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.writing[key]--; l.writing[key] == 0 {
			delete(l.writing, key)
		}
	}
}

// add adds the key of a write that has just been given up.
func (l *lateWrites) add(now time.Time, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == nil {
		l.since = map[string]time.Time{}
	}
	if len(l.since) >= maxLateWrites {
		maps.DeleteFunc(l.since, func(_ string, since time.Time) bool { return now.Sub(since) >= lateWriteTime })
	}
	if len(l.since) >= maxLateWrites {
		l.droppedAt = now
		return
	}
	l.since[key] = now
}

// has reports whether a write of a key may still be carried out, besides those of the given number of calls
// that write it now.
func (l *lateWrites) has(now time.Time, key string, besides int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writing[key] > besides {
		return true
	}
	since, known := l.since[key]
	return (known && now.Sub(since) < lateWriteTime) || now.Sub(l.droppedAt) < lateWriteTime
}

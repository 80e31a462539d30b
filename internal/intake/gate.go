package intake

import (
	"sync"
	"time"
)

// probePause is how often a write is tried while the store does not take any.
const probePause = 250 * time.Millisecond

// gate refuses writes at once while the store does not take them, but for one now and
// then that tries. A refusal by the gate is proof that nothing was written.
type gate struct {
	mu     sync.Mutex
	closed bool
	probed time.Time
}

// enter returns for how long a write may be tried; not at all while the store takes none,
// and for one attempt by the one that tries.
func (g *gate) enter(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		return writeTime
	}
	if now.Sub(g.probed) < probePause {
		return 0
	}
	g.probed = now
	return attemptTime
}

// note records whether the store answered a write.
func (g *gate) note(now time.Time, answered bool) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed = g.closed == answered
	g.closed = !answered
	if changed && !answered {
		g.probed = now
	}
	return changed
}

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

// enter reports whether a write may be tried.
func (g *gate) enter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		return true
	}
	if now.Sub(g.probed) < probePause {
		return false
	}
	g.probed = now
	return true
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

package batchtarget

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// SetUnreachable sets whether a target is unreachable. Its runs continue while it is.
func (f *Fleet) SetUnreachable(id string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.event("target unreachable", log.Fields{"target": id, "unreachable": unreachable})
	f.targets[id].unreachable = unreachable
}

// SetMuted sets whether the answers of a target are lost. It carries out its orders while they
// are, also after a restart.
func (f *Fleet) SetMuted(id string, muted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.event("target muted", log.Fields{"target": id, "muted": muted})
	f.muted[id] = muted
}

// Muted reports whether the answers of a target are lost.
func (f *Fleet) Muted(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.muted[id]
}

// DelayOrders makes a target leave its next count orders to start or stop runs unanswered
// and carry each of them out 2 to 12 s later.
func (f *Fleet) DelayOrders(id string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[id].lateOrders = count
}

// DelayRenewals makes a target leave its next count renewals unanswered and carry each of them
// out 2 to 12 s later.
func (f *Fleet) DelayRenewals(id string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[id].lateRenewals = count
}

// Connections says what becomes of the connections to a target.
type Connections int

// What may become of connections.
const (
	Open Connections = iota
	// Refused means that none can be opened.
	Refused
	// Reset means that each is reset, before or after the order is carried out.
	Reset
)

// SetConnections sets what becomes of the connections to a target, also after a restart.
func (f *Fleet) SetConnections(id string, connections Connections) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.event("target connections", log.Fields{"target": id, "connections": int(connections)})
	f.connections[id] = connections
}

// reach returns a target with mu locked. If the target can't be reached, it returns nil without the lock
// and the answer that the caller has: at once if connections fail, and otherwise after callTimeout or
// when ctx ends.
func (f *Fleet) reach(ctx context.Context, to target.Listing) (*incarnation, target.Answer) {
	timer := time.NewTimer(f.latency())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, target.Unanswered
	case <-timer.C:
	}
	f.mu.Lock()
	t, connections := f.targets[to.ID], f.connections[to.ID]
	if connections == Refused {
		f.mu.Unlock()
		return nil, target.Unreached
	}
	if connections == Reset && f.latencies.IntN(2) == 0 {
		f.mu.Unlock()
		return nil, target.Unanswered
	}
	if t == nil || t.unreachable {
		f.mu.Unlock()
		f.leaveUnanswered(ctx)
		return nil, target.Unanswered
	}
	f.updateRuns(t)
	return t, target.Accepted
}

// latency draws the delay before a call.
func (f *Fleet) latency() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return minLatency + time.Duration(f.latencies.Int64N(int64(maxLatency-minLatency)))
}

// leaveUnanswered blocks until the caller of an order would time out, or until ctx ends.
func (f *Fleet) leaveUnanswered(ctx context.Context) {
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// carryOutLate unlocks mu and carries an order out minLateness to maxLateness from now. A target
// that has restarted by then does so only if LateOrdersOutliveRestarts is set.
func (f *Fleet) carryOutLate(ctx context.Context, id string, carryOut func(t *incarnation)) {
	delay := minLateness + time.Duration(f.latencies.Int64N(int64(maxLateness-minLateness)))
	received := f.targets[id]
	f.mu.Unlock()
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		t := f.targets[id]
		if t != received && !f.LateOrdersOutliveRestarts {
			return
		}
		f.event("late order is carried out", log.Fields{"target": id, "born": t.listing.Born})
		f.updateRuns(t)
		carryOut(t)
	})
	f.leaveUnanswered(ctx)
}

// deliver returns an answer unless the target's answers are lost.
func (f *Fleet) deliver(ctx context.Context, to target.Listing, reply target.Reply) target.Reply {
	f.mu.Lock()
	muted, connections := f.muted[to.ID], f.connections[to.ID]
	f.mu.Unlock()
	if connections != Open {
		return target.Reply{Answer: target.Unanswered}
	}
	if !muted {
		return reply
	}
	f.leaveUnanswered(ctx)
	return target.Reply{Answer: target.Unanswered}
}

// Package leadership elects the planner of an availability zone through a lease in the
// platform's store. Each election has an epoch, which serves as a fencing token: the planner
// sends it with every command, so that workers refuse the commands of an earlier planner.
package leadership

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// Prefix is the prefix of the store keys of planners. The zone follows it.
	Prefix           = "planner/"
	renewalsPerLease = 3
	// expiryMargin is how long before the end of its lease a planner stops sending new commands.
	expiryMargin = time.Second
	// competeInterval is the time between two attempts to become the planner.
	competeInterval = time.Second
	// DefaultLease allows a successor to start urgent work within 7.4 s after a planner fails.
	DefaultLease = 4 * time.Second
)

// Leadership takes part in the election of one zone's planner. Set the exported fields before
// Run.
type Leadership struct {
	Store *store.Store
	Zone  string
	// Incarnation and Address are written to the store while this host is the planner.
	Incarnation string
	Address     string
	// Lease is how long a planner that has failed keeps others from being elected.
	Lease time.Duration

	mu         sync.Mutex
	leaseID    int64
	epoch      int64
	validUntil time.Time
	planner    *wire.PlannerRecord
	resigned   bool
}

// Run competes for the lease or renews it until ctx ends.
func (l *Leadership) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := l.Step(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return ctx.Err()
}

// Step competes for the lease or renews it once, and returns the time until the next step. After
// Resign it does neither.
func (l *Leadership) Step(ctx context.Context) time.Duration {
	l.mu.Lock()
	leaseID, epoch, resigned := l.leaseID, l.epoch, l.resigned
	l.mu.Unlock()
	switch {
	case resigned:
	case epoch != 0:
		l.renew(ctx, leaseID)
	default:
		l.compete(ctx)
	}
	if epoch, _ := l.Epoch(); epoch != 0 {
		return l.Lease / renewalsPerLease
	}
	return competeInterval
}

// renew extends the lease. It measures the lease from before the call, so that it expires here
// before it does in the store. After an error the earlier expiry stays in force.
func (l *Leadership) renew(ctx context.Context, leaseID int64) {
	before := time.Now()
	alive, err := l.Store.KeepAlive(ctx, leaseID)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !alive {
		l.leaseID, l.epoch = 0, 0
		return
	}
	l.validUntil = before.Add(l.Lease - expiryMargin)
}

// compete makes this host the planner if the zone has none: it writes this host's record with a
// new lease, and the revision of the record is the epoch. Otherwise it remembers the present
// planner.
func (l *Leadership) compete(ctx context.Context) {
	key := Prefix + l.Zone
	found, err := l.Store.Get(ctx, store.Safety, key)
	if err != nil {
		return
	}
	if found.GetRevision() != 0 {
		record := &wire.PlannerRecord{}
		if proto.Unmarshal(found.GetValue(), record) == nil {
			l.mu.Lock()
			l.planner = record
			l.mu.Unlock()
		}
		return
	}
	before := time.Now()
	leaseID, err := l.Store.Grant(ctx, l.Lease)
	if err != nil {
		return
	}
	record := &wire.PlannerRecord{Incarnation: l.Incarnation, Address: l.Address, Token: rand.Text()}
	value, err := proto.Marshal(record)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.Lease-expiryMargin)
	defer cancel()
	result, err := l.Store.Put(ctx, store.Safety, &wire.PutRequest{Key: key, Value: value, LeaseId: leaseID})
	if err != nil || !result.Applied {
		_ = l.Store.Revoke(context.WithoutCancel(ctx), leaseID)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseID, l.epoch, l.validUntil, l.planner = leaseID, result.Current.GetRevision(), before.Add(l.Lease-expiryMargin), record
}

// Epoch returns the epoch that this host holds, 0 for none, and whether its lease is still
// valid by its own clock. New commands may be sent only while it is.
func (l *Leadership) Epoch() (epoch int64, leaseValid bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.epoch != 0 && time.Now().Before(l.validUntil)
}

// Planner returns the last known planner of the zone, or nil if none is known yet.
func (l *Leadership) Planner() *wire.PlannerRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner
}

// AbandonEpoch gives up an epoch that a worker has refused as stale. It does nothing if this host
// holds a different epoch by now.
func (l *Leadership) AbandonEpoch(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == epoch {
		l.leaseID, l.epoch = 0, 0
	}
}

// Resign gives up the epoch and revokes the lease, so that a successor can be elected before the
// lease would have lapsed. This host does not compete again.
func (l *Leadership) Resign(ctx context.Context) {
	l.mu.Lock()
	leaseID := l.leaseID
	l.leaseID, l.epoch, l.resigned = 0, 0, true
	l.mu.Unlock()
	if leaseID != 0 {
		_ = l.Store.Revoke(ctx, leaseID)
	}
}

// Package leadership names the planner of an availability zone through a lease
// in the platform's store. Its epoch goes with every order, so that workers
// refuse a former holder.
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
	// Prefix is where the store holds the planners of the zones.
	Prefix      = "planner/"
	renewShare  = 3
	margin      = time.Second
	competeWait = time.Second
	// DefaultLease lets a successor start urgent work within 7.4 s of a planner's death.
	DefaultLease = 4 * time.Second
)

// Leadership competes for one zone. Set the fields before Run.
type Leadership struct {
	Store       *store.Store
	Zone        string
	Incarnation string
	Address     string
	// Lease is how long the zone waits for a planner that died.
	Lease time.Duration

	mu       sync.Mutex
	lease    int64
	epoch    int64
	until    time.Time
	planner  *wire.PlannerRecord
	resigned bool
}

// Run competes and renews until ctx ends.
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

// Step competes or renews once and returns the time until the next step.
func (l *Leadership) Step(ctx context.Context) time.Duration {
	l.mu.Lock()
	lease, epoch, resigned := l.lease, l.epoch, l.resigned
	l.mu.Unlock()
	switch {
	case resigned:
	case epoch != 0:
		l.renew(ctx, lease)
	default:
		l.compete(ctx)
	}
	if epoch, _ := l.Epoch(); epoch != 0 {
		return l.Lease / renewShare
	}
	return competeWait
}

// renew counts the lease from before the call, so that the store's own count
// ends later than this one.
func (l *Leadership) renew(ctx context.Context, lease int64) {
	before := time.Now()
	alive, err := l.Store.KeepAlive(ctx, lease)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !alive {
		l.lease, l.epoch = 0, 0
		return
	}
	l.until = before.Add(l.Lease - margin)
}

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
	lease, err := l.Store.Grant(ctx, l.Lease)
	if err != nil {
		return
	}
	record := &wire.PlannerRecord{Incarnation: l.Incarnation, Address: l.Address, Token: rand.Text()}
	value, err := proto.Marshal(record)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.Lease-margin)
	defer cancel()
	result, err := l.Store.Put(ctx, store.Safety, &wire.PutRequest{Key: key, Value: value, LeaseId: lease})
	if err != nil || !result.Applied {
		_ = l.Store.Revoke(context.WithoutCancel(ctx), lease)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.epoch, l.until, l.planner = lease, result.Current.GetRevision(), before.Add(l.Lease-margin), record
}

// Epoch returns the epoch held, 0 for none, and whether new orders may be given:
// not after the lease may have lapsed, by this host's own clock.
func (l *Leadership) Epoch() (epoch int64, mayOrder bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.epoch != 0 && time.Now().Before(l.until)
}

// Planner returns the last known planner of the zone; nil before the first.
func (l *Leadership) Planner() *wire.PlannerRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner
}

// Fenced gives up an epoch that a worker has refused. A late refusal of an
// earlier epoch does not touch the present one.
func (l *Leadership) Fenced(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == epoch {
		l.lease, l.epoch = 0, 0
	}
}

// Resign gives the lease back, so that a successor need not wait for its end.
func (l *Leadership) Resign(ctx context.Context) {
	l.mu.Lock()
	lease := l.lease
	l.lease, l.epoch, l.resigned = 0, 0, true
	l.mu.Unlock()
	if lease != 0 {
		_ = l.Store.Revoke(ctx, lease)
	}
}

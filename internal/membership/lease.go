package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// renewalsPerLease is the number of renewals of a lease within its time to live.
	renewalsPerLease = 3
	minLeaseRetry    = 250 * time.Millisecond
	maxLeaseRetry    = 2 * time.Second
)

// KeepLease keeps this host's record in the store until ctx ends. In an outage of the store it
// retries with back-off while the host continues to serve. It returns the error of ctx.
func (m *Membership) KeepLease(ctx context.Context) error {
	for pause := minLeaseRetry; ctx.Err() == nil; {
		wait := m.Lease / renewalsPerLease
		if err := m.renew(ctx); err != nil {
			wait, pause = pause, min(2*pause, maxLeaseRetry)
		} else {
			pause = minLeaseRetry
		}
		sleep(ctx, wait)
	}
	return ctx.Err()
}

// renew renews the lease, or registers this host if there is no lease or it has expired. It
// does nothing after Release.
func (m *Membership) renew(ctx context.Context) error {
	m.mu.Lock()
	leaseID, released := m.leaseID, m.released
	m.mu.Unlock()
	if released {
		return nil
	}
	if leaseID != 0 {
		alive, err := m.Store.KeepAlive(ctx, leaseID)
		if err != nil || alive {
			return err
		}
	}
	return m.register(ctx)
}

// register writes this host's record with a new lease.
func (m *Membership) register(ctx context.Context) error {
	leaseID, err := m.Store.Grant(ctx, m.Lease)
	if err != nil {
		return err
	}
	if err := m.publish(ctx, leaseID); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaseID = leaseID
	return nil
}

// publish writes this host's record, over the revision that the store has if there is one.
func (m *Membership) publish(ctx context.Context, leaseID int64) error {
	key := Prefix + m.Self.GetZone() + "/" + m.Self.GetIncarnation()
	value, err := proto.Marshal(m.record())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.Lease)
	defer cancel()
	for revision := int64(0); ; {
		result, err := m.Store.Put(ctx, store.Safety, &wire.PutRequest{Key: key, Value: value, LeaseId: leaseID, ExpectedRevision: revision})
		if err != nil || result.Applied {
			return err
		}
		revision = result.Current.GetRevision()
	}
}

// Leave publishes that this host is stopping. An error is ignored, because the heartbeats also
// report it to the hosts of the zone.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	leaseID := m.leaseID
	m.mu.Unlock()
	if leaseID != 0 {
		_ = m.publish(ctx, leaseID)
	}
}

// Release revokes the lease, so that other hosts can adopt the work that this host leaves.
// Errors are ignored: the lease then expires on its own.
func (m *Membership) Release(ctx context.Context) {
	m.mu.Lock()
	leaseID := m.leaseID
	m.released = true
	m.mu.Unlock()
	if leaseID != 0 {
		_ = m.Store.Revoke(ctx, leaseID)
	}
}

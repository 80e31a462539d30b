// Package membership keeps track of the hosts and of targets that are leaving. It uses the
// platform's store, the platform's list of hosts, which lags behind, and heartbeats between the
// hosts of a zone.
package membership

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/peer"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Prefix is the key prefix of the records of live hosts in the store.
const Prefix = "host/"

// Membership is one host's view of the other hosts. Set the exported fields before any loop
// is started.
type Membership struct {
	// Self is the record of this host.
	Self  *wire.HostRecord
	Store *store.Store
	List  wire.HostList
	Peers *peer.Peers
	// Lease is the time to live of this host's record in the store.
	Lease time.Duration
	// Heartbeat is the time between two heartbeats to a host, and the timeout of each.
	Heartbeat time.Duration
	// Revision returns the revision of the configuration in force on this host.
	Revision func() int64
	// Departures returns the names of the targets that this host knows to be leaving.
	Departures func() []string
	// OnTargetLeaving is called with the name of a target that another host reports as leaving.
	OnTargetLeaving func(name string)
	// Cordons returns this host's records of cordons, or nil if it does not know them yet. OnCordons
	// receives those of another host.
	Cordons   func() *wire.CordonsView
	OnCordons func(*wire.CordonsView)
	// OnNewerConfiguration is called with a client of a host that has a higher configuration
	// revision.
	OnNewerConfiguration func(ctx context.Context, from wire.Host)
	// Listed is called with each list that was read from the platform.
	Listed func([]*wire.Listed)

	mu sync.Mutex
	// leaseID is the ID of the lease of this host's record; 0 before the first one.
	leaseID int64
	// hosts are the live hosts by incarnation, as read from the store at readAt.
	hosts         map[string]*wire.HostRecord
	readAt        time.Time
	lastHeartbeat map[string]lastHeartbeat
	listed        []*wire.Listed
	leaving       bool
	released      bool
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// record returns this host's record with its current state.
func (m *Membership) record() *wire.HostRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := proto.Clone(m.Self).(*wire.HostRecord)
	out.Leaving = m.leaving
	return out
}

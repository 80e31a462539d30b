// Package membership keeps track of the hosts and of targets that are leaving. It uses the
// platform's store, the platform's list of hosts, which lags behind, and heartbeats between the
// hosts of a zone.
package membership

import (
	"context"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/peer"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// Prefix is the key prefix of the records of live hosts in the store.
	Prefix = "host/"
	// renewalsPerLease is the number of renewals of a lease within its time to live.
	renewalsPerLease = 3
	minLeaseRetry    = 250 * time.Millisecond
	maxLeaseRetry    = 2 * time.Second
	hostsPeriod      = 3 * time.Second
	listPeriod       = time.Second
	listTimeout      = time.Second
)

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

// lastHeartbeat is the last heartbeat from an incarnation.
type lastHeartbeat struct {
	at       time.Time
	record   *wire.HostRecord
	revision int64
}

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

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
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

// record returns this host's record with its current state.
func (m *Membership) record() *wire.HostRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := proto.Clone(m.Self).(*wire.HostRecord)
	out.Leaving = m.leaving
	return out
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

// ReadHosts reads the live hosts from the store every 3 s until ctx ends. It returns the error
// of ctx.
func (m *Membership) ReadHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = m.RefreshHosts(ctx)
		sleep(ctx, hostsPeriod)
	}
	return ctx.Err()
}

// RefreshHosts reads the live hosts from the store once. Records that cannot be decoded are
// ignored. Errors are Unavailable.
func (m *Membership) RefreshHosts(ctx context.Context) error {
	listed, err := m.Store.List(ctx, store.Serving, Prefix)
	if err != nil {
		return err
	}
	hosts := map[string]*wire.HostRecord{}
	for _, entry := range listed.GetEntries() {
		record := &wire.HostRecord{}
		if proto.Unmarshal(entry.GetValue(), record) == nil {
			hosts[record.GetIncarnation()] = record
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts, m.readAt = hosts, time.Now()
	return nil
}

// ReadList reads the platform's list of hosts and targets every second until ctx ends. The
// list lags behind the store. ReadList returns the error of ctx.
func (m *Membership) ReadList(ctx context.Context) error {
	for ctx.Err() == nil {
		m.readList(ctx)
		sleep(ctx, listPeriod)
	}
	return ctx.Err()
}

func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	response, err := m.List.List(ctx, &wire.HostListRequest{})
	if err != nil {
		return
	}
	m.mu.Lock()
	m.listed = response.GetListed()
	m.mu.Unlock()
	m.Listed(response.GetListed())
}

// SendHeartbeats exchanges heartbeats with the other hosts of the zone, once per Heartbeat,
// until ctx ends. It returns the error of ctx.
func (m *Membership) SendHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range m.zonePeers() {
			go m.sendHeartbeat(ctx, address)
		}
		sleep(ctx, m.Heartbeat)
	}
	return ctx.Err()
}

// zonePeers returns the addresses of the other hosts of this zone, from the store and from the
// platform's list.
func (m *Membership) zonePeers() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[string]bool{m.Self.GetAddress(): true}
	var out []netip.AddrPort
	add := func(zone, hostPort string) {
		address, err := netip.ParseAddrPort(hostPort)
		if err == nil && zone == m.Self.GetZone() && !seen[hostPort] {
			seen[hostPort] = true
			out = append(out, address)
		}
	}
	for _, record := range m.hosts {
		add(record.GetZone(), record.GetAddress())
	}
	for _, listed := range m.listed {
		if listed.GetKind() == wire.ListedKind_LISTED_KIND_HOST {
			add(listed.GetZone(), listed.GetAddress())
		}
	}
	return out
}

// sendHeartbeat sends one heartbeat and processes the answer. After a failure it closes the idle
// connections, as the one used may be dead.
func (m *Membership) sendHeartbeat(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	host := m.Peers.Host(address)
	response, err := host.Heartbeat(ctx, &wire.HeartbeatRequest{Sender: m.record(), ConfigurationRevision: m.Revision(), Sightings: m.sightings()})
	if err != nil {
		m.Peers.CloseIdle()
		return
	}
	m.recordHeartbeat(response.GetReceiver(), response.GetConfigurationRevision(), response.GetSightings())
	if response.GetConfigurationRevision() > m.Revision() {
		m.OnNewerConfiguration(ctx, host)
	}
}

// sightings returns the targets that this host reports as leaving.
func (m *Membership) sightings() []*wire.TargetSighting {
	var out []*wire.TargetSighting
	for _, name := range m.Departures() {
		out = append(out, &wire.TargetSighting{Name: name, Leaving: true})
	}
	return out
}

// recordHeartbeat records a heartbeat from another host and passes on the targets that it reports
// as leaving.
func (m *Membership) recordHeartbeat(record *wire.HostRecord, revision int64, sightings []*wire.TargetSighting) {
	m.mu.Lock()
	if m.lastHeartbeat == nil {
		m.lastHeartbeat = map[string]lastHeartbeat{}
	}
	m.lastHeartbeat[record.GetIncarnation()] = lastHeartbeat{at: time.Now(), record: record, revision: revision}
	m.mu.Unlock()
	for _, sighting := range sightings {
		if sighting.GetLeaving() {
			m.OnTargetLeaving(sighting.GetName())
		}
	}
}

// HandleHeartbeat processes another host's heartbeat and returns this host's own.
func (m *Membership) HandleHeartbeat(req *wire.HeartbeatRequest) *wire.HeartbeatResponse {
	if req.GetSender().GetIncarnation() != "" {
		m.recordHeartbeat(req.GetSender(), req.GetConfigurationRevision(), req.GetSightings())
	}
	return &wire.HeartbeatResponse{Receiver: m.record(), ConfigurationRevision: m.Revision(), Sightings: m.sightings()}
}

// Liveness states whether an incarnation is known to be alive.
type Liveness int

// The store deletes a host's record when its lease expires. An incarnation that was not among
// the hosts last read from the store is therefore Dead if they were read within the last 6 s, and
// otherwise Unknown.
const (
	Unknown Liveness = iota
	Alive
	Dead
)

// Liveness reports whether an incarnation is alive, from the hosts last read from the store.
// This host's own incarnation is always Alive.
func (m *Membership) Liveness(incarnation string) Liveness {
	m.mu.Lock()
	defer m.mu.Unlock()
	if incarnation == m.Self.GetIncarnation() {
		return Alive
	}
	if _, ok := m.hosts[incarnation]; ok {
		return Alive
	}
	if m.hosts == nil || time.Since(m.readAt) > 2*hostsPeriod {
		return Unknown
	}
	return Dead
}

// Address returns the last known address of an incarnation, from the store or else from its
// last heartbeat. The second result is false if there is none.
func (m *Membership) Address(incarnation string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok := m.hosts[incarnation]
	if !ok {
		record, ok = m.lastHeartbeat[incarnation].record, m.lastHeartbeat[incarnation].record != nil
	}
	if !ok {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(record.GetAddress())
	return address, err == nil
}

// Hosts returns the hosts last read from the store, sorted by incarnation.
func (m *Membership) Hosts() []*wire.HostRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []*wire.HostRecord{}
	for _, record := range m.hosts {
		out = append(out, record)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetIncarnation() < out[j].GetIncarnation() })
	return out
}

// KnownHosts returns this host, the hosts last read from the store, and those hosts of the
// platform's list that the store does not have.
func (m *Membership) KnownHosts() []*wire.HostRecord {
	out, seen := []*wire.HostRecord{m.record()}, map[string]bool{m.Self.GetAddress(): true}
	for _, record := range m.Hosts() {
		if !seen[record.GetAddress()] {
			seen[record.GetAddress()] = true
			out = append(out, record)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, listed := range m.listed {
		if listed.GetKind() == wire.ListedKind_LISTED_KIND_HOST && !seen[listed.GetAddress()] {
			out = append(out, &wire.HostRecord{Name: listed.GetName(), Zone: listed.GetZone(), Address: listed.GetAddress(), Leaving: listed.GetLeaving()})
		}
	}
	return out
}

// ZoneHosts returns the incarnations of this zone that the store lists as alive and that are
// not leaving.
func (m *Membership) ZoneHosts() []string {
	var out []string
	for _, record := range m.Hosts() {
		if record.GetZone() == m.Self.GetZone() && !record.GetLeaving() {
			out = append(out, record.GetIncarnation())
		}
	}
	return out
}

// HostName returns the host's name from an incarnation, which is the part before "~".
func HostName(incarnation string) string {
	name, _, _ := strings.Cut(incarnation, "~")
	return name
}

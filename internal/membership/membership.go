// Package membership knows the hosts and targets: from the platform's store,
// its lagging list, heartbeats inside the zone and what targets say.
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
	// Prefix is where the store holds the records of live hosts.
	Prefix         = "host/"
	leaseShare     = 3
	leaseRetry     = 250 * time.Millisecond
	leaseRetryLast = 2 * time.Second
	hostsPeriod    = 3 * time.Second
	listPeriod     = time.Second
	listTimeout    = time.Second
)

// Membership is one host's view of the others. Set the exported fields before Run.
type Membership struct {
	Self      *wire.HostRecord
	Store     *store.Store
	List      wire.HostList
	Peers     *peer.Peers
	Lease     time.Duration
	Heartbeat time.Duration
	// Revision returns the configuration revision in force here.
	Revision func() int64
	// Departures returns the targets that this host knows to be leaving.
	Departures func() []string
	// Departed takes a target that a peer saw leaving.
	Departed func(name string)
	// Behind is called when a peer holds a higher configuration revision.
	Behind func(ctx context.Context, from wire.Host)
	// Listed takes each new platform list.
	Listed func([]*wire.Listed)

	mu       sync.Mutex
	lease    int64
	hosts    map[string]*wire.HostRecord
	readAt   time.Time
	heard    map[string]heard
	listed   []*wire.Listed
	leaving  bool
	released bool
}

type heard struct {
	at       time.Time
	record   *wire.HostRecord
	revision int64
}

// KeepLease holds this host's record in the store until ctx ends. A store outage
// is waited out: the host goes on serving.
func (m *Membership) KeepLease(ctx context.Context) error {
	for pause := leaseRetry; ctx.Err() == nil; {
		wait := m.Lease / leaseShare
		if err := m.renew(ctx); err != nil {
			wait, pause = pause, min(2*pause, leaseRetryLast)
		} else {
			pause = leaseRetry
		}
		rest(ctx, wait)
	}
	return ctx.Err()
}

func rest(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (m *Membership) renew(ctx context.Context) error {
	m.mu.Lock()
	lease, released := m.lease, m.released
	m.mu.Unlock()
	if released {
		return nil
	}
	if lease != 0 {
		alive, err := m.Store.KeepAlive(ctx, lease)
		if err != nil || alive {
			return err
		}
	}
	return m.register(ctx)
}

func (m *Membership) register(ctx context.Context) error {
	lease, err := m.Store.Grant(ctx, m.Lease)
	if err != nil {
		return err
	}
	if err := m.publish(ctx, lease); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = lease
	return nil
}

func (m *Membership) publish(ctx context.Context, lease int64) error {
	key := Prefix + m.Self.GetZone() + "/" + m.Self.GetIncarnation()
	value, err := proto.Marshal(m.record())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.Lease)
	defer cancel()
	for revision := int64(0); ; {
		result, err := m.Store.Put(ctx, store.Safety, &wire.PutRequest{Key: key, Value: value, LeaseId: lease, ExpectedRevision: revision})
		if err != nil || result.Applied {
			return err
		}
		revision = result.Current.GetRevision()
	}
}

func (m *Membership) record() *wire.HostRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := proto.Clone(m.Self).(*wire.HostRecord)
	out.Leaving = m.leaving
	return out
}

// Leave tells the others that this host is stopping.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	lease := m.lease
	m.mu.Unlock()
	if lease != 0 {
		_ = m.publish(ctx, lease)
	}
}

// Release gives the lease back, after which others adopt what is left.
func (m *Membership) Release(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.released = true
	m.mu.Unlock()
	if lease != 0 {
		_ = m.Store.Revoke(ctx, lease)
	}
}

// ReadHosts reads the live hosts from the store until ctx ends.
func (m *Membership) ReadHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = m.RefreshHosts(ctx)
		rest(ctx, hostsPeriod)
	}
	return ctx.Err()
}

// RefreshHosts reads the live hosts once. Errors are Unavailable.
func (m *Membership) RefreshHosts(ctx context.Context) error {
	listed, err := m.Store.List(ctx, store.Serving, Prefix)
	if err != nil {
		return err
	}
	hosts := map[string]*wire.HostRecord{}
	for _, found := range listed.GetEntries() {
		record := &wire.HostRecord{}
		if proto.Unmarshal(found.GetValue(), record) == nil {
			hosts[record.GetIncarnation()] = record
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts, m.readAt = hosts, time.Now()
	return nil
}

// ReadList reads the platform's lagging list until ctx ends.
func (m *Membership) ReadList(ctx context.Context) error {
	for ctx.Err() == nil {
		m.readList(ctx)
		rest(ctx, listPeriod)
	}
	return ctx.Err()
}

func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	answer, err := m.List.List(ctx, &wire.HostListRequest{})
	if err != nil {
		return
	}
	m.mu.Lock()
	m.listed = answer.GetListed()
	m.mu.Unlock()
	m.Listed(answer.GetListed())
}

// SendHeartbeats exchanges heartbeats with the hosts of the zone until ctx ends.
func (m *Membership) SendHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range m.neighbours() {
			go m.beat(ctx, address)
		}
		rest(ctx, m.Heartbeat)
	}
	return ctx.Err()
}

func (m *Membership) neighbours() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[string]bool{m.Self.GetAddress(): true}
	var out []netip.AddrPort
	add := func(zone, text string) {
		address, err := netip.ParseAddrPort(text)
		if err == nil && zone == m.Self.GetZone() && !seen[text] {
			seen[text] = true
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

func (m *Membership) beat(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	host := m.Peers.Host(address)
	answer, err := host.Heartbeat(ctx, &wire.HeartbeatRequest{Sender: m.record(), ConfigurationRevision: m.Revision(), Sightings: m.sightings()})
	if err != nil {
		m.Peers.Retire()
		return
	}
	m.hear(answer.GetReceiver(), answer.GetConfigurationRevision(), answer.GetSightings())
	if answer.GetConfigurationRevision() > m.Revision() {
		m.Behind(ctx, host)
	}
}

func (m *Membership) sightings() []*wire.TargetSighting {
	var out []*wire.TargetSighting
	for _, name := range m.Departures() {
		out = append(out, &wire.TargetSighting{Name: name, Leaving: true})
	}
	return out
}

func (m *Membership) hear(record *wire.HostRecord, revision int64, sightings []*wire.TargetSighting) {
	m.mu.Lock()
	if m.heard == nil {
		m.heard = map[string]heard{}
	}
	m.heard[record.GetIncarnation()] = heard{at: time.Now(), record: record, revision: revision}
	m.mu.Unlock()
	for _, sighting := range sightings {
		if sighting.GetLeaving() {
			m.Departed(sighting.GetName())
		}
	}
}

// Answer takes a peer's heartbeat and returns this host's own.
func (m *Membership) Answer(req *wire.HeartbeatRequest) *wire.HeartbeatResponse {
	if req.GetSender().GetIncarnation() != "" {
		m.hear(req.GetSender(), req.GetConfigurationRevision(), req.GetSightings())
	}
	return &wire.HeartbeatResponse{Receiver: m.record(), ConfigurationRevision: m.Revision(), Sightings: m.sightings()}
}

// Life is what is known of an incarnation.
type Life int

// An incarnation is dead only if the store was read after its lease had lapsed.
const (
	Unknown Life = iota
	Alive
	Dead
)

// Life reports whether an incarnation lives, from the last reading of the store.
func (m *Membership) Life(incarnation string) Life {
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

// Address returns where an incarnation answers, as last known.
func (m *Membership) Address(incarnation string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok := m.hosts[incarnation]
	if !ok {
		record, ok = m.heard[incarnation].record, m.heard[incarnation].record != nil
	}
	if !ok {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(record.GetAddress())
	return address, err == nil
}

// Hosts returns every host that is known, by name.
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

// Known returns this host, the hosts of the store and, where the store does not
// show them, those of the platform's lagging list.
func (m *Membership) Known() []*wire.HostRecord {
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

// ZoneHosts returns the incarnations of this zone that are alive and not leaving.
func (m *Membership) ZoneHosts() []string {
	var out []string
	for _, record := range m.Hosts() {
		if record.GetZone() == m.Self.GetZone() && !record.GetLeaving() {
			out = append(out, record.GetIncarnation())
		}
	}
	return out
}

// Name returns the host name of an incarnation.
func Name(incarnation string) string {
	name, _, _ := strings.Cut(incarnation, "~")
	return name
}

package membership

import (
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

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

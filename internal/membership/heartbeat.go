package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/panics"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// lastHeartbeat is the last heartbeat from an incarnation.
type lastHeartbeat struct {
	at       time.Time
	record   *wire.HostRecord
	revision int64
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
	beat := func() (*wire.HeartbeatResponse, error) {
		return host.Heartbeat(ctx, &wire.HeartbeatRequest{Sender: m.record(), ConfigurationRevision: m.Revision(), Sightings: m.sightings(), Cordons: m.Cordons()})
	}
	response, err := panics.Guard("membership: heartbeat", beat)
	if err != nil {
		m.Peers.CloseIdle()
		return
	}
	m.OnCordons(response.GetCordons())
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
		m.OnCordons(req.GetCordons())
		m.recordHeartbeat(req.GetSender(), req.GetConfigurationRevision(), req.GetSightings())
	}
	return &wire.HeartbeatResponse{Receiver: m.record(), ConfigurationRevision: m.Revision(), Sightings: m.sightings(), Cordons: m.Cordons()}
}

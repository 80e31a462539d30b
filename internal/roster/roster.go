// Package roster registers this host in the platform's store and reads the list of the other
// hosts from there.
package roster

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	prefix = "host/"
	// lease is long because the entry of a host that has stopped costs another host only one
	// failed call.
	lease       = 15 * time.Second
	maxPeriod   = 4 * time.Second
	firstPeriod = 500 * time.Millisecond
)

// Roster keeps this host's entry in the store and the list of the other hosts. Set the
// exported fields before Run.
type Roster struct {
	Store keyvalue.Service
	Name  string
	Zone  string
	// Address is the address at which other hosts call this host.
	Address netip.AddrPort
	Log     log.Interface

	// lease is the ID of the store's lease for this host's entry; 0 if the entry has to be
	// written.
	lease int64
	mu    sync.Mutex
	peers []netip.AddrPort
	// inOtherZone is true for the peers of other availability zones.
	inOtherZone map[netip.AddrPort]bool
	releases    releases
}

// Peers returns the addresses of the other hosts, as last read from the store.
func (r *Roster) Peers() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]netip.AddrPort(nil), r.peers...)
}

// InOtherZone reports whether a host is known to be in another availability zone.
func (r *Roster) InOtherZone(address netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inOtherZone[address]
}

// Run renews this host's entry and reads the list, at once and then at intervals that grow
// from 0.5 s to 4 s, until ctx ends. It returns the error of ctx.
func (r *Roster) Run(ctx context.Context) error {
	wait := firstPeriod
	for {
		if err := r.register(ctx); err != nil {
			r.Log.WithError(err).Info("roster: this host's entry could not be written or renewed; it is tried again within 4 s")
		}
		if err := r.refresh(ctx); err != nil {
			r.Log.WithError(err).Info("roster: the list of hosts could not be read; it is tried again within 4 s")
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		wait = min(2*wait, maxPeriod)
	}
}

// register renews the lease of this host's entry. If there is no lease or it has expired, it
// writes the entry with a new lease.
func (r *Roster) register(ctx context.Context) error {
	if r.lease != 0 {
		alive, err := r.Store.KeepAlive(ctx, r.lease)
		if err != nil || alive {
			return err
		}
	}
	granted, err := r.Store.Grant(ctx, lease)
	if err != nil {
		return err
	}
	value, err := records.Encode(&wire.HostRecord{Name: r.Name, Zone: r.Zone, Address: r.Address.String(), OrganisationMarks: true})
	if err != nil {
		return err
	}
	_, err = r.Store.Commit(ctx, keyvalue.Txn{Puts: []keyvalue.Put{{Key: prefix + r.Name, Value: value, Lease: granted}}})
	if err == nil {
		r.lease = granted
	}
	return err
}

// refresh reads the list of hosts. It skips this host and entries without a valid address. If
// this host's entry is missing, the next call of register writes it: an earlier write that was
// carried out late may have put it under a lease that has ended since.
func (r *Roster) refresh(ctx context.Context) error {
	items, _, err := r.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(items, func(item keyvalue.Item) bool { return item.Key == prefix+r.Name }) {
		r.lease = 0
	}
	var peers []netip.AddrPort
	inOtherZone := map[netip.AddrPort]bool{}
	allCurrent := true
	for _, item := range items {
		record := &wire.HostRecord{}
		if err := records.Decode(item.Value, record); err != nil {
			r.Log.WithError(err).WithField("key", item.Key).Warn("roster: a host's entry could not be decoded and is ignored")
			allCurrent = false
			continue
		}
		address, err := netip.ParseAddrPort(record.GetAddress())
		if err != nil || address == r.Address {
			continue
		}
		allCurrent = allCurrent && record.GetOrganisationMarks()
		peers = append(peers, address)
		inOtherZone[address] = record.GetZone() != r.Zone
	}
	r.mu.Lock()
	r.peers, r.inOtherZone = peers, inOtherZone
	r.mu.Unlock()
	return r.noteReleases(ctx, allCurrent)
}

// Package roster keeps the list of the hosts in the platform's store, so that hosts
// find each other.
package roster

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/ledger"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	prefix = "host/"
	// lease is long, as a host that is listed in vain costs one try.
	lease       = 15 * time.Second
	period      = 4 * time.Second
	firstPeriod = 500 * time.Millisecond
)

// Roster lists this host and reads the list. Set the fields before Run.
type Roster struct {
	Store   keyvalue.Service
	Name    string
	Zone    string
	Address netip.AddrPort
	Log     log.Interface

	lease int64
	mu    sync.Mutex
	peers []netip.AddrPort
	// distant are the peers of other availability zones.
	distant map[netip.AddrPort]bool
}

// Peers returns the addresses of the other hosts, as last known.
func (r *Roster) Peers() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]netip.AddrPort(nil), r.peers...)
}

// Distant reports whether a host is known to be in another availability zone.
func (r *Roster) Distant(address netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.distant[address]
}

// Run keeps the list until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	wait := firstPeriod
	for {
		if err := r.list(ctx); err != nil {
			r.Log.WithError(err).Info("roster: this host is not listed")
		}
		if err := r.read(ctx); err != nil {
			r.Log.WithError(err).Info("roster: the list was not read")
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		wait = min(2*wait, period)
	}
}

// list renews this host's entry, or writes it anew when its lease has ended.
func (r *Roster) list(ctx context.Context) error {
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
	value, err := ledger.Write(&wire.HostRecord{Name: r.Name, Zone: r.Zone, Address: r.Address.String()})
	if err != nil {
		return err
	}
	_, err = r.Store.Commit(ctx, keyvalue.Txn{Puts: []keyvalue.Put{{Key: prefix + r.Name, Value: value, Lease: granted}}})
	if err == nil {
		r.lease = granted
	}
	return err
}

func (r *Roster) read(ctx context.Context) error {
	items, _, err := r.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	var peers []netip.AddrPort
	distant := map[netip.AddrPort]bool{}
	for _, item := range items {
		record := &wire.HostRecord{}
		if err := ledger.Read(item.Value, record); err != nil {
			r.Log.WithError(err).WithField("key", item.Key).Warn("roster: an entry is ignored")
			continue
		}
		address, err := netip.ParseAddrPort(record.GetAddress())
		if err != nil || address == r.Address {
			continue
		}
		peers = append(peers, address)
		distant[address] = record.GetZone() != r.Zone
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers, r.distant = peers, distant
	return nil
}

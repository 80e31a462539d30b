// Package zones keeps track of which availability zones are cordoned. The records are in the store. While a
// host cannot read it, the host also takes them from its peers, so that it knows them when it starts during
// an outage of the store. Peers are not authenticated: the next read of the store replaces what they say.
package zones

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	prefix = "cordon/"
	// watchTimeout bounds how long a connection that went silent hides changes.
	watchTimeout  = 5 * time.Second
	minWatchRetry = 500 * time.Millisecond
	maxWatchRetry = 5 * time.Second
	// maxPeerRecords and maxPeerRecordBytes bound the number of records that a host keeps from its peers, and the size of each.
	maxPeerRecords     = 64
	maxPeerRecordBytes = 1024
	writeTimeout       = 10 * time.Second
)

// Zones holds what one host knows of the cordons. Set the exported fields before use.
type Zones struct {
	Store *store.Store
	// OnChange is called after a cordon has begun or ended; it may be nil.
	OnChange func()
	// Exists, if set, reports whether a zone is known here; what peers say of other zones is ignored.
	Exists func(zone string) bool
	Log    log.Interface

	// merging is held while records are put in force, so that OnChange is called for one change after
	// the other.
	merging sync.Mutex
	mu      sync.Mutex
	// known is closed when the cordons were first read from the store or received from a peer.
	known   chan struct{}
	isKnown bool
	// stored holds the newest record of each zone that was read from the store, and fromPeers those of peers since
	// the store was last read.
	stored, fromPeers map[string]*wire.CordonRecord
	// inContact is set while the last read of the store succeeded.
	inContact bool
}

// Known returns a channel that is closed once the cordons are known, from the store or from a peer.
func (z *Zones) Known() <-chan struct{} {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.prepare()
	return z.known
}

// prepare creates the channel and the maps if they are missing. The lock is held.
func (z *Zones) prepare() {
	if z.known == nil {
		z.known, z.stored, z.fromPeers = make(chan struct{}), map[string]*wire.CordonRecord{}, map[string]*wire.CordonRecord{}
	}
}

// record returns the newest known record of a zone, or nil. The lock is held.
func (z *Zones) record(zone string) *wire.CordonRecord {
	if record := z.fromPeers[zone]; record.GetRevision() > z.stored[zone].GetRevision() {
		return record
	}
	return z.stored[zone]
}

// View returns the records in the order of the zones, also those of lifted cordons; nil until they are
// known.
func (z *Zones) View() *wire.CordonsView {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.isKnown {
		return nil
	}
	return &wire.CordonsView{Cordons: z.sorted()}
}

// sorted returns the records in the order of the zones. The lock is held.
func (z *Zones) sorted() []*wire.CordonRecord {
	all := maps.Clone(z.stored)
	for zone := range z.fromPeers {
		all[zone] = z.record(zone)
	}
	out := make([]*wire.CordonRecord, 0, len(all))
	for _, zone := range slices.Sorted(maps.Keys(all)) {
		out = append(out, all[zone])
	}
	return out
}

// Cordons returns the records of the cordoned zones in order.
func (z *Zones) Cordons() []*wire.CordonRecord {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.DeleteFunc(z.sorted(), (*wire.CordonRecord).GetLifted)
}

// Cordon returns the record of a zone's cordon, or nil if the zone is not cordoned.
func (z *Zones) Cordon(zone string) *wire.CordonRecord {
	z.mu.Lock()
	defer z.mu.Unlock()
	if record := z.record(zone); record != nil && !record.GetLifted() {
		return record
	}
	return nil
}

// Run watches the store for changes until ctx ends and returns the error of ctx. During an outage of the
// store the known cordons stay, and a watch is retried after 0.5 s to 5 s.
func (z *Zones) Run(ctx context.Context) error {
	retryDelay, after := minWatchRetry, int64(-1)
	for ctx.Err() == nil {
		changes, err := z.follow(ctx, after)
		if err == nil {
			z.mergeEntries(changes.GetEntries(), true)
			z.markKnown()
			retryDelay, after = minWatchRetry, max(after, changes.GetRevision())
			continue
		}
		z.lostContact()
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
		retryDelay = min(2*retryDelay, maxWatchRetry)
	}
	return ctx.Err()
}

// follow waits up to 5 s for records that were written after a store revision. With after below 0 it reads
// all records.
func (z *Zones) follow(ctx context.Context, after int64) (*wire.ListResponse, error) {
	if after < 0 {
		return z.Store.List(ctx, store.Serving, prefix)
	}
	return z.Store.Watch(ctx, prefix, after, watchTimeout)
}

// lostContact records that the store could not be read.
func (z *Zones) lostContact() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.inContact = false
}

// mergeEntries merges records from the store. If they are all the changes to the records that are known
// here, the records of peers are dropped. One that cannot be decoded, or is of another zone than its
// key, is logged and ignored.
func (z *Zones) mergeEntries(entries []*wire.Entry, all bool) {
	var records []*wire.CordonRecord
	for _, entry := range entries {
		record := &wire.CordonRecord{}
		if err := proto.Unmarshal(entry.GetValue(), record); err != nil || prefix+record.GetZone() != entry.GetKey() {
			z.Log.WithFields(log.Fields{"key": entry.GetKey(), "revision": entry.GetRevision(), "zone": record.GetZone(), "cause": err}).Warn("zones: a malformed record is ignored")
			continue
		}
		record.Revision = entry.GetRevision()
		records = append(records, record)
	}
	z.change(func() {
		if all {
			z.inContact = true
			clear(z.fromPeers)
		}
		for _, record := range records {
			if record.GetRevision() > z.stored[record.GetZone()].GetRevision() {
				z.stored[record.GetZone()] = record
			}
		}
	})
}

// MergeView puts the records of a peer in force that are newer than the known ones, unless this host can
// read the store itself. It ignores nil, which a peer sends that does not know them, and records that are too
// large, too many, or of zones that do not exist.
func (z *Zones) MergeView(view *wire.CordonsView) {
	if view == nil {
		return
	}
	z.change(func() {
		if z.inContact {
			return
		}
		for _, record := range view.GetCordons() {
			zone := record.GetZone()
			_, replaces := z.fromPeers[zone]
			switch {
			case record.GetRevision() <= z.record(zone).GetRevision(), proto.Size(record) > maxPeerRecordBytes, !replaces && len(z.fromPeers) >= maxPeerRecords:
			case z.Exists != nil && !z.Exists(zone):
			default:
				z.fromPeers[zone] = record
			}
		}
	})
	z.markKnown()
}

// change calls apply with the lock held, and logs and reports the cordons that begin and end by it.
func (z *Zones) change(apply func()) {
	z.merging.Lock()
	defer z.merging.Unlock()
	z.mu.Lock()
	z.prepare()
	before := map[string]bool{}
	for _, record := range z.sorted() {
		before[record.GetZone()] = !record.GetLifted()
	}
	apply()
	changed := false
	for _, record := range z.sorted() {
		if cordoned := !record.GetLifted(); cordoned != before[record.GetZone()] {
			changed = true
			event := "zones: zone cordoned"
			if !cordoned {
				event = "zones: zone uncordoned"
			}
			z.Log.WithFields(log.Fields{"zone": record.GetZone(), "operator": record.GetOperator(), "at": record.GetAt().AsTime(), "revision": record.GetRevision()}).Info(event)
		}
		delete(before, record.GetZone())
	}
	for zone, cordoned := range before {
		if cordoned {
			changed = true
			z.Log.WithFields(log.Fields{"zone": zone, "cause": "the store has no record of the cordon"}).Info("zones: zone uncordoned")
		}
	}
	z.mu.Unlock()
	if changed && z.OnChange != nil {
		z.OnChange()
	}
}

// markKnown records that the cordons are known.
func (z *Zones) markKnown() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.prepare()
	if !z.isKnown {
		z.isKnown = true
		close(z.known)
	}
}

// Request writes that an operator asks for the cordon of a zone or lifts it. It returns the record that is
// in force and whether it changed. Errors are those of the store.
func (z *Zones) Request(ctx context.Context, req *wire.CordonRequest) (*wire.CordonResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := prefix + req.GetZone()
	next := &wire.CordonRecord{Zone: req.GetZone(), Operator: req.GetOperator(), At: timestamppb.Now(), Lifted: req.GetLift()}
	value, err := proto.Marshal(next)
	if err != nil {
		return nil, errkind.Invalid.New("write the zone and the operator in UTF-8", "Zones.Request: the record cannot be encoded: %v", err)
	}
	for {
		found, err := z.Store.Get(ctx, store.Serving, key)
		if err != nil {
			return nil, err
		}
		z.mergeFound(found)
		if current := z.Cordon(req.GetZone()); (current == nil) == req.GetLift() {
			return &wire.CordonResponse{Cordon: current}, nil
		}
		result, err := z.Store.Put(ctx, store.Serving, &wire.PutRequest{Key: key, Value: value, ExpectedRevision: found.GetRevision()})
		if err != nil {
			return nil, err
		}
		if result.Applied {
			z.mergeFound(result.Current)
			next.Revision = result.Current.GetRevision()
			return &wire.CordonResponse{Cordon: next, Changed: true}, nil
		}
	}
}

// mergeFound merges an entry unless its key is absent.
func (z *Zones) mergeFound(found *wire.Entry) {
	if found.GetRevision() != 0 {
		z.mergeEntries([]*wire.Entry{found}, false)
	}
}

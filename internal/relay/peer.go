package relay

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// peer is the store as another host reaches it.
type peer struct {
	client  wire.StoreRelay
	distant bool
}

// alive reports whether the host answers at all, be it with a refusal.
func (p *peer) alive(ctx context.Context) bool {
	_, err := p.client.Lease(ctx, &wire.RelayLease{})
	return err == nil || ownAnswer(err)
}

// ownAnswer reports whether an error is the answer of the host itself.
func ownAnswer(err error) bool {
	var typed twirp.Error
	return errors.As(err, &typed) && (typed.Code() == twirp.Unavailable || typed.Code() == twirp.Unknown) && typed.Meta("http_error_from_intermediary") == ""
}

// said turns the answer of a peer into an error of this host.
func said(err error) error {
	var typed twirp.Error
	if errors.As(err, &typed) && typed.Code() == twirp.Unavailable && ownAnswer(err) {
		return fault.Unavailable.New(remedy, "relay.peer: %v", err)
	}
	return fault.Ambiguous.New(remedy, "relay.peer: %v", err)
}

func (p *peer) read(ctx context.Context, request *wire.RelayRead) (*wire.RelayItems, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := p.client.Read(ctx, request)
	if err != nil {
		// A read has no effect, so another peer may be asked.
		return nil, fault.Unavailable.New(remedy, "relay.peer: %v", err)
	}
	return found, nil
}

func (p *peer) Get(ctx context.Context, key string) (*keyvalue.Item, error) {
	return first(p.read(ctx, &wire.RelayRead{Key: key}))
}

func (p *peer) GetStale(ctx context.Context, key string) (*keyvalue.Item, error) {
	return first(p.read(ctx, &wire.RelayRead{Key: key, Stale: true}))
}

func first(found *wire.RelayItems, err error) (*keyvalue.Item, error) {
	if err != nil || len(found.GetItems()) == 0 {
		return nil, err
	}
	return &fromWire(found.GetItems())[0], nil
}

func (p *peer) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	found, err := p.read(ctx, &wire.RelayRead{Key: prefix, Prefix: true})
	return fromWire(found.GetItems()), found.GetRevision(), err
}

func (p *peer) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	found, err := p.client.Watch(ctx, &wire.RelayWatch{Prefix: prefix, After: after, Wait: durationpb.New(wait)})
	if err != nil {
		return keyvalue.Events{}, fault.Unavailable.New(remedy, "relay.peer: %v", err)
	}
	return keyvalue.Events{Items: fromWire(found.GetItems()), Revision: found.GetRevision(), Compacted: found.GetCompacted()}, nil
}

func (p *peer) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.RelayTxn{Deletes: txn.Deletes}
	for _, expect := range txn.Expect {
		request.Expect = append(request.Expect, &wire.RelayItem{Key: expect.Key, Revision: expect.Revision})
	}
	for _, put := range txn.Puts {
		request.Puts = append(request.Puts, &wire.RelayPut{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	found, err := p.client.Commit(ctx, request)
	if err != nil {
		return keyvalue.TxnResult{}, said(err)
	}
	return keyvalue.TxnResult{Applied: found.GetApplied(), Revision: found.GetRevision(), Current: fromWire(found.GetCurrent())}, nil
}

func (p *peer) lease(ctx context.Context, request *wire.RelayLease) (*wire.RelayLease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := p.client.Lease(ctx, request)
	if err != nil {
		return nil, said(err)
	}
	return found, nil
}

func (p *peer) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	found, err := p.lease(ctx, &wire.RelayLease{Action: wire.LeaseAction_LEASE_ACTION_GRANT, Ttl: durationpb.New(ttl)})
	return found.GetLease(), err
}

func (p *peer) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	found, err := p.lease(ctx, &wire.RelayLease{Action: wire.LeaseAction_LEASE_ACTION_KEEP, Lease: lease})
	return found.GetAlive(), err
}

func (p *peer) Revoke(ctx context.Context, lease int64) error {
	_, err := p.lease(ctx, &wire.RelayLease{Action: wire.LeaseAction_LEASE_ACTION_END, Lease: lease})
	return err
}

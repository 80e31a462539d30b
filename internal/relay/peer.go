package relay

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/panics"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// peer is the store as reached through another host.
type peer struct {
	client wire.StoreRelay
	// otherZone is set if the host is in another availability zone.
	otherZone bool
}

// alive reports whether the host answers a call. An error that the host itself returns counts
// as an answer.
func (p *peer) alive(ctx context.Context) bool {
	_, err := panics.Guard("relay: probe of a host", func() (*wire.RelayLease, error) { return p.client.Lease(ctx, &wire.RelayLease{}) })
	return err == nil || answeredByPeer(err)
}

// answeredByPeer reports whether an error was returned by the peer itself, and not by an
// intermediary or the network.
func answeredByPeer(err error) bool {
	var typed twirp.Error
	return errors.As(err, &typed) && (typed.Code() == twirp.Unavailable || typed.Code() == twirp.Unknown) && typed.Meta("http_error_from_intermediary") == ""
}

// toFault converts the error of a call through a peer. The result is Unavailable if the peer
// reported that nothing was done, and Ambiguous otherwise.
func toFault(err error) error {
	var typed twirp.Error
	if errors.As(err, &typed) && typed.Code() == twirp.Unavailable && answeredByPeer(err) {
		return errkind.Unavailable.New(remedy, "relay.toFault: another host could not make the call either: %v", err)
	}
	return errkind.Ambiguous.New(remedy, "relay.toFault: the call through another host may have taken effect: %v", err)
}

func (p *peer) read(ctx context.Context, request *wire.RelayRead) (*wire.RelayItems, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := p.client.Read(ctx, request)
	if err != nil {
		// A read has no effect, so it may be retried through another peer.
		return nil, errkind.Unavailable.New(remedy, "peer.read: %v", err)
	}
	return response, nil
}

func (p *peer) Get(ctx context.Context, key string) (*keyvalue.Item, error) {
	return firstItem(p.read(ctx, &wire.RelayRead{Key: key}))
}

func (p *peer) GetStale(ctx context.Context, key string) (*keyvalue.Item, error) {
	return firstItem(p.read(ctx, &wire.RelayRead{Key: key, Stale: true}))
}

// firstItem returns the only item of a read of one key; nil if the key is absent.
func firstItem(response *wire.RelayItems, err error) (*keyvalue.Item, error) {
	if err != nil || len(response.GetItems()) == 0 {
		return nil, err
	}
	return &fromWire(response.GetItems())[0], nil
}

func (p *peer) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	response, err := p.read(ctx, &wire.RelayRead{Key: prefix, Prefix: true})
	return fromWire(response.GetItems()), response.GetRevision(), err
}

func (p *peer) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	response, err := p.client.Watch(ctx, &wire.RelayWatch{Prefix: prefix, After: after, Wait: durationpb.New(wait)})
	if err != nil {
		return keyvalue.Events{}, errkind.Unavailable.New(remedy, "peer.Watch: %v", err)
	}
	return keyvalue.Events{Items: fromWire(response.GetItems()), Revision: response.GetRevision(), Compacted: response.GetCompacted()}, nil
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
	response, err := p.client.Commit(ctx, request)
	if err != nil {
		return keyvalue.TxnResult{}, toFault(err)
	}
	return keyvalue.TxnResult{Applied: response.GetApplied(), Revision: response.GetRevision(), Current: fromWire(response.GetCurrent())}, nil
}

func (p *peer) lease(ctx context.Context, request *wire.RelayLease) (*wire.RelayLease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := p.client.Lease(ctx, request)
	if err != nil {
		return nil, toFault(err)
	}
	return response, nil
}

func (p *peer) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	response, err := p.lease(ctx, &wire.RelayLease{Action: wire.LeaseAction_LEASE_ACTION_GRANT, Ttl: durationpb.New(ttl)})
	return response.GetLease(), err
}

func (p *peer) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	response, err := p.lease(ctx, &wire.RelayLease{Action: wire.LeaseAction_LEASE_ACTION_KEEP, Lease: lease})
	return response.GetAlive(), err
}

func (p *peer) Revoke(ctx context.Context, lease int64) error {
	_, err := p.lease(ctx, &wire.RelayLease{Action: wire.LeaseAction_LEASE_ACTION_END, Lease: lease})
	return err
}

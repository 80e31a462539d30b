package relay

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Handler serves the calls of other hosts. They go to the store directly, never through
// a third host.
func (r *Relay) Handler() http.Handler { return wire.NewStoreRelayServer(&server{relay: r}) }

type server struct {
	relay *Relay
}

// answer turns an error into what a peer is told.
func answer(err error) error {
	if fault.Unavailable.Is(err) {
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return twirp.NewError(twirp.Unknown, err.Error())
}

// ready refuses at once what this host could not do for itself either.
func (s *server) ready() error {
	if s.relay.Failing() {
		return twirp.NewError(twirp.Unavailable, "the store does not answer this host either")
	}
	return nil
}

// Read reads a key or a prefix.
func (s *server) Read(ctx context.Context, request *wire.RelayRead) (*wire.RelayItems, error) {
	if err := s.ready(); err != nil {
		return nil, err
	}
	if request.GetPrefix() {
		items, revision, err := s.relay.Direct.List(ctx, request.GetKey())
		if err != nil {
			return nil, answer(err)
		}
		return &wire.RelayItems{Items: toWire(items), Revision: revision}, nil
	}
	get := s.relay.Direct.Get
	if request.GetStale() {
		get = s.relay.Direct.GetStale
	}
	item, err := get(ctx, request.GetKey())
	if err != nil {
		return nil, answer(err)
	}
	found := &wire.RelayItems{}
	if item != nil {
		found.Items = toWire([]keyvalue.Item{*item})
	}
	return found, nil
}

// Watch waits for changes.
func (s *server) Watch(ctx context.Context, request *wire.RelayWatch) (*wire.RelayItems, error) {
	if err := s.ready(); err != nil {
		return nil, err
	}
	events, err := s.relay.Direct.Watch(ctx, request.GetPrefix(), request.GetAfter(), request.GetWait().AsDuration())
	if err != nil {
		return nil, answer(err)
	}
	return &wire.RelayItems{Items: toWire(events.Items), Revision: events.Revision, Compacted: events.Compacted}, nil
}

// Commit makes one transaction.
func (s *server) Commit(ctx context.Context, request *wire.RelayTxn) (*wire.RelayResult, error) {
	if err := s.ready(); err != nil {
		return nil, err
	}
	txn := keyvalue.Txn{Deletes: request.GetDeletes()}
	for _, expect := range request.GetExpect() {
		txn.Expect = append(txn.Expect, keyvalue.Expectation{Key: expect.GetKey(), Revision: expect.GetRevision()})
	}
	for _, put := range request.GetPuts() {
		txn.Puts = append(txn.Puts, keyvalue.Put{Key: put.GetKey(), Value: put.GetValue(), Lease: put.GetLease()})
	}
	result, err := s.relay.Direct.Commit(ctx, txn)
	if err != nil {
		return nil, answer(err)
	}
	return &wire.RelayResult{Applied: result.Applied, Revision: result.Revision, Current: toWire(result.Current)}, nil
}

// Lease opens, prolongs or ends a lease.
func (s *server) Lease(ctx context.Context, request *wire.RelayLease) (*wire.RelayLease, error) {
	if err := s.ready(); err != nil {
		return nil, err
	}
	found := &wire.RelayLease{Lease: request.GetLease(), Ttl: durationpb.New(request.GetTtl().AsDuration())}
	var err error
	switch request.GetAction() {
	case wire.LeaseAction_LEASE_ACTION_GRANT:
		found.Lease, err = s.relay.Direct.Grant(ctx, request.GetTtl().AsDuration())
	case wire.LeaseAction_LEASE_ACTION_KEEP:
		found.Alive, err = s.relay.Direct.KeepAlive(ctx, request.GetLease())
	case wire.LeaseAction_LEASE_ACTION_END:
		err = s.relay.Direct.Revoke(ctx, request.GetLease())
	}
	if err != nil {
		return nil, answer(err)
	}
	return found, nil
}

func toWire(items []keyvalue.Item) []*wire.RelayItem {
	out := make([]*wire.RelayItem, len(items))
	for i, item := range items {
		out[i] = &wire.RelayItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
	}
	return out
}

func fromWire(items []*wire.RelayItem) []keyvalue.Item {
	out := make([]keyvalue.Item, len(items))
	for i, item := range items {
		out[i] = keyvalue.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Deleted: item.GetDeleted()}
	}
	return out
}

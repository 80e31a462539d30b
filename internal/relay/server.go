package relay

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Handler serves the calls that other hosts make through this one. They go directly to the
// store, never through a third host.
func (r *Relay) Handler() http.Handler { return wire.NewStoreRelayServer(&server{relay: r}) }

// MaxCallBytes is the largest body of a call of another host.
const MaxCallBytes = 4 << 20

// Refuse answers a call of another host that is not served. The code is Unavailable whatever the cause: it tells
// the caller that the call had no effect.
func Refuse(w http.ResponseWriter, _ *http.Request, err error) {
	if err := twirp.WriteError(w, twirp.NewError(twirp.Unavailable, err.Error())); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

type server struct {
	relay *Relay
}

// toTwirp converts an error for the calling host: Unavailable if the call had no effect, and
// Unknown otherwise.
func toTwirp(err error) error {
	if errkind.Unavailable.Is(err) {
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return twirp.NewError(twirp.Unknown, err.Error())
}

// checkDirect returns an error while this host's own calls to the store fail, so that calls
// through it are refused without a delay.
func (s *server) checkDirect() error {
	if s.relay.Failing() {
		return twirp.NewError(twirp.Unavailable, "the store does not answer this host either")
	}
	return nil
}

// Read reads one key, or all keys under a prefix.
func (s *server) Read(ctx context.Context, request *wire.RelayRead) (*wire.RelayItems, error) {
	if err := s.checkDirect(); err != nil {
		return nil, err
	}
	if request.GetPrefix() {
		items, revision, err := s.relay.Direct.List(ctx, request.GetKey())
		if err != nil {
			return nil, toTwirp(err)
		}
		return &wire.RelayItems{Items: toWire(items), Revision: revision}, nil
	}
	get := s.relay.Direct.Get
	if request.GetStale() {
		get = s.relay.Direct.GetStale
	}
	item, err := get(ctx, request.GetKey())
	if err != nil {
		return nil, toTwirp(err)
	}
	response := &wire.RelayItems{}
	if item != nil {
		response.Items = toWire([]keyvalue.Item{*item})
	}
	return response, nil
}

// Watch waits for changes under a prefix.
func (s *server) Watch(ctx context.Context, request *wire.RelayWatch) (*wire.RelayItems, error) {
	if err := s.checkDirect(); err != nil {
		return nil, err
	}
	events, err := s.relay.Direct.Watch(ctx, request.GetPrefix(), request.GetAfter(), request.GetWait().AsDuration())
	if err != nil {
		return nil, toTwirp(err)
	}
	return &wire.RelayItems{Items: toWire(events.Items), Revision: events.Revision, Compacted: events.Compacted}, nil
}

// Commit applies one transaction.
func (s *server) Commit(ctx context.Context, request *wire.RelayTxn) (*wire.RelayResult, error) {
	if err := s.checkDirect(); err != nil {
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
		return nil, toTwirp(err)
	}
	return &wire.RelayResult{Applied: result.Applied, Revision: result.Revision, Current: toWire(result.Current)}, nil
}

// Lease grants, renews or revokes a lease. A request without an action has no effect.
func (s *server) Lease(ctx context.Context, request *wire.RelayLease) (*wire.RelayLease, error) {
	if err := s.checkDirect(); err != nil {
		return nil, err
	}
	response := &wire.RelayLease{Lease: request.GetLease(), Ttl: durationpb.New(request.GetTtl().AsDuration())}
	var err error
	switch request.GetAction() {
	case wire.LeaseAction_LEASE_ACTION_GRANT:
		response.Lease, err = s.relay.Direct.Grant(ctx, request.GetTtl().AsDuration())
	case wire.LeaseAction_LEASE_ACTION_KEEP:
		response.Alive, err = s.relay.Direct.KeepAlive(ctx, request.GetLease())
	case wire.LeaseAction_LEASE_ACTION_END:
		err = s.relay.Direct.Revoke(ctx, request.GetLease())
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	return response, nil
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

// Package relay makes a host's calls to the platform's store, and makes them through
// another host while the store turns this one away or cannot be reached from it.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// failuresToDetour is the number of direct calls that have to fail one after the other.
	failuresToDetour = 2
	// directPause is how often the direct way is tried again meanwhile.
	directPause = time.Second
	// peersPause keeps calls from peers after they could not help either.
	peersPause = 400 * time.Millisecond
	peerTries  = 2
	// callTimeout bounds a call through a peer; a watch may take its wait besides.
	callTimeout = 1200 * time.Millisecond
	remedy      = "wait until the platform's store answers; see docs/operators/store-outage.md"
)

// Relay is the store as this host reaches it. Set the fields before the first call.
type Relay struct {
	Direct keyvalue.Service
	// Peers returns the addresses of the other hosts.
	Peers func() []netip.AddrPort
	// Distant reports whether a host is in another availability zone; nil for none.
	Distant func(netip.AddrPort) bool
	Client  *http.Client
	Metrics metrics.Registry
	Log     log.Interface

	mu         sync.Mutex
	failures   int
	tryDirect  time.Time
	peersAgain time.Time
	// silent counts looks that no host of another availability zone answered.
	silent int
}

var _ keyvalue.Service = (*Relay)(nil)

// Failing reports whether the direct way to the store does not work.
func (r *Relay) Failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures >= failuresToDetour
}

// direct reports whether the next call goes to the store itself.
func (r *Relay) direct(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures < failuresToDetour {
		return true
	}
	if now.Before(r.tryDirect) {
		return false
	}
	r.tryDirect = now.Add(directPause)
	return true
}

// note records how a direct call went.
func (r *Relay) note(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		if r.failures >= failuresToDetour {
			r.Log.Info("relay: the store answers this host again")
		}
		r.failures, r.silent = 0, 0
	case fault.Invalid.Is(err):
	default:
		r.failures++
		if r.failures == failuresToDetour {
			r.tryDirect = time.Now().Add(directPause)
			r.Log.WithError(err).Warn("relay: the store does not answer this host; its calls go through others")
		}
	}
}

// do makes a call directly or through a peer. Only a call that surely did nothing is
// made a second time.
func do[T any](ctx context.Context, r *Relay, call func(context.Context, keyvalue.Service) (T, error)) (T, error) {
	var none T
	err := error(fault.Unavailable.New(remedy, "relay.do: no way to the store"))
	if r.direct(time.Now()) {
		value, directErr := call(ctx, r.Direct)
		if ctx.Err() == nil {
			r.note(directErr)
		}
		if directErr == nil || !fault.Unavailable.Is(directErr) {
			return value, directErr
		}
		err = directErr
	}
	for _, peer := range r.pick(time.Now()) {
		metrics.GetOrRegisterCounter("relay.calls", r.Metrics).Inc(1)
		value, peerErr := call(ctx, peer)
		if peerErr == nil || !fault.Unavailable.Is(peerErr) {
			return value, peerErr
		}
		err = peerErr
	}
	if ctx.Err() == nil {
		r.mu.Lock()
		r.peersAgain = time.Now().Add(peersPause)
		r.mu.Unlock()
	}
	return none, err
}

// pick chooses the peers to try, those of other availability zones first: a cut between
// zones leaves a host and its neighbours on the same side.
func (r *Relay) pick(now time.Time) []*peer {
	r.mu.Lock()
	again := r.peersAgain
	r.mu.Unlock()
	if now.Before(again) {
		return nil
	}
	out := r.shuffled()
	slices.SortStableFunc(out, func(a, b *peer) int {
		switch {
		case a.distant == b.distant:
			return 0
		case a.distant:
			return -1
		}
		return 1
	})
	return out[:min(len(out), peerTries)]
}

// shuffled returns all peers in a random order.
func (r *Relay) shuffled() []*peer {
	var out []*peer
	for _, address := range r.Peers() {
		out = append(out, &peer{
			client: wire.NewStoreRelayProtobufClient("http://"+address.String(), r.Client), distant: r.Distant != nil && r.Distant(address),
		})
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Get reads one key.
func (r *Relay) Get(ctx context.Context, key string) (*keyvalue.Item, error) {
	return do(ctx, r, func(ctx context.Context, by keyvalue.Service) (*keyvalue.Item, error) { return by.Get(ctx, key) })
}

// GetStale reads one key from a copy that may be behind.
func (r *Relay) GetStale(ctx context.Context, key string) (*keyvalue.Item, error) {
	return do(ctx, r, func(ctx context.Context, by keyvalue.Service) (*keyvalue.Item, error) { return by.GetStale(ctx, key) })
}

type listed struct {
	items    []keyvalue.Item
	revision int64
}

// List reads all keys under a prefix.
func (r *Relay) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	found, err := do(ctx, r, func(ctx context.Context, by keyvalue.Service) (listed, error) {
		items, revision, err := by.List(ctx, prefix)
		return listed{items, revision}, err
	})
	return found.items, found.revision, err
}

// Watch waits for changes.
func (r *Relay) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Events, error) {
	return do(ctx, r, func(ctx context.Context, by keyvalue.Service) (keyvalue.Events, error) {
		return by.Watch(ctx, prefix, after, wait)
	})
}

// Commit makes one transaction.
func (r *Relay) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	return do(ctx, r, func(ctx context.Context, by keyvalue.Service) (keyvalue.TxnResult, error) { return by.Commit(ctx, txn) })
}

// Grant opens a lease.
func (r *Relay) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	return do(ctx, r, func(ctx context.Context, by keyvalue.Service) (int64, error) { return by.Grant(ctx, ttl) })
}

// KeepAlive prolongs a lease.
func (r *Relay) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	return do(ctx, r, func(ctx context.Context, by keyvalue.Service) (bool, error) { return by.KeepAlive(ctx, lease) })
}

// Revoke ends a lease.
func (r *Relay) Revoke(ctx context.Context, lease int64) error {
	_, err := do(ctx, r, func(ctx context.Context, by keyvalue.Service) (bool, error) { return true, by.Revoke(ctx, lease) })
	return err
}

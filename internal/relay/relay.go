// Package relay makes a host's calls to the platform's store. While the store refuses this
// host or cannot be reached from it, the calls go through other hosts.
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

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// relayAfterFailures is the number of consecutive failures of direct calls after which calls
	// go through other hosts.
	relayAfterFailures = 2
	// directRetryPeriod is the time between direct calls while calls go through other hosts.
	directRetryPeriod = time.Second
	// directReadPeriod is the same for reads of one key for which no peer is due either: callers wait for
	// them.
	directReadPeriod = 250 * time.Millisecond
	// peerBackoff is the time without calls through peers after a call that neither the store
	// nor a peer carried out. Each further such call starts it again.
	peerBackoff = 400 * time.Millisecond
	// peerAttempts is the largest number of peers that one call is sent through.
	peerAttempts = 2
	// callTimeout bounds a call through a peer. A watch may take its own wait in addition.
	callTimeout = 1200 * time.Millisecond
	remedy      = "wait until the platform's store answers; see docs/operators/store-outage.md"
)

// Relay implements keyvalue.Service. It calls the store directly, and through other hosts while
// direct calls fail. Errors are those of keyvalue.Service, or Invalid from a direct call. Set the
// exported fields before the first call.
type Relay struct {
	// Direct calls the store without other hosts.
	Direct keyvalue.Service
	// Peers returns the addresses of the other hosts.
	Peers func() []netip.AddrPort
	// InOtherZone reports whether a host is in another availability zone. If it is nil,
	// all hosts count as hosts of this zone.
	InOtherZone func(netip.AddrPort) bool
	Client      *http.Client
	Metrics     metrics.Registry
	Log         log.Interface

	mu sync.Mutex
	// failures counts the consecutive failures of direct calls.
	failures int
	// failedAt is when a direct call last failed while calls went through other hosts.
	failedAt time.Time
	// nextDirect is the earliest time of the next direct call while direct calls fail.
	nextDirect time.Time
	// answeredFrom is when the latest of the direct calls was sent that the store has answered.
	answeredFrom time.Time
	// nextPeers is the earliest time of the next call through peers.
	nextPeers time.Time
	// failedProbes counts the consecutive probes that no host of another zone answered, and
	// failedZoneProbes those that no host of this zone answered.
	failedProbes     int
	failedZoneProbes int
}

var _ keyvalue.Service = (*Relay)(nil)

// Failing reports whether direct calls to the store fail, so that calls go through other
// hosts.
func (r *Relay) Failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures >= relayAfterFailures
}

// FailedAt returns when direct calls to the store last failed so that calls went through other hosts; zero
// if they never did.
func (r *Relay) FailedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedAt
}

// AnsweredAt returns when the latest of the direct calls was sent that the store has answered; zero if it has
// answered none.
func (r *Relay) AnsweredAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredFrom
}

// tryDirect reports whether the next call goes directly to the store. While direct calls
// fail, that is one call per directRetryPeriod.
func (r *Relay) tryDirect(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures < relayAfterFailures {
		return true
	}
	if now.Before(r.nextDirect) {
		return false
	}
	r.nextDirect = now.Add(directRetryPeriod)
	return true
}

// tryDirectRead reports whether a read for which there is no other way goes directly to the store. While
// direct calls fail, that is directReadPeriod after the last direct call.
func (r *Relay) tryDirectRead(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures < relayAfterFailures || now.Before(r.nextDirect.Add(directReadPeriod-directRetryPeriod)) {
		return false
	}
	r.nextDirect = now.Add(directRetryPeriod)
	return true
}

// recordDirect records the result of a direct call that was sent at a time, and logs when direct calls start to
// fail or work again. Invalid errors come from the request and say nothing about the store. Nor does the
// failure of a call that was sent before one that the store has answered: its connection may have gone silent
// for good, while new ones work. For the same reason one call goes to the store at once when calls that got no
// answer have let the host count as cut off.
func (r *Relay) recordDirect(err error, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil, errkind.TooLarge.Is(err):
		if r.failures >= relayAfterFailures {
			r.Log.Info("relay: the store answers this host again")
		}
		r.failures, r.failedProbes, r.failedZoneProbes = 0, 0, 0
		if sent.After(r.answeredFrom) {
			r.answeredFrom = sent
		}
	case errkind.Invalid.Is(err), sent.Before(r.answeredFrom):
	default:
		r.failures++
		if r.failures >= relayAfterFailures {
			r.failedAt = time.Now()
		}
		if r.failures == relayAfterFailures {
			r.nextDirect = time.Now()
			if !errkind.Ambiguous.Is(err) {
				r.nextDirect = r.nextDirect.Add(directRetryPeriod)
			}
			r.Log.WithError(err).Warn("relay: the store does not answer this host; its calls go through others")
		}
	}
}

// do makes a call directly or through a peer. A call is repeated only if its error is
// Unavailable, which means that it is known to have had no effect.
func do[T any](ctx context.Context, r *Relay, call func(context.Context, keyvalue.Service) (T, error)) (T, error) {
	var zero T
	err := error(errkind.Unavailable.New(remedy, "relay.do: direct calls to the store fail, and no other host is known or due for a retry"))
	if sent := time.Now(); r.tryDirect(sent) {
		value, directErr := call(ctx, r.Direct)
		if ctx.Err() == nil {
			r.recordDirect(directErr, sent)
		}
		if directErr == nil || !errkind.Unavailable.Is(directErr) {
			return value, directErr
		}
		err = directErr
	}
	for _, peer := range r.pickPeers(time.Now()) {
		metrics.GetOrRegisterCounter("relay.calls", r.Metrics).Inc(1)
		value, peerErr := call(ctx, peer)
		if peerErr == nil || !errkind.Unavailable.Is(peerErr) {
			return value, peerErr
		}
		err = peerErr
	}
	if ctx.Err() == nil {
		r.mu.Lock()
		r.nextPeers = time.Now().Add(peerBackoff)
		r.mu.Unlock()
	}
	return zero, err
}

// pickPeers returns up to peerAttempts peers to try, or none during peerBackoff. Those of other
// availability zones come first: after a network partition between zones, the hosts of this
// zone are on the same side as this host.
func (r *Relay) pickPeers(now time.Time) []*peer {
	r.mu.Lock()
	next := r.nextPeers
	r.mu.Unlock()
	if now.Before(next) {
		return nil
	}
	out := r.shuffledPeers()
	slices.SortStableFunc(out, func(a, b *peer) int {
		switch {
		case a.otherZone == b.otherZone:
			return 0
		case a.otherZone:
			return -1
		}
		return 1
	})
	return out[:min(len(out), peerAttempts)]
}

// shuffledPeers returns all peers in random order.
func (r *Relay) shuffledPeers() []*peer {
	var out []*peer
	for _, address := range r.Peers() {
		out = append(out, &peer{
			client: wire.NewStoreRelayProtobufClient("http://"+address.String(), r.Client), otherZone: r.InOtherZone != nil && r.InOtherZone(address),
		})
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Get reads one key. A read that has no other way goes directly to the store sooner than other calls.
func (r *Relay) Get(ctx context.Context, key string) (*keyvalue.Item, error) {
	item, err := do(ctx, r, func(ctx context.Context, service keyvalue.Service) (*keyvalue.Item, error) {
		return service.Get(ctx, key)
	})
	sent := time.Now()
	if !errkind.Unavailable.Is(err) || !r.tryDirectRead(sent) {
		return item, err
	}
	item, err = r.Direct.Get(ctx, key)
	if ctx.Err() == nil {
		r.recordDirect(err, sent)
	}
	return item, err
}

// GetStale reads one key from a replica that may be seconds behind.
func (r *Relay) GetStale(ctx context.Context, key string) (*keyvalue.Item, error) {
	return do(ctx, r, func(ctx context.Context, service keyvalue.Service) (*keyvalue.Item, error) {
		return service.GetStale(ctx, key)
	})
}

// listResult holds the two results of List, as do returns only one.
type listResult struct {
	items    []keyvalue.Item
	revision int64
}

// List reads all keys under a prefix.
func (r *Relay) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	result, err := do(ctx, r, func(ctx context.Context, service keyvalue.Service) (listResult, error) {
		items, revision, err := service.List(ctx, prefix)
		return listResult{items, revision}, err
	})
	return result.items, result.revision, err
}

// Watch waits for changes under a prefix after a revision, for at most wait.
func (r *Relay) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Events, error) {
	return do(ctx, r, func(ctx context.Context, service keyvalue.Service) (keyvalue.Events, error) {
		return service.Watch(ctx, prefix, after, wait)
	})
}

// Commit applies one transaction.
func (r *Relay) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	return do(ctx, r, func(ctx context.Context, service keyvalue.Service) (keyvalue.TxnResult, error) {
		return service.Commit(ctx, txn)
	})
}

// Grant creates a lease and returns its ID.
func (r *Relay) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	return do(ctx, r, func(ctx context.Context, service keyvalue.Service) (int64, error) { return service.Grant(ctx, ttl) })
}

// KeepAlive renews a lease and reports whether it still exists.
func (r *Relay) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	return do(ctx, r, func(ctx context.Context, service keyvalue.Service) (bool, error) {
		return service.KeepAlive(ctx, lease)
	})
}

// Revoke ends a lease.
func (r *Relay) Revoke(ctx context.Context, lease int64) error {
	_, err := do(ctx, r, func(ctx context.Context, service keyvalue.Service) (bool, error) {
		return true, service.Revoke(ctx, lease)
	})
	return err
}

// Package store spends the budget of the platform's key-value store: it limits
// rates, gives safety the right of way, counts calls by purpose, resolves lost
// answers and knows from real writes whether writes work.
package store

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Purpose says what a call is for, and so what it may cost others.
type Purpose string

// The purposes, from the most to the least urgent.
const (
	Safety       Purpose = "safety"
	Serving      Purpose = "serving"
	Housekeeping Purpose = "housekeeping"
)

const (
	// DefaultTimeout bounds one call to the store.
	DefaultTimeout = time.Second
	// MaxValueBytes is the largest value that the store holds.
	MaxValueBytes = 1 << 20
	// downFailures is the number of failed writes in a row that mark the store as down.
	downFailures = 3
	retryFirst   = 20 * time.Millisecond
	retryLast    = 500 * time.Millisecond
	remedyDown   = "wait until the platform's store accepts writes again; see docs/operators/store-outage.md"
)

// Store is a client of the platform's store. Set the fields before the first call.
type Store struct {
	Backend wire.Store
	// ReadsPerSecond and WritesPerSecond bound this host's calls; 0 means no bound.
	ReadsPerSecond  int
	WritesPerSecond int
	Timeout         time.Duration
	Metrics         metrics.Registry

	once     sync.Once
	reads    *rate.Limiter
	writes   *rate.Limiter
	mu       sync.Mutex
	failures int
}

// Result is the effect of a write: applied, or the entry that stood in its way.
type Result struct {
	Applied bool
	Current *wire.Entry
}

func (s *Store) prepare() {
	s.once.Do(func() {
		s.reads = limiter(s.ReadsPerSecond)
		s.writes = limiter(s.WritesPerSecond)
		if s.Timeout == 0 {
			s.Timeout = DefaultTimeout
		}
		if s.Metrics == nil {
			s.Metrics = metrics.NewRegistry()
		}
	})
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Writable reports whether a write succeeded lately: a few failures in a row, and
// not one lost answer, say that writes do not work. A store that answers reads
// is not enough (see docs/design/0003-at-most-once.md).
func (s *Store) Writable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures < downFailures
}

// Get reads a key. An absent key has revision 0. Errors are Unavailable.
func (s *Store) Get(ctx context.Context, purpose Purpose, key string) (*wire.Entry, error) {
	answer, err := call(ctx, s, purpose, "get", false, func(ctx context.Context) (*wire.GetResponse, error) {
		return s.Backend.Get(ctx, &wire.GetRequest{Key: key})
	})
	if err != nil {
		return nil, err
	}
	return answer.GetEntry(), nil
}

// List reads every key under a prefix and the store's revision. Errors are Unavailable.
func (s *Store) List(ctx context.Context, purpose Purpose, prefix string) (*wire.ListResponse, error) {
	return call(ctx, s, purpose, "list", false, func(ctx context.Context) (*wire.ListResponse, error) {
		return s.Backend.List(ctx, &wire.ListRequest{Prefix: prefix})
	})
}

// Keys is List without the values.
func (s *Store) Keys(ctx context.Context, purpose Purpose, prefix string) (*wire.ListResponse, error) {
	return call(ctx, s, purpose, "keys", false, func(ctx context.Context) (*wire.ListResponse, error) {
		return s.Backend.List(ctx, &wire.ListRequest{Prefix: prefix, KeysOnly: true})
	})
}

// Watch waits up to wait for a change under prefix after a revision. It counts as one call.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (*wire.ListResponse, error) {
	s.prepare()
	s.count(Housekeeping, "watch")
	ctx, cancel := context.WithTimeout(ctx, wait+s.Timeout)
	defer cancel()
	answer, err := s.Backend.Watch(ctx, &wire.WatchRequest{Prefix: prefix, AfterRevision: after, Wait: durationpb.New(wait)})
	if err != nil {
		return nil, fault.Unavailable.New(remedyDown, "Store.Watch: %s: %v", prefix, err)
	}
	return answer, nil
}

// Grant opens a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	answer, err := call(ctx, s, Safety, "grant", true, func(ctx context.Context) (*wire.GrantResponse, error) {
		return s.Backend.Grant(ctx, &wire.GrantRequest{Ttl: durationpb.New(ttl)})
	})
	return answer.GetLeaseId(), err
}

// KeepAlive prolongs a lease and reports whether it still exists.
func (s *Store) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	answer, err := call(ctx, s, Safety, "keepAlive", true, func(ctx context.Context) (*wire.GrantResponse, error) {
		return s.Backend.KeepAlive(ctx, &wire.KeepAliveRequest{LeaseId: lease})
	})
	return answer.GetAlive(), err
}

// Revoke ends a lease and removes its keys.
func (s *Store) Revoke(ctx context.Context, lease int64) error {
	_, err := call(ctx, s, Safety, "revoke", true, func(ctx context.Context) (*wire.GrantResponse, error) {
		return s.Backend.Revoke(ctx, &wire.KeepAliveRequest{LeaseId: lease})
	})
	return err
}

// Delete removes a key that still has the revision.
func (s *Store) Delete(ctx context.Context, purpose Purpose, key string, revision int64) error {
	_, err := call(ctx, s, purpose, "delete", true, func(ctx context.Context) (*wire.PutResponse, error) {
		return s.Backend.Delete(ctx, &wire.DeleteRequest{Key: key, ExpectedRevision: revision})
	})
	return err
}

// Put writes a value where the key has the revision. The value must be unique to
// this write, so that a lost answer can be resolved: the same write is repeated
// and a conflict with the writer's own value counts as applied. While ctx lasts
// it goes on; then the error is Ambiguous.
func (s *Store) Put(ctx context.Context, purpose Purpose, put *wire.PutRequest) (Result, error) {
	if len(put.GetValue()) > MaxValueBytes {
		return Result{}, fault.Invalid.New("split the value", "Store.Put: %s holds %d bytes of %d", put.GetKey(), len(put.GetValue()), MaxValueBytes)
	}
	ambiguous := false
	for pause := retryFirst; ; pause = min(2*pause, retryLast) {
		result, err := s.putOnce(ctx, purpose, put)
		if err == nil {
			return result, nil
		}
		ambiguous = ambiguous || !fault.Unavailable.Is(err)
		select {
		case <-ctx.Done():
			if ambiguous {
				return Result{}, fault.Ambiguous.New(remedyDown, "Store.Put: %s: the answer was lost: %v", put.GetKey(), err)
			}
			return Result{}, err
		case <-time.After(pause):
		}
	}
}

func (s *Store) putOnce(ctx context.Context, purpose Purpose, put *wire.PutRequest) (Result, error) {
	answer, err := call(ctx, s, purpose, "put", true, func(ctx context.Context) (*wire.PutResponse, error) {
		return s.Backend.Put(ctx, put)
	})
	if err != nil {
		return Result{}, err
	}
	current := answer.GetCurrent()
	own := answer.GetApplied() || (current.GetRevision() != 0 && bytes.Equal(current.GetValue(), put.GetValue()))
	return Result{Applied: own, Current: current}, nil
}

// call spends the budget, bounds the time and records the health of writes.
func call[T any](ctx context.Context, s *Store, purpose Purpose, name string, write bool, do func(context.Context) (T, error)) (T, error) {
	s.prepare()
	var none T
	budget := s.reads
	if write {
		budget = s.writes
	}
	if err := spend(ctx, budget, purpose); err != nil {
		return none, fault.Unavailable.New("lower the load or raise storeWritesPerSecond", "Store.%s: the host's budget is spent: %v", name, err)
	}
	s.count(purpose, name)
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	answer, err := do(ctx)
	if write {
		s.record(err)
	}
	if err == nil {
		return answer, nil
	}
	if refused(err) || !write {
		return none, fault.Unavailable.New(remedyDown, "Store.%s: %v", name, err)
	}
	return none, fault.Ambiguous.New(remedyDown, "Store.%s: %v", name, err)
}

// spend waits for a token. Housekeeping leaves half of the budget to the others.
func spend(ctx context.Context, budget *rate.Limiter, purpose Purpose) error {
	if purpose == Safety || budget.Limit() == rate.Inf {
		budget.Allow()
		return nil
	}
	need := 1
	if purpose == Housekeeping {
		need = max(1, budget.Burst()/2)
	}
	for budget.Tokens() < float64(need) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryFirst):
		}
	}
	return budget.Wait(ctx)
}

// refused reports whether the store itself said that it did nothing.
func refused(err error) bool {
	var typed twirp.Error
	return errors.As(err, &typed) && (typed.Code() == twirp.Unavailable || typed.Code() == twirp.ResourceExhausted) && typed.Meta("effect") == "none"
}

func (s *Store) record(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.failures = 0
		return
	}
	s.failures++
}

func (s *Store) count(purpose Purpose, name string) {
	metrics.GetOrRegisterCounter("store.calls."+string(purpose)+"."+name, s.Metrics).Inc(1)
}

// Package store is the client of the platform's key-value store, service Store of
// schema/platform.proto. It limits the rates of calls, gives priority to calls for safety, counts
// calls by purpose, repeats failed puts, and derives from the writes whether the store accepts
// writes.
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

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Purpose is what a call is for. It determines the call's priority in the rate limits.
type Purpose string

// The purposes, from the most to the least urgent.
const (
	Safety       Purpose = "safety"
	Serving      Purpose = "serving"
	Housekeeping Purpose = "housekeeping"
)

const (
	// DefaultTimeout is the time limit of one call if Store.Timeout is 0.
	DefaultTimeout = time.Second
	// MaxValueBytes is the size of the largest value that the store accepts.
	MaxValueBytes = 1 << 20
	// downFailures is the number of failed writes in a row after which Writable reports false.
	downFailures = 3
	retryFirst   = 20 * time.Millisecond
	retryLast    = 500 * time.Millisecond
	remedyDown   = "wait until the platform's store accepts writes again; see docs/operators/store-outage.md"
)

// Store is a client of the platform's store. Set the exported fields before the first call.
type Store struct {
	Backend wire.Store
	// ReadsPerSecond and WritesPerSecond limit the rates of this host's calls; 0 means no limit.
	ReadsPerSecond  int
	WritesPerSecond int
	// Timeout is the time limit of one call; 0 means DefaultTimeout.
	Timeout time.Duration
	Metrics metrics.Registry

	once     sync.Once
	reads    *rate.Limiter
	writes   *rate.Limiter
	mu       sync.Mutex
	failures int
}

// Result is the outcome of a write.
type Result struct {
	Applied bool
	// Current is the written entry, or the one that the key holds instead if the write was not
	// applied.
	Current *wire.Entry
}

func (s *Store) prepare() {
	s.once.Do(func() {
		s.reads = newLimiter(s.ReadsPerSecond)
		s.writes = newLimiter(s.WritesPerSecond)
		if s.Timeout == 0 {
			s.Timeout = DefaultTimeout
		}
		if s.Metrics == nil {
			s.Metrics = metrics.NewRegistry()
		}
	})
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Writable reports whether writes work. It is false after downFailures failed writes in a row,
// until one succeeds: a single lost answer is not an outage, and reads that work don't show
// that writes do (see docs/design/0003-at-most-once.md).
func (s *Store) Writable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures < downFailures
}

// Get reads a key. The entry of an absent key has revision 0. Errors are Unavailable.
func (s *Store) Get(ctx context.Context, purpose Purpose, key string) (*wire.Entry, error) {
	answer, err := call(ctx, s, purpose, "get", false, func(ctx context.Context) (*wire.GetResponse, error) {
		return s.Backend.Get(ctx, &wire.GetRequest{Key: key})
	})
	if err != nil {
		return nil, err
	}
	return answer.GetEntry(), nil
}

// List reads all entries under a prefix and the store's revision. Errors are Unavailable.
func (s *Store) List(ctx context.Context, purpose Purpose, prefix string) (*wire.ListResponse, error) {
	return call(ctx, s, purpose, "list", false, func(ctx context.Context) (*wire.ListResponse, error) {
		return s.Backend.List(ctx, &wire.ListRequest{Prefix: prefix})
	})
}

// Keys is List without the values of the entries.
func (s *Store) Keys(ctx context.Context, purpose Purpose, prefix string) (*wire.ListResponse, error) {
	return call(ctx, s, purpose, "keys", false, func(ctx context.Context) (*wire.ListResponse, error) {
		return s.Backend.List(ctx, &wire.ListRequest{Prefix: prefix, KeysOnly: true})
	})
}

// Watch waits up to wait for a change under prefix after a revision. It is counted as one call and
// not limited in rate. Errors are Unavailable.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (*wire.ListResponse, error) {
	s.prepare()
	s.countCall(Housekeeping, "watch")
	ctx, cancel := context.WithTimeout(ctx, wait+s.Timeout)
	defer cancel()
	answer, err := s.Backend.Watch(ctx, &wire.WatchRequest{Prefix: prefix, AfterRevision: after, Wait: durationpb.New(wait)})
	if err != nil {
		return nil, errkind.Unavailable.New(remedyDown, "Store.Watch: watching prefix %s failed: %v", prefix, err)
	}
	return answer, nil
}

// Grant creates a lease with a time to live and returns its ID. Errors: Unavailable if no lease
// was created, Ambiguous if one may have been.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	answer, err := call(ctx, s, Safety, "grant", true, func(ctx context.Context) (*wire.GrantResponse, error) {
		return s.Backend.Grant(ctx, &wire.GrantRequest{Ttl: durationpb.New(ttl)})
	})
	return answer.GetLeaseId(), err
}

// KeepAlive renews a lease and reports whether it still exists. Errors: Unavailable if the lease
// was not renewed, Ambiguous if it may have been.
func (s *Store) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	answer, err := call(ctx, s, Safety, "keepAlive", true, func(ctx context.Context) (*wire.GrantResponse, error) {
		return s.Backend.KeepAlive(ctx, &wire.KeepAliveRequest{LeaseId: lease})
	})
	return answer.GetAlive(), err
}

// Revoke ends a lease and deletes its keys. Errors: Unavailable if the lease was not ended,
// Ambiguous if it may have been.
func (s *Store) Revoke(ctx context.Context, lease int64) error {
	_, err := call(ctx, s, Safety, "revoke", true, func(ctx context.Context) (*wire.GrantResponse, error) {
		return s.Backend.Revoke(ctx, &wire.KeepAliveRequest{LeaseId: lease})
	})
	return err
}

// Delete deletes a key if it still has the revision. Otherwise it changes nothing and returns no
// error. Errors: Unavailable if the key was not deleted, Ambiguous if it may have been.
func (s *Store) Delete(ctx context.Context, purpose Purpose, key string, revision int64) error {
	_, err := call(ctx, s, purpose, "delete", true, func(ctx context.Context) (*wire.PutResponse, error) {
		return s.Backend.Delete(ctx, &wire.DeleteRequest{Key: key, ExpectedRevision: revision})
	})
	return err
}

// Put writes a value if the key has the expected revision. A write that fails is repeated
// until ctx ends. The value must be unique to this write: if the answer to an earlier attempt
// was lost, a conflict with the writer's own value shows that the write was applied. Errors:
// Invalid for a value above MaxValueBytes, Ambiguous if the write may have been applied, and
// Unavailable if it was not.
func (s *Store) Put(ctx context.Context, purpose Purpose, put *wire.PutRequest) (Result, error) {
	if len(put.GetValue()) > MaxValueBytes {
		return Result{}, errkind.Invalid.New("split the value", "Store.Put: the value of %s has %d bytes, the store accepts at most %d", put.GetKey(), len(put.GetValue()), MaxValueBytes)
	}
	ambiguous := false
	for pause := retryFirst; ; pause = min(2*pause, retryLast) {
		result, err := s.putOnce(ctx, purpose, put)
		if err == nil {
			return result, nil
		}
		ambiguous = ambiguous || !errkind.Unavailable.Is(err)
		select {
		case <-ctx.Done():
			if ambiguous {
				return Result{}, errkind.Ambiguous.New(remedyDown, "Store.Put: %s: an answer was lost, so the write may have been applied: %v", put.GetKey(), err)
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
	applied := answer.GetApplied() || (current.GetRevision() != 0 && bytes.Equal(current.GetValue(), put.GetValue()))
	return Result{Applied: applied, Current: current}, nil
}

// call makes one call within the rate limit and the timeout, and counts failed writes.
func call[T any](ctx context.Context, s *Store, purpose Purpose, name string, write bool, do func(context.Context) (T, error)) (T, error) {
	s.prepare()
	var none T
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	if err := waitForToken(ctx, limiter, purpose); err != nil {
		return none, errkind.Unavailable.New("lower the load or raise storeReadsPerSecond or storeWritesPerSecond", "Store.%s: the host's rate limit allowed no call in time: %v", name, err)
	}
	s.countCall(purpose, name)
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	answer, err := do(ctx)
	if write {
		s.recordWrite(err)
	}
	if err == nil {
		return answer, nil
	}
	if refused(err) || !write {
		return none, errkind.Unavailable.New(remedyDown, "Store.%s: the call failed without effect: %v", name, err)
	}
	return none, errkind.Ambiguous.New(remedyDown, "Store.%s: the call failed but may have taken effect: %v", name, err)
}

// waitForToken waits until the rate limit allows a call. Calls for safety never wait, but use
// a token if there is one. Housekeeping waits until half of the burst is available, which
// leaves the rest to other calls.
func waitForToken(ctx context.Context, limiter *rate.Limiter, purpose Purpose) error {
	if purpose == Safety || limiter.Limit() == rate.Inf {
		limiter.Allow()
		return nil
	}
	required := 1
	if purpose == Housekeeping {
		required = max(1, limiter.Burst()/2)
	}
	for limiter.Tokens() < float64(required) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryFirst):
		}
	}
	return limiter.Wait(ctx)
}

// refused reports whether the store answered that it did nothing.
func refused(err error) bool {
	var typed twirp.Error
	return errors.As(err, &typed) && (typed.Code() == twirp.Unavailable || typed.Code() == twirp.ResourceExhausted) && typed.Meta("effect") == "none"
}

func (s *Store) recordWrite(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.failures = 0
		return
	}
	s.failures++
}

func (s *Store) countCall(purpose Purpose, name string) {
	metrics.GetOrRegisterCounter("store.calls."+string(purpose)+"."+name, s.Metrics).Inc(1)
}

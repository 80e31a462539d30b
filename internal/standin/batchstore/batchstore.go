// Package batchstore is an in-memory implementation of the platform's key-value service
// for tests, with leases, watches and faults that tests switch on.
package batchstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
)

const (
	// callLatency is the delay before each call.
	callLatency = 4 * time.Millisecond
	// callTimeout is how long a call that gets no answer blocks before it returns an error.
	callTimeout = 900 * time.Millisecond
)

// Store implements keyvalue.Service in memory. The zero value is ready for use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]keyvalue.Item
	// leases and ttl hold, by lease ID, when the lease expires and for how long it is granted.
	leases map[int64]time.Time
	ttl    map[int64]time.Duration
	// leaseOf holds the lease of each key that has one.
	leaseOf map[string]int64
	history []keyvalue.Item
	// compacted is the revision up to which the history has been discarded.
	compacted int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	down    bool
	// lostWrites is the number of writes still to be left unanswered; applyDelay is after how
	// long each takes effect, 0 for at once.
	lostWrites int
	applyDelay time.Duration
}

// SetDown sets whether the store leaves every call unanswered.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseAnswers leaves the next count writes unanswered. They take effect at once or, if applyDelay
// is not 0, after applyDelay if their conditions still hold then.
func (s *Store) LoseAnswers(count int, applyDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostWrites, s.applyDelay = count, applyDelay
}

// Compact discards the history, so that watches from earlier revisions return Compacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// prepare creates the maps on first use and ends expired leases. The caller holds mu.
func (s *Store) prepare() {
	if s.items == nil {
		s.items, s.leases, s.ttl = map[string]keyvalue.Item{}, map[int64]time.Time{}, map[int64]time.Duration{}
		s.leaseOf, s.changed, s.revision = map[string]int64{}, make(chan struct{}), 1
	}
	for id, expires := range s.leases {
		if time.Now().After(expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its keys, each in a revision of its own.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, lease := range s.leaseOf {
		if lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	delete(s.leaseOf, key)
	s.addEvent(keyvalue.Item{Key: key, Revision: s.revision, Deleted: true})
}

// addEvent appends to the history and wakes the watches.
func (s *Store) addEvent(item keyvalue.Item) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall waits for the call latency and locks mu. It returns an Ambiguous error, without the
// lock, if ctx ends or the store is down.
func (s *Store) beginCall(ctx context.Context) error {
	if err := sleep(ctx, callLatency); err != nil {
		return errkind.Ambiguous.New("call again", "Store.beginCall: the call was cancelled before it reached the store: %v", err)
	}
	s.mu.Lock()
	s.prepare()
	if s.down {
		s.mu.Unlock()
		_ = sleep(ctx, callTimeout)
		return errkind.Ambiguous.New("call again", "Store.beginCall: the store is down: no answer within 900 ms")
	}
	return nil
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Get implements keyvalue.Service.
func (s *Store) Get(ctx context.Context, key string) (*keyvalue.Item, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	if item, ok := s.items[key]; ok {
		return &item, nil
	}
	return nil, nil
}

// GetStale implements keyvalue.Service. It is never behind.
func (s *Store) GetStale(ctx context.Context, key string) (*keyvalue.Item, error) {
	return s.Get(ctx, key)
}

// List implements keyvalue.Service. The items are sorted by key.
func (s *Store) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var out []keyvalue.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, nil
}

// Watch implements keyvalue.Service. It returns no items if nothing changes within wait.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Events, error) {
	deadline := time.Now().Add(wait)
	for {
		if err := s.beginCall(ctx); err != nil {
			return keyvalue.Events{}, err
		}
		if after < s.compacted {
			s.mu.Unlock()
			return keyvalue.Events{Compacted: true}, nil
		}
		events := keyvalue.Events{Revision: s.revision}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events.Items = append(events.Items, item)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		left := time.Until(deadline)
		if len(events.Items) > 0 || left <= 0 {
			return events, nil
		}
		timer := time.NewTimer(min(left, time.Second))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Commit implements keyvalue.Service. A write whose answer is lost gets an Ambiguous error, and
// one under a lease that has ended an Unavailable error.
func (s *Store) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	if err := s.beginCall(ctx); err != nil {
		return keyvalue.TxnResult{}, err
	}
	if s.lostWrites > 0 {
		s.lostWrites--
		applyDelay := s.applyDelay
		if applyDelay == 0 {
			_, _ = s.apply(txn)
		}
		s.mu.Unlock()
		if applyDelay > 0 {
			time.AfterFunc(applyDelay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.prepare()
				_, _ = s.apply(txn)
			})
		}
		_ = sleep(ctx, callTimeout)
		return keyvalue.TxnResult{}, errkind.Ambiguous.New("read the keys to learn whether it took effect", "Store.Commit: the answer was lost by a test fault: no answer within 900 ms")
	}
	defer s.mu.Unlock()
	return s.apply(txn)
}

// apply carries out a transaction, or returns the current items if an expected revision differs.
// It does nothing if the lease of a put has ended.
func (s *Store) apply(txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	for _, put := range txn.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			return keyvalue.TxnResult{}, errkind.Unavailable.New("grant a new lease", "Store.apply: the lease of key %s has ended", put.Key)
		}
	}
	for _, expect := range txn.Expect {
		if s.items[expect.Key].Revision != expect.Revision {
			result := keyvalue.TxnResult{}
			for _, expect := range txn.Expect {
				if item, ok := s.items[expect.Key]; ok {
					result.Current = append(result.Current, item)
				}
			}
			return result, nil
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		item := keyvalue.Item{Key: put.Key, Value: append([]byte(nil), put.Value...), Revision: s.revision}
		s.items[put.Key] = item
		delete(s.leaseOf, put.Key)
		if put.Lease != 0 {
			s.leaseOf[put.Key] = put.Lease
		}
		s.addEvent(item)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	return keyvalue.TxnResult{Applied: true, Revision: s.revision}, nil
}

// Grant implements keyvalue.Service.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision], s.ttl[s.revision] = time.Now().Add(ttl), ttl
	return s.revision, nil
}

// KeepAlive implements keyvalue.Service.
func (s *Store) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	if err := s.beginCall(ctx); err != nil {
		return false, err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; !ok {
		return false, nil
	}
	s.leases[lease] = time.Now().Add(s.ttl[lease])
	return true, nil
}

// Revoke implements keyvalue.Service. The keys of the lease are deleted.
func (s *Store) Revoke(ctx context.Context, lease int64) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.endLease(lease)
	return nil
}

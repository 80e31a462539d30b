// Package batchstore is an in-memory stand-in for the platform's key-value service,
// with leases, watches and faults.
package batchstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
)

const (
	answerTime = 4 * time.Millisecond
	// callTimeout is how long a caller waits for an answer that does not come.
	callTimeout = 900 * time.Millisecond
)

// Store is the stand-in. The zero value is ready.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]keyvalue.Item
	leases   map[int64]time.Time
	ttl      map[int64]time.Duration
	leaseOf  map[string]int64
	history  []keyvalue.Item
	gone     int64
	changed  chan struct{}
	down     bool
	lose     int
	late     time.Duration
}

// SetDown makes every call go without an answer.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseAnswers makes the next writes take effect without an answer, or, with late set, to
// take effect that much later if their condition still holds.
func (s *Store) LoseAnswers(count int, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.late = count, late
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.gone = nil, s.revision
}

func (s *Store) prepare() {
	if s.items == nil {
		s.items, s.leases, s.ttl = map[string]keyvalue.Item{}, map[int64]time.Time{}, map[int64]time.Duration{}
		s.leaseOf, s.changed, s.revision = map[string]int64{}, make(chan struct{}), 1
	}
	for id, until := range s.leases {
		if time.Now().After(until) {
			s.endLease(id)
		}
	}
}

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
	s.note(keyvalue.Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) note(item keyvalue.Item) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter waits out the way to the store; the lock is held when it returns without an error.
func (s *Store) enter(ctx context.Context) error {
	if err := sleep(ctx, answerTime); err != nil {
		return fault.Ambiguous.New("call again", "Store.enter: %v", err)
	}
	s.mu.Lock()
	s.prepare()
	if s.down {
		s.mu.Unlock()
		_ = sleep(ctx, callTimeout)
		return fault.Ambiguous.New("call again", "Store.enter: no answer")
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

// Get reads a key.
func (s *Store) Get(ctx context.Context, key string) (*keyvalue.Item, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	if item, ok := s.items[key]; ok {
		return &item, nil
	}
	return nil, nil
}

// GetStale is Get.
func (s *Store) GetStale(ctx context.Context, key string) (*keyvalue.Item, error) {
	return s.Get(ctx, key)
}

// List reads all keys under a prefix, in their order.
func (s *Store) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	if err := s.enter(ctx); err != nil {
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

// Watch waits for changes.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Events, error) {
	until := time.Now().Add(wait)
	for {
		if err := s.enter(ctx); err != nil {
			return keyvalue.Events{}, err
		}
		if after < s.gone {
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
		left := time.Until(until)
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

// Commit makes a transaction.
func (s *Store) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	if err := s.enter(ctx); err != nil {
		return keyvalue.TxnResult{}, err
	}
	if s.lose > 0 {
		s.lose--
		late := s.late
		if late == 0 {
			s.apply(txn)
		}
		s.mu.Unlock()
		if late > 0 {
			time.AfterFunc(late, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.prepare()
				s.apply(txn)
			})
		}
		_ = sleep(ctx, callTimeout)
		return keyvalue.TxnResult{}, fault.Ambiguous.New("read back", "Store.Commit: no answer")
	}
	defer s.mu.Unlock()
	return s.apply(txn), nil
}

func (s *Store) apply(txn keyvalue.Txn) keyvalue.TxnResult {
	for _, expect := range txn.Expect {
		if s.items[expect.Key].Revision != expect.Revision {
			result := keyvalue.TxnResult{}
			for _, expect := range txn.Expect {
				if item, ok := s.items[expect.Key]; ok {
					result.Current = append(result.Current, item)
				}
			}
			return result
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
		s.note(item)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	return keyvalue.TxnResult{Applied: true, Revision: s.revision}
}

// Grant opens a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision], s.ttl[s.revision] = time.Now().Add(ttl), ttl
	return s.revision, nil
}

// KeepAlive prolongs a lease.
func (s *Store) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	if err := s.enter(ctx); err != nil {
		return false, err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; !ok {
		return false, nil
	}
	s.leases[lease] = time.Now().Add(s.ttl[lease])
	return true, nil
}

// Revoke ends a lease.
func (s *Store) Revoke(ctx context.Context, lease int64) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.endLease(lease)
	return nil
}

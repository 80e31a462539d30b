//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time that the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// pageItems is the largest number of items on one page of a range.
	pageItems = 500
	// minTTL is the shortest time to live of a lease.
	minTTL = time.Second
)

// item is a key of the store as the platform's pages describe it.
type item struct {
	Key       string
	Value     []byte
	Revision  int64
	CreatedAt int64
	Lease     int64
	Deleted   bool `json:",omitempty"`
}

// lease is a lease of the store; ends is when it runs out.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	record *record

	mu       sync.Mutex
	changed  *sync.Cond
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	nextID   int64
	// lastConditional is the caller that last made a write on condition that a key has a revision.
	lastConditional string
	// late, if set, returns for how long a transaction that writes a key is neither answered nor
	// carried out. It is then carried out if its condition still holds.
	late func(caller, key string) time.Duration
	// writesPerS, if set, limits the writes in a second; written counts those of a tenth of a second.
	writesPerS int
	tenth      int64
	written    int
}

func newStore(r *record) *store {
	s := &store{record: r, revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 1}
	s.changed = sync.NewCond(&s.mu)
	go s.expireLeases()
	return s
}

// expireLeases removes the keys of leases that have run out.
func (s *store) expireLeases() {
	for {
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) write(key string, value []byte, leaseID int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: leaseID}
	s.items[key] = i
	s.history = append(s.history, i)
}

// put writes a key for the operator or a runner. Their writes need no condition.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
	s.changed.Broadcast()
}

// drop removes a key for the platform.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.changed.Broadcast()
}

// lastWriter returns the caller that last wrote under a condition.
func (s *store) lastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional
}

// handler serves the store to one caller.
func (s *store) handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		query := r.URL.Query()
		name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
		id, _ := strconv.ParseInt(rest, 10, 64)
		switch name {
		case "kv-key":
			s.serveKey(w, query.Get("Key"))
		case "kv-range":
			s.serveRange(w, query.Get("Prefix"), query.Get("After"))
		case "kv-watch":
			after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
			wait, _ := strconv.Atoi(query.Get("WaitMs"))
			s.serveWatch(w, r, query.Get("Prefix"), after, time.Duration(wait)*time.Millisecond)
		case "kv-txn":
			s.serveTxn(w, r, caller)
		case "kv-lease":
			s.serveGrant(w, r)
		case "kv-keep":
			s.serveKeep(w, id)
		case "kv-lease-end":
			s.mu.Lock()
			s.endLease(id)
			s.changed.Broadcast()
			s.mu.Unlock()
			answer(w, http.StatusOK, map[string]any{})
		default:
			answer(w, http.StatusNotFound, map[string]any{})
		}
	})
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"StoreRevision": revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision int64
	}{i, revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": found, "HasMore": more, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	until := time.Now().Add(wait)
	s.mu.Lock()
	var found []item
	for {
		found = []item{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, i := range s.history[from:] {
			if strings.HasPrefix(i.Key, prefix) {
				found = append(found, i)
			}
		}
		if len(found) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			break
		}
		s.changed.Wait()
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"events": found, "StoreRevision": revision})
}

// transaction is the body of a call to kv-txn.
type transaction struct {
	Expected []struct {
		Key      string
		Revision int64
	}
	Puts []struct {
		Key   string
		Value []byte
		Lease int64
	}
	Deletes []string
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request, caller string) {
	txn := transaction{}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if s.overLimit() {
		answer(w, http.StatusTooManyRequests, map[string]any{})
		return
	}
	if s.late != nil {
		for _, put := range txn.Puts {
			if delay := s.late(caller, put.Key); delay > 0 {
				s.record.add("store: the write of %s by %s gets no answer and is carried out %s later", put.Key, caller, delay)
				time.AfterFunc(delay, func() {
					status, _ := s.apply(txn, caller)
					s.record.add("store: the late write of %s by %s is carried out: status %d", put.Key, caller, status)
				})
				<-r.Context().Done()
				return
			}
		}
	}
	status, body := s.apply(txn, caller)
	answer(w, status, body)
}

// overLimit counts a write and reports whether it is beyond the limit of its tenth of a second.
func (s *store) overLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().UnixMilli() / 100; now != s.tenth {
		s.tenth, s.written = now, 0
	}
	s.written++
	return s.writesPerS > 0 && s.written > s.writesPerS/10
}

// apply carries out a transaction as a whole or not at all.
func (s *store) apply(txn transaction, caller string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(txn.Expected)+len(txn.Puts)+len(txn.Deletes) > 32 {
		return http.StatusBadRequest, map[string]any{}
	}
	current, holds, onRevision := []item{}, true, false
	for _, expected := range txn.Expected {
		i, ok := s.items[expected.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == expected.Revision
		onRevision = onRevision || expected.Revision > 0
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range txn.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	if onRevision {
		s.lastConditional = caller
	}
	s.changed.Broadcast()
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	request := struct{ TtlMs int64 }{}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := max(time.Duration(request.TtlMs)*time.Millisecond, minTTL)
	s.mu.Lock()
	id := s.nextID
	s.nextID++
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": l.ttl.Milliseconds()})
}

// answer writes a JSON response.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

//go:build review3

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency  = 4 * time.Millisecond
	pageItems     = 500
	pageBytes     = 1 << 20
	maxTxnEntries = 32
	maxWatchWait  = 30 * time.Second
)

// store is the platform's key-value store as PROTOCOL.md describes it. Its history has the length of
// RetentionS, and it limits neither calls nor the size of a watch's answer.
type store struct {
	retention time.Duration

	mu       sync.Mutex
	revision int64
	items    map[string]*item
	leases   map[int64]*lease
	nextID   int64
	history  []event
	// dropped is the revision of the last event that the history has discarded.
	dropped int64
	changed chan struct{}
	// silent says that calls that arrive get no answer and have no effect.
	silent bool
}

type item struct {
	Key       string
	Value     []byte
	Revision  int64
	CreatedAt int64
	Lease     int64
}

type event struct {
	at      time.Time
	item    item
	deleted bool
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *store {
	s := &store{retention: 20 * time.Second, revision: 1, items: map[string]*item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// expire ends the leases whose time is over and discards old history.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > s.retention {
		s.dropped = s.history[0].item.Revision
		s.history = s.history[1:]
	}
}

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
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.record(event{at: time.Now(), item: item{Key: key, Revision: s.revision}, deleted: true})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, leaseID int64) {
	created := time.Now().UnixMilli()
	if former := s.items[key]; former != nil {
		created = former.CreatedAt
	}
	written := item{key, value, s.revision, created, leaseID}
	s.items[key] = &written
	s.record(event{at: time.Now(), item: written})
}

// put and del are what the operator and the runners do.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
}

func (s *store) del(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.items[key]; i != nil {
		return string(i.Value)
	}
	return ""
}

// setSilent sets whether the store leaves all calls of the hosts without an answer.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// listen serves the store on a loopback address.
func (s *store) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.rangeOf)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return listener.Addr().String(), nil
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write(text)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, revision := s.items[r.URL.Query().Get("Key")], s.revision
	s.mu.Unlock()
	if found == nil {
		answer(w, http.StatusNotFound, map[string]any{"StoreRevision": revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision int64
	}{*found, revision})
}

func (s *store) rangeOf(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	all := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			all = append(all, *i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	page, bytes := 0, 0
	for page < len(all) && page < pageItems && (page == 0 || bytes+len(all[page].Value) <= pageBytes) {
		bytes += len(all[page].Value)
		page++
	}
	answer(w, http.StatusOK, map[string]any{"items": all[:page], "HasMore": page < len(all), "StoreRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("Prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("After"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	until := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{})
			return
		}
		events := []any{}
		for _, e := range s.history {
			switch {
			case e.item.Revision <= after || !strings.HasPrefix(e.item.Key, prefix):
			case e.deleted:
				events = append(events, map[string]any{"Key": e.item.Key, "Revision": e.item.Revision, "Deleted": true})
			default:
				events = append(events, e.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-until:
			}
		}
		answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
		return
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	body := struct {
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
	}{}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expected)+len(body.Puts)+len(body.Deletes) > maxTxnEntries {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, expected := range body.Expected {
		revision := int64(0)
		if i := s.items[expected.Key]; i != nil {
			revision = i.Revision
			current = append(current, *i)
		}
		holds = holds && revision == expected.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, put := range body.Puts {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Deletes {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	body := struct{ TtlMs int64 }{}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TtlMs < 1000 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(body.TtlMs)*time.Millisecond
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": body.TtlMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	kept := s.leases[id]
	if kept != nil {
		kept.ends = time.Now().Add(kept.ttl)
	}
	s.mu.Unlock()
	if kept == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": kept.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}

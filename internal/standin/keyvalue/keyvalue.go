// Package keyvalue is a stand-in of the platform's store: compare-and-swap,
// leases and watches in memory.
package keyvalue

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const maxValueBytes = 1 << 20

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type cell struct {
	value    []byte
	revision int64
	lease    int64
}

// KeyValue implements wire.Store in memory. The zero value is ready.
type KeyValue struct {
	mu       sync.Mutex
	cells    map[string]cell
	leases   map[int64]lease
	revision int64
	changed  chan struct{}
}

func (kv *KeyValue) open() {
	if kv.cells == nil {
		kv.cells = map[string]cell{}
		kv.leases = map[int64]lease{}
		kv.changed = make(chan struct{})
	}
	kv.expire(time.Now())
}

func (kv *KeyValue) expire(now time.Time) {
	for id, held := range kv.leases {
		if now.After(held.expires) {
			kv.drop(id)
		}
	}
}

func (kv *KeyValue) drop(id int64) {
	delete(kv.leases, id)
	for key, held := range kv.cells {
		if held.lease == id {
			delete(kv.cells, key)
			kv.advance()
		}
	}
}

func (kv *KeyValue) advance() int64 {
	kv.revision++
	close(kv.changed)
	kv.changed = make(chan struct{})
	return kv.revision
}

func (kv *KeyValue) entry(key string) *wire.Entry {
	held, ok := kv.cells[key]
	if !ok {
		return &wire.Entry{Key: key}
	}
	return &wire.Entry{Key: key, Value: held.value, Revision: held.revision}
}

// Get implements wire.Store.
func (kv *KeyValue) Get(_ context.Context, req *wire.GetRequest) (*wire.GetResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.open()
	return &wire.GetResponse{Entry: kv.entry(req.GetKey())}, nil
}

// List implements wire.Store.
func (kv *KeyValue) List(_ context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.open()
	return kv.list(req.GetPrefix(), 0, req.GetKeysOnly()), nil
}

func (kv *KeyValue) list(prefix string, after int64, keysOnly bool) *wire.ListResponse {
	out := &wire.ListResponse{Revision: kv.revision}
	for key, held := range kv.cells {
		if strings.HasPrefix(key, prefix) && held.revision > after {
			entry := &wire.Entry{Key: key, Revision: held.revision}
			if !keysOnly {
				entry.Value = held.value
			}
			out.Entries = append(out.Entries, entry)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].GetKey() < out.Entries[j].GetKey() })
	return out
}

// Put implements wire.Store.
func (kv *KeyValue) Put(_ context.Context, req *wire.PutRequest) (*wire.PutResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.open()
	if len(req.GetValue()) > maxValueBytes {
		return nil, twirp.InvalidArgumentError("value", "is over 1 MB")
	}
	if kv.cells[req.GetKey()].revision != req.GetExpectedRevision() {
		return &wire.PutResponse{Current: kv.entry(req.GetKey())}, nil
	}
	if _, ok := kv.leases[req.GetLeaseId()]; req.GetLeaseId() != 0 && !ok {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the lease has lapsed")
	}
	kv.cells[req.GetKey()] = cell{value: req.GetValue(), revision: kv.advance(), lease: req.GetLeaseId()}
	return &wire.PutResponse{Applied: true, Current: kv.entry(req.GetKey())}, nil
}

// Delete implements wire.Store.
func (kv *KeyValue) Delete(_ context.Context, req *wire.DeleteRequest) (*wire.PutResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.open()
	held, ok := kv.cells[req.GetKey()]
	if !ok || held.revision != req.GetExpectedRevision() {
		return &wire.PutResponse{Current: kv.entry(req.GetKey())}, nil
	}
	delete(kv.cells, req.GetKey())
	kv.advance()
	return &wire.PutResponse{Applied: true}, nil
}

// Grant implements wire.Store.
func (kv *KeyValue) Grant(_ context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.open()
	id := kv.advance()
	ttl := req.GetTtl().AsDuration()
	kv.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return &wire.GrantResponse{LeaseId: id, Alive: true}, nil
}

// KeepAlive implements wire.Store.
func (kv *KeyValue) KeepAlive(_ context.Context, req *wire.KeepAliveRequest) (*wire.GrantResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.open()
	held, ok := kv.leases[req.GetLeaseId()]
	if ok {
		held.expires = time.Now().Add(held.ttl)
		kv.leases[req.GetLeaseId()] = held
	}
	return &wire.GrantResponse{LeaseId: req.GetLeaseId(), Alive: ok}, nil
}

// Revoke implements wire.Store.
func (kv *KeyValue) Revoke(_ context.Context, req *wire.KeepAliveRequest) (*wire.GrantResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.open()
	kv.drop(req.GetLeaseId())
	return &wire.GrantResponse{LeaseId: req.GetLeaseId()}, nil
}

// Watch implements wire.Store. Removed keys wake the watch but are not listed.
func (kv *KeyValue) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.ListResponse, error) {
	deadline := time.After(req.GetWait().AsDuration())
	for {
		kv.mu.Lock()
		kv.open()
		found, changed := kv.list(req.GetPrefix(), req.GetAfterRevision(), false), kv.changed
		kv.mu.Unlock()
		if len(found.GetEntries()) > 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return found, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Package keyvalue is a stand-in for the platform's store: compare-and-swap,
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

type record struct {
	value    []byte
	revision int64
	// lease is 0 for a key without a lease.
	lease int64
}

// KeyValue implements wire.Store in memory. The zero value is ready for use.
type KeyValue struct {
	mu       sync.Mutex
	records  map[string]record
	leases   map[int64]lease
	revision int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// prepare creates the maps on first use and ends expired leases. The caller holds mu.
func (kv *KeyValue) prepare() {
	if kv.records == nil {
		kv.records = map[string]record{}
		kv.leases = map[int64]lease{}
		kv.changed = make(chan struct{})
	}
	kv.expire(time.Now())
}

func (kv *KeyValue) expire(now time.Time) {
	for id, l := range kv.leases {
		if now.After(l.expires) {
			kv.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its keys.
func (kv *KeyValue) endLease(id int64) {
	delete(kv.leases, id)
	for key, r := range kv.records {
		if r.lease == id {
			delete(kv.records, key)
			kv.advance()
		}
	}
}

// advance returns the next revision and wakes the watches.
func (kv *KeyValue) advance() int64 {
	kv.revision++
	close(kv.changed)
	kv.changed = make(chan struct{})
	return kv.revision
}

// entry returns a key with its value; an absent key has revision 0.
func (kv *KeyValue) entry(key string) *wire.Entry {
	r, ok := kv.records[key]
	if !ok {
		return &wire.Entry{Key: key}
	}
	return &wire.Entry{Key: key, Value: r.value, Revision: r.revision}
}

// Get implements wire.Store.
func (kv *KeyValue) Get(_ context.Context, req *wire.GetRequest) (*wire.GetResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.prepare()
	return &wire.GetResponse{Entry: kv.entry(req.GetKey())}, nil
}

// List implements wire.Store.
func (kv *KeyValue) List(_ context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.prepare()
	return kv.list(req.GetPrefix(), 0, req.GetKeysOnly()), nil
}

// list returns the entries under a prefix with a revision above after, sorted by key.
func (kv *KeyValue) list(prefix string, after int64, keysOnly bool) *wire.ListResponse {
	out := &wire.ListResponse{Revision: kv.revision}
	for key, r := range kv.records {
		if strings.HasPrefix(key, prefix) && r.revision > after {
			entry := &wire.Entry{Key: key, Revision: r.revision}
			if !keysOnly {
				entry.Value = r.value
			}
			out.Entries = append(out.Entries, entry)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].GetKey() < out.Entries[j].GetKey() })
	return out
}

// Put implements wire.Store. It returns InvalidArgument for a value longer than 1 MiB and
// FailedPrecondition for a lease that does not exist.
func (kv *KeyValue) Put(_ context.Context, req *wire.PutRequest) (*wire.PutResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.prepare()
	if len(req.GetValue()) > maxValueBytes {
		return nil, twirp.InvalidArgumentError("value", "is longer than 1 MiB; store a shorter value")
	}
	if kv.records[req.GetKey()].revision != req.GetExpectedRevision() {
		return &wire.PutResponse{Current: kv.entry(req.GetKey())}, nil
	}
	if _, ok := kv.leases[req.GetLeaseId()]; req.GetLeaseId() != 0 && !ok {
		return nil, twirp.NewError(twirp.FailedPrecondition, "KeyValue.Put: the lease does not exist or has expired; grant a new one")
	}
	kv.records[req.GetKey()] = record{value: req.GetValue(), revision: kv.advance(), lease: req.GetLeaseId()}
	return &wire.PutResponse{Applied: true, Current: kv.entry(req.GetKey())}, nil
}

// Delete implements wire.Store. Deleting an absent key is not applied.
func (kv *KeyValue) Delete(_ context.Context, req *wire.DeleteRequest) (*wire.PutResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.prepare()
	r, ok := kv.records[req.GetKey()]
	if !ok || r.revision != req.GetExpectedRevision() {
		return &wire.PutResponse{Current: kv.entry(req.GetKey())}, nil
	}
	delete(kv.records, req.GetKey())
	kv.advance()
	return &wire.PutResponse{Applied: true}, nil
}

// Grant implements wire.Store.
func (kv *KeyValue) Grant(_ context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.prepare()
	id := kv.advance()
	ttl := req.GetTtl().AsDuration()
	kv.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return &wire.GrantResponse{LeaseId: id, Alive: true}, nil
}

// KeepAlive implements wire.Store.
func (kv *KeyValue) KeepAlive(_ context.Context, req *wire.KeepAliveRequest) (*wire.GrantResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.prepare()
	l, ok := kv.leases[req.GetLeaseId()]
	if ok {
		l.expires = time.Now().Add(l.ttl)
		kv.leases[req.GetLeaseId()] = l
	}
	return &wire.GrantResponse{LeaseId: req.GetLeaseId(), Alive: ok}, nil
}

// Revoke implements wire.Store.
func (kv *KeyValue) Revoke(_ context.Context, req *wire.KeepAliveRequest) (*wire.GrantResponse, error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.prepare()
	kv.endLease(req.GetLeaseId())
	return &wire.GrantResponse{LeaseId: req.GetLeaseId()}, nil
}

// Watch implements wire.Store. Deleted keys wake the watch but are not returned.
func (kv *KeyValue) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.ListResponse, error) {
	deadline := time.After(req.GetWait().AsDuration())
	for {
		kv.mu.Lock()
		kv.prepare()
		response, changed := kv.list(req.GetPrefix(), req.GetAfterRevision(), false), kv.changed
		kv.mu.Unlock()
		if len(response.GetEntries()) > 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

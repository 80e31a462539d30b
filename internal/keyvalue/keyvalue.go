// Package keyvalue defines the interface through which hosts of batch queues use the platform's
// key-value service. platform.Store and relay.Relay implement it. Hosts that take single
// requests and gang jobs use package store instead.
package keyvalue

import (
	"context"
	"time"
)

// MaxTxnEntries is the largest total of expectations, puts and deletes in one transaction.
const MaxTxnEntries = 32

// Item is a key with its value. A deleted key has Deleted set and no value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Expectation is a condition of a transaction: the key has this revision, or is absent if it is 0.
type Expectation struct {
	Key      string
	Revision int64
}

// Put is one write of a transaction. The key is deleted when its lease ends; Lease 0 means no
// lease.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a transaction. It is applied as a whole or not at all.
type Txn struct {
	Expect  []Expectation
	Puts    []Put
	Deletes []string
}

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	Applied  bool
	Revision int64
	// Current holds the current items of the expected keys if the transaction was not applied.
	Current []Item
}

// Events holds the changes after a revision. If Compacted is set, the history since that revision can't be had: the
// service has it no longer, or its answer can't be read. The keys have to be read again.
type Events struct {
	Items     []Item
	Revision  int64
	Compacted bool
}

// Service is the key-value service. Errors are errkind.Unavailable if the call had no effect and
// will have none, errkind.Ambiguous if it may have taken effect or may yet do so, and errkind.TooLarge if its answer
// is too large to be read.
type Service interface {
	// Get returns nil for an absent key.
	Get(ctx context.Context, key string) (*Item, error)
	// GetStale is Get from a copy that may be seconds behind.
	GetStale(ctx context.Context, key string) (*Item, error)
	// List returns all items under a prefix and a revision to watch from.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits up to wait for changes under a prefix after a revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Events, error)
	// Commit applies a transaction if all its expectations hold.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and reports whether it still exists.
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}

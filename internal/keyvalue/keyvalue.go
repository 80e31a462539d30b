// Package keyvalue is what the system asks of the platform's key-value service.
package keyvalue

import (
	"context"
	"time"
)

// MaxTxnEntries is the number of expectations, puts and deletes in one transaction.
const MaxTxnEntries = 32

// Item is a key with its value. A deleted key has Deleted set and no value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Expectation is a condition of a transaction; revision 0 means that the key is absent.
type Expectation struct {
	Key      string
	Revision int64
}

// Put is one write of a transaction. Lease 0 means none.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is applied whole or not at all.
type Txn struct {
	Expect  []Expectation
	Puts    []Put
	Deletes []string
}

// TxnResult is the effect of a transaction that was answered.
type TxnResult struct {
	Applied  bool
	Revision int64
	// Current holds the expected keys as they are when the transaction was not applied.
	Current []Item
}

// Events is what changed after a revision. Compacted says that the history is gone
// and the keys have to be read anew.
type Events struct {
	Items     []Item
	Revision  int64
	Compacted bool
}

// Service is the key-value service. Errors are fault.Unavailable when nothing was
// done, and fault.Ambiguous when the call may have taken effect or may yet do so.
type Service interface {
	// Get returns nil for an absent key.
	Get(ctx context.Context, key string) (*Item, error)
	// GetStale is Get from a copy that may be seconds behind.
	GetStale(ctx context.Context, key string) (*Item, error)
	// List returns all items under a prefix and a revision to watch from.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Events, error)
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive reports whether the lease still exists.
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	Revoke(ctx context.Context, lease int64) error
}

package batchstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
)

// A write that arrives after the end of its lease must do nothing, as in the platform's store: its
// key would never be deleted.
func TestWriteUnderEndedLeaseDoesNothing(t *testing.T) {
	for name, applyDelay := range map[string]time.Duration{"in time": 0, "late": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkEndedLease(t, applyDelay) })
		})
	}
}

// checkEndedLease writes a key under a lease that has ended, or that ends before the write takes
// effect.
func checkEndedLease(t *testing.T, applyDelay time.Duration) {
	store := &batchstore.Store{}
	lease, err := store.Grant(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	want := errkind.Unavailable
	if applyDelay > 0 {
		store.LoseAnswers(1, applyDelay)
		want = errkind.Ambiguous
	} else {
		time.Sleep(1100 * time.Millisecond)
	}
	if _, err := store.Commit(t.Context(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: "k", Lease: lease}}}); !want.Is(err) {
		t.Errorf("\nhave: error %v\nwant: one of kind %v", err, want)
	}
	time.Sleep(2 * applyDelay)
	if item, err := store.Get(t.Context(), "k"); item != nil || err != nil {
		t.Errorf("\nhave: item %v, error %v\nwant: no item", item, err)
	}
}

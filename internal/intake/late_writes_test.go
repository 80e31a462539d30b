package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
)

// slowStore carries each write out, and answers it, after a delay.
type slowStore struct {
	*batchstore.Store
	delay time.Duration
}

func (s *slowStore) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	time.Sleep(s.delay)
	return s.Store.Commit(ctx, txn)
}

// Guards against: a job is refused as not run while another call of this host still writes it.
func TestNoRefusalByLoadOfAJobWhoseWriteIsUnderWay(t *testing.T) {
	testOverloaded(t, func(t *testing.T, h *overloadedHost) {
		copied := h.Load
		h.Load, h.Store = nil, &slowStore{Store: h.store, delay: 500 * time.Millisecond}
		first := make(chan error, 1)
		go func() { first <- h.submit(t, time.Second) }()
		synctest.Wait()
		h.Load = copied
		second := h.submit(t, time.Second)
		firstErr := <-first
		item, err := h.store.Get(t.Context(), records.SubmittedKey("1"))
		if errkind.Overloaded.Is(second) && item != nil {
			t.Errorf("the second Submit: have %v; the first: %v; stored %t, %v: refused as not run, but stored", second, firstErr, item != nil, err)
		}
	})
}

// Guards against: a caller whose first call had an unknown outcome is told that the job is not run, by the same
// host, before the store carries out the write.
func TestNoRefusalInAnOutageOfAJobWhoseWriteIsUnanswered(t *testing.T) {
	testOverloaded(t, func(t *testing.T, h *overloadedHost) {
		h.Load = nil
		h.store.LoseAnswers(100, 3*time.Second)
		if err := h.submit(t, 1300*time.Millisecond); !errkind.Ambiguous.Is(err) {
			t.Fatalf("first Submit: have %v, want an unknown outcome", err)
		}
		if err := h.submit(t, 1300*time.Millisecond); !errkind.Ambiguous.Is(err) {
			t.Errorf("second Submit: have %v, want an unknown outcome", err)
		}
		time.Sleep(10 * time.Second)
		h.store.LoseAnswers(0, 0)
		if err := h.submit(t, 1300*time.Millisecond); err != nil {
			t.Errorf("Submit once the store answers: have %v, want the job accepted", err)
		}
	})
}

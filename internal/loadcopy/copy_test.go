package loadcopy_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/loadcopy"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
)

// countedReads counts the reads of a store.
type countedReads struct {
	*batchstore.Store
	reads atomic.Int32
}

func (s *countedReads) GetStale(ctx context.Context, key string) (*keyvalue.Item, error) {
	s.reads.Add(1)
	return s.Store.GetStale(ctx, key)
}

// host is a host that keeps a copy of what a planner writes.
type host struct {
	*loadcopy.Copy
	t     *testing.T
	store *countedReads
}

// testHost runs a test with a host that has not read any digest.
func testHost(t *testing.T, test func(*host)) {
	synctest.Test(t, func(t *testing.T) {
		h := &host{t: t, store: &countedReads{Store: &batchstore.Store{}}}
		h.Copy = &loadcopy.Copy{Store: h.store, Metrics: metrics.NewRegistry(), Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- h.Run(ctx) }()
		synctest.Wait()
		test(h)
		stop()
		<-ended
	})
}

func (h *host) write(token, number int64, warm bool) {
	value, err := (&load.Digest{Token: token, Number: number, Warm: warm}).Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	h.put(value)
}

func (h *host) put(value []byte) {
	if _, err := h.store.Commit(h.t.Context(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.LoadKey, Value: value}}}); err != nil {
		h.t.Fatal(err)
	}
}

// see lets submissions arrive for some time, and returns what is known at the end.
func (h *host) see(wait time.Duration) loadcopy.View {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		h.Get(time.Now())
	}
	return h.Get(time.Now())
}

// check compares a view with the token and number that are expected to be known, or the cause for which nothing is.
func (h *host) check(when string, have loadcopy.View, token, number int64, unknown string) {
	h.t.Helper()
	if unknown != "" {
		if !strings.Contains(have.Unknown, unknown) {
			h.t.Errorf("%s: have %q of %+v, want it unknown: %s", when, have.Unknown, have.Digest, unknown)
		}
		return
	}
	if have.Unknown != "" || have.Digest.Token != token || have.Digest.Number != number {
		h.t.Errorf("%s: have %+v, %q, want digest %d of term %d", when, have.Digest, have.Unknown, number, token)
	}
}

// Guards against refusals by a load that is not known: no digest, one of unknown age, one that is old because its
// planner has died or the store is away, one of an earlier planner or one whose planner knows few targets.
func TestUnknownLoad(t *testing.T) {
	testHost(t, func(h *host) {
		h.check("before any digest", h.see(2*time.Second), 0, 0, "no digest")
		h.write(1, 1, true)
		h.check("after the first digest", h.see(1100*time.Millisecond), 1, 1, "")
		h.check("its planner has died", h.see(6*time.Second), 0, 0, "too old")
		time.Sleep(time.Minute)
		h.write(1, 9, true)
		h.check("written at some time in the last minute", h.see(500*time.Millisecond), 0, 0, "too old")
		h.write(1, 10, true)
		h.check("written since the last read", h.see(1100*time.Millisecond), 1, 10, "")
		h.write(2, 1, false)
		h.check("a new planner without reports", h.see(1100*time.Millisecond), 0, 0, "have not reported")
		h.write(2, 2, true)
		h.check("a new planner", h.see(1100*time.Millisecond), 2, 2, "")
		h.write(1, 11, true)
		h.check("an earlier planner's", h.see(1100*time.Millisecond), 2, 2, "")
		h.write(2, 3, true)
		h.put([]byte{0xff})
		h.check("one that cannot be decoded", h.see(1100*time.Millisecond), 2, 2, "")
		h.write(2, 4, true)
		h.see(1100 * time.Millisecond)
		h.write(2, 5, true)
		h.see(1100 * time.Millisecond)
		h.store.SetDown(true)
		h.check("the store is away for 2 s", h.see(2*time.Second), 2, 5, "")
		h.check("the store is away for 6 s", h.see(4*time.Second), 0, 0, "too old")
	})
}

// Guards against a host that takes an old digest for a new one because it reads it for the first time.
func TestAgeOfTheFirstDigest(t *testing.T) {
	testHost(t, func(h *host) {
		h.write(1, 5, true)
		h.check("a host that has just started", h.see(500*time.Millisecond), 0, 0, "not known")
		h.write(1, 6, true)
		h.check("the next digest", h.see(1100*time.Millisecond), 1, 6, "")
	})
}

// Guards against reads that nobody needs: each is paid for.
func TestReadsAreRare(t *testing.T) {
	testHost(t, func(h *host) {
		h.see(10 * time.Second)
		if reads := h.store.reads.Load(); reads > 11 {
			h.t.Errorf("%d reads in 10 s of submissions, want at most one a second", reads)
		}
		time.Sleep(time.Second)
		before := h.store.reads.Load()
		time.Sleep(10 * time.Second)
		if reads := h.store.reads.Load(); reads != before {
			h.t.Errorf("%d reads in 10 s without submissions, want none", reads-before)
		}
	})
}

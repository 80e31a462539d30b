package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/backoff"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/loadcopy"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/terms"
)

// overloadedHost is a host that knows of a surge beyond capacity: new jobs of queue q wait for a minute.
type overloadedHost struct {
	*intake.Intake
	store *batchstore.Store
	log   *memory.Handler
	call  intake.Call
}

// testOverloaded runs a test with a host to which the load has just become known.
func testOverloaded(t *testing.T, test func(*testing.T, *overloadedHost)) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchstore.Store{}
		h := &overloadedHost{Intake: newIntake(store), store: store, log: memory.New()}
		h.Log = &log.Logger{Handler: h.log, Level: log.InfoLevel}
		h.Load = &loadcopy.Copy{Store: store, Metrics: metrics.NewRegistry(), Log: h.Log}
		h.call = intake.Call{ID: "1", Queue: "q", Organisation: "o", Deadline: time.Now().Add(time.Hour), Terms: terms.Terms{Queue: "q", Service: "s", StretchFactor: 2, Priority: 1}}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- h.Load.Run(ctx) }()
		synctest.Wait()
		h.see()
		digest := &load.Digest{Token: 4, Number: 9, Warm: true, Queues: map[string]load.Queue{"q": {ExpectedWait: time.Minute, ShortFor: 3 * time.Second, EstimateRatio: 1}}}
		value, err := digest.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(ctx, keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.LoadKey, Value: value}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		h.see()
		test(t, h)
		stop()
		<-ended
	})
}

// see has the host read the digest.
func (h *overloadedHost) see() {
	h.Load.Get(time.Now())
	time.Sleep(200 * time.Millisecond)
}

// submit submits the job of the call with a time limit.
func (h *overloadedHost) submit(t *testing.T, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return h.Submit(ctx, h.call, job(h.call.ID))
}

// Guards against refusals that write something, that come late or without a time to return, and against log lines
// from which the cause can't be found.
func TestRefusalByLoad(t *testing.T) {
	testOverloaded(t, func(t *testing.T, h *overloadedHost) {
		start := time.Now()
		err := h.submit(t, time.Second)
		delay, ok := backoff.Of(err)
		if !errkind.Overloaded.Is(err) || !ok || delay.Exact < 2*time.Second || delay.Exact > 5*time.Second || time.Since(start) > 100*time.Millisecond {
			t.Errorf("Submit: have %v after %s, return after %s, want it refused as overloaded at once", err, time.Since(start), delay.Exact)
		}
		if items, _, err := h.store.List(t.Context(), records.JobPrefix); err != nil || len(items) != 0 {
			t.Errorf("stored: have %v, %v, want nothing", items, err)
		}
		last := h.log.Entries[len(h.log.Entries)-1]
		wants := log.Fields{"job": "1", "queue": "q", "organisation": "o", "wait": time.Minute, "digest": int64(9), "token": int64(4), "kind": "overloaded"}
		for field, want := range wants {
			if last.Fields[field] != want {
				t.Errorf("%s: have field %s %v, want %v", last.Message, field, last.Fields[field], want)
			}
		}
		if age := last.Fields["age"].(time.Duration); age <= 0 || age > 3*time.Second {
			t.Errorf("have age %s", age)
		}
	})
}

// Guards against callers who are told that a job does not run which is stored: one who repeats an ID after an answer
// was lost, one whose earlier write may still be carried out, and one whose ID can't be read.
func TestNoRefusalByLoadOfAJobThatMayBeStored(t *testing.T) {
	t.Run("its ID is stored", func(t *testing.T) {
		testOverloaded(t, func(t *testing.T, h *overloadedHost) {
			if _, err := h.store.Commit(t.Context(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.SubmittedKey("1"), Value: []byte("x")}}}); err != nil {
				t.Fatal(err)
			}
			if err := h.submit(t, time.Second); err != nil {
				t.Errorf("Submit: have %v, want the job accepted again", err)
			}
		})
	})
	t.Run("its earlier write is unanswered", func(t *testing.T) {
		testOverloaded(t, func(t *testing.T, h *overloadedHost) {
			copied := h.Load
			h.Load = nil
			h.store.LoseAnswers(10, 3*time.Second)
			if err := h.submit(t, 100*time.Millisecond); !errkind.Ambiguous.Is(err) {
				t.Fatalf("first Submit: have %v, want an unknown outcome", err)
			}
			h.store.LoseAnswers(0, 0)
			h.Load = copied
			if err := h.submit(t, time.Second); err != nil {
				t.Errorf("second Submit: have %v, want the job accepted", err)
			}
		})
	})
	t.Run("the store failed a moment ago", func(t *testing.T) {
		testOverloaded(t, func(t *testing.T, h *overloadedHost) {
			failed := time.Now()
			h.StoreFailedAt = func() time.Time { return failed }
			time.Sleep(time.Second)
			if err := h.submit(t, time.Second); err != nil {
				t.Errorf("Submit: have %v, want the job accepted", err)
			}
		})
	})
	t.Run("its ID can't be read", func(t *testing.T) {
		testOverloaded(t, func(t *testing.T, h *overloadedHost) {
			h.store.SetDown(true)
			time.AfterFunc(500*time.Millisecond, func() { h.store.SetDown(false) })
			if err := h.submit(t, 3*time.Second); err != nil {
				t.Errorf("Submit: have %v, want the job accepted", err)
			}
		})
	})
}

package relay_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/relay"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
)

// faultyStore is a store whose commits can be refused or left unanswered.
type faultyStore struct {
	keyvalue.Service
	refuse    atomic.Bool
	ambiguous atomic.Bool
	calls     atomic.Int32
}

func (s *faultyStore) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	s.calls.Add(1)
	if s.refuse.Load() {
		return keyvalue.TxnResult{}, errkind.Unavailable.New("try later", "refused by the test")
	}
	if s.ambiguous.Load() {
		return keyvalue.TxnResult{}, errkind.Ambiguous.New("read back", "left unanswered by the test")
	}
	return s.Service.Commit(ctx, txn)
}

func newRelay(direct keyvalue.Service, peers ...netip.AddrPort) *relay.Relay {
	return &relay.Relay{
		Direct: direct, Peers: func() []netip.AddrPort { return append([]netip.AddrPort(nil), peers...) }, Client: &http.Client{},
		Metrics: metrics.NewRegistry(), Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
}

func serve(t *testing.T, r *relay.Relay) netip.AddrPort {
	server := httptest.NewServer(r.Handler())
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func createTxn(key string) keyvalue.Txn {
	return keyvalue.Txn{Expect: []keyvalue.Expectation{{Key: key}}, Puts: []keyvalue.Put{{Key: key, Value: []byte("v")}}}
}

func TestCallsGoThroughAnotherHostWhileTheStoreRefuses(t *testing.T) {
	store := &batchstore.Store{}
	refusing := &faultyStore{Service: store}
	refusing.refuse.Store(true)
	r := newRelay(refusing, serve(t, newRelay(store)))
	result, err := r.Commit(context.Background(), createTxn("a"))
	if err != nil || !result.Applied {
		t.Fatalf("Commit: have %+v, %v, want it applied", result, err)
	}
	item, err := store.Get(context.Background(), "a")
	if err != nil || item == nil || item.Revision != result.Revision {
		t.Errorf("Get: have %+v, %v, want revision %d", item, err, result.Revision)
	}
	if result, err = r.Commit(context.Background(), createTxn("a")); err != nil || result.Applied || len(result.Current) != 1 {
		t.Errorf("second Commit: have %+v, %v, want it not applied, with one current item", result, err)
	}
}

// A call that may have taken effect must not be repeated through another host: a transaction
// could be applied twice.
func TestAmbiguousCallIsNotRepeated(t *testing.T) {
	store := &batchstore.Store{}
	direct, other := &faultyStore{Service: store}, &faultyStore{Service: store}
	direct.ambiguous.Store(true)
	r := newRelay(direct, serve(t, newRelay(other)))
	if _, err := r.Commit(context.Background(), createTxn("a")); !errkind.Ambiguous.Is(err) {
		t.Errorf("Commit: have %v, want an ambiguous error", err)
	}
	if other.calls.Load() != 0 {
		t.Error("Commit was repeated through another host")
	}
}

// Guards against: calls are kept from the store for a second after connections to it went silent, although new
// ones work; calls to a store that does not answer at all hang one after the other.
func TestStoreIsTriedAtOnceAfterUnansweredCalls(t *testing.T) {
	for answers, want := range map[bool]int32{true: relayedAfter + 2, false: relayedAfter + 1} {
		synctest.Test(t, func(t *testing.T) {
			direct := &faultyStore{Service: &batchstore.Store{}}
			direct.ambiguous.Store(true)
			r := newRelay(direct)
			for range relayedAfter {
				_, _ = r.Commit(t.Context(), createTxn("a"))
			}
			direct.ambiguous.Store(!answers)
			_, err := r.Commit(t.Context(), createTxn("a"))
			_, _ = r.Commit(t.Context(), createTxn("b"))
			if have := direct.calls.Load(); (err == nil) != answers || have != want {
				t.Errorf("the store answers again: %t: have %v and %d calls, want %d", answers, err, have, want)
			}
		})
	}
}

// relayedAfter is the number of failures after which calls go through other hosts.
const relayedAfter = 2

// lateStore leaves the first calls unanswered for a second, and answers later ones at once.
type lateStore struct {
	keyvalue.Service
	unanswered atomic.Int32
}

func (s *lateStore) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	if s.unanswered.Add(-1) < 0 {
		return s.Service.Commit(ctx, txn)
	}
	time.Sleep(time.Second)
	return keyvalue.TxnResult{}, errkind.Ambiguous.New("read back", "left unanswered by the test")
}

// Guards against: calls that hang on connections which went silent count against the store after a later call
// was answered.
func TestCallsBeforeTheLastAnswerDoNotCountAgainstTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lateStore{Service: &batchstore.Store{}}
		store.unanswered.Store(2 * relayedAfter)
		r := newRelay(store)
		ended := make(chan error, 2*relayedAfter)
		for i := range 2 * relayedAfter {
			go func() {
				_, err := r.Commit(t.Context(), createTxn(string(rune('a'+i))))
				ended <- err
			}()
		}
		synctest.Wait()
		time.Sleep(500 * time.Millisecond)
		if _, err := r.Commit(t.Context(), createTxn("z")); err != nil {
			t.Fatalf("Commit: %v", err)
		}
		for range 2 * relayedAfter {
			if err := <-ended; !errkind.Ambiguous.Is(err) {
				t.Errorf("call on a silent connection: have %v, want an ambiguous error", err)
			}
		}
		if r.Failing() {
			t.Error("the store counts as failing, though it answered the call that was sent last")
		}
	})
}

// A host whose own calls to the store fail refuses calls of other hosts without trying the
// store for each of them.
func TestHostWithoutTheStoreRefusesCallsOfOthers(t *testing.T) {
	store := &batchstore.Store{}
	refusing := &faultyStore{Service: store}
	refusing.refuse.Store(true)
	second := newRelay(refusing)
	for range 3 {
		if _, err := second.Commit(context.Background(), createTxn("a")); !errkind.Unavailable.Is(err) {
			t.Fatalf("Commit without peers: have %v, want an unavailable error", err)
		}
	}
	before := refusing.calls.Load()
	first := newRelay(&faultyStore{Service: refusing}, serve(t, second))
	if _, err := first.Commit(context.Background(), createTxn("b")); err == nil {
		t.Error("Commit: have no error, want one")
	}
	if second.Failing() && refusing.calls.Load() > before+1 {
		t.Errorf("the second host made %d calls to the store for the first, want at most 1", refusing.calls.Load()-before)
	}
}

// handlerTransport sends all requests to one handler; without a handler they fail.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if h.handler == nil {
		return nil, errors.New("no route to host")
	}
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// A host that reaches neither the store nor another zone counts as isolated. A host does not
// if hosts of other zones answer that they cannot reach the store either.
func TestIsolation(t *testing.T) {
	cases := []struct {
		name      string
		answers   bool
		otherZone bool
		want      bool
	}{
		{"the other zone answers", true, true, false},
		{"the other zone is unreachable", false, true, true},
		{"a host of the same zone is unreachable", false, false, false},
	}
	for _, test := range cases {
		synctest.Test(t, func(t *testing.T) {
			refusing := &faultyStore{Service: &batchstore.Store{}}
			refusing.refuse.Store(true)
			host := newRelay(refusing, netip.MustParseAddrPort("10.0.0.2:1"))
			host.InOtherZone = func(netip.AddrPort) bool { return test.otherZone }
			if test.answers {
				host.Client.Transport = handlerTransport{newRelay(refusing).Handler()}
			} else {
				host.Client.Transport = handlerTransport{}
			}
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error)
			go func() { ended <- host.Run(ctx) }()
			for range 3 {
				if _, err := host.Commit(context.Background(), createTxn("a")); err == nil {
					t.Fatalf("%s: Commit while the store refuses: have no error, want one", test.name)
				}
				time.Sleep(time.Second)
			}
			if have := host.Isolated(); have != test.want {
				t.Errorf("%s: Isolated: have %v, want %v", test.name, have, test.want)
			}
			refusing.refuse.Store(false)
			if _, err := host.Commit(context.Background(), createTxn("b")); err != nil || host.Isolated() {
				t.Errorf("%s: Commit once the store answers: have %v, isolated %v, want no error and not isolated", test.name, err, host.Isolated())
			}
			stop()
			<-ended
		})
	}
}

// Guards against callers who are refused for up to a second after an outage of the store: a read that has no
// other way goes to the store, though not more often than each 250 ms.
func TestReadsNoticeThatTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Service: &batchstore.Store{}}
		store.refuse.Store(true)
		r := newRelay(store)
		for range 2 {
			_, _ = r.Commit(t.Context(), createTxn("a"))
		}
		if since := time.Since(r.FailedAt()); since != 0 {
			t.Errorf("FailedAt just after a failure: have %s ago", since)
		}
		if _, err := r.Get(t.Context(), "a"); !errkind.Unavailable.Is(err) {
			t.Errorf("Get just after a failure: have %v, want an unavailable error", err)
		}
		store.refuse.Store(false)
		time.Sleep(300 * time.Millisecond)
		if _, err := r.Get(t.Context(), "a"); err != nil || r.Failing() {
			t.Errorf("Get after 300 ms: have %v, failing %t, want no error", err, r.Failing())
		}
		if result, err := r.Commit(t.Context(), createTxn("a")); err != nil || !result.Applied {
			t.Errorf("Commit after the read: have %+v, %v, want it applied", result, err)
		}
	})
}

// zoneTransport lets the hosts of the caller's own zone be reached or not, and those of other zones not.
type zoneTransport struct {
	handlerTransport
	sameZone string
}

func (z zoneTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host != z.sameZone {
		return nil, errors.New("no route to host")
	}
	return z.handlerTransport.RoundTrip(r)
}

// Guards against callers who are told to return at once although their whole zone is cut off, and against
// callers who wait although only this host is.
func TestHostIsAloneOnlyIfItsZoneDoesNotAnswer(t *testing.T) {
	for _, zoneAnswers := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			refusing := &faultyStore{Service: &batchstore.Store{}}
			refusing.refuse.Store(true)
			sameZone, otherZone := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
			host := newRelay(refusing, sameZone, otherZone)
			host.InOtherZone = func(address netip.AddrPort) bool { return address == otherZone }
			transport := zoneTransport{sameZone: sameZone.String()}
			if zoneAnswers {
				transport.handler = newRelay(refusing).Handler()
			}
			host.Client.Transport = transport
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- host.Run(ctx) }()
			_, _ = host.Commit(t.Context(), createTxn("a"))
			time.Sleep(time.Second)
			if !host.Isolated() || host.Alone() == zoneAnswers {
				t.Errorf("zone answers %t: have isolated %t, alone %t, want true, %t", zoneAnswers, host.Isolated(), host.Alone(), !zoneAnswers)
			}
			refusing.refuse.Store(false)
			if _, err := host.Commit(t.Context(), createTxn("b")); err != nil || host.Alone() {
				t.Errorf("zone answers %t: once the store answers, have %v, alone %t", zoneAnswers, err, host.Alone())
			}
			stop()
			<-ended
		})
	}
}

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

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/relay"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
)

// gated is a store that can turn a host away.
type gated struct {
	keyvalue.Service
	refuse    atomic.Bool
	ambiguous atomic.Bool
	calls     atomic.Int32
}

func (g *gated) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	g.calls.Add(1)
	if g.refuse.Load() {
		return keyvalue.TxnResult{}, fault.Unavailable.New("try later", "turned away")
	}
	if g.ambiguous.Load() {
		return keyvalue.TxnResult{}, fault.Ambiguous.New("read back", "no answer")
	}
	return g.Service.Commit(ctx, txn)
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

func write(key string) keyvalue.Txn {
	return keyvalue.Txn{Expect: []keyvalue.Expectation{{Key: key}}, Puts: []keyvalue.Put{{Key: key, Value: []byte("v")}}}
}

func TestCallsOfAHostThatIsTurnedAwayGoThroughAnother(t *testing.T) {
	store := &batchstore.Store{}
	away := &gated{Service: store}
	away.refuse.Store(true)
	r := newRelay(away, serve(t, newRelay(store)))
	result, err := r.Commit(context.Background(), write("a"))
	if err != nil || !result.Applied {
		t.Fatalf("Commit: have %+v, %v, want it applied", result, err)
	}
	item, err := store.Get(context.Background(), "a")
	if err != nil || item == nil || item.Revision != result.Revision {
		t.Errorf("Get: have %+v, %v, want revision %d", item, err, result.Revision)
	}
	if result, err = r.Commit(context.Background(), write("a")); err != nil || result.Applied || len(result.Current) != 1 {
		t.Errorf("a second Commit: have %+v, %v, want its condition refused", result, err)
	}
}

func TestCallThatMayHaveTakenEffectIsNotMadeAgain(t *testing.T) {
	store := &batchstore.Store{}
	silent, other := &gated{Service: store}, &gated{Service: store}
	silent.ambiguous.Store(true)
	r := newRelay(silent, serve(t, newRelay(other)))
	if _, err := r.Commit(context.Background(), write("a")); !fault.Ambiguous.Is(err) {
		t.Errorf("Commit: have %v, want an ambiguous error", err)
	}
	if other.calls.Load() != 0 {
		t.Error("the call was made a second time through another host")
	}
}

func TestHostThatIsTurnedAwayItselfRefusesOthersAtOnce(t *testing.T) {
	store := &batchstore.Store{}
	away := &gated{Service: store}
	away.refuse.Store(true)
	second := newRelay(away)
	for range 3 {
		if _, err := second.Commit(context.Background(), write("a")); !fault.Unavailable.Is(err) {
			t.Fatalf("Commit without peers: have %v, want an unavailable error", err)
		}
	}
	before := away.calls.Load()
	first := newRelay(&gated{Service: away}, serve(t, second))
	if _, err := first.Commit(context.Background(), write("b")); err == nil {
		t.Error("Commit: want an error")
	}
	if second.Failing() && away.calls.Load() > before+1 {
		t.Errorf("the second host tried %d times for another", away.calls.Load()-before)
	}
}

// between carries calls to one other host, or to none.
type between struct{ to http.Handler }

func (b between) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.to == nil {
		return nil, errors.New("no route to host")
	}
	recorder := httptest.NewRecorder()
	b.to.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// A host that reaches neither the store nor another zone counts as isolated; one whose
// neighbours in other zones answer that the store is out for them too does not.
func TestIsolation(t *testing.T) {
	cases := []struct {
		name    string
		answers bool
		distant bool
		want    bool
	}{
		{"the other zone answers", true, true, false},
		{"the other zone is out of reach", false, true, true},
		{"only the own zone is out of reach", false, false, false},
	}
	for _, test := range cases {
		synctest.Test(t, func(t *testing.T) {
			away := &gated{Service: &batchstore.Store{}}
			away.refuse.Store(true)
			host := newRelay(away, netip.MustParseAddrPort("10.0.0.2:1"))
			host.Distant = func(netip.AddrPort) bool { return test.distant }
			if test.answers {
				host.Client.Transport = between{newRelay(away).Handler()}
			} else {
				host.Client.Transport = between{}
			}
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error)
			go func() { ended <- host.Run(ctx) }()
			for range 3 {
				if _, err := host.Commit(context.Background(), write("a")); err == nil {
					t.Fatalf("%s: a write was taken", test.name)
				}
				time.Sleep(time.Second)
			}
			if have := host.Isolated(); have != test.want {
				t.Errorf("%s: have isolated %v, want %v", test.name, have, test.want)
			}
			away.refuse.Store(false)
			if _, err := host.Commit(context.Background(), write("b")); err != nil || host.Isolated() {
				t.Errorf("%s: have %v, isolated %v once the store answers", test.name, err, host.Isolated())
			}
			stop()
			<-ended
		})
	}
}

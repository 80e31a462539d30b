package entry_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/entry"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/relay"
	"github.com/eelgrasstide/eelgrasstide/internal/roster"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// panicking is a store whose calls panic until a time, and whose watches on the operators' keys block until blocked
// is closed.
type panicking struct {
	*batchstore.Store
	until   time.Time
	blocked chan struct{}
}

func (p *panicking) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	if time.Now().Before(p.until) {
		panic("a defect")
	}
	return p.Store.List(ctx, prefix)
}

func (p *panicking) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Events, error) {
	if p.blocked != nil && prefix == "o/" {
		<-p.blocked
	}
	return p.Store.Watch(ctx, prefix, after, wait)
}

// startEntry starts a host without listeners, and returns it with a function that stops it.
func startEntry(t *testing.T, store keyvalue.Service) (*entry.Entry, func()) {
	logger, registry := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, metrics.NewRegistry()
	hosts := &roster.Roster{Store: store, Name: "h", Zone: "z", Log: logger}
	relayed := &relay.Relay{Direct: store, Peers: hosts.Peers, Metrics: registry, Log: logger}
	e := &entry.Entry{
		Settings: entry.Settings{Name: "h", MaxTaskLease: time.Second, StopGrace: time.Second, Retention: time.Minute},
		Store:    relayed, Roster: hosts, Relay: relayed, Registry: registry, Log: logger,
		StoreLayout: entry.StoreLayout{
			OperatorPrefix: "o/", ConfigurationKey: "o/c", TargetPrefix: "t/",
			CordonedZone:  func(string) (string, error) { return "", nil },
			ReadCatalogue: readCatalogue,
			ReadListing:   func(string, []byte) (target.Listing, error) { return target.Listing{}, errors.New("no target") },
		},
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	return e, func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("Run: have %v, want no error", err)
		}
	}
}

// readCatalogue decodes a configuration, and panics for the value "poison".
func readCatalogue(value []byte) (*catalogue.Catalogue, error) {
	if string(value) == "poison" {
		panic("a defect")
	}
	return &catalogue.Catalogue{Version: int64(len(value))}, nil
}

// Guards against: a host lives on for good without the loops that follow the configuration, register it and compete
// for the term, since one panic ended each.
func TestHostOutlivesPanicsOfItsLoops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &operators{Store: &batchstore.Store{}, t: t}
		o.write([]string{"o/c"}, nil)
		e, stop := startEntry(t, &panicking{Store: o.Store, until: time.Now().Add(5 * time.Second)})
		time.Sleep(4 * time.Second)
		if e.IsReady() {
			t.Error("have a ready host before it has read a configuration")
		}
		time.Sleep(16 * time.Second)
		if !e.IsReady() {
			t.Error("have a host that is not ready, 15 s after the last panic")
		}
		for _, key := range []string{"host/h", "planner/alive"} {
			if item, err := o.Get(t.Context(), key); item == nil || err != nil {
				t.Errorf("have no key %s (%v), want the host's entry and a planner", key, err)
			}
		}
		for _, loop := range []string{"configuration", "roster", "term"} {
			if metrics.GetOrRegisterCounter("background.ended."+loop, e.Registry).Count() == 0 {
				t.Errorf("have no counted end of the loop %s", loop)
			}
		}
		stop()
	})
}

// Guards against: a configuration that a decoder can't handle stops the host from following those after it.
func TestConfigurationThatPanicsIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &operators{Store: &batchstore.Store{}, t: t}
		o.write([]string{"o/c"}, nil)
		e, stop := startEntry(t, o.Store)
		time.Sleep(2 * time.Second)
		for _, value := range []string{"poison", "a later version"} {
			if _, err := o.Commit(t.Context(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: "o/c", Value: []byte(value)}}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			if current := e.Catalogue(); current == nil || (value != "poison") != (current.Version > 2) {
				t.Errorf("after %q: have %+v, want the last version that can be decoded", value, current)
			}
		}
		if have := metrics.GetOrRegisterCounter("background.ended.configuration", e.Registry).Count(); have != 0 {
			t.Errorf("the loop that follows the configuration has ended %d times, want none", have)
		}
		stop()
	})
}

// Guards against: a host whose loop hangs serves an old configuration for good and says that it is ready.
func TestHostThatNoLongerFollowsTheConfigurationIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &operators{Store: &batchstore.Store{}, t: t}
		o.write([]string{"o/c"}, nil)
		hung := &panicking{Store: o.Store, blocked: make(chan struct{})}
		e, stop := startEntry(t, hung)
		for second := range 30 {
			time.Sleep(time.Second)
			if ready, want := e.IsReady(), second < 20; (second < 18 || second > 24) && ready != want {
				t.Errorf("%d s after the last answer about the configuration: have a ready host: %t, want %t", second+1, ready, want)
			}
		}
		close(hung.blocked)
		time.Sleep(4 * time.Second)
		if !e.IsReady() {
			t.Error("have a host that is not ready while it follows the configuration again")
		}
		o.SetDown(true)
		time.Sleep(time.Minute)
		if !e.IsReady() {
			t.Error("have a host that is not ready in an outage of the store")
		}
		stop()
	})
}

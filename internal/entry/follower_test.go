package entry_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/cordon"
	"github.com/eelgrasstide/eelgrasstide/internal/entry"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
)

// operators writes to the store as operators do.
type operators struct {
	*batchstore.Store
	t *testing.T
}

func (o *operators) write(puts, deletes []string) {
	o.t.Helper()
	txn := keyvalue.Txn{Deletes: deletes}
	for _, key := range puts {
		txn.Puts = append(txn.Puts, keyvalue.Put{Key: key, Value: []byte("{}")})
	}
	if _, err := o.Commit(o.t.Context(), txn); err != nil {
		o.t.Fatal(err)
	}
}

// deaf is a store of which no watch can be read.
type deaf struct {
	*batchstore.Store
	lists atomic.Int32
}

func (d *deaf) Watch(context.Context, string, int64, time.Duration) (keyvalue.Events, error) {
	return keyvalue.Events{Compacted: true}, nil
}

func (d *deaf) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	d.lists.Add(1)
	return d.Store.List(ctx, prefix)
}

// Guards against: a host whose watches fail at once reads the operators' keys in full without a pause, or no more.
func TestFollowerPausesBetweenFullReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		operators := &operators{Store: &batchstore.Store{}, t: t}
		store := &deaf{Store: operators.Store}
		follower, stop := operators.followFrom(store)
		defer stop()
		time.Sleep(3 * time.Second)
		operators.write([]string{"o/c"}, nil)
		time.Sleep(200 * time.Millisecond)
		if follower.Catalogue() == nil {
			t.Error("have no configuration 0.2 s after it was written")
		}
		if lists := store.lists.Load(); lists < 15 || lists > 25 {
			t.Errorf("have %d full reads in 3.2 s, want 15 to 25", lists)
		}
	})
}

// follow starts a follower and returns it with a function that ends it.
func (o *operators) follow() (*entry.Follower, func()) { return o.followFrom(o.Store) }

// followFrom does so with a store in the place of the operators'.
func (o *operators) followFrom(store keyvalue.Service) (*entry.Follower, func()) {
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	follower := &entry.Follower{Store: store, Metrics: metrics.NewRegistry(), Log: logger, Layout: &entry.StoreLayout{
		OperatorPrefix: "o/", ConfigurationKey: "o/c",
		ReadCatalogue: func([]byte) (*catalogue.Catalogue, error) { return &catalogue.Catalogue{Version: 1}, nil },
		CordonedZone: func(key string) (string, error) {
			zone, ok := strings.CutPrefix(key, "o/z/")
			if !ok {
				return "", nil
			}
			if zone == "" {
				return "", errkind.Invalid.New("name a zone", "CordonedZone: no zone")
			}
			return zone, nil
		},
	}}
	ctx, cancel := context.WithCancel(o.t.Context())
	go func() { _ = follower.Run(ctx) }()
	return follower, cancel
}

func checkZones(t *testing.T, what string, set *cordon.Set, want ...string) {
	t.Helper()
	if have := set.Zones(); !slices.Equal(have, want) {
		t.Errorf("%s: have zones %v cordoned, want %v", what, have, want)
	}
}

// Guards against cordons that are missed or outlast their request: those before the start, changes,
// malformed keys, and changes of which the store has compacted the history.
func TestFollowerKeepsTheCordons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &operators{Store: &batchstore.Store{}, t: t}
		o.write([]string{"o/c", "o/z/a", "o/z/", "o/other"}, nil)
		follower, stop := o.follow()
		defer stop()
		if set := follower.Cordons(); !set.Confirmed.IsZero() {
			t.Errorf("before the first read: have cordons confirmed at %s, want unconfirmed ones", set.Confirmed)
		}
		time.Sleep(100 * time.Millisecond)
		checkZones(t, "first read", follower.Cordons(), "a")
		if follower.Catalogue() == nil {
			t.Error("have no configuration, want one")
		}
		o.write([]string{"o/z/b", "o/z/"}, nil)
		time.Sleep(100 * time.Millisecond)
		checkZones(t, "second request", follower.Cordons(), "a", "b")
		o.write(nil, []string{"o/z/a"})
		time.Sleep(100 * time.Millisecond)
		checkZones(t, "end of the first request", follower.Cordons(), "b")
		o.SetDown(true)
		time.Sleep(5 * time.Second)
		o.SetDown(false)
		o.write([]string{"o/z/c"}, []string{"o/z/b"})
		o.Compact()
		time.Sleep(5 * time.Second)
		checkZones(t, "compacted history", follower.Cordons(), "c")
	})
}

// Guards against cordons that look fresher than they are, and against a host that waits longer than
// needed to confirm them after an outage.
func TestCordonsAreAsOldAsTheCallThatConfirmedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &operators{Store: &batchstore.Store{}, t: t}
		follower, stop := o.follow()
		defer stop()
		time.Sleep(10 * time.Second)
		if age, ok := follower.Cordons().Age(time.Now()); !ok || age > 2100*time.Millisecond {
			t.Errorf("in contact: have age %s (%t), want one of at most two watches", age, ok)
		}
		follower.SetPlanning(2 * time.Second)
		time.Sleep(5 * time.Second)
		if age, _ := follower.Cordons().Age(time.Now()); age > 500*time.Millisecond {
			t.Errorf("at a planner with a bound of 2 s: have age %s, want one of at most two short watches", age)
		}
		follower.SetPlanning(0)
		time.Sleep(5 * time.Second)
		confirmed := follower.Cordons().Confirmed
		o.write([]string{"o/z/a"}, nil)
		requested := time.Now()
		time.Sleep(10 * time.Millisecond)
		if set := follower.Cordons(); !set.Has("a") || set.Confirmed.Equal(confirmed) || set.Confirmed.After(requested) {
			t.Errorf("have %v, want the request confirmed by the watch that was sent before", set)
		}
		o.SetDown(true)
		time.Sleep(8 * time.Second)
		if age, _ := follower.Cordons().Age(time.Now()); age < 7*time.Second || !follower.Cordons().Has("a") {
			t.Errorf("in an outage of 8 s: have age %s and zones %v, want what was known before", age, follower.Cordons().Zones())
		}
		o.SetDown(false)
		time.Sleep(1200 * time.Millisecond)
		if age, _ := follower.Cordons().Age(time.Now()); age > 1200*time.Millisecond {
			t.Errorf("after the outage: have age %s, want the cordons confirmed since", age)
		}
	})
}

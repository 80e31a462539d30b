package leadership_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/leadership"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
)

// A worker's refusal of an earlier epoch may arrive after this host was elected again. It must
// not end the new epoch.
func TestLateRefusalKeepsPresentEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leadership.Leadership{Store: &store.Store{Backend: &keyvalue.KeyValue{}}, Zone: "z", Incarnation: "a", Lease: leadership.DefaultLease}
		l.Step(t.Context())
		first, _ := l.Epoch()
		l.AbandonEpoch(first)
		time.Sleep(leadership.DefaultLease + time.Second)
		l.Step(t.Context())
		second, _ := l.Epoch()
		l.AbandonEpoch(first)
		if have, leaseValid := l.Epoch(); first == 0 || second <= first || have != second || !leaseValid {
			t.Errorf("\nhave: epochs %d, %d, then %d with lease valid %t\nwant: the second epoch, with a valid lease", first, second, have, leaseValid)
		}
	})
}

func TestHolderStopsBeforeLeaseLapses(t *testing.T) {
	for _, renewals := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d renewals", renewals), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHolderStops(t, renewals) })
		})
	}
}

// checkHolderStops stops the first planner after some renewals, and checks that its lease and
// the second planner's are never valid at the same time.
func checkHolderStops(t *testing.T, renewals int) {
	backend := &keyvalue.KeyValue{}
	first := &leadership.Leadership{Store: &store.Store{Backend: backend}, Zone: "z", Incarnation: "a", Lease: leadership.DefaultLease}
	second := &leadership.Leadership{Store: &store.Store{Backend: backend}, Zone: "z", Incarnation: "b", Lease: leadership.DefaultLease}
	first.Step(t.Context())
	for range renewals {
		time.Sleep(time.Second)
		first.Step(t.Context())
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		second.Step(t.Context())
		_, firstValid := first.Epoch()
		_, secondValid := second.Epoch()
		if firstValid && secondValid {
			t.Fatal("\nhave: two planners with a valid lease\nwant: at most one")
		}
	}
	if _, leaseValid := second.Epoch(); !leaseValid {
		t.Error("\nhave: no planner\nwant: the second one, after the first one's lease has lapsed")
	}
}

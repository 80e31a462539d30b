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

// A refusal of an earlier epoch may come late, after this host planned again.
func TestLateRefusalLeavesThePresentEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leadership.Leadership{Store: &store.Store{Backend: &keyvalue.KeyValue{}}, Zone: "z", Incarnation: "a", Lease: leadership.DefaultLease}
		l.Step(t.Context())
		first, _ := l.Epoch()
		l.Fenced(first)
		time.Sleep(leadership.DefaultLease + time.Second)
		l.Step(t.Context())
		second, _ := l.Epoch()
		l.Fenced(first)
		if have, may := l.Epoch(); first == 0 || second <= first || have != second || !may {
			t.Errorf("\nhave: epochs %d, %d, then %d %t\nwant: the second, still held", first, second, have, may)
		}
	})
}

func TestHolderStopsBeforeItsLeaseLapses(t *testing.T) {
	for _, renewals := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d renewals", renewals), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { holderStops(t, renewals) })
		})
	}
}

// holderStops lets the first planner go silent after some renewals.
func holderStops(t *testing.T, renewals int) {
	held := &keyvalue.KeyValue{}
	first := &leadership.Leadership{Store: &store.Store{Backend: held}, Zone: "z", Incarnation: "a", Lease: leadership.DefaultLease}
	second := &leadership.Leadership{Store: &store.Store{Backend: held}, Zone: "z", Incarnation: "b", Lease: leadership.DefaultLease}
	first.Step(t.Context())
	for range renewals {
		time.Sleep(time.Second)
		first.Step(t.Context())
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		second.Step(t.Context())
		_, one := first.Epoch()
		_, two := second.Epoch()
		if one && two {
			t.Fatal("\nhave: two planners may order\nwant: at most one")
		}
	}
	if _, may := second.Epoch(); !may {
		t.Error("\nhave: no planner\nwant: the second, after the first one's lease")
	}
}

package router_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/router"
)

// Guards against requests that are sent to runners of a cordoned zone, and against runners that get none
// after the end of the cordon.
func TestNoRunnerOfACordonedZoneIsPicked(t *testing.T) {
	now := time.Now()
	r := &router.Router{MaxPerRunner: 4, Random: rand.New(rand.NewPCG(1, 1))}
	r.Update(now, []router.Listing{{Name: "r", Address: netip.MustParseAddrPort("10.0.0.1:80")}}, nil)
	for _, cordoned := range []bool{false, true, false} {
		r.SetCordoned(cordoned)
		listing, picked := r.Pick(now, nil)
		if picked {
			r.CancelPick(listing.Name)
		}
		free, _ := r.FreeCapacity(now)
		if state := r.Views(now)[0].State; picked == cordoned || (free > 0) == cordoned || (state == "cordoned") != cordoned {
			t.Errorf("\nhave: picked %t, free capacity %d, state %s\nwant: cordoned %t", picked, free, state, cordoned)
		}
	}
}

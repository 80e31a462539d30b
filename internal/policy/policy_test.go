package policy_test

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/policy"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Guards against: priorities that count more or less than the setting says, and one job that outweighs
// all others because its caller's estimate is far too high.
func TestWeight(t *testing.T) {
	p := policy.FromSettings(nil)
	for _, c := range []struct {
		priority           int
		relativeWork, want float64
	}{{0, 1, 1}, {1, 1, 0.5}, {2, 1, 0.25}, {0, 0, 0.5}, {0, 3, 2}, {2, 3, 0.5}, {0, 1e6, 4}, {0, math.Inf(1), 4}} {
		if have := p.Weight(c.priority, c.relativeWork); have != c.want {
			t.Errorf("Weight(%d, %g): have %g, want %g", c.priority, c.relativeWork, have, c.want)
		}
	}
}

// Guards against: a value that jumps at the objective, rises with the delay, or leaves an expired job
// without a place in the order.
func TestValueFallsFromTheObjectiveToTheExpiry(t *testing.T) {
	l := policy.NewLateness(10*time.Second, 3)
	for end, want := range map[time.Duration]float64{0: 1, 10 * time.Second: 1, 15 * time.Second: 0.75, 20 * time.Second: 0.5} {
		if have := l.ValueShare(end); have != want {
			t.Errorf("share of the value at %s: have %g, want %g", end, have, want)
		}
	}
	if have := l.ValueShare(time.Hour); have <= 0 || have > 0.05 || have > l.ValueShare(29*time.Second) {
		t.Errorf("share of the value of an expired job: have %g, want a little more than 0", have)
	}
	if have := policy.NewLateness(10*time.Second, 0.5).Expiry; have != 10*time.Second {
		t.Errorf("expiry with a stretch factor below 1: have %s, want the objective", have)
	}
}

// Guards against: a setting of 0 that is taken for one that is left out, and values that no decision
// can use.
func TestSettings(t *testing.T) {
	p := policy.FromSettings(&wire.PolicySettings{WorkShare: proto.Float64(0)})
	if p.WorkShare != 0 || p.PriorityStep != 2 || len(p.Validate()) > 0 {
		t.Errorf("have %+v with problems %v, want a work share of 0 and the other defaults", p, p.Validate())
	}
	wrong := policy.Policy{PriorityStep: math.NaN(), WorkShare: 1.5, MaxPreemptions: -1}
	if have := wrong.Validate(); len(have) != 4 {
		t.Errorf("have problems %v, want one for each field", have)
	}
}

package share_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/share"
)

var start = time.Unix(1_800_000_000, 0)

func newLedger() *share.Ledger { return &share.Ledger{HalfLife: share.DefaultHalfLife} }

func ExampleLedger() {
	ledger := newLedger()
	ledger.SetRunning(start, "large", 6)
	ledger.SetRunning(start, "small", 2)
	now := start.Add(10 * time.Second)
	ledger.Compete(now, map[string]bool{"large": true, "small": true}, true)
	for _, organisation := range ledger.Organisations() {
		used, fair := ledger.Parts(organisation)
		fmt.Printf("%s used %.2f, fair %.2f, factor %.2f\n", organisation, used, fair, ledger.Factor(organisation))
	}
	// Output:
	// large used 0.75, fair 0.50, factor 0.67
	// small used 0.25, fair 0.50, factor 2.00
}

// Guards against: organisations are held back while nobody else needs the capacity, or by more than the
// bound; weights or work that has just started are not considered; what an organisation leaves is lost to the others.
func TestFactor(t *testing.T) {
	both := map[string]bool{"a": true, "b": true}
	for name, test := range map[string]struct {
		running map[string]float64
		weights map[string]float64
		waiting map[string]bool
		free    bool
		want    map[string]float64
	}{
		"one organisation":                 {map[string]float64{"a": 9}, nil, map[string]bool{"a": true}, false, map[string]float64{"a": 1}},
		"nothing is short":                 {map[string]float64{"a": 9}, nil, both, true, map[string]float64{"a": 1, "b": 1}},
		"nothing was used":                 {nil, nil, both, false, map[string]float64{"a": 1, "b": 1}},
		"bounded":                          {map[string]float64{"a": 99, "b": 1}, nil, both, false, map[string]float64{"a": 0.505, "b": 2}},
		"in proportion":                    {map[string]float64{"a": 6, "b": 4}, nil, both, false, map[string]float64{"a": 0.833, "b": 1.25}},
		"weights":                          {map[string]float64{"a": 6, "b": 3}, map[string]float64{"a": 2}, both, false, map[string]float64{"a": 1, "b": 1}},
		"what is left goes to the waiting": {map[string]float64{"a": 4, "b": 4, "c": 2}, nil, both, false, map[string]float64{"a": 1, "b": 1, "c": 2}},
		"unknown":                          {nil, nil, nil, false, map[string]float64{"z": 1}},
	} {
		ledger := newLedger()
		ledger.Weights = test.weights
		for organisation, targets := range test.running {
			ledger.SetRunning(start, organisation, targets)
		}
		ledger.Compete(start, test.waiting, !test.free)
		for organisation, want := range test.want {
			if have := ledger.Factor(organisation); math.Abs(have-want) > 0.001 {
				t.Errorf("%s: have factor %.3f of %s, want %.3f", name, have, organisation, want)
			}
		}
	}
}

// Guards against: use depends on how often it is charged, does not decay, or is lost with a planner;
// idle organisations are kept for ever.
func TestUsageDecaysAndIsInherited(t *testing.T) {
	former, often := newLedger(), newLedger()
	former.SetRunning(start, "a", 4)
	for i := range 500 {
		often.SetRunning(start.Add(time.Duration(i)*20*time.Millisecond), "a", 4)
	}
	now := start.Add(share.DefaultHalfLife)
	used := former.Usage(now)["a"]
	if want := 4 * 10 / math.Ln2 / 2; math.Abs(used-want) > 1e-6 || math.Abs(often.Usage(now)["a"]-want) > 1e-6 {
		t.Errorf("have use %f, charged often %f, want %f", used, often.Usage(now)["a"], want)
	}
	heir := newLedger()
	heir.Inherit(now, map[string]float64{"a": used, "invalid": math.NaN(), "negative": -1})
	now = now.Add(share.DefaultHalfLife)
	if have := heir.Usage(now); len(have) != 1 || math.Abs(have["a"]-used/2) > 1e-6 {
		t.Errorf("have inherited use %v a half-life later, want %f of a", have, used/2)
	}
	heir.Compete(now.Add(time.Hour), nil, true)
	if have := heir.Organisations(); len(have) != 0 {
		t.Errorf("have accounts of %v after an hour of idleness, want none", have)
	}
}

// slots is the number of targets in a trial.
const slots = 16

// trial shares slots between organisations whose tasks are worth the same. Each pass starts waiting units
// in the order of their factors, the oldest first, until one does not fit; it keeps what is free for that one.
type trial struct {
	ledger  *share.Ledger
	now     time.Time
	waiting []unit
	running []unit
	// ran is the time for which units of each organisation ran, in target-seconds.
	ran   map[string]float64
	short bool
}

type unit struct {
	organisation string
	targets      int
	end          time.Time
}

func newTrial() *trial { return &trial{ledger: newLedger(), now: start, ran: map[string]float64{}} }

func (s *trial) submit(organisation string, count, targets int) {
	for range count {
		s.waiting = append(s.waiting, unit{organisation: organisation, targets: targets})
	}
}

// pass advances by 100 ms.
func (s *trial) pass() {
	s.now = s.now.Add(100 * time.Millisecond)
	s.running = slices.DeleteFunc(s.running, func(u unit) bool { return !u.end.After(s.now) })
	organisations := map[string]bool{}
	for _, u := range s.waiting {
		organisations[u.organisation] = true
	}
	s.charge()
	s.ledger.Compete(s.now, organisations, s.short)
	slices.SortStableFunc(s.waiting, func(a, b unit) int {
		return -int(1000 * (s.ledger.Factor(a.organisation) - s.ledger.Factor(b.organisation)))
	})
	free := slots
	for _, u := range s.running {
		free -= u.targets
	}
	for len(s.waiting) > 0 && s.waiting[0].targets <= free {
		u := s.waiting[0]
		free -= u.targets
		u.end = s.now.Add(2 * time.Second)
		s.waiting, s.running = s.waiting[1:], append(s.running, u)
	}
	for _, u := range s.running {
		s.ran[u.organisation] += 0.1 * float64(u.targets)
	}
	s.short = len(s.waiting) > 0
	s.charge()
}

func (s *trial) charge() {
	targets := map[string]float64{}
	for _, organisation := range s.ledger.Organisations() {
		targets[organisation] = 0
	}
	for _, u := range s.running {
		targets[u.organisation] += float64(u.targets)
	}
	for organisation, used := range targets {
		s.ledger.SetRunning(s.now, organisation, used)
	}
}

func (s *trial) advance(seconds int, each func()) {
	for range seconds * 10 {
		if each != nil {
			each()
		}
		s.pass()
	}
}

// waitingOf counts the units of an organisation that wait.
func (s *trial) waitingOf(organisation string) int {
	count := 0
	for _, u := range s.waiting {
		if u.organisation == organisation {
			count++
		}
	}
	return count
}

// Guards against: one organisation that submits far more than its part keeps the others waiting.
func TestFloodDoesNotStarveOthers(t *testing.T) {
	s := newTrial()
	s.submit("flood", 2000, 1)
	s.submit("a", 100, 1)
	s.submit("b", 100, 1)
	s.advance(20, nil)
	for _, organisation := range []string{"a", "b"} {
		if have := s.ran[organisation]; have < 0.25*20*slots {
			t.Errorf("have %.0f target-seconds of %s in 20 s, want about a third of %d", have, organisation, 20*slots)
		}
	}
}

// Guards against: capacity stays idle because the only organisation that wants it is above its part.
func TestIdleCapacityIsLent(t *testing.T) {
	s := newTrial()
	s.submit("a", 1, 1)
	s.submit("large", 1000, 1)
	s.advance(20, nil)
	if have := s.ran["large"]; have < 0.95*20*slots {
		t.Errorf("have %.0f target-seconds used of %d, want nearly all", have, 20*slots)
	}
}

// Guards against: an organisation saves up its part while it is idle, and then keeps the others out.
func TestReturnAfterPauseIsABoundedBurst(t *testing.T) {
	s := newTrial()
	s.submit("steady", 5000, 1)
	s.submit("returns", 200, 1)
	s.advance(10, nil)
	s.waiting = slices.DeleteFunc(s.waiting, func(u unit) bool { return u.organisation == "returns" })
	s.advance(120, nil)
	before := s.ran["returns"]
	s.submit("returns", 2000, 1)
	s.advance(30, nil)
	fair := 0.5 * 30 * slots
	if have := s.ran["returns"] - before; have < fair || have > fair+slots*share.DefaultHalfLife.Seconds() {
		t.Errorf("have %.0f target-seconds in 30 s after the pause, want %.0f and at most a half-life of the capacity more", have, fair)
	}
}

// Guards against: a large gang of an organisation that uses little waits behind the many small tasks of
// another for good.
func TestLargeGangOfSmallOrganisationIsNotStarved(t *testing.T) {
	s := newTrial()
	s.submit("flood", 100, 1)
	s.advance(5, func() { s.submit("flood", 2, 1) })
	s.submit("small", 1, slots-2)
	for range 50 {
		s.submit("flood", 2, 1)
		s.pass()
		if s.waitingOf("small") == 0 {
			return
		}
	}
	t.Errorf("the gang has not started within 5 s; %d tasks of the other organisation wait", s.waitingOf("flood"))
}

package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/cordon"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// newZones returns a fixture whose targets lie in a zone and a rack for each of the given names, in
// their order.
func newZones(t *testing.T, zones ...string) *fixture {
	f := newFixture(t, len(zones))
	for i, zone := range zones {
		listing := f.listing(i)
		listing.Zone, listing.Rack = zone, "rack-"+zone
		f.TargetListed(f.now, listing)
	}
	return f
}

// cordon puts cordons of exactly these zones in force.
func (f *fixture) cordon(zones ...string) {
	set := &cordon.Set{Confirmed: f.now}
	for _, zone := range zones {
		set = set.With(zone, 7, true)
	}
	f.SetCordons(f.now, set)
}

func targetsOf(starts []scheduler.Start) []string {
	var out []string
	for _, start := range starts {
		out = append(out, start.Target)
	}
	slices.Sort(out)
	return out
}

func checkTargets(t *testing.T, what string, have []scheduler.Start, want ...string) {
	t.Helper()
	if targets := targetsOf(have); !slices.Equal(targets, want) {
		t.Errorf("%s: have starts on %v, want on %v", what, targets, want)
	}
}

// Guards against starts in a cordoned zone, also where all zones are cordoned, and against a cordon
// that outlasts its end.
func TestCordonedZonesGetNoStarts(t *testing.T) {
	f := newZones(t, "a", "b")
	f.cordon("a", "unknown")
	f.submit("one", "batch", smallStep(12))
	checkTargets(t, "one zone of two", f.startAll(), slices.Repeat([]string{"t1"}, 8)...)
	f.advance(100 * time.Millisecond)
	f.cordon("a", "b")
	f.submit("two", "batch", smallStep(1))
	checkTargets(t, "all zones", f.startAll())
	f.cordon("b")
	checkTargets(t, "the other zone", f.startAll(), slices.Repeat([]string{"t0"}, 5)...)
}

// Guards against starts of a new planner that does not know the cordons yet, where a bound holds for
// them.
func TestNothingStartsBeforeTheCordonsAreKnown(t *testing.T) {
	f := newZones(t, "a", "b")
	f.Limits.CordonTime = 5 * time.Second
	f.submit("one", "batch", smallStep(1))
	checkTargets(t, "no set", f.startAll())
	f.SetCordons(f.now, &cordon.Set{})
	checkTargets(t, "an unconfirmed set", f.startAll())
	f.cordon("b")
	checkTargets(t, "a confirmed set", f.startAll(), "t0")
}

// Guards against starts that are sent, or repeated, into a zone after its cordon, and against two runs
// of a task whose start there may be carried out late.
func TestNewCordonWithdrawsStarts(t *testing.T) {
	for name, answers := range map[string][]target.Answer{"not sent": nil, "in transit": nil, "accepted": {target.Accepted}, "not answered": {target.Unanswered}} {
		t.Run(name, func(t *testing.T) {
			f := newZones(t, "a", "b")
			f.cordon("b")
			f.submit("one", "batch", smallStep(1))
			first := f.Step(f.now).Starts[0]
			if name != "not sent" {
				f.StartSent(first)
			}
			for _, answer := range answers {
				f.StartAnswered(f.now, first, target.Reply{Answer: answer})
			}
			f.cordon("a")
			again := f.Step(f.now)
			switch name {
			case "not sent":
				checkTargets(t, name, again.Starts, "t1")
				if f.StartSent(first) {
					t.Error("the withdrawn start is still to be sent")
				}
			case "accepted", "in transit":
				if len(again.Starts)+len(again.Stops) > 0 || f.Deadline(f.now, "t0") == 0 {
					t.Errorf("have starts %v, stops %v and deadline %s, want the run to go on", again.Starts, again.Stops, f.Deadline(f.now, "t0"))
				}
			case "not answered":
				if len(again.Starts) > 0 || len(again.Stops) != 1 || f.StartSent(first) {
					t.Fatalf("have starts %v and stops %v, want one stop, and the start not repeated", again.Starts, again.Stops)
				}
				f.StopAnswered(f.now, again.Stops[0], 1, target.Reply{Answer: target.Accepted})
				f.advance(100 * time.Millisecond)
				f.report(0, target.Report{})
				checkTargets(t, "after the stop", f.startAll(), "t1")
			}
		})
	}
}

// Guards against gangs that run in part: a gang of which one start is withdrawn begins again as a whole.
func TestGangWithAWithdrawnStartBeginsAgain(t *testing.T) {
	f := newZones(t, "a", "a", "b", "b")
	step := workload.Step{Count: 2, Gang: true, Estimate: 4 * time.Second, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 8}}
	f.cordon("b")
	f.submit("one", "batch", step)
	gang := f.Step(f.now).Starts
	f.StartSent(gang[0])
	f.StartAnswered(f.now, gang[0], target.Reply{Answer: target.Accepted})
	f.cordon("a")
	stops := f.Step(f.now).Stops
	if len(stops) != 1 || stops[0].Run != gang[0].Run || f.StartSent(gang[1]) {
		t.Fatalf("have stops %v, want one of %v and no start of the other member", stops, gang[0].Run)
	}
	f.StopAnswered(f.now, stops[0], 1, target.Reply{Answer: target.Accepted})
	f.advance(100 * time.Millisecond)
	f.report(int(gang[0].Target[1]-'0'), target.Report{})
	checkTargets(t, "the next run", f.startAll(), "t2", "t3")
}

// Guards against work thrown away: capacity that a stop frees in a cordoned zone can't be used.
func TestNoRunIsStoppedForRoomInACordonedZone(t *testing.T) {
	for _, cordoned := range []bool{false, true} {
		f := newZones(t, "a")
		f.submit("victim", "batch", smallStep(8))
		f.startAll()
		if cordoned {
			f.cordon("a")
		}
		f.submit("urgent", "urgent", smallStep(1))
		f.advance(time.Second)
		f.report(0, target.Report{Running: f.running("victim", 8)})
		if stops := f.Step(f.now).Stops; (len(stops) == 0) != cordoned {
			t.Errorf("cordoned %t: have stops %v", cordoned, stops)
		}
	}
}

// running returns the first runs of a job's tasks as a target lists them.
func (f *fixture) running(job string, count int) []target.Running {
	var out []target.Running
	for i := range count {
		out = append(out, target.Running{Run: target.Run{Task: target.Task{Job: job, Index: i}, Number: 1}})
	}
	return out
}

// Guards against gangs that wait for a rack in a cordoned zone while others could hold them spread.
func TestGangIsSpreadIfOnlyACordonedRackCouldHoldIt(t *testing.T) {
	f := newZones(t, "a", "a", "b", "c", "d")
	f.cordon("a")
	f.submit("load", "batch", smallStep(13))
	f.startAll()
	step := smallStep(10)
	step.Gang, step.SameRack = true, true
	f.submit("gang", "batch", step)
	if starts := f.startAll(); len(starts) != 10 {
		t.Errorf("have %d starts of the gang, want 10: %s", len(starts), fmt.Sprint(targetsOf(starts)))
	}
}

// Guards against jobs that wait for a cordoned zone without a line that says so, against a line for each
// pass, and against lines for jobs that wait for other reasons.
func TestWaitForACordonedZoneIsLogged(t *testing.T) {
	const event = "job waits for a cordoned zone"
	f := newZones(t, "a", "b")
	large, gang := smallStep(1), smallStep(10)
	large.RequiredLabel, gang.Gang = "only-here", true
	listing := f.listing(0)
	listing.Zone, listing.Labels = "a", []string{"only-here"}
	f.TargetListed(f.now, listing)
	f.submit("load", "batch", smallStep(16))
	f.startAll()
	events := f.record()
	f.cordon("a")
	f.submit("label", "batch", large)
	f.submit("gang", "batch", gang)
	f.submit("small", "batch", smallStep(1))
	f.startAll()
	reasons := map[any]any{}
	for _, fields := range events[event] {
		reasons[fields["job"]] = fields["reason"]
	}
	if len(events[event]) != 2 || reasons["label"] == nil || reasons["gang"] == nil {
		t.Errorf("have %v, want one line for each of label and gang, and none for small, which would wait anyway", events[event])
	}
	for range 25 {
		f.advance(200 * time.Millisecond)
		f.startAll()
	}
	if have := len(events[event]); have != 2 {
		t.Errorf("have %d lines after 5 s, want 2", have)
	}
	for range 30 {
		f.advance(200 * time.Millisecond)
		f.startAll()
	}
	if have := len(events[event]); have != 4 {
		t.Errorf("have %d lines after 11 s, want 4", have)
	}
}

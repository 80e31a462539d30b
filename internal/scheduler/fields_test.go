package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

// record collects the events of a fixture's scheduler by name.
func (f *fixture) record() map[string][]scheduler.Fields {
	events := map[string][]scheduler.Fields{}
	f.Log = func(event string, fields scheduler.Fields) { events[event] = append(events[event], fields) }
	return events
}

func TestIgnoredReportsAndEntriesAreLoggedOncePerSecond(t *testing.T) {
	f := newFixture(t, 1)
	events := f.record()
	newer := f.listing(0)
	newer.Born = 5
	requested := f.now
	f.advance(10 * time.Millisecond)
	f.TargetListed(f.now, newer)
	for range 25 {
		f.ReportReceived(f.now, "t0", requested, target.Report{Born: 3})
		f.TargetListed(f.now, f.listing(0))
		f.advance(100 * time.Millisecond)
	}
	for event, born := range map[string]string{"report ignored": "reportBorn", "target entry ignored": "entryBorn"} {
		if have := events[event]; len(have) != 3 {
			t.Errorf("%s in 2.5 s: have %d lines, want 3", event, len(have))
		} else if have[0]["born"] != int64(5) || have[0][born] == int64(5) || have[0]["target"] != "t0" {
			t.Errorf("%s: have %v, want the target and both incarnations", event, have[0])
		}
	}
}

func TestLostRunsAreLoggedWithTheFormerIncarnationsLease(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("a", "batch", smallStep(1))
	run := f.startAll()[0].Run
	f.report(0, target.Report{Running: []target.Running{{Run: run}}})
	granted := f.Deadline(f.now, "t0")
	events := f.record()
	newer := f.listing(0)
	newer.Born = 5
	f.TargetListed(f.now, newer)
	if len(events["target restarted"]) != 1 || len(events["run lost"]) != 1 {
		t.Fatalf("have %v, want one restart and one lost run", events)
	}
	restarted, lost := events["target restarted"][0], events["run lost"][0]
	if restarted["formerBorn"] != int64(1) || restarted["born"] != int64(5) || restarted["leaseEnd"] != granted {
		t.Errorf("target restarted: have %v, want both incarnations and the lease end %s", restarted, granted)
	}
	if lost["born"] != int64(5) || lost["state"] != "confirmed" || lost["contacted"] != false || lost["reason"] != "the target restarted" {
		t.Errorf("run lost: have %v", lost)
	}
}

func TestEachMemberOfAWithdrawnGangIsLoggedOnce(t *testing.T) {
	f := newFixture(t, 4)
	gang := smallStep(4)
	gang.Gang = true
	f.submit("a", "batch", gang)
	events := f.record()
	plan := f.Step(f.now)
	if len(plan.Starts) != 4 {
		t.Fatalf("have %d starts, want 4", len(plan.Starts))
	}
	f.Cancel(f.now, records.Cancellation{Job: "a"})
	if have := len(events["run closed"]); have != 4 {
		t.Errorf("run closed: have %d lines, want 4", have)
	}
	if f.StartSent(plan.Starts[0]) || len(events["start dropped"]) != 1 {
		t.Errorf("start dropped: have %v, want one line for a start that is not wanted", events["start dropped"])
	}
}

package scheduler_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/cordon"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Guards against: a target that has started again gets work by the entry of its former incarnation, although it
// may be of another kind now.
func TestRestartedTargetGetsNoWorkByItsFormerEntry(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*target.Listing)
		want   int
	}{
		"the same":        {func(*target.Listing) {}, 1},
		"another label":   {func(l *target.Listing) { l.Labels = []string{"b"} }, 0},
		"another service": {func(l *target.Listing) { l.Service = "other" }, 0},
		"less capacity":   {func(l *target.Listing) { l.Capacity = workload.Resources{MilliCores: 500} }, 0},
		"a cordoned zone": {func(l *target.Listing) { l.Zone = "cordoned" }, 0},
		"draining":        {func(l *target.Listing) { l.Draining = true }, 0},
		"cold":            {func(l *target.Listing) { l.ColdRemaining = 10 * time.Second }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.SetCordons(f.now, &cordon.Set{Revisions: map[string]int64{"cordoned": 1}, Confirmed: f.now})
			entry := f.listing(0)
			entry.Labels = []string{"a"}
			f.TargetListed(f.now, entry)
			f.report(0, target.Report{})
			f.advance(time.Second)
			f.reportFrom(0, firstBorn+1, f.now, target.Report{})
			step := smallStep(1)
			step.RequiredLabel = "a"
			f.submit("job", "batch", step)
			if starts := f.startAll(); len(starts) != 0 {
				t.Errorf("have starts %v before the entry of the new incarnation", starts)
			}
			f.advance(time.Millisecond)
			f.TargetListed(f.now, entry)
			f.TargetUnlisted(f.now, "t0")
			f.TargetListed(f.now, entry)
			if starts := f.startAll(); len(starts) != 0 {
				t.Errorf("have starts %v after another entry of the former incarnation", starts)
			}
			entry.Born = firstBorn + 1
			c.change(&entry)
			f.TargetListed(f.now, entry)
			if starts := f.startAll(); len(starts) != c.want {
				t.Errorf("have starts %v by the entry of the new incarnation, want %d", starts, c.want)
			}
		})
	}
}

// Guards against: a new planner that reads an entry of the former incarnation takes it for that of the one that
// reports.
func TestReportOfAnotherIncarnationThanTheEntryFirst(t *testing.T) {
	f := newFixture(t, 0)
	f.TargetListed(f.now, f.listing(0))
	f.submit("job", "batch", smallStep(1))
	f.reportFrom(0, firstBorn+1, f.now, target.Report{})
	if starts := f.startAll(); len(starts) != 0 {
		t.Errorf("have starts %v before the entry of the incarnation that reports", starts)
	}
	f.restart(0, firstBorn+1)
	if starts := f.startAll(); len(starts) != 1 {
		t.Errorf("have starts %v, want one by the entry of the incarnation that reports", starts)
	}
}

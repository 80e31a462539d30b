package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// surge submits jobs of one organisation, each of which takes all 16 accelerators of two targets for 4 s.
func (f *fixture) surge(jobs int, organisation string) {
	for i := range jobs {
		f.Submit(f.now, &workload.Job{
			ID: fmt.Sprint(organisation, i), Queue: "batch", Organisation: organisation, Accepted: f.now, Steps: []workload.Step{smallStep(16)},
		})
	}
}

// The load: a surge beyond capacity. Guards against waits that leave out what waits already or what ends soon,
// against shortages that count from their first moment as lasting, and against urgent jobs that are said to
// wait for runs that they may stop.
func TestLoadOfASurgeBeyondCapacity(t *testing.T) {
	f := newFixture(t, 2)
	f.surge(10, "o")
	f.startAll()
	batch := f.Load(f.now).Queues["batch"]
	if batch.WaitingJobs != 9 || batch.WaitingWork < 70 || batch.WaitingWork > 75 || batch.EstimateRatio != 1 {
		t.Errorf("have %+v, want 9 jobs of 8 target-seconds each", batch)
	}
	// Of the nine jobs that wait, a new one comes after about half, and one wave is running.
	if batch.ExpectedWait < 16*time.Second || batch.ExpectedWait > 24*time.Second || batch.ShortFor > time.Second {
		t.Errorf("have a wait of %s, short for %s, want 16 s to 24 s, and not to have lasted", batch.ExpectedWait, batch.ShortFor)
	}
	f.submit("u", "urgent", smallStep(8))
	for range 3 {
		f.advance(time.Second)
		f.Load(f.now)
	}
	d := f.Load(f.now)
	if short := d.Queues["batch"].ShortFor; short < 3*time.Second {
		t.Errorf("short for %s after 3 s, want at least 3 s", short)
	}
	if urgent := d.Queues["urgent"]; urgent.WaitingJobs != 1 || urgent.ExpectedWait != 0 {
		t.Errorf("urgent queue: have %+v, want one waiting job and no wait", urgent)
	}
	f.advance(10 * time.Second)
	if short := f.Load(f.now).Queues["batch"].ShortFor; short > time.Second {
		t.Errorf("short for %s after 10 s without a digest, want it to be unknown whether it lasted", short)
	}
}

// Guards against waits while there is free capacity, and against digests that differ although nothing has
// changed, each of which costs a write.
func TestLoadWithoutWork(t *testing.T) {
	f := newFixture(t, 2)
	idle := f.Load(f.now)
	if !idle.Warm || idle.Waits() || idle.Services["s"] != (load.Service{Targets: 2, Largest: workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 8}}) {
		t.Errorf("have %+v, want a warm digest of 2 targets without queues", idle)
	}
	f.advance(time.Minute)
	if f.Load(f.now).Differs(idle) {
		t.Error("the digest differs a minute later, want it not to")
	}
	f.submit("a", "batch", smallStep(4))
	if batch := f.Load(f.now).Queues["batch"]; batch.ExpectedWait != 0 || batch.ShortFor != 0 {
		t.Errorf("with free capacity: have %+v, want no wait", batch)
	}
}

// The load: one organisation floods. Guards against shares by which it is not told from those that it displaces.
func TestLoadOfAFlood(t *testing.T) {
	f := newFixture(t, 2)
	f.surge(3, "flood")
	f.startAll()
	for _, organisation := range []string{"o", "p", "q"} {
		f.surge(1, organisation)
	}
	d := f.Load(f.now)
	if flood := d.Organisations["flood"]; flood.UsedShare != 1 || flood.FairShare != 0.25 {
		t.Errorf("the organisation that floods: have %+v, want it to use 1 of 0.25", flood)
	}
	if other := d.Organisations["p"]; other.UsedShare != 0 || other.FairShare != 0.25 || other.WaitingWork < 7 {
		t.Errorf("another one: have %+v, want it to use 0 of 0.25 and to wait", other)
	}
	if guaranteed := d.Organisations["o"]; guaranteed.FairShare != 0.5 {
		t.Errorf("the one with 8 guaranteed accelerators of 16: have %+v, want a share of 0.5", guaranteed)
	}
}

// Guards against new planners that take targets which have not reported for missing, and against jobs that are
// said to fit nowhere because the targets that hold them are away.
func TestLoadOfANewPlanner(t *testing.T) {
	f := newFixture(t, 4)
	f.TargetUnlisted(f.now, "t3")
	former := f.Load(f.now)
	next := &fixture{t: t, now: f.now, Scheduler: &scheduler.Scheduler{}}
	next.Configure(&catalogue.Catalogue{})
	next.InheritLoad(&load.Digest{Services: map[string]load.Service{"s": {Largest: workload.Resources{Accelerators: 16}}}})
	for i := range 3 {
		next.TargetListed(next.now, next.listing(i))
	}
	d := next.Load(next.now)
	if want := (workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 16}); d.Warm || d.Services["s"].Largest != want || d.Services["s"].Targets != 3 {
		t.Errorf("before any report: have %+v, want it not warm and to hold %s at most", d, want)
	}
	if !former.Warm || former.Services["s"].Largest.Accelerators != 8 {
		t.Errorf("a planner whose target has gone: have %+v", former)
	}
}

package scheduler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	lease   = 6 * time.Second
	horizon = 8 * time.Second
)

var start = time.Unix(1_800_000_000, 0)

// fixture drives a scheduler with a simulated clock and simulated targets.
type fixture struct {
	*scheduler.Scheduler
	t   testing.TB
	now time.Time
}

func newFixture(t testing.TB, targets int) *fixture {
	f := &fixture{t: t, now: start, Scheduler: &scheduler.Scheduler{Limits: scheduler.Limits{
		TaskLease: lease, RenewalHorizon: horizon, RemoteFactor: 3, Retention: time.Minute, CheckpointPeriod: time.Second,
	}}}
	f.Configure(&catalogue.Catalogue{
		Version: 1,
		Queues: []catalogue.Queue{
			{Name: "urgent", Service: "s", Priority: 0, MaxAttempts: 3, StretchFactor: 2},
			{Name: "batch", Service: "s", Priority: 2, MaxAttempts: 3, StretchFactor: 3},
		},
		Organisations: map[string]catalogue.Organisation{"o": {Name: "o", GuaranteedAccelerators: 8}, "guaranteed": {Name: "guaranteed", GuaranteedAccelerators: 64}, "small guarantee": {GuaranteedAccelerators: 4}},
	})
	for i := range targets {
		f.TargetListed(f.now, f.listing(i))
		f.report(i, target.Report{})
	}
	return f
}

func (f *fixture) listing(i int) target.Listing {
	return target.Listing{
		ID: fmt.Sprintf("t%d", i), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Rack: fmt.Sprintf("r%d", i/4), Born: 1,
		Capacity: workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 8},
	}
}

func (f *fixture) clock() time.Duration { return time.Minute + f.now.Sub(start) }

func (f *fixture) report(i int, report target.Report) {
	report.Born, report.Clock = 1, f.clock()
	f.ReportReceived(f.now, fmt.Sprintf("t%d", i), f.now, report)
}

func (f *fixture) submit(id, queue string, step workload.Step) {
	f.Submit(f.now, &workload.Job{ID: id, Queue: queue, Organisation: "o", Accepted: f.now, Steps: []workload.Step{step}})
}

// startAll makes a step, accepts all its starts and returns them.
func (f *fixture) startAll() []scheduler.Start {
	plan := f.Step(f.now)
	for _, s := range plan.Starts {
		f.StartSent(s)
		f.StartAnswered(f.now, s, target.Reply{Answer: target.Accepted})
	}
	return plan.Starts
}

func (f *fixture) advance(wait time.Duration) { f.now = f.now.Add(wait) }

func smallStep(count int) workload.Step {
	return workload.Step{Count: count, Estimate: 4 * time.Second, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 1}}
}

func TestLeaseOnAnIdleTargetIsFull(t *testing.T) {
	f := newFixture(t, 1)
	f.advance(20 * time.Second)
	if have, want := f.Deadline(f.now, "t0"), f.clock()+lease; have != want {
		t.Errorf("Deadline after 20 s without work: have %s, want %s", have, want)
	}
}

func TestRunsOfAnUnresponsiveTargetRestartElsewhereAfterItsLease(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", "batch", smallStep(1))
	first := f.startAll()
	unresponsive := first[0].Target
	granted := f.Deadline(f.now, unresponsive)
	for f.now.Sub(start) < 30*time.Second {
		// The planner keeps sending renewals, and none is answered.
		f.RenewalSent(f.now, unresponsive)
		f.Deadline(f.now, unresponsive)
		again := f.startAll()
		if len(again) == 0 {
			f.advance(200 * time.Millisecond)
			continue
		}
		if again[0].Target == unresponsive {
			t.Fatalf("the run was started on the unresponsive target again")
		}
		if latest := granted + 2*time.Second; f.clock() < granted || f.clock() > latest+lease {
			t.Errorf("started elsewhere when the target's clock was about %s; its lease ended at %s", f.clock(), granted)
		}
		return
	}
	t.Error("the run was not started elsewhere within 30 s")
}

func TestInheritedRunsThatTheirTargetListsAreKept(t *testing.T) {
	f := newFixture(t, 0)
	job := &workload.Job{ID: "a", Queue: "batch", Organisation: "o", Accepted: f.now, Steps: []workload.Step{smallStep(1)}}
	f.Restore(f.now, job, &wire.ProgressRecord{
		Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitRecord{{Run: 1, Targets: []string{"t0"}}},
	})
	f.TargetListed(f.now, f.listing(0))
	f.TargetListed(f.now, f.listing(1))
	f.report(1, target.Report{})
	run := target.Run{Task: target.Task{Job: "a"}, Number: 1}
	f.report(0, target.Report{Running: []target.Running{{Run: run, Percent: 10}}})
	f.advance(100 * time.Millisecond)
	if starts := f.startAll(); len(starts) != 0 {
		t.Errorf("have starts %v, want none for a run that its target lists", starts)
	}
}

// Guards against runs that go on after their job was cancelled: a former planner may have recorded
// the cancellation without stopping them.
func TestInheritedRunsOfAnEndedJobAreStopped(t *testing.T) {
	f := newFixture(t, 1)
	job := &workload.Job{ID: "a", Queue: "batch", Organisation: "o", Accepted: f.now, Steps: []workload.Step{smallStep(1)}}
	f.Restore(f.now, job, &wire.ProgressRecord{
		Phase: wire.JobPhase_JOB_PHASE_CANCELLED, Units: []*wire.UnitRecord{{Run: 1, Targets: []string{"t0"}}},
	})
	stops := f.Step(f.now).Stops
	if len(stops) != 1 || stops[0].Target != "t0" || !f.StopPending(stops[0]) {
		t.Errorf("have stops %v, want one on t0 that is pending", stops)
	}
}

func TestInheritedRunsOnUnknownTargetsWaitForTheFormerPlannersLastLease(t *testing.T) {
	f := newFixture(t, 2)
	job := &workload.Job{ID: "a", Queue: "batch", Organisation: "o", Accepted: f.now, Steps: []workload.Step{smallStep(1)}}
	f.Restore(f.now, job, &wire.ProgressRecord{
		Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitRecord{{Run: 1, Targets: []string{"lost"}}},
	})
	f.advance(horizon + lease - time.Second)
	if starts := f.startAll(); len(starts) != 0 {
		t.Errorf("after %s: have starts %v, want none", f.now.Sub(start), starts)
	}
	f.advance(2 * time.Second)
	if starts := f.startAll(); len(starts) != 1 || starts[0].Run.Number != 2 {
		t.Errorf("want run 2 after %s, have %v", f.now.Sub(start), starts)
	}
}

func TestUnansweredStartIsStoppedBeforeItsTaskRunsElsewhere(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", "batch", smallStep(1))
	plan := f.Step(f.now)
	first := plan.Starts[0]
	f.StartSent(first)
	f.Deadline(f.now, first.Target)
	f.StartAnswered(f.now, first, target.Reply{Answer: target.Unanswered})
	f.StartAnswered(f.now, first, target.Reply{Answer: target.Unhealthy})
	f.advance(time.Second)
	plan = f.Step(f.now)
	if len(plan.Starts) != 0 || len(plan.Stops) != 1 {
		t.Fatalf("want a stop and no start, have %v and %v", plan.Stops, plan.Starts)
	}
	f.StopAnswered(f.now, plan.Stops[0], firstBorn, target.Reply{Answer: target.Accepted})
	f.advance(10 * time.Millisecond)
	f.report(0, target.Report{})
	f.report(1, target.Report{})
	f.advance(time.Second)
	if again := f.startAll(); len(again) != 1 || again[0].Run.Number != 2 {
		t.Errorf("want run 2 once the stop is confirmed, have %v", again)
	}
}

func TestGuaranteedJobStopsLessUrgentRuns(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("a", "batch", smallStep(8))
	if starts := f.startAll(); len(starts) != 8 {
		t.Fatalf("want 8 starts, have %d", len(starts))
	}
	f.advance(time.Second)
	f.submit("b", "urgent", workload.Step{Count: 1, Estimate: time.Second, Needs: workload.Resources{MilliCores: 1000, Accelerators: 2}})
	plan := f.Step(f.now)
	if len(plan.Stops) != 2 {
		t.Errorf("want 2 stops, have %d", len(plan.Stops))
	}
}

func TestGangIsSpreadWhenNoRackHoldsItAndMostOfTheServiceIsFree(t *testing.T) {
	f := newFixture(t, 12)
	// A small task on one target of each rack leaves no rack with four whole targets.
	task := workload.Step{Count: 1, Estimate: time.Minute, Needs: workload.Resources{MilliCores: 1000, Accelerators: 1}}
	for rack := range 3 {
		task.DataRack = fmt.Sprintf("r%d", rack)
		f.submit(fmt.Sprintf("small%d", rack), "batch", task)
	}
	if starts := f.startAll(); len(starts) != 3 {
		t.Fatalf("want 3 starts, have %v", starts)
	}
	f.submit("gang", "batch", workload.Step{Count: 4, Gang: true, SameRack: true, Estimate: time.Second, Needs: workload.Resources{Accelerators: 8}})
	if starts := f.startAll(); len(starts) != 4 {
		t.Errorf("want 4 starts over several racks, have %v", starts)
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	f := newFixture(t, 2)
	whole := workload.Step{Count: 3, Gang: true, Estimate: time.Second, Needs: workload.Resources{Accelerators: 8}}
	f.submit("a", "batch", whole)
	if starts := f.startAll(); len(starts) != 0 {
		t.Errorf("3 members do not fit on 2 targets, yet have starts %v", starts)
	}
	whole.Count = 2
	f.submit("b", "batch", whole)
	if starts := f.startAll(); len(starts) != 2 {
		t.Errorf("want 2 starts, have %v", starts)
	}
}

// Closing one member of a gang whose start is withdrawn before it is durable closes the others
// in turn. The capacity of each member has to be released only once.
func TestWithdrawnGangReleasesItsCapacityOnce(t *testing.T) {
	f := newFixture(t, 4)
	gang := smallStep(12)
	gang.Gang, gang.Needs.MilliCores = true, 2000
	f.submit("gang", "batch", gang)
	if have := len(f.Step(f.now).Starts); have != 12 {
		t.Fatalf("have %d starts, want 12", have)
	}
	f.Cancel(f.now, records.Cancellation{Job: "gang"})
	wide := smallStep(40)
	wide.Needs.MilliCores = 2000
	f.submit("wide", "batch", wide)
	if have := len(f.startAll()); have != 16 {
		t.Errorf("have %d tasks of two cores started on four targets of eight cores, want 16", have)
	}
}

// A draining target is granted only short leases, so its runs can be started elsewhere within
// 5 s after its entry is removed, but not while its last lease may still be in force.
func TestRunsOfADrainingTargetRestartElsewhereSoon(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", "batch", smallStep(1))
	starts := f.startAll()
	if len(starts) != 1 {
		t.Fatalf("have %d starts, want 1", len(starts))
	}
	drained := 0
	if starts[0].Target == "t1" {
		drained = 1
	}
	leaving := f.listing(drained)
	leaving.Draining = true
	f.TargetListed(f.now, leaving)
	for range 8 {
		f.advance(time.Second)
		f.Deadline(f.now, leaving.ID)
		f.report(drained, target.Report{Running: []target.Running{{Run: starts[0].Run, Percent: 10}}})
		f.report(1-drained, target.Report{})
		f.Step(f.now)
	}
	f.TargetUnlisted(f.now, leaving.ID)
	f.advance(3 * time.Second)
	if have := f.startAll(); len(have) > 0 {
		t.Errorf("have starts %v, want none while the lease may be in force", have)
	}
	f.advance(time.Second)
	f.report(1-drained, target.Report{})
	f.startAll()
	f.advance(time.Second)
	f.report(1-drained, target.Report{})
	if f.startAll(); !f.runsOn(1-drained, "a") {
		t.Error("the task was not started on the other target within 5 s")
	}
}

// runsOn reports whether the job is known and the target has any run.
func (f *fixture) runsOn(i int, job string) bool {
	return f.TargetStatus(f.now, fmt.Sprintf("t%d", i)).HasRuns && f.HasJob(job)
}

// Guards against jobs that are said not to wait: a job that was placed has not begun until a target
// has accepted a start.
func TestJobWhoseStartIsUnansweredIsPending(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("a", "batch", smallStep(1))
	start := f.Step(f.now).Starts[0]
	f.StartSent(start)
	f.StartAnswered(f.now, start, target.Reply{Answer: target.Unanswered})
	if have := f.PendingJobs()["batch"]; have != 1 {
		t.Errorf("pending jobs after an unanswered start: have %d, want 1", have)
	}
	f.StartAnswered(f.now, start, target.Reply{Answer: target.Accepted})
	if have := f.PendingJobs()["batch"]; have != 0 {
		t.Errorf("pending jobs after an accepted start: have %d, want 0", have)
	}
}

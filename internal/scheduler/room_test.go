package scheduler

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// oneTarget is a scheduler with a single target, and what the target and the step are like for which it is
// asked for room.
type oneTarget struct {
	*Scheduler
	now     time.Time
	listing target.Listing
	step    workload.Step
	// running are steps whose tasks run on the target. own is how many tasks of step itself do.
	running []workload.Step
	own     int
	// change changes the target after that.
	change func(*freeCapacity)
}

func (o *oneTarget) submit(id, queue string, steps ...workload.Step) {
	o.Submit(o.now, &workload.Job{ID: id, Queue: queue, Organisation: "o", Accepted: o.now, Steps: steps})
}

// start lets the target accept all starts that are due.
func (o *oneTarget) start() {
	for _, s := range o.Step(o.now).Starts {
		o.StartSent(s)
		o.StartAnswered(o.now, s, target.Reply{Answer: target.Accepted})
	}
}

// answers returns the names of the places that find room for a task of the step, now or later.
func (o *oneTarget) answers() []string {
	o.Limits = Limits{TaskLease: 6 * time.Second, StopTime: 200 * time.Millisecond, ColdOverage: 1.5}
	o.Configure(&catalogue.Catalogue{
		Version: 1, Organisations: map[string]catalogue.Organisation{"o": {}},
		Queues: []catalogue.Queue{{Name: "urgent", Service: "s", StretchFactor: 2}, {Name: "batch", Service: "s", Priority: 2, StretchFactor: 3}},
	})
	o.TargetListed(o.now, o.listing)
	o.ReportReceived(o.now, o.listing.ID, o.now, target.Report{Born: 1, Clock: time.Minute})
	for i, step := range o.running {
		o.submit("running"+targetName(i), "batch", step)
	}
	o.start()
	own := o.step
	own.Count += o.own
	if o.own > 0 {
		o.submit("job", "urgent", own)
		o.start()
	} else {
		o.submit("job", "urgent", own)
	}
	p, st := &o.pass, o.jobs["job"].occurrences[0].steps[0]
	p.begin(o.Scheduler, o.now)
	n := p.openNodes[0]
	if o.change != nil {
		o.change(n)
	}
	c := &candidate{step: st, startableUnits: o.startableUnits(o.now, st)}
	o.score(o.now, c)
	c.usesHeadroom = p.usesHeadroom(c)
	var out []string
	for _, asked := range []struct {
		name  string
		holds bool
	}{
		{"start", p.maxMembers(c, n, 1) > 0},
		{"reservation", p.earliest(c, p.openNodes, 1) != nil},
		{"wait", p.clear(c, p.openNodes, 1, p.stopWait(), false) != nil},
		{"preemption", p.clear(c, p.openNodes, 1, 0, true) != nil},
		{"rack", p.anyRackHolds(c, 1)},
		{"unrestricted", p.couldHoldUnrestricted(c)},
	} {
		if asked.holds {
			out = append(out, asked.name)
		}
	}
	return out
}

// Guards against: a place that looks for room leaves out a condition that starts respect, so that a step
// reserves, or waits for, a target that it may never use.
func TestAllThatLookForRoomRespectTheSameConditions(t *testing.T) {
	everywhere := []string{"start", "reservation", "wait", "preemption", "rack", "unrestricted"}
	whole := workload.Step{Count: 1, Estimate: 4 * time.Second, Needs: workload.Resources{MilliCores: 8000, Accelerators: 8}}
	lasting := whole
	lasting.LongRunning = true
	for name, c := range map[string]struct {
		change func(*oneTarget)
		want   []string
	}{
		"an empty target":     {func(*oneTarget) {}, everywhere},
		"another service":     {func(o *oneTarget) { o.listing.Service = "other" }, nil},
		"too little capacity": {func(o *oneTarget) { o.step.Needs.Accelerators = 9 }, nil},
		"no label":            {func(o *oneTarget) { o.step.RequiredLabel = "b" }, nil},
		"runs of others":      {func(o *oneTarget) { o.running = []workload.Step{whole} }, []string{"reservation", "preemption", "rack", "unrestricted"}},
		"lasting tasks":       {func(o *oneTarget) { o.running = []workload.Step{lasting} }, nil},
		"its own tasks, at the limit": {func(o *oneTarget) {
			o.step.MaxPerTarget, o.own = 1, 1
		}, []string{"reservation", "rack", "unrestricted"}},
		"its own lasting tasks, at the limit": {func(o *oneTarget) {
			o.step.MaxPerTarget, o.own, o.step.LongRunning = 1, 1, true
		}, nil},
		"its own lasting tasks, below the limit": {func(o *oneTarget) {
			o.step.MaxPerTarget, o.own, o.step.LongRunning = 3, 1, true
		}, everywhere},
		"probation":         {func(o *oneTarget) { o.change = func(n *freeCapacity) { n.restriction = trialsOnly } }, nil},
		"after one failure": {func(o *oneTarget) { o.change = func(n *freeCapacity) { n.restriction = singlesOnly } }, nil},
		"reserved for others": {func(o *oneTarget) {
			o.change = func(n *freeCapacity) { n.reserved = &step{} }
		}, []string{"rack", "unrestricted"}},
		"reserved for others in part": {func(o *oneTarget) {
			o.change = func(n *freeCapacity) { n.reserved, n.reservedUse = &step{}, workload.Resources{Accelerators: 7} }
		}, []string{"start", "rack", "unrestricted"}},
		"cold": {func(o *oneTarget) {
			o.listing.ColdRemaining, o.listing.Clock = 10*time.Second, time.Minute
			o.step.Count, o.step.Needs = 2, workload.Resources{MilliCores: 4000}
			o.own = 1
		}, []string{"reservation", "rack", "unrestricted"}},
	} {
		o := &oneTarget{
			Scheduler: &Scheduler{}, now: time.Unix(1_800_000_000, 0), step: workload.Step{Count: 1, Estimate: 4 * time.Second, Needs: workload.Resources{Accelerators: 1}},
			listing: target.Listing{
				ID: "t0", Service: "s", Address: netip.MustParseAddrPort("192.0.2.1:80"), Rack: "r0", Born: 1,
				Capacity: workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 8},
			},
		}
		c.change(o)
		if have := o.answers(); !slices.Equal(have, c.want) {
			t.Errorf("%s: have room for %q, want for %q", name, have, c.want)
		}
	}
}

package loadmodel

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// reportPeriod is the time between two reports of a target on which nothing ends.
	reportPeriod = time.Second
	// stopTime is how long a target takes to stop a run.
	stopTime = 200 * time.Millisecond
	// checkpointPeriod is the running time between two checkpoints.
	checkpointPeriod = time.Second
	clockOffset      = time.Minute
	// faultyProgress is the part of a run's work, as a divisor, after which it fails on a faulty target.
	faultyProgress = 10
)

var address = netip.MustParseAddrPort("192.0.2.1:80")

// fleet is the model's targets and what runs there.
type fleet struct {
	random  *rand.Rand
	targets []*modelTarget
	byID    map[string]*modelTarget
	gangs   map[gangKey]*gang
	// gangsBroken counts the runs of gangs that ended because a member failed or hung.
	gangsBroken int
	// brokenAgain counts those that were broken by a target on which another run had failed before they started.
	brokenAgain int
	// remoteFactor is how many times as long a gang runs that is spread over racks.
	remoteFactor float64
}

// modelTarget is one target.
type modelTarget struct {
	target.Listing
	speed float64
	lost  bool
	// warmAt is when the target is no longer slowdown times as slow as usual.
	warmAt   time.Duration
	slowdown float64
	// failShare and hangShare are the shares of the runs that fail or hang if they start now.
	failShare, hangShare float64
	// failedAt is when a run last failed here.
	failedAt time.Duration
	running  map[target.Run]*modelRun
	ended    []target.Ended
	lastEnd  int64
	// reportAt is when the next report is due.
	reportAt time.Duration
}

// modelRun is a run on a target. Its work is counted in seconds at speed 1.
type modelRun struct {
	run        target.Run
	class      int
	work, done float64
	// failAt is the work after which the run fails; 0 if it does not.
	failAt float64
	// hangs says that the run makes no progress.
	hangs    bool
	stopping time.Duration
	since    time.Duration
	gang     *gang
	saves    bool
}

// gangKey identifies one run of a gang.
type gangKey struct {
	job  string
	step int
	run  int
}

// gang is one run of a gang, which advances at the speed of its slowest target once it is whole.
type gang struct {
	key      gangKey
	size     int
	sameRack bool
	members  map[target.Run]*modelTarget
}

// speed returns the speed at which a whole gang advances, and 0 before it is whole.
func (g *gang) speed(now time.Duration, remoteFactor float64) float64 {
	if len(g.members) < g.size {
		return 0
	}
	slowest, racks := 1e9, map[string]bool{}
	for run, on := range g.members {
		if member := on.running[run]; member != nil && member.hangs {
			return 0
		}
		slowest = min(slowest, on.speedAt(now))
		racks[on.Rack] = true
	}
	if g.sameRack && len(racks) > 1 {
		return slowest / remoteFactor
	}
	return slowest
}

// speedAt returns the target's speed at a time.
func (t *modelTarget) speedAt(now time.Duration) float64 {
	if now < t.warmAt {
		return t.speed / t.slowdown
	}
	return t.speed
}

// hangs reports whether a member hangs.
func (g *gang) hangs() bool {
	for run, on := range g.members {
		if member := on.running[run]; member != nil && member.hangs {
			return true
		}
	}
	return false
}

func newFleet(w *Workload, random *rand.Rand) *fleet {
	f := &fleet{random: random, byID: map[string]*modelTarget{}, gangs: map[gangKey]*gang{}, remoteFactor: max(w.RemoteFactor, 1)}
	for i, listing := range w.listings() {
		on := &modelTarget{
			Listing: listing, speed: w.Speeds[random.IntN(len(w.Speeds))], running: map[target.Run]*modelRun{},
			reportAt: time.Duration(random.Int64N(int64(reportPeriod))), lost: w.returning(i),
		}
		f.targets = append(f.targets, on)
		f.byID[on.ID] = on
	}
	return f
}

// start begins a run on a target; checkpoint holds the work that is done already.
func (f *fleet) start(now time.Duration, order scheduler.Start, from *arrival, class *Class, checkpoint string) target.Answer {
	on := f.byID[order.Target]
	if on.lost {
		return target.Unanswered
	}
	step := &from.job.Steps[order.Run.Task.Step]
	run := &modelRun{run: order.Run, class: from.class, work: from.work.Seconds(), since: now, saves: step.Checkpointing}
	if checkpoint != "" {
		if _, err := fmt.Sscanf(checkpoint, "%f", &run.done); err != nil {
			return target.Invalid
		}
	}
	if f.random.Float64() < class.FailureShare {
		run.failAt = run.done + (run.work-run.done)/2
	}
	if f.random.Float64() < on.failShare {
		run.failAt = run.done + (run.work-run.done)/faultyProgress
	}
	run.hangs = f.random.Float64() < on.hangShare
	if step.Gang {
		key := gangKey{order.Run.Task.Job, order.Run.Task.Step, order.Run.Number}
		if f.gangs[key] == nil {
			f.gangs[key] = &gang{key: key, size: step.Count, sameRack: step.SameRack, members: map[target.Run]*modelTarget{}}
		}
		run.gang = f.gangs[key]
		run.gang.members[order.Run] = on
	}
	on.running[order.Run] = run
	return target.Accepted
}

// stop begins to stop a run.
func (f *fleet) stop(now time.Duration, order scheduler.Stop) target.Answer {
	on := f.byID[order.Target]
	if on.lost {
		return target.Unanswered
	}
	if run := on.running[order.Run]; run != nil && run.stopping == 0 {
		run.stopping = now + stopTime
	}
	return target.Accepted
}

// lose removes a target with all that runs there.
func (f *fleet) lose(on *modelTarget) {
	on.lost = true
	for _, run := range on.sortedRuns() {
		f.breakGang(run)
	}
	on.running = map[target.Run]*modelRun{}
}

// advance lets the runs work for tick and ends those that are done, fail or are stopped. It
// returns the accelerator-seconds and core-seconds of the work that was thrown away, an
// accelerator counted as 8 cores.
func (f *fleet) advance(now, tick time.Duration, needs func(target.Run) float64) float64 {
	wasted := 0.0
	for _, on := range f.targets {
		for _, run := range on.sortedRuns() {
			speed := on.speedAt(now)
			if run.gang != nil {
				speed = run.gang.speed(now, f.remoteFactor)
			}
			if run.hangs {
				speed = 0
			}
			run.done += speed * tick.Seconds()
			switch {
			case on.running[run.run] == nil:
				// Its gang has ended on another target in this tick.
			case run.stopping > 0 && now >= run.stopping:
				wasted += f.end(now, on, run, target.Stopped, needs)
			case run.failAt > 0 && run.done >= run.failAt:
				wasted += f.end(now, on, run, target.Failed, needs)
			case run.done >= run.work:
				f.end(now, on, run, target.Done, needs)
			}
		}
	}
	return wasted
}

// end ends a run, and with it the other members of its gang. It returns the work that was thrown
// away.
func (f *fleet) end(now time.Duration, on *modelTarget, run *modelRun, outcome target.Outcome, needs func(target.Run) float64) float64 {
	members := map[target.Run]*modelTarget{run.run: on}
	if run.gang != nil {
		members = run.gang.members
		delete(f.gangs, run.gang.key)
		if outcome == target.Failed || (outcome == target.Stopped && run.gang.hangs()) {
			f.gangsBroken++
		}
		if outcome == target.Failed && on.failedAt > 0 && run.since > on.failedAt {
			f.brokenAgain++
		}
	}
	if outcome == target.Failed {
		on.failedAt = now
	}
	wasted := 0.0
	for _, key := range sortedKeys(members) {
		how := outcome
		if key != run.run && outcome != target.Done {
			how = target.GangBroken
		}
		member := members[key].running[key]
		if member == nil {
			continue
		}
		members[key].finish(member, how)
		if outcome != target.Done && !member.saves {
			wasted += needs(key) * (now - member.since).Seconds()
		}
	}
	return wasted
}

// breakGang ends the other members of a run's gang as broken.
func (f *fleet) breakGang(run *modelRun) {
	if run.gang == nil {
		return
	}
	for _, key := range sortedKeys(run.gang.members) {
		on := run.gang.members[key]
		if other := on.running[key]; other != nil && key != run.run {
			on.finish(other, target.GangBroken)
		}
	}
	delete(f.gangs, run.gang.key)
}

// finish lists a run as ended; the next report is due at once.
func (t *modelTarget) finish(run *modelRun, outcome target.Outcome) {
	delete(t.running, run.run)
	t.lastEnd++
	t.ended = append(t.ended, target.Ended{Run: run.run, Number: t.lastEnd, Outcome: outcome, Checkpoint: run.checkpoint()})
	t.reportAt = 0
}

// checkpoint returns the work that a checkpoint holds; empty if the run makes none.
func (r *modelRun) checkpoint() string {
	if !r.saves {
		return ""
	}
	return fmt.Sprintf("%.3f", min(r.done, r.work))
}

// report returns the target's report and acknowledges all ends that it lists.
func (t *modelTarget) report(now time.Duration) target.Report {
	report := target.Report{Born: 1, Clock: now + clockOffset, Ended: t.ended}
	for _, run := range t.sortedRuns() {
		report.Running = append(report.Running, target.Running{Run: run.run, Checkpoint: run.checkpoint(), Percent: int(100 * min(run.done/run.work, 1))})
	}
	t.ended = nil
	t.reportAt = now + reportPeriod
	return report
}

func (t *modelTarget) sortedRuns() []*modelRun {
	out := make([]*modelRun, 0, len(t.running))
	for _, key := range sortedKeys(t.running) {
		out = append(out, t.running[key])
	}
	return out
}

func sortedKeys[V any](runs map[target.Run]V) []target.Run {
	return slices.SortedFunc(maps.Keys(runs), target.Run.Compare)
}

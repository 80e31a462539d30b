// Package loadmodel plays a generated load against the scheduler without hosts, network or
// store. Decisions take effect at once, so a run shows what the policy does and what a decision
// costs. One seed gives one run.
package loadmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// tick is the time between two steps of the scheduler.
	tick = 15 * time.Millisecond
	// lateFactor is the multiple of its objective by which a job has to end to earn LateWorth.
	lateFactor = 3
	// finishTime is how long a run goes on after the last submission.
	finishTime = 14 * time.Second
	// coresPerAccelerator is how many cores an accelerator counts as in the work thrown away.
	coresPerAccelerator = 8
	taskLease           = 6 * time.Second
	renewalHorizon      = 8 * time.Second
	retention           = 2 * time.Minute
)

// startOfTime is when each run begins.
var startOfTime = time.Unix(1_800_000_000, 0)

// Model plays one run of a workload. Set the exported fields before the first call.
type Model struct {
	Workload Workload
	Seed     uint64
	// Log receives the scheduler's events; nil discards them.
	Log func(event string, fields scheduler.Fields)

	scheduler *scheduler.Scheduler
	fleet     *fleet
	arrivals  []arrival
	next      int
	byJob     map[string]*arrival
	now       time.Duration
	report    Report
	// returned says that Workload.Return has happened.
	returned bool
	// lost counts the losses that have happened, and begun the faults that have begun; faulty holds the targets
	// of those that are not over.
	lost, begun int
	faulty      []faultyTargets
}

// Run plays the whole workload and returns what became of its jobs.
func (m *Model) Run() *Report {
	for m.now = 0; m.now < m.Workload.Length+finishTime; {
		m.Advance()
		m.Step()
	}
	return m.finishReport()
}

func (m *Model) initialise() {
	if m.scheduler != nil {
		return
	}
	random := rand.New(rand.NewPCG(m.Seed, 0))
	m.scheduler = &scheduler.Scheduler{Log: m.Log, Limits: scheduler.Limits{
		TaskLease: taskLease, RenewalHorizon: renewalHorizon, RemoteFactor: m.Workload.RemoteFactor, Retention: retention,
		CheckpointPeriod: checkpointPeriod, StopTime: stopTime, ColdOverage: m.Workload.ColdOverage, ColdSlack: m.Workload.ColdSlack,
		ShareHalfLife: m.Workload.ShareHalfLife,
	}}
	m.scheduler.Configure(m.Workload.catalogue())
	m.fleet = newFleet(&m.Workload, random)
	m.arrivals = m.Workload.arrivals(random)
	m.byJob = map[string]*arrival{}
	for _, on := range m.fleet.targets {
		if !on.lost {
			m.list(on)
		}
	}
}

// list has a target appear, with a report.
func (m *Model) list(on *modelTarget) {
	m.scheduler.TargetListed(m.time(), on.Listing)
	m.scheduler.ReportReceived(m.time(), on.ID, m.time(), target.Report{Born: 1, Clock: m.now + clockOffset})
}

// returnTargets lets the zone return that is away until then.
func (m *Model) returnTargets() {
	back := &m.Workload.Return
	if back.Share == 0 || m.returned || m.now < back.At {
		return
	}
	m.returned = true
	for i, on := range m.fleet.targets {
		if m.Workload.returning(i) {
			on.lost, on.warmAt, on.slowdown = false, m.now+back.ColdTime, back.Slowdown
			on.ColdRemaining, on.Clock = back.ColdTime, m.now+clockOffset
			m.list(on)
		}
	}
}

func (m *Model) time() time.Time { return startOfTime.Add(m.now) }

// Advance passes one tick: it submits and cancels jobs, lets the targets work and delivers their
// reports. It does not step the scheduler.
func (m *Model) Advance() {
	m.initialise()
	m.now += tick
	m.submit()
	m.loseTargets()
	m.returnTargets()
	m.changeFaults()
	m.report.Wasted += m.fleet.advance(m.now, tick, m.needs)
	for _, on := range m.fleet.targets {
		if on.lost || m.now < on.reportAt {
			continue
		}
		m.scheduler.RenewalSent(m.time(), on.ID)
		if len(on.running) > 0 {
			m.scheduler.Deadline(m.time(), on.ID)
		}
		m.scheduler.ReportReceived(m.time(), on.ID, m.time(), on.report(m.now))
	}
}

// submit submits the jobs that are due and cancels those whose callers give up.
func (m *Model) submit() {
	for ; m.next < len(m.arrivals) && m.arrivals[m.next].at <= m.now; m.next++ {
		a := &m.arrivals[m.next]
		a.job.Accepted = m.time()
		m.byJob[a.job.ID] = a
		m.scheduler.Submit(m.time(), a.job)
	}
	for i := range m.arrivals[:m.next] {
		if a := &m.arrivals[i]; a.cancelAt > 0 && a.cancelAt <= m.now {
			a.cancelAt = 0
			if m.report.cancel(a) {
				m.scheduler.Cancel(m.time(), records.CancellationBy(a.job.ID, a.job.Organisation))
			}
		}
	}
}

// loseTargets removes the targets whose loss is due.
func (m *Model) loseTargets() {
	for ; m.lost < len(m.Workload.Losses) && m.Workload.Losses[m.lost].At <= m.now; m.lost++ {
		for range int(m.Workload.Losses[m.lost].Share * float64(len(m.fleet.targets))) {
			on := m.fleet.targets[m.fleet.random.IntN(len(m.fleet.targets))]
			if !on.lost {
				m.fleet.lose(on)
				m.scheduler.TargetUnlisted(m.time(), on.ID)
			}
		}
	}
}

// faultyTargets are the targets of a fault.
type faultyTargets struct {
	targets []*modelTarget
	until   time.Duration
}

// changeFaults begins and ends the faults that are due.
func (m *Model) changeFaults() {
	m.faulty = slices.DeleteFunc(m.faulty, func(f faultyTargets) bool {
		if m.now < f.until {
			return false
		}
		for _, on := range f.targets {
			on.failShare, on.hangShare = 0, 0
		}
		return true
	})
	for ; m.begun < len(m.Workload.Faults) && m.Workload.Faults[m.begun].From <= m.now; m.begun++ {
		fault := m.Workload.Faults[m.begun]
		f := faultyTargets{until: fault.To}
		for _, i := range m.fleet.random.Perm(len(m.fleet.targets))[:int(fault.Share*float64(len(m.fleet.targets)))] {
			on := m.fleet.targets[i]
			on.failShare, on.hangShare = fault.FailShare, fault.HangShare
			f.targets = append(f.targets, on)
		}
		m.faulty = append(m.faulty, f)
	}
}

// needs returns the cores that one task of a run takes, its accelerators included.
func (m *Model) needs(run target.Run) float64 {
	needs := m.byJob[run.Task.Job].job.Steps[run.Task.Step].Needs
	return float64(needs.MilliCores)/1000 + coresPerAccelerator*float64(needs.Accelerators)
}

// Step steps the scheduler and carries out its plan. It returns the plan.
func (m *Model) Step() scheduler.Plan {
	plan := m.scheduler.Step(m.time())
	m.carryOut(plan)
	return plan
}

// carryOut passes the plan's orders to the targets and the answers to the scheduler.
func (m *Model) carryOut(plan scheduler.Plan) {
	for _, stop := range plan.Stops {
		m.scheduler.StopAnswered(m.time(), stop, 1, target.Reply{Answer: m.fleet.stop(m.now, stop)})
	}
	for _, start := range plan.Starts {
		if !m.scheduler.StartSent(start) {
			continue
		}
		a := m.byJob[start.Run.Task.Job]
		_, checkpoint := m.scheduler.StartPayload(start)
		m.report.start(m.now, a)
		m.scheduler.Deadline(m.time(), start.Target)
		m.scheduler.StartAnswered(m.time(), start, target.Reply{Answer: m.fleet.start(m.now, start, a, &m.Workload.Classes[a.class], checkpoint)})
	}
	for _, write := range plan.Writes {
		m.report.progress(m.now, m.byJob[write.Job], write.Record)
	}
}

// AdvanceTo plays the run up to a time.
func (m *Model) AdvanceTo(at time.Duration) {
	for m.now < at {
		m.Advance()
		m.Step()
	}
}

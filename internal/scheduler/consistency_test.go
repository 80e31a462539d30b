package scheduler

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

var sequences = flag.Int("sequences", 30, "number of random sequences of events")

const (
	eventsPerSequence = 300
	fleetSize         = 9
)

// sequence drives a scheduler with random events.
type sequence struct {
	*Scheduler
	random *rand.Rand
	now    time.Time
	born   [fleetSize]int64
	ends   [fleetSize]int64
	jobs   int
	starts []Start
	stops  []Stop
}

func newSequence(seed uint64) *sequence {
	s := &sequence{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		Scheduler: &Scheduler{Limits: Limits{TaskLease: 6 * time.Second, RenewalHorizon: 8 * time.Second, RemoteFactor: 3, Retention: 20 * time.Second, CheckpointPeriod: time.Second, StopTime: 200 * time.Millisecond, ShareHalfLife: 10 * time.Second}},
	}
	queues := []catalogue.Queue{{Name: "q0", Service: "s", MaxAttempts: 3, StretchFactor: 1.5}, {Name: "q1", Service: "s", Priority: 1, MaxAttempts: 2, StretchFactor: 3}, {Name: "q2", Service: "s", Priority: 2, MaxAttempts: 3, StretchFactor: 3}}
	s.Configure(&catalogue.Catalogue{Version: 1, Queues: queues, Organisations: map[string]catalogue.Organisation{"o": {Name: "o", GuaranteedAccelerators: 8}}})
	for i := range fleetSize {
		s.restart(i)
	}
	return s
}

func targetName(i int) string { return fmt.Sprintf("t%d", i) }

func (s *sequence) restart(i int) {
	s.born[i], s.ends[i] = s.born[i]+1, 0
	s.TargetListed(s.now, target.Listing{
		ID: targetName(i), Service: "s", Address: netip.MustParseAddrPort("192.0.2.1:80"), Rack: fmt.Sprintf("r%d", i/3), Born: s.born[i],
		Capacity: workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 4}, Draining: s.random.IntN(8) == 0,
	})
}

func (s *sequence) submit() {
	s.jobs++
	job := &workload.Job{ID: fmt.Sprintf("%016x", s.jobs), Queue: fmt.Sprintf("q%d", s.random.IntN(3)), Organisation: "o", Accepted: s.now}
	for number := range 1 + s.random.IntN(2) {
		step := workload.Step{
			Count: 1 + s.random.IntN(6), Estimate: time.Duration(1+s.random.IntN(4)) * time.Second, Gang: s.random.IntN(2) == 0, SameRack: s.random.IntN(2) == 0,
			Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: int64(s.random.IntN(3))}, Checkpointing: s.random.IntN(2) == 0,
		}
		if number > 0 {
			step.After = []int{0}
		}
		job.Steps = append(job.Steps, step)
	}
	if s.random.IntN(5) == 0 {
		job.RepeatCount, job.FirstDue, job.Interval = 2, s.now, 2*time.Second
	}
	s.Submit(s.now, job)
}

// report reports the runs of a target: some of them as ended, some as running, and some not at all.
func (s *sequence) report(i int) {
	n := s.nodes[targetName(i)]
	if n == nil {
		return
	}
	report := target.Report{Born: s.born[i], Clock: time.Minute + s.now.Sub(time.Unix(1_800_000_000, 0))}
	for _, m := range n.sortedMembers() {
		switch s.random.IntN(6) {
		case 0, 1:
			s.ends[i]++
			outcome := []target.Outcome{target.Done, target.Done, target.Failed, target.Stopped, target.Lapsed, target.GangBroken}[s.random.IntN(6)]
			report.Ended = append(report.Ended, target.Ended{Run: m.run, Number: s.ends[i], Outcome: outcome})
		case 2:
		default:
			report.Running = append(report.Running, target.Running{Run: m.run, Percent: s.random.IntN(100)})
		}
	}
	s.ReportReceived(s.now, targetName(i), s.now.Add(-time.Millisecond), report)
}

// perform carries out one random event.
func (s *sequence) perform() {
	i := s.random.IntN(fleetSize)
	switch s.random.IntN(12) {
	case 0, 1:
		s.submit()
	case 2, 3, 4:
		s.report(i)
	case 5:
		s.Cancel(s.now, records.Cancellation{Job: fmt.Sprintf("%016x", 1+s.random.IntN(s.jobs+1))})
	case 6:
		if s.random.IntN(3) == 0 {
			s.restart(i)
		}
	case 7:
		if s.random.IntN(3) == 0 {
			s.TargetUnlisted(s.now, targetName(i))
		}
	case 8:
		s.RenewalSent(s.now, targetName(i))
		s.Deadline(s.now, targetName(i))
	case 9, 10:
		s.answerOrders()
	case 11:
		for _, id := range s.Expired(s.now) {
			s.Forget(id)
		}
	}
	s.now = s.now.Add(time.Duration(s.random.IntN(300)) * time.Millisecond)
	if s.random.IntN(2) == 0 {
		plan := s.Step(s.now)
		s.starts, s.stops = append(s.starts, plan.Starts...), append(s.stops, plan.Stops...)
	}
}

// answerOrders answers the orders that wait, in one way or another.
func (s *sequence) answerOrders() {
	answers := []target.Answer{target.Accepted, target.Accepted, target.Accepted, target.Unanswered, target.InsufficientCapacity}
	for _, start := range s.starts {
		if s.StartSent(start) {
			s.StartAnswered(s.now, start, target.Reply{Answer: answers[s.random.IntN(len(answers))]})
		}
	}
	for _, stop := range s.stops {
		if n := s.nodes[stop.Target]; n != nil {
			s.StopAnswered(s.now, stop, n.Born, target.Reply{Answer: answers[s.random.IntN(4)]})
		}
	}
	s.starts, s.stops = nil, nil
}

// inconsistency compares what is kept up to date with each event with a full recomputation; empty if
// they agree.
func (s *sequence) inconsistency() string {
	names := slices.Sorted(maps.Keys(s.nodes))
	if have := s.Targets(); !slices.Equal(have, names) {
		return fmt.Sprintf("ordered targets: have %v, want %v", have, names)
	}
	uses := map[*organisationUse]organisationUse{}
	for id, n := range s.nodes {
		used := workload.Resources{}
		for run, m := range n.members {
			used = used.Plus(m.unit.step.spec.CapacityUse())
			total := uses[m.use]
			uses[m.use] = organisationUse{amount: total.amount.Plus(m.unit.step.spec.CapacityUse()), members: total.members + 1}
			if m.run != run || !slices.Contains(n.sorted, m) || !slices.Contains(m.unit.members, m) {
				return fmt.Sprintf("%s: %v is not listed everywhere", id, run)
			}
		}
		if len(n.sorted) != len(n.members) || !slices.IsSortedFunc(n.sorted, compareMembers) || used != n.used {
			return fmt.Sprintf("%s: have %d runs with %v used, want %d with %v", id, len(n.sorted), n.used, len(n.members), used)
		}
	}
	for _, u := range s.shares.uses {
		if want := uses[u]; u.amount != want.amount || u.members != want.members {
			return fmt.Sprintf("use of %s by %s: have %d runs with %v, want %d with %v", u.service, u.organisation, u.members, u.amount, want.members, want.amount)
		}
		delete(uses, u)
	}
	if len(uses) > 0 {
		return fmt.Sprintf("have %d uses with runs that are not listed", len(uses))
	}
	for id, j := range s.Scheduler.jobs {
		if _, open := s.open[id]; open == ended(j.phase) {
			return fmt.Sprintf("job %s: open %t with phase %v", id, open, j.phase)
		}
		if problem := j.inconsistency(); problem != "" {
			return problem
		}
	}
	return ""
}

func (j *job) inconsistency() string {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			left, idle := 0, 0
			for _, u := range st.units {
				if !u.done {
					left++
				}
				if !u.done && len(u.members) == 0 {
					idle++
				}
			}
			if left != st.unitsLeft || idle != st.idleUnits {
				return fmt.Sprintf("job %s step %d: have %d units left and %d idle, want %d and %d", j.ID, st.number, st.unitsLeft, st.idleUnits, left, idle)
			}
		}
	}
	return ""
}

// Guards against: a count or an index that is kept up to date event by event drifts from the state
// that it stands for, so that a task never starts or a target is given more than it can hold.
func TestCountsEqualAFullRecomputation(t *testing.T) {
	for seed := range uint64(*sequences) {
		s := newSequence(seed)
		for event := range eventsPerSequence {
			s.perform()
			if problem := s.inconsistency(); problem != "" {
				t.Fatalf("seed %d, event %d: %s", seed, event, problem)
			}
		}
	}
}

// Guards against: a task that could start is passed over because the walk over all jobs is gone.
func TestIdleUnitsAreFoundAsInAWalkOverAllJobs(t *testing.T) {
	for seed := range uint64(*sequences) {
		s := newSequence(seed)
		for range eventsPerSequence {
			s.perform()
			want := 0
			for _, j := range s.Scheduler.jobs {
				want += s.idleInWalk(j)
			}
			have := 0
			for _, c := range s.candidates(s.now) {
				have += len(c.startableUnits)
			}
			if have != want {
				t.Fatalf("seed %d: have %d units to start, want %d", seed, have, want)
			}
		}
	}
}

// idleInWalk counts the units of a job that may start now.
func (s *sequence) idleInWalk(j *job) int {
	count := 0
	if ended(j.phase) {
		return 0
	}
	for _, o := range j.occurrences {
		if o.done || o.due.After(s.now) {
			continue
		}
		for _, st := range o.steps {
			ready := !slices.ContainsFunc(st.spec.After, func(earlier int) bool {
				return slices.ContainsFunc(o.steps[earlier].units, func(u *unit) bool { return !u.done })
			})
			for _, u := range st.units {
				if ready && !u.done && len(u.members) == 0 && !u.notBefore.After(s.now) {
					count++
				}
			}
		}
	}
	return count
}

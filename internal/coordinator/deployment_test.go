package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/coordinator"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchtarget"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	hostCount      = 3
	targetCount    = 6
	targetsPerRack = 3
	attempts       = 3
	lease          = 6 * time.Second
	// recoveryTime is how long all accepted jobs may take to end after the last fault.
	recoveryTime = 90 * time.Second
	// stopTime is how long a target takes to stop a run.
	stopTime = 400 * time.Millisecond
	// drainTime is how long after a target has said that it drains runs may still be started there.
	drainTime    = 2 * time.Second
	targetPrefix = "servers/"
	// cordonTime is how long after the request for a cordon starts may still arrive in its zone.
	cordonTime = 5 * time.Second
	// retention is longer than a sequence takes.
	retention = time.Hour
	// firstBorn leaves space for incarnations that begin before the first ones.
	firstBorn = 1 << 20
)

// deployment is a small deployment under test: hosts, a store and targets. It lives in the bubble of
// one synctest.Test, whose clock all its pauses use.
type deployment struct {
	t      *testing.T
	trace  *traceLog
	random *rand.Rand
	store  *batchstore.Store
	fleet  *batchtarget.Fleet
	links  []*link
	// born holds the Born of each target's incarnation, and unlisted says that its entry was
	// removed.
	born     [targetCount]int64
	unlisted [targetCount]bool
	// suspended is the time, in nanoseconds, that the hosts' clocks of elapsed time are ahead
	// because the hosts were suspended.
	suspended atomic.Int64
	// starting, renewing and renewed are called by the hosts that start from now on; see tracedTargets.
	starting  func(id string, order target.StartOrder)
	renewing  func(id string, order target.RenewOrder)
	renewed   func(id string, order target.RenewOrder, answer target.Answer)
	stopHost  []context.CancelFunc
	hostEnded []chan struct{}
	intake    *intake.Intake
	// configuration is in force at the hosts that plan, and at the intake unless a test sets another.
	configuration atomic.Pointer[catalogue.Catalogue]
	// removed is the queue that toggleQueue removed last.
	removed  catalogue.Queue
	accepted map[string]*workload.Job
	// cancelled holds the jobs for which a cancellation was sent, whatever the answer.
	cancelled   map[string]bool
	incarnation int64
	submitted   int
	// cordonTime is the bound for cordons at the hosts that start from now on. They follow the operators'
	// keys only if it is not 0.
	cordonTime time.Duration
	// maxValueBytes is what the hosts that start from now on know of the largest value of the store, and
	// wrapTargets, if set, changes how they reach the targets.
	maxValueBytes int64
	wrapTargets   func(target.Targets) target.Targets
	// wrapLog, if set, changes the log of the hosts that start from now on.
	wrapLog func(log.Interface) log.Interface
}

func newDeployment(t *testing.T, seed int64) *deployment {
	d := &deployment{
		t: t, trace: &traceLog{started: time.Now()}, random: rand.New(rand.NewPCG(uint64(seed), 1)), store: &batchstore.Store{},
		accepted: map[string]*workload.Job{}, cancelled: map[string]bool{}, incarnation: 1,
	}
	d.fleet = &batchtarget.Fleet{MaxFailures: attempts, StopTime: stopTime, CordonTime: cordonTime, LateOrdersOutliveRestarts: *lateOrdersOutlive, Log: d.trace.named("fleet"), RunFails: func(run target.Run) bool {
		return run.Task.Index == 1 && run.Number == 1
	}}
	configuration := &catalogue.Catalogue{
		Version: 1, Services: map[string]catalogue.Service{"s": {Name: "s"}},
		Organisations: map[string]catalogue.Organisation{"o": {Name: "o", GuaranteedAccelerators: 8}}, OrganisationByKey: map[string]string{"k": "o"},
	}
	for priority := range 3 {
		name := fmt.Sprintf("q%d", priority)
		configuration.Queues = append(configuration.Queues, catalogue.Queue{
			Name: name, Host: "h", Prefix: "/" + name + "/", Service: "s", Priority: priority, MaxAttempts: attempts, StretchFactor: 2,
		})
	}
	d.configuration.Store(configuration)
	for i := range targetCount {
		d.addTarget(i, false)
	}
	d.intake = &intake.Intake{Store: d.store, Catalogue: d.configuration.Load, Metrics: metrics.NewRegistry(), Log: d.trace.named("calls")}
	for i := range hostCount {
		d.links = append(d.links, &link{Service: d.store})
		d.stopHost, d.hostEnded = append(d.stopHost, nil), append(d.hostEnded, nil)
		d.startHost(i)
	}
	return d
}

func targetID(i int) string { return fmt.Sprintf("t%d", i) }

func listing(i int, incarnation int64) target.Listing {
	return target.Listing{
		ID: targetID(i), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Rack: fmt.Sprintf("r%d", i/targetsPerRack), Zone: zoneOf(i), Born: incarnation,
		Capacity: workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 4},
	}
}

// addTarget starts or restarts a target. With setBack its time of day was set back, so it was born
// before all its former incarnations.
func (d *deployment) addTarget(i int, setBack bool) {
	d.incarnation++
	born := firstBorn + d.incarnation
	if setBack {
		born = firstBorn - d.incarnation
	}
	d.fleet.Add(listing(i, born))
	d.born[i] = born
	d.list(i)
}

// list writes the entry of a target.
func (d *deployment) list(i int) {
	d.unlisted[i] = false
	d.writeEntry(i, false)
}

// writeEntry writes the entry of a target that is ready or drains.
func (d *deployment) writeEntry(i int, draining bool) {
	value := fmt.Appendf(nil, "%d %d %t", i, d.born[i], draining)
	d.commit(keyvalue.Txn{Puts: []keyvalue.Put{{Key: targetPrefix + targetID(i), Value: value}}})
}

// commit writes to the store as a target does.
func (d *deployment) commit(txn keyvalue.Txn) {
	if _, err := d.store.Commit(context.Background(), txn); err != nil {
		d.t.Logf("the store did not answer the write of a target's entry: %v", err)
	}
}

func (d *deployment) startHost(i int) {
	hostLog := d.trace.named(fmt.Sprintf("host%d", i))
	if d.wrapLog != nil {
		hostLog = d.wrapLog(hostLog)
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stopHost[i], d.hostEnded[i] = stop, make(chan struct{})
	started := time.Now()
	targets := target.Targets(d.fleet)
	if d.wrapTargets != nil {
		targets = d.wrapTargets(targets)
	}
	planner := &coordinator.Coordinator{
		Store: d.links[i], Targets: &tracedTargets{Targets: targets, log: hostLog, starting: d.starting, renewing: d.renewing, renewed: d.renewed}, TargetPrefix: targetPrefix, Catalogue: d.configuration.Load, Cordons: d.follow(ctx, i, hostLog),
		ReadListing: func(_ string, value []byte) (target.Listing, error) {
			var index int
			var incarnation int64
			var draining bool
			_, err := fmt.Sscan(string(value), &index, &incarnation, &draining)
			found := listing(index, incarnation)
			found.Draining = draining
			return found, err
		},
		Limits: scheduler.Limits{
			TaskLease: lease, RenewalHorizon: coordinator.RenewalHorizon, RemoteFactor: 3, Retention: retention,
			CheckpointPeriod: time.Second, StopTime: stopTime, DrainTime: drainTime, CordonTime: d.cordonTime,
		},
		MaxValueBytes: int(d.maxValueBytes), PublishLoad: true, Metrics: metrics.NewRegistry(), Log: hostLog,
	}
	election := &term.Election{
		Store: d.links[i], Name: fmt.Sprintf("host%d-%d", i, d.random.Int()), Elapsed: func() time.Duration { return time.Since(started) + time.Duration(d.suspended.Load()) },
		Lead: planner.Lead, Log: hostLog,
	}
	end := d.hostEnded[i]
	go func() {
		defer close(end)
		if err := election.Run(ctx); !errors.Is(err, context.Canceled) {
			d.t.Errorf("Election.Run: %v", err)
		}
	}()
}

// stopHosts stops all hosts and waits for their ends.
func (d *deployment) stopHosts() {
	for i, stop := range d.stopHost {
		stop()
		<-d.hostEnded[i]
	}
}

// restartHosts stops and starts all hosts.
func (d *deployment) restartHosts() {
	d.stopHosts()
	for i := range d.stopHost {
		d.startHost(i)
	}
}

func (d *deployment) submit() {
	first := workload.Step{
		Count: 1 + d.random.IntN(4), Estimate: time.Duration(1+d.random.IntN(4)) * time.Second, Gang: d.random.IntN(2) == 0, SameRack: d.random.IntN(2) == 0,
		Needs: workload.Resources{MilliCores: 2000, MemoryMB: 100 + 100*int64(d.random.IntN(4)), Accelerators: int64(d.random.IntN(3))},
	}
	steps := []workload.Step{first}
	if d.random.IntN(3) == 0 {
		second := first
		second.After, second.Gang = []int{0}, false
		steps = append(steps, second)
	}
	d.submitSteps(steps...)
}

// submitSteps submits a job with the given steps to one of the queues.
func (d *deployment) submitSteps(steps ...workload.Step) {
	d.submitted++
	id := fmt.Sprintf("%016x", d.submitted)
	job := &workload.Job{ID: id, Payload: "payload of " + id, Steps: steps}
	d.fleet.ExpectJob(job)
	call, err := d.intake.Admit("", "h", fmt.Sprintf("/q%d/%s", d.random.IntN(3), id), "k")
	if err != nil {
		// The queue is removed at present; see toggleQueue.
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err = d.intake.Submit(ctx, call, job)
	if err == nil {
		d.accepted[id] = job
	}
	if errkind.Unavailable.Is(err) {
		// A refused job must never run. With another payload expected, the fleet reports any
		// start of it as a violation.
		d.fleet.ExpectJob(&workload.Job{ID: id, Payload: "refused"})
	}
}

func (d *deployment) acceptedIDs() []string {
	var acceptedIDs []string
	for id := range d.accepted {
		acceptedIDs = append(acceptedIDs, id)
	}
	slices.Sort(acceptedIDs)
	return acceptedIDs
}

// recoverAndCheck ends all faults, lets the time of the bubble pass and checks that each accepted job ends done, or cancelled if
// a cancellation was sent. It returns the violations.
func (d *deployment) recoverAndCheck() []string {
	for _, link := range d.links {
		link.cut.Store(false)
		link.operatorsCut.Store(false)
	}
	d.store.LoseAnswers(0, 0)
	for zone := 0; zone < zoneCount && d.cordonTime > 0; zone++ {
		d.uncordon(zone)
	}
	for i := range targetCount {
		d.fleet.SetMuted(targetID(i), false)
		d.fleet.SetConnections(targetID(i), batchtarget.Open)
		if d.unlisted[i] {
			d.list(i)
		}
	}
	d.trace.named("test").Info("all faults have ended")
	time.Sleep(recoveryTime)
	violations := d.fleet.Violations()
	for _, id := range d.acceptedIDs() {
		phase, err := d.intake.State(context.Background(), intake.Call{Organisation: "o", ID: id})
		switch {
		case err != nil:
			violations = append(violations, fmt.Sprintf("lost: the state of the accepted job %s cannot be read: %v", id, err))
		case phase == wire.JobPhase_JOB_PHASE_DONE:
			violations = append(violations, d.unfinishedTasks(id)...)
		case phase != wire.JobPhase_JOB_PHASE_CANCELLED || !d.cancelled[id]:
			violations = append(violations, fmt.Sprintf("lost: the accepted job %s has not ended as done or cancelled by its caller: it is %s", id, phase))
		}
	}
	d.stopHosts()
	return violations
}

// unfinishedTasks lists the tasks that have not ended done although their job is reported done.
// One member that ended done is enough for a gang.
func (d *deployment) unfinishedTasks(id string) []string {
	var violations []string
	for number, step := range d.accepted[id].Steps {
		ended := false
		for index := range step.Count {
			done := d.fleet.TaskDone(target.Task{Job: id, Step: number, Index: index})
			ended = ended || done
			if !step.Gang && !done {
				violations = append(violations, fmt.Sprintf("mixed: job %s is reported done, but its task %d.%d has not ended done", id, number, index))
			}
		}
		if !ended {
			violations = append(violations, fmt.Sprintf("mixed: job %s is reported done, but no task of its step %d has ended done", id, number))
		}
	}
	return violations
}

// Package coordinator carries out the scheduler's decisions during a term. It passes
// submissions, targets and reports to the scheduler, makes the scheduler's progress durable
// and sends its orders to the targets.
package coordinator

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/background"
	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/cordon"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/panics"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
)

const (
	// RenewalHorizon is how long a planner continues after the store last confirmed its term.
	RenewalHorizon = 8 * time.Second
	// stepInterval is the minimum time between two steps of the scheduler, so that each
	// handles a batch of events.
	stepInterval    = 15 * time.Millisecond
	maxStepInterval = time.Second
	// stepPauseFactor is the shortest pause after a step in multiples of its duration, up to
	// maxStepPause.
	stepPauseFactor = 3
	maxStepPause    = 120 * time.Millisecond
	// slowStep is how long a step may take before that is logged.
	slowStep = time.Second
	// retryInterval is the pause before a failed call or an unanswered order is repeated.
	retryInterval = 150 * time.Millisecond
	// maxWatchWait bounds a watch on targets, and jobWatchWait one on jobs: a connection that went
	// silent is noticed only when the watch should have returned, and until then no new job starts.
	maxWatchWait = time.Second
	jobWatchWait = 300 * time.Millisecond
	// maxJobsAge is how long ago what is known of cancellations may have been read when a start is sent.
	// It leaves time for the start to arrive before callers count on a cancellation.
	maxJobsAge = 2 * time.Second
	// heartbeatInterval is the pause between two watches on targets, so that each returns many
	// heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	expiryPeriod      = 5 * time.Second
	// reportCheckInterval is the time between two checks for targets that have not reported.
	reportCheckInterval = 100 * time.Millisecond
	histogramSamples    = 256
	// abandonTimeout is how long the end of a term waits for its goroutines.
	abandonTimeout = time.Second
)

var (
	errFenced          = errors.New("coordinator.Lead: a target refused an order because a planner with a higher fencing token has given it orders")
	errTermLost        = errors.New("coordinator.Lead: the term's record or the sequence in the store is not of this term; another planner has taken over")
	errTargetRemoved   = errors.New("coordinator.agent: the target is not listed and has no runs")
	errLoopEnded       = errors.New("coordinator.Lead: a background loop of the term ended; report this as a defect")
	errTermUnconfirmed = errors.New("coordinator.Lead: the store has not confirmed the term for more than 8 s; check that the store can be reached")
)

// Coordinator schedules the service's jobs while this host holds the term. Set the fields
// before Lead is called.
type Coordinator struct {
	Store   keyvalue.Service
	Targets target.Targets
	// TargetPrefix is the prefix of the targets' entries in the store; ReadListing decodes one.
	TargetPrefix string
	ReadListing  func(key string, value []byte) (target.Listing, error)
	// Catalogue returns the configuration in force; nil until one has been read.
	Catalogue func() *catalogue.Catalogue
	// Cordons returns what is known of the cordons, never nil.
	Cordons func() *cordon.Set
	Limits  scheduler.Limits
	// MaxValueBytes is the size of the largest value that the store accepts; 0 stands for 1 MiB.
	MaxValueBytes int
	// PublishLoad says that digests of the load are written for the hosts.
	PublishLoad bool
	Metrics     metrics.Registry
	Log         log.Interface
}

// session is the state of one term.
type session struct {
	*Coordinator
	currentTerm *term.Term
	// sequence is the item of records.SequenceKey as this term last read or wrote it.
	sequence keyvalue.Item

	// mu guards the scheduler, the agents' numbers of ended runs and the next batch.
	mu sync.Mutex
	// plan is the scheduler of this term. It returns its decisions as a scheduler.Plan.
	plan             *scheduler.Scheduler
	agents           map[string]*agent
	catalogueVersion int64
	// jobs and targetsRevision are the store's revisions after which the watches of jobs and of
	// targets begin.
	jobs            int64
	targetsRevision int64
	// jobsSeen is when the last read or watch of jobs that succeeded was sent: cancellations that were
	// acknowledged before are known.
	jobsSeen time.Time

	// removals holds, by key, the revision in which a record was removed, until the watch of
	// jobs has reached it. What the store returns from before that revision is out of date.
	removals map[string]int64
	// submissions holds, by job, the revision of its submission.
	submissions map[string]int64

	// unreadable holds the keys of the progress records that cannot be decoded. What their jobs have
	// run is not known, so these must not start.
	unreadable map[string]bool

	stepSignal chan struct{}
	// context ends with the term. It is kept here for the agents, which are started as
	// targets appear.
	context context.Context
	cancel  context.CancelCauseFunc
	group   sync.WaitGroup
	// leftOutLogged is when it was last logged that checkpoints were left out. Only commitLoop uses it.
	leftOutLogged time.Time
	// nextBatch holds what waits for the next commit.
	nextBatch    batch
	commitSignal chan struct{}
	// reportsRequested is when targets that have not reported were last looked for.
	reportsRequested time.Time
	// shareGauges holds the organisations that have gauges, which were last set at sharesMeasured.
	shareGauges    map[string]bool
	sharesMeasured time.Time
	// pending holds the counts of pending jobs, by queue, that were last sent to the store.
	pending     map[string]int32
	loadDigests loadDigests
}

// Lead schedules until ctx ends or the term is lost, and returns the cause.
func (c *Coordinator) Lead(ctx context.Context, currentTerm *term.Term) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &session{
		Coordinator: c, currentTerm: currentTerm, context: ctx, cancel: cancel, agents: map[string]*agent{}, stepSignal: make(chan struct{}, 1),
		commitSignal: make(chan struct{}, 1), nextBatch: newBatch(), removals: map[string]int64{}, submissions: map[string]int64{}, shareGauges: map[string]bool{},
	}
	s.plan = &scheduler.Scheduler{Limits: c.Limits, FirstTerm: currentTerm.Token == 1, Log: s.event}
	err := s.lead(ctx)
	metrics.GetOrRegisterCounter("coordinator.termEnded."+termEndReason(err), c.Metrics).Inc(1)
	return err
}

// lead reads the state from the store and schedules until the term ends. It returns the cause.
func (s *session) lead(ctx context.Context) error {
	if err := s.loadFromStore(ctx); err != nil {
		return err
	}
	ends := background.Start(ctx,
		background.Loop{Name: "steps", Run: s.stepLoop},
		background.Loop{Name: "commits", Run: s.commitLoop},
		background.Loop{Name: "jobs", Run: s.watchJobs},
		background.Loop{Name: "targets", Run: s.watchTargets},
		background.Loop{Name: "expiry", Run: s.expire},
		background.Loop{Name: "horizon", Run: s.watchContact},
	)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for end := range ends {
			if ctx.Err() == nil {
				s.fail(cmp.Or(end.Err, errLoopEnded))
			}
		}
		s.group.Wait()
	}()
	<-ctx.Done()
	select {
	case <-ended:
		s.dropShareGauges(nil)
	case <-time.After(abandonTimeout):
		// One that hangs must not keep the term from other hosts. It can send nothing: its context has ended.
		s.Log.WithField("token", s.currentTerm.Token).Error("coordinator: not all goroutines of the term have ended; the term is given up without them")
	}
	return context.Cause(ctx)
}

// run runs a part of the term's work in a goroutine. A panic ends the term, whose state may be half changed, and
// not the process.
func (s *session) run(name string, part func()) {
	s.group.Go(func() {
		if _, err := panics.Guard(name, func() (struct{}, error) { part(); return struct{}{}, nil }); err != nil {
			s.fail(err)
		}
	})
}

// fail ends the term with a cause, and logs where it panicked if it did.
func (s *session) fail(cause error) {
	var panicked *panics.Error
	if errors.As(cause, &panicked) {
		metrics.GetOrRegisterCounter("coordinator.panics", s.Metrics).Inc(1)
		s.Log.WithFields(log.Fields{"token": s.currentTerm.Token, "cause": cause, "stack": panicked.Stack}).Error("coordinator: the term ends after a panic")
	}
	s.cancel(cause)
}

// termEndReason names the cause of a term's end for the metrics.
func termEndReason(cause error) string {
	switch {
	case errors.Is(cause, errFenced):
		return "fenced"
	case errors.Is(cause, errTermLost):
		return "lost"
	case errors.Is(cause, errTermUnconfirmed):
		return "unconfirmed"
	case errors.Is(cause, context.Canceled):
		return "cancelled"
	}
	return "failed"
}

// event counts and logs a decision of the scheduler.
func (s *session) event(event string, fields scheduler.Fields) {
	metrics.GetOrRegisterCounter("scheduler."+event, s.Metrics).Inc(1)
	s.Log.WithFields(log.Fields(fields)).WithField("token", s.currentTerm.Token).Info("scheduler: " + event)
}

// locked calls do with the session's lock. It gives the lock back also after a panic, so that the term can end.
func (s *session) locked(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// listing returns what is known of a target's entry; without a valid address if that is nothing.
func (s *session) listing(targetID string) target.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.TargetStatus(time.Now(), targetID).Listing
}

// requestStep wakes stepLoop.
func (s *session) requestStep() {
	select {
	case s.stepSignal <- struct{}{}:
	default:
	}
}

// watchContact ends the term when the store has not confirmed it within RenewalHorizon.
func (s *session) watchContact(ctx context.Context) error {
	for {
		if !s.maySendOrders() {
			return errTermUnconfirmed
		}
		if !sleep(ctx, retryInterval) {
			return ctx.Err()
		}
	}
}

// maySendOrders reports whether the store has confirmed the term within RenewalHorizon, by a
// clock that counts suspended time. If it has not, the term ends.
func (s *session) maySendOrders() bool {
	if s.currentTerm.SinceContact() <= RenewalHorizon {
		return true
	}
	s.cancel(errTermUnconfirmed)
	return false
}

// maySendStarts reports whether the term's lease in the store can't have ended, so that no other
// planner gives orders. Until a target has had an order of the next term, it would accept a start
// of this one.
func (s *session) maySendStarts() bool { return s.currentTerm.SinceContact() < term.Lease }

// stepLoop runs the scheduler when it is woken or when its next step is due.
func (s *session) stepLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.stepSignal:
		case <-timer.C:
		}
		begun := time.Now()
		slow := time.AfterFunc(slowStep, s.logSlowStep)
		next := s.step()
		slow.Stop()
		timer.Reset(next)
		if !sleep(ctx, pauseAfterStep(time.Since(begun))) {
			return ctx.Err()
		}
	}
}

// logSlowStep logs a step that goes on for slowStep. The term stays with this host: another one would take as long for
// the same step.
func (s *session) logSlowStep() {
	metrics.GetOrRegisterCounter("scheduler.slowSteps", s.Metrics).Inc(1)
	s.Log.WithFields(log.Fields{"token": s.currentTerm.Token, "lasted": slowStep}).Error("coordinator: a step goes on for long; nothing else is planned meanwhile")
}

// pauseAfterStep returns how long no step is made after one that took so long. Steps take at most a
// quarter of the time, so that orders and reports have the rest of a busy host's processor.
func pauseAfterStep(took time.Duration) time.Duration {
	return max(stepInterval, min(stepPauseFactor*took, maxStepPause))
}

// step runs one step of the scheduler, hands its stops to the agents and queues its writes and
// starts for the next commit. It returns the time until the next step is due.
func (s *session) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if current := s.Catalogue(); current != nil && current.Version != s.catalogueVersion {
		s.catalogueVersion = current.Version
		s.plan.Configure(current)
	}
	s.plan.SetCordons(now, s.Cordons())
	plan := s.plan.Step(now)
	for _, stop := range plan.Stops {
		s.agent(stop.Target).stop(stop)
	}
	s.enqueue(plan)
	s.requestReports(now)
	s.measureShares(now)
	metrics.GetOrRegisterHistogram("scheduler.stepUs", s.Metrics, metrics.NewUniformSample(histogramSamples)).Update(time.Since(now).Microseconds())
	if plan.Wake.IsZero() {
		return maxStepInterval
	}
	return min(maxStepInterval, max(0, plan.Wake.Sub(now)))
}

// requestReports lets the agents of targets that have not reported ask for a report: such targets
// get no work. It starts the agents of new targets. If other targets are silent than a successor would
// know, it has that written. It does all this at most once per reportCheckInterval. The session's lock
// must be held.
func (s *session) requestReports(now time.Time) {
	if now.Sub(s.reportsRequested) < reportCheckInterval {
		return
	}
	s.reportsRequested = now
	metrics.GetOrRegisterGauge("target.suspect", s.Metrics).Update(int64(s.plan.SuspectTargets()))
	metrics.GetOrRegisterGauge("target.cold", s.Metrics).Update(int64(s.plan.ColdTargets(now)))
	metrics.GetOrRegisterGauge("target.onProbation", s.Metrics).Update(int64(s.plan.TargetsOnProbation()))
	metrics.GetOrRegisterGauge("target.awaitsEntry", s.Metrics).Update(int64(s.plan.TargetsAwaitingEntry()))
	for _, id := range s.plan.TargetsToReport(now) {
		notify(s.agent(id).renewSignal)
	}
	if s.plan.HandoverChanged(now) {
		notify(s.commitSignal)
	}
}

// sleep waits for a duration. It returns false if ctx ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

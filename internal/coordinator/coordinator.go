// Package coordinator carries the scheduler's decisions during a term: it feeds it
// with submissions, targets and reports, makes its progress durable, and sends its
// orders to the targets.
package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/background"
	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
)

const (
	// RenewalHorizon is how long a planner goes on without the store's word that its term lasts.
	RenewalHorizon = 8 * time.Second
	// stepPause spaces the scheduler's steps, so that news is taken in batches.
	stepPause  = 15 * time.Millisecond
	idleStep   = time.Second
	retryPause = 150 * time.Millisecond
	watchWait  = time.Second
	// heartbeatPause gathers the targets' heartbeats, so that a watch brings many.
	heartbeatPause = 250 * time.Millisecond
	expirePeriod   = 5 * time.Second
	sampleSize     = 256
)

var (
	errFenced  = errors.New("a planner with a higher token gives orders")
	errDeposed = errors.New("the store holds another term")
	errSilent  = errors.New("the store has not confirmed the term for too long")
)

// Coordinator plans the service while this host holds the term. Set the fields before Lead.
type Coordinator struct {
	Store   keyvalue.Service
	Targets target.Targets
	// TargetPrefix and ReadListing find and decode the targets' entries in the store.
	TargetPrefix string
	ReadListing  func(key string, value []byte) (target.Listing, error)
	Catalogue    func() *catalogue.Catalogue
	Limits       scheduler.Limits
	Metrics      metrics.Registry
	Log          log.Interface
}

// session is the work of one term.
type session struct {
	*Coordinator
	tenure   *term.Tenure
	sequence keyvalue.Item

	mu      sync.Mutex
	plan    *scheduler.Scheduler
	agents  map[string]*agent
	version int64
	jobs    int64
	listed  int64

	wake chan struct{}
	// context ends with the term; agents, which come and go, run under it.
	context context.Context
	cancel  context.CancelCauseFunc
	group   sync.WaitGroup
	// queued are the writes and starts that wait for the next commit.
	queued  batch
	commit  chan struct{}
	pending map[string]int32
}

// Lead plans until ctx ends or the term is lost.
func (c *Coordinator) Lead(ctx context.Context, tenure *term.Tenure) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &session{
		Coordinator: c, tenure: tenure, context: ctx, cancel: cancel, agents: map[string]*agent{}, wake: make(chan struct{}, 1),
		commit: make(chan struct{}, 1), queued: newBatch(),
		plan: &scheduler.Scheduler{Limits: c.Limits, Log: c.event},
	}
	if err := s.takeOver(ctx); err != nil {
		return err
	}
	ends := background.Start(ctx,
		background.Task{Name: "steps", Run: s.steps},
		background.Task{Name: "commits", Run: s.commitAll},
		background.Task{Name: "jobs", Run: s.watchJobs},
		background.Task{Name: "targets", Run: s.watchTargets},
		background.Task{Name: "expiry", Run: s.expire},
		background.Task{Name: "horizon", Run: s.guard},
	)
	for end := range ends {
		if end.Err != nil && ctx.Err() == nil {
			cancel(end.Err)
		}
	}
	s.group.Wait()
	return context.Cause(ctx)
}

func (c *Coordinator) event(event string, fields scheduler.Fields) {
	metrics.GetOrRegisterCounter("scheduler."+event, c.Metrics).Inc(1)
	c.Log.WithFields(log.Fields(fields)).Info("scheduler: " + event)
}

// signal asks for a step.
func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// guard ends the term when the store has been silent for too long.
func (s *session) guard(ctx context.Context) error {
	for {
		if s.tenure.Contact() > RenewalHorizon {
			return errSilent
		}
		if !pause(ctx, retryPause) {
			return ctx.Err()
		}
	}
}

// mayOrder reports whether orders may still be given, by a clock that counts suspended time.
func (s *session) mayOrder() bool { return s.tenure.Contact() <= RenewalHorizon }

// steps runs the scheduler when there is news.
func (s *session) steps(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-timer.C:
		}
		next := s.step()
		timer.Reset(next)
		if !pause(ctx, stepPause) {
			return ctx.Err()
		}
	}
}

// step makes one step and hands out what it decided. It returns the time until the next.
func (s *session) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if held := s.Catalogue(); held != nil && held.Version != s.version {
		s.version = held.Version
		s.plan.Configure(held)
	}
	plan := s.plan.Step(now)
	for _, stop := range plan.Stops {
		s.agent(stop.Target).stop(stop)
	}
	s.queue(plan)
	for _, id := range s.plan.Targets() {
		s.agent(id)
	}
	metrics.GetOrRegisterHistogram("scheduler.stepUs", s.Metrics, metrics.NewUniformSample(sampleSize)).Update(time.Since(now).Microseconds())
	if plan.Wake.IsZero() {
		return idleStep
	}
	return min(idleStep, max(0, plan.Wake.Sub(now)))
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

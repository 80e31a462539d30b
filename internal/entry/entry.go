// Package entry assembles a host that serves batch queues. The host answers callers, follows
// the configuration, and competes with the other hosts to be the planner.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/eelgrasstide/eelgrasstide/internal/background"
	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/coordinator"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/loadcopy"
	"github.com/eelgrasstide/eelgrasstide/internal/relay"
	"github.com/eelgrasstide/eelgrasstide/internal/roster"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
	"github.com/eelgrasstide/eelgrasstide/internal/supervisor"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
)

const (
	// retentionMargin is how much longer than Settings.Retention the records of ended jobs are
	// kept.
	retentionMargin = 10 * time.Second
	// drainShare is the share of the stop grace in which the host still accepts calls. The load
	// balancer needs two health checks to notice that the host is not ready.
	drainShare = 0.6
	// cancelShare is the share of the stop grace after which the contexts of calls in flight are
	// cancelled, so that they return an answer. closeShare is the share after which the host
	// no longer waits for calls in flight.
	cancelShare = 0.8
	closeShare  = 0.9
)

// Entry is a host that serves batch queues. Set the exported fields before Run.
type Entry struct {
	Settings Settings
	// Own holds the product's own settings; nil stands for their defaults.
	Own     *settings.Front
	Store   keyvalue.Service
	Targets target.Targets
	// StoreLayout holds the platform's store keys and the decoders of their values.
	StoreLayout StoreLayout
	// Callers serves callers' calls, Ready the load balancer's health checks, and Hosts the
	// calls of other hosts and of the readers of metrics. A listener without a valid address
	// is not started.
	Callers Listener
	Ready   Listener
	Hosts   Listener
	// Roster keeps the list of the other hosts.
	Roster *roster.Roster
	// Relay, if set, runs with this host. IsReady asks it whether the host is cut off.
	Relay *relay.Relay
	// Load, if set, runs with this host and keeps its copy of the digest of the load. This host then
	// writes such digests while it plans.
	Load *loadcopy.Copy
	// Intake handles the calls that the callers' handler receives.
	Intake   *intake.Intake
	Registry metrics.Registry
	Log      log.Interface

	follower Follower
	stopping atomic.Bool
	// stuck says that the store answers this host, but not the loop that follows the configuration.
	stuck atomic.Bool
}

// StoreLayout holds the store keys of the operators and of the targets' entries, and the decoders of
// their values. ConfigurationKey and the keys of cordons begin with OperatorPrefix.
type StoreLayout struct {
	OperatorPrefix   string
	ConfigurationKey string
	ReadCatalogue    func(value []byte) (*catalogue.Catalogue, error)
	// CordonedZone returns the availability zone that a key of the operators asks to cordon; empty for
	// a key of another kind.
	CordonedZone func(key string) (string, error)
	TargetPrefix string
	ReadListing  func(key string, value []byte) (target.Listing, error)
}

// Listener is an address and the handler that serves it.
type Listener struct {
	Address netip.AddrPort
	Handler http.Handler
	// Ingress bounds what clients can hold; nil stands for the default limits.
	Ingress *ingress.Ingress
}

// Catalogue returns the configuration in force; nil until one has been read.
func (e *Entry) Catalogue() *catalogue.Catalogue { return e.follower.Catalogue() }

// Stopping reports whether a graceful stop has begun.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// IsReady reports whether the load balancer should send new connections to this host. An
// outage of the store affects all hosts alike and leaves them ready. A host that alone is cut
// off from the store and from other zones is not ready, nor is one that no longer follows the
// configuration although the store answers it.
func (e *Entry) IsReady() bool {
	return e.Catalogue() != nil && !e.Stopping() && !e.stuck.Load() && (e.Relay == nil || !e.Relay.Isolated())
}

// Run serves until ctx ends, then stops gracefully: it gives up the planner's term at once,
// accepts calls until the load balancer has noticed, and lets calls in flight finish. It returns
// an error if the settings are invalid or a listener fails.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.Settings.Validate(); err != nil {
		return err
	}
	callContext, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	servers, failures, err := e.listen(callContext)
	if err != nil {
		return err
	}
	e.Log.WithFields(log.Fields{"name": e.Settings.Name, "zone": e.Settings.Zone, "callers": e.Callers.Address.String()}).Info("entry: started")
	loopContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.follower.Store, e.follower.Layout, e.follower.Metrics, e.follower.Log = e.Store, &e.StoreLayout, e.Registry, e.Log
	loops := []background.Loop{{Name: "configuration", Run: e.follower.Run}, {Name: "roster", Run: e.Roster.Run}, {Name: "health", Run: e.watchHealth}}
	if e.Relay != nil {
		loops = append(loops, background.Loop{Name: "relay", Run: e.Relay.Run})
	}
	if e.Load != nil {
		loops = append(loops, background.Loop{Name: "load", Run: e.Load.Run})
	}
	loopSupervisor := &supervisor.Supervisor{Metrics: e.Registry, Log: e.Log}
	ends := background.Start(loopContext, loopSupervisor.Wrap(loops...)...)
	planning := background.Start(ctx, loopSupervisor.Wrap(background.Loop{Name: "term", Run: e.newElection().Run})...)
	select {
	case <-ctx.Done():
	case err := <-failures:
		return err
	}
	e.stop(servers, cancelCalls)
	e.awaitEnds(planning)
	stop()
	e.awaitEnds(ends)
	e.Log.Info("entry: stopped")
	return nil
}

// awaitEnds waits until the loops have ended that a stop ends, and logs each end.
func (e *Entry) awaitEnds(ends <-chan background.Exit) {
	for end := range ends {
		e.Log.WithField("part", end.Name).WithField("cause", end.Err).Info("entry: background loop ended")
	}
}

// newElection returns the election in which this host competes for the term. While it holds the
// term, a coordinator plans.
func (e *Entry) newElection() *term.Election {
	planner := &coordinator.Coordinator{
		Store: e.Store, Targets: e.Targets, TargetPrefix: e.StoreLayout.TargetPrefix, ReadListing: e.StoreLayout.ReadListing,
		Catalogue: e.Catalogue, Cordons: e.follower.Cordons, Limits: e.limits(), MaxValueBytes: e.Settings.MaxValueBytes, PublishLoad: e.Load != nil,
		Metrics: e.Registry, Log: e.Log,
	}
	lead := func(ctx context.Context, current *term.Term) error {
		e.follower.SetPlanning(e.Settings.CordonTime)
		defer e.follower.SetPlanning(0)
		return planner.Lead(ctx, current)
	}
	return &term.Election{Store: e.Store, Name: e.Settings.Name, Delay: e.Settings.delay(), Elapsed: elapsed, Lead: lead, Log: e.Log}
}

// elapsed returns the time since the machine started, including the time that it was suspended.
func elapsed() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("entry.elapsed: the system has no CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(now.Nano())
}

// listen opens the listeners and serves them. The contexts of calls derive from callContext. The
// channel receives the error of a server that ends before it is shut down.
func (e *Entry) listen(callContext context.Context) ([]*http.Server, <-chan error, error) {
	failures := make(chan error, 3)
	var servers []*http.Server
	for _, l := range []Listener{e.Callers, e.Ready, e.Hosts} {
		if !l.Address.IsValid() {
			continue
		}
		bounds := l.Ingress
		if bounds == nil {
			limits := ingress.NewLimits(nil, e.Settings.MemoryMB, e.Settings.MaxDescriptors)
			bounds = &ingress.Ingress{Name: l.Address.String(), Limits: limits, Metrics: e.Registry, Log: e.Log}
		}
		listener, err := bounds.Listen(l.Address.String())
		if err != nil {
			return nil, nil, errkind.Invalid.New("set the listen address to a free one of this host", "Entry.listen: %v", err)
		}
		server := bounds.Server(l.Handler)
		server.BaseContext = func(net.Listener) context.Context { return callContext }
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failures <- fmt.Errorf("Entry.listen: %w", err)
			}
		}()
	}
	return servers, failures, nil
}

// stop accepts calls until the load balancer has noticed that the host is not ready, and then
// shuts the servers down. It cancels calls that still wait for the store early enough for
// their answers to reach the callers.
func (e *Entry) stop(servers []*http.Server, cancelCalls context.CancelFunc) {
	e.stopping.Store(true)
	e.Log.Info("entry: stopping, not ready")
	grace := e.Settings.StopGrace
	defer time.AfterFunc(time.Duration(float64(grace)*cancelShare), cancelCalls).Stop()
	time.Sleep(time.Duration(float64(grace) * drainShare))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(grace)*(closeShare-drainShare)))
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			e.Log.WithError(err).Warn("entry: calls were still in flight at 90% of the stop grace")
		}
	}
}

// Package entry assembles a host of batch queues: the callers' interface, the
// configuration in force, the competition for the term and the planner's work.
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
	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/relay"
	"github.com/eelgrasstide/eelgrasstide/internal/roster"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
)

const (
	headerTimeout   = 3 * time.Second
	idleTimeout     = 60 * time.Second
	maxHeaderBytes  = 16 << 10
	watchWait       = time.Second
	retryPause      = 150 * time.Millisecond
	retentionMargin = 10 * time.Second
	// unreadyPart is the part of the stop's grace in which calls are still taken, as the
	// balancer needs two looks to notice that this host is not ready.
	unreadyPart = 0.6
	// answerPart is the part of the grace after which calls that still wait are answered as
	// they stand, and lastPart that after which connections are closed.
	answerPart = 0.8
	lastPart   = 0.9
)

// Entry is a host of batch queues. Set the exported fields before Run.
type Entry struct {
	Settings Settings
	Store    keyvalue.Service
	Targets  target.Targets
	// Source tells where the platform keeps what, and decodes it.
	Source Source
	// Callers answers callers' calls, Ready the balancer's looks, Hosts the other hosts'
	// calls and the readers of metrics.
	Callers Listener
	Ready   Listener
	Hosts   Listener
	// Roster finds the other hosts.
	Roster *roster.Roster
	// Relay, if set, is the store's way through other hosts.
	Relay *relay.Relay
	// Intake is used by the callers' handler.
	Intake   *intake.Intake
	Registry metrics.Registry
	Log      log.Interface

	catalogue atomic.Pointer[catalogue.Catalogue]
	stopping  atomic.Bool
}

// Source tells where the platform keeps the configuration and the targets' entries.
type Source struct {
	OperatorPrefix   string
	ConfigurationKey string
	ReadCatalogue    func(value []byte) (*catalogue.Catalogue, error)
	TargetPrefix     string
	ReadListing      func(key string, value []byte) (target.Listing, error)
}

// Listener is an address with what is served there.
type Listener struct {
	Address netip.AddrPort
	Handler http.Handler
}

// Catalogue returns the configuration in force; nil before the first.
func (e *Entry) Catalogue() *catalogue.Catalogue { return e.catalogue.Load() }

// Stopping reports whether the host is about to stop.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// IsReady reports whether new connections are welcome. An outage of the store leaves all
// hosts ready, as it is the same on each; a host that is cut off alone is not.
func (e *Entry) IsReady() bool {
	return e.Catalogue() != nil && !e.Stopping() && (e.Relay == nil || !e.Relay.Isolated())
}

// Run serves until ctx ends, then stops gracefully: the term is given back at once,
// calls are taken until the balancer has surely noticed, and those in flight finish.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.Settings.Validate(); err != nil {
		return err
	}
	calls, answer := context.WithCancel(context.WithoutCancel(ctx))
	defer answer()
	servers, failures, err := e.listen(calls)
	if err != nil {
		return err
	}
	e.Log.WithFields(log.Fields{"name": e.Settings.Name, "zone": e.Settings.Zone, "callers": e.Callers.Address.String()}).Info("entry: started")
	loops, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := []background.Task{{Name: "configuration", Run: e.follow}, {Name: "roster", Run: e.Roster.Run}}
	if e.Relay != nil {
		tasks = append(tasks, background.Task{Name: "relay", Run: e.Relay.Run})
	}
	ends := background.Start(loops, tasks...)
	planning := background.Start(ctx, background.Task{Name: "term", Run: e.newTerm().Run})
	select {
	case <-ctx.Done():
	case err := <-failures:
		return err
	}
	e.stop(servers, answer)
	for end := range planning {
		e.Log.WithField("part", end.Name).WithField("cause", end.Err).Info("entry: part ended")
	}
	stop()
	for range ends {
	}
	e.Log.Info("entry: stopped")
	return nil
}

func (e *Entry) newTerm() *term.Term {
	planner := &coordinator.Coordinator{
		Store: e.Store, Targets: e.Targets, TargetPrefix: e.Source.TargetPrefix, ReadListing: e.Source.ReadListing,
		Catalogue: e.Catalogue, Limits: e.Settings.limits(), Metrics: e.Registry, Log: e.Log,
	}
	return &term.Term{Store: e.Store, Name: e.Settings.Name, Delay: e.Settings.delay(), Elapsed: elapsed, Lead: planner.Lead, Log: e.Log}
}

// elapsed is the time since the machine started, suspended time included.
func elapsed() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("entry.elapsed: this system has no boot clock: %v", err))
	}
	return time.Duration(now.Nano())
}

// listen serves all addresses. The calls' contexts end with calls.
func (e *Entry) listen(calls context.Context) ([]*http.Server, <-chan error, error) {
	failures := make(chan error, 3)
	var servers []*http.Server
	for _, l := range []Listener{e.Callers, e.Ready, e.Hosts} {
		if !l.Address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", l.Address.String())
		if err != nil {
			return nil, nil, fault.Invalid.New("set the address to a free one of this host", "Entry.listen: %v", err)
		}
		server := &http.Server{
			Handler: l.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			BaseContext: func(net.Listener) context.Context { return calls },
		}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failures <- fmt.Errorf("Entry.listen: %w", err)
			}
		}()
	}
	return servers, failures, nil
}

// stop takes calls until the balancer has surely noticed, and ends those that still wait
// for the store in time for their answers to arrive.
func (e *Entry) stop(servers []*http.Server, answer context.CancelFunc) {
	e.stopping.Store(true)
	e.Log.Info("entry: stopping, not ready")
	grace := e.Settings.StopGrace
	defer time.AfterFunc(time.Duration(float64(grace)*answerPart), answer).Stop()
	time.Sleep(time.Duration(float64(grace) * unreadyPart))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(grace)*(lastPart-unreadyPart)))
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			e.Log.WithError(err).Warn("entry: calls were still in flight at the end of the grace")
		}
	}
}

// follow keeps the newest configuration in force until ctx ends.
func (e *Entry) follow(ctx context.Context) error {
	after := int64(0)
	reachable := true
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = e.read(ctx)
		} else {
			after, err = e.watch(ctx, after)
		}
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			e.Log.WithFields(log.Fields{"reachable": reachable, "cause": err, "revision": after}).Warn("entry: the store's reachability changed")
		}
		if err != nil {
			wait(ctx, retryPause)
		}
	}
	return ctx.Err()
}

func (e *Entry) read(ctx context.Context) (int64, error) {
	items, revision, err := e.Store.List(ctx, e.Source.OperatorPrefix)
	if err != nil {
		return 0, err
	}
	e.take(items)
	return revision, nil
}

// watch returns 0 as the next revision when the history is gone.
func (e *Entry) watch(ctx context.Context, after int64) (int64, error) {
	events, err := e.Store.Watch(ctx, e.Source.OperatorPrefix, after, watchWait)
	if err != nil {
		return after, err
	}
	if events.Compacted {
		e.Log.WithField("after", after).Warn("entry: the configuration's history is gone; reading it anew")
		return 0, nil
	}
	e.take(events.Items)
	return events.Revision, nil
}

// take adopts a higher version of the configuration.
func (e *Entry) take(items []keyvalue.Item) {
	for _, item := range items {
		if item.Key != e.Source.ConfigurationKey || item.Deleted {
			continue
		}
		read, err := e.Source.ReadCatalogue(item.Value)
		if err != nil {
			e.Log.WithError(err).WithField("revision", item.Revision).Error("entry: a configuration is not adopted")
			continue
		}
		if held := e.Catalogue(); held != nil && held.Version >= read.Version {
			continue
		}
		e.catalogue.Store(read)
		e.Log.WithFields(log.Fields{"version": read.Version, "revision": item.Revision, "queues": len(read.Queues), "organisations": len(read.Organisations)}).Info("entry: configuration in force")
	}
}

func wait(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

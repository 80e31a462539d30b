// Package host assembles an entry host: the HTTP interface for callers and operators, the
// calls between hosts, and the background loops.
package host

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/admission"
	"github.com/eelgrasstide/eelgrasstide/internal/background"
	"github.com/eelgrasstide/eelgrasstide/internal/configuration"
	"github.com/eelgrasstide/eelgrasstide/internal/dispatcher"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/leadership"
	"github.com/eelgrasstide/eelgrasstide/internal/membership"
	"github.com/eelgrasstide/eelgrasstide/internal/peer"
	"github.com/eelgrasstide/eelgrasstide/internal/planner"
	"github.com/eelgrasstide/eelgrasstide/internal/retry"
	"github.com/eelgrasstide/eelgrasstide/internal/router"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/runner"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/zones"
)

const (
	// RunnerConnections is the number of connections that a runner accepts from all hosts.
	RunnerConnections = 60
	// runnerSlots is the number of requests that a runner serves at once.
	runnerSlots = 8
	// journalGrace is the time in which a stopping journal may still write queued records.
	journalGrace    = 3 * time.Second
	stopCallTimeout = 2 * time.Second
	// shutdownTimeout is how long a stopping host waits for clients to take their responses, once all
	// accepted requests have ended.
	shutdownTimeout = 10 * time.Second
)

// Host is one entry host. Set Settings before Run.
type Host struct {
	Settings *settings.Settings

	incarnation   string
	address       netip.AddrPort
	registry      metrics.Registry
	ingress       *ingress.Ingress
	store         *store.Store
	peers         *peer.Peers
	httpClient    *http.Client
	hostList      wire.HostList
	configuration *configuration.Configuration
	zones         *zones.Zones
	membership    *membership.Membership
	journal       *journal.Journal
	dispatcher    *dispatcher.Dispatcher
	leadership    *leadership.Leadership
	planner       *planner.Planner
	recovery      *recovery
	log           *log.Entry

	mu       sync.Mutex
	runners  map[string]*runner.Client
	stopping atomic.Bool
	// stopPolls is closed by a planned stop to end the waits of callers that poll a ticket.
	stopPolls chan struct{}
}

// Run serves until ctx ends, then stops gracefully: the host first reports that it is not
// ready, then refuses new work, and stops when all requests in flight have ended. It returns
// nil after such a stop, Invalid if the host cannot listen or write its address file, and
// otherwise the error that ended the server or a background loop.
func (h *Host) Run(ctx context.Context) error {
	h.registry = metrics.NewRegistry()
	h.ingress = &ingress.Ingress{Name: "host", Limits: ingressLimits(h.Settings), Inner: isInner, Metrics: h.registry, Log: log.Log}
	listener, err := h.ingress.Listen(h.Settings.GetListen())
	if err != nil {
		return errkind.Invalid.New("set listen to a free address of this host", "Host.Run: cannot listen: %v", err)
	}
	h.address = netip.MustParseAddrPort(listener.Addr().String())
	h.assemble(ctx)
	if err := h.writeAddress(); err != nil {
		listener.Close()
		return err
	}
	h.log.Infof("listening on %s as incarnation %s", h.address, h.incarnation)
	loopsCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	ends := background.Start(loopsCtx, h.loops()...)
	server := h.ingress.Server(h.handler())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
	case err := <-served:
		return fmt.Errorf("Host.Run: %w", err)
	case end := <-ends:
		return fmt.Errorf("Host.Run: background loop %s ended: %w", end.Name, end.Err)
	}
	h.stop(server)
	stopLoops()
	for end := range ends {
		h.log.Debugf("background loop %s ended: %v", end.Name, end.Err)
	}
	h.log.Info("stopped")
	return nil
}

func (h *Host) writeAddress() error {
	file := h.Settings.GetAddressFile()
	if file == "" {
		return nil
	}
	if err := os.WriteFile(file, []byte(h.address.String()), 0o600); err != nil {
		return errkind.Invalid.New("set addressFile to a writable path", "Host.writeAddress: cannot write the address file: %v", err)
	}
	return nil
}

// loops returns the background loops of an entry host.
func (h *Host) loops() []background.Loop {
	return []background.Loop{
		{Name: "journal", Run: func(ctx context.Context) error { return h.journal.Run(ctx, journalGrace) }},
		{Name: "dispatcher", Run: h.dispatcher.Run},
		{Name: "configuration", Run: h.configuration.Run},
		{Name: "cordons", Run: h.zones.Run},
		{Name: "hostLease", Run: h.membership.KeepLease},
		{Name: "hosts", Run: h.membership.ReadHosts},
		{Name: "platformList", Run: h.membership.ReadList},
		{Name: "heartbeats", Run: h.membership.SendHeartbeats},
		{Name: "leadership", Run: h.leadership.Run},
		{Name: "planner", Run: h.plan},
		{Name: "jobs", Run: h.planner.Watch},
		{Name: "recovery", Run: h.recovery.Run},
	}
}

// stop ends the host without interrupting an accepted request. It stops reporting ready
// and publishes that it is leaving. It waits for the time stopNotice, so that load balancers and
// other hosts stop sending requests, and then for the accepted requests to end. Requests whose bodies
// have not arrived 2 s later are refused, and those that were read whole have shutdownTimeout to end. Last, it gives up the leases of the planner and the host.
func (h *Host) stop(server *http.Server) {
	h.log.Info("stopping: no longer ready")
	h.stopping.Store(true)
	leaveCtx, cancel := context.WithTimeout(context.Background(), stopCallTimeout)
	h.membership.Leave(leaveCtx)
	cancel()
	time.Sleep(h.Settings.GetStopNotice().AsDuration())
	h.log.Info("stopping: waiting for accepted requests to end")
	close(h.stopPolls)
	h.dispatcher.Drain(context.Background())
	defer time.AfterFunc(stopCallTimeout, h.ingress.StopBodies).Stop()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		h.log.Warnf("the HTTP server did not shut down cleanly: %v", err)
	}
	releaseCtx, cancel := context.WithTimeout(context.Background(), stopCallTimeout)
	defer cancel()
	h.leadership.Resign(releaseCtx)
	h.membership.Release(releaseCtx)
}

func (h *Host) assemble(ctx context.Context) {
	hostSettings := h.Settings
	h.incarnation = hostSettings.GetName() + "~" + strings.ToLower(rand.Text()[:10])
	h.log = log.WithFields(log.Fields{"part": "host", "host": hostSettings.GetName()})
	h.stopPolls, h.runners = make(chan struct{}), map[string]*runner.Client{}
	h.peers, h.httpClient = &peer.Peers{}, &http.Client{}
	h.store = &store.Store{
		Backend:        wire.NewStoreProtobufClient("http://"+hostSettings.GetStore(), h.httpClient),
		ReadsPerSecond: int(hostSettings.GetStoreReadsPerSecond()), WritesPerSecond: int(hostSettings.GetStoreWritesPerSecond()), Metrics: h.registry,
	}
	h.hostList = wire.NewHostListProtobufClient("http://"+hostSettings.GetHostList(), h.httpClient)
	h.configuration = &configuration.Configuration{Store: h.store, OnChange: h.rulesChanged}
	h.zones = &zones.Zones{Store: h.store, OnChange: h.cordonsChanged, Exists: h.zoneExists, Log: h.log}
	h.journal = &journal.Journal{Store: h.store, Incarnation: h.incarnation, Writer: h.incarnation}
	h.dispatcher = h.newDispatcher()
	h.dispatcher.Prepare(ctx)
	h.leadership = &leadership.Leadership{
		Store: h.store, Zone: hostSettings.GetZone(), Incarnation: h.incarnation, Address: h.address.String(), Lease: leadership.DefaultLease,
	}
	h.planner = &planner.Planner{
		Zone: hostSettings.GetZone(), Store: h.store, Leadership: h.leadership, Rules: h.configuration.Current, Worker: h.worker,
		Cordon: func() *wire.CordonRecord { return h.zones.Cordon(hostSettings.GetZone()) },
		Period: hostSettings.GetPlannerPeriod().AsDuration(), TaskLease: hostSettings.GetTaskLease().AsDuration(),
	}
	h.membership = h.newMembership()
	h.recovery = &recovery{host: h}
}

func (h *Host) newDispatcher() *dispatcher.Dispatcher {
	hostSettings := h.Settings
	perRunner := int(hostSettings.GetConnectionsPerRunner())
	return &dispatcher.Dispatcher{
		Incarnation: h.incarnation, Journal: h.journal, Store: h.store, Rules: h.configuration.Current,
		Runner: h.runner, Budget: &retry.Budget{}, Capacity: int(hostSettings.GetCapacity()), Metrics: h.registry,
		Queue: &admission.Queue{Limit: int(hostSettings.GetQueueLimit())}, Payloads: h.ingress.Limits.NewBudget(),
		Router: &router.Router{
			Self: h.incarnation, HostsPerRunner: max(1, RunnerConnections/perRunner), MaxPerRunner: min(perRunner, runnerSlots),
			Random: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		},
		Locate: h.locateOutcome,
	}
}

func (h *Host) newMembership() *membership.Membership {
	hostSettings := h.Settings
	return &membership.Membership{
		Self:  &wire.HostRecord{Name: hostSettings.GetName(), Zone: hostSettings.GetZone(), Address: h.address.String(), Incarnation: h.incarnation},
		Store: h.store, List: h.hostList, Peers: h.peers, Lease: hostSettings.GetHostLease().AsDuration(), Heartbeat: hostSettings.GetHeartbeatPeriod().AsDuration(),
		Revision: h.configuration.Revision, Departures: h.dispatcher.Departures, OnTargetLeaving: h.dispatcher.MarkLeaving,
		Cordons: h.zones.View, OnCordons: h.zones.MergeView, OnNewerConfiguration: h.fetchConfiguration, Listed: h.listed,
	}
}

// runner returns the client of a runner. A client is kept per runner name and replaced when
// the runner's address changes.
func (h *Host) runner(listing router.Listing) dispatcher.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	client, ok := h.runners[listing.Name]
	if !ok || client.Address != listing.Address {
		client = &runner.Client{
			Name: listing.Name, Address: listing.Address, MaxConnections: int(h.Settings.GetConnectionsPerRunner()),
			ProgressTimeout: h.Settings.GetProgressDeadline().AsDuration(),
		}
		h.runners[listing.Name] = client
	}
	return client
}

func (h *Host) worker(address string) wire.Worker {
	return wire.NewWorkerProtobufClient("http://"+address, h.httpClient)
}

// listed handles a new list from the platform. It passes the runners of this zone on to the
// dispatcher, and the whole list to the planner.
func (h *Host) listed(list []*wire.Listed) {
	var runners []router.Listing
	for _, listed := range list {
		address, err := netip.ParseAddrPort(listed.GetAddress())
		if err != nil || listed.GetKind() != wire.ListedKind_LISTED_KIND_RUNNER || listed.GetZone() != h.Settings.GetZone() {
			continue
		}
		runners = append(runners, router.Listing{Name: listed.GetName(), Address: address, Leaving: listed.GetLeaving()})
	}
	h.dispatcher.Update(runners, h.membership.ZoneHosts())
	h.planner.UpdateWorkers(list)
}

func (h *Host) rulesChanged(current *rules.Rules) {
	h.log.Infof("configuration revision %d is now in force", current.Revision)
	h.planner.Wake()
}

// fetchConfiguration asks a peer for a higher configuration revision and puts it in force.
func (h *Host) fetchConfiguration(ctx context.Context, from wire.Host) {
	answer, err := from.Manifest(ctx, &wire.ManifestRequest{Above: h.configuration.Revision()})
	if err != nil || answer.GetManifest().GetRevision() <= h.configuration.Revision() {
		return
	}
	if err := h.configuration.Activate(answer.GetManifest(), answer.GetContents()); err != nil {
		h.log.Warnf("the configuration received from a peer was refused: %v", err)
	}
}

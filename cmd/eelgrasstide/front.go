package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/backoff"
	"github.com/eelgrasstide/eelgrasstide/internal/entry"
	"github.com/eelgrasstide/eelgrasstide/internal/hangup"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/loadcopy"
	"github.com/eelgrasstide/eelgrasstide/internal/logsink"
	"github.com/eelgrasstide/eelgrasstide/internal/relay"
	"github.com/eelgrasstide/eelgrasstide/internal/roster"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
	"github.com/eelgrasstide/eelgrasstide/platform"
)

const frontUsage = `Run an entry host on the users' platform.

The environment variable ` + platform.SettingsVariable + ` holds the path of the settings file;
every mistake in the file is printed. ` + ownSettingsVariable + ` may name a second file, in
TOML, with settings of the scheduler and of the limits on clients; see docs/OPERATIONS.md.
SIGTERM or SIGINT starts a graceful stop.
SIGHUP checks the settings file again; changes take effect at the next start.`

// ownSettingsVariable is the environment variable that holds the path of the product's own settings file.
const ownSettingsVariable = "EELGRASSTIDE_SETTINGS"

const (
	// memoryLimitShare is the share of the host's memory that the Go runtime has as its soft
	// memory limit.
	memoryLimitShare = 0.6
	// frontGCPercent saves CPU time at the cost of a larger heap than serve has.
	frontGCPercent = 100
	// hostsShare is what other hosts can hold, relative to the callers' connections and body memory.
	hostsShare = 0.5
	// readyConnections is the limit of connections for health checks.
	readyConnections = 32
)

func frontCommand(app *kingpin.Application, _ *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("front", frontUsage)
	return cmd.FullCommand(), func(ctx context.Context) error {
		path := os.Getenv(platform.SettingsVariable)
		hangups := &hangup.Watch{Check: func() error { _, err := platform.LoadSettings(path); return err }, Log: log.Log}
		hangups.Catch()
		host, err := platform.LoadSettings(path)
		if err != nil {
			return err
		}
		own, err := settings.LoadFront(os.Getenv(ownSettingsVariable))
		if err != nil {
			return err
		}
		debug.SetMemoryLimit(int64(float64(host.Entry.MemoryMB<<20) * memoryLimitShare))
		debug.SetGCPercent(frontGCPercent)
		sink := &logsink.Sink{Writer: os.Stdout}
		log.SetHandler(sink)
		flushContext, stopFlush := context.WithCancel(context.WithoutCancel(ctx))
		flushed := make(chan error, 1)
		go func() { flushed <- sink.Run(flushContext) }()
		err = whileWatching(ctx, hangups, newEntry(host, own).Run)
		stopFlush()
		return errors.Join(err, <-flushed)
	}
}

// newEntry assembles an entry host from the platform's adapters.
func newEntry(host *platform.Settings, own *settings.Front) *entry.Entry {
	client := platform.NewClient()
	registry := metrics.NewRegistry()
	directStore := &platform.Store{Address: host.Store, Client: client}
	hostRoster := &roster.Roster{Store: directStore, Name: host.Entry.Name, Zone: host.Entry.Zone, Address: host.Hosts, Log: log.Log}
	relayedStore := &relay.Relay{Direct: directStore, Peers: hostRoster.Peers, InOtherZone: hostRoster.InOtherZone, Client: client, Metrics: registry, Log: log.Log}
	e := &entry.Entry{
		Settings: host.Entry, Own: own, Store: relayedStore, Targets: &platform.Targets{Client: client}, Roster: hostRoster, Relay: relayedStore,
		Registry: registry, Log: log.Log,
		StoreLayout: entry.StoreLayout{
			OperatorPrefix: platform.OperatorPrefix, ConfigurationKey: platform.ConfigurationKey, ReadCatalogue: platform.ReadCatalogue,
			CordonedZone: platform.CordonedZone, TargetPrefix: platform.TargetPrefix, ReadListing: platform.ReadListing,
		},
	}
	e.Intake = &intake.Intake{
		Store: e.Store, Catalogue: e.Catalogue, StoreFailing: relayedStore.Failing, Alone: relayedStore.Alone, Metrics: registry, Log: log.Log,
		Backoff: backoff.Backoff{Min: own.Admission.MinRetryAfter.AsDuration(), Max: own.Admission.MaxRetryAfter.AsDuration()},
	}
	e.Intake.EarlierHosts = hostRoster.EarlierHosts
	if own.Admission.GetRefuseByLoad() {
		e.Load = &loadcopy.Copy{Store: e.Store, MaxAge: own.Admission.MaxDigestAge.AsDuration(), Metrics: registry, Log: log.Log}
		e.Intake.Load, e.Intake.StoreFailedAt = e.Load, relayedStore.FailedAt
		e.Intake.Hosts = func() int { return 1 + len(hostRoster.Peers()) }
	}
	limits := ingress.NewLimits(own.Ingress, host.Entry.MemoryMB, host.Entry.MaxDescriptors)
	bounds := func(name string, limits ingress.Limits) *ingress.Ingress {
		return &ingress.Ingress{Name: name, Limits: limits, Metrics: registry, Log: log.Log}
	}
	callers, hosts := bounds("callers", limits), bounds("hosts", limits.Share(hostsShare))
	limits.MaxConnections = readyConnections
	e.Callers = entry.Listener{Address: host.Callers, Ingress: callers, Handler: &platform.Callers{Intake: e.Intake, Stopping: e.Stopping, Ingress: callers}}
	e.Ready = entry.Listener{Address: host.Ready, Ingress: bounds("ready", limits), Handler: readinessHandler(e)}
	hostMux := http.NewServeMux()
	hostMux.Handle("/metrics", metricsHandler(registry))
	hostMux.Handle("/", hosts.Wrap(relayedStore.Handler(), func(*http.Request) int64 { return relay.MaxCallBytes }, ingress.CheckMessage, relay.Refuse))
	e.Hosts = entry.Listener{Address: host.Hosts, Ingress: hosts, Handler: hostMux}
	return e
}

// readinessHandler answers the load balancer's health checks: 200 if the host is ready,
// otherwise 503.
func readinessHandler(e *entry.Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// metricsHandler serves the metrics as text.
func metricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteOnce(registry, w)
	})
}

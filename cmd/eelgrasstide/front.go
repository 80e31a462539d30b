package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/entry"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/logsink"
	"github.com/eelgrasstide/eelgrasstide/internal/relay"
	"github.com/eelgrasstide/eelgrasstide/internal/roster"
	"github.com/eelgrasstide/eelgrasstide/platform"
)

const frontUsage = `Run an entry host on the users' platform until it is told to stop.

The settings file is named by the environment variable ` + platform.SettingsVariable + `; every
mistake in it is printed. SIGTERM starts a graceful stop, SIGHUP checks the
settings file again.`

const (
	// memoryPart is the part of the host's memory that the Go runtime tries to stay within.
	memoryPart = 0.6
	// frontCollectPercent trades memory for processor time.
	frontCollectPercent = 100
)

func frontCommand(app *kingpin.Application, _ *common) (string, func(context.Context) error) {
	cmd := app.Command("front", frontUsage)
	return cmd.FullCommand(), func(ctx context.Context) error {
		path := os.Getenv(platform.SettingsVariable)
		settings, err := platform.LoadSettings(path)
		if err != nil {
			return err
		}
		debug.SetMemoryLimit(int64(float64(settings.Entry.MemoryMB<<20) * memoryPart))
		debug.SetGCPercent(frontCollectPercent)
		sink := &logsink.Sink{Writer: os.Stdout}
		log.SetHandler(sink)
		flushing, stop := context.WithCancel(context.WithoutCancel(ctx))
		flushed := make(chan error, 1)
		go func() { flushed <- sink.Run(flushing) }()
		go recheck(ctx, path)
		err = newEntry(settings).Run(ctx)
		stop()
		return errors.Join(err, <-flushed)
	}
}

func newEntry(settings *platform.Settings) *entry.Entry {
	client := platform.NewClient()
	registry := metrics.NewRegistry()
	direct := &platform.Store{Address: settings.Store, Client: client}
	hosts := &roster.Roster{Store: direct, Name: settings.Entry.Name, Zone: settings.Entry.Zone, Address: settings.Hosts, Log: log.Log}
	store := &relay.Relay{Direct: direct, Peers: hosts.Peers, Distant: hosts.Distant, Client: client, Metrics: registry, Log: log.Log}
	e := &entry.Entry{
		Settings: settings.Entry, Store: store, Targets: &platform.Targets{Client: client}, Roster: hosts, Relay: store,
		Registry: registry, Log: log.Log,
		Source: entry.Source{
			OperatorPrefix: platform.OperatorPrefix, ConfigurationKey: platform.ConfigurationKey, ReadCatalogue: platform.ReadCatalogue,
			TargetPrefix: platform.TargetPrefix, ReadListing: platform.ReadListing,
		},
	}
	e.Intake = &intake.Intake{Store: e.Store, Catalogue: e.Catalogue, Metrics: registry, Log: log.Log}
	e.Callers = entry.Listener{Address: settings.Callers, Handler: &platform.Callers{Intake: e.Intake, Stopping: e.Stopping}}
	e.Ready = entry.Listener{Address: settings.Ready, Handler: readiness(e)}
	between := http.NewServeMux()
	between.Handle("/metrics", figures(registry))
	between.Handle("/", store.Handler())
	e.Hosts = entry.Listener{Address: settings.Hosts, Handler: between}
	return e
}

func readiness(e *entry.Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func figures(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteOnce(registry, w)
	})
}

// recheck reads the settings file again on SIGHUP and says whether it is sound.
// Addresses and bounds of a running host stay as they are.
func recheck(ctx context.Context, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			if _, err := platform.LoadSettings(path); err != nil {
				log.WithError(err).Error(fmt.Sprintf("front: %s has mistakes; the host goes on with what it has", path))
				continue
			}
			log.Info("front: settings file checked; a restart takes changes over")
		}
	}
}

package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/eelgrasstide/eelgrasstide/internal/hangup"
	"github.com/eelgrasstide/eelgrasstide/internal/host"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
)

const serveUsage = `Run an entry host.

The settings file is checked before the host listens; every mistake is printed
with its line. SIGTERM or SIGINT starts a graceful stop: the host becomes unready,
finishes the requests that it has accepted, releases its leases and exits. SIGHUP
checks the settings file again; changes take effect at the next start.

Example: eelgrasstide serve --settings host.toml`

// gcPercent keeps the heap small. The cost in CPU time is low, because control work allocates
// little.
const gcPercent = 50

func serveCommand(app *kingpin.Application, _ *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("serve", serveUsage)
	path := cmd.Flag("settings", "Settings file, in TOML.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		hangups := &hangup.Watch{Check: func() error { _, err := settings.Load(*path); return err }, Log: log.Log}
		hangups.Catch()
		loaded, err := settings.Load(*path)
		if err != nil {
			return err
		}
		log.SetHandler(logfmt.New(os.Stderr))
		log.SetLevelFromString(loaded.GetLogLevel())
		debug.SetMemoryLimit(int64(loaded.GetMemoryLimitMb()) << 20)
		debug.SetGCPercent(gcPercent)
		return whileWatching(ctx, hangups, (&host.Host{Settings: loaded}).Run)
	}
}

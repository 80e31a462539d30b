package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/eelgrasstide/eelgrasstide/internal/host"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
)

const serveUsage = `Run an entry host until it is told to stop.

The settings file is checked before anything listens; every mistake is printed
with its line. SIGTERM or SIGINT starts a graceful stop: the host becomes unready,
finishes what it has accepted, gives its leases back and exits.

Example: eelgrasstide serve --settings host.toml`

// collectPercent trades processor time for a small heap; control work allocates little.
const collectPercent = 50

func serveCommand(app *kingpin.Application, _ *common) (string, func(context.Context) error) {
	cmd := app.Command("serve", serveUsage)
	path := cmd.Flag("settings", "Settings file, in TOML.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		held, err := settings.Load(*path)
		if err != nil {
			return err
		}
		log.SetHandler(logfmt.New(os.Stderr))
		log.SetLevelFromString(held.GetLogLevel())
		debug.SetMemoryLimit(int64(held.GetMemoryLimitMb()) << 20)
		debug.SetGCPercent(collectPercent)
		return (&host.Host{Settings: held}).Run(ctx)
	}
}

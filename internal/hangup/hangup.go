// Package hangup handles SIGHUP, which says that the settings file of a host has changed.
package hangup

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// Watch checks the settings on each SIGHUP. It applies nothing: addresses and limits of a running
// host change only with a restart. Set the fields before Catch.
type Watch struct {
	// Check reads the settings file again and returns what is wrong with it.
	Check func() error
	Log   log.Interface

	signals chan os.Signal
}

// Catch keeps SIGHUP from ending the process, from now on and until its end: a host that is stopping
// still answers calls. Call it first of all, and once.
func (w *Watch) Catch() {
	w.signals = make(chan os.Signal, 1)
	signal.Notify(w.signals, syscall.SIGHUP)
}

// Run checks the settings on each SIGHUP, also on one that came before, until ctx ends, and returns
// the error of ctx.
func (w *Watch) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.signals:
			if err := w.Check(); err != nil {
				w.Log.WithError(err).Error("hangup: the settings file is not valid; the host continues with the settings that it started with")
				continue
			}
			w.Log.Info("hangup: settings file checked; a restart takes changes over")
		}
	}
}

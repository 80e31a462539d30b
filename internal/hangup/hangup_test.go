package hangup_test

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/eelgrasstide/eelgrasstide/internal/hangup"
)

// send sends the process a signal, and then SIGUSR2, which it waits for. Of two signals that are
// pending the one with the lower number is delivered first.
func send(t *testing.T, sent syscall.Signal) {
	t.Helper()
	delivered := make(chan os.Signal, 1)
	signal.Notify(delivered, syscall.SIGUSR2)
	defer signal.Stop(delivered)
	for _, s := range []syscall.Signal{sent, syscall.SIGUSR2} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatalf("Kill(%s): %v", s, err)
		}
	}
	<-delivered
}

// Guards against calls that get no answer: SIGHUP must not end a host, neither while it starts, nor
// while it answers its last calls after SIGTERM.
func TestHangupNeverEndsTheProcess(t *testing.T) {
	checks := make(chan struct{}, 10)
	watch := &hangup.Watch{
		Check: func() error { checks <- struct{}{}; return errors.New("the file is not valid") },
		Log:   &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	watch.Catch()
	send(t, syscall.SIGHUP)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- watch.Run(ctx) }()
	// The one from before Run, and one during it.
	<-checks
	send(t, syscall.SIGHUP)
	<-checks
	stop()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("Watch.Run: have %v, want %v", err, context.Canceled)
	}
	for range 5 {
		send(t, syscall.SIGHUP)
	}
}

package supervisor_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/background"
	"github.com/eelgrasstide/eelgrasstide/internal/supervisor"
)

// Guards against: a process lives on for good without a loop that has panicked or returned, and no line of the log
// says so.
func TestLoopsThatEndAreStartedAgain(t *testing.T) {
	for name, end := range map[string]func() error{
		"panics":           func() error { panic("broken") },
		"returns":          func() error { return nil },
		"returns an error": func() error { return errors.New("broken") },
	} {
		synctest.Test(t, func(t *testing.T) {
			lines, registry := memory.New(), metrics.NewRegistry()
			s := &supervisor.Supervisor{Metrics: registry, Log: &log.Logger{Handler: lines, Level: log.InfoLevel}}
			starts, works := 0, false
			ctx, stop := context.WithCancel(t.Context())
			ends := background.Start(ctx, s.Wrap(background.Loop{Name: "l", Run: func(ctx context.Context) error {
				if starts++; starts <= 4 {
					return end()
				}
				works = true
				<-ctx.Done()
				works = false
				return ctx.Err()
			}})...)
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			if have := metrics.GetOrRegisterGauge("background.down", registry).Value(); have != 1 {
				t.Errorf("%s: have %d loops down before the first restart, want 1", name, have)
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if !works || len(lines.Entries) != 4 || metrics.GetOrRegisterCounter("background.ended.l", registry).Count() != 4 {
				t.Errorf("%s: have a loop that works: %t, and %d lines, want true and 4 lines for 4 ends", name, works, len(lines.Entries))
			}
			if have := fmt.Sprint(lines.Entries[0].Fields["loop"]); have != "l" {
				t.Errorf("%s: have loop %q in the log, want l", name, have)
			}
			if have := metrics.GetOrRegisterGauge("background.down", registry).Value(); have != 0 {
				t.Errorf("%s: have %d loops down while all run, want 0", name, have)
			}
			stop()
			if end := <-ends; !errors.Is(end.Err, context.Canceled) || works {
				t.Errorf("%s: have end %v, want that of the context", name, end.Err)
			}
		})
	}
}

// Guards against: a loop that ends at once each time takes the processor.
func TestPausesGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &supervisor.Supervisor{Metrics: metrics.NewRegistry(), Log: &log.Logger{Handler: memory.New(), Level: log.InfoLevel}}
		starts := 0
		ctx, stop := context.WithCancel(t.Context())
		ends := background.Start(ctx, s.Wrap(background.Loop{Name: "l", Run: func(context.Context) error { starts++; return nil }})...)
		time.Sleep(time.Minute)
		stop()
		<-ends
		if starts < 10 || starts > 20 {
			t.Errorf("have %d starts in a minute, want 10 to 20", starts)
		}
	})
}

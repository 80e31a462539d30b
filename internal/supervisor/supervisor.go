// Package supervisor keeps the background loops of a process running.
package supervisor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/background"
	"github.com/eelgrasstide/eelgrasstide/internal/panics"
)

const (
	// minPause is the pause before a loop that has ended is started again. It doubles with each end up to
	// maxPause, and is minPause again after the loop has run for steadyAfter.
	minPause    = 100 * time.Millisecond
	maxPause    = 5 * time.Second
	steadyAfter = 30 * time.Second
)

// Supervisor starts background loops again that end while the process goes on: a process that lived on without
// one would look healthy and do only a part of its work, and one that ended would take its calls with it. The
// loops must keep no state that a panic leaves half changed. Set the exported fields before Wrap is called.
type Supervisor struct {
	Metrics metrics.Registry
	Log     log.Interface

	mu sync.Mutex
	// down counts the loops that have ended and not been started again.
	down int64
}

// Wrap returns loops that don't end before their context does. They return its error.
func (s *Supervisor) Wrap(loops ...background.Loop) []background.Loop {
	var out []background.Loop
	for _, loop := range loops {
		out = append(out, background.Loop{Name: loop.Name, Run: func(ctx context.Context) error { return s.keepRunning(ctx, loop) }})
	}
	return out
}

func (s *Supervisor) keepRunning(ctx context.Context, loop background.Loop) error {
	pause := minPause
	for {
		started := time.Now()
		err := loop.RunOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		lasted := time.Since(started)
		if lasted >= steadyAfter {
			pause = minPause
		}
		s.logEnd(loop.Name, err, lasted, pause)
		s.countDown(1)
		sleep(ctx, pause)
		s.countDown(-1)
		pause = min(2*pause, maxPause)
	}
}

// logEnd logs and counts the end of a loop. Counter: background.ended and the loop's name.
func (s *Supervisor) logEnd(name string, cause error, lasted, pause time.Duration) {
	metrics.GetOrRegisterCounter("background.ended."+name, s.Metrics).Inc(1)
	fields := log.Fields{"loop": name, "cause": cause, "lasted": lasted, "startsIn": pause}
	var panicked *panics.Error
	if errors.As(cause, &panicked) {
		fields["stack"] = panicked.Stack
	}
	s.Log.WithFields(fields).Error("supervisor: a background loop ended while the host goes on; it is started again")
}

// countDown changes the number of loops that are down, which the gauge background.down shows.
func (s *Supervisor) countDown(change int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down += change
	metrics.GetOrRegisterGauge("background.down", s.Metrics).Update(s.down)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

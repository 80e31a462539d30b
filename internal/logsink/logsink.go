// Package logsink writes the log as JSON lines without ever making its callers
// wait: lines beyond a bounded buffer are dropped and counted.
package logsink

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// DefaultBufferBytes bounds the lines that wait to be written.
	DefaultBufferBytes = 1 << 20
	// flushPeriod gathers lines, so that a write carries many.
	flushPeriod = 100 * time.Millisecond
)

// Sink is a handler of log entries. Set the fields before Run.
type Sink struct {
	Writer io.Writer
	// BufferBytes bounds the memory that waiting lines take; 0 stands for the default.
	BufferBytes int

	mu      sync.Mutex
	waiting []byte
	dropped int
}

var _ log.Handler = (*Sink)(nil)

// HandleLog queues an entry, or drops it when the buffer is full.
func (s *Sink) HandleLog(entry *log.Entry) error {
	line := make(map[string]any, len(entry.Fields)+3)
	for name, value := range entry.Fields {
		line[name] = plain(value)
	}
	line["time"], line["level"], line["message"] = entry.Timestamp.UTC().Format("15:04:05.000"), entry.Level.String(), entry.Message
	text, err := json.Marshal(line)
	if err != nil {
		text = fmt.Appendf(nil, `{"level":"error","message":"a log line could not be encoded: %s"}`, entry.Message)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.BufferBytes
	if limit == 0 {
		limit = DefaultBufferBytes
	}
	if len(s.waiting)+len(text) > limit {
		s.dropped++
		return nil
	}
	s.waiting = append(append(s.waiting, text...), '\n')
	return nil
}

// plain shows durations, errors and the like as text.
func plain(value any) any {
	switch value := value.(type) {
	case time.Duration:
		return value.Round(time.Millisecond).String()
	case error:
		return value.Error()
	case fmt.Stringer:
		return value.String()
	}
	return value
}

// Run writes queued lines until ctx ends, and then the rest.
func (s *Sink) Run(ctx context.Context) error {
	tick := time.NewTicker(flushPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.flush()
		case <-tick.C:
			if err := s.flush(); err != nil {
				return err
			}
		}
	}
}

func (s *Sink) flush() error {
	s.mu.Lock()
	waiting, dropped := s.waiting, s.dropped
	s.waiting, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		waiting = fmt.Appendf(waiting, `{"level":"warn","message":"log: lines dropped","count":%d}`+"\n", dropped)
	}
	if len(waiting) == 0 {
		return nil
	}
	if _, err := s.Writer.Write(waiting); err != nil {
		return fmt.Errorf("Sink.flush: %w", err)
	}
	return nil
}

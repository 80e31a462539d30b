// Package logsink writes log entries as JSON lines. It never blocks the goroutines that
// log: lines that don't fit into a bounded buffer are dropped and counted.
package logsink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// DefaultBufferBytes is the size of the buffer for lines that are not yet written.
	DefaultBufferBytes = 1 << 20
	// maxWriteBytes bounds one write, if no line is longer. Collectors of standard output may cut off
	// what goes beyond 8 KB.
	maxWriteBytes = 8000
	// flushPeriod is the time between writes, so that one write carries many lines.
	flushPeriod = 100 * time.Millisecond
)

// Sink is a handler of log entries. Set the exported fields before Run.
type Sink struct {
	Writer io.Writer
	// BufferBytes limits the size of the buffered lines; 0 means DefaultBufferBytes.
	BufferBytes int

	mu      sync.Mutex
	buffer  []byte
	dropped int
}

var _ log.Handler = (*Sink)(nil)

// lines holds buffers for single lines.
var lines = sync.Pool{New: func() any { return new([]byte) }}

// HandleLog queues an entry, or drops it when the buffer is full. It always returns nil.
func (s *Sink) HandleLog(entry *log.Entry) error {
	scratch := lines.Get().(*[]byte)
	defer lines.Put(scratch)
	text, err := appendLine((*scratch)[:0], entry)
	if err != nil {
		text = fmt.Appendf((*scratch)[:0], `{"level":"error","message":"log: an entry could not be encoded as JSON: %s"}`+"\n", entry.Message)
	}
	*scratch = text
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.BufferBytes
	if limit == 0 {
		limit = DefaultBufferBytes
	}
	if len(s.buffer)+len(text) > limit {
		s.dropped++
		return nil
	}
	s.buffer = append(s.buffer, text...)
	return nil
}

// Run writes the buffered lines every flushPeriod until ctx ends, and then the rest. It stops
// at the first error of a write and returns it.
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
	buffer, dropped := s.buffer, s.dropped
	s.buffer, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		buffer = fmt.Appendf(buffer, `{"level":"warn","message":"log: lines dropped","count":%d}`+"\n", dropped)
	}
	for len(buffer) > 0 {
		count := wholeLines(buffer)
		if _, err := s.Writer.Write(buffer[:count]); err != nil {
			return fmt.Errorf("Sink.flush: the log can't be written: %w", err)
		}
		buffer = buffer[count:]
	}
	return nil
}

// wholeLines returns the length of as many lines as one write may carry, at least one.
func wholeLines(buffer []byte) int {
	if len(buffer) <= maxWriteBytes {
		return len(buffer)
	}
	if end := bytes.LastIndexByte(buffer[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(buffer, '\n'); end >= 0 {
		return end + 1
	}
	return len(buffer)
}

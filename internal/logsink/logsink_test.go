package logsink_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/logsink"
)

func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		sink := &logsink.Sink{Writer: writer, BufferBytes: 1000}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- sink.Run(ctx) }()
		logger := &log.Logger{Handler: sink, Level: log.InfoLevel}
		start := time.Now()
		for range 200 {
			logger.WithField("job", "a").Info("line")
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(start); took != 200*time.Millisecond {
			t.Errorf("logging 200 lines took %s while nothing read them, want 200ms", took)
		}
		var out bytes.Buffer
		read := make(chan struct{})
		go func() { defer close(read); _, _ = io.Copy(&out, reader) }()
		time.Sleep(time.Second)
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
		writer.Close()
		<-read
		if !strings.Contains(out.String(), "lines dropped") {
			t.Errorf("no line reports that lines were dropped: %s", out.String())
		}
	})
}

// writes records the sizes of the writes.
type writes struct{ parts [][]byte }

func (w *writes) Write(part []byte) (int, error) {
	w.parts = append(w.parts, bytes.Clone(part))
	return len(part), nil
}

// Guards against: lines of a busy planner are missing from the log, because its collector cuts long
// writes off.
func TestLogIsWrittenInPiecesOfWholeLines(t *testing.T) {
	w := &writes{}
	sink := &logsink.Sink{Writer: w}
	logger := &log.Logger{Handler: sink, Level: log.InfoLevel}
	lines := 200
	for i := range lines {
		text := strings.Repeat("x", 100+5*i)
		if i == lines/2 {
			text = strings.Repeat("x", 20000)
		}
		logger.WithField("text", text).Info("line")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := sink.Run(ctx); err != nil {
		t.Fatal(err)
	}
	have := 0
	for _, part := range w.parts {
		count := bytes.Count(part, []byte("\n"))
		have += count
		if part[len(part)-1] != '\n' || (len(part) > 8192 && count > 1) {
			t.Errorf("have a write of %d bytes with %d lines that ends with %q, want whole lines of at most 8192 bytes", len(part), count, part[len(part)-1])
		}
	}
	if have != lines {
		t.Errorf("have %d lines, want %d", have, lines)
	}
}

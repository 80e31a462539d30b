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

package logsink

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
)

func TestLinesAreJSON(t *testing.T) {
	entry := &log.Entry{
		Timestamp: time.Unix(1_800_000_000, 5e6).UTC(), Level: log.WarnLevel, Message: "planner: \"quoted\"\n<&> é",
		Fields: log.Fields{
			"took": 1500400 * time.Microsecond, "cause": errors.New(`no "answer"`), "count": 3, "number": int64(-4), "share": 0.25, "open": true,
			"address": netip.MustParseAddr("192.0.2.1"), "steps": []string{"a", "b"}, "none": nil, "na\"me": "x\x00y\xff",
		},
	}
	line, err := appendLine(nil, entry)
	if err != nil || strings.Count(string(line), "\n") != 1 {
		t.Fatalf("appendLine: have %q, %v, want one line", line, err)
	}
	have := map[string]any{}
	if err := json.Unmarshal(line, &have); err != nil {
		t.Fatalf("have %s: %v", line, err)
	}
	want := map[string]any{
		"time": "08:00:00.005", "level": "warn", "message": "planner: \"quoted\"\n<&> é", "took": "1.5s", "cause": `no "answer"`, "count": 3.0, "number": -4.0,
		"share": 0.25, "open": true, "address": "192.0.2.1", "steps": []any{"a", "b"}, "none": nil, "na\"me": "x\x00y\ufffd",
	}
	if !reflect.DeepEqual(have, want) {
		t.Errorf("have %v, want %v", have, want)
	}
	if _, err := appendLine(nil, &log.Entry{Fields: log.Fields{"score": math.Inf(1)}}); err == nil {
		t.Error("appendLine of an infinite number: have no error, want one")
	}
}

func BenchmarkHandleLog(b *testing.B) {
	sink := &Sink{Writer: io.Discard}
	logger := &log.Logger{Handler: sink, Level: log.InfoLevel}
	for b.Loop() {
		sink.buffer = sink.buffer[:0]
		logger.WithFields(log.Fields{
			"target": "i-4af3583626", "born": int64(1769197361553), "clock": 9*time.Hour + time.Millisecond, "contacted": true, "knownFor": time.Minute,
			"heard": 20 * time.Millisecond, "job": "5bb9183a7402ea8c", "run": "5bb9183a7402ea8c.0.1.5/1", "state": "confirmed", "score": 0.209, "speed": 1.2,
		}).Info("scheduler: run placed")
	}
}

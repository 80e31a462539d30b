package coordinator_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

var (
	trace     = flag.Bool("trace", false, "print the orders and decisions of each sequence with the simulated time")
	steps     = flag.String("steps", "", "play only this sequence: its steps as a failure prints them (ARG_0)")
	stepsSeed = flag.Int64("stepsSeed", 1, "seed of the sequence in -steps (ARG_1)")
)

// parseSteps parses steps as a failure prints them: numbers, with or without brackets.
func parseSteps(text string) ([]uint8, error) {
	var parsed []uint8
	for _, field := range strings.Fields(strings.Trim(text, "[]")) {
		step, err := strconv.ParseUint(field, 10, 8)
		if err != nil {
			return nil, err
		}
		parsed = append(parsed, uint8(step))
	}
	return parsed, nil
}

// serially calls play with one processor and without garbage collections, so that equal
// sequences run their goroutines in the same order.
func serially(play func()) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	runtime.GC()
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	play()
}

// traceLog collects the lines of a trace. They are printed when the sequence has ended, because
// writing them at once would let other goroutines run.
type traceLog struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

// named returns a log that adds its entries to the trace, marked with a name, if -trace is set,
// and otherwise discards them.
func (l *traceLog) named(name string) log.Interface {
	if !*trace {
		return &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	return &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(entry *log.Entry) error {
		line := fmt.Sprintf("%9.3f %-5s %s", time.Since(l.started).Seconds(), name, entry.Message)
		for _, key := range slices.Sorted(maps.Keys(entry.Fields)) {
			line += fmt.Sprintf(" %s=%v", key, entry.Fields[key])
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines = append(l.lines, line)
		return nil
	})}
}

// print prints the lines collected so far.
func (l *traceLog) print(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) > 0 {
		t.Logf("trace:\n%s", strings.Join(l.lines, "\n"))
	}
}

// tracedTargets logs the orders to targets and their answers.
type tracedTargets struct {
	target.Targets
	log log.Interface
	// starting is called before each start; nil for none.
	starting func(id string, order target.StartOrder)
	// renewing is called before each renewal, and renewed after it; nil for none.
	renewing func(id string, order target.RenewOrder)
	renewed  func(id string, order target.RenewOrder, answer target.Answer)
}

func (t *tracedTargets) Start(ctx context.Context, to target.Listing, order target.StartOrder) target.Reply {
	entry := t.log.WithFields(log.Fields{"target": to.ID, "born": to.Born, "run": order.Run, "token": order.FenceToken, "deadline": order.Deadline})
	entry.Info("start sent")
	if t.starting != nil {
		t.starting(to.ID, order)
	}
	reply := t.Targets.Start(ctx, to, order)
	entry.WithFields(log.Fields{"answer": reply.Answer, "clock": reply.Clock}).Info("start answered")
	return reply
}

func (t *tracedTargets) Stop(ctx context.Context, to target.Listing, run target.Run, fencingToken int64) target.Reply {
	entry := t.log.WithFields(log.Fields{"target": to.ID, "born": to.Born, "run": run, "token": fencingToken})
	entry.Info("stop sent")
	reply := t.Targets.Stop(ctx, to, run, fencingToken)
	entry.WithFields(log.Fields{"answer": reply.Answer, "clock": reply.Clock}).Info("stop answered")
	return reply
}

func (t *tracedTargets) Renew(ctx context.Context, to target.Listing, order target.RenewOrder) (target.Report, target.Reply) {
	entry := t.log.WithFields(log.Fields{"target": to.ID, "born": to.Born, "token": order.FenceToken, "deadline": order.Deadline, "acknowledged": order.Acknowledged})
	entry.Info("renewal sent")
	if t.renewing != nil {
		t.renewing(to.ID, order)
	}
	report, reply := t.Targets.Renew(ctx, to, order)
	entry.WithFields(log.Fields{
		"answer": reply.Answer, "answering": report.Born, "clock": reply.Clock, "running": report.Running, "ended": report.Ended,
	}).Info("renewal answered")
	if t.renewed != nil {
		t.renewed(to.ID, order, reply.Answer)
	}
	return report, reply
}

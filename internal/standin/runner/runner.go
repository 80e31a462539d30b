// Package runner is a stand-in of a runner: a few slots that answer requests.
package runner

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/standin/faults"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	heartbeatPeriod = 250 * time.Millisecond
	maxBodyBytes    = 1 << 20
)

// Runner serves POST /run and wire.Runner. Set the fields before use.
type Runner struct {
	Name  string
	Slots int
	// Slowness multiplies the time that each request asks for.
	Slowness float64
	// Connections reports open and peak connections; may be nil.
	Connections func() (open, peak int)
	Faults      *faults.Faults

	mu     sync.Mutex
	busy   int
	peak   int
	seen   map[string]*request
	starts map[string]int32
	latest []byte
}

type request struct {
	state wire.Resolution
	frame *wire.RunFrame
}

// Handler returns the HTTP interface.
func (r *Runner) Handler() http.Handler {
	r.seen, r.starts = map[string]*request{}, map[string]int32{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", r.serveRun)
	mux.Handle("/", wire.NewRunnerServer(r))
	return r.Faults.Handler(mux)
}

// Answer is what the stand-in answers to a payload.
func Answer(payload []byte) []byte { return append([]byte("match "), payload...) }

func (r *Runner) serveRun(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	run := &wire.RunRequest{}
	if err == nil {
		err = proto.Unmarshal(body, run)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.Faults.Before(req.Context(), true); err != nil {
		r.send(w, &wire.RunFrame{Id: run.GetId(), Kind: wire.FrameKind_FRAME_KIND_REFUSED, Refusal: wire.Refusal_REFUSAL_BUSY})
		return
	}
	if refusal := r.start(run); refusal != wire.Refusal_REFUSAL_UNSPECIFIED {
		r.send(w, &wire.RunFrame{Id: run.GetId(), Kind: wire.FrameKind_FRAME_KIND_REFUSED, Refusal: refusal})
		return
	}
	done := make(chan *wire.RunFrame, 1)
	go func() { done <- r.work(run) }()
	r.send(w, &wire.RunFrame{Id: run.GetId(), Kind: wire.FrameKind_FRAME_KIND_ACCEPTED})
	r.stream(w, run, done)
}

func (r *Runner) stream(w http.ResponseWriter, run *wire.RunRequest, done <-chan *wire.RunFrame) {
	beat := time.NewTicker(heartbeatPeriod)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			r.send(w, &wire.RunFrame{Id: run.GetId(), Kind: wire.FrameKind_FRAME_KIND_HEARTBEAT})
		case frame := <-done:
			r.send(w, r.spoil(frame))
			return
		}
	}
}

func (r *Runner) send(w http.ResponseWriter, frame *wire.RunFrame) {
	if frame == nil {
		return
	}
	if _, err := protodelim.MarshalTo(w, frame); err != nil {
		return
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

func (r *Runner) start(run *wire.RunRequest) wire.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held, ok := r.seen[run.GetId()]; ok && held.state == wire.Resolution_RESOLUTION_CLOSED {
		return wire.Refusal_REFUSAL_CLOSED
	}
	if r.Faults.Now().GetLeaving() {
		return wire.Refusal_REFUSAL_LEAVING
	}
	if r.busy >= r.Slots {
		return wire.Refusal_REFUSAL_BUSY
	}
	r.busy++
	r.peak = max(r.peak, r.busy)
	r.starts[run.GetId()]++
	r.seen[run.GetId()] = &request{state: wire.Resolution_RESOLUTION_RUNNING}
	return wire.Refusal_REFUSAL_UNSPECIFIED
}

// work runs to its end even when the connection goes away, as a real runner does.
func (r *Runner) work(run *wire.RunRequest) *wire.RunFrame {
	time.Sleep(time.Duration(float64(run.GetDeclared().AsDuration()) * r.Slowness))
	answer := Answer(run.GetPayload())
	frame := &wire.RunFrame{
		Id: run.GetId(), Kind: wire.FrameKind_FRAME_KIND_ANSWER, Answer: answer,
		AnswerLength: uint64(len(answer)), Checksum: xxhash.Sum64(answer),
	}
	state := wire.Resolution_RESOLUTION_DONE
	if r.Faults.Now().GetFailAll() || strings.HasPrefix(string(run.GetPayload()), "fail") {
		frame = &wire.RunFrame{Id: run.GetId(), Kind: wire.FrameKind_FRAME_KIND_FAILED, Message: "the request failed at the runner"}
		state = wire.Resolution_RESOLUTION_FAILED
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
	r.seen[run.GetId()] = &request{state: state, frame: frame}
	return frame
}

// spoil applies the faults of answers: crossed, truncated, lost.
func (r *Runner) spoil(frame *wire.RunFrame) *wire.RunFrame {
	set := r.Faults.Now()
	out := proto.Clone(frame).(*wire.RunFrame)
	r.mu.Lock()
	defer r.mu.Unlock()
	if set.GetCrossAnswers() {
		out.Id, out.Answer = "other-"+strconv.Itoa(len(r.seen)), append([]byte(nil), r.latest...)
	}
	if set.GetTruncateAnswers() && len(out.GetAnswer()) > 0 {
		out.Answer = out.GetAnswer()[:len(out.GetAnswer())/2]
	}
	r.latest = frame.GetAnswer()
	if r.Faults.Loses() {
		return nil
	}
	return out
}

// Resolve implements wire.Runner.
func (r *Runner) Resolve(_ context.Context, req *wire.ResolveRequest) (*wire.ResolveResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.seen[req.GetId()]
	if !ok {
		held = &request{state: wire.Resolution_RESOLUTION_CLOSED}
		r.seen[req.GetId()] = held
	}
	return &wire.ResolveResponse{Resolution: held.state, Frame: held.frame}, nil
}

// Status implements wire.Runner.
func (r *Runner) Status(context.Context, *wire.RunnerStatusRequest) (*wire.RunnerStatus, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &wire.RunnerStatus{
		Name: r.Name, Slots: int32(r.Slots), Busy: int32(r.busy), PeakBusy: int32(r.peak),
		Leaving: r.Faults.Now().GetLeaving(), Starts: map[string]int32{},
	}
	for id, count := range r.starts {
		out.Starts[id] = count
	}
	if r.Connections != nil {
		open, peak := r.Connections()
		out.Connections, out.PeakConnections = int32(open), int32(peak)
	}
	return out, nil
}

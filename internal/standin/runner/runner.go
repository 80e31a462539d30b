// Package runner is a stand-in for a runner, which serves a few requests at the same time.
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
	// Slowness is the factor by which a request takes longer than it declared.
	Slowness float64
	// Connections returns the numbers of open connections now and at the peak. It may be nil.
	Connections func() (open, peak int)
	Faults      *faults.Faults

	mu sync.Mutex
	// busy is the number of slots in use, and peak the largest number so far.
	busy int
	peak int
	// requests holds each request that was started or resolved, by ID.
	requests map[string]*request
	// starts is the number of starts of each request.
	starts map[string]int32
	// previousAnswer is sent in place of the right one when answers are crossed.
	previousAnswer []byte
}

type request struct {
	state wire.Resolution
	frame *wire.RunFrame
}

// Handler returns the handler of /run, wire.Runner and the fault switches. It discards all
// earlier requests.
func (r *Runner) Handler() http.Handler {
	r.requests, r.starts = map[string]*request{}, map[string]int32{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", r.serveRun)
	mux.Handle("/", wire.NewRunnerServer(r))
	return r.Faults.Handler(mux)
}

// Answer returns the answer to a payload.
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
	if err := r.Faults.BeginCall(req.Context(), true); err != nil {
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

// stream sends heartbeats until the request ends, and then its answer.
func (r *Runner) stream(w http.ResponseWriter, run *wire.RunRequest, done <-chan *wire.RunFrame) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.send(w, &wire.RunFrame{Id: run.GetId(), Kind: wire.FrameKind_FRAME_KIND_HEARTBEAT})
		case frame := <-done:
			r.send(w, r.applyFaults(frame))
			return
		}
	}
}

// send writes a frame and flushes it. A nil frame is not sent.
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

// start takes a slot for a request, or returns why it is refused.
func (r *Runner) start(run *wire.RunRequest) wire.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.requests[run.GetId()]; ok && known.state == wire.Resolution_RESOLUTION_CLOSED {
		return wire.Refusal_REFUSAL_CLOSED
	}
	if r.Faults.Current().GetLeaving() {
		return wire.Refusal_REFUSAL_LEAVING
	}
	if r.busy >= r.Slots {
		return wire.Refusal_REFUSAL_BUSY
	}
	r.busy++
	r.peak = max(r.peak, r.busy)
	r.starts[run.GetId()]++
	r.requests[run.GetId()] = &request{state: wire.Resolution_RESOLUTION_RUNNING}
	return wire.Refusal_REFUSAL_UNSPECIFIED
}

// work processes a request for its declared time and returns the last frame. Like a real runner,
// it continues when the connection is lost. A payload that begins with "fail" fails.
func (r *Runner) work(run *wire.RunRequest) *wire.RunFrame {
	time.Sleep(time.Duration(float64(run.GetDeclared().AsDuration()) * r.Slowness))
	answer := Answer(run.GetPayload())
	frame := &wire.RunFrame{
		Id: run.GetId(), Kind: wire.FrameKind_FRAME_KIND_ANSWER, Answer: answer,
		AnswerLength: uint64(len(answer)), Checksum: xxhash.Sum64(answer),
	}
	state := wire.Resolution_RESOLUTION_DONE
	if r.Faults.Current().GetFailAll() || strings.HasPrefix(string(run.GetPayload()), "fail") {
		frame = &wire.RunFrame{Id: run.GetId(), Kind: wire.FrameKind_FRAME_KIND_FAILED, Message: "the request failed at the runner"}
		state = wire.Resolution_RESOLUTION_FAILED
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
	r.requests[run.GetId()] = &request{state: state, frame: frame}
	return frame
}

// applyFaults returns the frame as the fault switches change it: with the answer to another
// request, with a truncated answer, or nil for a lost answer.
func (r *Runner) applyFaults(frame *wire.RunFrame) *wire.RunFrame {
	settings := r.Faults.Current()
	out := proto.Clone(frame).(*wire.RunFrame)
	r.mu.Lock()
	defer r.mu.Unlock()
	if settings.GetCrossAnswers() {
		out.Id, out.Answer = "other-"+strconv.Itoa(len(r.requests)), append([]byte(nil), r.previousAnswer...)
	}
	if settings.GetTruncateAnswers() && len(out.GetAnswer()) > 0 {
		out.Answer = out.GetAnswer()[:len(out.GetAnswer())/2]
	}
	r.previousAnswer = frame.GetAnswer()
	if r.Faults.DropsAnswer() {
		return nil
	}
	return out
}

// Resolve implements wire.Runner. An unknown request is closed, so that it can't start later.
func (r *Runner) Resolve(_ context.Context, req *wire.ResolveRequest) (*wire.ResolveResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.requests[req.GetId()]
	if !ok {
		known = &request{state: wire.Resolution_RESOLUTION_CLOSED}
		r.requests[req.GetId()] = known
	}
	return &wire.ResolveResponse{Resolution: known.state, Frame: known.frame}, nil
}

// Status implements wire.Runner.
func (r *Runner) Status(context.Context, *wire.RunnerStatusRequest) (*wire.RunnerStatus, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &wire.RunnerStatus{
		Name: r.Name, Slots: int32(r.Slots), Busy: int32(r.busy), PeakBusy: int32(r.peak),
		Leaving: r.Faults.Current().GetLeaving(), Starts: map[string]int32{},
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

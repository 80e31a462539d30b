// Package runner talks to a runner. It is the only package that knows the
// runners' protocol.
package runner

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
	resolveTimeout = time.Second
	maxFrameBytes  = 4 << 20
	// acceptShare divides Progress for the first frame, which a runner sends at once.
	acceptShare    = 4
	busyRetryAfter = 50 * time.Millisecond
)

// Sign is what one dispatch showed of the runner's health.
type Sign int

// The signs, from a good answer to a runner that is not there.
const (
	Good Sign = iota
	Busy
	Leaving
	// Failed says that the request ran and failed.
	Failed
	// Lost says that the connection went silent, broke or carried a spoiled answer.
	Lost
)

// Report is the end of one dispatch.
type Report struct {
	Outcome outcome.Outcome
	Sign    Sign
}

// Runner is a client of one runner. Set the fields before the first call.
type Runner struct {
	Name    string
	Address netip.AddrPort
	// Connections bounds the open connections to the runner.
	Connections int
	// Progress is the longest silence on a connection that carries an accepted
	// request. The first sign of life has to come within a quarter of it.
	Progress time.Duration

	mu        sync.Mutex
	transport *http.Transport
}

func (r *Runner) current() *http.Transport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transport == nil {
		r.transport = &http.Transport{
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost: r.Connections, MaxIdleConnsPerHost: r.Connections, IdleConnTimeout: idleTimeout,
			DisableCompression: true,
		}
	}
	return r.transport
}

// retire drops every pooled connection that shares the path of a silent one.
func (r *Runner) retire(old *http.Transport) {
	r.mu.Lock()
	if r.transport == old {
		r.transport = nil
	}
	r.mu.Unlock()
	old.CloseIdleConnections()
}

// Close drops the pooled connections.
func (r *Runner) Close() {
	r.current().CloseIdleConnections()
}

// Run dispatches the request once. NotRun is reported only on proof: no byte of
// the request left, or the runner itself refused it.
func (r *Runner) Run(ctx context.Context, req *wire.RunRequest) Report {
	body, err := proto.Marshal(req)
	if err != nil {
		return Report{Outcome: outcome.NotRun{Reason: err.Error(), Remedy: "send a valid request"}, Sign: Good}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	silence := time.AfterFunc(r.Progress/acceptShare, cancel)
	defer silence.Stop()
	transport := r.current()
	answer, err := post(ctx, transport, r.Address, body)
	if err != nil {
		return r.lost(transport, sent.Load(), err)
	}
	defer answer.Body.Close()
	report, err := r.read(answer.Body, req.GetId(), silence)
	if err != nil {
		cancel()
		return r.lost(transport, true, err)
	}
	// The transport reuses a connection only when its body was read to the end.
	_, _ = io.Copy(io.Discard, answer.Body)
	return report
}

func post(ctx context.Context, transport *http.Transport, address netip.AddrPort, body []byte) (*http.Response, error) {
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/run", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport never repeats a request of its own accord.
	post.GetBody = nil
	answer, err := transport.RoundTrip(post)
	if err == nil && answer.StatusCode != http.StatusOK {
		answer.Body.Close()
		return nil, errors.New("status " + answer.Status)
	}
	return answer, err
}

func (r *Runner) lost(transport *http.Transport, sent bool, err error) Report {
	r.retire(transport)
	if !sent {
		return Report{Sign: Lost, Outcome: outcome.NotRun{Reason: "no connection to the runner: " + err.Error(), Remedy: "try again", RetryAfter: busyRetryAfter}}
	}
	return Report{Sign: Lost, Outcome: outcome.Unknown{Reason: "the runner's answer was lost: " + err.Error(), Target: r.Name}}
}

// read takes frames until the answer. Each frame proves progress.
func (r *Runner) read(body io.Reader, id string, silence *time.Timer) (Report, error) {
	frames, options := bufio.NewReader(body), protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		frame := &wire.RunFrame{}
		if err := options.UnmarshalFrom(frames, frame); err != nil {
			return Report{}, err
		}
		silence.Reset(r.Progress)
		if frame.GetId() != id {
			return Report{}, errors.New("the answer belongs to another request")
		}
		switch frame.GetKind() {
		case wire.FrameKind_FRAME_KIND_ACCEPTED, wire.FrameKind_FRAME_KIND_HEARTBEAT:
			continue
		}
		return r.final(frame)
	}
}

func (r *Runner) final(frame *wire.RunFrame) (Report, error) {
	switch frame.GetKind() {
	case wire.FrameKind_FRAME_KIND_ANSWER:
		if uint64(len(frame.GetAnswer())) != frame.GetAnswerLength() || xxhash.Sum64(frame.GetAnswer()) != frame.GetChecksum() {
			return Report{}, errors.New("the answer is not whole")
		}
		return Report{Outcome: outcome.Done{Answer: frame.GetAnswer(), Target: r.Name}}, nil
	case wire.FrameKind_FRAME_KIND_FAILED:
		return Report{Sign: Failed, Outcome: outcome.Done{Failed: true, Reason: frame.GetMessage(), Target: r.Name}}, nil
	case wire.FrameKind_FRAME_KIND_REFUSED:
		sign := Busy
		if frame.GetRefusal() == wire.Refusal_REFUSAL_LEAVING {
			sign = Leaving
		}
		return Report{Sign: sign, Outcome: outcome.NotRun{Reason: "the runner refused", Remedy: "try again", RetryAfter: busyRetryAfter}}, nil
	}
	return Report{}, errors.New("the answer has an unknown kind")
}

// Resolve asks on a new connection how a request ended. Done and NotRun are
// final; running says that the answer is still to come; otherwise the outcome is
// Unknown. A request that the runner never saw is closed there, so that it can
// not start later.
func (r *Runner) Resolve(ctx context.Context, id string) (out outcome.Outcome, running bool) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	fresh := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	client := wire.NewRunnerProtobufClient("http://"+r.Address.String(), &http.Client{Transport: fresh})
	answer, err := client.Resolve(ctx, &wire.ResolveRequest{Id: id})
	if err != nil {
		return outcome.Unknown{Reason: "the runner can't be asked: " + err.Error(), Target: r.Name}, false
	}
	switch answer.GetResolution() {
	case wire.Resolution_RESOLUTION_CLOSED:
		return outcome.NotRun{Reason: "the runner never saw the request", Remedy: "try again", RetryAfter: busyRetryAfter}, false
	case wire.Resolution_RESOLUTION_RUNNING:
		return outcome.Unknown{Reason: "the runner is still at it", Target: r.Name}, true
	case wire.Resolution_RESOLUTION_DONE, wire.Resolution_RESOLUTION_FAILED:
		if frame := answer.GetFrame(); frame.GetId() == id {
			if report, err := r.final(frame); err == nil {
				return report.Outcome, false
			}
		}
	}
	return outcome.Unknown{Reason: "the runner does not know how the request ended", Target: r.Name}, false
}

// Package runner is the client of the runners. It is the only package that implements their
// protocol.
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
	// acceptTimeoutDivisor divides ProgressTimeout to get the timeout of the first frame, which a
	// runner sends at once.
	acceptTimeoutDivisor = 4
	busyRetryAfter       = 50 * time.Millisecond
)

// Health is what one dispatch indicates about the state of the runner.
type Health int

// The values that a dispatch can indicate.
const (
	// Healthy means that the runner answered, or that the request was invalid and not sent.
	Healthy Health = iota
	// Busy and Leaving mean that the runner refused the request.
	Busy
	Leaving
	// Failed means that the request ran and failed.
	Failed
	// ConnectionLost means that there was no connection, that it timed out or broke, or that the
	// answer was corrupt.
	ConnectionLost
)

// Report is the result of one dispatch.
type Report struct {
	Outcome outcome.Outcome
	Health  Health
}

// Client is a client of one runner. Set the fields before the first call.
type Client struct {
	Name    string
	Address netip.AddrPort
	// MaxConnections is the largest number of open connections to the runner.
	MaxConnections int
	// ProgressTimeout is the longest time between two frames of an accepted request. The first frame
	// has to arrive within a quarter of it.
	ProgressTimeout time.Duration

	mu        sync.Mutex
	transport *http.Transport
}

func (c *Client) currentTransport() *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transport == nil {
		c.transport = &http.Transport{
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost: c.MaxConnections, MaxIdleConnsPerHost: c.MaxConnections, IdleConnTimeout: idleTimeout,
			DisableCompression: true,
		}
	}
	return c.transport
}

// discardTransport closes the idle connections of a transport and stops using it, because they share
// the network path of the connection that failed.
func (c *Client) discardTransport(old *http.Transport) {
	c.mu.Lock()
	if c.transport == old {
		c.transport = nil
	}
	c.mu.Unlock()
	old.CloseIdleConnections()
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.currentTransport().CloseIdleConnections()
}

// Run dispatches the request once. It reports NotRun only if the request is known not to have run:
// it is invalid, there was no connection to send it on, or the runner refused it.
func (c *Client) Run(ctx context.Context, req *wire.RunRequest) Report {
	body, err := proto.Marshal(req)
	if err != nil {
		return Report{Outcome: outcome.NotRun{Reason: err.Error(), Remedy: "send a valid request"}, Health: Healthy}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Once there is a connection, a part of the request may have been sent.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	progressTimer := time.AfterFunc(c.ProgressTimeout/acceptTimeoutDivisor, cancel)
	defer progressTimer.Stop()
	transport := c.currentTransport()
	answer, err := post(ctx, transport, c.Address, body)
	if err != nil {
		return c.connectionLost(transport, sent.Load(), err)
	}
	defer answer.Body.Close()
	report, err := c.readFrames(answer.Body, req.GetId(), progressTimer)
	if err != nil {
		cancel()
		return c.connectionLost(transport, true, err)
	}
	// The transport reuses a connection only if the body was read to the end.
	_, _ = io.Copy(io.Discard, answer.Body)
	return report
}

// post sends the request and returns the response if its status is 200.
func post(ctx context.Context, transport *http.Transport, address netip.AddrPort, body []byte) (*http.Response, error) {
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/run", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport never repeats a request by itself.
	post.GetBody = nil
	answer, err := transport.RoundTrip(post)
	if err == nil && answer.StatusCode != http.StatusOK {
		answer.Body.Close()
		return nil, errors.New("the runner answered with HTTP status " + answer.Status)
	}
	return answer, err
}

// connectionLost reports a failed connection. The outcome is unknown if any of the request may have
// been sent.
func (c *Client) connectionLost(transport *http.Transport, sent bool, err error) Report {
	c.discardTransport(transport)
	if !sent {
		return Report{Health: ConnectionLost, Outcome: outcome.NotRun{Reason: "no connection to the runner: " + err.Error(), Remedy: "try again", RetryAfter: busyRetryAfter}}
	}
	return Report{Health: ConnectionLost, Outcome: outcome.Unknown{Reason: "the request may have been sent, but no valid answer arrived: " + err.Error(), Target: c.Name}}
}

// readFrames reads frames until the final one. Each frame resets the progress timeout.
func (c *Client) readFrames(body io.Reader, id string, progressTimer *time.Timer) (Report, error) {
	frames, options := bufio.NewReader(body), protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		frame := &wire.RunFrame{}
		if err := options.UnmarshalFrom(frames, frame); err != nil {
			return Report{}, err
		}
		progressTimer.Reset(c.ProgressTimeout)
		if frame.GetId() != id {
			return Report{}, errors.New("the runner sent a frame of another request")
		}
		switch frame.GetKind() {
		case wire.FrameKind_FRAME_KIND_ACCEPTED, wire.FrameKind_FRAME_KIND_HEARTBEAT:
			continue
		}
		return c.finalReport(frame)
	}
}

// finalReport converts a final frame. The error means that the frame is corrupt or of an unknown
// kind.
func (c *Client) finalReport(frame *wire.RunFrame) (Report, error) {
	switch frame.GetKind() {
	case wire.FrameKind_FRAME_KIND_ANSWER:
		if uint64(len(frame.GetAnswer())) != frame.GetAnswerLength() || xxhash.Sum64(frame.GetAnswer()) != frame.GetChecksum() {
			return Report{}, errors.New("the answer is truncated or its checksum does not match")
		}
		return Report{Outcome: outcome.Done{Answer: frame.GetAnswer(), Target: c.Name}}, nil
	case wire.FrameKind_FRAME_KIND_FAILED:
		return Report{Health: Failed, Outcome: outcome.Done{Failed: true, Reason: frame.GetMessage(), Target: c.Name}}, nil
	case wire.FrameKind_FRAME_KIND_REFUSED:
		health := Busy
		if frame.GetRefusal() == wire.Refusal_REFUSAL_LEAVING {
			health = Leaving
		}
		return Report{Health: health, Outcome: outcome.NotRun{Reason: "the runner refused the request", Remedy: "try again", RetryAfter: busyRetryAfter}}, nil
	}
	return Report{}, errors.New("the runner sent a frame of an unknown kind")
}

// Resolve asks on a new connection how a request ended. Done and NotRun are final. Otherwise the
// outcome is Unknown, and running reports whether the request is still running. A runner that never
// received the request closes its id, so that it can't start later.
func (c *Client) Resolve(ctx context.Context, id string) (out outcome.Outcome, running bool) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	client := wire.NewRunnerProtobufClient("http://"+c.Address.String(), &http.Client{Transport: transport})
	answer, err := client.Resolve(ctx, &wire.ResolveRequest{Id: id})
	if err != nil {
		return outcome.Unknown{Reason: "the runner can't be asked how the request ended: " + err.Error(), Target: c.Name}, false
	}
	switch answer.GetResolution() {
	case wire.Resolution_RESOLUTION_CLOSED:
		return outcome.NotRun{Reason: "the runner never received the request", Remedy: "try again", RetryAfter: busyRetryAfter}, false
	case wire.Resolution_RESOLUTION_RUNNING:
		return outcome.Unknown{Reason: "the request is still running", Target: c.Name}, true
	case wire.Resolution_RESOLUTION_DONE, wire.Resolution_RESOLUTION_FAILED:
		if frame := answer.GetFrame(); frame.GetId() == id {
			if report, err := c.finalReport(frame); err == nil {
				return report.Outcome, false
			}
		}
	}
	return outcome.Unknown{Reason: "the runner does not know how the request ended", Target: c.Name}, false
}

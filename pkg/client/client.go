// Package client calls an entry host as a caller or operator does.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// ErrRefused is in every error of a call that a host answered with an error.
var ErrRefused = errors.New("refused")

// Client calls the host or balancer at Address. Set the fields before the first call.
type Client struct {
	Address netip.AddrPort
	// Credential is sent to the operator interface; may be empty.
	Credential string
	// HTTP is the transport; nil means http.DefaultClient.
	HTTP *http.Client
}

// Request is one piece of work. See docs/api.md for the fields.
type Request struct {
	Organisation string
	Class        string
	// Ticket repeats an earlier request; Key is the caller's own name for it. At most one is set.
	Ticket  string
	Key     string
	Payload []byte
	// Deadline is how long the answer is of use; 0 takes the class's own.
	Deadline time.Duration
	// Wait is how long to wait before a pending ticket is returned; 0 waits until Deadline.
	Wait time.Duration
	// Workers to Declared describe a gang; runners take Declared as a hint.
	Workers               int
	AcceleratorsPerWorker int
	CoresPerWorker        int
	MemoryMBPerWorker     int64
	Declared              time.Duration
}

// Answer is what became of a request.
type Answer struct {
	Ticket string
	// Outcome is nil while the request is pending.
	Outcome  outcome.Outcome
	Host     string
	Attempts int
	Took     time.Duration
	// Detail says more about a pending request.
	Detail string
	// Body is the host's answer in JSON.
	Body json.RawMessage
}

// Ticket asks for a ticket, with which even the first request can be repeated safely.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	answer, err := c.work(ctx, http.MethodPost, "/v1/tickets", nil)
	return answer.Ticket, err
}

// Submit sends a request. An error says that no host answered: repeat it with the
// same ticket or key.
func (c *Client) Submit(ctx context.Context, req Request) (Answer, error) {
	message := &wire.WorkRequest{
		Organisation: req.Organisation, Class: req.Class, Ticket: req.Ticket, Key: req.Key, Payload: req.Payload,
		Workers: int32(req.Workers), AcceleratorsPerWorker: int32(req.AcceleratorsPerWorker),
		CoresPerWorker: int32(req.CoresPerWorker), MemoryMbPerWorker: req.MemoryMBPerWorker,
		Deadline: length(req.Deadline), Wait: length(req.Wait), Declared: length(req.Declared),
	}
	body, err := protojson.Marshal(message)
	if err != nil {
		return Answer{}, fmt.Errorf("Client.Submit: %w", err)
	}
	return c.work(ctx, http.MethodPost, "/v1/work", body)
}

func length(d time.Duration) *durationpb.Duration {
	if d == 0 {
		return nil
	}
	return durationpb.New(d)
}

// Poll asks for the end of a ticket, on any host, waiting for it up to wait.
func (c *Client) Poll(ctx context.Context, ticket string, wait time.Duration) (Answer, error) {
	return c.work(ctx, http.MethodGet, "/v1/work/"+url.PathEscape(ticket)+"?wait="+wait.String(), nil)
}

// Cancel ends work that has not been dispatched, or a running gang job.
func (c *Client) Cancel(ctx context.Context, ticket string) (Answer, error) {
	return c.work(ctx, http.MethodDelete, "/v1/work/"+url.PathEscape(ticket), nil)
}

func (c *Client) work(ctx context.Context, method, path string, body []byte) (Answer, error) {
	text, err := c.Call(ctx, method, path, body)
	if err != nil {
		return Answer{}, err
	}
	message := &wire.WorkResponse{}
	if err := protojson.Unmarshal(text, message); err != nil {
		return Answer{}, fmt.Errorf("Client.work: the answer can't be read: %w", err)
	}
	return Answer{
		Ticket: message.GetTicket(), Outcome: ended(message), Host: message.GetHost(), Attempts: int(message.GetAttempts()),
		Took: message.GetTook().AsDuration(), Detail: message.GetReason(), Body: text,
	}, nil
}

func ended(message *wire.WorkResponse) outcome.Outcome {
	switch message.GetState() {
	case wire.WorkState_WORK_STATE_DONE:
		return outcome.Done{Answer: message.GetAnswer(), Target: message.GetTarget(), Failed: message.GetFailed(), Reason: message.GetReason()}
	case wire.WorkState_WORK_STATE_NOT_RUN:
		return outcome.NotRun{Reason: message.GetReason(), Remedy: message.GetRemedy(), RetryAfter: message.GetRetryAfter().AsDuration()}
	case wire.WorkState_WORK_STATE_UNKNOWN:
		return outcome.Unknown{Reason: message.GetReason(), Target: message.GetTarget()}
	}
	return nil
}

// Call sends a body and returns the answer's JSON. An error that wraps ErrRefused
// carries the host's own message.
func (c *Client) Call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("Client.Call: %w", err)
	}
	if c.Credential != "" {
		req.Header.Set("Authorization", "Bearer "+c.Credential)
	}
	held := c.HTTP
	if held == nil {
		held = http.DefaultClient
	}
	answer, err := held.Do(req)
	if err != nil {
		return nil, fmt.Errorf("Client.Call: %w", err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, fmt.Errorf("Client.Call: the answer broke off: %w", err)
	}
	refused := &wire.ErrorBody{}
	if answer.StatusCode >= http.StatusBadRequest && protojson.Unmarshal(text, refused) == nil {
		return nil, fmt.Errorf("%w (%s): %s", ErrRefused, refused.GetKind(), refused.GetMessage())
	}
	return text, nil
}

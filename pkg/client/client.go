// Package client calls the HTTP interfaces of an entry host for callers and operators.
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

// ErrRefused is wrapped by the error of a call that a host answered with an error message.
var ErrRefused = errors.New("refused")

// Client calls the host or load balancer at Address. Set the fields before the first call.
type Client struct {
	Address netip.AddrPort
	// Credential is the operator credential, sent with every call; it may be empty.
	Credential string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Request is one piece of work: a short request, a trace or a gang job, depending on its
// class. See docs/api.md for the fields.
type Request struct {
	Organisation string
	Class        string
	// Ticket is a ticket from Client.Ticket or from an earlier attempt at the same request. Key
	// identifies the request by a name that the caller chose. At most one of them is set.
	Ticket  string
	Key     string
	Payload []byte
	// Deadline is the time after which the caller no longer needs the answer; 0 means the
	// deadline of the class.
	Deadline time.Duration
	// Wait is how long the host waits for the outcome before it returns a pending ticket. 0
	// means until Deadline, or not at all for a gang job.
	Wait time.Duration
	// Workers, AcceleratorsPerWorker, CoresPerWorker, MemoryMBPerWorker and Declared describe a
	// gang job. Declared is the expected run time, which is a hint for work on runners.
	Workers               int
	AcceleratorsPerWorker int
	CoresPerWorker        int
	MemoryMBPerWorker     int64
	Declared              time.Duration
}

// Answer is the state of a request and, once it has ended, its outcome.
type Answer struct {
	Ticket string
	// Outcome is nil while the request is pending.
	Outcome  outcome.Outcome
	Host     string
	Attempts int
	Took     time.Duration
	// Detail is the host's reason for the state, such as why a pending request waits.
	Detail string
	// Body is the host's whole answer in JSON.
	Body json.RawMessage
}

// Ticket returns a new ticket. A request that carries it can be repeated safely, even if the
// answer to its first attempt was lost.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	answer, err := c.callWork(ctx, http.MethodPost, "/v1/tickets", nil)
	return answer.Ticket, err
}

// Submit sends a request. An error that wraps ErrRefused carries a host's refusal. After any
// other error the request may have been accepted: repeat it with the same ticket or key.
func (c *Client) Submit(ctx context.Context, req Request) (Answer, error) {
	message := &wire.WorkRequest{
		Organisation: req.Organisation, Class: req.Class, Ticket: req.Ticket, Key: req.Key, Payload: req.Payload,
		Workers: int32(req.Workers), AcceleratorsPerWorker: int32(req.AcceleratorsPerWorker),
		CoresPerWorker: int32(req.CoresPerWorker), MemoryMbPerWorker: req.MemoryMBPerWorker,
		Deadline: durationOrNil(req.Deadline), Wait: durationOrNil(req.Wait), Declared: durationOrNil(req.Declared),
	}
	body, err := protojson.Marshal(message)
	if err != nil {
		return Answer{}, fmt.Errorf("Client.Submit: %w", err)
	}
	return c.callWork(ctx, http.MethodPost, "/v1/work", body)
}

// durationOrNil returns nil for 0, so that the host applies its default.
func durationOrNil(d time.Duration) *durationpb.Duration {
	if d == 0 {
		return nil
	}
	return durationpb.New(d)
}

// Poll returns the state of a ticket, and waits up to wait for its outcome. Any host can
// answer. A host limits the wait, so the request may still be pending before wait has passed.
func (c *Client) Poll(ctx context.Context, ticket string, wait time.Duration) (Answer, error) {
	return c.callWork(ctx, http.MethodGet, "/v1/work/"+url.PathEscape(ticket)+"?wait="+wait.String(), nil)
}

// Cancel cancels a request that has not been dispatched, on the host that issued its ticket,
// or a gang job that has not ended, on any host.
func (c *Client) Cancel(ctx context.Context, ticket string) (Answer, error) {
	return c.callWork(ctx, http.MethodDelete, "/v1/work/"+url.PathEscape(ticket), nil)
}

// callWork calls a path of the work interface and decodes the answer.
func (c *Client) callWork(ctx context.Context, method, path string, body []byte) (Answer, error) {
	text, err := c.Call(ctx, method, path, body)
	if err != nil {
		return Answer{}, err
	}
	message := &wire.WorkResponse{}
	if err := protojson.Unmarshal(text, message); err != nil {
		return Answer{}, fmt.Errorf("Client.callWork: the host's answer can't be decoded: %w", err)
	}
	return Answer{
		Ticket: message.GetTicket(), Outcome: outcomeOf(message), Host: message.GetHost(), Attempts: int(message.GetAttempts()),
		Took: message.GetTook().AsDuration(), Detail: message.GetReason(), Body: text,
	}, nil
}

// outcomeOf returns the outcome of an answer; nil if the request has not ended.
func outcomeOf(message *wire.WorkResponse) outcome.Outcome {
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

// Call sends a body to a path of the host and returns the JSON of its answer. An error that
// wraps ErrRefused carries the host's own message. An answer with an error status but without
// such a message, as for a request that was not run, is returned without an error.
func (c *Client) Call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("Client.Call: %w", err)
	}
	if c.Credential != "" {
		req.Header.Set("Authorization", "Bearer "+c.Credential)
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	answer, err := httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("Client.Call: %w", err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, fmt.Errorf("Client.Call: the answer could not be read completely: %w", err)
	}
	refused := &wire.ErrorBody{}
	if answer.StatusCode >= http.StatusBadRequest && protojson.Unmarshal(text, refused) == nil {
		return nil, fmt.Errorf("%w (%s): %s", ErrRefused, refused.GetKind(), refused.GetMessage())
	}
	return text, nil
}

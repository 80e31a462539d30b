package host

import (
	"bytes"
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
	"github.com/eelgrasstide/eelgrasstide/internal/planner"
	"github.com/eelgrasstide/eelgrasstide/internal/relay"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	maxWorkBytes  = 1 << 20
	maxApplyBytes = 8 << 20
	operatorPath  = "/v1/operator"
	applyPath     = operatorPath + "/configuration"
	workPath      = "/v1/work"
	// refusalWait is the time after which a caller may come back whose body was not read.
	refusalWait = time.Second
)

// handler serves calls from other hosts through Twirp, and those from callers and operators
// through iris. Request bodies are limited to 8 MiB for a configuration and to 1 MiB
// otherwise, and are read before the call is served.
func (h *Host) handler() http.Handler {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/healthz", func(c iris.Context) { c.WriteString("ok\n") })
	app.Get("/readyz", h.getReady)
	app.Get("/metrics", h.getMetrics)
	app.Post("/v1/tickets", h.postTicket)
	app.Post(workPath, h.postWork)
	app.Get("/v1/work/{ticket}", h.getWork)
	app.Delete("/v1/work/{ticket}", h.deleteWork)
	app.Get("/v1/work/{ticket}/explain", h.getExplanation)
	operator := app.Party(operatorPath, h.requireOperator)
	operator.Get("/hosts", h.getHosts)
	operator.Get("/targets", h.getTargets)
	operator.Get("/organisations", h.getOrganisations)
	operator.Get("/configuration", h.getConfiguration)
	operator.Get("/configuration/history", h.getHistory)
	operator.Post("/configuration", h.postConfiguration)
	operator.Get("/cordons", h.getCordons)
	operator.Post("/cordons", h.postCordon)
	if err := app.Build(); err != nil {
		h.log.Errorf("the HTTP routes could not be built: %v", err)
	}
	peers := wire.NewHostServer(&peerService{host: h})
	serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, peers.PathPrefix()) {
			peers.ServeHTTP(w, r)
			return
		}
		app.ServeHTTP(w, r)
	})
	check := func(r *http.Request, body []byte) error {
		if strings.HasPrefix(r.URL.Path, peers.PathPrefix()) {
			return ingress.CheckMessage(r, body)
		}
		return nil
	}
	return h.ingress.Wrap(serve, bodyLimit, check, func(w http.ResponseWriter, r *http.Request, err error) {
		if strings.HasPrefix(r.URL.Path, peers.PathPrefix()) {
			relay.Refuse(w, r, err)
			return
		}
		refuse(w, r, err)
	})
}

// bodyLimit returns the largest body of a request.
func bodyLimit(r *http.Request) int64 {
	if r.URL.Path == applyPath {
		return maxApplyBytes
	}
	return maxWorkBytes
}

// refuse answers a request whose body has not been read, so that it has no effect.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	var message proto.Message = &wire.ErrorBody{Kind: errkind.NameOf(err), Message: errkind.Message(err), At: timestamppb.Now()}
	status := errkind.Status(err)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		status, message = http.StatusBadRequest, &wire.ErrorBody{
			Kind: errkind.Invalid.Name(), At: timestamppb.Now(),
			Message: fmt.Sprintf("the request body is larger than the limit of %d bytes; send a smaller body", large.Limit),
		}
	case r.URL.Path == workPath:
		message = &wire.WorkResponse{State: wire.WorkState_WORK_STATE_NOT_RUN, Reason: errkind.Message(err), RetryAfter: durationpb.New(refusalWait)}
	}
	if large == nil {
		w.Header().Set("Retry-After", strconv.Itoa(int(refusalWait.Seconds())))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	text, marshalErr := protojson.Marshal(message)
	if marshalErr != nil {
		text = []byte(`{"kind":"internal"}`)
	}
	w.Write(append(text, '\n'))
}

// reply writes a message as JSON with an HTTP status.
func reply(c iris.Context, status int, message proto.Message) {
	body, err := protojson.Marshal(message)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{"kind":"internal"}`)
	}
	c.ContentType("application/json")
	c.StatusCode(status)
	c.Write(append(body, '\n'))
}

func replyError(c iris.Context, err error) {
	reply(c, errkind.Status(err), &wire.ErrorBody{Kind: errkind.NameOf(err), Message: errkind.Message(err), At: timestamppb.Now()})
}

// decode reads a JSON request body into a message. Errors are Invalid.
func decode(c iris.Context, into proto.Message) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return errkind.Invalid.New("send the whole body", "the request body could not be read: %v", err)
	}
	if err := protojson.Unmarshal(bytes.TrimSpace(body), into); err != nil {
		return errkind.Invalid.New("see docs/api.md for the fields", "the request body is not valid JSON for this call: %v", err)
	}
	return nil
}

// ready reports whether the host accepts requests, with a text for /readyz. It does not depend
// on the store, because the host continues to serve during an outage of the store.
func (h *Host) ready() (bool, string) {
	switch {
	case h.stopping.Load():
		return false, "stopping"
	case h.configuration.Revision() == 0:
		return false, "no configuration yet"
	}
	select {
	case <-h.zones.Known():
	default:
		return false, "the cordons of zones are not known yet"
	}
	return true, "ready"
}

func (h *Host) getReady(c iris.Context) {
	ready, text := h.ready()
	if !ready {
		c.StatusCode(http.StatusServiceUnavailable)
	}
	c.WriteString(text + "\n")
}

func (h *Host) postTicket(c iris.Context) {
	reply(c, http.StatusOK, &wire.WorkResponse{Ticket: h.dispatcher.Ticket(), State: wire.WorkState_WORK_STATE_PENDING, Host: h.Settings.GetName()})
}

func (h *Host) postWork(c iris.Context) {
	req := &wire.WorkRequest{}
	if err := decode(c, req); err != nil {
		replyError(c, err)
		return
	}
	replyWork(c, h.serve(c.Request().Context(), req))
}

// replyWork replies with an HTTP status for the state of the work: 200 when it is done, 202
// while it is pending, 502 when the outcome is unknown, and 422 when it was not run, or 503
// with Retry-After if a retry may succeed.
func replyWork(c iris.Context, answer *wire.WorkResponse) {
	status := http.StatusOK
	switch answer.GetState() {
	case wire.WorkState_WORK_STATE_PENDING:
		status = http.StatusAccepted
	case wire.WorkState_WORK_STATE_UNKNOWN:
		status = http.StatusBadGateway
	case wire.WorkState_WORK_STATE_NOT_RUN:
		status = http.StatusUnprocessableEntity
		if wait := answer.GetRetryAfter().AsDuration(); wait > 0 {
			status = http.StatusServiceUnavailable
			c.Header("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		}
	}
	reply(c, status, answer)
}

func (h *Host) getWork(c iris.Context) {
	wait, err := time.ParseDuration(c.URLParamDefault("wait", "0s"))
	if err != nil {
		replyError(c, errkind.Invalid.New(`use a duration such as "5s"`, "the parameter wait is not a duration"))
		return
	}
	replyWork(c, h.locate(c.Request().Context(), c.Params().Get("ticket"), wait))
}

func (h *Host) deleteWork(c iris.Context) {
	answer, err := h.cancel(c.Request().Context(), c.Params().Get("ticket"))
	if err != nil {
		replyError(c, err)
		return
	}
	reply(c, http.StatusOK, answer)
}

func (h *Host) getExplanation(c iris.Context) {
	ticket := c.Params().Get("ticket")
	answer := h.locate(c.Request().Context(), ticket, 0)
	out := &wire.Explanation{Ticket: ticket, State: stateName(answer.GetState())}
	if job := answer.GetJob(); job != nil {
		out.State = strings.ToLower(strings.TrimPrefix(job.GetState().String(), "JOB_STATE_"))
		out.Lines = h.planner.Explain(ticket)
		if out.Lines == nil {
			out.Lines = h.explainFromRecord(c.Request().Context(), job)
		}
	}
	if record := h.zones.Cordon(h.Settings.GetZone()); record != nil && answer.GetJob() == nil && answer.GetState() == wire.WorkState_WORK_STATE_PENDING && answer.GetAttempts() == 0 {
		out.Lines = append(out.Lines, "waits: "+planner.CordonReason(record))
	}
	if answer.GetReason() != "" {
		out.Lines = append(out.Lines, answer.GetReason())
	}
	if answer.GetTarget() != "" {
		out.Lines = append(out.Lines, fmt.Sprintf("it ran on target %s; number of dispatches: %d", answer.GetTarget(), answer.GetAttempts()))
	}
	reply(c, http.StatusOK, out)
}

// explainFromRecord returns the history from the job's record. It is used when this host's
// planner does not hold the job, usually because another host plans the job's zone.
func (h *Host) explainFromRecord(_ context.Context, job *wire.JobRecord) []string {
	lines := append([]string{fmt.Sprintf("the job is planned in zone %s", job.GetZone())}, job.GetHistory()...)
	if record := h.zones.Cordon(job.GetZone()); record != nil && job.GetState() == wire.JobState_JOB_STATE_WAITING {
		lines = append(lines, "waits: "+planner.CordonReason(record))
	}
	return lines
}

func stateName(state wire.WorkState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "WORK_STATE_"))
}

// requireOperator admits requests that carry the operator credential. If no credential is
// configured, it admits only requests from a loopback address.
func (h *Host) requireOperator(c iris.Context) {
	credential := h.Settings.GetOperatorCredential()
	if credential == "" {
		remote, err := netip.ParseAddrPort(c.Request().RemoteAddr)
		if err == nil && remote.Addr().IsLoopback() {
			c.Next()
			return
		}
	}
	given := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	if credential != "" && subtle.ConstantTimeCompare([]byte(given), []byte(credential)) == 1 {
		c.Next()
		return
	}
	replyError(c, errkind.Denied.New("send the operator credential as a bearer token; if none is configured, call from the host itself", "the operator credential is missing or wrong"))
	c.StopExecution()
}

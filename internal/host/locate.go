package host

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/dispatcher"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/membership"
	"github.com/eelgrasstide/eelgrasstide/internal/planner"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	maxWait = 25 * time.Second
	// forwardMargin is the time that another host has for its answer after the wait of a lookup.
	forwardMargin = time.Second
)

// locate returns the state of the request or job with a ticket, whichever host issued it. It
// waits up to wait, at most 25 s, for its end. It never starts work.
func (h *Host) locate(ctx context.Context, ticket string, wait time.Duration) *wire.WorkResponse {
	wait = min(max(wait, 0), maxWait)
	if strings.Contains(ticket, zoneSeparator) {
		return h.locateJob(ctx, ticket, wait)
	}
	if answer, ok := h.findLocal(ctx, ticket, wait); ok {
		return answer
	}
	owner := dispatcher.IssuingIncarnation(ticket)
	if owner == h.incarnation && h.journal.Fenced() {
		return h.locateInJournal(ctx, owner, ticket, wait)
	}
	if owner == h.incarnation {
		return dispatcher.Response(ticket, outcome.Unknown{Reason: "the ticket was not used, or its outcome is no longer kept"})
	}
	if h.membership.Liveness(owner) != membership.Dead {
		return h.lookUpRemote(ctx, owner, ticket, wait)
	}
	return h.locateInJournal(ctx, owner, ticket, wait)
}

// findLocal waits for a request that this host holds. A planned stop ends the wait early, so
// that the caller can poll another host.
func (h *Host) findLocal(ctx context.Context, ticket string, wait time.Duration) (*wire.WorkResponse, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-h.stopPolls:
			cancel()
		case <-ctx.Done():
		}
	}()
	out, found := h.dispatcher.Find(ctx, ticket, wait)
	if !found {
		return nil, false
	}
	answer := dispatcher.Response(ticket, out)
	answer.Host, answer.Attempts = h.Settings.GetName(), int32(h.dispatcher.Attempts(ticket))
	return answer, true
}

// lookUpRemote asks the host that holds the ticket.
func (h *Host) lookUpRemote(ctx context.Context, holder, ticket string, wait time.Duration) *wire.WorkResponse {
	address, ok := h.membership.Address(holder)
	if ok {
		ctx, cancel := context.WithTimeout(ctx, wait+forwardMargin)
		defer cancel()
		answer, err := h.peers.Host(address).Lookup(ctx, &wire.LookupRequest{Ticket: ticket, Wait: durationpb.New(wait)})
		if err == nil {
			return answer
		}
		h.peers.CloseIdle()
	}
	return unreachable(ticket)
}

func unreachable(ticket string) *wire.WorkResponse {
	answer := dispatcher.Response(ticket, nil)
	answer.Reason = "the host that holds the request cannot be reached now; the request will not be run twice"
	return answer
}

// locateInJournal reads the journal of a dead host. If another host has adopted the journal
// and is alive, that host is asked.
func (h *Host) locateInJournal(ctx context.Context, owner, ticket string, wait time.Duration) *wire.WorkResponse {
	requests, tail, err := journal.Load(ctx, h.store, owner)
	if err != nil {
		return unreachable(ticket)
	}
	for _, request := range requests {
		if request.Last.GetId() != ticket {
			continue
		}
		if out := dispatcher.RecordedOutcome(request.Last); out != nil {
			return dispatcher.Response(ticket, out)
		}
		if tail.Writer != owner && tail.Writer != h.incarnation && h.membership.Liveness(tail.Writer) == membership.Alive {
			return h.lookUpRemote(ctx, tail.Writer, ticket, wait)
		}
		answer := dispatcher.Response(ticket, nil)
		answer.Reason = "the host that accepted the request died; another host is determining its outcome"
		return answer
	}
	return dispatcher.Response(ticket, outcome.Unknown{Reason: "the host that accepted the request died, and its journal has no record of the request"})
}

// locateOutcome returns the outcome of the first request with a key, or nil while it is not
// known. A request with a key is never dispatched without a durable intent. A request that an
// adopted journal does not name was therefore not run.
func (h *Host) locateOutcome(ctx context.Context, ticket string) outcome.Outcome {
	if strings.Contains(ticket, zoneSeparator) {
		return nil
	}
	owner := dispatcher.IssuingIncarnation(ticket)
	if owner != h.incarnation && h.membership.Liveness(owner) == membership.Dead {
		last, err := h.recovery.lastRecord(ctx, owner, ticket)
		switch {
		case err != nil:
			return nil
		case last == nil:
			return outcome.NotRun{Reason: "the host that accepted the request died before dispatching it"}
		}
		return dispatcher.RecordedOutcome(last)
	}
	if answer := h.locate(ctx, ticket, 0); answer.GetState() == wire.WorkState_WORK_STATE_NOT_RUN {
		return outcome.NotRun{Reason: answer.GetReason()}
	}
	return nil
}

// locateJob reads a job's record, waiting up to wait for the job to end.
func (h *Host) locateJob(ctx context.Context, id string, wait time.Duration) *wire.WorkResponse {
	deadline := time.Now().Add(wait)
	for {
		found, err := h.store.Get(ctx, store.Serving, planner.JobKey(id))
		answer := jobResponse(id, found, err)
		answer.Host = h.Settings.GetName()
		remaining := time.Until(deadline)
		if answer.GetState() != wire.WorkState_WORK_STATE_PENDING || remaining <= 0 || ctx.Err() != nil || h.stopping.Load() {
			return answer
		}
		_, _ = h.store.Watch(ctx, planner.JobKey(id), found.GetRevision(), min(remaining, time.Second))
	}
}

func jobResponse(id string, found *wire.Entry, err error) *wire.WorkResponse {
	record := &wire.JobRecord{}
	switch {
	case err != nil:
		answer := dispatcher.Response(id, nil)
		answer.Reason = "the platform's store cannot be read now; running work continues"
		return answer
	case found.GetRevision() == 0:
		return dispatcher.Response(id, outcome.Unknown{Reason: "there is no record of the job, or its record is no longer kept"})
	case proto.Unmarshal(found.GetValue(), record) != nil:
		return dispatcher.Response(id, outcome.Unknown{Reason: "the job's record cannot be decoded"})
	}
	answer := dispatcher.Response(id, jobOutcome(record))
	answer.Job = record
	return answer
}

func jobOutcome(record *wire.JobRecord) outcome.Outcome {
	switch record.GetState() {
	case wire.JobState_JOB_STATE_DONE:
		return outcome.Done{Reason: record.GetReason()}
	case wire.JobState_JOB_STATE_FAILED:
		return outcome.Done{Failed: true, Reason: record.GetReason()}
	case wire.JobState_JOB_STATE_UNKNOWN:
		return outcome.Unknown{Reason: record.GetReason()}
	case wire.JobState_JOB_STATE_REFUSED:
		return outcome.NotRun{Reason: record.GetReason(), Remedy: "request fewer workers or accelerators, or another zone"}
	case wire.JobState_JOB_STATE_CANCELLED:
		if record.GetAttempt() == 0 {
			return outcome.NotRun{Reason: record.GetReason(), Remedy: "submit the job again if it is still needed"}
		}
		return outcome.Done{Failed: true, Reason: record.GetReason()}
	}
	return nil
}

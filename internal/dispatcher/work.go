package dispatcher

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/admission"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// work is one request, from acceptance until its outcome is dropped. The dispatcher's lock
// guards it.
type work struct {
	ticket string
	// req is the request without its payload, which is dropped when the request has ended.
	req            *wire.WorkRequest
	payload        []byte
	releasePayload func()
	class          *wire.Class
	weight         float64
	accepted       time.Time
	deadline       time.Time
	journal        *journal.Journal
	queueItem      *admission.Item
	// excluded holds the runners that this request should not be sent to again.
	excluded         map[string]bool
	attempts         int
	activeDispatches int
	// target is the runner of the latest dispatch.
	target string
	// journalled is set if the journal holds a record of this request.
	journalled bool
	// acceptanceDurable is set if another host would run the request should this one die.
	acceptanceDurable bool
	// adopted is set if the request came from a dead host's journal.
	adopted bool
	// finishing is set while the outcome is being made durable.
	finishing bool
	hedged    bool

	// done is closed when out is set.
	done  chan struct{}
	out   outcome.Outcome
	ended time.Time
}

func (w *work) idempotent() bool { return w.class.GetIdempotent() }

// mayRunAgain reports whether a request that its runner never received may be dispatched again.
// The host that accepted it may do so. An adopting host may do so only if the acceptance was
// durable, as the request could otherwise already have been reported as not run.
func (w *work) mayRunAgain() bool {
	return time.Now().Before(w.deadline) && w.attempts < int(w.class.GetMaxAttempts()) && (w.acceptanceDurable || !w.adopted)
}

func (w *work) finished() bool { return w.out != nil }

func (w *work) record(kind wire.RecordKind) *wire.JournalRecord {
	return &wire.JournalRecord{
		Kind: kind, Id: w.ticket, Organisation: w.req.GetOrganisation(), Class: w.req.GetClass(),
		Idempotent: w.idempotent(), At: timestamppb.Now(),
	}
}

// acceptance returns a record with all that another host needs to run the request. The lock is held.
func (w *work) acceptance() *wire.JournalRecord {
	record := w.record(wire.RecordKind_RECORD_KIND_ACCEPTED)
	record.Payload, record.Deadline, record.Declared = w.payload, timestamppb.New(w.deadline), w.req.GetDeclared()
	record.AcceptedClass = w.class
	return record
}

// ending returns the record of an outcome. An answer above journal.MaxAnswerBytes is left out.
func (w *work) ending(out outcome.Outcome) *wire.JournalRecord {
	switch out := out.(type) {
	case outcome.Done:
		record := w.record(wire.RecordKind_RECORD_KIND_DONE)
		if out.Failed {
			record.Kind = wire.RecordKind_RECORD_KIND_FAILED
		}
		record.Target, record.Reason = out.Target, out.Reason
		if len(out.Answer) <= journal.MaxAnswerBytes {
			record.Answer = out.Answer
		}
		return record
	case outcome.NotRun:
		record := w.record(wire.RecordKind_RECORD_KIND_NOT_RUN)
		record.Reason = out.Reason
		return record
	case outcome.Unknown:
		record := w.record(wire.RecordKind_RECORD_KIND_UNKNOWN)
		record.Reason, record.Target = out.Reason, out.Target
		return record
	}
	return nil
}

// RecordedOutcome returns the outcome in the last journal record of a request, or nil if it has not
// ended.
func RecordedOutcome(last *wire.JournalRecord) outcome.Outcome {
	switch last.GetKind() {
	case wire.RecordKind_RECORD_KIND_DONE:
		return outcome.Done{Answer: last.GetAnswer(), Target: last.GetTarget()}
	case wire.RecordKind_RECORD_KIND_FAILED:
		return outcome.Done{Failed: true, Reason: last.GetReason(), Target: last.GetTarget()}
	case wire.RecordKind_RECORD_KIND_UNKNOWN:
		return outcome.Unknown{Reason: last.GetReason(), Target: last.GetTarget()}
	case wire.RecordKind_RECORD_KIND_NOT_RUN:
		return outcome.NotRun{Reason: last.GetReason(), Remedy: "send the request again"}
	}
	return nil
}

// Response converts an outcome to the response for the caller. A nil outcome means pending.
func Response(ticket string, out outcome.Outcome) *wire.WorkResponse {
	answer := &wire.WorkResponse{Ticket: ticket, State: wire.WorkState_WORK_STATE_PENDING, Remedy: "poll the ticket on any host"}
	switch out := out.(type) {
	case outcome.Done:
		answer.State, answer.Answer, answer.Target, answer.Remedy = wire.WorkState_WORK_STATE_DONE, out.Answer, out.Target, ""
		answer.Failed, answer.Reason = out.Failed, out.Reason
	case outcome.NotRun:
		answer.State, answer.Reason, answer.Remedy = wire.WorkState_WORK_STATE_NOT_RUN, out.Reason, out.Remedy
		answer.RetryAfter = durationpb.New(out.RetryAfter)
	case outcome.Unknown:
		answer.State, answer.Reason, answer.Target = wire.WorkState_WORK_STATE_UNKNOWN, out.Reason, out.Target
		if answer.Remedy = out.Remedy; out.Remedy == "" {
			answer.Remedy = "the request will not be run again; check its effect at the target before you send new work"
		}
	}
	return answer
}

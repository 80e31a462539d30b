package host

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/dispatcher"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/planner"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	maxGangWorkers = 64
	maxKeyBytes    = 256
	acceptTimeout  = 3 * time.Second
	cancelTimeout  = 3 * time.Second
	// A gang job's ticket is its zone, zoneSeparator and jobIDLength characters of jobIDAlphabet.
	zoneSeparator = ":"
	jobIDLength   = 16
	jobIDAlphabet = "abcdefghijklmnopqrstuvwxyz234567"
)

// serve handles a caller's request of any kind. The response states how long that took.
func (h *Host) serve(ctx context.Context, req *wire.WorkRequest) *wire.WorkResponse {
	start := time.Now()
	answer := h.route(ctx, req)
	answer.Took = durationpb.New(time.Since(start))
	return answer
}

func (h *Host) route(ctx context.Context, req *wire.WorkRequest) *wire.WorkResponse {
	if err := checkRequest(req); err != nil {
		return dispatcher.Response("", outcome.NotRun{Reason: errkind.Message(err), Remedy: errkind.Remedy(err)})
	}
	class := h.configuration.Current().Classes[req.GetClass()]
	if class.GetKind() == wire.Kind_gang {
		return h.submitJob(ctx, req)
	}
	if owner := dispatcher.IssuingIncarnation(req.GetTicket()); req.GetTicket() != "" && owner != h.incarnation {
		return h.forward(ctx, owner, req)
	}
	return h.serveLocal(ctx, req)
}

func checkRequest(req *wire.WorkRequest) error {
	switch {
	case req.GetOrganisation() == "" || req.GetClass() == "":
		return errkind.Invalid.New("set organisation and class", "the request has no organisation or no class")
	case len(req.GetKey()) > maxKeyBytes:
		return errkind.Invalid.New(fmt.Sprintf("use at most %d bytes", maxKeyBytes), "the key is too long")
	case req.GetKey() != "" && req.GetTicket() != "":
		return errkind.Invalid.New("send either a key or a ticket", "the request has both a key and a ticket")
	case req.GetDeadline() != nil && req.GetDeadline().AsDuration() <= 0:
		return errkind.Invalid.New("set a deadline above 0", "the deadline is not above 0")
	}
	return nil
}

// forward passes a repeated request on to the host that issued its ticket. If that host cannot
// be reached, the request is not run here; only its state is returned.
func (h *Host) forward(ctx context.Context, owner string, req *wire.WorkRequest) *wire.WorkResponse {
	if address, ok := h.membership.Address(owner); ok {
		answer, err := h.peers.Host(address).Forward(ctx, req)
		if err == nil {
			return answer
		}
		h.peers.CloseIdle()
	}
	return h.locate(ctx, req.GetTicket(), req.GetWait().AsDuration())
}

// serveLocal submits a short request or a trace to this host's dispatcher and waits for its
// end.
func (h *Host) serveLocal(ctx context.Context, req *wire.WorkRequest) *wire.WorkResponse {
	ticket, out := h.dispatcher.Submit(ctx, req)
	if out != nil {
		answer := dispatcher.Response(ticket, out)
		answer.Host = h.Settings.GetName()
		return answer
	}
	answer := h.locate(ctx, ticket, h.waitTime(req))
	if ctx.Err() != nil {
		h.dispatcher.CancelAbandoned(ticket)
	}
	return answer
}

// waitTime returns how long the caller waits for an answer before it gets a pending ticket:
// the wait or else the deadline of the request, or else the deadline of its class.
func (h *Host) waitTime(req *wire.WorkRequest) time.Duration {
	if req.GetWait() != nil {
		return req.GetWait().AsDuration()
	}
	if req.GetDeadline() != nil {
		return req.GetDeadline().AsDuration()
	}
	return rules.Deadline(h.configuration.Current().Classes[req.GetClass()])
}

// submitJob writes a gang job's record to the store. The job is then accepted, and the planner
// of its zone places it.
func (h *Host) submitJob(ctx context.Context, req *wire.WorkRequest) *wire.WorkResponse {
	if strings.Contains(req.GetTicket(), zoneSeparator) {
		return h.locate(ctx, req.GetTicket(), req.GetWait().AsDuration())
	}
	zone, err := h.chooseZone(req)
	if err != nil {
		return dispatcher.Response("", outcome.NotRun{Reason: errkind.Message(err), Remedy: errkind.Remedy(err)})
	}
	id := zone + zoneSeparator + strings.ToLower(rand.Text()[:jobIDLength])
	if req.GetKey() != "" {
		holder, claimed, refused := h.dispatcher.ClaimKey(ctx, id, req)
		if refused != nil {
			return dispatcher.Response(holder, refused)
		}
		if !claimed {
			return h.locate(ctx, holder, req.GetWait().AsDuration())
		}
	}
	if out := h.writeJob(ctx, h.jobRecord(id, zone, req)); out != nil {
		return dispatcher.Response(id, out)
	}
	return h.locate(ctx, id, req.GetWait().AsDuration())
}

func (h *Host) jobRecord(id, zone string, req *wire.WorkRequest) *wire.JobRecord {
	class := h.configuration.Current().Classes[req.GetClass()]
	return &wire.JobRecord{
		Id: id, Organisation: req.GetOrganisation(), Class: req.GetClass(), Zone: zone,
		Workers: req.GetWorkers(), AcceleratorsPerWorker: req.GetAcceleratorsPerWorker(),
		CoresPerWorker: req.GetCoresPerWorker(), MemoryMbPerWorker: req.GetMemoryMbPerWorker(),
		Declared: req.GetDeclared(), Submitted: timestamppb.Now(), State: wire.JobState_JOB_STATE_WAITING, Idempotent: class.GetIdempotent(),
	}
}

func (h *Host) writeJob(ctx context.Context, record *wire.JobRecord) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	_, err := h.putJob(ctx, record, 0)
	switch {
	case err == nil:
		return nil
	case errkind.Ambiguous.Is(err):
		return outcome.Unknown{Reason: "the platform's store did not confirm the write; poll the ticket to learn whether the job was accepted"}
	case errkind.Invalid.Is(err):
		return outcome.NotRun{Reason: errkind.Message(err), Remedy: errkind.Remedy(err)}
	}
	return outcome.NotRun{Reason: "the platform's store accepts no writes", Remedy: "try again later", RetryAfter: time.Second}
}

// chooseZone returns the zone of a guarantee that covers the requested workers, or else this
// host's zone if it is large enough or not declared, or else any zone that is large enough. Cordoned zones
// are used only if there is no other. Errors are Invalid.
func (h *Host) chooseZone(req *wire.WorkRequest) (string, error) {
	current := h.configuration.Current()
	if _, ok := current.RuleFor(req.GetOrganisation(), req.GetClass()); !ok {
		return "", errkind.Invalid.New("ask an operator to add a rule, or correct the names", "no rule permits organisation %q to use class %q", req.GetOrganisation(), req.GetClass())
	}
	if req.GetWorkers() < 1 || req.GetWorkers() > maxGangWorkers || req.GetAcceleratorsPerWorker() < 1 || req.GetDeclared().AsDuration() <= 0 {
		return "", errkind.Invalid.New(fmt.Sprintf("request 1 to %d workers with at least 1 accelerator each, and a declared run time above 0", maxGangWorkers), "the number of workers, the accelerators or the declared run time of the gang is out of range")
	}
	var suitable []string
	for _, guarantee := range current.Organisations[req.GetOrganisation()].GetGuarantees() {
		if guarantee.GetWorkers() >= req.GetWorkers() && guarantee.GetAcceleratorsPerWorker() >= req.GetAcceleratorsPerWorker() {
			suitable = append(suitable, guarantee.GetZone())
		}
	}
	if ownZone, ok := current.Zones[h.Settings.GetZone()]; !ok || fits(ownZone, req) {
		suitable = append(suitable, h.Settings.GetZone())
	}
	if zone := h.firstOpen(suitable); zone != "" {
		return zone, nil
	}
	for name, zone := range current.Zones {
		if fits(zone, req) {
			suitable = append(suitable, name)
		}
	}
	if zone := h.firstOpen(suitable); zone != "" {
		return zone, nil
	}
	if len(suitable) > 0 {
		return suitable[0], nil
	}
	return "", errkind.Invalid.New("request fewer workers or accelerators", "no zone has %d workers with %d accelerators each, even when idle", req.GetWorkers(), req.GetAcceleratorsPerWorker())
}

// firstOpen returns the first zone that is not cordoned, or an empty string.
func (h *Host) firstOpen(zones []string) string {
	for _, zone := range zones {
		if h.zones.Cordon(zone) == nil {
			return zone
		}
	}
	return ""
}

// fits reports whether the requested workers fit a zone in which nothing runs.
func fits(zone *wire.Zone, req *wire.WorkRequest) bool {
	var workers []*placement.Worker
	for i := range int(zone.GetWorkers()) {
		workers = append(workers, &placement.Worker{
			Name: fmt.Sprintf("%06d", i), Rack: i / max(1, int(zone.GetWorkersPerRack())),
			Slots: make([]placement.Slot, zone.GetAcceleratorsPerWorker()),
		})
	}
	return placement.New(workers).FitsWhenIdle(placement.Request{
		Organisation: req.GetOrganisation(), Workers: int(req.GetWorkers()), PerWorker: int(req.GetAcceleratorsPerWorker()), Preemptible: true,
	})
}

// cancel ends a job that has not ended, or a request that has not been dispatched. Errors:
// Conflict for a request that this host cannot cancel, and those of cancelJob.
func (h *Host) cancel(ctx context.Context, ticket string) (*wire.WorkResponse, error) {
	if strings.Contains(ticket, zoneSeparator) {
		return h.cancelJob(ctx, ticket)
	}
	if h.dispatcher.Cancel(ticket) {
		return h.locate(ctx, ticket, 0), nil
	}
	return nil, errkind.Conflict.New("poll the ticket; a request can be cancelled only on the host that issued the ticket, before it is sent to a runner", "Host.cancel: request %s cannot be cancelled", ticket)
}

// cancelJob ends a waiting job with one write. A job that is being started or runs is flagged,
// and its planner stops it. Errors: NotFound if there is no such job, which then never runs, and
// those of the store.
func (h *Host) cancelJob(ctx context.Context, id string) (*wire.WorkResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for {
		found, err := h.store.Get(ctx, store.Serving, planner.JobKey(id))
		if err != nil {
			return nil, err
		}
		if found.GetRevision() == 0 {
			if appeared, err := h.cancelUnrecorded(ctx, id); !appeared {
				return nil, err
			}
			continue
		}
		record := &wire.JobRecord{}
		if err := proto.Unmarshal(found.GetValue(), record); err != nil {
			return nil, errkind.NotFound.New("check the ticket", "Host.cancelJob: the record of job %s is not readable: %v", id, err)
		}
		if planner.Ended(record.GetState()) || record.GetCancelled() {
			return jobResponse(id, found, nil), nil
		}
		record.Cancelled = true
		if record.GetState() == wire.JobState_JOB_STATE_WAITING {
			record.State, record.Ended, record.Reason = wire.JobState_JOB_STATE_CANCELLED, timestamppb.Now(), "it was cancelled before it started"
		}
		result, err := h.putJob(ctx, record, found.GetRevision())
		if err != nil {
			return nil, err
		}
		if result.Applied {
			return jobResponse(id, result.Current, nil), nil
		}
	}
}

// cancelUnrecorded writes a record for a job that has none, because its submission may be carried
// out late and must then have no effect. It reports whether a record has appeared meanwhile; if not,
// the error is NotFound or that of the store.
func (h *Host) cancelUnrecorded(ctx context.Context, id string) (appeared bool, err error) {
	if !h.mayHaveIssued(id) {
		return false, errkind.NotFound.New("check the ticket", "Host.cancelUnrecorded: no host has issued the ticket %s", id)
	}
	zone, _, _ := strings.Cut(id, zoneSeparator)
	result, err := h.putJob(ctx, &wire.JobRecord{
		Id: id, Zone: zone, State: wire.JobState_JOB_STATE_UNKNOWN, Cancelled: true, Ended: timestamppb.Now(),
		Reason: "it was cancelled when the store had no record of it: it ended long ago, or it never runs",
	}, 0)
	if err != nil || !result.Applied {
		return err == nil, err
	}
	h.log.WithField("job", id).Info("host: a job without a record was cancelled; a late submission of it has no effect")
	return false, errkind.NotFound.New("check the ticket", "Host.cancelUnrecorded: there is no record of job %s; it will not run", id)
}

// putJob writes a job's record if that has the expected revision in the store; 0 for none.
func (h *Host) putJob(ctx context.Context, record *wire.JobRecord, revision int64) (store.Result, error) {
	value, err := proto.Marshal(record)
	if err != nil {
		return store.Result{}, errkind.Invalid.New("report this as a defect", "Host.putJob: the record of job %s cannot be encoded: %v", record.GetId(), err)
	}
	return h.store.Put(ctx, store.Serving, &wire.PutRequest{Key: planner.JobKey(record.GetId()), Value: value, ExpectedRevision: revision})
}

// mayHaveIssued reports whether a ticket has the form of those that hosts issue for gang jobs, in a
// zone whose planner removes the records of ended jobs.
func (h *Host) mayHaveIssued(id string) bool {
	zone, rest, _ := strings.Cut(id, zoneSeparator)
	_, declared := h.configuration.Current().Zones[zone]
	return (declared || zone == h.Settings.GetZone()) && len(rest) == jobIDLength && strings.Trim(rest, jobIDAlphabet) == ""
}

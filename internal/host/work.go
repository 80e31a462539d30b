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
	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/placement"
	"github.com/eelgrasstide/eelgrasstide/internal/planner"
	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	maxGang       = 64
	maxKeyLength  = 256
	acceptTimeout = 3 * time.Second
	cancelTimeout = 3 * time.Second
)

// serve answers a caller's request of any kind.
func (h *Host) serve(ctx context.Context, req *wire.WorkRequest) *wire.WorkResponse {
	start := time.Now()
	answer := h.route(ctx, req)
	answer.Took = durationpb.New(time.Since(start))
	return answer
}

func (h *Host) route(ctx context.Context, req *wire.WorkRequest) *wire.WorkResponse {
	if err := checkRequest(req); err != nil {
		return dispatcher.Response("", outcome.NotRun{Reason: fault.Message(err), Remedy: fault.Remedy(err)})
	}
	class := h.configuration.Current().Classes[req.GetClass()]
	if class.GetKind() == wire.Kind_gang {
		return h.submitJob(ctx, req)
	}
	if owner := dispatcher.Owner(req.GetTicket()); req.GetTicket() != "" && owner != h.incarnation {
		return h.forward(ctx, owner, req)
	}
	return h.serveHere(ctx, req)
}

func checkRequest(req *wire.WorkRequest) error {
	switch {
	case req.GetOrganisation() == "" || req.GetClass() == "":
		return fault.Invalid.New("set organisation and class", "the request names no organisation or class")
	case len(req.GetKey()) > maxKeyLength:
		return fault.Invalid.New(fmt.Sprintf("use at most %d characters", maxKeyLength), "the key is too long")
	case req.GetKey() != "" && req.GetTicket() != "":
		return fault.Invalid.New("send one of them", "the request has both a key and a ticket")
	case req.GetDeadline() != nil && req.GetDeadline().AsDuration() <= 0:
		return fault.Invalid.New("allow more time", "the deadline has passed")
	}
	return nil
}

// forward hands a repeat to the host that issued the ticket. While that host
// can't be reached, nothing is run here.
func (h *Host) forward(ctx context.Context, owner string, req *wire.WorkRequest) *wire.WorkResponse {
	if address, ok := h.membership.Address(owner); ok {
		answer, err := h.peers.Host(address).Forward(ctx, req)
		if err == nil {
			return answer
		}
		h.peers.Retire()
	}
	return h.locate(ctx, req.GetTicket(), req.GetWait().AsDuration())
}

// serveHere submits a short request or a trace and waits for its end.
func (h *Host) serveHere(ctx context.Context, req *wire.WorkRequest) *wire.WorkResponse {
	ticket, out := h.dispatcher.Submit(ctx, req)
	if out != nil {
		answer := dispatcher.Response(ticket, out)
		answer.Host = h.Settings.GetName()
		return answer
	}
	answer := h.locate(ctx, ticket, h.waitOf(req))
	if ctx.Err() != nil {
		h.dispatcher.Abandoned(ticket)
	}
	return answer
}

// waitOf is how long the caller waits before it gets a pending ticket.
func (h *Host) waitOf(req *wire.WorkRequest) time.Duration {
	if req.GetWait() != nil {
		return req.GetWait().AsDuration()
	}
	if req.GetDeadline() != nil {
		return req.GetDeadline().AsDuration()
	}
	return rules.Deadline(h.configuration.Current().Classes[req.GetClass()])
}

// submitJob writes a gang job's record. Once it is in the store the job is
// accepted, and the zone's planner takes it from there.
func (h *Host) submitJob(ctx context.Context, req *wire.WorkRequest) *wire.WorkResponse {
	if strings.Contains(req.GetTicket(), ":") {
		return h.locate(ctx, req.GetTicket(), req.GetWait().AsDuration())
	}
	zone, err := h.chooseZone(req)
	if err != nil {
		return dispatcher.Response("", outcome.NotRun{Reason: fault.Message(err), Remedy: fault.Remedy(err)})
	}
	id := zone + ":" + strings.ToLower(rand.Text()[:16])
	if req.GetKey() != "" {
		holder, claimed, refused := h.dispatcher.Claim(ctx, id, req)
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
	value, err := proto.Marshal(record)
	if err != nil {
		return outcome.NotRun{Reason: err.Error(), Remedy: "report this as a defect"}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	_, err = h.store.Put(ctx, store.Serving, &wire.PutRequest{Key: planner.JobKey(record.GetId()), Value: value})
	switch {
	case err == nil:
		return nil
	case fault.Ambiguous.Is(err):
		return outcome.Unknown{Reason: "the platform's store lost its answer; poll the ticket to learn whether the job was accepted"}
	}
	return outcome.NotRun{Reason: "the platform's store accepts no writes", Remedy: "try again later", RetryAfter: time.Second}
}

// chooseZone takes the zone of a guarantee that covers the shape, else this
// host's zone, else any zone that can hold it. Errors are Invalid.
func (h *Host) chooseZone(req *wire.WorkRequest) (string, error) {
	held := h.configuration.Current()
	if _, ok := held.Permits(req.GetOrganisation(), req.GetClass()); !ok {
		return "", fault.Invalid.New("ask an operator for a rule, or correct the names", "no rule ties organisation %q to class %q", req.GetOrganisation(), req.GetClass())
	}
	if req.GetWorkers() < 1 || req.GetWorkers() > maxGang || req.GetAcceleratorsPerWorker() < 1 || req.GetDeclared().AsDuration() <= 0 {
		return "", fault.Invalid.New(fmt.Sprintf("ask for 1 to %d workers, at least 1 accelerator each, and a declared run time", maxGang), "the shape of the gang is not valid")
	}
	for _, guarantee := range held.Organisations[req.GetOrganisation()].GetGuarantees() {
		if guarantee.GetWorkers() >= req.GetWorkers() && guarantee.GetAcceleratorsPerWorker() >= req.GetAcceleratorsPerWorker() {
			return guarantee.GetZone(), nil
		}
	}
	if own, ok := held.Zones[h.Settings.GetZone()]; !ok || fits(own, req) {
		return h.Settings.GetZone(), nil
	}
	for name, zone := range held.Zones {
		if fits(zone, req) {
			return name, nil
		}
	}
	return "", fault.Invalid.New("ask for fewer workers or accelerators", "no zone has %d workers with %d accelerators each, even when idle", req.GetWorkers(), req.GetAcceleratorsPerWorker())
}

// fits reports whether an idle zone holds the shape.
func fits(zone *wire.Zone, req *wire.WorkRequest) bool {
	var workers []*placement.Worker
	for i := range int(zone.GetWorkers()) {
		workers = append(workers, &placement.Worker{
			Name: fmt.Sprintf("%06d", i), Rack: i / max(1, int(zone.GetWorkersPerRack())),
			Slots: make([]placement.Slot, zone.GetAcceleratorsPerWorker()),
		})
	}
	return placement.New(workers).Possible(placement.Request{
		Organisation: req.GetOrganisation(), Workers: int(req.GetWorkers()), PerWorker: int(req.GetAcceleratorsPerWorker()), Movable: true,
	})
}

// cancel ends work that has not ended yet.
func (h *Host) cancel(ctx context.Context, ticket string) (*wire.WorkResponse, error) {
	if strings.Contains(ticket, ":") {
		return h.cancelJob(ctx, ticket)
	}
	if h.dispatcher.Cancel(ticket) {
		return h.locate(ctx, ticket, 0), nil
	}
	return nil, fault.Conflict.New("poll the ticket; cancel on the host that issued it, before the request is at a runner", "Host.cancel: %s can't be cancelled", ticket)
}

// cancelJob ends a waiting job with one write, and flags a running one for its planner.
func (h *Host) cancelJob(ctx context.Context, id string) (*wire.WorkResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for {
		found, err := h.store.Get(ctx, store.Serving, planner.JobKey(id))
		if err != nil {
			return nil, err
		}
		record := &wire.JobRecord{}
		if found.GetRevision() == 0 || proto.Unmarshal(found.GetValue(), record) != nil {
			return nil, fault.NotFound.New("check the ticket", "Host.cancelJob: there is no job %s", id)
		}
		if planner.Ended(record.GetState()) || record.GetCancelled() {
			return jobResponse(id, found, nil), nil
		}
		record.Cancelled = true
		if record.GetState() == wire.JobState_JOB_STATE_WAITING {
			record.State, record.Ended, record.Reason = wire.JobState_JOB_STATE_CANCELLED, timestamppb.Now(), "it was cancelled before it started"
		}
		value, err := proto.Marshal(record)
		if err != nil {
			return nil, err
		}
		result, err := h.store.Put(ctx, store.Serving, &wire.PutRequest{Key: planner.JobKey(id), Value: value, ExpectedRevision: found.GetRevision()})
		if err != nil {
			return nil, err
		}
		if result.Applied {
			return jobResponse(id, result.Current, nil), nil
		}
	}
}

// Package worker is a stand-in of a worker: accelerators that run tasks under
// leases and refuse orders of an older epoch.
package worker

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/standin/faults"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Worker implements wire.Worker. Set the fields before use.
type Worker struct {
	Name         string
	Zone         string
	Rack         int
	Accelerators int
	Cores        int
	MemoryMB     int64
	Faults       *faults.Faults

	mu    sync.Mutex
	epoch int64
	tasks map[string]*task
}

type task struct {
	*wire.Task
	expires time.Time
	runTime time.Duration
}

func taskKey(job string, attempt int32) string { return fmt.Sprintf("%s/%d", job, attempt) }

// settle ends tasks whose time or lease is over.
func (w *Worker) settle(now time.Time) {
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	for _, held := range w.tasks {
		switch held.GetState() {
		case wire.TaskState_TASK_STATE_RUNNING:
			end := held.GetStarted().AsTime().Add(held.runTime)
			switch {
			case end.Before(held.expires) && !now.Before(end):
				held.State = wire.TaskState_TASK_STATE_DONE
			case now.After(held.expires):
				held.State = wire.TaskState_TASK_STATE_LAPSED
			}
		case wire.TaskState_TASK_STATE_RESERVED:
			if now.After(held.expires) {
				held.State = wire.TaskState_TASK_STATE_LAPSED
			}
		}
	}
}

func holds(state wire.TaskState) bool {
	return state == wire.TaskState_TASK_STATE_RESERVED || state == wire.TaskState_TASK_STATE_RUNNING
}

// admit fences orders of an older epoch.
func (w *Worker) admit(epoch int64) wire.WorkerRefusal {
	w.settle(time.Now())
	if epoch < w.epoch {
		return wire.WorkerRefusal_WORKER_REFUSAL_STALE_EPOCH
	}
	w.epoch = epoch
	return wire.WorkerRefusal_WORKER_REFUSAL_UNSPECIFIED
}

func refuse(refusal wire.WorkerRefusal) (*wire.WorkerResponse, error) {
	return &wire.WorkerResponse{Refusal: refusal}, nil
}

// Reserve implements wire.Worker.
func (w *Worker) Reserve(_ context.Context, req *wire.ReserveRequest) (*wire.WorkerResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.admit(req.GetEpoch()); refusal != 0 {
		return refuse(refusal)
	}
	if w.Faults.Now().GetLeaving() {
		return refuse(wire.WorkerRefusal_WORKER_REFUSAL_LEAVING)
	}
	key := taskKey(req.GetJob(), req.GetAttempt())
	if held, ok := w.tasks[key]; ok {
		return &wire.WorkerResponse{Applied: holds(held.GetState()), Task: proto.Clone(held.Task).(*wire.Task)}, nil
	}
	if w.inUse(req.GetAccelerators()) {
		return refuse(wire.WorkerRefusal_WORKER_REFUSAL_IN_USE)
	}
	held := &task{
		Task: &wire.Task{
			Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember(), Accelerators: req.GetAccelerators(),
			State: wire.TaskState_TASK_STATE_RESERVED, Cores: req.GetCores(), MemoryMb: req.GetMemoryMb(),
		},
		expires: time.Now().Add(req.GetTtl().AsDuration()), runTime: req.GetRunTime().AsDuration(),
	}
	w.tasks[key] = held
	return &wire.WorkerResponse{Applied: true, Task: proto.Clone(held.Task).(*wire.Task)}, nil
}

func (w *Worker) inUse(wanted []int32) bool {
	for _, held := range w.tasks {
		if !holds(held.GetState()) {
			continue
		}
		for _, index := range wanted {
			if slices.Contains(held.GetAccelerators(), index) {
				return true
			}
		}
	}
	return false
}

// Start implements wire.Worker. Only a reserved task starts, so it starts once.
func (w *Worker) Start(_ context.Context, req *wire.TaskRequest) (*wire.WorkerResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.admit(req.GetEpoch()); refusal != 0 {
		return refuse(refusal)
	}
	held, ok := w.tasks[taskKey(req.GetJob(), req.GetAttempt())]
	if !ok {
		return refuse(wire.WorkerRefusal_WORKER_REFUSAL_NO_TASK)
	}
	if held.GetState() == wire.TaskState_TASK_STATE_RESERVED {
		held.State, held.Started = wire.TaskState_TASK_STATE_RUNNING, timestamppb.Now()
		held.expires = time.Now().Add(req.GetTtl().AsDuration())
		if w.Faults.Now().GetFailAll() {
			held.State, held.Message = wire.TaskState_TASK_STATE_FAILED, "the worker fails everything"
		}
	}
	return &wire.WorkerResponse{Applied: held.GetState() == wire.TaskState_TASK_STATE_RUNNING, Task: proto.Clone(held.Task).(*wire.Task)}, nil
}

// Renew implements wire.Worker.
func (w *Worker) Renew(_ context.Context, req *wire.RenewRequest) (*wire.WorkerStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := &wire.WorkerStatus{
		Name: w.Name, Zone: w.Zone, Rack: int32(w.Rack), Accelerators: int32(w.Accelerators), Cores: int32(w.Cores),
		MemoryMb: w.MemoryMB, Leaving: w.Faults.Now().GetLeaving(),
	}
	out.Refusal = w.admit(req.GetEpoch())
	out.Epoch = w.epoch
	if out.Refusal == 0 {
		for _, renewal := range req.GetTasks() {
			held, ok := w.tasks[taskKey(renewal.GetJob(), renewal.GetAttempt())]
			if ok && holds(held.GetState()) {
				held.expires = time.Now().Add(renewal.GetTtl().AsDuration())
			}
		}
	}
	for _, held := range w.tasks {
		out.Tasks = append(out.Tasks, proto.Clone(held.Task).(*wire.Task))
	}
	return out, nil
}

// Tasks returns what the worker holds now, for checks.
func (w *Worker) Tasks() []*wire.Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(time.Now())
	var out []*wire.Task
	for _, held := range w.tasks {
		out = append(out, proto.Clone(held.Task).(*wire.Task))
	}
	return out
}

// Stop implements wire.Worker. A task that has ended is forgotten; one that holds
// accelerators gives them up and is reported until a second Stop.
func (w *Worker) Stop(_ context.Context, req *wire.StopRequest) (*wire.WorkerResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.admit(req.GetEpoch()); refusal != 0 {
		return refuse(refusal)
	}
	key := taskKey(req.GetJob(), req.GetAttempt())
	held, ok := w.tasks[key]
	if !ok {
		return refuse(wire.WorkerRefusal_WORKER_REFUSAL_NO_TASK)
	}
	switch {
	case !holds(held.GetState()):
		delete(w.tasks, key)
	case req.GetCheckpoint():
		held.State = wire.TaskState_TASK_STATE_CHECKPOINTED
	default:
		held.State = wire.TaskState_TASK_STATE_STOPPED
	}
	return &wire.WorkerResponse{Applied: true, Task: proto.Clone(held.Task).(*wire.Task)}, nil
}

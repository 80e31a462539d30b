// Package worker is a stand-in for a worker, which runs tasks on its accelerators as long as
// their leases are renewed, and refuses orders with a lower epoch than an earlier order.
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

	mu sync.Mutex
	// epoch is the highest of the orders received.
	epoch int64
	tasks map[string]*task
}

type task struct {
	*wire.Task
	// expires is the end of the lease.
	expires time.Time
	// runTime is how long the task runs once started.
	runTime time.Duration
}

func taskKey(job string, attempt int32) string { return fmt.Sprintf("%s/%d", job, attempt) }

// updateTasks ends the tasks whose run time is over or whose lease has expired. The caller holds
// mu.
func (w *Worker) updateTasks(now time.Time) {
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	for _, t := range w.tasks {
		switch t.GetState() {
		case wire.TaskState_TASK_STATE_RUNNING:
			end := t.GetStarted().AsTime().Add(t.runTime)
			switch {
			case end.Before(t.expires) && !now.Before(end):
				t.State = wire.TaskState_TASK_STATE_DONE
			case now.After(t.expires):
				t.State = wire.TaskState_TASK_STATE_LAPSED
			}
		case wire.TaskState_TASK_STATE_RESERVED:
			if now.After(t.expires) {
				t.State = wire.TaskState_TASK_STATE_LAPSED
			}
		}
	}
}

// holdsAccelerators reports whether a task in this state occupies its accelerators.
func holdsAccelerators(state wire.TaskState) bool {
	return state == wire.TaskState_TASK_STATE_RESERVED || state == wire.TaskState_TASK_STATE_RUNNING
}

// checkEpoch updates the tasks and records the epoch of an order. It refuses an order with a
// lower epoch than an earlier one.
func (w *Worker) checkEpoch(epoch int64) wire.WorkerRefusal {
	w.updateTasks(time.Now())
	if epoch < w.epoch {
		return wire.WorkerRefusal_WORKER_REFUSAL_STALE_EPOCH
	}
	w.epoch = epoch
	return wire.WorkerRefusal_WORKER_REFUSAL_UNSPECIFIED
}

func refuse(refusal wire.WorkerRefusal) (*wire.WorkerResponse, error) {
	return &wire.WorkerResponse{Refusal: refusal}, nil
}

// Reserve implements wire.Worker. A repeated order returns the task that the first one reserved.
func (w *Worker) Reserve(_ context.Context, req *wire.ReserveRequest) (*wire.WorkerResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.checkEpoch(req.GetEpoch()); refusal != 0 {
		return refuse(refusal)
	}
	if w.Faults.Current().GetLeaving() {
		return refuse(wire.WorkerRefusal_WORKER_REFUSAL_LEAVING)
	}
	key := taskKey(req.GetJob(), req.GetAttempt())
	if t, ok := w.tasks[key]; ok {
		return &wire.WorkerResponse{Applied: holdsAccelerators(t.GetState()), Task: proto.Clone(t.Task).(*wire.Task)}, nil
	}
	if w.inUse(req.GetAccelerators()) {
		return refuse(wire.WorkerRefusal_WORKER_REFUSAL_IN_USE)
	}
	t := &task{
		Task: &wire.Task{
			Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember(), Accelerators: req.GetAccelerators(),
			State: wire.TaskState_TASK_STATE_RESERVED, Cores: req.GetCores(), MemoryMb: req.GetMemoryMb(),
		},
		expires: time.Now().Add(req.GetTtl().AsDuration()), runTime: req.GetRunTime().AsDuration(),
	}
	w.tasks[key] = t
	return &wire.WorkerResponse{Applied: true, Task: proto.Clone(t.Task).(*wire.Task)}, nil
}

func (w *Worker) inUse(accelerators []int32) bool {
	for _, t := range w.tasks {
		if !holdsAccelerators(t.GetState()) {
			continue
		}
		for _, index := range accelerators {
			if slices.Contains(t.GetAccelerators(), index) {
				return true
			}
		}
	}
	return false
}

// Start implements wire.Worker. Only a reserved task starts, so a repeated order does not start
// it again.
func (w *Worker) Start(_ context.Context, req *wire.TaskRequest) (*wire.WorkerResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.checkEpoch(req.GetEpoch()); refusal != 0 {
		return refuse(refusal)
	}
	t, ok := w.tasks[taskKey(req.GetJob(), req.GetAttempt())]
	if !ok {
		return refuse(wire.WorkerRefusal_WORKER_REFUSAL_NO_TASK)
	}
	if t.GetState() == wire.TaskState_TASK_STATE_RESERVED {
		t.State, t.Started = wire.TaskState_TASK_STATE_RUNNING, timestamppb.Now()
		t.expires = time.Now().Add(req.GetTtl().AsDuration())
		if w.Faults.Current().GetFailAll() {
			t.State, t.Message = wire.TaskState_TASK_STATE_FAILED, "Worker.Start: a fault switch makes every task fail"
		}
	}
	return &wire.WorkerResponse{Applied: t.GetState() == wire.TaskState_TASK_STATE_RUNNING, Task: proto.Clone(t.Task).(*wire.Task)}, nil
}

// Renew implements wire.Worker. It returns all tasks even if the epoch is refused.
func (w *Worker) Renew(_ context.Context, req *wire.RenewRequest) (*wire.WorkerStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := &wire.WorkerStatus{
		Name: w.Name, Zone: w.Zone, Rack: int32(w.Rack), Accelerators: int32(w.Accelerators), Cores: int32(w.Cores),
		MemoryMb: w.MemoryMB, Leaving: w.Faults.Current().GetLeaving(),
	}
	out.Refusal = w.checkEpoch(req.GetEpoch())
	out.Epoch = w.epoch
	if out.Refusal == 0 {
		for _, renewal := range req.GetTasks() {
			t, ok := w.tasks[taskKey(renewal.GetJob(), renewal.GetAttempt())]
			if ok && holdsAccelerators(t.GetState()) {
				t.expires = time.Now().Add(renewal.GetTtl().AsDuration())
			}
		}
	}
	for _, t := range w.tasks {
		out.Tasks = append(out.Tasks, proto.Clone(t.Task).(*wire.Task))
	}
	return out, nil
}

// CurrentTasks returns the tasks that the worker reports now. It is for tests.
func (w *Worker) CurrentTasks() []*wire.Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateTasks(time.Now())
	var out []*wire.Task
	for _, t := range w.tasks {
		out = append(out, proto.Clone(t.Task).(*wire.Task))
	}
	return out
}

// Stop implements wire.Worker. A task that has ended is forgotten. One that occupies accelerators
// releases them, and is reported as stopped or checkpointed until a second Stop.
func (w *Worker) Stop(_ context.Context, req *wire.StopRequest) (*wire.WorkerResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.checkEpoch(req.GetEpoch()); refusal != 0 {
		return refuse(refusal)
	}
	key := taskKey(req.GetJob(), req.GetAttempt())
	t, ok := w.tasks[key]
	if !ok {
		return refuse(wire.WorkerRefusal_WORKER_REFUSAL_NO_TASK)
	}
	switch {
	case !holdsAccelerators(t.GetState()):
		delete(w.tasks, key)
	case req.GetCheckpoint():
		t.State = wire.TaskState_TASK_STATE_CHECKPOINTED
	default:
		t.State = wire.TaskState_TASK_STATE_STOPPED
	}
	return &wire.WorkerResponse{Applied: true, Task: proto.Clone(t.Task).(*wire.Task)}, nil
}

// Package workload holds the batch jobs that callers submit: steps of tasks with
// their resources, dependencies and constraints.
package workload

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Limits of one job.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 64
	MaxTasks        = 20000
)

// Job is a submitted job.
type Job struct {
	ID           string
	Queue        string
	Organisation string
	Accepted     time.Time
	Payload      string
	Steps        []Step
	// RepeatCount is the number of occurrences of a scheduled job; 0 for a job that runs once, at once.
	RepeatCount int
	FirstDue    time.Time
	Interval    time.Duration
}

// Step is a number of tasks of one shape.
type Step struct {
	Count int
	Needs Resources
	// Estimate is the caller's rough guess of one task's duration.
	Estimate time.Duration
	// After lists the steps whose tasks must all be done first.
	After []int
	// Checkpointing tasks resume from their last checkpoint.
	Checkpointing bool
	// Gang tasks run only all together.
	Gang bool
	// SameRack tasks run several times as long when spread over racks.
	SameRack bool
	// RequiredLabel is a label that a target must carry; empty for none.
	RequiredLabel string
	// DataRack is where the step's data is; tasks elsewhere run several times as long.
	DataRack string
	// MaxPerTarget bounds the tasks of the step on one target; 0 for no bound.
	MaxPerTarget    int
	AllowDuplicates bool
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool
	// Image names the program; tasks of one image behave alike.
	Image string
	// LatencyObjective bounds the response times of a long-running task that serves users.
	LatencyObjective time.Duration
	// Fills says that the cores are not counted against a target's capacity.
	Fills bool
	// MaxUnavailable is how many tasks of the step the system may make unavailable at once.
	MaxUnavailable int
}

// Units returns how many units the scheduler starts separately: one for a gang.
func (s *Step) Units() int {
	if s.Gang {
		return 1
	}
	return s.Count
}

// Members returns the number of tasks in one unit.
func (s *Step) Members() int {
	if s.Gang {
		return s.Count
	}
	return 1
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.RepeatCount) }

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.RepeatCount == 0 {
		return j.Accepted
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// Validate reports the first mistake of a submitted job.
func (j *Job) Validate() error {
	if len(j.Payload) > MaxPayloadBytes {
		return fault.Invalid.New("shorten the payload", "Job.Validate: the payload has %d bytes of %d", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fault.Invalid.New("submit 1 to 64 steps", "Job.Validate: the job has %d steps", len(j.Steps))
	}
	tasks := 0
	for number, step := range j.Steps {
		if err := step.validate(number); err != nil {
			return err
		}
		tasks += step.Count
	}
	if tasks*j.Occurrences() > MaxTasks || j.RepeatCount < 0 || j.Interval < 0 {
		return fault.Invalid.New("split the job", "Job.Validate: %d tasks, %d occurrences", tasks, j.Occurrences())
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count < 1 || !s.Needs.valid() || s.Estimate < 0 || s.MaxPerTarget < 0 {
		return fault.Invalid.New("give a count of at least 1 and no negative amounts", "Step.validate: step %d", number)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return fault.Invalid.New("name earlier steps only", "Step.validate: step %d waits for step %d", number, earlier)
		}
	}
	return nil
}

// Record returns the job as the store holds it.
func (j *Job) Record() *wire.SubmissionRecord {
	record := &wire.SubmissionRecord{
		Id: j.ID, Queue: j.Queue, Organisation: j.Organisation, Accepted: timestamppb.New(j.Accepted), Payload: j.Payload,
		RepeatCount: int32(j.RepeatCount), Interval: durationpb.New(j.Interval),
	}
	if !j.FirstDue.IsZero() {
		record.FirstDue = timestamppb.New(j.FirstDue)
	}
	for _, step := range j.Steps {
		record.Steps = append(record.Steps, step.record())
	}
	return record
}

func (s *Step) record() *wire.StepRecord {
	after := make([]int32, len(s.After))
	for i, earlier := range s.After {
		after[i] = int32(earlier)
	}
	return &wire.StepRecord{
		Count: int32(s.Count), MilliCores: s.Needs.MilliCores, MemoryMb: s.Needs.MemoryMB, Accelerators: s.Needs.Accelerators,
		Estimate: durationpb.New(s.Estimate), After: after, Checkpointing: s.Checkpointing, Gang: s.Gang, SameRack: s.SameRack,
		RequiredLabel: s.RequiredLabel, DataRack: s.DataRack, MaxPerTarget: int32(s.MaxPerTarget), AllowDuplicates: s.AllowDuplicates,
		LongRunning: s.LongRunning, Image: s.Image, LatencyObjective: durationpb.New(s.LatencyObjective), Fills: s.Fills,
		MaxUnavailable: int32(s.MaxUnavailable),
	}
}

// FromRecord returns the job that a record holds.
func FromRecord(record *wire.SubmissionRecord) *Job {
	j := &Job{
		ID: record.GetId(), Queue: record.GetQueue(), Organisation: record.GetOrganisation(), Accepted: record.GetAccepted().AsTime(),
		Payload: record.GetPayload(), RepeatCount: int(record.GetRepeatCount()), Interval: record.GetInterval().AsDuration(),
	}
	if record.GetFirstDue() != nil {
		j.FirstDue = record.GetFirstDue().AsTime()
	}
	for _, step := range record.GetSteps() {
		j.Steps = append(j.Steps, stepFrom(step))
	}
	return j
}

func stepFrom(r *wire.StepRecord) Step {
	after := make([]int, len(r.GetAfter()))
	for i, earlier := range r.GetAfter() {
		after[i] = int(earlier)
	}
	return Step{
		Count: int(r.GetCount()), Needs: Resources{MilliCores: r.GetMilliCores(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()},
		Estimate: r.GetEstimate().AsDuration(), After: after, Checkpointing: r.GetCheckpointing(), Gang: r.GetGang(), SameRack: r.GetSameRack(),
		RequiredLabel: r.GetRequiredLabel(), DataRack: r.GetDataRack(), MaxPerTarget: int(r.GetMaxPerTarget()),
		AllowDuplicates: r.GetAllowDuplicates(), LongRunning: r.GetLongRunning(), Image: r.GetImage(),
		LatencyObjective: r.GetLatencyObjective().AsDuration(), Fills: r.GetFills(), MaxUnavailable: int(r.GetMaxUnavailable()),
	}
}

// String describes the step in the log: its size, what it asks for and how it may be placed.
func (s *Step) String() string {
	text := fmt.Sprintf("%d x %s, estimate %s", s.Count, s.Needs, s.Estimate)
	for _, trait := range []struct {
		held bool
		name string
	}{
		{s.Gang, "gang"},
		{s.SameRack, "one rack"},
		{s.Checkpointing, "checkpoints"},
		{s.AllowDuplicates, "duplicates"},
		{s.LongRunning, "long-running"},
		{s.Fills, "fills"},
		{s.RequiredLabel != "", "label " + s.RequiredLabel},
		{s.DataRack != "", "data in " + s.DataRack},
		{s.Image != "", "image " + s.Image},
		{s.MaxPerTarget > 0, fmt.Sprintf("at most %d on a target", s.MaxPerTarget)},
		{s.MaxUnavailable > 0, fmt.Sprintf("at most %d unavailable", s.MaxUnavailable)},
		{len(s.After) > 0, fmt.Sprintf("after %v", s.After)},
	} {
		if trait.held {
			text += ", " + trait.name
		}
	}
	return text
}

// Counted returns what one task takes of a target's capacity.
func (s *Step) Counted() Resources {
	counted := s.Needs
	if s.Fills {
		counted.MilliCores = 0
	}
	return counted
}

// defaultEstimate stands for a task whose caller gave no estimate.
const defaultEstimate = 5 * time.Second

// Nominal returns the estimated duration of one task.
func (s *Step) Nominal() time.Duration {
	if s.Estimate <= 0 {
		return defaultEstimate
	}
	return s.Estimate
}

// Package workload defines the batch jobs that callers submit: steps of equal tasks with
// their resources, dependencies and placement constraints.
package workload

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/terms"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Limits of one job.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 64
	// MaxTasks limits the tasks of all occurrences together.
	MaxTasks = 20000
	// MaxAmount limits an amount of a resource, so that no sum over MaxTasks tasks overflows.
	MaxAmount = 1_000_000_000
	// MaxTime limits an estimate and an objective, so that no sum over MaxSteps steps overflows.
	MaxTime = 30 * 24 * time.Hour
	// maxSpan limits the time between the first and the last occurrence, and maxWork the estimates along the
	// steps of all occurrences together.
	maxSpan = 10 * 365 * 24 * time.Hour
	maxWork = 10 * maxSpan
	// maxYear is the latest year of a start; records hold times up to the year 9999.
	maxYear = 9000
)

// Job is a submitted job.
type Job struct {
	ID           string
	Queue        string
	Organisation string
	Accepted     time.Time
	// AcceptedTerms are those of the queue when the job was accepted.
	AcceptedTerms terms.Terms
	// Payload is sent to the target with each start of a task.
	Payload string
	Steps   []Step
	// RepeatCount is the number of occurrences of a scheduled job. It is 0 for a job that runs
	// once, as soon as possible.
	RepeatCount int
	// FirstDue is when the first occurrence may start; each later one is due an Interval after
	// the one before it. Both are ignored if RepeatCount is 0.
	FirstDue time.Time
	Interval time.Duration
}

// Step is a group of tasks with the same needs and constraints.
type Step struct {
	Count int
	// Needs is what one task needs.
	Needs Resources
	// Estimate is the caller's rough estimate of one task's duration; 0 if none was given.
	Estimate time.Duration
	// After lists the indexes of earlier steps, all tasks of which must be done before this
	// step starts.
	After []int
	// Checkpointing means that a restarted task resumes from its last checkpoint.
	Checkpointing bool
	// Gang means that all tasks of the step must run at the same time.
	Gang bool
	// SameRack means that tasks run several times as long when they are spread over racks.
	SameRack bool
	// RequiredLabel is a label that a target must have; empty if any target will do.
	RequiredLabel string
	// DataRack is the rack that holds the step's data; tasks in other racks run several times
	// as long. It is empty if there is none.
	DataRack string
	// MaxPerTarget limits the tasks of the step on one target; 0 means no limit.
	MaxPerTarget int
	// AllowDuplicates, Image, LatencyObjective and MaxUnavailable are kept in the job's
	// record; the scheduler does not use them.
	AllowDuplicates bool
	// LongRunning means that tasks run until the job is cancelled and are restarted whatever
	// the outcome of a run.
	LongRunning bool
	// Image names the program; tasks with the same image behave alike.
	Image string
	// LatencyObjective is the upper limit for the response times of a long-running task that
	// serves users.
	LatencyObjective time.Duration
	// Fills means that the step's cores are not counted against a target's capacity; memory
	// and accelerators are.
	Fills bool
	// MaxUnavailable is how many tasks of the step may be made unavailable at once.
	MaxUnavailable int
}

// Units returns the number of units that the scheduler starts separately: one for a gang,
// otherwise one for each task.
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

// Occurrences returns how often the job's steps run; at least 1.
func (j *Job) Occurrences() int { return max(1, j.RepeatCount) }

// Due returns when an occurrence, counted from 0, may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.RepeatCount == 0 {
		return j.Accepted
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// MaxAccelerators returns the largest number of accelerators that any one step of the job needs.
func (j *Job) MaxAccelerators() int64 {
	most := int64(0)
	for i := range j.Steps {
		most = max(most, int64(j.Steps[i].Count)*j.Steps[i].Needs.Accelerators)
	}
	return most
}

// CriticalPath returns the length of the longest chain of dependent steps, by the caller's estimates.
func (j *Job) CriticalPath() time.Duration {
	longest, ends := time.Duration(0), make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, earlier := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += j.Steps[i].EstimatedDuration()
		longest = max(longest, ends[i])
	}
	return longest
}

// Validate returns an Invalid error for the first invalid value in a submitted job.
func (j *Job) Validate() error {
	if len(j.Payload) > MaxPayloadBytes {
		return errkind.Invalid.New("shorten the payload", "Job.Validate: the payload has %d bytes, but at most %d are allowed", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errkind.Invalid.New("submit 1 to 64 steps", "Job.Validate: the job has %d steps, but 1 to 64 are allowed", len(j.Steps))
	}
	tasks := 0
	for number, step := range j.Steps {
		if err := step.validate(number); err != nil {
			return err
		}
		tasks += step.Count
	}
	if j.RepeatCount > MaxTasks || tasks*j.Occurrences() > MaxTasks || j.RepeatCount < 0 || j.Interval < 0 {
		return errkind.Invalid.New("split the job, and give no negative repeat count or interval", "Job.Validate: the job has %d tasks in each of %d occurrences, but at most 20000 tasks in all and no negative repeat count or interval are allowed", tasks, j.Occurrences())
	}
	if j.RepeatCount > 0 && (j.Interval > maxSpan/time.Duration(j.RepeatCount) || j.FirstDue.Before(time.Unix(0, 0)) || j.FirstDue.Year() > maxYear) {
		return errkind.Invalid.New("give a start between the years 1970 and 9000, and a shorter interval", "Job.Validate: got %d occurrences from %s with an interval of %s, but the last has to be due within ten years of the first", j.RepeatCount, j.FirstDue, j.Interval)
	}
	if path := j.CriticalPath(); path > maxWork/time.Duration(j.Occurrences()) {
		return errkind.Invalid.New("split the job", "Job.Validate: the steps of an occurrence take %s by their estimates, but at most 100 years are allowed in all %d occurrences", path, j.Occurrences())
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count < 1 || !s.Needs.valid() || s.Estimate < 0 || s.MaxPerTarget < 0 {
		return errkind.Invalid.New("give a count of at least 1 and no negative amounts", "Step.validate: step %d has a count below 1 or a negative amount", number)
	}
	for _, amount := range []struct {
		name         string
		value, limit int64
	}{
		{"count", int64(s.Count), MaxTasks},
		{"processors", s.Needs.MilliCores, MaxAmount},
		{"memory", s.Needs.MemoryMB, MaxAmount},
		{"accelerators", s.Needs.Accelerators, MaxAmount},
		{"estimate", int64(s.Estimate), int64(MaxTime)},
		{"latency objective", int64(s.LatencyObjective), int64(MaxTime)},
		{"limit of tasks on one target", int64(s.MaxPerTarget), MaxAmount},
		{"limit of unavailable tasks", int64(s.MaxUnavailable), MaxAmount},
		{"number of steps before it", int64(len(s.After)), MaxSteps},
	} {
		if amount.value > amount.limit || amount.value < -amount.limit {
			return errkind.Invalid.New("give a smaller value", "Step.validate: the %s of step %d is %d, but at most %d is allowed", amount.name, number, amount.value, amount.limit)
		}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return errkind.Invalid.New("name earlier steps only", "Step.validate: step %d comes after step %d, which is not an earlier step", number, earlier)
		}
	}
	return nil
}

// Record returns the record of the job in the store.
func (j *Job) Record() *wire.SubmissionRecord {
	record := &wire.SubmissionRecord{
		Id: j.ID, Queue: j.Queue, Organisation: j.Organisation, Accepted: timestamppb.New(j.Accepted), Payload: j.Payload,
		RepeatCount: int32(j.RepeatCount), Interval: durationpb.New(j.Interval),
	}
	if !j.FirstDue.IsZero() {
		record.FirstDue = timestamppb.New(j.FirstDue)
	}
	if j.AcceptedTerms.Version > 0 {
		record.Terms = j.AcceptedTerms.Record()
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

// FromRecord returns the job that a record of the store describes.
func FromRecord(record *wire.SubmissionRecord) *Job {
	j := &Job{
		ID: record.GetId(), Queue: record.GetQueue(), Organisation: record.GetOrganisation(), Accepted: record.GetAccepted().AsTime(),
		Payload: record.GetPayload(), RepeatCount: int(record.GetRepeatCount()), Interval: record.GetInterval().AsDuration(),
		AcceptedTerms: terms.FromRecord(record.GetTerms()),
	}
	if record.GetFirstDue() != nil {
		j.FirstDue = record.GetFirstDue().AsTime()
	}
	for _, step := range record.GetSteps() {
		j.Steps = append(j.Steps, stepFromRecord(step))
	}
	return j
}

func stepFromRecord(record *wire.StepRecord) Step {
	after := make([]int, len(record.GetAfter()))
	for i, earlier := range record.GetAfter() {
		after[i] = int(earlier)
	}
	return Step{
		Count: int(record.GetCount()), Needs: Resources{MilliCores: record.GetMilliCores(), MemoryMB: record.GetMemoryMb(), Accelerators: record.GetAccelerators()},
		Estimate: record.GetEstimate().AsDuration(), After: after, Checkpointing: record.GetCheckpointing(), Gang: record.GetGang(), SameRack: record.GetSameRack(),
		RequiredLabel: record.GetRequiredLabel(), DataRack: record.GetDataRack(), MaxPerTarget: int(record.GetMaxPerTarget()),
		AllowDuplicates: record.GetAllowDuplicates(), LongRunning: record.GetLongRunning(), Image: record.GetImage(),
		LatencyObjective: record.GetLatencyObjective().AsDuration(), Fills: record.GetFills(), MaxUnavailable: int(record.GetMaxUnavailable()),
	}
}

// String describes the step for the log: its size, needs and constraints.
func (s *Step) String() string {
	text := fmt.Sprintf("%d x %s, estimate %s", s.Count, s.Needs, s.Estimate)
	for _, property := range []struct {
		applies bool
		name    string
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
		if property.applies {
			text += ", " + property.name
		}
	}
	return text
}

// CapacityUse returns the resources that one task is counted with against a target's capacity.
func (s *Step) CapacityUse() Resources {
	counted := s.Needs
	if s.Fills {
		counted.MilliCores = 0
	}
	return counted
}

// defaultEstimate is used for tasks whose caller gave no estimate.
const defaultEstimate = 5 * time.Second

// EstimatedDuration returns the caller's estimate of one task's duration, or defaultEstimate if
// there is none.
func (s *Step) EstimatedDuration() time.Duration {
	if s.Estimate <= 0 {
		return defaultEstimate
	}
	return s.Estimate
}

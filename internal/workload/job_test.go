package workload_test

import (
	"math"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Guards against: one accepted job overflows the planner's sums, or has more tasks than the limit because
// the product of tasks and occurrences overflows.
func TestValidateBoundsTheNumbersOfAJob(t *testing.T) {
	valid := func() *workload.Job {
		return &workload.Job{
			Steps:       []workload.Step{{Count: 2, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second}, {Count: 1, After: []int{0}}},
			RepeatCount: 2, FirstDue: time.Unix(1e9, 0), Interval: time.Hour,
		}
	}
	if err := valid().Validate(); err != nil {
		t.Errorf("a valid job: have %v, want no error", err)
	}
	for name, change := range map[string]func(*workload.Job){
		"tasks":             func(j *workload.Job) { j.Steps[0].Count = workload.MaxTasks + 1 },
		"tasks and repeats": func(j *workload.Job) { j.Steps[0].Count, j.RepeatCount = 1<<32-1, 1<<32 },
		"repeats":           func(j *workload.Job) { j.RepeatCount = math.MaxInt },
		"processors":        func(j *workload.Job) { j.Steps[0].Needs.MilliCores = math.MaxInt64 },
		"memory":            func(j *workload.Job) { j.Steps[0].Needs.MemoryMB = math.MaxInt64 },
		"accelerators":      func(j *workload.Job) { j.Steps[0].Needs.Accelerators = math.MaxInt64 },
		"estimate":          func(j *workload.Job) { j.Steps[0].Estimate = math.MaxInt64 },
		"estimates of repeats": func(j *workload.Job) {
			j.Steps[0].Estimate, j.RepeatCount, j.Interval = workload.MaxTime, workload.MaxTasks/3, time.Second
		},
		"objective":   func(j *workload.Job) { j.Steps[0].LatencyObjective = math.MaxInt64 },
		"unavailable": func(j *workload.Job) { j.Steps[0].MaxUnavailable = math.MaxInt },
		"after":       func(j *workload.Job) { j.Steps[1].After = make([]int, workload.MaxSteps+1) },
		"interval":    func(j *workload.Job) { j.Interval = math.MaxInt64 },
		"start":       func(j *workload.Job) { j.FirstDue = time.UnixMilli(math.MaxInt64) },
	} {
		job := valid()
		change(job)
		if err := job.Validate(); err == nil {
			t.Errorf("%s out of bounds: have no error, want one", name)
		}
	}
}

// Guards against: the estimates of a valid job overflow when they are added up.
func TestCriticalPathDoesNotOverflow(t *testing.T) {
	job := &workload.Job{}
	for i := range workload.MaxSteps {
		step := workload.Step{Count: 1, Estimate: workload.MaxTime}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	if err := job.Validate(); err != nil {
		t.Errorf("the largest estimates: have %v, want no error", err)
	}
	if have := job.CriticalPath(); have != workload.MaxSteps*workload.MaxTime {
		t.Errorf("CriticalPath: have %s, want %s", have, workload.MaxSteps*workload.MaxTime)
	}
}

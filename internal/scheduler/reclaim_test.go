package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// occupant is a job that uses accelerators of the fixture's target.
type occupant struct {
	organisation, queue string
	step                workload.Step
}

// reportAtWork lets target t0 list runs, with their progress.
func (f *fixture) reportAtWork(starts []scheduler.Start, percent int) {
	report := target.Report{}
	for _, s := range starts {
		report.Running = append(report.Running, target.Running{Run: s.Run, Percent: percent})
	}
	f.report(0, report)
}

// stopsForGuarantee lets occupants use the only target, submits an urgent job and returns how many runs are stopped, by
// job, until its guarantee is overdue.
func stopsForGuarantee(t *testing.T, organisation string, step workload.Step, percent int, occupants ...occupant) map[string]int {
	f := newFixture(t, 1)
	f.Limits.StopTime = 200 * time.Millisecond
	var running []scheduler.Start
	for i, o := range occupants {
		f.submitFor(o.organisation, fmt.Sprintf("occupant%d", i), o.queue, o.step)
		running = append(running, f.startAll()...)
	}
	f.advance(3 * time.Second)
	f.reportAtWork(running, percent)
	f.submitFor(organisation, "job", "urgent", step)
	stops := map[string]int{}
	for range 7 {
		for _, stop := range f.Step(f.now).Stops {
			stops[stop.Run.Task.Job]++
		}
		f.advance(100 * time.Millisecond)
	}
	return stops
}

// Guards against: a job that a guarantee covers never begins beside tasks that last; tasks that are stopped for it
// though their own organisation's guarantee covers them, though too many of their step are away, or though others
// would do.
func TestOverdueGuaranteeStopsLastingTasks(t *testing.T) {
	lasting, limited := lastingStep(8, 1), lastingStep(8, 1)
	limited.MaxUnavailable = 3
	gang := lastingStep(8, 1)
	gang.Gang = true
	limitedGang := gang
	limitedGang.MaxUnavailable = 7
	long := smallStep(8)
	long.Estimate = time.Hour
	half, halfLong := lastingStep(4, 1), long
	halfLong.Count = 4
	const none, over = "without guarantee", "small guarantee"
	for name, c := range map[string]struct {
		organisation string
		needs        int
		percent      int
		occupants    []occupant
		want         map[string]int
	}{
		"lasting tasks of lower priority":               {"o", 3, 100, []occupant{{none, "batch", lasting}}, map[string]int{"occupant0": 3}},
		"without a guarantee":                           {none, 3, 100, []occupant{{none, "batch", lasting}}, nil},
		"of the same organisation":                      {"o", 3, 100, []occupant{{"o", "batch", lasting}}, map[string]int{"occupant0": 3}},
		"of the same priority, without a guarantee":     {"o", 3, 100, []occupant{{none, "urgent", lasting}}, map[string]int{"occupant0": 3}},
		"of the same priority, guaranteed":              {"o", 3, 100, []occupant{{"guaranteed", "urgent", lasting}}, nil},
		"of the same priority, guaranteed in part":      {"o", 3, 100, []occupant{{over, "urgent", lasting}}, map[string]int{"occupant0": 3}},
		"no more than what exceeds the guarantee":       {"o", 5, 100, []occupant{{over, "urgent", lasting}}, map[string]int{"occupant0": 4}},
		"runs that end, of the same priority":           {"o", 3, 1, []occupant{{none, "urgent", long}}, map[string]int{"occupant0": 3}},
		"as many as may be away":                        {"o", 3, 100, []occupant{{none, "batch", limited}}, map[string]int{"occupant0": 3}},
		"more than may be away":                         {"o", 4, 100, []occupant{{none, "batch", limited}}, map[string]int{"occupant0": 3}},
		"others are away":                               {"o", 3, 60, []occupant{{none, "batch", limited}}, nil},
		"a gang that lasts":                             {"o", 3, 100, []occupant{{none, "batch", gang}}, map[string]int{"occupant0": 8}},
		"a gang that lasts, of which fewer may be away": {"o", 3, 100, []occupant{{none, "batch", limitedGang}}, nil},
		"others first":                                  {"o", 3, 1, []occupant{{none, "batch", half}, {none, "batch", halfLong}}, map[string]int{"occupant1": 3}},
		"others first, as far as they go":               {"o", 6, 1, []occupant{{none, "batch", half}, {none, "batch", halfLong}}, map[string]int{"occupant0": 2, "occupant1": 4}},
		"lower priorities first":                        {"o", 3, 100, []occupant{{none, "urgent", half}, {none, "batch", half}}, map[string]int{"occupant1": 3}},
	} {
		have := stopsForGuarantee(t, c.organisation, smallStep(c.needs), c.percent, c.occupants...)
		if fmt.Sprint(have) != fmt.Sprint(c.want) && len(have)+len(c.want) > 0 {
			t.Errorf("%s: have stops %v, want %v", name, have, c.want)
		}
	}
}

// Guards against: a gang, or the second step of a job, waits for good where a single task would not.
func TestGuaranteeOfGangsAndLaterSteps(t *testing.T) {
	gang := gangStep(2, 2)
	if have := stopsForGuarantee(t, "o", gang, 100, occupant{"without guarantee", "batch", lastingStep(8, 1)}); have["occupant0"] != 4 {
		t.Errorf("gang: have stops %v, want 4", have)
	}
	f := newFixture(t, 1)
	f.Limits.StopTime = 200 * time.Millisecond
	second := smallStep(3)
	second.After = []int{0}
	f.Submit(f.now, &workload.Job{ID: "job", Queue: "urgent", Organisation: "o", Accepted: f.now, Steps: []workload.Step{smallStep(1), second}})
	first := f.startAll()[0]
	f.submitFor("without guarantee", "lasting", "batch", lastingStep(7, 1))
	lasting := f.startAll()
	f.advance(2 * time.Second)
	report := target.Report{Ended: []target.Ended{{Run: first.Run, Number: 1, Outcome: target.Done}}}
	for _, s := range lasting {
		report.Running = append(report.Running, target.Running{Run: s.Run, Percent: 100})
	}
	f.report(0, report)
	if plan := f.Step(f.now); len(plan.Starts) != 1 || len(plan.Stops) != 2 {
		t.Errorf("second step: have %d starts and %d stops, want 1 in the free place and 2 for the others", len(plan.Starts), len(plan.Stops))
	}
}

// Guards against: a lasting task that was stopped for a guarantee is not restarted, or stops others in its turn.
func TestLastingTaskThatWasStoppedStartsAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.Limits.StopTime = 200 * time.Millisecond
	f.submitFor("without guarantee", "lasting", "batch", lastingStep(8, 1))
	running := f.startAll()
	f.advance(3 * time.Second)
	f.reportAtWork(running, 100)
	f.submit("job", "urgent", smallStep(3))
	f.startAll()
	f.advance(600 * time.Millisecond)
	stops := f.Step(f.now).Stops
	if len(stops) != 3 {
		t.Fatalf("have %d stops, want 3", len(stops))
	}
	stopped := map[target.Run]bool{}
	report := target.Report{}
	for i, stop := range stops {
		stopped[stop.Run] = true
		report.Ended = append(report.Ended, target.Ended{Run: stop.Run, Number: int64(i + 1), Outcome: target.Stopped})
	}
	for _, s := range running {
		if !stopped[s.Run] {
			report.Running = append(report.Running, target.Running{Run: s.Run, Percent: 100})
		}
	}
	f.report(0, report)
	started := f.startAll()
	if len(started) != 3 || started[0].Run.Task.Job != "job" {
		t.Fatalf("have starts %v, want those of the job", started)
	}
	for range 30 {
		f.advance(100 * time.Millisecond)
		if plan := f.Step(f.now); len(plan.Starts)+len(plan.Stops) > 0 {
			t.Fatalf("have starts %v and stops %v while the job runs, want none", plan.Starts, plan.Stops)
		}
	}
	report.Ended = report.Ended[:0]
	for i, s := range started {
		report.Ended = append(report.Ended, target.Ended{Run: s.Run, Number: int64(i + 4), Outcome: target.Done})
	}
	f.report(0, report)
	if again := f.startedJobs(); again["lasting"] != 3 {
		t.Errorf("have starts %v after the job, want the three lasting tasks that were stopped", again)
	}
}

// Guards against: a task that lasts is stopped although others of its step are away, on a target that no longer answers.
func TestTasksOfASilentTargetCountAsAway(t *testing.T) {
	f := newFixture(t, 2)
	f.Limits.StopTime = 200 * time.Millisecond
	step := lastingStep(16, 1)
	step.MaxUnavailable = 1
	f.submitFor("without guarantee", "lasting", "batch", step)
	atWork := map[string]target.Report{}
	for _, s := range f.startAll() {
		report := atWork[s.Target]
		report.Running = append(report.Running, target.Running{Run: s.Run, Percent: 100})
		atWork[s.Target] = report
	}
	f.advance(time.Second)
	f.report(0, atWork["t0"])
	for i := range 40 {
		f.advance(100 * time.Millisecond)
		f.RenewalSent(f.now, "t0")
		f.report(1, atWork["t1"])
		if i == 20 {
			f.submit("job", "urgent", smallStep(1))
		}
		if stops := f.Step(f.now).Stops; len(stops) > 0 {
			t.Fatalf("have stops %v with 8 tasks away for 2 s, want none", stops)
		}
	}
}

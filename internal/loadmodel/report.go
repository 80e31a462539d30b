package loadmodel

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Report says what became of a run's jobs.
type Report struct {
	Classes []ClassReport
	// Organisations holds the share of the credit owed to each organisation that was earned.
	Organisations map[string]float64
	// Worth is the share of the credit owed that was earned, over all classes.
	Worth float64
	// Wasted is the work that was thrown away, in core-seconds; an accelerator counts as 8 cores.
	Wasted float64
	// GangsBroken counts the runs of gangs that ended because a member failed or hung, and BrokenAgain those of
	// them that started on a target after a run had failed there, and broke there too.
	GangsBroken, BrokenAgain int

	begun     map[string]time.Duration
	ended     map[string]ending
	cancelled map[string]bool
}

// ClassReport is what became of the jobs of one class.
type ClassReport struct {
	Queue string
	// Jobs counts the jobs that were not cancelled: those that ended on time, late, too late to
	// earn anything, or failed; the rest had not ended.
	Jobs, OnTime, Late, TooLate, Failed int
	Worth                               float64
	// MedianWait and LongWait are the times from the submission to the first start: half and 95 of
	// 100 jobs waited no longer.
	MedianWait, LongWait time.Duration
}

type ending struct {
	at    time.Duration
	phase wire.JobPhase
}

// start records the first start of a job.
func (r *Report) start(now time.Duration, a *arrival) {
	if r.begun == nil {
		r.begun = map[string]time.Duration{}
	}
	if _, known := r.begun[a.job.ID]; !known {
		r.begun[a.job.ID] = now
	}
}

// progress records the end of a job.
func (r *Report) progress(now time.Duration, a *arrival, record *wire.ProgressRecord) {
	if r.ended == nil {
		r.ended = map[string]ending{}
	}
	_, known := r.ended[a.job.ID]
	switch record.GetPhase() {
	case wire.JobPhase_JOB_PHASE_DONE, wire.JobPhase_JOB_PHASE_FAILED, wire.JobPhase_JOB_PHASE_CANCELLED:
		if !known {
			r.ended[a.job.ID] = ending{now, record.GetPhase()}
		}
	}
}

// cancel records that a job's caller cancels it; false if the job has ended.
func (r *Report) cancel(a *arrival) bool {
	if _, known := r.ended[a.job.ID]; known {
		return false
	}
	if r.cancelled == nil {
		r.cancelled = map[string]bool{}
	}
	r.cancelled[a.job.ID] = true
	return true
}

// finishReport sums up the run.
func (m *Model) finishReport() *Report {
	m.report.GangsBroken, m.report.BrokenAgain = m.fleet.gangsBroken, m.fleet.brokenAgain
	earnedInAll, owedInAll := 0.0, 0.0
	earnedBy, owedTo := map[string]float64{}, map[string]float64{}
	for index := range m.Workload.Classes {
		class := &m.Workload.Classes[index]
		summary := ClassReport{Queue: class.Queue.Name}
		earned, owed := 0.0, 0.0
		meanWork := m.meanWork(index)
		var waits []time.Duration
		for i := range m.arrivals {
			a := &m.arrivals[i]
			if a.class != index || m.report.cancelled[a.job.ID] {
				continue
			}
			summary.Jobs++
			if begun, ok := m.report.begun[a.job.ID]; ok {
				waits = append(waits, begun-a.at)
			} else {
				waits = append(waits, m.now-a.at)
			}
			scale := 0.3 + 0.7*min(a.size()/meanWork, 5.3)
			owed += class.Worth * scale
			credit := scale * summary.count(m.report.ended, a, class)
			earned += credit
			owedTo[a.job.Organisation] += class.Worth * scale
			earnedBy[a.job.Organisation] += credit
		}
		summary.MedianWait, summary.LongWait = percentile(waits, 0.5), percentile(waits, 0.95)
		summary.Worth = earned / max(owed, 0.01)
		earnedInAll, owedInAll = earnedInAll+earned, owedInAll+owed
		m.report.Classes = append(m.report.Classes, summary)
	}
	m.report.Organisations = map[string]float64{}
	for organisation, owed := range owedTo {
		m.report.Organisations[organisation] = earnedBy[organisation] / max(owed, 0.01)
	}
	m.report.Worth = earnedInAll / max(owedInAll, 0.01)
	return &m.report
}

// size returns the job's work in core-seconds.
func (a *arrival) size() float64 {
	step := &a.job.Steps[0]
	return float64(step.Count) * float64(step.Needs.MilliCores) / 1000 * a.work.Seconds()
}

func (m *Model) meanWork(class int) float64 {
	total, count := 0.0, 0
	for i := range m.arrivals {
		if m.arrivals[i].class == class {
			total, count = total+m.arrivals[i].size(), count+1
		}
	}
	return total / float64(max(count, 1))
}

// count adds a job to the summary and returns the credit that it earned, without the factor for
// its size.
func (c *ClassReport) count(ended map[string]ending, a *arrival, class *Class) float64 {
	end, ok := ended[a.job.ID]
	if !ok {
		return 0
	}
	if end.phase != wire.JobPhase_JOB_PHASE_DONE {
		c.Failed++
		return 0
	}
	objective := time.Duration(class.Queue.StretchFactor*float64(a.work)) + class.Queue.RuntimeObjective
	switch took := end.at - a.at; {
	case took <= objective:
		c.OnTime++
		return class.Worth
	case took <= lateFactor*objective:
		c.Late++
		return class.LateWorth
	}
	c.TooLate++
	return 0
}

func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(share*float64(len(values))), len(values)-1)]
}

// String returns the report as a table.
func (r *Report) String() string {
	out := &strings.Builder{}
	fmt.Fprintf(out, "worth %.3f, thrown away %.0f core-seconds, %d runs of gangs broken, %d again\n", r.Worth, r.Wasted, r.GangsBroken, r.BrokenAgain)
	for _, c := range r.Classes {
		fmt.Fprintf(out, "%-8s jobs %4d  on time %4d  late %4d  too late %4d  failed %4d  worth %.3f  first start: half %s, 95 of 100 %s\n",
			c.Queue, c.Jobs, c.OnTime, c.Late, c.TooLate, c.Failed, c.Worth, c.MedianWait.Round(time.Millisecond), c.LongWait.Round(time.Millisecond))
	}
	return out.String()
}

package scheduler

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// releaseInterval is the resolution in which ends of runs are counted, and releaseIntervals how many
	// such intervals are looked ahead.
	releaseInterval  = 250 * time.Millisecond
	releaseIntervals = 240
	// maxExpectedWait bounds the waits that are extrapolated.
	maxExpectedWait = time.Hour
)

// amounts holds processors, memory and accelerators.
type amounts [3]float64

func amountsOf(r workload.Resources) amounts {
	return amounts{float64(r.MilliCores), float64(r.MemoryMB), float64(r.Accelerators)}
}

func (a *amounts) add(b amounts, factor float64) {
	for i := range a {
		a[i] += b[i] * factor
	}
}

// pool is the capacity of a service, and when the runs that use it are expected to end.
type pool struct {
	whole workload.Resources
	// organisations holds what each organisation uses.
	organisations map[string]workload.Resources
	// urgent are the runs of priority 0, and others those that can be stopped for it.
	urgent, others runs
}

// runs is what runs use, and how much of it becomes free in each interval from now on.
type runs struct {
	used     amounts
	releases [releaseIntervals]amounts
}

// addRun adds a task that runs and is expected to end after some time.
func (p *pool) addRun(st *step, ends time.Duration) {
	use := st.spec.CapacityUse()
	p.organisations[st.job.Organisation] = p.organisations[st.job.Organisation].Plus(use)
	to := &p.others
	if st.job.terms.Priority <= maxUrgentPriority {
		to = &p.urgent
	}
	to.used.add(amountsOf(use), 1)
	if interval := ends / releaseInterval; interval < releaseIntervals {
		to.releases[interval].add(amountsOf(use), 1)
	}
}

// demand is what waits for capacity.
type demand struct {
	amounts amounts
	// seconds holds each amount times how long it is used.
	seconds amounts
}

// add adds units of a step that can start now.
func (d *demand) add(spec *workload.Step, units int, duration time.Duration) {
	use, tasks := amountsOf(spec.CapacityUse()), float64(units*spec.Members())
	d.amounts.add(use, tasks)
	d.seconds.add(use, tasks*duration.Seconds())
}

// wait returns the time until all of a demand has been given capacity, if any free capacity can be used. Urgent
// demand may use the capacity of other runs too.
func (p *pool) wait(d *demand, urgent bool) time.Duration {
	longest := time.Duration(0)
	whole := amountsOf(p.whole)
	for i := range whole {
		free := whole[i] - p.urgent.used[i]
		if !urgent {
			free -= p.others.used[i]
		}
		if d.amounts[i] > free {
			longest = max(longest, p.waitFor(d, i, free, urgent))
		}
	}
	return longest
}

// waitFor returns that time for one of the amounts, of which some is free now. What is given to the demand
// becomes free again after its mean duration.
func (p *pool) waitFor(d *demand, i int, free float64, urgent bool) time.Duration {
	left := d.amounts[i]
	reused := int(time.Duration(d.seconds[i]/d.amounts[i]*float64(time.Second)) / releaseInterval)
	var given [releaseIntervals]float64
	for interval := range releaseIntervals {
		free += p.urgent.releases[interval][i]
		if !urgent {
			free += p.others.releases[interval][i]
		}
		if interval > reused {
			free += given[interval-reused-1]
		}
		given[interval] = min(left, max(free, 0))
		left, free = left-given[interval], free-given[interval]
		if left <= 0 {
			return time.Duration(interval) * releaseInterval
		}
	}
	ahead := releaseIntervals * releaseInterval
	if started := d.amounts[i] - left; started > 0 {
		return min(time.Duration(float64(ahead)*d.amounts[i]/started), maxExpectedWait)
	}
	return maxExpectedWait
}

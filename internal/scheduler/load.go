package scheduler

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// minReportedShare is the share of the listed targets that have to have reported before the load is known.
	// It is below the part of the targets that is left when one of three availability zones is cut off.
	minReportedShare = 0.6
	// shortageGap is the time without a digest after which shortages are no longer known to have lasted.
	shortageGap = 4 * time.Second
	// maxUrgentPriority is the highest priority number whose jobs may have runs of other jobs stopped.
	maxUrgentPriority = 0
)

// loadState is what the scheduler keeps from one digest of the load to the next.
type loadState struct {
	// largest holds, by service, the largest amount of each resource that a target has ever had.
	largest map[string]workload.Resources
	// shortSince holds, by queue, since when new jobs are expected to wait for longer than their objective.
	shortSince map[string]time.Time
	assessedAt time.Time
}

// recordCapacity records the capacity of a target that is listed.
func (l *loadState) recordCapacity(service string, capacity workload.Resources) {
	if l.largest == nil {
		l.largest = map[string]workload.Resources{}
	}
	largest := l.largest[service]
	l.largest[service] = workload.Resources{
		MilliCores: max(largest.MilliCores, capacity.MilliCores), MemoryMB: max(largest.MemoryMB, capacity.MemoryMB), Accelerators: max(largest.Accelerators, capacity.Accelerators),
	}
}

// InheritLoad takes over what a former planner's digest says of the largest targets. Those that are not
// listed at present may return.
func (s *Scheduler) InheritLoad(digest *load.Digest) {
	for name, service := range digest.Services {
		s.load.recordCapacity(name, service.Largest)
	}
}

// Load returns a digest of the load, without the planner's token and the number. Waits are lower bounds: work
// that arrives later and goes first is left out, and so is work that depends on steps that are not done.
func (s *Scheduler) Load(now time.Time) *load.Digest {
	s.initialise()
	d := &load.Digest{Queues: map[string]load.Queue{}, Organisations: map[string]load.Organisation{}, Services: map[string]load.Service{}}
	pools := s.pools(now, d)
	if s.catalogue == nil {
		return d
	}
	s.addWaitingWork(now, d)
	s.addOrganisations(d, pools)
	s.addWaits(now, d, pools)
	return d
}

// pools returns the capacity of each service with the runs that use it, and adds the services' sizes to the
// digest.
func (s *Scheduler) pools(now time.Time, d *load.Digest) map[string]*pool {
	s.beginRound()
	pools := map[string]*pool{}
	listed, reported := 0, 0
	for _, n := range s.ordered {
		if !n.listed {
			continue
		}
		listed++
		size := d.Services[n.Service]
		size.Targets++
		d.Services[n.Service] = size
		if !n.contacted {
			continue
		}
		reported++
		if n.Draining || n.unresponsive(now) || s.isCordoned(n) {
			continue
		}
		p := pools[n.Service]
		if p == nil {
			p = &pool{organisations: map[string]workload.Resources{}}
			pools[n.Service] = p
		}
		p.whole = p.whole.Plus(n.Capacity)
		for _, m := range n.sorted {
			at, ends := s.expectedEnd(now, m)
			if !ends {
				at = now.Add(releaseIntervals * releaseInterval)
			}
			p.addRun(m.unit.step, at.Sub(now))
		}
	}
	for name, largest := range s.load.largest {
		size := d.Services[name]
		size.Largest = largest
		d.Services[name] = size
	}
	d.Warm = listed > 0 && float64(reported) >= minReportedShare*float64(listed)
	return pools
}

// addWaitingWork adds the work of due steps that have no run, by queue and organisation, and what the
// guarantees are asked for.
func (s *Scheduler) addWaitingWork(now time.Time, d *load.Digest) {
	for _, j := range s.open {
		organisation := d.Organisations[j.Organisation]
		if j.terms.Priority == 0 {
			organisation.UrgentAccelerators += j.MaxAccelerators()
		}
		work := 0.0
		for _, o := range j.occurrences {
			if o.done || o.due.After(now) {
				continue
			}
			for _, st := range o.steps {
				if st.idleUnits > 0 {
					work += float64(st.idleUnits*st.spec.Members()) * s.taskDuration(st).Seconds() * s.targetShare(st.spec)
				}
			}
		}
		organisation.WaitingWork += work
		d.Organisations[j.Organisation] = organisation
		if work == 0 {
			continue
		}
		queue := d.Queues[j.Queue]
		queue.WaitingWork += work
		queue.EstimateRatio, queue.MeanWork = j.estimate.ratio, j.estimate.work
		if !j.begun {
			queue.WaitingJobs++
		}
		d.Queues[j.Queue] = queue
	}
}

// addOrganisations adds the shares that organisations use and are due. What a guarantee covers is due in any
// case.
func (s *Scheduler) addOrganisations(d *load.Digest, pools map[string]*pool) {
	accelerators := int64(0)
	for _, p := range pools {
		accelerators += p.whole.Accelerators
		for name, used := range p.organisations {
			organisation := d.Organisations[name]
			organisation.UsedShare = max(organisation.UsedShare, used.DominantShare(p.whole))
			d.Organisations[name] = organisation
		}
	}
	competing := 0
	for _, organisation := range d.Organisations {
		if organisation.WaitingWork > 0 || organisation.UsedShare > 0 {
			competing++
		}
	}
	for name, organisation := range d.Organisations {
		organisation.FairShare = max(1/float64(max(competing, 1)), fraction(s.catalogue.Organisations[name].GuaranteedAccelerators, accelerators))
		d.Organisations[name] = organisation
	}
}

// addWaits adds the expected waits of the queues in which work waits, and since when they are too long.
func (s *Scheduler) addWaits(now time.Time, d *load.Digest, pools map[string]*pool) {
	if now.Sub(s.load.assessedAt) > shortageGap {
		s.load.shortSince = map[string]time.Time{}
	}
	s.load.assessedAt = now
	short := map[string]time.Time{}
	candidates := s.candidates(now)
	lastBefore := s.firstOfNewJobs(candidates)
	demands := map[string]*demand{}
	for i, c := range candidates {
		service, queue := c.step.job.terms.Service, c.step.job.Queue
		before := demands[service]
		if before == nil {
			before = &demand{}
			demands[service] = before
		}
		before.add(c.step.spec, len(c.startableUnits), s.taskDuration(c.step))
		entry, waits := d.Queues[queue]
		if lastBefore[queue] != i || !waits || pools[service] == nil {
			continue
		}
		entry.ExpectedWait = pools[service].wait(before, c.step.job.terms.Priority <= maxUrgentPriority)
		if entry.ExpectedWait > c.step.job.objective {
			since, known := s.load.shortSince[queue]
			if !known {
				since = now
			}
			short[queue], entry.ShortFor = since, max(now.Sub(since), time.Millisecond)
		}
		d.Queues[queue] = entry
	}
	s.load.shortSince = short
}

// firstOfNewJobs returns, by queue, the index of the candidate that a job submitted now would come after: the
// middle one of the queue's candidates that can still be on time. Late ones come after new jobs. If
// there are only late ones, it is the first of them.
func (s *Scheduler) firstOfNewJobs(candidates []*candidate) map[string]int {
	onTime, first := map[string][]int{}, map[string]int{}
	for i, c := range candidates {
		queue := c.step.job.Queue
		if _, known := first[queue]; !known {
			first[queue] = i
		}
		if c.slack > 0 {
			onTime[queue] = append(onTime[queue], i)
		}
	}
	for queue, indexes := range onTime {
		first[queue] = indexes[len(indexes)/2]
	}
	return first
}

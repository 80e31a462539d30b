package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// urgentDemandTime is the time constant with which the demand of priority 0 is learned and forgotten.
	urgentDemandTime = 4 * time.Second
	// headroomTime is how long the demand lasts for which room is kept: stops and ends of runs make room
	// for what arrives later.
	headroomTime = time.Second
	// maxHeadroomShare is the largest share of a service's capacity that is kept free.
	maxHeadroomShare = 0.1
	// maxHeadroomWait is how long a step of which nothing runs waits before it may use the headroom.
	maxHeadroomWait = 5 * time.Second
	// headroomLogInterval limits the log of what is kept.
	headroomLogInterval = time.Second
)

// urgentDemand is what the work of priority 0 on a service has asked for, in shares of a target, decayed to
// a time.
type urgentDemand struct {
	amount float64
	at     time.Time
	// loggedAt is when the room that is kept was last logged.
	loggedAt time.Time
}

// until returns the demand decayed to a later time.
func (d urgentDemand) until(now time.Time) urgentDemand {
	d.amount, d.at = d.amount*math.Exp(-now.Sub(d.at).Seconds()/urgentDemandTime.Seconds()), now
	return d
}

// perSecond returns the mean demand in shares of a target.
func (d urgentDemand) perSecond() float64 { return d.amount / urgentDemandTime.Seconds() }

// recordUrgentDemand records what the steps of priority 0 ask for that can start for the first time.
func (s *Scheduler) recordUrgentDemand(now time.Time, candidates []*candidate) {
	for _, c := range candidates {
		st := c.step
		if st.job.terms.Priority != 0 || st.demandRecorded || st.spec.LongRunning {
			continue
		}
		st.demandRecorded = true
		d := s.urgentDemands[st.job.terms.Service].until(now)
		d.amount += float64(st.spec.Count) * s.targetShare(st.spec)
		s.urgentDemands[st.job.terms.Service] = d
	}
}

// keepHeadroom marks the targets whose free capacity is kept for work of priority 0 that is expected soon. It
// prefers those with the most free capacity, so that whole targets stay or become free. Nothing is kept on a
// service of which little is used.
func (p *pass) keepHeadroom() {
	for service, total := range p.usage {
		if total.used.DominantShare(total.whole) <= mostlyUsedShare {
			continue
		}
		d, known := p.s.urgentDemands[service]
		if !known {
			continue
		}
		d = d.until(p.now)
		room := min(d.perSecond()*headroomTime.Seconds(), maxHeadroomShare*float64(total.targets))
		kept := p.keep(service, room)
		if kept > 0 && p.now.Sub(d.loggedAt) >= headroomLogInterval {
			d.loggedAt = p.now
			p.s.log("headroom kept", Fields{"service": service, "room": room, "perSecond": d.perSecond(), "targets": kept, "of": total.targets})
		}
		p.s.urgentDemands[service] = d
	}
}

// keep marks targets of a service with free capacity of at most room targets in all, and returns how many.
func (p *pass) keep(service string, room float64) int {
	if room < 1 {
		return 0
	}
	p.byFree = p.byFree[:0]
	for _, n := range p.openNodes {
		if n.Service == service && n.freeShare() > 0 {
			p.byFree = append(p.byFree, n)
		}
	}
	slices.SortStableFunc(p.byFree, func(a, b *freeCapacity) int { return cmp.Compare(b.freeShare(), a.freeShare()) })
	kept := 0
	for _, n := range p.byFree {
		if room -= n.freeShare(); room < 0 {
			break
		}
		n.kept = true
		kept++
	}
	return kept
}

// freeShare returns the share of the target's capacity that is free, by its scarcest resource.
func (n *freeCapacity) freeShare() float64 {
	share := min(fraction(n.free.MilliCores, n.Capacity.MilliCores), fraction(n.free.MemoryMB, n.Capacity.MemoryMB))
	if n.Capacity.Accelerators > 0 {
		share = min(share, fraction(n.free.Accelerators, n.Capacity.Accelerators))
	}
	return max(share, 0)
}

// usesHeadroom reports whether the candidate may use what is kept for priority 0: it is of that priority
// itself, its tasks last and have been kept out, or it has waited for long while nothing of its step runs.
func (p *pass) usesHeadroom(c *candidate) bool {
	st := c.step
	return st.job.terms.Priority == 0 || (st.spec.LongRunning && p.isKeptOutForLong(c)) || (st.isIdle() && p.now.Sub(st.occurrence.due) >= maxHeadroomWait)
}

// isIdle reports whether nothing of the step runs.
func (st *step) isIdle() bool { return st.idleUnits == st.unitsLeft }

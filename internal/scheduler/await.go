package scheduler

import "time"

const (
	// maxEndWait bounds how long a candidate of priority 0 waits for runs to end, from the first time it
	// does so, since expected ends may be wrong and guarantees bound the time until the start.
	maxEndWait = time.Second
	// spareWaitShare is the share of the time to spare before its objective that a candidate waits at most
	// for runs to end. The rest covers errors of the expected ends.
	spareWaitShare = 0.5
)

// stopWait is the time after which the capacity of a stopped run is used again. Waiting for a run that
// ends by then is as fast as stopping it.
func (p *pass) stopWait() time.Duration { return p.s.Limits.StopTime + stepMargin }

// freeWait returns the time within which runs that end cost the candidate no more time than stops; 0 when it
// has waited for expected ends for too long already.
func (p *pass) freeWait(c *candidate) time.Duration {
	if c.guaranteeOverdue || p.waitLeft(c) <= 0 {
		return 0
	}
	return p.stopWait()
}

// waitLeft returns how much longer the candidate may wait for runs to end.
func (p *pass) waitLeft(c *candidate) time.Duration {
	if c.step.waitsSince.IsZero() {
		return maxEndWait
	}
	return c.step.waitsSince.Add(maxEndWait).Sub(p.now)
}

// waitable returns the targets on which enough runs are expected to end soon, so that the candidate's job is
// still on time without any stop; nil if there are none. A guaranteed job waits no longer than guaranteeWait.
func (p *pass) waitable(c *candidate) *preemption {
	if c.guaranteeOverdue {
		return nil
	}
	limit := p.waitLeft(c)
	if c.guaranteed {
		limit = min(limit, c.step.occurrence.due.Add(guaranteeWait).Sub(p.now))
	}
	count := c.step.spec.Members()
	spare := toDuration(spareWaitShare * (safeSlackShare*c.slack - p.runSeconds(c, 1)))
	for wait := p.stopWait(); wait <= limit && wait <= max(spare, p.stopWait()); wait *= 2 {
		for _, openNodes := range p.nodeSets(c, count) {
			if found := p.clear(c, p.fastEnough(c, openNodes, false, wait), count, wait, false); found != nil {
				return found
			}
		}
	}
	return nil
}

// waitFor reserves the targets on which a candidate waits for runs to end.
func (p *pass) waitFor(c *candidate, found *preemption) {
	if c.step.waitsSince.IsZero() {
		c.step.waitsSince = p.now
		p.s.log("waiting for runs to end", Fields{"job": c.step.job.ID, "step": c.step.number, "targets": len(found.openNodes), "slack": c.slack, "value": found.value})
	}
	for _, n := range found.openNodes {
		n.reserved = c.step
	}
}

// endsBy reports whether a unit's run is expected to end by a time after now.
func (p *pass) endsBy(u *unit, until time.Time) bool {
	if u.step.spec.LongRunning || !until.After(p.now) {
		return false
	}
	return !p.now.Add(p.s.remainingTime(p.now, u)).After(until)
}

package scheduler

import "time"

const (
	// cordonWaitsInterval is the time between two looks for jobs that wait because of a cordon, and
	// maxCordonWaits how many of them one look logs.
	cordonWaitsInterval = time.Second
	maxCordonWaits      = 20
	// cordonWaitLogInterval is the time between two log lines of one job.
	cordonWaitLogInterval = 10 * time.Second
)

// cordonWaits looks in some passes for jobs that wait because of a cordon.
type cordonWaits struct {
	lookedAt time.Time
	// left is how many jobs may still be logged in this pass.
	left int
	// reasons holds what was found in this pass; the reason is empty if no cordon is the cause.
	reasons map[unitRequirements]string
}

// begin prepares a pass.
func (w *cordonWaits) begin(s *Scheduler, now time.Time) {
	w.left = 0
	if s.cordons == nil || len(s.cordons.Revisions) == 0 || now.Sub(w.lookedAt) < cordonWaitsInterval {
		return
	}
	w.lookedAt, w.left, w.reasons = now, maxCordonWaits, map[unitRequirements]string{}
}

// logCordonWait logs that a candidate waits, if that is because of a cordon.
func (p *pass) logCordonWait(c *candidate, requirements unitRequirements) {
	waits, j := &p.s.cordonWaits, c.step.job
	if waits.left == 0 || (!j.cordonLogged.IsZero() && p.now.Sub(j.cordonLogged) < cordonWaitLogInterval) {
		return
	}
	reason, known := waits.reasons[requirements]
	if !known {
		reason = p.cordonWaitReason(c, requirements.count)
		waits.reasons[requirements] = reason
	}
	if reason == "" {
		return
	}
	waits.left--
	j.cordonLogged = p.now
	p.s.log("job waits for a cordoned zone", Fields{
		"job": j.ID, "queue": j.Queue, "step": c.step.number, "reason": reason, "zones": p.s.cordons.Zones(), "waited": p.now.Sub(c.step.occurrence.due),
	})
}

// cordonWaitReason says why count tasks of a step that have no room wait for a cordoned zone; empty if they
// would wait without the cordons too.
func (p *pass) cordonWaitReason(c *candidate, count int) string {
	spec := c.step.spec
	free, capacity, openFree, openCapacity := 0, 0, 0, 0
	for _, n := range p.s.ordered {
		if !n.listed || n.Draining || n.Service != c.step.job.terms.Service || !n.hasLabel(spec.RequiredLabel) {
			continue
		}
		fitsNow := spec.CapacityUse().CountFitting(n.Capacity.Minus(n.used), c.step.limitBeside(n.countOf(c.step), count))
		fitsEmpty := n.maxEmptied(c.step, count)
		free, capacity = free+fitsNow, capacity+fitsEmpty
		if !p.s.isCordoned(n) {
			openFree, openCapacity = openFree+fitsNow, openCapacity+fitsEmpty
		}
	}
	switch {
	case openCapacity < count && capacity >= count:
		return "only targets of cordoned zones could hold it"
	case openFree < count && free >= count:
		return "the only free room is in cordoned zones"
	}
	return ""
}

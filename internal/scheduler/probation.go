package scheduler

import (
	"math"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
)

const (
	// faultyFailureRate is the fraction of its runs that a faulty target is assumed to fail. The rate of
	// healthy targets is measured; it starts from usualFailureRate, which counts as usualRuns ended runs, and
	// stays between minFailureRate and maxFailureRate.
	faultyFailureRate              = 0.6
	usualFailureRate               = 0.03
	usualRuns                      = 50
	minFailureRate, maxFailureRate = 0.01, 0.4
	// trialEvidence is the evidence, as a logarithm of odds, from which a target is on probation. At the usual
	// failure rate two failures in a row reach it, and one does not.
	// maxEvidence bounds the evidence, so that successes and decay can undo it; passedEvidence is what is left at most after
	// a trial was passed, so that the next failure is enough for another probation.
	trialEvidence  = 4.2
	maxEvidence    = 6
	passedEvidence = 2
	// evidenceHalfLife is the time in which evidence, and the counts of ended runs, lose half.
	evidenceHalfLife = 10 * time.Second
	// cautionTime is how long after one failure a target gets no gangs and no work of priority 0.
	cautionTime = 3 * time.Second
	// cautionEvidence is the evidence below which there is no such caution: where runs fail often, one failure
	// says little. doubtEvidence is the evidence from which others are preferred to a target.
	cautionEvidence = 1.5
	doubtEvidence   = 1
	// trialProgressTime is how long a trial has to run and make progress to be passed before its end.
	trialProgressTime = 2 * time.Second
	// maxProbationShare is the fraction of a service's targets with restrictions from which there are none: the
	// cause is more likely the work, and the rest would not carry the load.
	maxProbationShare = 0.25
	// faultyJobTargets is on how many targets a job has to have failed for a further failure to be its own.
	faultyJobTargets = 2
	// minTrialRuns is for how many runs there has to be time before the job of a trial expires.
	minTrialRuns = 2
)

// decaying is a quantity that loses half of itself in each evidenceHalfLife.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) get(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(evidenceHalfLife))
}

func (d *decaying) set(now time.Time, value float64) { d.value, d.at = value, now }

// probation is the evidence of faults of a target, and the restrictions that follow.
type probation struct {
	// evidence is the logarithm of the odds that the target is faulty, compared with any other target.
	evidence decaying
	// blamedSince is when the evidence last rose from 0.
	blamedSince time.Time
	// cautionUntil is until when the target gets no gangs and no work of priority 0 after one failure.
	cautionUntil time.Time
	// active says that the target gets single trials only, since activeSince; trial is the last one.
	active      bool
	activeSince time.Time
	trial       target.Run
}

// failureRate measures the fraction of the runs that fail, without failures on targets that are doubted.
type failureRate struct{ ended, failed decaying }

func (r *failureRate) add(now time.Time, failed bool) {
	r.ended.set(now, r.ended.get(now)+1)
	if failed {
		r.failed.set(now, r.failed.get(now)+1)
	}
}

func (r *failureRate) get(now time.Time) float64 {
	rate := (r.failed.get(now) + usualFailureRate*usualRuns) / (r.ended.get(now) + usualRuns)
	return min(max(rate, minFailureRate), maxFailureRate)
}

// failureEvidence and successEvidence are the logarithms of how many times as likely a failure, and an end as
// done, is on a faulty target as on one that fails runs at a rate.
func failureEvidence(rate float64) float64 { return math.Log(faultyFailureRate / rate) }

func successEvidence(rate float64) float64 { return math.Log((1 - faultyFailureRate) / (1 - rate)) }

// blame adds evidence against a target. From trialEvidence on the target is on probation.
func (s *Scheduler) blame(now time.Time, n *node, evidence float64, reason string) {
	p := &n.probation
	before := p.evidence.get(now)
	if before < doubtEvidence {
		p.blamedSince = now
	}
	p.evidence.set(now, min(before+evidence, maxEvidence))
	if p.active || p.evidence.value < trialEvidence {
		return
	}
	p.active, p.activeSince = true, now
	s.log("target on probation", n.fields(now).with(Fields{
		"reason": reason, "evidence": p.evidence.value, "age": now.Sub(p.blamedSince), "failures": n.failures, "failureRate": s.failureRate.get(now), "runs": len(n.members),
	}))
}

// endProbation ends a target's probation, if it is on it.
func (s *Scheduler) endProbation(now time.Time, n *node, reason string) {
	p := &n.probation
	if !p.active {
		return
	}
	s.log("target off probation", n.fields(now).with(Fields{"reason": reason, "evidence": p.evidence.get(now), "after": now.Sub(p.activeSince), "age": now.Sub(p.blamedSince)}))
	p.active, p.trial, n.failures = false, target.Run{}, 0
	p.evidence.set(now, min(p.evidence.get(now), passedEvidence))
}

// runSucceeded counts a run that is done in favour of its targets.
func (s *Scheduler) runSucceeded(now time.Time, m *member) {
	s.failureRate.add(now, false)
	rate := s.failureRate.get(now)
	for _, n := range m.unit.nodes() {
		p := &n.probation
		p.evidence.set(now, max(p.evidence.get(now)+successEvidence(rate), 0))
		p.cautionUntil = time.Time{}
		if !p.active {
			n.failures = 0
		} else if m.run == p.trial {
			s.endProbation(now, n, "a trial is done")
		}
	}
}

// blameFailure counts a failure against its target, unless it is more likely the job's own. A first failure is
// weak evidence: the target runs on, but for some time without gangs and work of priority 0.
func (s *Scheduler) blameFailure(now time.Time, n *node, u *unit) {
	p := &n.probation
	if u.step.job.failsEverywhere() {
		return
	}
	rate := s.failureRate.get(now)
	if !p.active {
		u.step.job.addFailedOn(n.ID)
		if p.evidence.get(now) < doubtEvidence {
			s.failureRate.add(now, true)
		}
	}
	n.failures++
	p.cautionUntil = now.Add(cautionTime)
	s.blame(now, n, failureEvidence(rate), "runs failed")
	if p.active {
		n.pause(now.Add(min(failurePause<<min(n.failures-1, 4), maxFailurePause)))
	}
}

// failsEverywhere reports whether failures of the job are more likely its own than those of its targets: it has
// failed on several that were not on probation, and no more of its units are done or run without a failure.
func (j *job) failsEverywhere() bool {
	if len(j.failedOn) < faultyJobTargets {
		return false
	}
	well := 0
	for u := range j.units() {
		if u.done || len(u.members) > 0 && u.failures == 0 {
			well++
		}
		if well > len(j.failedOn) {
			return false
		}
	}
	return true
}

func (j *job) addFailedOn(id string) {
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[id] = true
}

// blameStall blames the targets of a stalled run. All members of a gang stall when one does, so
// the evidence against each is that it caused the stall and none of the others did.
func (s *Scheduler) blameStall(now time.Time, u *unit) {
	nodes := u.nodes()
	total := 0.0
	for _, n := range nodes {
		total += math.Exp(n.probation.evidence.get(now))
	}
	for _, n := range nodes {
		own := n.probation.evidence.get(now)
		evidence := trialEvidence
		if others := total - math.Exp(own); len(nodes) > 1 {
			evidence = min(evidence, trialEvidence-math.Log(others))
		}
		if evidence <= 0 {
			continue
		}
		n.probation.cautionUntil = now.Add(cautionTime)
		s.blame(now, n, evidence, "a run stalled")
		if n.probation.active {
			n.pause(now.Add(failurePause))
		}
	}
}

// reviewProbation ends the probation of targets whose trial makes progress or whose blame has decayed.
func (s *Scheduler) reviewProbation(now time.Time) {
	for _, n := range s.ordered {
		p := &n.probation
		if !p.active {
			continue
		}
		if m := n.members[p.trial]; m != nil && m.worksFor(now) >= trialProgressTime {
			s.endProbation(now, n, "a trial makes progress")
		} else if p.evidence.get(now) < passedEvidence {
			s.endProbation(now, n, "the evidence is old")
		}
	}
}

// worksFor returns for how long the run has been seen to make progress, or to be at work if its task lasts.
func (m *member) worksFor(now time.Time) time.Duration {
	if !m.unit.step.spec.LongRunning {
		return m.progress.progressedFor()
	}
	if !m.isAtWork(now) {
		return 0
	}
	return now.Sub(m.atWorkSince)
}

// progressedFor returns for how long the run has been seen to make progress.
func (p *progress) progressedFor() time.Duration {
	if p.stalledFor() > observeInterval {
		return 0
	}
	return p.increasedAt.Sub(p.firstAt)
}

// TargetsOnProbation counts the listed targets that are on probation.
func (s *Scheduler) TargetsOnProbation() int {
	count := 0
	for _, n := range s.ordered {
		if n.listed && n.probation.active {
			count++
		}
	}
	return count
}

// restriction says which work a target gets.
type restriction int

const (
	// unrestricted: any.
	unrestricted restriction = iota
	// singlesOnly: single tasks of other priorities than 0.
	singlesOnly
	// trialsOnly: one trial at a time.
	trialsOnly
)

func (n *node) restriction(now time.Time) restriction {
	switch {
	case n.probation.active:
		return trialsOnly
	case n.probation.cautionUntil.After(now) && n.probation.evidence.get(now) >= cautionEvidence:
		return singlesOnly
	}
	return unrestricted
}

// restrict sets the restrictions of the targets in this pass. A service of which many targets would be
// restricted has none.
func (p *pass) restrict() {
	p.restricted = 0
	counts := map[string]int{}
	for _, n := range p.openNodes {
		n.doubted = n.probation.evidence.get(p.now) >= doubtEvidence
		if n.restriction = n.node.restriction(p.now); n.restriction != unrestricted {
			counts[n.Service]++
			p.restricted++
		}
	}
	if p.restricted == 0 {
		return
	}
	for _, n := range p.openNodes {
		if n.restriction != unrestricted && float64(counts[n.Service]) > maxProbationShare*float64(p.usage[n.Service].targets) {
			n.restriction = unrestricted
			p.restricted--
		}
	}
}

// admits reports whether a target's restriction leaves room for the candidate.
func (p *pass) admits(c *candidate, n *freeCapacity) bool {
	switch n.restriction {
	case singlesOnly:
		return c.ignoresRestrictions || (!c.step.spec.Gang && c.step.job.terms.Priority > 0)
	case trialsOnly:
		return c.ignoresRestrictions || (c.seeksTrial && n.members[n.probation.trial] == nil)
	}
	return true
}

// choose finds targets for a unit. Targets on probation are used only where no other target has room: for a
// trial, or for any work that no other target could hold.
func (p *pass) choose(c *candidate, u *unit) placement {
	c.ignoresRestrictions, c.seeksTrial = false, false
	chosen := p.find(c, u)
	if chosen.openNodes != nil || p.restricted == 0 {
		return chosen
	}
	switch {
	case !p.couldHoldUnrestricted(c):
		c.ignoresRestrictions = true
	case c.mayBeTrial(u, p.runSeconds(c, 1)):
		c.seeksTrial = true
	default:
		return chosen
	}
	return p.find(c, u)
}

func (p *pass) find(c *candidate, u *unit) placement {
	if c.step.spec.Gang {
		return p.placeGang(c, c.step.spec.Count)
	}
	return p.placeTask(c, u)
}

// mayBeTrial reports whether a unit may be risked on a target on probation: a failure there leaves it another
// attempt and the time for it. Tasks that last have attempts and time without a limit, and serve nobody while they wait.
func (c *candidate) mayBeTrial(u *unit, runSeconds float64) bool {
	if c.step.spec.LongRunning {
		return !c.step.spec.Gang
	}
	limit := c.step.job.terms.MaxAttempts
	attemptsLeft := limit == 0 || u.failures+minTrialRuns <= limit
	return !c.step.spec.Gang && c.step.job.terms.Priority > 0 && attemptsLeft && c.expirySlack >= minTrialRuns*runSeconds
}

// couldHoldUnrestricted reports whether targets that admit the candidate could hold its unit if all runs there
// had ended that end by themselves.
func (p *pass) couldHoldUnrestricted(c *candidate) bool {
	missing := c.step.spec.Members()
	for _, n := range p.openNodes {
		if missing -= p.maxMembersEmptied(c, n, missing); missing <= 0 {
			return true
		}
	}
	return false
}

// recordTrial records the run of a member as the trial of its target, if the target is on probation.
func (n *freeCapacity) recordTrial(m *member) bool {
	if n.restriction != trialsOnly {
		return false
	}
	n.probation.trial = m.run
	return true
}

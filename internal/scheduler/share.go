package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/share"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// shares holds what organisations use and how much their work is preferred for it.
type shares struct {
	ledger share.Ledger
	// uses holds what runs now, in the order of organisations and services.
	uses []*organisationUse
	// services holds the capacity of the listed targets of each service, as of the last check.
	services map[string]serviceCapacity
	// short says that the last pass left candidates unplaced.
	short bool
}

// organisationUse is the capacity of a service that the runs of an organisation take up now.
type organisationUse struct {
	organisation, service string
	amount                workload.Resources
	members               int
}

// serviceCapacity is the capacity of a service.
type serviceCapacity struct {
	whole   workload.Resources
	targets int
}

// Share is the use of capacity by one organisation.
type Share struct {
	Organisation string
	// Used and Fair are its part of the use by all organisations that compete, and the part that it may use
	// while others wait; 0 if it does not compete.
	Used, Fair float64
	// Factor is by how much its work is preferred, before the bound of shareFactor.
	Factor float64
}

// openUse adds a member to what its organisation uses. It holds the use until closeUse, since the service
// of its job may change meanwhile.
func (s *Scheduler) openUse(m *member) {
	j := m.unit.step.job
	wanted := &organisationUse{organisation: j.Organisation, service: j.terms.Service}
	at, found := slices.BinarySearchFunc(s.shares.uses, wanted, func(a, b *organisationUse) int {
		return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.service, b.service))
	})
	if !found {
		s.shares.uses = slices.Insert(s.shares.uses, at, wanted)
	}
	m.use = s.shares.uses[at]
	m.use.members++
	m.use.amount = m.use.amount.Plus(m.unit.step.spec.CapacityUse())
}

// closeUse subtracts a member from what its organisation uses.
func (m *member) closeUse() {
	m.use.members--
	m.use.amount = m.use.amount.Minus(m.unit.step.spec.CapacityUse())
}

// countServices adds up the capacity of each service.
func (s *Scheduler) countServices() {
	s.shares.services = map[string]serviceCapacity{}
	for _, n := range s.ordered {
		if n.listed {
			known := s.shares.services[n.Service]
			s.shares.services[n.Service] = serviceCapacity{known.whole.Plus(n.Capacity), known.targets + 1}
		}
	}
}

// chargeShares charges the organisations for what has run, and records what runs from now on.
func (s *Scheduler) chargeShares(now time.Time) {
	if s.Limits.ShareHalfLife <= 0 {
		return
	}
	s.shares.ledger.HalfLife = s.Limits.ShareHalfLife
	targets := 0.0
	for i, u := range s.shares.uses {
		on := s.shares.services[u.service]
		targets += u.amount.DominantShare(on.whole) * float64(on.targets)
		if i+1 == len(s.shares.uses) || s.shares.uses[i+1].organisation != u.organisation {
			s.shares.ledger.SetRunning(now, u.organisation, targets)
			targets = 0
		}
	}
	s.shares.uses = slices.DeleteFunc(s.shares.uses, func(u *organisationUse) bool { return u.members == 0 })
}

// applyShares multiplies the scores of candidates by the factors of their organisations.
func (s *Scheduler) applyShares(now time.Time, candidates []*candidate) {
	if s.Limits.ShareHalfLife <= 0 {
		return
	}
	waiting := map[string]bool{}
	for _, c := range candidates {
		waiting[c.step.job.Organisation] = true
	}
	s.shares.ledger.Compete(now, waiting, s.shares.short)
	for _, c := range candidates {
		c.score *= s.shareFactor(c.step.job)
	}
}

// shareFactor returns by how much the work of a job's organisation is preferred. The factors of any two
// organisations differ by one step of priority at most, so that shares never put a job before one that is
// more urgent and otherwise alike.
func (s *Scheduler) shareFactor(j *job) float64 {
	weights := s.Limits.Policy
	weights.Defaults()
	bound := math.Sqrt(weights.PriorityStep)
	return min(max(s.shares.ledger.Factor(j.Organisation), 1/bound), bound)
}

// Shares returns the use of capacity by organisation, in order.
func (s *Scheduler) Shares() []Share {
	organisations := s.shares.ledger.Organisations()
	out := make([]Share, len(organisations))
	for i, organisation := range organisations {
		used, fair := s.shares.ledger.Parts(organisation)
		out[i] = Share{organisation, used, fair, s.shares.ledger.Factor(organisation)}
	}
	return out
}

// Usage returns the decayed use of each organisation in target-seconds, for a successor. It is as of the last
// step.
func (s *Scheduler) Usage() map[string]float64 { return s.shares.ledger.Usage(s.checkedAt) }

// InheritUsage adds the use that a former planner measured, as Usage returned it.
func (s *Scheduler) InheritUsage(now time.Time, usage map[string]float64) {
	if s.Limits.ShareHalfLife > 0 {
		s.shares.ledger.HalfLife = s.Limits.ShareHalfLife
		s.shares.ledger.Inherit(now, usage)
	}
}

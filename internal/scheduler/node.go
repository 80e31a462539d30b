package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// minClockRate is the lowest rate at which a target's clock is assumed to run: 2% slow.
	minClockRate = 0.98
	// maxListedEnds is the most ended runs that one report of a target lists.
	maxListedEnds = 500
	// unresponsiveAfter is how long a renewal may go unanswered before the target's lease is
	// no longer prolonged and it is given no new work.
	unresponsiveAfter = 1400 * time.Millisecond
	// listedSilence is how long, after its leases have ended, a target whose entry stays may be
	// silent before its runs are given up.
	listedSilence = 5 * time.Second
	// lastingLease bounds the lease of a target with tasks that last, which may not be down for long if it is lost.
	lastingLease = 6 * time.Second
	// drainingLease bounds the lease of a draining target.
	drainingLease = 3500 * time.Millisecond
	// refusalPause is how long a target is given no new work after it refused a start.
	refusalPause = 300 * time.Millisecond
	// failurePause is how long a target on probation is given no new work after a run stalled or failed
	// there; it doubles with each consecutive failure, up to maxFailurePause.
	failurePause    = time.Second
	maxFailurePause = 2 * time.Second
	// orderTransit is the longest time between the sending of an order and its arrival that
	// leases are judged by.
	orderTransit = 700 * time.Millisecond
	// retryPause is how long a unit waits to be started again after a run that did not end as
	// done.
	retryPause = 50 * time.Millisecond
)

// node is the scheduler's record of one target.
type node struct {
	target.Listing
	listed bool
	// unlistedAt is when its entry was last found to be gone.
	unlistedAt time.Time
	// entryBorn is the incarnation that wrote the entry. While it is not Born, what the entry says of the
	// target (labels, capacity, service, zone) may not hold any more.
	entryBorn int64
	// drainsSince is when the target said that it drains, on the planner's clock; zero if it does not.
	drainsSince time.Time
	// drainedAt is when the time was over, on the planner's clock, that the entry of a target that drains gave it.
	drainedAt time.Time
	// incarnationSince is when the planner first heard of the incarnation Born, and
	// formerIncarnations holds the Born of those before it. They are not ordered by Born, because
	// a target's time of day may be set back.
	incarnationSince   time.Time
	formerIncarnations map[int64]bool
	// contacted says that this planner has received a report since it first knew the target or
	// since the target restarted.
	contacted  bool
	knownSince time.Time
	// clock is the target's clock, read no later than clockAt on the planner's clock.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest end, on the target's clock, of any lease that it may have been
	// given.
	leaseEnd time.Duration
	// leaseOverAt is when, on the planner's clock, the leases of all orders of this planner have
	// ended, whichever incarnation received them.
	leaseOverAt time.Time
	lastContact time.Time
	cold        coldTime
	// silentSince is when all leases were first found to have ended after lastContact.
	silentSince time.Time
	// renewalSentAt is when the first renewal after lastContact was sent. The target has not
	// answered it yet if this is later than lastContact.
	renewalSentAt time.Time
	// suspect says that the target left an order unanswered and has accepted none that was sent after
	// unansweredAt, when the last such order was known to be unanswered. It is so since suspectSince.
	suspect                    bool
	suspectSince, unansweredAt time.Time
	// lastEnd is the number of the last ended run that was processed.
	lastEnd int64
	// used is the capacity that members take up, and lastingUse the part of it that long-running tasks do.
	used, lastingUse workload.Resources
	// members holds the tasks that may be alive here.
	members map[target.Run]*member
	// sorted holds the members in the order of their runs.
	sorted []*member
	// lateStarts holds the starts that were not answered, and unknownStops when a listed run that
	// is not known was last stopped.
	lateStarts map[target.Run]*lateStart
	// startsUnderWay holds the starts that were sent and of which neither an answer nor its lack is known.
	startsUnderWay map[target.Run]bool
	unknownStops   map[target.Run]time.Time
	// refusedUntil is when the target may be given new work again after it refused a start, and
	// pausedUntil after a run failed or stalled there.
	refusedUntil, pausedUntil time.Time
	// failures counts the consecutive runs that failed here, and probation holds what follows from that.
	failures  int
	probation probation
	// speed is the speed that is expected at present; usualLogSpeed is the logarithm of the
	// usual speed.
	speed         float64
	usualLogSpeed float64
	// speedCost is the speed to the power of fastTargetExponent.
	speedCost float64
	// logSlowdown is the logarithm of the present speed relative to the usual one; 0 while the
	// target is not slowed down.
	logSlowdown float64
	// priorLogSpeed is the logarithm of the speed that was known before this planner observed
	// any run here; inherited says that a former planner had measured it.
	priorLogSpeed float64
	inherited     bool
	// reportIgnoredLogged and entryIgnoredLogged are when a report and an entry of an earlier
	// incarnation were last logged.
	reportIgnoredLogged time.Time
	entryIgnoredLogged  time.Time
}

// node returns the record of a target and creates it if needed. A target that is not listed
// may still be running tasks.
func (s *Scheduler) node(now time.Time, id string) *node {
	n := s.nodes[id]
	if n == nil {
		n = &node{Listing: target.Listing{ID: id}, knownSince: now, members: map[target.Run]*member{}, startsUnderWay: map[target.Run]bool{}}
		n.setUsualSpeed(0)
		s.nodes[id] = n
		at, _ := slices.BinarySearchFunc(s.ordered, id, compareID)
		s.ordered = slices.Insert(s.ordered, at, n)
	}
	return n
}

func compareID(n *node, id string) int { return cmp.Compare(n.ID, id) }

// remove detaches a member from its target.
func (n *node) remove(m *member) {
	delete(n.members, m.run)
	if at, found := slices.BinarySearchFunc(n.sorted, m, compareMembers); found {
		n.sorted = slices.Delete(n.sorted, at, at+1)
	}
	n.countUse(m, workload.Resources.Minus)
}

// countUse adds what a member uses to the capacity in use here, or subtracts it.
func (n *node) countUse(m *member, count func(a, b workload.Resources) workload.Resources) {
	spec := m.unit.step.spec
	n.used = count(n.used, spec.CapacityUse())
	if spec.LongRunning {
		n.lastingUse = count(n.lastingUse, spec.CapacityUse())
	}
}

func compareMembers(a, b *member) int { return a.run.Compare(b.run) }

// TargetListed handles a new or changed entry of a target in the store. An entry of a former
// incarnation is ignored.
func (s *Scheduler) TargetListed(now time.Time, listing target.Listing) {
	s.initialise()
	n := s.node(now, listing.ID)
	if listing.Born == 0 {
		listing.Born = n.Born
	}
	if n.formerIncarnations[listing.Born] {
		s.logIgnored(now, n, "target entry ignored", &n.entryIgnoredLogged, Fields{"entryBorn": listing.Born, "entryClock": listing.Clock})
		return
	}
	if listing.Born != n.Born {
		s.recordIncarnation(now, n, listing.Born)
	}
	n.recordCold(now, listing)
	if !n.listed || n.Draining != listing.Draining || n.entryBorn != listing.Born {
		s.log("target listed", n.fields(now).with(Fields{
			"born": listing.Born, "formerBorn": n.Born, "entryClock": listing.Clock, "runs": len(n.members),
			"draining": listing.Draining, "left": listing.DrainRemaining, "zone": listing.Zone, "rack": listing.Rack, "cold": s.coldLeft(now, n),
		}))
	}
	switch {
	case !listing.Draining:
		n.drainsSince = time.Time{}
	case n.drainsSince.IsZero():
		n.drainsSince = now.Add(-n.age(now, listing))
	}
	n.drainedAt = now.Add(listing.DrainRemaining - n.age(now, listing))
	n.Listing, n.listed, n.entryBorn = listing, true, listing.Born
	s.load.recordCapacity(listing.Service, listing.Capacity)
	if !n.contacted && listing.Clock > n.clockLowerBound(now) {
		n.clock, n.clockAt = listing.Clock, now
	}
}

// awaitsEntry reports whether the target has started again and no entry of the new incarnation is known.
func (n *node) awaitsEntry() bool { return n.listed && n.entryBorn != n.Born }

// TargetsAwaitingEntry counts the targets that get no work because they have started again and their new
// incarnation, which may be of another kind, has written no entry yet.
func (s *Scheduler) TargetsAwaitingEntry() int {
	count := 0
	for _, n := range s.ordered {
		if n.awaitsEntry() {
			count++
		}
	}
	return count
}

// age returns how long ago an entry was written, by the target's own clock; 0 if that is not known.
func (n *node) age(now time.Time, listing target.Listing) time.Duration {
	if n.clockAt.IsZero() || listing.Clock == 0 {
		return 0
	}
	return max(0, n.clock+now.Sub(n.clockAt)-listing.Clock)
}

// takesNoStarts reports whether a start that is sent now may arrive when the target, which drains, is
// to start nothing more.
func (n *node) takesNoStarts(now time.Time, drainTime time.Duration) bool {
	return !n.drainsSince.IsZero() && now.Sub(n.drainsSince)+orderTransit >= drainTime
}

// TargetUnlisted handles the removal of a target's entry. Runs may still be alive there, so they
// are kept until a report or the end of the target's lease shows that they are not.
func (s *Scheduler) TargetUnlisted(now time.Time, id string) {
	s.initialise()
	if n := s.nodes[id]; n != nil && n.listed {
		n.listed, n.unlistedAt = false, now
		s.log("target unlisted", n.fields(now).with(Fields{"runs": len(n.members)}))
	}
}

// hasLeft reports whether the target is likely to have ended with all its runs: it drained, its time is over or its
// entry gone, and it does not answer.
func (n *node) hasLeft(now time.Time) bool {
	if !n.Draining {
		return false
	}
	if !n.listed && !n.lastContact.After(n.unlistedAt) {
		return true
	}
	return n.suspect && (!n.listed || !now.Before(n.drainedAt))
}

// clockLowerBound returns a time that the target's clock is known to have reached.
func (n *node) clockLowerBound(now time.Time) time.Duration {
	if n.clockAt.IsZero() {
		return 0
	}
	return n.clock + time.Duration(float64(now.Sub(n.clockAt))*minClockRate)
}

// Deadline returns the end, on the target's clock, of a lease granted now, and records that
// the target may have it. It returns 0, which grants nothing, while the target's clock is not
// known, while a successor may count on there being none, or while the target is unresponsive: it may have
// restarted, and on the new incarnation's clock each such deadline would be a long lease.
func (s *Scheduler) Deadline(now time.Time, id string) time.Duration {
	n := s.nodes[id]
	if n == nil || n.clockAt.IsZero() || n.unresponsive(now) || s.isWithheld(id) {
		return 0
	}
	lease := s.Limits.TaskLease
	if n.lastingUse != (workload.Resources{}) {
		lease = min(lease, lastingLease)
	}
	if n.Draining {
		// A draining target leaves without notice, and its runs can be started elsewhere only
		// after its lease has ended.
		lease = min(lease, drainingLease)
	}
	deadline := n.clock + now.Sub(n.clockAt) + lease
	n.leaseEnd = max(n.leaseEnd, deadline)
	n.recordLease(now, lease)
	return deadline
}

// RenewalSent records that a renewal is about to be sent. A target counts as unresponsive if it
// does not answer within unresponsiveAfter.
func (s *Scheduler) RenewalSent(now time.Time, id string) {
	if n := s.nodes[id]; n != nil && !n.renewalSentAt.After(n.lastContact) {
		n.renewalSentAt = now
	}
}

// unresponsive reports whether the target has left a renewal unanswered for longer than
// unresponsiveAfter.
func (n *node) unresponsive(now time.Time) bool {
	return n.renewalSentAt.After(n.lastContact) && now.Sub(n.renewalSentAt) > unresponsiveAfter
}

// recordLease records that an order with a lease is sent now.
func (n *node) recordLease(now time.Time, lease time.Duration) {
	if over := now.Add(longestLease(lease)); over.After(n.leaseOverAt) {
		n.leaseOverAt = over
	}
}

// longestLease returns how long after the sending of its order a lease may last by the planner's
// clock.
func longestLease(lease time.Duration) time.Duration {
	return orderTransit + time.Duration(float64(lease)/minClockRate)
}

// leasesEnded reports whether every lease on the target is known to have ended.
func (s *Scheduler) leasesEnded(now time.Time, n *node) bool { return now.After(s.leasesEndAt(now, n)) }

// leasesEndAt returns the earliest time, on the planner's clock, after which every lease on the target is
// known to have ended if no more are granted.
func (s *Scheduler) leasesEndAt(now time.Time, n *node) time.Time {
	if !n.contacted {
		// It is not known which leases a former planner granted, unless the last one wrote it, and it may
		// have renewed them until the horizon.
		end := n.knownSince.Add(s.Limits.RenewalHorizon + longestLease(s.Limits.TaskLease))
		if inherited := s.inheritedEnd(n); inherited != nil && inherited.Before(end) {
			end = *inherited
		}
		return later(n.leaseOverAt, end)
	}
	left := n.leaseEnd - n.clockLowerBound(now)
	if left < 0 {
		return n.leaseOverAt
	}
	return later(n.leaseOverAt, now.Add(time.Duration(math.Ceil(float64(left)/minClockRate))))
}

// expire closes the runs on targets whose leases are known to have ended, and removes unlisted
// targets without runs.
func (s *Scheduler) expire(now time.Time) {
	kept := s.ordered[:0]
	for _, n := range s.ordered {
		s.dropLateStarts(now, n)
		if len(n.sorted) > 0 && s.leasesEnded(now, n) && n.isGivenUp(now) {
			for _, m := range n.sortedMembers() {
				if m.state != memberAwaitingWrite && !m.mayOutliveLeases() {
					s.loseRun(now, m, "its lease ended and the target did not answer")
				}
			}
		}
		if n.removed() {
			delete(s.nodes, n.ID)
			continue
		}
		kept = append(kept, n)
	}
	clear(s.ordered[len(kept):])
	s.ordered = kept
}

// isGivenUp reports whether the runs of a silent target whose leases have ended are given up. A
// target with an entry is alive: the runs have ended there, and its report says how.
func (n *node) isGivenUp(now time.Time) bool {
	if !n.listed {
		return true
	}
	if !n.contacted {
		return now.Sub(n.knownSince) >= listedSilence
	}
	if n.silentSince.Before(n.lastContact) {
		n.silentSince = now
	}
	return now.Sub(n.silentSince) >= listedSilence
}

// removed reports whether the target is neither listed nor able to run anything.
func (n *node) removed() bool {
	return !n.listed && len(n.members) == 0 && len(n.lateStarts) == 0 && len(n.startsUnderWay) == 0
}

// loseRun logs and closes a run that is known to be no longer alive on its target.
func (s *Scheduler) loseRun(now time.Time, m *member, reason string) {
	s.log("run lost", m.fields(now).with(Fields{"reason": reason}))
	s.close(now, m, reason)
}

// sortedMembers returns a copy of the members in order, since closing one changes n.sorted.
func (n *node) sortedMembers() []*member { return slices.Clone(n.sorted) }

// TargetStatus is the state of a target that decides whether it has to be contacted.
type TargetStatus struct {
	Listing target.Listing
	// HasRuns says that runs may be alive there, whose leases have to be renewed.
	HasRuns bool
	// NeedsReport says that the target has not reported to this planner yet, or is suspect or
	// unresponsive.
	NeedsReport bool
	// Removed says that the target is neither listed nor able to run anything.
	Removed bool
	// LastEnd is the number of the last ended run that was processed.
	LastEnd int64
	// Unresponsive says that the target has left a renewal unanswered for longer than
	// unresponsiveAfter.
	Unresponsive bool
	// Suspect says that the target has left an order unanswered and accepted none since.
	Suspect bool
	// IdleRenewalIn is the time until a target without runs has to be renewed; Idle says that it has.
	IdleRenewalIn time.Duration
	Idle          bool
	// Withheld says that no lease and no start is granted, because a successor may count on that.
	Withheld bool
	// TakesNoStarts says that the target drains and that a start may arrive there too late.
	TakesNoStarts bool
	// Cordoned says that the target's availability zone is cordoned.
	Cordoned bool
}

// TargetStatus returns the state of a target; only Removed is set for one that is not known.
func (s *Scheduler) TargetStatus(now time.Time, id string) TargetStatus {
	n := s.nodes[id]
	if n == nil {
		return TargetStatus{Removed: true}
	}
	status := TargetStatus{
		Listing: n.Listing, HasRuns: len(n.members)+len(n.unknownStops) > 0, NeedsReport: n.needsReport(now), LastEnd: n.lastEnd, Removed: n.removed(),
		Unresponsive: n.unresponsive(now), Suspect: n.suspect, Withheld: s.isWithheld(id), TakesNoStarts: n.takesNoStarts(now, s.Limits.DrainTime), Cordoned: s.isCordoned(n),
	}
	status.IdleRenewalIn, status.Idle = n.idleRenewalIn(now)
	return status
}

// needsReport reports whether the target has not reported to this planner yet, or is suspect or
// unresponsive.
func (n *node) needsReport(now time.Time) bool {
	return !n.contacted || n.suspect || n.unresponsive(now)
}

// TargetsToReport returns the IDs of the targets that have not reported to this planner yet, or are
// suspect or unresponsive, in order.
func (s *Scheduler) TargetsToReport(now time.Time) []string {
	var out []string
	for _, n := range s.ordered {
		if n.needsReport(now) {
			out = append(out, n.ID)
		}
	}
	return out
}

// Targets returns the IDs of all known targets in order.
func (s *Scheduler) Targets() []string {
	out := make([]string, len(s.ordered))
	for i, n := range s.ordered {
		out[i] = n.ID
	}
	return out
}

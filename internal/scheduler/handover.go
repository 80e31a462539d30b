package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// handoverSilence is how long a target with runs has to be silent before it is handed over.
	handoverSilence = 3 * time.Second
	// maxHandoverTargets, maxHandoverOrganisations and maxHandoverBytes bound the record.
	// handoverEntryBytes is more than an entry takes up without its name.
	maxHandoverTargets       = 2000
	maxHandoverOrganisations = 300
	maxHandoverBytes         = 200 << 10
	handoverEntryBytes       = 40
)

// handover holds what this planner promises to its successor, and what a former planner promised.
type handover struct {
	// number counts the records that were offered.
	number int64
	// withheld holds, by target, the number of the last record that lists it, 0 for that of the former
	// planner. A record with such a target is stored, or may be: the target is granted no lease and no
	// start until a later one is durable.
	withheld map[string]int64
	// inherited holds, by target, what the former planner's record says, until the target reports.
	inherited map[string]inheritedSilence
}

// inheritedSilence says when the leases that former planners granted to a silent target have ended.
type inheritedSilence struct {
	born        int64
	leasesEndAt time.Time
}

// InheritHandover takes over the record that the planner of the term before this one wrote last. The
// record is read after this term began, so it can't change any more, and what it says counts from now.
func (s *Scheduler) InheritHandover(now time.Time, record *wire.HandoverRecord) {
	s.initialise()
	for id, silent := range record.GetSilentTargets() {
		leasesEndIn := max(0, silent.GetLeasesEndIn().AsDuration())
		s.handover.withheld[id] = 0
		s.handover.inherited[id] = inheritedSilence{born: silent.GetBorn(), leasesEndAt: now.Add(leasesEndIn)}
		s.log("silent target inherited", Fields{"target": id, "born": silent.GetBorn(), "leasesEndIn": leasesEndIn})
	}
	s.InheritUsage(now, record.GetUsedTargetSeconds())
}

// HandoverChanged reports whether other targets are silent than the last record says that was offered
// or inherited.
func (s *Scheduler) HandoverChanged(now time.Time) bool {
	silent := s.silentNodes(now)
	if s.handover.number == 0 && len(s.handover.withheld) > 0 {
		// The record is the former planner's; a successor reads only one of this term.
		return true
	}
	listed := 0
	for _, number := range s.handover.withheld {
		if number == s.handover.number {
			listed++
		}
	}
	return listed != len(silent) || slices.ContainsFunc(silent, func(n *node) bool {
		number, withheld := s.handover.withheld[n.ID]
		return !withheld || number != s.handover.number
	})
}

// OfferHandover returns the record to be written for a successor; nil if there is nothing to say and no
// earlier record to replace. From now on the targets in it are granted no lease. A record is offered
// only after the one before has become durable.
func (s *Scheduler) OfferHandover(now time.Time) *wire.HandoverRecord {
	s.initialise()
	record := &wire.HandoverRecord{SilentTargets: map[string]*wire.SilentTarget{}}
	record.UsedTargetSeconds = largestUsages(s.Usage())
	silent := s.silentNodes(now)
	if len(silent) == 0 && len(s.handover.withheld) == 0 && len(record.GetUsedTargetSeconds()) == 0 {
		return nil
	}
	last := s.handover.number
	s.handover.number++
	for _, n := range silent {
		born := n.Born
		if born == 0 {
			born = s.handover.inherited[n.ID].born
		}
		// Rounded up, so that the successor never counts less.
		leasesEndIn := max(0, s.handoverEnd(now, n).Sub(now)).Truncate(time.Millisecond) + time.Millisecond
		record.SilentTargets[n.ID] = &wire.SilentTarget{Born: born, LeasesEndIn: durationpb.New(leasesEndIn)}
		number, withheld := s.handover.withheld[n.ID]
		s.handover.withheld[n.ID] = s.handover.number
		if !withheld || number != last {
			s.log("silent target handed over", n.fields(now).with(Fields{"number": s.handover.number, "leasesEndIn": leasesEndIn, "runs": len(n.members), "listed": n.listed}))
		}
	}
	return record
}

// HandoverDurable handles that the record that was offered last is durable: targets that are not in it
// may be granted leases.
func (s *Scheduler) HandoverDurable() {
	for _, id := range slices.Sorted(maps.Keys(s.handover.withheld)) {
		if s.handover.withheld[id] < s.handover.number {
			delete(s.handover.withheld, id)
			s.log("silent target released", Fields{"target": id, "number": s.handover.number})
		}
	}
}

// WithheldTargets returns the number of targets that are granted no lease because a record for a
// successor lists them.
func (s *Scheduler) WithheldTargets() int { return len(s.handover.withheld) }

// isWithheld reports whether a target is granted neither leases nor starts because a record that lists it
// may be the one that a successor reads.
func (s *Scheduler) isWithheld(id string) bool {
	_, withheld := s.handover.withheld[id]
	return withheld
}

// silentNodes returns the targets to be handed over, those that have been silent for longest first.
func (s *Scheduler) silentNodes(now time.Time) []*node {
	var silent []*node
	for _, n := range s.ordered {
		if s.isSilent(now, n) {
			silent = append(silent, n)
		}
	}
	slices.SortStableFunc(silent, func(a, b *node) int { return a.silenceBegan(now).Compare(b.silenceBegan(now)) })
	bytes := 0
	for i, n := range silent {
		if bytes += len(n.ID) + handoverEntryBytes; i >= maxHandoverTargets || bytes > maxHandoverBytes/2 {
			return silent[:i]
		}
	}
	return silent
}

// isSilent reports whether a target has runs and has not answered for handoverSilence, or has left. One that a former
// planner handed over is silent until it has reported. A start that is under way would be carried out
// after the promise, so such a target is not handed over.
func (s *Scheduler) isSilent(now time.Time, n *node) bool {
	if len(n.members) == 0 || len(n.startsUnderWay) > 0 {
		return false
	}
	if !n.contacted {
		return s.inheritedEnd(n) != nil || now.Sub(n.knownSince) > handoverSilence
	}
	return n.hasLeft(now) || (n.renewalSentAt.After(n.lastContact) && now.Sub(n.renewalSentAt) > handoverSilence)
}

// silenceBegan returns since when a silent target has not answered, as far as this planner knows.
func (n *node) silenceBegan(now time.Time) time.Time {
	switch {
	case !n.contacted:
		return n.knownSince
	case n.hasLeft(now):
		return n.lastContact
	}
	return n.renewalSentAt
}

// inheritedEnd returns when the leases of former planners on a target that has not reported have ended,
// as the last of them wrote; nil if that is not known of the incarnation that this planner knows.
func (s *Scheduler) inheritedEnd(n *node) *time.Time {
	inherited, ok := s.handover.inherited[n.ID]
	if !ok || n.contacted || (n.Born != 0 && n.Born != inherited.born) {
		return nil
	}
	return &inherited.leasesEndAt
}

// handoverEnd returns when nothing that this or a former planner ordered can keep a run alive on a silent
// target. It is no earlier than leasesEndAt: a start without an answer may be carried out by an incarnation
// that this planner does not know, and also one of a former planner, of which only the last can be known
// here. A former planner sent its last one before this planner knew the target.
func (s *Scheduler) handoverEnd(now time.Time, n *node) time.Time {
	lateOver := lateStartPeriod + longestLease(s.Limits.TaskLease)
	end := s.leasesEndAt(now, n)
	formerStarts := n.knownSince.Add(lateOver)
	if inherited := s.inheritedEnd(n); inherited != nil {
		formerStarts = *inherited
	}
	if !s.FirstTerm {
		end = later(end, formerStarts)
	}
	for _, late := range n.lateStarts {
		end = later(end, late.sent.Add(lateOver))
	}
	return end
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// largestUsages returns at most maxHandoverOrganisations of the organisations' used capacity, the largest.
func largestUsages(used map[string]float64) map[string]float64 {
	names := slices.SortedFunc(maps.Keys(used), func(a, b string) int { return cmp.Or(cmp.Compare(used[b], used[a]), cmp.Compare(a, b)) })
	kept, bytes := map[string]float64{}, 0
	for _, name := range names {
		if bytes += len(name) + handoverEntryBytes; len(kept) >= maxHandoverOrganisations || bytes > maxHandoverBytes/2 {
			break
		}
		kept[name] = used[name]
	}
	return kept
}

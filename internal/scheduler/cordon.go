package scheduler

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/cordon"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// SetCordons puts cordons in force. Starts in a newly cordoned zone that were not sent, or not
// answered, are withdrawn. Runs there go on.
func (s *Scheduler) SetCordons(now time.Time, set *cordon.Set) {
	s.initialise()
	former := s.cordons
	if former == nil {
		former = &cordon.Set{}
	}
	s.cordons = set
	for _, zone := range set.Zones() {
		if !former.Has(zone) {
			s.logCordon(now, "zone cordoned", zone, set.Revisions[zone])
			s.withdrawStarts(now, zone)
		}
	}
	for _, zone := range former.Zones() {
		if !set.Has(zone) {
			s.logCordon(now, "zone uncordoned", zone, former.Revisions[zone])
		}
	}
}

// cordonsKnown reports whether starts can be decided: where a bound holds for cordons, they have to be
// known first.
func (s *Scheduler) cordonsKnown() bool {
	return s.Limits.CordonTime <= 0 || (s.cordons != nil && !s.cordons.Confirmed.IsZero())
}

// isCordoned reports whether a target's zone is cordoned.
func (s *Scheduler) isCordoned(n *node) bool { return s.cordons != nil && s.cordons.Has(n.Zone) }

// logCordon logs that the cordon of a zone begins or ends, with the targets there and the free capacity
// of the listed targets that are not cordoned.
func (s *Scheduler) logCordon(now time.Time, event, zone string, revision int64) {
	targets, runs, left, free := 0, 0, 0, workload.Resources{}
	for _, n := range s.ordered {
		if n.Zone == zone {
			targets, runs = targets+1, runs+len(n.members)
		}
		if n.listed && !n.Draining && !s.isCordoned(n) {
			left, free = left+1, free.Plus(n.Capacity.Minus(n.used).AtLeastZero())
		}
	}
	age, _ := s.cordons.Age(now)
	s.log(event, Fields{"zone": zone, "revision": revision, "age": age, "targets": targets, "runs": runs, "targetsLeft": left, "freeCapacity": free.String()})
}

// withdrawStarts withdraws the starts on the targets of a zone that were not sent, and stops the runs of
// those that were sent and not answered: their targets may carry them out late.
func (s *Scheduler) withdrawStarts(now time.Time, zone string) {
	for _, n := range s.ordered {
		if n.Zone != zone {
			continue
		}
		for _, m := range n.sortedMembers() {
			if m.state == memberAwaitingWrite || (m.state == memberStartSent && m.startUnanswered) {
				s.StartWithdrawn(now, Start{Run: m.run, Target: n.ID}, "its zone was cordoned")
			}
		}
	}
}

// StartWithdrawn handles a start that is not sent for a reason that lies in its target. If earlier copies
// of it were not answered, its run is stopped there before the task starts elsewhere.
func (s *Scheduler) StartWithdrawn(now time.Time, start Start, reason string) {
	if m := s.wantedStart(start); m != nil {
		s.log("start withdrawn", m.fields(now).with(Fields{"zone": m.node.Zone, "reason": reason}))
		s.stopUnit(now, m.unit, reason)
	}
}

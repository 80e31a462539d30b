package scheduler

import (
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// slowestClock is how fast a target's clock surely runs: it may be 2% slow.
	slowestClock = 0.98
	// maxListedEnds is how many ends a target lists at a time.
	maxListedEnds = 500
	// quietAfter is how long after an unanswered renewal a target's lease is no longer
	// prolonged, and it is given no new work.
	quietAfter = 1400 * time.Millisecond
	// drainingLease is the lease of a target that is about to leave.
	drainingLease = 3500 * time.Millisecond
	// refusalPause keeps new work from a target that refused some.
	refusalPause = 300 * time.Millisecond
	// blamePause keeps new work from a target after a run failed there; it doubles with each failure in a row.
	blamePause    = time.Second
	maxBlamePause = 8 * time.Second
	// retryPause is how long a unit waits after a run that did not end well.
	retryPause = 50 * time.Millisecond
)

// node is a target with what is known of it.
type node struct {
	target.Listing
	listed bool
	// contacted says that this planner has had a report since the node was met or restarted.
	contacted bool
	met       time.Time
	// clock was read on the target no later than clockAt.
	clock   time.Duration
	clockAt time.Time
	// granted is the latest end of a lease on the target's clock that it may have been given.
	granted time.Duration
	heard   time.Time
	// asked is when the first renewal was sent that has not been answered.
	asked time.Time
	// seen is the last end that was processed.
	seen    int64
	used    workload.Resources
	members map[target.Run]*member
	blocked time.Time
	// failures counts runs in a row that failed here.
	failures int
	// speed is what is expected at present; usualSpeed is a logarithm.
	speed      float64
	usualSpeed float64
	// slowed is by how much the target is slower at present than usual, in logarithms.
	slowed float64
	// priorSpeed is what was known before this planner observed anything here; inherited
	// says that a former planner had observed it.
	priorSpeed float64
	inherited  bool
}

// node returns a target by ID. One that is not listed may still be running tasks.
func (s *Scheduler) node(now time.Time, id string) *node {
	n := s.nodes[id]
	if n == nil {
		n = &node{Listing: target.Listing{ID: id}, met: now, members: map[target.Run]*member{}, speed: 1}
		s.nodes[id] = n
	}
	return n
}

// Listed takes what a target says of itself.
func (s *Scheduler) Listed(now time.Time, listing target.Listing) {
	s.prepare()
	n := s.node(now, listing.ID)
	if n.listed && listing.Born < n.Born {
		return
	}
	if n.Born != 0 && listing.Born > n.Born {
		s.reborn(now, n, listing.Born)
	}
	if !n.listed || n.Draining != listing.Draining {
		s.log("target listed", Fields{"target": listing.ID, "draining": listing.Draining, "left": listing.DrainingLeft, "zone": listing.Zone, "rack": listing.Rack})
	}
	n.Listing, n.listed = listing, true
	if listing.Clock > n.clockLow(now) {
		n.clock, n.clockAt = listing.Clock, now
	}
}

// Unlisted takes the news that a target's entry is gone. It may still be running.
func (s *Scheduler) Unlisted(now time.Time, id string) {
	s.prepare()
	if n := s.nodes[id]; n != nil && n.listed {
		n.listed = false
		s.log("target unlisted", Fields{"target": id, "runs": len(n.members), "heard": now.Sub(n.heard)})
	}
}

// reborn notes that a target has restarted: nothing of its former life runs. A start
// that was not answered may yet reach the new life, so it is closed by a stop.
func (s *Scheduler) reborn(now time.Time, n *node, born int64) {
	s.log("target restarted", Fields{"target": n.ID, "born": born, "runs": len(n.members)})
	n.Born, n.clock, n.clockAt, n.granted, n.seen, n.contacted, n.failures = born, 0, time.Time{}, 0, 0, false, 0
	for _, m := range n.sorted() {
		if m.doubtful && m.state != present {
			s.stop(now, m.unit, "the target restarted with a start unanswered")
			continue
		}
		s.lose(now, m, "the target restarted")
	}
}

// clockLow is a time that the target's clock has surely reached.
func (n *node) clockLow(now time.Time) time.Duration {
	if n.clockAt.IsZero() {
		return 0
	}
	return n.clock + time.Duration(float64(now.Sub(n.clockAt))*slowestClock)
}

// Deadline returns the end, on the target's clock, of a lease that is given now, and
// notes that the target may have it. It is 0 while the clock is not known.
func (s *Scheduler) Deadline(now time.Time, id string) time.Duration {
	n := s.nodes[id]
	if n == nil || n.clockAt.IsZero() {
		return 0
	}
	if n.quiet(now) {
		// A target that does not answer is asked for news, but given no more time: its
		// runs could not be started elsewhere while it might have got it.
		return n.granted
	}
	lease := s.Limits.TaskLease
	if n.Draining {
		// It leaves without a word, and its runs can be started elsewhere only after its lease.
		lease = min(lease, drainingLease)
	}
	deadline := n.clock + now.Sub(n.clockAt) + lease
	n.granted = max(n.granted, deadline)
	return deadline
}

// Asked notes that a renewal is sent.
func (s *Scheduler) Asked(now time.Time, id string) {
	if n := s.nodes[id]; n != nil && !n.asked.After(n.heard) {
		n.asked = now
	}
}

// quiet reports whether the target has left a renewal without an answer for a while.
func (n *node) quiet(now time.Time) bool {
	return n.asked.After(n.heard) && now.Sub(n.asked) > quietAfter
}

// lapsed reports whether every lease on the target has surely ended.
func (s *Scheduler) lapsed(now time.Time, n *node) bool {
	if !n.contacted {
		// What a former planner granted is not known, and it may have gone on for a while.
		wait := s.Limits.RenewalHorizon + time.Duration(float64(s.Limits.TaskLease)/slowestClock)
		return now.Sub(n.met) > wait
	}
	return n.clockLow(now) > n.granted
}

// expire closes the runs on targets whose leases have surely ended and drops targets that are gone.
func (s *Scheduler) expire(now time.Time) {
	for id, n := range s.nodes {
		if len(n.members) > 0 && s.lapsed(now, n) {
			for _, m := range n.sorted() {
				if m.state != intended {
					s.lose(now, m, "its lease has ended without an answer from the target")
				}
			}
		}
		if !n.listed && len(n.members) == 0 {
			delete(s.nodes, id)
		}
	}
}

// lose closes a run that was lost with its target.
func (s *Scheduler) lose(now time.Time, m *member, reason string) {
	s.log("run lost", Fields{"job": m.unit.step.job.ID, "run": m.run(), "target": m.node.ID, "reason": reason, "heard": now.Sub(m.node.heard)})
	s.close(now, m, reason)
}

func (n *node) sorted() []*member {
	out := make([]*member, 0, len(n.members))
	for _, m := range n.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return compareRuns(a.run(), b.run()) })
	return out
}

// Attention is what a planner owes to a target.
type Attention struct {
	Listing target.Listing
	// Runs says that runs may be alive there, whose leases have to be renewed.
	Runs bool
	// Unknown says that the target has not reported to this planner yet, or not lately.
	Unknown bool
	// Gone says that the target is neither listed nor running anything.
	Gone bool
	// Seen is the last end that was processed.
	Seen int64
	// Quiet says that the target has not answered for a while.
	Quiet bool
}

// Attention returns what a target needs.
func (s *Scheduler) Attention(now time.Time, id string) Attention {
	n := s.nodes[id]
	if n == nil {
		return Attention{Gone: true}
	}
	return Attention{
		Listing: n.Listing, Runs: len(n.members) > 0, Unknown: !n.contacted || n.quiet(now), Seen: n.seen, Gone: !n.listed && len(n.members) == 0,
		Quiet: n.quiet(now),
	}
}

// Targets lists the IDs of the targets that are known.
func (s *Scheduler) Targets() []string {
	out := make([]string, 0, len(s.nodes))
	for id := range s.nodes {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

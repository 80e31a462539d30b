package scheduler

import "time"

// outlook is what is expected of a unit's run, as follows from all of its members. Working it out takes time in
// proportion to these, so it is kept for one round.
type outlook struct {
	// round is the round in which it was worked out.
	round int64
	// coldLeft is how much longer a target of the run is cold: the slowest target sets the pace.
	coldLeft time.Duration
	// remoteSlowdown is as unit.remoteSlowdown returns it.
	remoteSlowdown float64
	// leastPercent is the progress of the member that has made the least.
	leastPercent int
	// remaining is how long the run is expected to continue, once that is known.
	remaining      time.Duration
	knowsRemaining bool
}

// beginRound begins a round: a time during which nothing changes that outlooks follow from.
func (s *Scheduler) beginRound() { s.round++ }

// outlook returns the outlook of a unit's run in this round, which began at now.
func (s *Scheduler) outlook(now time.Time, u *unit) *outlook {
	o := &u.outlook
	if o.round == s.round {
		return o
	}
	*o = outlook{round: s.round, remoteSlowdown: u.remoteSlowdown(s.Limits.RemoteFactor), leastPercent: 100}
	for _, m := range u.members {
		o.coldLeft = max(o.coldLeft, s.coldLeft(now, m.node))
		o.leastPercent = min(o.leastPercent, m.progress.percent)
	}
	return o
}

// remainingTime returns how long a unit's run is expected to continue on its present targets, which is the time of
// its slowest member.
func (s *Scheduler) remainingTime(now time.Time, u *unit) time.Duration {
	o := s.outlook(now, u)
	if !o.knowsRemaining {
		for _, m := range u.members {
			o.remaining = max(o.remaining, s.memberRemainingTime(now, m))
		}
		o.knowsRemaining = true
	}
	return o.remaining
}

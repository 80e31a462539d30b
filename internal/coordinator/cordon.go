package coordinator

import "time"

// outdated passes the cordons to the scheduler, and says why no start may be sent now; empty if one may.
// Once a cordon was acknowledged, starts that ignore it are sent for at most half of the bound, which
// leaves the other half for them to arrive. The session's lock must be held.
func (s *session) outdated(now time.Time) string {
	if now.Sub(s.jobsSeen) > maxJobsAge {
		return "what is known of cancellations is too old"
	}
	cordons := s.Cordons()
	s.plan.SetCordons(now, cordons)
	if age, confirmed := cordons.Age(now); s.Limits.CordonTime > 0 && (!confirmed || age > s.Limits.CordonTime/2) {
		return "what is known of cordons is too old"
	}
	return ""
}

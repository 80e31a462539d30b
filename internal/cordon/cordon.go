// Package cordon describes which availability zones are cordoned: their targets are given no new work
// until an operator lifts the cordon.
package cordon

import (
	"maps"
	"slices"
	"time"
)

// Set is what a host knows of the cordons in force. It must not be changed after it was published.
type Set struct {
	// Revisions holds the cordoned zones with the store's revision of each request.
	Revisions map[string]int64
	// Confirmed is when the read or watch was sent that last confirmed the set; zero if there was none.
	Confirmed time.Time
}

// Has reports whether a zone is cordoned.
func (s *Set) Has(zone string) bool {
	_, ok := s.Revisions[zone]
	return ok
}

// Zones returns the cordoned zones in order.
func (s *Set) Zones() []string { return slices.Sorted(maps.Keys(s.Revisions)) }

// Age returns how long ago the set was confirmed, and whether it ever was.
func (s *Set) Age(now time.Time) (time.Duration, bool) {
	if s.Confirmed.IsZero() {
		return 0, false
	}
	return now.Sub(s.Confirmed), true
}

// With returns the set after the request for a zone was written, or removed, at a revision.
func (s *Set) With(zone string, revision int64, requested bool) *Set {
	next := &Set{Revisions: maps.Clone(s.Revisions), Confirmed: s.Confirmed}
	switch {
	case !requested:
		delete(next.Revisions, zone)
	case next.Revisions == nil:
		next.Revisions = map[string]int64{zone: revision}
	default:
		next.Revisions[zone] = revision
	}
	return next
}

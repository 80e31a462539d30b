package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// newSurge returns a sequence whose targets are full of urgent jobs, with waiting urgent jobs of
// unlike sizes. Nothing may be stopped for those.
func newSurge(waiting int, guaranteed int64) *sequence {
	s := newSequence(1)
	s.Configure(&catalogue.Catalogue{
		Version: 2, Queues: []catalogue.Queue{{Name: "q0", Service: "s", StretchFactor: 50}},
		Organisations: map[string]catalogue.Organisation{"other": {Name: "other"}, "o": {Name: "o", GuaranteedAccelerators: guaranteed}},
	})
	submit := func(organisation string, count int) {
		s.jobs++
		step := workload.Step{Count: count, Estimate: time.Minute, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 4}, Gang: true}
		s.Submit(s.now, &workload.Job{ID: fmt.Sprintf("%016x", s.jobs), Queue: "q0", Organisation: organisation, Accepted: s.now, Steps: []workload.Step{step}})
	}
	for i := range fleetSize {
		s.restart(i)
		s.ReportReceived(s.now, targetName(i), s.now, target.Report{Born: s.born[i], Clock: time.Minute})
		submit("other", 1)
	}
	s.Step(s.now)
	for i := range waiting {
		submit("o", 1+i)
	}
	return s
}

// Guards against: in a surge of urgent jobs each step searches all targets for each of them, or the
// jobs behind the first ones are never searched for.
func TestSearchesForRunsToStopAreBoundedInASurge(t *testing.T) {
	const waiting = 3 * maxSearches
	s := newSurge(waiting, 0)
	for range 5 {
		s.now = s.now.Add(15 * time.Millisecond)
		s.Step(s.now)
		if s.pass.searches > maxSearches {
			t.Errorf("have %d failed searches in one pass, want at most %d", s.pass.searches, maxSearches)
		}
	}
	searched := 0
	for _, j := range s.open {
		if !j.occurrences[0].steps[0].searchAgainAt.IsZero() {
			searched++
		}
	}
	if searched < waiting {
		t.Errorf("have %d jobs searched for after five passes, want %d", searched, waiting)
	}
}

// Guards against: a guarantee that is overdue waits because other searches have failed.
func TestOverdueGuaranteeIsSearchedForInASurge(t *testing.T) {
	s := newSurge(3*maxSearches, 1<<20)
	s.now = s.now.Add(guaranteeWait)
	s.Step(s.now)
	if s.pass.searches <= maxSearches {
		t.Errorf("have %d searches for overdue guarantees, want one for each job", s.pass.searches)
	}
}

package overload_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/overload"
	"github.com/eelgrasstide/eelgrasstide/internal/terms"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

var start = time.Unix(1_800_000_000, 0)

// surge is the load beyond capacity: a new job waits for 20 s, and has done so for a minute.
func surge() *load.Digest {
	return &load.Digest{
		Queues: map[string]load.Queue{"q": {ExpectedWait: 20 * time.Second, ShortFor: time.Minute, EstimateRatio: 1, MeanWork: 10}},
		Organisations: map[string]load.Organisation{
			"flood": {UsedShare: 0.9, FairShare: 0.25, WaitingWork: 100}, "quiet": {UsedShare: 0.05, FairShare: 0.25, WaitingWork: 1}, "guaranteed": {FairShare: 0.25, UrgentAccelerators: 8},
		},
		Services: map[string]load.Service{"s": {Targets: 40, Largest: workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 8}}},
	}
}

// submission is a job of two steps of 5 s, one after the other, which is worth nothing after 40 s.
func submission() overload.Submission {
	return overload.Submission{Hosts: 1, Job: &workload.Job{
		ID: "j", Queue: "q", Organisation: "quiet", AcceptedTerms: terms.Terms{Service: "s", Priority: 1, StretchFactor: 2},
		Steps: []workload.Step{
			{Count: 1, Estimate: 5 * time.Second, Needs: workload.Resources{Accelerators: 1}},
			{Count: 2, Estimate: 5 * time.Second, Needs: workload.Resources{Accelerators: 1}, After: []int{0}},
		},
	}}
}

// The load: a surge beyond capacity. Guards against refusals of jobs that could run and end in time, that a
// guarantee covers, or for which the wait now says nothing, and against accepting jobs that can only waste capacity.
func TestSurgeBeyondCapacity(t *testing.T) {
	cases := map[string]struct {
		change  func(*load.Queue, *overload.Submission)
		refused bool
	}{
		"ends in time":  {func(*load.Queue, *overload.Submission) {}, false},
		"ends too late": {func(q *load.Queue, _ *overload.Submission) { q.ExpectedWait = 31 * time.Second }, true},
		"a burst": {func(q *load.Queue, _ *overload.Submission) {
			q.ExpectedWait, q.ShortFor = 31*time.Second, time.Second
		}, false},
		"estimates are too high": {func(q *load.Queue, _ *overload.Submission) { q.EstimateRatio = 0.5 }, true},
		"steps side by side":     {func(_ *load.Queue, s *overload.Submission) { s.Job.Steps[1].After = nil }, true},
		"another queue":          {func(_ *load.Queue, s *overload.Submission) { s.Job.Queue, s.Job.Steps[1].After = "r", nil }, false},
		"a longer objective": {func(q *load.Queue, s *overload.Submission) {
			q.ExpectedWait, s.Job.AcceptedTerms.RuntimeObjective = 31*time.Second, time.Second
		}, false},
		"no objective": {func(_ *load.Queue, s *overload.Submission) { s.Job.AcceptedTerms.StretchFactor = 0 }, false},
		"scheduled for later": {func(q *load.Queue, s *overload.Submission) {
			q.ExpectedWait, s.Job.RepeatCount = 31*time.Second, 1
		}, false},
		"runs until it is cancelled": {func(q *load.Queue, s *overload.Submission) {
			q.ExpectedWait, s.Job.Steps[1].LongRunning = 31*time.Second, true
		}, false},
		"a guarantee covers it": {func(q *load.Queue, s *overload.Submission) {
			q.ExpectedWait, s.Job.Organisation, s.Job.AcceptedTerms.Priority, s.Guaranteed = time.Minute, "guaranteed", 0, 10
		}, false},
		"the guarantee is used up": {func(q *load.Queue, s *overload.Submission) {
			q.ExpectedWait, s.Job.Organisation, s.Job.AcceptedTerms.Priority, s.Guaranteed = time.Minute, "guaranteed", 0, 9
		}, true},
		"too large for any target": {func(_ *load.Queue, s *overload.Submission) { s.Job.Steps[0].Needs.Accelerators = 9 }, true},
		"cores that are not counted": {func(_ *load.Queue, s *overload.Submission) {
			s.Job.Steps[0].Needs.MilliCores, s.Job.Steps[0].Fills = 9000, true
		}, false},
		"a service without targets": {func(_ *load.Queue, s *overload.Submission) {
			s.Job.AcceptedTerms.Service, s.Job.Steps[0].Needs.Accelerators = "t", 9
		}, false},
	}
	for name, test := range cases {
		digest, submitted := surge(), submission()
		queue := digest.Queues["q"]
		test.change(&queue, &submitted)
		digest.Queues["q"] = queue
		if refusal := new(overload.Policy).Decide(start, digest, submitted); (refusal != nil) != test.refused {
			t.Errorf("%s: have %+v, want it refused: %t", name, refusal, test.refused)
		}
	}
}

// The load: one organisation floods. Guards against a flood that gets others refused, at any of the hosts, and
// against limits while nobody else waits.
func TestOneOrganisationFloods(t *testing.T) {
	const hosts, seconds = 5, 20
	accepted := map[string]int{}
	var policies [hosts]overload.Policy
	digest := surge()
	submit := func(at time.Time, host int, organisation, queue string) {
		submitted := submission()
		submitted.Job.Organisation, submitted.Job.Queue, submitted.Hosts = organisation, queue, hosts
		if policies[host].Decide(at, digest, submitted) == nil {
			accepted[organisation+"/"+queue]++
		}
	}
	digest.Queues["r"] = digest.Queues["q"]
	for i := range seconds * 100 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		submit(at, i%hosts, "flood", "q")
		if i%100 == 0 {
			submit(at, i%hosts, "quiet", "q")
			submit(at, (i/100)%hosts, "flood", "r")
		}
	}
	// Twice a quarter of 40 targets is busy with two jobs of 10 target-seconds each second.
	if have := accepted["flood/q"]; have < 2*seconds || have > 2*seconds+2*hosts {
		t.Errorf("the flood: %d jobs accepted in %d s, want 2 a second", have, seconds)
	}
	if accepted["quiet/q"] != seconds || accepted["flood/r"] != seconds {
		t.Errorf("another organisation and another queue: have %v accepted, want all %d", accepted, seconds)
	}
	accepted = map[string]int{}
	for i := range 100 {
		submit(start.Add(time.Hour), i%hosts, "quiet", "q")
	}
	delete(digest.Organisations, "quiet")
	for i := range 100 {
		submit(start.Add(time.Hour), i%hosts, "flood", "q")
	}
	if accepted["quiet/q"] != 100 || accepted["flood/q"] != 100 {
		t.Errorf("within its share, and while nobody else waits: have %v accepted, want all 100", accepted)
	}
}

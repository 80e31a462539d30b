package scheduler_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// longestLease is how long after its sending a lease may last; fullBound is how long a planner without a
	// former one's record waits for a silent target.
	longestLease = 700*time.Millisecond + lease*100/98
	fullBound    = horizon + longestLease
	// formerStarts is how long after a planner knows a target starts of a former one may be alive there.
	formerStarts = 15*time.Second + longestLease
)

// silenceFirst starts a task on t0 when no start of a former planner can be alive, and lets t0 be silent.
func (f *fixture) silenceFirst(answer target.Answer, silence time.Duration) scheduler.Start {
	f.t.Helper()
	f.advance(formerStarts)
	f.report(0, target.Report{})
	first := f.startFirst(answer)
	f.silence(silence)
	return first
}

// succeed returns a successor that has read the progress of silenceFirst's job and a record. It lists and
// hears t1.
func (f *fixture) succeed(record *wire.HandoverRecord) *fixture {
	next := newFixture(f.t, 0)
	next.now = f.now
	next.InheritHandover(next.now, record)
	next.Restore(next.now, &workload.Job{ID: "a", Queue: "batch", Organisation: "o", Accepted: f.now, Steps: []workload.Step{smallStep(1)}}, &wire.ProgressRecord{
		Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitRecord{{Run: 1, Targets: []string{"t0"}}},
	})
	next.TargetListed(next.now, next.listing(1))
	next.report(1, target.Report{})
	return next
}

// startedAgainAfter returns how long it takes until the task of silenceFirst starts on t1.
func (f *fixture) startedAgainAfter() time.Duration {
	for began := f.now; f.now.Sub(began) < time.Minute; f.advance(50 * time.Millisecond) {
		f.report(1, target.Report{})
		if starts := f.Step(f.now).Starts; len(starts) > 0 {
			return f.now.Sub(began)
		}
	}
	return time.Minute
}

// Guards against: a successor waits its own bound for a target whose leases the former planner knew to have
// ended, or less than it has to where the record says nothing about the target's present incarnation.
func TestSuccessorWaitsForLeasesThatWereHandedOver(t *testing.T) {
	const left = 2 * time.Second
	record := &wire.HandoverRecord{SilentTargets: map[string]*wire.SilentTarget{"t0": {Born: firstBorn, LeasesEndIn: durationpb.New(left)}}}
	for name, tt := range map[string]struct {
		record *wire.HandoverRecord
		change func(*fixture)
		want   time.Duration
	}{
		"not listed":                  {record, func(*fixture) {}, left},
		"listed":                      {record, func(f *fixture) { f.restart(0, firstBorn) }, 5 * time.Second},
		"listed as another":           {record, func(f *fixture) { f.restart(0, 2) }, fullBound},
		"heard and restarted":         {record, func(f *fixture) { f.reportFrom(0, 2, f.now, target.Report{}) }, 0},
		"not in the record":           {&wire.HandoverRecord{}, func(*fixture) {}, fullBound},
		"the record is longer by far": {&wire.HandoverRecord{SilentTargets: map[string]*wire.SilentTarget{"t0": {Born: firstBorn, LeasesEndIn: durationpb.New(time.Minute)}}}, func(*fixture) {}, fullBound},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1).succeed(tt.record)
			tt.change(f)
			if have := f.startedAgainAfter(); have < tt.want || have > tt.want+250*time.Millisecond {
				t.Errorf("started elsewhere after %s, want %s", have, tt.want)
			}
		})
	}
}

// Guards against: what is handed over ends before a lease that the planner granted, or before a start may have
// been carried out that it or a former planner sent.
func TestHandoverCoversLeasesAndStarts(t *testing.T) {
	for name, tt := range map[string]struct {
		silence func(*fixture)
		want    time.Duration
	}{
		// The last lease was granted until 1.4 s after the first renewal without an answer.
		"leases":               {func(f *fixture) { f.silenceFirst(target.Accepted, 3200*time.Millisecond) }, lease + 700*time.Millisecond - 1700*time.Millisecond},
		"leases that are over": {func(f *fixture) { f.silenceFirst(target.Accepted, 10*time.Second) }, 0},
		"a start without an answer": {func(f *fixture) {
			f.silenceFirst(target.Unanswered, 3200*time.Millisecond)
		}, formerStarts - 3200*time.Millisecond},
		"a start of a former planner": {func(f *fixture) {
			f.startFirst(target.Accepted)
			f.silence(3200 * time.Millisecond)
		}, formerStarts - 3200*time.Millisecond},
		"no former planner": {func(f *fixture) {
			f.FirstTerm = true
			f.startFirst(target.Accepted)
			f.silence(3200 * time.Millisecond)
		}, lease + 700*time.Millisecond - 1700*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			tt.silence(f)
			silent := f.OfferHandover(f.now).GetSilentTargets()["t0"]
			if have := silent.GetLeasesEndIn().AsDuration(); silent.GetBorn() != firstBorn || have < tt.want || have > tt.want+400*time.Millisecond {
				t.Errorf("have t0 handed over as %v, want born %d and %s", silent, firstBorn, tt.want)
			}
		})
	}
}

// Guards against: a target is handed over while a start is on its way to it, which it may carry out at any time.
func TestTargetWithAStartUnderWayIsNotHandedOver(t *testing.T) {
	f := newFixture(t, 2)
	f.advance(formerStarts)
	f.report(0, target.Report{})
	f.send(f.placeFirst())
	f.silence(4 * time.Second)
	if record := f.OfferHandover(f.now); record != nil {
		t.Errorf("have record %v while a start is under way, want none", record)
	}
}

// Guards against two runs of one task: a target is granted a lease, or given a start, while the record that a
// successor reads may say that its leases have ended.
func TestTargetThatIsHandedOverGetsNoLease(t *testing.T) {
	f := newFixture(t, 1)
	first := f.silenceFirst(target.Accepted, 3200*time.Millisecond)
	want := func(granted bool, when string) {
		t.Helper()
		f.report(0, target.Report{Running: []target.Running{{Run: first.Run}}})
		if have := f.Deadline(f.now, "t0") > 0; have != granted || f.TargetStatus(f.now, "t0").Withheld == granted {
			t.Errorf("a lease %s: have granted %t, want %t", when, have, granted)
		}
	}
	want(true, "before the target was handed over")
	f.silence(3200 * time.Millisecond)
	f.OfferHandover(f.now)
	want(false, "before the record is durable")
	f.HandoverDurable()
	want(false, "after the record is durable")
	f.submit("b", "batch", smallStep(1))
	if starts := f.Step(f.now).Starts; len(starts) > 0 {
		t.Errorf("have starts %v on the target that was handed over, want none", starts)
	}
	if !f.HandoverChanged(f.now) {
		t.Error("HandoverChanged: have false after the target has reported, want true")
	}
	f.OfferHandover(f.now)
	want(false, "before the record without it is durable")
	f.HandoverDurable()
	want(true, "after the record without it is durable")
}

// Guards against two runs of one task: a planner grants a lease to a target that its predecessor handed over,
// and is lost before it writes a record of its own.
func TestSuccessorKeepsWhatWasPromised(t *testing.T) {
	f := newFixture(t, 2)
	first := f.silenceFirst(target.Accepted, 10*time.Second)
	next := f.succeed(f.OfferHandover(f.now))
	next.TargetListed(next.now, next.listing(0))
	next.report(0, target.Report{Running: []target.Running{{Run: first.Run}}})
	if have := next.Deadline(next.now, "t0"); have != 0 {
		t.Errorf("Deadline before a record of this term: have %s, want none", have)
	}
	if !next.HandoverChanged(next.now) {
		t.Fatal("HandoverChanged: have false while the last record is the former planner's, want true")
	}
	next.OfferHandover(next.now)
	next.HandoverDurable()
	if have := next.Deadline(next.now, "t0"); have == 0 {
		t.Error("Deadline after a record of this term without the target: have none, want one")
	}
}

// Guards against: the third planner in a row waits anew, because the second had not known the target for long
// enough to hand it over.
func TestSuccessorHandsOverAtOnceWhatItInherited(t *testing.T) {
	f := newFixture(t, 2)
	f.silenceFirst(target.Accepted, 3200*time.Millisecond)
	next := f.succeed(f.OfferHandover(f.now))
	next.advance(time.Second)
	last := next.succeed(next.OfferHandover(next.now))
	if have := last.startedAgainAfter(); have > lease {
		t.Errorf("the third planner starts the task elsewhere after %s, want at most %s", have, lease)
	}
}

// Guards against: a target has left at the end of its drain, the planner is lost right after it, and its successor keeps
// the target's tasks as running for as long as a former planner could have renewed their leases.
func TestTargetThatHasLeftIsHandedOverAtOnce(t *testing.T) {
	unlisted := func(f *fixture) { f.TargetUnlisted(f.now, "t0") }
	unanswered := func(f *fixture) { f.OrderAnswered(f.now, "t0", f.now, target.Unanswered) }
	for name, tt := range map[string]struct {
		drains time.Duration
		sign   func(*fixture)
		// answers says that the target answers after the sign.
		answers bool
		want    bool
	}{
		"its entry is gone":                      {drains: time.Minute, sign: unlisted, want: true},
		"its time is over and it doesn't answer": {drains: 2 * time.Second, sign: unanswered, want: true},
		"its time is not over":                   {drains: time.Minute, sign: unanswered},
		"its time is over and it answers":        {drains: 2 * time.Second, sign: func(*fixture) {}},
		"it answers without an entry":            {drains: time.Minute, sign: unlisted, answers: true},
		"it did not drain":                       {sign: unlisted},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.advance(formerStarts)
			f.report(0, target.Report{})
			first := f.startFirst(target.Accepted)
			listing := f.listing(0)
			listing.Draining, listing.DrainRemaining = tt.drains > 0, tt.drains
			f.TargetListed(f.now, listing)
			for range 2 {
				f.advance(time.Second)
				f.RenewalSent(f.now, "t0")
				f.Deadline(f.now, "t0")
				f.report(0, target.Report{Running: []target.Running{{Run: first.Run}}})
			}
			f.advance(100 * time.Millisecond)
			tt.sign(f)
			f.advance(100 * time.Millisecond)
			if tt.answers {
				f.report(0, target.Report{Running: []target.Running{{Run: first.Run}}})
			}
			if have := f.HandoverChanged(f.now); have != tt.want {
				t.Fatalf("HandoverChanged: have %t, want %t", have, tt.want)
			}
			if !tt.want {
				return
			}
			// The planner granted 3.5 s last, and 6 s before it knew of the drain.
			earliest, latest := 3300*time.Millisecond, lease
			if have := f.succeed(f.OfferHandover(f.now)).startedAgainAfter(); have < earliest || have > latest {
				t.Errorf("the successor starts the task elsewhere after %s, want %s to %s", have, earliest, latest)
			}
		})
	}
}

// Guards against: the record of a silent zone and many organisations outgrows what the store takes.
func TestHandoverIsBounded(t *testing.T) {
	f := newFixture(t, 0)
	units := []*wire.UnitRecord{}
	const tasks = 3000
	for i := range tasks {
		units = append(units, &wire.UnitRecord{Index: int32(i), Run: 1, Targets: []string{f.listing(i).ID}})
	}
	f.Restore(f.now, &workload.Job{ID: "a", Queue: "batch", Organisation: "o", Steps: []workload.Step{smallStep(tasks)}}, &wire.ProgressRecord{Units: units})
	f.Limits.ShareHalfLife = time.Hour
	used := map[string]float64{}
	for i := range tasks {
		used[f.listing(i).ID] = float64(i)
	}
	f.InheritUsage(f.now, used)
	f.advance(4 * time.Second)
	f.Step(f.now)
	record := f.OfferHandover(f.now)
	if targets, organisations := len(record.GetSilentTargets()), len(record.GetUsedTargetSeconds()); targets != 2000 || organisations != 300 {
		t.Errorf("have %d targets and %d organisations, want 2000 and 300", targets, organisations)
	}
	if _, ok := record.GetUsedTargetSeconds()[f.listing(tasks-1).ID]; !ok {
		t.Error("the organisation that used most is left out")
	}
}

package intake_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/backoff"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const testJob = "0123456789abcdef"

func callOf(organisation, id string) intake.Call {
	return intake.Call{Queue: "q", Organisation: organisation, ID: id}
}

// markKeys returns the keys of the test job's cancellations.
func markKeys(t *testing.T, store *batchstore.Store) []string {
	t.Helper()
	items, _, err := store.List(t.Context(), records.PrefixOfJob(testJob))
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, item := range items {
		if _, ok := records.ParseCancelledKey(item.Key); ok {
			keys = append(keys, item.Key)
		}
	}
	return keys
}

// Guards against: a caller reads the state of another organisation's job, or cancels it. Its calls are answered
// like those about an unknown job, and the owner's as before, also if a progress record names no organisation.
func TestJobOfAnotherOrganisation(t *testing.T) {
	owner := "o"
	for name, progress := range map[string]*wire.ProgressRecord{
		"not started":                      nil,
		"running":                          {Phase: wire.JobPhase_JOB_PHASE_RUNNING, Organisation: &owner},
		"running, from an earlier release": {Phase: wire.JobPhase_JOB_PHASE_RUNNING},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &batchstore.Store{}
				i := newIntake(store)
				if err := i.Submit(t.Context(), callOf(owner, testJob), job(testJob)); err != nil {
					t.Fatal(err)
				}
				want := wire.JobPhase_JOB_PHASE_QUEUED
				if progress != nil {
					want = progress.GetPhase()
					value, err := records.Encode(progress)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := store.Commit(t.Context(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.ProgressKey(testJob), Value: value}}}); err != nil {
						t.Fatal(err)
					}
				}
				for _, stranger := range []string{"p", ""} {
					_, have := i.State(t.Context(), callOf(stranger, testJob))
					_, unknown := i.State(t.Context(), callOf(stranger, "fedcba9876543210"))
					if !errkind.Gone.Is(have) || len(errkind.Message(have)) != len(errkind.Message(unknown)) {
						t.Errorf("State by organisation %q: have %v, want the answer for an unknown job", stranger, have)
					}
					if err := i.Cancel(t.Context(), callOf(stranger, testJob)); !errkind.Gone.Is(err) {
						t.Errorf("Cancel by organisation %q: have %v, want a gone error", stranger, err)
					}
				}
				if have, err := i.State(t.Context(), callOf(owner, testJob)); err != nil || have != want {
					t.Errorf("State by the owner: have %s (%v), want %s", have, err, want)
				}
				if err := i.Cancel(t.Context(), callOf(owner, testJob)); err != nil {
					t.Errorf("Cancel by the owner: have %v, want no error", err)
				}
				if mark := records.CancellationBy(testJob, owner).Key(); !slices.Contains(markKeys(t, store), mark) {
					t.Errorf("marks after the owner's cancelling: have %v, want one of them %s", markKeys(t, store), mark)
				}
			})
		})
	}
}

// Guards against cancelled jobs that run while hosts are upgraded: a planner of an earlier release obeys only
// the mark that binds any submission. Once all hosts are new it must not be written, as it binds other
// organisations' jobs too.
func TestMarkForHostsOfAnEarlierRelease(t *testing.T) {
	for earlier, want := range map[bool][]string{
		true:  {records.CancelledKey(testJob), records.CancellationBy(testJob, "o").Key()},
		false: {records.CancellationBy(testJob, "o").Key()},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := &batchstore.Store{}
			i := newIntake(store)
			i.EarlierHosts = func() bool { return earlier }
			if err := i.Cancel(t.Context(), callOf("o", testJob)); !errkind.Gone.Is(err) {
				t.Errorf("Cancel: have %v, want a gone error", err)
			}
			if have := markKeys(t, store); !slices.Equal(have, want) {
				t.Errorf("marks with earlier hosts %t: have %v, want %v", earlier, have, want)
			}
		})
	}
}

// cancelWave cancels unknown jobs at once and returns how many of the calls were refused.
func cancelWave(t *testing.T, i *intake.Intake, store *batchstore.Store, first, count int) int {
	t.Helper()
	var wait sync.WaitGroup
	var refused atomic.Int64
	for number := first; number < first+count; number++ {
		wait.Go(func() {
			call := callOf("o", fmt.Sprintf("%016x", number))
			err := i.Cancel(t.Context(), call)
			if errkind.Gone.Is(err) {
				return
			}
			refused.Add(1)
			if _, ok := backoff.Of(err); !ok || !errkind.Unavailable.Is(err) {
				t.Errorf("Cancel over the limit: have %v, want an unavailable error with a time to return", err)
			}
			if item, err := store.Get(t.Context(), records.CancellationBy(call.ID, "o").Key()); err != nil || item != nil {
				t.Errorf("the mark of a refused cancelling: have %v (%v), want none", item, err)
			}
		})
	}
	wait.Wait()
	return int(refused.Load())
}

// Guards against a store and a planner filled with marks of jobs that nobody submits. A wave of an ordinary
// client passes, jobs that the store has are cancelled without a limit, other organisations are not affected,
// and a refusal leaves no mark.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchstore.Store{}
		i := newIntake(store)
		if err := i.Submit(t.Context(), callOf("o", testJob), job(testJob)); err != nil {
			t.Fatal(err)
		}
		if refused := cancelWave(t, i, store, 0, 1000); refused != 0 {
			t.Errorf("of a wave of 1000 cancellations %d were refused, want none", refused)
		}
		if refused := cancelWave(t, i, store, 1000, 5000); refused == 0 {
			t.Error("of 5000 more cancellations of unknown jobs none was refused, want some")
		}
		if err := i.Cancel(t.Context(), callOf("o", testJob)); err != nil {
			t.Errorf("Cancel of a stored job: have %v, want no error", err)
		}
		if err := i.Cancel(t.Context(), callOf("p", "1")); !errkind.Gone.Is(err) {
			t.Errorf("Cancel by another organisation: have %v, want a gone error", err)
		}
		time.Sleep(time.Minute)
		if err := i.Cancel(t.Context(), callOf("o", "1")); !errkind.Gone.Is(err) {
			t.Errorf("Cancel a minute later: have %v, want a gone error", err)
		}
	})
}

// Guards against cancellations that leave no mark because the job's submission cannot be decoded: a host that
// can decode it would run the job.
func TestCancelOfACorruptSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchstore.Store{}
		if _, err := store.Commit(t.Context(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.SubmittedKey(testJob), Value: []byte{0xff}}}}); err != nil {
			t.Fatal(err)
		}
		if err := newIntake(store).Cancel(t.Context(), callOf("o", testJob)); !errkind.Invalid.Is(err) {
			t.Errorf("Cancel: have %v, want an invalid error", err)
		}
		if have, want := markKeys(t, store), []string{records.CancellationBy(testJob, "o").Key()}; !slices.Equal(have, want) {
			t.Errorf("marks: have %v, want %v", have, want)
		}
	})
}

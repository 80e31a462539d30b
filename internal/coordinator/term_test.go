package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Guards against lost jobs: when an order finds that the term has not been confirmed for too long,
// the term has to end, even if a renewal confirms it right after. Otherwise the target would get
// neither orders nor renewals while the term goes on.
func TestOrderWithoutAConfirmedTermEndsTheTerm(t *testing.T) {
	const (
		jump    = 20 * time.Millisecond
		between = 137 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		for range 40 {
			d.submit()
			d.suspended.Add(int64(9 * time.Second))
			time.Sleep(jump)
			d.suspended.Add(-int64(9 * time.Second))
			time.Sleep(between)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

// Guards against jobs that run a second time: the removal of an expired job's records that the
// store carries out late, after another planner's term has begun, must do nothing. Between that
// planner's reads of jobs and of progress it would make a finished job look new.
func TestRemovalOfRecordsAfterTheTermDoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, removals := newDeploymentWithRemovals(t)
		d.submit()
		time.Sleep(retention + 30*time.Second)
		removal := <-removals
		ctx := context.Background()
		if _, err := d.store.Commit(ctx, keyvalue.Txn{Puts: []keyvalue.Put{{Key: term.RecordKey, Value: []byte("another term")}, {Key: removal.Deletes[0]}}}); err != nil {
			t.Fatalf("Store.Commit: %v", err)
		}
		if result, err := d.store.Commit(ctx, removal); err != nil || result.Applied {
			t.Errorf("a late removal of %v: have applied %t and error %v, want it refused", removal.Deletes, result.Applied, err)
		}
		d.stopHosts()
	})
}

// Guards against two runs of one task: once the term's lease may have ended, another planner may
// have given the task to another target, so a start is not repeated until the term is confirmed.
func TestNoStartIsSentWhenTheTermsLeaseMayHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		for i := range targetCount {
			d.fleet.DelayOrders(targetID(i), 100)
		}
		d.submit()
		time.Sleep(100 * time.Millisecond)
		for _, link := range d.links {
			link.cut.Store(true)
		}
		cut := time.Now()
		time.Sleep(5 * time.Second)
		if last := d.fleet.LastStart(); last.IsZero() || last.Sub(cut) > term.Lease {
			t.Errorf("the last start came %s after the store was cut off, want one within %s", last.Sub(cut), term.Lease)
		}
		d.stopHosts()
	})
}

// Guards against a second run of a finished job: a list of all jobs that is under way while the
// records of an expired job are removed still has its submission, and must not make it look new.
func TestListFromBeforeARemovalDoesNotBringTheJobBack(t *testing.T) {
	const margin = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		d.submit()
		time.Sleep(retention - margin)
		for _, link := range d.links {
			link.listDelay.Store(int64(4 * margin))
		}
		// The watch has not seen the second job when the history is discarded, so it lists all.
		d.submit()
		d.store.Compact()
		time.Sleep(10 * margin)
		for _, violation := range d.fleet.Violations() {
			t.Error(violation)
		}
		d.stopHosts()
	})
}

// Guards against jobs that wait because the connection on which they would be announced has gone
// silent, as all watches do when the store's history is compacted.
func TestNewJobsStartSoonWhenTheWatchOnThemGoesSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		for _, link := range d.links {
			link.silentWatches.Store(1)
		}
		d.submit()
		time.Sleep(100 * time.Millisecond)
		before := d.fleet.LastStart()
		d.submit()
		submitted := time.Now()
		time.Sleep(1200 * time.Millisecond)
		if last := d.fleet.LastStart(); !last.After(before) {
			t.Errorf("no task was started %s after its job was accepted", time.Since(submitted))
		}
		d.stopHosts()
	})
}

// Guards against: one malformed message ends a process. A submission's record that describes no job
// made the planner's loop panic with its lock held, and each successor's too.
func TestMalformedSubmissionIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		puts := []keyvalue.Put{{Key: records.SubmittedKey("00000000000000fe")}, {Key: records.SubmittedKey("00000000000000ff"), Value: []byte("no record")}}
		if _, err := d.store.Commit(context.Background(), keyvalue.Txn{Puts: puts}); err != nil {
			t.Fatalf("Store.Commit: %v", err)
		}
		time.Sleep(time.Second)
		before := d.fleet.LastStart()
		d.submit()
		time.Sleep(2 * time.Second)
		if !d.fleet.LastStart().After(before) {
			t.Error("no task was started after the malformed records")
		}
		d.restartHosts()
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

// Guards against: one malformed message keeps every planner from taking over. What the job of an
// unreadable progress record has run is not known, so it must not start either.
func TestUnreadableProgressStopsOnlyItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		d.stopHosts()
		unreadable := &workload.Job{ID: "00000000000000ff", Queue: "q0", Organisation: "o", Accepted: time.Now(), Steps: []workload.Step{{Count: 1, Estimate: time.Second}}}
		value, err := records.Encode(unreadable.Record())
		if err != nil {
			t.Fatal(err)
		}
		puts := []keyvalue.Put{{Key: records.SubmittedKey(unreadable.ID), Value: value}, {Key: records.ProgressKey(unreadable.ID), Value: []byte("no record")}}
		if _, err := d.store.Commit(context.Background(), keyvalue.Txn{Puts: puts}); err != nil {
			t.Fatalf("Store.Commit: %v", err)
		}
		for i := range d.links {
			d.startHost(i)
		}
		before := d.fleet.LastStart()
		time.Sleep(10 * time.Second)
		if last := d.fleet.LastStart(); last != before {
			t.Error("a task was started whose progress cannot be read")
		}
		// The planner lists all jobs again.
		d.store.Compact()
		time.Sleep(3 * time.Second)
		if last := d.fleet.LastStart(); last != before {
			t.Error("a task was started whose progress cannot be read, after the jobs were listed again")
		}
		d.submit()
		time.Sleep(2 * time.Second)
		if !d.fleet.LastStart().After(before) {
			t.Error("no task was started with an unreadable record in the store")
		}
		d.stopHosts()
	})
}

// Guards against: one malformed value, of speeds that only help, keeps every planner from taking over.
func TestUnreadableSpeedsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		d.stopHosts()
		if _, err := d.store.Commit(context.Background(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.SpeedsKey, Value: []byte("no record")}}}); err != nil {
			t.Fatalf("Store.Commit: %v", err)
		}
		for i := range d.links {
			d.startHost(i)
		}
		time.Sleep(10 * time.Second)
		before := d.fleet.LastStart()
		d.submit()
		time.Sleep(2 * time.Second)
		if !d.fleet.LastStart().After(before) {
			t.Error("no task was started with unreadable speeds in the store")
		}
		d.stopHosts()
	})
}

// Guards against urgent jobs that wait while the records of others are written: a surge of jobs, or a
// takeover, takes many transactions, and the starts of the first ones are due after their own.
func TestStartsFollowTheirOwnTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		d.stopHosts()
		for range 45 {
			d.submitted++
			id := fmt.Sprintf("%016x", d.submitted)
			job := &workload.Job{ID: id, Payload: "payload of " + id, Steps: []workload.Step{{
				Count: 1, Estimate: time.Second, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100},
			}}}
			d.fleet.ExpectJob(job)
			if err := d.intake.Submit(t.Context(), intake.Call{Queue: "q0", Organisation: "o", ID: id}, job); err != nil {
				t.Fatal(err)
			}
		}
		d.links[0].commitDelay.Store(int64(400 * time.Millisecond))
		d.startHost(0)
		for d.links[0].commits.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		if d.fleet.LastStart().IsZero() {
			t.Error("no task was started after the first transaction of its planner")
		}
		d.links[0].commitDelay.Store(0)
		for i := range d.links[1:] {
			d.startHost(1 + i)
		}
		d.stopHosts()
	})
}

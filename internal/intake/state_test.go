package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

func writeProgress(t *testing.T, store *batchstore.Store, id string, phase wire.JobPhase) {
	t.Helper()
	value, err := records.Encode(&wire.ProgressRecord{Phase: phase, Organisation: new(string)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(context.Background(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.ProgressKey(id), Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// State waits briefly for a running job to end, so that a caller who asks when its last task
// has just ended gets the final phase. A job that runs on must not hold the call for long.
func TestStateOfAJobThatIsAboutToEnd(t *testing.T) {
	cases := []struct {
		name      string
		endsAfter time.Duration
		want      wire.JobPhase
		limit     time.Duration
	}{
		{"the end is written just after the call", 20 * time.Millisecond, wire.JobPhase_JOB_PHASE_DONE, 50 * time.Millisecond},
		{"the job runs on", time.Second, wire.JobPhase_JOB_PHASE_RUNNING, 100 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &batchstore.Store{}
				writeProgress(t, store, "1", wire.JobPhase_JOB_PHASE_RUNNING)
				time.AfterFunc(test.endsAfter, func() { writeProgress(t, store, "1", wire.JobPhase_JOB_PHASE_DONE) })
				start := time.Now()
				have, err := newIntake(store).State(context.Background(), intake.Call{ID: "1"})
				if took := time.Since(start); err != nil || have != test.want || took > test.limit {
					t.Errorf("State: have %s after %s (%v), want %s within %s", have, took, err, test.want, test.limit)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// If the store fails while State waits for the end of a job, State still returns the phase
// that it has read.
func TestStateWhenTheStoreFailsDuringTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchstore.Store{}
		writeProgress(t, store, "1", wire.JobPhase_JOB_PHASE_RUNNING)
		time.AfterFunc(10*time.Millisecond, func() { store.SetDown(true) })
		start := time.Now()
		have, err := newIntake(store).State(context.Background(), intake.Call{ID: "1"})
		if took := time.Since(start); err != nil || have != wire.JobPhase_JOB_PHASE_RUNNING || took > 300*time.Millisecond {
			t.Errorf("State: have %s after %s (%v), want running within 300ms", have, took, err)
		}
	})
}

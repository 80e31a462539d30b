package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/ledger"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

func write(t *testing.T, store *batchstore.Store, id string, phase wire.JobPhase) {
	t.Helper()
	value, err := ledger.Write(&wire.ProgressRecord{Phase: phase})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(context.Background(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: ledger.Progress(id), Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

func TestStateOfAJobThatIsAboutToEnd(t *testing.T) {
	cases := []struct {
		name string
		ends time.Duration
		want wire.JobPhase
		most time.Duration
	}{
		{"its end is written just after the call", 20 * time.Millisecond, wire.JobPhase_JOB_PHASE_DONE, 50 * time.Millisecond},
		{"it goes on", time.Second, wire.JobPhase_JOB_PHASE_RUNNING, 100 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &batchstore.Store{}
				write(t, store, "1", wire.JobPhase_JOB_PHASE_RUNNING)
				time.AfterFunc(test.ends, func() { write(t, store, "1", wire.JobPhase_JOB_PHASE_DONE) })
				begun := time.Now()
				have, err := newIntake(store).State(context.Background(), intake.Call{ID: "1"})
				if took := time.Since(begun); err != nil || have != test.want || took > test.most {
					t.Errorf("have %s after %s (%v), want %s within %s", have, took, err, test.want, test.most)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// A store that fails while a call waits for news does not spoil what was read.
func TestStateIsToldWithoutNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchstore.Store{}
		write(t, store, "1", wire.JobPhase_JOB_PHASE_RUNNING)
		time.AfterFunc(10*time.Millisecond, func() { store.SetDown(true) })
		begun := time.Now()
		have, err := newIntake(store).State(context.Background(), intake.Call{ID: "1"})
		if took := time.Since(begun); err != nil || have != wire.JobPhase_JOB_PHASE_RUNNING || took > 300*time.Millisecond {
			t.Errorf("have %s after %s (%v), want it running within 300ms", have, took, err)
		}
	})
}

package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

func newIntake(store *batchstore.Store) *intake.Intake {
	return &intake.Intake{
		Store: store, Catalogue: func() *catalogue.Catalogue { return nil }, Metrics: metrics.NewRegistry(),
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
}

func job(id string) *workload.Job {
	return &workload.Job{ID: id, Steps: []workload.Step{{Count: 1}}}
}

// A caller must not wait long for a store that is down: the first write in an outage ends
// within 2 s, later ones are refused at once, and a refused job must not be stored.
func TestSubmitInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchstore.Store{}
		i := newIntake(store)
		store.SetDown(true)
		start := time.Now()
		if err := i.Submit(context.Background(), intake.Call{ID: "1"}, job("1")); !errkind.Ambiguous.Is(err) {
			t.Errorf("first Submit in an outage: have %v, want an ambiguous error", err)
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("first Submit in an outage took %s, want at most 2s", took)
		}
		start = time.Now()
		if err := i.Submit(context.Background(), intake.Call{ID: "2"}, job("2")); !errkind.Unavailable.Is(err) {
			t.Errorf("second Submit in an outage: have %v, want an unavailable error", err)
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("second Submit in an outage took %s, want 0s", took)
		}
		store.SetDown(false)
		time.Sleep(time.Second)
		if err := i.Submit(context.Background(), intake.Call{ID: "3"}, job("3")); err != nil {
			t.Errorf("Submit after the outage: have %v, want no error", err)
		}
		if item, err := store.Get(context.Background(), "job/2/submitted"); err != nil || item != nil {
			t.Errorf("Get of the refused job: have %+v, %v, want no item", item, err)
		}
	})
}

// Guards against: a caller that leaves at once, or gives a deadline of a millisecond, makes the host
// refuse the jobs of all others.
func TestCallerThatLeavesHasNoEffectOnOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newIntake(&batchstore.Store{})
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		if err := i.Submit(ctx, intake.Call{ID: "1"}, job("1")); err == nil {
			t.Error("Submit of a caller that leaves: have no error, want one")
		}
		if err := i.Submit(context.Background(), intake.Call{ID: "2"}, job("2")); err != nil {
			t.Errorf("Submit of another caller: have %v, want no error", err)
		}
	})
}

// A write that took effect although its answer was lost must be reported as accepted.
func TestSubmitResolvesALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchstore.Store{}
		store.LoseAnswers(1, 0)
		if err := newIntake(store).Submit(context.Background(), intake.Call{ID: "1"}, job("1")); err != nil {
			t.Errorf("Submit: have %v, want the job accepted", err)
		}
	})
}

package host

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/planner"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// lateStore answers no write of a waiting job, and carries the first one out after delay.
type lateStore struct {
	wire.Store
	delay time.Duration
	lost  bool
}

func (s *lateStore) Put(ctx context.Context, put *wire.PutRequest) (*wire.PutResponse, error) {
	record := &wire.JobRecord{}
	if !strings.HasPrefix(put.GetKey(), planner.Prefix) || proto.Unmarshal(put.GetValue(), record) != nil || record.GetState() != wire.JobState_JOB_STATE_WAITING {
		return s.Store.Put(ctx, put)
	}
	if !s.lost {
		s.lost = true
		time.AfterFunc(s.delay, func() { _, _ = s.Store.Put(context.Background(), put) })
	}
	return nil, errors.New("lateStore.Put: the answer is lost")
}

// Guards against cancelled jobs that run: a caller whose submission ended as unknown cancels the
// job and hears that there is none, and then the store carries the submission out.
func TestJobCancelledBeforeItsRecordIsWrittenDoesNotRun(t *testing.T) {
	const id = "z:abcdefghijklmnop"
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		h := newTestHost(ctx, "a", &lateStore{Store: &keyvalue.KeyValue{}, delay: 10 * time.Second})
		record := &wire.JobRecord{Id: id, Zone: "z", State: wire.JobState_JOB_STATE_WAITING, Submitted: timestamppb.Now()}
		if out := h.writeJob(ctx, record); out == nil {
			t.Error("Host.writeJob: have the job accepted, want an unknown outcome")
		}
		if _, err := h.cancel(ctx, id); !errkind.NotFound.Is(err) {
			t.Errorf("Host.cancel: have error %v, want that the job is not found", err)
		}
		time.Sleep(20 * time.Second)
		if state := h.locate(ctx, id, 0).GetState(); state != wire.WorkState_WORK_STATE_UNKNOWN {
			t.Errorf("the job after its submission was carried out late: have %s, want unknown, as it may have ended long ago", state)
		}
	})
}

// Guards against records that no planner removes: a ticket that this system cannot have issued
// leaves no mark.
func TestCancellingAForeignTicketLeavesNoMark(t *testing.T) {
	for _, id := range []string{"elsewhere:abcdefghijklmnop", "z:short", "z:" + strings.Repeat("a", 200), "z:abcdefghijklmn/p"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			h := newTestHost(ctx, "a", &keyvalue.KeyValue{})
			if _, err := h.cancel(ctx, id); !errkind.NotFound.Is(err) {
				t.Errorf("Host.cancel(%q): have error %v, want that the job is not found", id, err)
			}
			if entry, err := h.store.Get(ctx, store.Serving, planner.JobKey(id)); err != nil || entry.GetRevision() != 0 {
				t.Errorf("the record of %q: have %v (%v), want none", id, entry, err)
			}
		})
	}
}

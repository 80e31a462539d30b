package coordinator_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
)

// link is a host's connection to the store; cut makes its calls fail.
type link struct {
	keyvalue.Service
	cut atomic.Bool
	// operatorsCut makes only the reads of the operators' keys fail.
	operatorsCut atomic.Bool
	// removals receives the transactions that delete keys; nil drops them.
	removals chan<- keyvalue.Txn
	// lostRemovals is how many of the next transactions that delete keys are carried out without an
	// answer.
	lostRemovals atomic.Int64
	// listDelay is how long, in nanoseconds, the answer to a list is under way.
	listDelay atomic.Int64
	// silentWatches is how many of the next watches on jobs go silent, until their time limit.
	silentWatches atomic.Int64
	// commitDelay is how long, in nanoseconds, the answer to a large commit is under way; commits counts
	// the large commits that were answered.
	commitDelay atomic.Int64
	commits     atomic.Int64
	// maxValueBytes is the size above which values are refused; 0 for none.
	maxValueBytes atomic.Int64
}

var errCut = errkind.Ambiguous.New("reconnect the link", "coordinator_test.link: the host's link to the store is cut")

func (l *link) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	if l.cut.Load() {
		sleep(ctx, time.Second)
		return keyvalue.TxnResult{}, errCut
	}
	if len(txn.Deletes) > 0 && l.removals != nil {
		l.removals <- txn
	}
	for _, put := range txn.Puts {
		if limit := l.maxValueBytes.Load(); limit > 0 && int64(len(put.Value)) > limit {
			return keyvalue.TxnResult{}, errkind.Invalid.New("write less", "coordinator_test.link: a value of %d bytes is refused", len(put.Value))
		}
	}
	result, err := l.Service.Commit(ctx, txn)
	if len(txn.Deletes) > 0 && l.lostRemovals.Add(-1) >= 0 {
		return keyvalue.TxnResult{}, errCut
	}
	if delay := time.Duration(l.commitDelay.Load()); delay > 0 && len(txn.Puts) > 10 {
		sleep(ctx, delay)
		l.commits.Add(1)
	}
	return result, err
}

func (l *link) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	if l.cut.Load() {
		sleep(ctx, time.Second)
		return false, errCut
	}
	return l.Service.KeepAlive(ctx, lease)
}

func (l *link) List(ctx context.Context, prefix string) ([]keyvalue.Item, int64, error) {
	if l.cut.Load() || (prefix == operatorPrefix && l.operatorsCut.Load()) {
		sleep(ctx, time.Second)
		return nil, 0, errCut
	}
	items, revision, err := l.Service.List(ctx, prefix)
	sleep(ctx, time.Duration(l.listDelay.Load()))
	return items, revision, err
}

func (l *link) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Events, error) {
	if l.cut.Load() || (prefix == operatorPrefix && l.operatorsCut.Load()) {
		sleep(ctx, time.Second)
		return keyvalue.Events{}, errCut
	}
	if prefix == records.JobPrefix && l.silentWatches.Add(-1) >= 0 {
		sleep(ctx, wait+600*time.Millisecond)
		return keyvalue.Events{}, errCut
	}
	return l.Service.Watch(ctx, prefix, after, wait)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

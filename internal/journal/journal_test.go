package journal_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

func record(id string, kind wire.RecordKind) *wire.JournalRecord {
	return &wire.JournalRecord{Id: id, Kind: kind}
}

func start(t *testing.T, backing *store.Store, incarnation, writer string) *journal.Journal {
	t.Helper()
	j := &journal.Journal{Store: backing, Incarnation: incarnation, Writer: writer}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- j.Run(ctx, 0) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return j
}

// Trim calls back into the journal's owner, which takes its own lock. Another goroutine may hold
// that lock while it queues a record, so Trim would deadlock if it held the journal's lock.
func TestTrimCallsBackWithoutItsLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := start(t, &store.Store{Backend: &keyvalue.KeyValue{}}, "a", "a")
		for range 2 {
			if err := j.Append(t.Context(), record("a.1", wire.RecordKind_RECORD_KIND_DONE)); err != nil {
				t.Fatal(err)
			}
		}
		done := make(chan error, 1)
		go func() {
			done <- j.Trim(t.Context(), time.Now().Add(time.Hour), func(string) bool {
				j.Enqueue(record("a.2", wire.RecordKind_RECORD_KIND_DONE))
				return true
			})
		}()
		synctest.Wait()
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
		default:
			t.Error("\nhave: Trim blocks\nwant: Trim returns")
		}
	})
}

func TestAdoptFencesTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backing := &store.Store{Backend: &keyvalue.KeyValue{}}
		owner := start(t, backing, "a", "a")
		if err := owner.Append(t.Context(), record("a.1", wire.RecordKind_RECORD_KIND_INTENT)); err != nil {
			t.Fatal(err)
		}
		adopter := start(t, backing, "a", "b")
		requests, err := adopter.Adopt(t.Context())
		if err != nil || len(requests) != 1 || requests[0].Last.GetId() != "a.1" {
			t.Fatalf("\nhave: %v %v\nwant: the request a.1", requests, err)
		}
		if err := owner.Append(t.Context(), record("a.2", wire.RecordKind_RECORD_KIND_INTENT)); !errkind.Fenced.Is(err) {
			t.Errorf("\nhave: %v\nwant: an error of kind fenced", err)
		}
		if err := adopter.Append(t.Context(), record("a.1", wire.RecordKind_RECORD_KIND_DONE)); err != nil {
			t.Error(err)
		}
	})
}

func TestAppendSharesCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := start(t, &store.Store{Backend: &slowStore{Store: &keyvalue.KeyValue{}}}, "a", "a")
		const requests = 100
		ended := make(chan error, requests)
		for range requests {
			go func() { ended <- j.Append(t.Context(), record("a.1", wire.RecordKind_RECORD_KIND_INTENT)) }()
		}
		for range requests {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		if commits, records := j.Counts(); commits > 3 || records != requests {
			t.Errorf("\nhave: %d commits of %d records\nwant: at most 3 of %d", commits, records, requests)
		}
	})
}

type slowStore struct{ wire.Store }

func (s *slowStore) Put(ctx context.Context, req *wire.PutRequest) (*wire.PutResponse, error) {
	time.Sleep(5 * time.Millisecond)
	return s.Store.Put(ctx, req)
}

// lostThenRefused leaves the first write unanswered and refuses all later ones.
type lostThenRefused struct {
	wire.Store
	writes int
}

func (s *lostThenRefused) Put(context.Context, *wire.PutRequest) (*wire.PutResponse, error) {
	s.writes++
	if s.writes == 1 {
		return nil, errors.New("lostThenRefused.Put: the answer is lost")
	}
	return nil, twirp.NewError(twirp.Unavailable, "the store is down").WithMeta("effect", "none")
}

// Guards against requests that run after their caller heard that they did not: a record whose first
// write got no answer may still become durable when the journal ends, though the last write did not.
func TestRecordWithAnUnansweredWriteStaysAmbiguousAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := &journal.Journal{Store: &store.Store{Backend: &lostThenRefused{}}, Incarnation: "a", Writer: "a"}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- j.Run(ctx, 0) }()
		durable := j.Enqueue(record("a.1", wire.RecordKind_RECORD_KIND_ACCEPTED))
		time.Sleep(time.Minute)
		cancel()
		<-ended
		if err := <-durable; !errkind.Ambiguous.Is(err) {
			t.Errorf("\nhave: %v\nwant: an error of kind ambiguous", err)
		}
	})
}

package term_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
)

// overtakenStore leaves the first two commits unanswered. It carries out the first one late, just
// before the second one, whose conditions then no longer hold.
type overtakenStore struct {
	*batchstore.Store
	commits int
	late    keyvalue.Txn
}

func (s *overtakenStore) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	s.commits++
	switch s.commits {
	case 1:
		s.late = txn
	case 2:
		for _, late := range []keyvalue.Txn{s.late, txn} {
			if _, err := s.Store.Commit(ctx, late); err != nil {
				return keyvalue.TxnResult{}, err
			}
		}
	default:
		return s.Store.Commit(ctx, txn)
	}
	return keyvalue.TxnResult{}, errkind.Ambiguous.New("call again", "overtakenStore.Commit: the answer to commit %d is lost", s.commits)
}

// leader is an election and the term that it leads; nil while it leads none.
type leader struct {
	term.Election
	leads *term.Term
}

func newLeader(store keyvalue.Service, name string) *leader {
	start := time.Now()
	l := &leader{Election: term.Election{
		Store: store, Name: name, Elapsed: func() time.Duration { return time.Since(start) },
		Log: &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
	}}
	l.Lead = func(ctx context.Context, led *term.Term) error {
		l.leads = led
		<-ctx.Done()
		l.leads = nil
		return ctx.Err()
	}
	return l
}

// A host whose earlier attempt to begin a term took effect late must not hold that term with the
// lease of its next attempt: the alive key would expire while the lease is renewed, and a second
// host would plan at the same time.
func TestLateAttemptBeginsNoTermWithAnotherLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 2)
		backend := &batchstore.Store{}
		first, second := newLeader(&overtakenStore{Store: backend}, "a"), newLeader(backend, "b")
		go func() { ended <- first.Run(ctx) }()
		time.Sleep(term.Lease / 2)
		go func() { ended <- second.Run(ctx) }()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			if first.leads != nil && second.leads != nil {
				t.Errorf("\nhave: two terms confirmed %v and %v ago, with tokens %d and %d\nwant: one planner",
					first.leads.SinceContact(), second.leads.SinceContact(), first.leads.Token, second.leads.Token)
				break
			}
		}
		if first.leads == nil && second.leads == nil {
			t.Error("\nhave: no planner\nwant: one")
		}
		cancel()
		for range 2 {
			<-ended
		}
	})
}

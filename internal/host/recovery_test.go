package host

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/background"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/membership"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// newTestHost returns a host whose parts use the given store. None of its loops runs yet.
func newTestHost(ctx context.Context, name string, backend wire.Store) *Host {
	h := &Host{Settings: &settings.Settings{HostSettings: &wire.HostSettings{Name: name, Zone: "z"}}}
	h.Settings.Defaults()
	h.ingress = &ingress.Ingress{Name: name, Limits: ingressLimits(h.Settings), Metrics: metrics.NewRegistry(), Log: log.Log}
	h.assemble(ctx)
	h.store.Backend = backend
	return h
}

// A host that has just registered must not be taken for a dead one, whose journal is adopted,
// only because the list of hosts was read before it registered.
func TestJournalOfNewHostIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		backend := &keyvalue.KeyValue{}
		survivor, fresh := newTestHost(ctx, "survivor", backend), newTestHost(ctx, "fresh", backend)
		survivorEnds := background.Start(ctx,
			background.Loop{Name: "hosts", Run: survivor.membership.ReadHosts},
			background.Loop{Name: "recovery", Run: survivor.recovery.Run},
		)
		time.Sleep(recoveryPeriod / 4)
		freshEnds := background.Start(ctx,
			background.Loop{Name: "hostLease", Run: fresh.membership.KeepLease},
			background.Loop{Name: "journal", Run: func(ctx context.Context) error { return fresh.journal.Run(ctx, journalGrace) }},
		)
		time.Sleep(recoveryPeriod / 4)
		record := &wire.JournalRecord{Kind: wire.RecordKind_RECORD_KIND_INTENT, Id: "fresh.1"}
		if err := fresh.journal.Append(ctx, record); err != nil {
			t.Errorf("\nhave: error %v from the first append\nwant: none", err)
		}
		for range 3 {
			time.Sleep(recoveryPeriod)
			if err := fresh.journal.Append(ctx, record); err != nil {
				t.Errorf("\nhave: error %v\nwant: none, as the host is alive", err)
			}
		}
		cancel()
		for range survivorEnds {
		}
		for range freshEnds {
		}
	})
}

// silentStore carries out writes to journals but loses their answers while silent is set.
type silentStore struct {
	wire.Store
	silent atomic.Bool
}

func (s *silentStore) Put(ctx context.Context, put *wire.PutRequest) (*wire.PutResponse, error) {
	response, err := s.Store.Put(ctx, put)
	if err == nil && s.silent.Load() && strings.HasPrefix(put.GetKey(), journal.Prefix) {
		return nil, errors.New("silentStore.Put: the answer is lost")
	}
	return response, err
}

// An adoption whose write took effect without an answer must be completed: the store names this
// host as the journal's writer, so no other host would ever continue the requests.
func TestAdoptionWithoutAnswerIsCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		backend := &silentStore{Store: &keyvalue.KeyValue{}}
		survivor, dead := newTestHost(ctx, "survivor", backend), newTestHost(ctx, "dead", backend)
		deadContext, kill := context.WithCancel(ctx)
		deadEnds := background.Start(deadContext,
			background.Loop{Name: "journal", Run: func(ctx context.Context) error { return dead.journal.Run(ctx, journalGrace) }},
		)
		if err := dead.journal.Append(ctx, &wire.JournalRecord{Kind: wire.RecordKind_RECORD_KIND_INTENT, Id: "dead.1"}); err != nil {
			t.Errorf("\nhave: error %v from the first append\nwant: none", err)
		}
		kill()
		for range deadEnds {
		}
		backend.silent.Store(true)
		ends := background.Start(ctx,
			background.Loop{Name: "hostLease", Run: survivor.membership.KeepLease},
			background.Loop{Name: "hosts", Run: survivor.membership.ReadHosts},
			background.Loop{Name: "recovery", Run: survivor.recovery.Run},
		)
		time.Sleep(3 * recoveryPeriod)
		backend.silent.Store(false)
		time.Sleep(time.Minute)
		requests, _, err := journal.Load(ctx, survivor.store, dead.incarnation)
		if err != nil || len(requests) != 1 || !journal.Final(requests[0].Last.GetKind()) {
			t.Errorf("\nhave: requests %v, error %v\nwant: one that has ended", requests, err)
		}
		cancel()
		for range ends {
		}
	})
}

// The journal of a host whose lease has expired must still be adopted.
func TestJournalOfDeadHostIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		backend := &keyvalue.KeyValue{}
		survivor, dead := newTestHost(ctx, "survivor", backend), newTestHost(ctx, "dead", backend)
		ends := background.Start(ctx,
			background.Loop{Name: "hosts", Run: survivor.membership.ReadHosts},
			background.Loop{Name: "recovery", Run: survivor.recovery.Run},
		)
		deadContext, kill := context.WithCancel(ctx)
		deadEnds := background.Start(deadContext,
			background.Loop{Name: "hostLease", Run: dead.membership.KeepLease},
			background.Loop{Name: "journal", Run: func(ctx context.Context) error { return dead.journal.Run(ctx, journalGrace) }},
		)
		if err := dead.journal.Append(ctx, &wire.JournalRecord{Kind: wire.RecordKind_RECORD_KIND_INTENT, Id: "dead.1"}); err != nil {
			t.Errorf("\nhave: error %v from the first append\nwant: none", err)
		}
		kill()
		for range deadEnds {
		}
		time.Sleep(dead.membership.Lease + 3*recoveryPeriod)
		_, tail, err := journal.Load(ctx, survivor.store, dead.incarnation)
		if err != nil || tail.Writer != survivor.incarnation || survivor.membership.Liveness(dead.incarnation) != membership.Dead {
			t.Errorf("\nhave: journal written last by %q, error %v\nwant: adopted by %q", tail.Writer, err, survivor.incarnation)
		}
		cancel()
		for range ends {
		}
	})
}

// Package term names the one planner of the service through the platform's
// key-value service. Each term has a fencing token that rises. A term's record is
// what a planner's writes are conditional on; a key under a short lease shows
// that its holder is alive.
package term

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Keys in the store.
const (
	Prefix    = "planner/"
	RecordKey = Prefix + "term"
	aliveKey  = Prefix + "alive"
)

const (
	// Lease is how long the holder may be silent before another takes over.
	Lease = 1600 * time.Millisecond
	// renewPeriod leaves room for three renewals that fail.
	renewPeriod  = 350 * time.Millisecond
	renewTimeout = 450 * time.Millisecond
	// watchWait bounds one watch, and so how long a silent connection goes unnoticed.
	watchWait  = time.Second
	retryPause = 200 * time.Millisecond
	// sittingPause lets a holder whose lease ended in an outage return before others compete.
	sittingPause = 200 * time.Millisecond
	resignTime   = 500 * time.Millisecond
)

// Tenure is one term of this host.
type Tenure struct {
	Token int64
	// Revision of the term's record; every write of the term is conditional on it.
	Revision int64
	contact  atomic.Int64
	elapsed  func() time.Duration
}

// Contact returns the time since the store last confirmed the term, suspended time included.
func (t *Tenure) Contact() time.Duration { return t.elapsed() - time.Duration(t.contact.Load()) }

func (t *Tenure) confirm(at time.Duration) { t.contact.Store(int64(at)) }

// Term competes for the terms. Set the fields before Run.
type Term struct {
	Store keyvalue.Service
	Name  string
	// Delay lets better suited hosts take over first.
	Delay time.Duration
	// Elapsed is a clock that counts suspended time.
	Elapsed func() time.Duration
	// Lead does the planner's work; it returns soon after its context ends.
	Lead func(ctx context.Context, tenure *Tenure) error
	Log  log.Interface

	lease int64
}

// Run competes and leads until ctx ends.
func (t *Term) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		tenure := t.compete(ctx)
		if tenure == nil {
			continue
		}
		t.serve(ctx, tenure)
	}
	return ctx.Err()
}

// serve leads until the term is lost or ctx ends, then gives the lease back.
func (t *Term) serve(ctx context.Context, tenure *Tenure) {
	t.Log.WithFields(log.Fields{"token": tenure.Token, "revision": tenure.Revision}).Info("term: this host plans")
	lead, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- t.Lead(lead, tenure) }()
	ended := make(chan struct{})
	go func() { defer close(ended); t.keep(lead, tenure); stop() }()
	err := <-done
	stop()
	<-ended
	t.Log.WithFields(log.Fields{"token": tenure.Token, "contact": tenure.Contact(), "cause": err}).Info("term: this host plans no longer")
	resign, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTime)
	defer cancel()
	if err := t.Store.Revoke(resign, t.lease); err != nil {
		t.Log.WithError(err).Info("term: the lease was not given back and will run out")
	}
}

// keep renews the lease until the term is lost or ctx ends.
func (t *Term) keep(ctx context.Context, tenure *Tenure) {
	for ctx.Err() == nil {
		before := t.Elapsed()
		call, cancel := context.WithTimeout(ctx, renewTimeout)
		alive, err := t.Store.KeepAlive(call, t.lease)
		cancel()
		switch {
		case err != nil:
			t.Log.WithError(err).WithField("contact", tenure.Contact()).Warn("term: renewal failed")
		case alive:
			tenure.confirm(before)
		case !t.restore(ctx, tenure):
			return
		}
		wait := renewPeriod
		if err != nil {
			wait = retryPause
		}
		pause(ctx, wait)
	}
}

// restore renews a term whose lease has run out and that nobody else has taken. It
// reports false when the term is lost.
func (t *Term) restore(ctx context.Context, tenure *Tenure) bool {
	before := t.Elapsed()
	lease, err := t.Store.Grant(ctx, Lease)
	if err != nil {
		return true
	}
	result, err := t.Store.Commit(ctx, keyvalue.Txn{
		Expect: []keyvalue.Expectation{{Key: RecordKey, Revision: tenure.Revision}, {Key: aliveKey}},
		Puts:   []keyvalue.Put{{Key: aliveKey, Value: []byte(t.Name), Lease: lease}},
	})
	if err != nil {
		return true
	}
	if result.Applied {
		t.lease = lease
		tenure.confirm(before)
		t.Log.WithField("token", tenure.Token).Info("term: the lease had run out and is held again")
		return true
	}
	for _, item := range result.Current {
		if item.Key == RecordKey && item.Revision == tenure.Revision {
			// The alive key is there still or again; the next renewal tells whose it is.
			return t.own(ctx)
		}
	}
	return false
}

// own reports whether the alive key carries this host's name, as after a lost answer.
func (t *Term) own(ctx context.Context) bool {
	item, err := t.Store.Get(ctx, aliveKey)
	return err != nil || item == nil || string(item.Value) == t.Name
}

// compete waits until no planner is alive and tries to become it.
func (t *Term) compete(ctx context.Context) *Tenure {
	items, revision, err := t.Store.List(ctx, Prefix)
	if err != nil {
		t.Log.WithError(err).Warn("term: the store does not answer")
		pause(ctx, retryPause)
		return nil
	}
	if holder := find(items, aliveKey); holder != nil {
		t.await(ctx, revision)
		return nil
	}
	if find(items, RecordKey) != nil {
		pause(ctx, sittingPause+t.Delay)
	} else {
		pause(ctx, t.Delay)
	}
	return t.take(ctx)
}

// await returns when the holder's key has gone, or after a while.
func (t *Term) await(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		events, err := t.Store.Watch(ctx, Prefix, revision, watchWait)
		if err != nil || events.Compacted {
			pause(ctx, retryPause)
			return
		}
		revision = events.Revision
		for _, item := range events.Items {
			if item.Key == aliveKey && item.Deleted {
				return
			}
		}
	}
}

// take begins a new term if nobody is alive.
func (t *Term) take(ctx context.Context) *Tenure {
	items, _, err := t.Store.List(ctx, Prefix)
	if err != nil || find(items, aliveKey) != nil {
		return nil
	}
	record := &wire.TermRecord{}
	before := t.Elapsed()
	lease, err := t.Store.Grant(ctx, Lease)
	if err != nil {
		return nil
	}
	var revision int64
	if held := find(items, RecordKey); held != nil {
		revision = held.Revision
		if err := proto.Unmarshal(held.Value, record); err != nil {
			t.Log.WithError(err).Error("term: the record cannot be read; remove the key " + RecordKey)
			pause(ctx, retryPause)
			return nil
		}
	}
	record.Holder, record.Token = t.Name, record.GetToken()+1
	value, err := proto.Marshal(record)
	if err != nil {
		t.Log.WithError(err).Error("term: the record cannot be written; report this as a defect")
		return nil
	}
	result, err := t.Store.Commit(ctx, keyvalue.Txn{
		Expect: []keyvalue.Expectation{{Key: RecordKey, Revision: revision}, {Key: aliveKey}},
		Puts:   []keyvalue.Put{{Key: RecordKey, Value: value}, {Key: aliveKey, Value: []byte(t.Name), Lease: lease}},
	})
	if err == nil && !result.Applied {
		return nil
	}
	won := result.Revision
	if err != nil {
		// The answer is lost: the record tells whether the term began.
		held, readErr := t.Store.Get(ctx, RecordKey)
		if readErr != nil || held == nil || string(held.Value) != string(value) {
			return nil
		}
		won = held.Revision
	}
	t.lease = lease
	tenure := &Tenure{Token: record.GetToken(), Revision: won, elapsed: t.Elapsed}
	tenure.confirm(before)
	return tenure
}

func find(items []keyvalue.Item, key string) *keyvalue.Item {
	for i := range items {
		if items[i].Key == key {
			return &items[i]
		}
	}
	return nil
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

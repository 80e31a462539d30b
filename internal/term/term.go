// Package term elects the one planner of the service through the platform's key-value
// service. Each term has a fencing token that is higher than the one before. The writes of a
// planner are conditional on its term's record. A key under a short lease shows that the
// planner is alive.
package term

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apex/log"

	"github.com/eelgrasstide/eelgrasstide/internal/background"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Keys in the store.
const (
	// Prefix is the prefix of both keys.
	Prefix = "planner/"
	// RecordKey holds the record of the current or last term.
	RecordKey = Prefix + "term"
	// aliveKey names the planner and its lease. It is deleted when that lease expires.
	aliveKey = Prefix + "alive"
)

const (
	// Lease is how long the planner's lease lasts without a renewal; then another host may take
	// over.
	Lease = 1600 * time.Millisecond
	// renewPeriod allows three renewals in a row to fail before the lease expires.
	renewPeriod  = 350 * time.Millisecond
	renewTimeout = 450 * time.Millisecond
	// maxWatchWait limits one watch, and so how long a broken connection goes unnoticed.
	maxWatchWait  = time.Second
	retryInterval = 200 * time.Millisecond
	// formerHolderDelay lets a planner whose lease expired in an outage of the store renew its
	// term before other hosts compete.
	formerHolderDelay = 200 * time.Millisecond
	revokeTimeout     = 500 * time.Millisecond
)

var errReplaced = errors.New("Election.renewLoop: another host has begun a term")

// Term is the time during which this host is the planner.
type Term struct {
	// Token is the term's fencing token.
	Token int64
	// Revision is that of the term's record; every write of the planner is conditional on it.
	Revision      int64
	lastConfirmed atomic.Int64
	elapsed       func() time.Duration
}

// SinceContact returns the time since the store last confirmed the term, including time during
// which the machine was suspended.
func (t *Term) SinceContact() time.Duration {
	return t.elapsed() - time.Duration(t.lastConfirmed.Load())
}

func (t *Term) confirm(at time.Duration) { t.lastConfirmed.Store(int64(at)) }

// Election competes for terms. Set the fields before Run is called.
type Election struct {
	Store keyvalue.Service
	// Name identifies this host in the term's record and in the alive key.
	Name string
	// Delay is how long this host waits for better suited hosts to take over first.
	Delay time.Duration
	// Elapsed is a monotonic clock that also counts time during which the machine is suspended.
	Elapsed func() time.Duration
	// Lead does the planner's work during a term. It must return soon after its context ends.
	Lead func(ctx context.Context, term *Term) error
	Log  log.Interface

	// lease is the ID of the lease on the alive key.
	lease int64
}

// Run competes for terms and leads those that it wins, until ctx ends.
func (e *Election) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		term := e.compete(ctx)
		if term == nil {
			continue
		}
		e.holdTerm(ctx, term)
	}
	return ctx.Err()
}

// holdTerm leads until the term is lost or ctx ends, and then revokes the lease so that another
// host can take over at once.
func (e *Election) holdTerm(ctx context.Context, term *Term) {
	e.Log.WithFields(log.Fields{"token": term.Token, "revision": term.Revision}).Info("term: this host plans")
	termContext, stop := context.WithCancel(ctx)
	lead := background.Start(termContext, background.Loop{Name: "lead", Run: func(ctx context.Context) error { return e.Lead(ctx, term) }})
	renewals := background.Start(termContext, background.Loop{Name: "renewals", Run: func(ctx context.Context) error {
		defer stop()
		return e.renewLoop(ctx, term)
	}})
	err := (<-lead).Err
	stop()
	if end := <-renewals; !errors.Is(end.Err, context.Canceled) && err == nil {
		err = end.Err
	}
	e.Log.WithFields(log.Fields{"token": term.Token, "contact": term.SinceContact(), "cause": err}).Info("term: this host plans no longer")
	revokeContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := e.Store.Revoke(revokeContext, e.lease); err != nil {
		e.Log.WithError(err).Info("term: the lease could not be revoked; it expires by itself")
	}
}

// renewLoop renews the lease until the term is lost, which its error says, or ctx ends.
func (e *Election) renewLoop(ctx context.Context, term *Term) error {
	for ctx.Err() == nil {
		before := e.Elapsed()
		callContext, cancel := context.WithTimeout(ctx, renewTimeout)
		alive, err := e.Store.KeepAlive(callContext, e.lease)
		cancel()
		switch {
		case err != nil:
			e.Log.WithError(err).WithField("contact", term.SinceContact()).Warn("term: a renewal of the lease failed; it is retried")
		case alive:
			term.confirm(before)
		case !e.reacquireLease(ctx, term):
			return errReplaced
		}
		wait := renewPeriod
		if err != nil {
			wait = retryInterval
		}
		sleep(ctx, wait)
	}
	return ctx.Err()
}

// reacquireLease obtains a new lease for a term whose lease has expired, unless another host has
// begun a term. It returns false when the term is lost, and true after an error, so that the
// next renewal decides.
func (e *Election) reacquireLease(ctx context.Context, term *Term) bool {
	before := e.Elapsed()
	lease, err := e.Store.Grant(ctx, Lease)
	if err != nil {
		return true
	}
	result, err := e.Store.Commit(ctx, keyvalue.Txn{
		Expect: []keyvalue.Expectation{{Key: RecordKey, Revision: term.Revision}, {Key: aliveKey}},
		Puts:   []keyvalue.Put{e.alivePut(lease)},
	})
	if err != nil {
		return true
	}
	if result.Applied {
		e.lease = lease
		term.confirm(before)
		e.Log.WithField("token", term.Token).Info("term: the lease had expired; the term continues with a new one")
		return true
	}
	for _, item := range result.Current {
		if item.Key == RecordKey && item.Revision == term.Revision {
			// The alive key still exists or exists again; its value names the holder.
			return e.ownsAliveKey(ctx)
		}
	}
	return false
}

// ownsAliveKey reports whether the alive key names this host, as it may after a lost answer. It
// also returns true if the key cannot be read or is absent; the next renewal decides then.
func (e *Election) ownsAliveKey(ctx context.Context) bool {
	item, err := e.Store.Get(ctx, aliveKey)
	return err != nil || item == nil || strings.HasPrefix(string(item.Value), e.alivePrefix())
}

// alivePut returns the write of the alive key under a lease. The value differs for each lease.
func (e *Election) alivePut(lease int64) keyvalue.Put {
	value := e.alivePrefix() + strconv.FormatInt(lease, 10)
	return keyvalue.Put{Key: aliveKey, Value: []byte(value), Lease: lease}
}

func (e *Election) alivePrefix() string { return e.Name + "/" }

// compete waits until no planner is alive and then tries to begin a term. It returns nil if it
// did not win one.
func (e *Election) compete(ctx context.Context) *Term {
	items, revision, err := e.Store.List(ctx, Prefix)
	if err != nil {
		e.Log.WithError(err).Warn("term: reading the term's keys from the store failed; it is retried")
		sleep(ctx, retryInterval)
		return nil
	}
	if holder := findItem(items, aliveKey); holder != nil {
		e.waitForVacancy(ctx, revision)
		return nil
	}
	if findItem(items, RecordKey) != nil {
		sleep(ctx, formerHolderDelay+e.Delay)
	} else {
		sleep(ctx, e.Delay)
	}
	return e.beginTerm(ctx)
}

// waitForVacancy returns when the alive key is deleted or the watch fails.
func (e *Election) waitForVacancy(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		events, err := e.Store.Watch(ctx, Prefix, revision, maxWatchWait)
		if err != nil || events.Compacted {
			sleep(ctx, retryInterval)
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

// beginTerm begins a new term if no planner is alive. It returns nil if it cannot.
func (e *Election) beginTerm(ctx context.Context) *Term {
	items, _, err := e.Store.List(ctx, Prefix)
	if err != nil || findItem(items, aliveKey) != nil {
		return nil
	}
	record := &wire.TermRecord{}
	before := e.Elapsed()
	lease, err := e.Store.Grant(ctx, Lease)
	if err != nil {
		return nil
	}
	var revision int64
	if recordItem := findItem(items, RecordKey); recordItem != nil {
		revision = recordItem.Revision
		if err := proto.Unmarshal(recordItem.Value, record); err != nil {
			e.Log.WithError(err).Error("term: the term's record cannot be decoded; remove the key " + RecordKey)
			sleep(ctx, retryInterval)
			return nil
		}
	}
	record.Holder, record.Token = e.Name, record.GetToken()+1
	value, err := proto.Marshal(record)
	if err != nil {
		e.Log.WithError(err).Error("term: the term's record cannot be encoded; report this as a defect")
		return nil
	}
	recordPut, alivePut := keyvalue.Put{Key: RecordKey, Value: value}, e.alivePut(lease)
	result, err := e.Store.Commit(ctx, keyvalue.Txn{
		Expect: []keyvalue.Expectation{{Key: RecordKey, Revision: revision}, {Key: aliveKey}},
		Puts:   []keyvalue.Put{recordPut, alivePut},
	})
	if err == nil && !result.Applied {
		return nil
	}
	termRevision := result.Revision
	if err != nil {
		// The answer was lost: the keys in the store show whether the term began. The record
		// alone does not, as an earlier attempt with another lease writes the same record.
		items, _, readErr := e.Store.List(ctx, Prefix)
		if readErr != nil || !holds(items, recordPut) || !holds(items, alivePut) {
			return nil
		}
		termRevision = findItem(items, RecordKey).Revision
	}
	e.lease = lease
	term := &Term{Token: record.GetToken(), Revision: termRevision, elapsed: e.Elapsed}
	term.confirm(before)
	return term
}

// holds reports whether the items include what a write wrote.
func holds(items []keyvalue.Item, put keyvalue.Put) bool {
	item := findItem(items, put.Key)
	return item != nil && bytes.Equal(item.Value, put.Value)
}

func findItem(items []keyvalue.Item, key string) *keyvalue.Item {
	for i := range items {
		if items[i].Key == key {
			return &items[i]
		}
	}
	return nil
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

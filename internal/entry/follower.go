package entry

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/cordon"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/panics"
)

const (
	// maxWatchWait bounds a watch: a connection that went silent is noticed only when the watch should
	// have returned. minWatchWait is that of a watch which only confirms what is known.
	maxWatchWait  = time.Second
	minWatchWait  = time.Millisecond
	retryInterval = 150 * time.Millisecond
	// planningShare is the share of the bound for cordons that a watch of the planner waits at most. Its
	// starts depend on the age of the cordons, which is up to two waits.
	planningShare = 0.1
)

// Follower follows what the operators write to the platform's store: the configuration and the cordons
// of availability zones. Set the exported fields before Run.
type Follower struct {
	Store keyvalue.Service
	// Layout holds the operators' keys and the decoders of their values.
	Layout  *StoreLayout
	Metrics metrics.Registry
	Log     log.Interface

	catalogue atomic.Pointer[catalogue.Catalogue]
	cordons   atomic.Pointer[cordon.Set]
	// readAt is when the operators' keys were last read in full. Only Run uses it.
	readAt time.Time
	// planningWait bounds the watches while this host is the planner, in nanoseconds; 0 if it is not.
	planningWait atomic.Int64
}

// Catalogue returns the configuration in force; nil until one has been read.
func (f *Follower) Catalogue() *catalogue.Catalogue { return f.catalogue.Load() }

// Cordons returns what is known of the cordons. The set is unconfirmed until it has been read.
func (f *Follower) Cordons() *cordon.Set {
	if set := f.cordons.Load(); set != nil {
		return set
	}
	return &cordon.Set{}
}

// SetPlanning lets the cordons be confirmed often enough for a planner with this bound for cordons; 0
// if this host does not plan, or has no bound.
func (f *Follower) SetPlanning(cordonTime time.Duration) {
	f.planningWait.Store(int64(float64(cordonTime) * planningShare))
}

// Run reads the operators' keys, watches them for changes and puts each change in force until ctx
// ends. It logs when the store becomes unreachable or reachable.
func (f *Follower) Run(ctx context.Context) error {
	f.registerMetrics()
	after := int64(0)
	reachable := true
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = f.read(ctx)
		} else {
			after, err = f.watch(ctx, after, f.watchWait(reachable))
		}
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			f.Log.WithFields(log.Fields{"reachable": reachable, "cause": err, "revision": after}).Warn("entry: the store's reachability changed")
		}
		if err != nil {
			sleep(ctx, retryInterval)
		}
	}
	return ctx.Err()
}

// registerMetrics registers gauges of the cordoned zones and of the age of the knowledge of them in
// milliseconds, -1 if there is none.
func (f *Follower) registerMetrics() {
	f.Metrics.GetOrRegister("cordon.zones", metrics.NewFunctionalGauge(func() int64 { return int64(len(f.Cordons().Revisions)) }))
	f.Metrics.GetOrRegister("cordon.age", metrics.NewFunctionalGauge(func() int64 {
		age, ok := f.Cordons().Age(time.Now())
		if !ok {
			return -1
		}
		return age.Milliseconds()
	}))
}

// watchWait returns how long the next watch waits for changes. After a failed call it returns at once,
// so that the cordons are confirmed as soon as the store answers.
func (f *Follower) watchWait(reachable bool) time.Duration {
	wait := time.Duration(f.planningWait.Load())
	switch {
	case !reachable:
		return minWatchWait
	case wait == 0:
		return maxWatchWait
	}
	return min(max(wait, minWatchWait), maxWatchWait)
}

// read reads the operators' keys in full and returns the revision to watch from. Reads follow each other after
// retryInterval at the earliest, as each watch between them may fail at once.
func (f *Follower) read(ctx context.Context) (int64, error) {
	sleep(ctx, time.Until(f.readAt.Add(retryInterval)))
	sent := time.Now()
	f.readAt = sent
	items, revision, err := f.Store.List(ctx, f.Layout.OperatorPrefix)
	if err != nil {
		return 0, err
	}
	f.cordon(&cordon.Set{}, items, sent)
	f.adopt(items)
	return revision, nil
}

// watch waits for changes and returns the revision to watch from next. That is 0 if the history since then can't be
// had, so that the keys have to be read in full.
func (f *Follower) watch(ctx context.Context, after int64, wait time.Duration) (int64, error) {
	sent := time.Now()
	events, err := f.Store.Watch(ctx, f.Layout.OperatorPrefix, after, wait)
	if err != nil {
		return after, err
	}
	if events.Compacted {
		f.Log.WithField("after", after).Warn("entry: the operators' changes cannot be had; reading their keys in full")
		return 0, nil
	}
	f.cordon(f.Cordons(), events.Items, sent)
	f.adopt(events.Items)
	return events.Revision, nil
}

// cordon publishes the cordons of a former set after changes to it, as the answer to a call confirmed
// them that was sent at a time.
func (f *Follower) cordon(former *cordon.Set, changes []keyvalue.Item, sent time.Time) {
	next := &cordon.Set{Revisions: former.Revisions, Confirmed: sent}
	for _, item := range changes {
		zone, err := panics.Guard("entry: cordon decoder", func() (string, error) { return f.Layout.CordonedZone(item.Key) })
		if err != nil {
			f.Log.WithError(err).WithFields(log.Fields{"revision": item.Revision, "deleted": item.Deleted}).Warn("entry: a request for a cordon is ignored")
		}
		if zone != "" {
			next = next.With(zone, item.Revision, !item.Deleted)
		}
	}
	if current := f.Cordons(); !maps.Equal(current.Revisions, next.Revisions) {
		f.Log.WithFields(log.Fields{"zones": next.Zones(), "formerZones": current.Zones(), "revisions": next.Revisions, "age": time.Since(sent)}).Info("entry: cordons in force")
	}
	f.cordons.Store(next)
}

// adopt puts a configuration in force if its version is higher than the current one. A
// configuration that cannot be decoded is logged and ignored.
func (f *Follower) adopt(items []keyvalue.Item) {
	for _, item := range items {
		if item.Key != f.Layout.ConfigurationKey || item.Deleted {
			continue
		}
		decoded, err := panics.Guard("entry: configuration decoder", func() (*catalogue.Catalogue, error) { return f.Layout.ReadCatalogue(item.Value) })
		if err != nil {
			f.Log.WithError(err).WithField("revision", item.Revision).Error("entry: a configuration could not be decoded and is ignored")
			continue
		}
		if current := f.Catalogue(); current != nil && current.Version >= decoded.Version {
			continue
		}
		f.catalogue.Store(decoded)
		f.Log.WithFields(log.Fields{"version": decoded.Version, "revision": item.Revision, "queues": len(decoded.Queues), "organisations": len(decoded.Organisations)}).Info("entry: configuration in force")
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Package loadcopy keeps a host's copy of the planner's digest of the load.
package loadcopy

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// DefaultMaxAge is the age from which a digest counts as unknown unless settings say otherwise.
	DefaultMaxAge = 5 * time.Second
	// readPeriod is the age from which a copy is read again when it is asked for.
	readPeriod  = time.Second
	readTimeout = time.Second
)

// Copy keeps the latest digest that the store has shown. It reads only while it is asked for digests, and not
// more often than once a second. Set the exported fields before Run.
type Copy struct {
	Store keyvalue.Service
	// MaxAge is the age from which a digest counts as unknown; 0 stands for DefaultMaxAge.
	MaxAge  time.Duration
	Metrics metrics.Registry
	Log     log.Interface

	mu sync.Mutex
	// wanted is closed when the next read is due; nil until Run has begun.
	wanted chan struct{}
	digest *load.Digest
	// writtenAfter is a time after which the digest was written: a read sent then did not show it yet. It
	// is zero if that is not known.
	writtenAfter time.Time
	// readSent is when the last read that succeeded was sent.
	readSent time.Time
	// tried is when the last read was sent.
	tried time.Time
	// unknown is what the last view said.
	unknown string
}

// View is a digest with its age.
type View struct {
	// Digest is nil if no digest has been read.
	Digest *load.Digest
	// Age is an upper bound but for how far the store's copy lags behind.
	Age time.Duration
	// Unknown says why the digest says nothing about the load; empty if it is known.
	Unknown string
}

// Get returns the copy without waiting, and has it read again in the background if it is older than a second.
func (c *Copy) Get(now time.Time) View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wanted != nil && now.Sub(c.tried) >= readPeriod {
		c.tried = now
		close(c.wanted)
		c.wanted = nil
	}
	maxAge := c.MaxAge
	if maxAge <= 0 {
		maxAge = DefaultMaxAge
	}
	view := View{Digest: c.digest, Age: now.Sub(c.writtenAfter)}
	switch {
	case c.digest == nil:
		view = View{Unknown: "no digest has been read"}
	case c.writtenAfter.IsZero():
		view.Age, view.Unknown = 0, "the age of the digest is not known"
	case view.Age > maxAge:
		view.Unknown = "the digest is too old"
	case !c.digest.Warm:
		view.Unknown = "most targets have not reported to the planner yet"
	}
	if view.Unknown != c.unknown {
		c.unknown = view.Unknown
		fields := log.Fields{"known": view.Unknown == "", "cause": view.Unknown, "age": view.Age}
		if c.digest != nil {
			fields["token"], fields["digest"] = c.digest.Token, c.digest.Number
		}
		c.Log.WithFields(fields).Info("load: whether the load is known has changed")
	}
	return view
}

// Run reads the digest when Get has asked for it, one read at a time. It returns when ctx ends, with the error
// of ctx.
func (c *Copy) Run(ctx context.Context) error {
	for {
		c.mu.Lock()
		wanted := make(chan struct{})
		c.wanted = wanted
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wanted:
		}
		c.read(ctx)
	}
}

// read reads the digest once.
func (c *Copy) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	item, err := c.Store.GetStale(ctx, records.LoadKey)
	metrics.GetOrRegisterCounter("load.reads", c.Metrics).Inc(1)
	if err != nil {
		metrics.GetOrRegisterCounter("load.failedReads", c.Metrics).Inc(1)
		c.Log.WithError(err).Debug("load: the digest could not be read; the copy stays")
		return
	}
	var digest *load.Digest
	if item != nil {
		record := &wire.LoadRecord{}
		if err := records.Decode(item.Value, record); err != nil {
			c.Log.WithError(err).WithField("revision", item.Revision).Error("load: a digest cannot be decoded; the copy stays")
			return
		}
		digest = load.FromRecord(record)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.digest
	switch {
	case digest != nil && (former == nil || former.Token < digest.Token || (former.Token == digest.Token && former.Number < digest.Number)):
		c.writtenAfter, c.digest = c.readSent, digest
		if former == nil || former.Token != digest.Token {
			c.Log.WithFields(log.Fields{"token": digest.Token, "digest": digest.Number, "warm": digest.Warm}).Info("load: digest of another planner")
		}
	case former != nil && (digest == nil || digest.Token < former.Token || digest.Number < former.Number):
		// An older state of the store shows nothing of when the copy was written.
		return
	}
	c.readSent = sent
}

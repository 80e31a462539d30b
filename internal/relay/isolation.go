package relay

import (
	"context"
	"slices"
	"time"
)

const (
	// While the store does not answer, some hosts of other zones are asked each lookPeriod;
	// isolatedAfter is the number of looks, one after the other, that none answered.
	lookPeriod    = 300 * time.Millisecond
	lookTimeout   = 300 * time.Millisecond
	looks         = 3
	isolatedAfter = 2
)

// Isolated reports whether this host reaches neither the store nor any host of another
// availability zone: callers are then better served elsewhere. In an outage of the store
// the others do answer, and no host counts as isolated.
func (r *Relay) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures > 0 && r.silent >= isolatedAfter
}

// Run looks for hosts of other availability zones while the store does not answer, until
// ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.look(ctx)
		}
	}
}

// look asks some hosts of other zones for any answer.
func (r *Relay) look(ctx context.Context) {
	r.mu.Lock()
	failures := r.failures
	r.mu.Unlock()
	peers := slices.DeleteFunc(r.shuffled(), func(p *peer) bool { return !p.distant })
	if failures == 0 || len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	answers := make(chan bool, looks)
	asked := peers[:min(len(peers), looks)]
	for _, p := range asked {
		go func() { answers <- p.alive(ctx) }()
	}
	answered := false
	for range asked {
		answered = <-answers || answered
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.silent = 0
		return
	}
	r.silent++
	if r.silent == isolatedAfter {
		r.Log.WithField("asked", len(asked)).WithField("failures", r.failures).Warn("relay: this host reaches neither the store nor another zone")
	}
}

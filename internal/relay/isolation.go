package relay

import (
	"context"
	"slices"
	"time"
)

const (
	// While the store does not answer, this host probes up to probedPeers random hosts of
	// other zones once per probePeriod. It counts as isolated after isolatedAfter consecutive
	// probes that no host answered.
	probePeriod   = 300 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	probedPeers   = 3
	isolatedAfter = 2
)

// Isolated reports whether this host reaches neither the store nor any host of another
// availability zone. Callers are then better served by other hosts. In an outage of the
// store, hosts of other zones still answer the probes, so no host counts as isolated.
func (r *Relay) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures > 0 && r.failedProbes >= isolatedAfter
}

// Run probes hosts of other availability zones while the store does not answer. It returns
// when ctx ends, with the error of ctx.
func (r *Relay) Run(ctx context.Context) error {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.probe(ctx)
		}
	}
}

// probe checks whether any of up to probedPeers hosts of other zones answers. It does
// nothing while the last direct call to the store succeeded, or if no such host is known.
func (r *Relay) probe(ctx context.Context) {
	r.mu.Lock()
	failures := r.failures
	r.mu.Unlock()
	peers := slices.DeleteFunc(r.shuffledPeers(), func(p *peer) bool { return !p.otherZone })
	if failures == 0 || len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan bool, probedPeers)
	asked := peers[:min(len(peers), probedPeers)]
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
		r.failedProbes = 0
		return
	}
	r.failedProbes++
	if r.failedProbes == isolatedAfter {
		r.Log.WithField("asked", len(asked)).WithField("failures", r.failures).Warn("relay: this host reaches neither the store nor another zone")
	}
}

package relay

import (
	"context"
	"time"

	"github.com/apex/log"
)

const (
	// While the store does not answer, this host probes up to probedPeers random hosts of
	// other zones and one of its own zone once per probePeriod. It counts as isolated after
	// isolatedAfter consecutive probes that no host of another zone answered.
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

// Alone reports whether this host is isolated and no host of its own availability zone answers it
// either: other hosts then probably still serve callers. If one answers, the zone as a whole may be cut
// off.
func (r *Relay) Alone() bool {
	isolated := r.Isolated()
	r.mu.Lock()
	defer r.mu.Unlock()
	return isolated && r.failedZoneProbes >= isolatedAfter
}

// Run probes other hosts while the store does not answer. It returns when ctx ends, with the error of ctx.
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

// probe checks whether any of up to probedPeers hosts of other zones answers, and whether one of this
// zone does. It does nothing while the last direct call to the store succeeded, or if no host of another
// zone is known.
func (r *Relay) probe(ctx context.Context) {
	r.mu.Lock()
	failures := r.failures
	r.mu.Unlock()
	var elsewhere, here []*peer
	for _, p := range r.shuffledPeers() {
		switch {
		case p.otherZone && len(elsewhere) < probedPeers:
			elsewhere = append(elsewhere, p)
		case !p.otherZone && len(here) == 0:
			here = append(here, p)
		}
	}
	if failures == 0 || len(elsewhere) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	zoneAnswer := make(chan bool, 1)
	go func() { zoneAnswer <- anyAnswers(ctx, here) }()
	answered := anyAnswers(ctx, elsewhere)
	zoneAnswered := <-zoneAnswer
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedZoneProbes++
	if zoneAnswered {
		r.failedZoneProbes = 0
	}
	if answered {
		r.failedProbes = 0
		return
	}
	r.failedProbes++
	if r.failedProbes == isolatedAfter {
		r.Log.WithFields(log.Fields{"asked": len(elsewhere), "failures": r.failures, "zoneAnswered": zoneAnswered}).Warn("relay: this host reaches neither the store nor another zone")
	}
}

// anyAnswers reports whether any of the hosts answers a call before ctx ends.
func anyAnswers(ctx context.Context, peers []*peer) bool {
	answers := make(chan bool, len(peers))
	for _, p := range peers {
		go func() { answers <- p.alive(ctx) }()
	}
	answered := false
	for range peers {
		answered = <-answers || answered
	}
	return answered
}

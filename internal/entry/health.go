package entry

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

const (
	healthPeriod = 500 * time.Millisecond
	// maxBehind is how much longer ago than the store's last answer to this host the configuration may have
	// been confirmed. A watch is answered every second, but over a slow link a large configuration takes long.
	maxBehind = 20 * time.Second
)

// watchHealth checks until ctx ends whether the configuration is followed. A loop that hangs does not end, so
// that only what it no longer achieves shows it.
func (e *Entry) watchHealth(ctx context.Context) error {
	begun := time.Now()
	for ctx.Err() == nil {
		if confirmed := e.follower.Cordons().Confirmed; e.Relay != nil {
			if confirmed.Before(begun) {
				confirmed = begun
			}
			e.checkFollower(confirmed, e.Relay.AnsweredAt())
		}
		sleep(ctx, healthPeriod)
	}
	return ctx.Err()
}

// checkFollower compares when the operators' keys were last confirmed with the store's last answer to this host.
// Gauge: configuration.behind, in milliseconds.
func (e *Entry) checkFollower(confirmed, answeredAt time.Time) {
	behind := max(0, answeredAt.Sub(confirmed))
	metrics.GetOrRegisterGauge("configuration.behind", e.Registry).Update(behind.Milliseconds())
	stuck := behind > maxBehind
	if e.stuck.Swap(stuck) != stuck {
		e.Log.WithFields(log.Fields{"stuck": stuck, "behind": behind}).Error("entry: whether the configuration is followed while the store answers has changed")
	}
}

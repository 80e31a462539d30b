package coordinator

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sharesInterval is the shortest time between two updates of the gauges of the organisations' shares.
const sharesInterval = time.Second

// The gauges of an organisation are in thousandths; its name follows.
const (
	usedShareGauge   = "share.used."
	shareFactorGauge = "share.factor."
)

// measureShares sets the gauges of the organisations' shares, at most once per sharesInterval. The session's
// lock must be held.
func (s *session) measureShares(now time.Time) {
	if now.Sub(s.sharesMeasured) < sharesInterval {
		return
	}
	s.sharesMeasured = now
	current := map[string]bool{}
	for _, share := range s.plan.Shares() {
		current[share.Organisation], s.shareGauges[share.Organisation] = true, true
		metrics.GetOrRegisterGauge(usedShareGauge+share.Organisation, s.Metrics).Update(int64(1000 * share.Used))
		metrics.GetOrRegisterGauge(shareFactorGauge+share.Organisation, s.Metrics).Update(int64(1000 * share.Factor))
	}
	s.dropShareGauges(current)
}

// dropShareGauges removes the gauges of all other organisations.
func (s *session) dropShareGauges(kept map[string]bool) {
	for organisation := range s.shareGauges {
		if !kept[organisation] {
			s.Metrics.Unregister(usedShareGauge + organisation)
			s.Metrics.Unregister(shareFactorGauge + organisation)
			delete(s.shareGauges, organisation)
		}
	}
}

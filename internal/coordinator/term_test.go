package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against lost jobs: when an order finds that the term has not been confirmed for too long,
// the term has to end, even if a renewal confirms it right after. Otherwise the target would get
// neither orders nor renewals while the term goes on.
func TestOrderWithoutAConfirmedTermEndsTheTerm(t *testing.T) {
	const (
		jump    = 20 * time.Millisecond
		between = 137 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(5 * time.Second)
		for range 40 {
			d.submit()
			d.suspended.Add(int64(9 * time.Second))
			time.Sleep(jump)
			d.suspended.Add(-int64(9 * time.Second))
			time.Sleep(between)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/ingress/budget"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// Guards against: the payloads of requests that wait take memory without a bound, or keep it after the
// requests have ended, or a refused request cannot be repeated with its key.
func TestPayloadsOfWaitingRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.close()
		payloads := &budget.Budget{SmallBytes: 100, Small: 4}
		c.hosts[0].dispatcher.Payloads = payloads
		for i := range runnerCount {
			runnerFault(i, "busy").run(c)
		}
		refused := func(s *sent) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, out := range s.outcomes {
				if out, ok := out.(outcome.NotRun); ok && out.RetryAfter > 0 {
					return true
				}
			}
			return false
		}
		// Each payload has two bytes. The last request has a key.
		for _, kind := range []int{4, 4, 2} {
			submit(0, kind).run(c)
		}
		for i, want := range []bool{false, false, true} {
			if have := refused(c.sent[i]); have != want {
				t.Errorf("request %d: refused is %t, want %t", i, have, want)
			}
		}
		if have := payloads.Held(); have != 4 {
			t.Errorf("while two requests wait: have %d bytes held, want 4", have)
		}
		for i := range runnerCount {
			runnerFault(i, "").run(c)
		}
		time.Sleep(time.Minute)
		if have := payloads.Held(); have != 0 || c.runs(c.sent[0]) != 1 || c.runs(c.sent[1]) != 1 || c.runs(c.sent[2]) != 0 {
			t.Errorf("after the requests have ended: have %d bytes held and runs %d, %d, %d; want 0 and 1, 1, 0", have, c.runs(c.sent[0]), c.runs(c.sent[1]), c.runs(c.sent[2]))
		}
		repeat(0, 2).run(c)
		time.Sleep(time.Minute)
		if have := c.runs(c.sent[2]); have != 1 {
			t.Errorf("repeated with its key after the others have ended: have %d runs, want 1", have)
		}
	})
}

package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// Guards against requests that run after their caller heard that they did not: when a host ends while
// its store has not answered the write of an acceptance, another host may find that record and run
// the request.
func TestAcceptanceThatMayBeDurableIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.close()
		storeFault(0, "unanswered").run(c)
		// The caller still waits when the host ends.
		time.AfterFunc(time.Second, c.hosts[0].cancel)
		submit(0, 4).run(c)
		submitted := c.sent[0]
		submitted.mu.Lock()
		defer submitted.mu.Unlock()
		for _, out := range submitted.outcomes {
			if _, ok := out.(outcome.NotRun); ok {
				t.Errorf("\nhave: %+v\nwant: unknown, as the acceptance may be durable", out)
			}
		}
		if len(submitted.outcomes) == 0 {
			t.Error("\nhave: no outcome\nwant: unknown")
		}
	})
}

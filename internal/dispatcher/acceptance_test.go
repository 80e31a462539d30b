package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
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

// Guards against accepted requests that are given up: a host that adopts a request after its class
// was removed tries it as often as the class allowed when it was accepted.
func TestAdoptedRequestOfARemovedClassIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.close()
		setFaults := func(fault string) {
			for i := range runnerCount {
				runnerFault(i, fault).run(c)
			}
		}
		setFaults("busy")
		submit(0, 4).run(c)
		// The host dies after the intent of an attempt that no runner accepts.
		last := wire.RecordKind_RECORD_KIND_UNSPECIFIED
		for range 10000 {
			requests, _, err := journal.Load(t.Context(), c.hosts[1].store, c.hosts[0].name)
			if err != nil || len(requests) != 1 {
				t.Fatalf("journal.Load: have %v (%v), want one request", requests, err)
			}
			if last = requests[0].Last.GetKind(); last == wire.RecordKind_RECORD_KIND_INTENT {
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.kill(c.hosts[0])
		if last != wire.RecordKind_RECORD_KIND_INTENT {
			t.Fatalf("the journal's last record: have %s, want an intent", last)
		}
		without := *c.rules
		without.Classes = map[string]*wire.Class{}
		c.rules = &without
		setFaults("")
		c.adopt(c.hosts[1], c.hosts[0])
		time.Sleep(10 * time.Second)
		if runs := c.runs(c.sent[0]); runs != 1 {
			t.Errorf("\nhave: %d runs\nwant: 1", runs)
		}
	})
}

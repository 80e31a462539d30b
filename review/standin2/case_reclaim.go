//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { cases["reclaim"] = caseReclaim }

// reclaimTime is the bound ReclaimMs of the site slaegt-hq.
const reclaimTime = 2700 * time.Millisecond

// caseReclaim: a tenant without a guarantee uses all idle GPUs for a lasting job of priority 2. Then a tenant
// hands in a job of priority 0 that its guarantee covers.
func caseReclaim(w *world) error {
	work := func(task string) time.Duration {
		if jobOf(task) == lastingID {
			return time.Hour
		}
		return 2500 * time.Millisecond
	}
	for i := range 10 {
		if _, err := w.addRunner(fmt.Sprintf("w%d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i/5), "a", work, nil); err != nil {
			return err
		}
	}
	w.configureTenants(1, []tenant{{"o", []string{"key"}, 8}, {"p", []string{"other"}, 0}}, queue("urgent", 0), queue("serving", 2))
	if err := w.addHosts(3); err != nil {
		return err
	}
	n := need{cpu: 11000, memMB: 59000, gpus: 1}
	count := 80
	if !w.trouble {
		count = 60
	}
	lasting := submission{Spec: n.spec(), Steps: []step{{Count: count, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, LongRunning: true}}}
	if err := w.submit("serving", lastingID, "other", lasting); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	n = need{cpu: 15000, memMB: 44000, gpus: 1}
	id := "0000000000000001"
	if err := w.submit("urgent", id, "key", submission{Spec: n.spec(), Steps: []step{{Count: 3, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, EstimateMs: 2500}}}); err != nil {
		return err
	}
	acknowledged, seen := time.Now(), ""
	for time.Since(acknowledged) < watchTime {
		status, state := w.state(w.hosts[0], "urgent", id, "key")
		if state != seen {
			w.note("%.1f s after the acknowledgement the job is shown as: %d %s", time.Since(acknowledged).Seconds(), status, state)
			seen = state
		}
		if state == "running" || state == "done" {
			if late := time.Since(acknowledged); late > reclaimTime {
				w.breaks("RECLAIM", "the job began later than %s after its acknowledgement", reclaimTime)
			}
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.breaks("RECLAIM", "%.0f s after its acknowledgement the job of priority 0 is shown as %s; it needs 3 GPUs, and 8 are guaranteed", time.Since(acknowledged).Seconds(), seen)
	return nil
}

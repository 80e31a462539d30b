//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { cases["probation"] = caseProbation }

// caseProbation: lasting tasks use the GPUs of all runners. One runner fails all that it starts for a time.
func caseProbation(w *world) error {
	const servers = 12
	work := func(string) time.Duration { return time.Hour }
	var runners []*runner
	for i := range servers {
		r, err := w.addRunner(fmt.Sprintf("w%d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i/6), "a", work, nil)
		if err != nil {
			return err
		}
		runners = append(runners, r)
	}
	w.configure(1, []string{"key"}, queue("serving", 1))
	if err := w.addHosts(3); err != nil {
		return err
	}
	n := need{cpu: 11000, memMB: 59000, gpus: 1}
	lasting := submission{Spec: n.spec(), Steps: []step{{Count: 8 * servers, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, LongRunning: true}}}
	if err := w.submit("serving", lastingID, "key", lasting); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	faulty := runners[0]
	if w.trouble {
		faulty.fail(true)
		time.Sleep(6500 * time.Millisecond)
		faulty.fail(false)
	}
	calm := time.Now()
	emptyFor := time.Duration(0)
	for time.Since(calm) < 40*time.Second {
		if runs := faulty.runs(); runs > 0 {
			w.note("%.1f s after the fault %s has %d runs again", time.Since(calm).Seconds(), faulty.id, runs)
			break
		}
		emptyFor = time.Since(calm)
		time.Sleep(100 * time.Millisecond)
	}
	w.note("%s was sound, empty and in reach for %.1f s while tasks that last waited", faulty.id, emptyFor.Seconds())
	// 4 s without a disruption, and 3 s more in which a task that lasts has nothing running.
	if emptyFor > 7*time.Second {
		w.breaks("LOST", "8 tasks that last had nothing running for %.1f s after the end of the fault, with room for them on %s", emptyFor.Seconds(), faulty.id)
	}
	return nil
}

//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { cases["starve"] = caseStarve }

const lastingID = "00000000000000aa"

// caseStarve: a lasting job has two tasks, of which one runner may have one, on the two runners of kind b. One
// of these runners is emptied and taken away. Short jobs that need kind b follow, for which the other has room.
func caseStarve(w *world) error {
	work := func(task string) time.Duration {
		if jobOf(task) == lastingID {
			return time.Hour
		}
		return 2 * time.Second
	}
	var leaving *runner
	for i := range 15 {
		kind := "a"
		if i >= 13 {
			kind = "b"
		}
		r, err := w.addRunner(fmt.Sprintf("w%d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i/8), kind, work, nil)
		if err != nil {
			return err
		}
		leaving = r
	}
	w.configure(1, []string{"key"}, queue("serving", 0), queue("q", 1))
	if err := w.addHosts(3); err != nil {
		return err
	}
	n := need{cpu: 15000, memMB: 44000, gpus: 1}
	lasting := submission{Spec: n.spec(), Steps: []step{{Count: 2, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, LongRunning: true, MaxPerServer: 1, Requires: "b"}}}
	if err := w.submit("serving", lastingID, "key", lasting); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		leaving.leave()
	}
	// The system is calm again after that.
	time.Sleep(10 * time.Second)
	short := submission{Spec: n.spec(), Steps: []step{{Count: 1, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, EstimateMs: 2000, Requires: "b"}}}
	var ids []string
	for i := range 4 {
		ids = append(ids, fmt.Sprintf("00000000000000%02x", i))
		if err := w.submit("q", ids[i], "key", short); err != nil {
			return err
		}
	}
	return w.awaitStart("q", ids, func(int) string { return "key" })
}

//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["block"] = caseBlock }

// caseBlock: lasting tasks use all GPUs of one of ten runners. A gang of priority 0 that needs GPUs of all ten
// comes and has to wait. Small jobs follow, for which the nine other runners have room.
func caseBlock(w *world) error {
	work := func(task string) time.Duration {
		if jobOf(task) == lastingID {
			return time.Hour
		}
		return 2 * time.Second
	}
	for i := range 10 {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		if _, err := w.addRunner(fmt.Sprintf("w%d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i/5), kind, work, nil); err != nil {
			return err
		}
	}
	w.configureTenants(1, []tenant{{"o", []string{"key"}, 50}, {"p", []string{"other"}, 0}}, queue("urgent", 0), queue("q", 1), queue("serving", 2))
	if err := w.addHosts(3); err != nil {
		return err
	}
	n := need{cpu: 11000, memMB: 59000, gpus: 1}
	lasting := submission{Spec: n.spec(), Steps: []step{{Count: 8, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, LongRunning: true, Requires: "b"}}}
	if err := w.submit("serving", lastingID, "other", lasting); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		n := need{cpu: 15000, memMB: 44000, gpus: 5}
		gang := submission{Spec: n.spec(), Steps: []step{{Count: 10, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, EstimateMs: 2500, Gang: true}}}
		if err := w.submit("urgent", "00000000000000bb", "key", gang); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	short := submission{Spec: n.spec(), Steps: []step{{Count: 3, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, EstimateMs: 2000}}}
	var ids []string
	for i := range 6 {
		ids = append(ids, fmt.Sprintf("00000000000000%02x", i))
		if err := w.submit("q", ids[i], []string{"key", "other"}[i%2], short); err != nil {
			return err
		}
	}
	return w.awaitStart("q", ids, func(i int) string { return []string{"key", "other"}[i%2] })
}

// watchTime is how long after the end of the traffic jobs are followed.
const watchTime = 45 * time.Second

// awaitStart follows jobs from the end of the traffic on. LOST is broken if one of them is still queued long
// after finish_s, 14 s, and 3 s more.
func (w *world) awaitStart(queue string, ids []string, key func(int) string) error {
	traffic := time.Now()
	w.note("the traffic ends")
	seen := ""
	for time.Since(traffic) < watchTime {
		var states []string
		waiting := 0
		for i, id := range ids {
			_, state := w.state(w.hosts[0], queue, id, key(i))
			states = append(states, state)
			if state == "queued" {
				waiting++
			}
		}
		if now := strings.Join(states, " "); now != seen {
			w.note("%.1f s after the end of the traffic the jobs are shown as: %s", time.Since(traffic).Seconds(), now)
			seen = now
		}
		if waiting == 0 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.breaks("LOST", "%.0f s after the end of the traffic (finish_s is 14 s, and 3 s more) the jobs are shown as %s, with room for them many times over", time.Since(traffic).Seconds(), seen)
	return nil
}

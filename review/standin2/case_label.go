//go:build review2

package main

import (
	"fmt"
	"time"
)

func init() { cases["label"] = caseLabel }

// caseLabel: runners of kind a crash one after the other, and start again under their ids as kind b. Jobs that
// require kind a wait for room.
func caseLabel(w *world) error {
	onStart := func(r *runner, o order) {
		if r.kind != "a" {
			w.breaks("ROUTE", "%s/%d, which requires the label a, was started on %s, which has the labels %s and %s", o.Task, o.Run, r.id, r.kind, r.rack)
		}
	}
	work := func(string) time.Duration { return 2500 * time.Millisecond }
	var runners []*runner
	for i := range 10 {
		kind := "a"
		if i >= 7 {
			kind = "b"
		}
		r, err := w.addRunner(fmt.Sprintf("w%d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i/5), kind, work, onStart)
		if err != nil {
			return err
		}
		runners = append(runners, r)
	}
	w.configure(1, []string{"key"}, queue("q", 1))
	if err := w.addHosts(3); err != nil {
		return err
	}
	// The runners of kind a hold 56 tasks at once.
	n := need{cpu: 15000, memMB: 44000, gpus: 1}
	for i := range 24 {
		job := submission{Spec: n.spec(), Steps: []step{{Count: 21, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, EstimateMs: 2500, Requires: "a"}}}
		if err := w.submit("q", fmt.Sprintf("00000000000000%02x", i), "key", job); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	for i := range 4 {
		if w.trouble {
			runners[i].crash()
			time.Sleep(1400 * time.Millisecond)
			if err := runners[i].restart("b"); err != nil {
				return err
			}
		}
		time.Sleep(3 * time.Second)
	}
	return nil
}

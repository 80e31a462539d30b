//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["attempts"] = attempts }

func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// attempts plays a job whose task always fails. The runner of its first run is cut off before the run
// fails, and comes back before the last attempt. It checks BUDGET.
func attempts(w *world) {
	const id = "00000000000000b1"
	const cutFor = 6500 * time.Millisecond
	w.fleet.expect(id, []taskSpec{{work: 3 * time.Second, fails: true, needs: lookupNeeds}})
	if !w.client.submit("/lookup/"+id, lookupJob(id, 1, 3000)) {
		w.failure = errors.New("the job was not accepted")
		return
	}
	task := taskName(id, 0, 0)
	first := w.awaitStart(task)
	if first == nil {
		w.failure = errors.New("the task did not start")
		return
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		first.cutOff(cutFor)
	}
	time.Sleep(45 * time.Second)
	w.client.call(w.client.host(), "GET", "/lookup/"+id, nil, clientDeadline)
	w.checkBudget(task)
}

// awaitStart returns the runner of the first start of a task.
func (w *world) awaitStart(task string) *runner {
	for range 500 {
		w.fleet.mu.Lock()
		starts := w.fleet.starts[task]
		w.fleet.mu.Unlock()
		if len(starts) > 0 {
			for _, r := range w.runners {
				if r.id == starts[0].runner {
					return r
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// checkBudget checks that no run starts after maxAttempts runs have failed whose ends were taken note
// of, before the start or later.
func (w *world) checkBudget(task string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, s := range w.fleet.starts[task] {
		failed, notedBefore := 0, 0
		for _, e := range w.fleet.ends[task] {
			if e.how != "failed" || e.notedAt.IsZero() || e.at.After(s.at) {
				continue
			}
			failed++
			if e.notedAt.Before(s.at) {
				notedBefore++
			}
		}
		w.record.add("checked: run %d of %s started on %s after %d failed runs", s.run, task, s.runner, failed)
		if failed >= maxAttempts {
			w.violation("BUDGET: run %d of %s started after %d runs had failed, where %d attempts are allowed; %d of these ends had been taken note of before", s.run, task, failed, maxAttempts, notedBefore)
		}
	}
}

//go:build review

package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["route"] = route }

// route plays two jobs of two steps. While their first steps run, a version of the configuration
// removes the route of one and puts a route with another name in the place of the other. Then the
// planner's host is stopped and started, as in a rolling restart. It checks LOST: the second steps
// must start once the first are done.
func route(w *world) {
	const removed, renamed = "00000000000000a1", "00000000000000a2"
	w.configure(2, "lookup", "sweep", "trace")
	time.Sleep(3 * time.Second)
	for id, prefix := range map[string]string{removed: "/sweep/", renamed: "/trace/"} {
		w.fleet.expect(id, []taskSpec{{work: 10 * time.Second, needs: lookupNeeds}, {work: 2 * time.Second, needs: lookupNeeds}})
		job := map[string]any{"Spec": "spec of " + id, "Steps": []any{lookupStep(2, 10000), lookupStep(2, 2000, 0)}}
		if !w.client.submit(prefix+id, job) {
			w.failure = errors.New("the job was not accepted")
			return
		}
	}
	time.Sleep(2 * time.Second)
	w.configure(3, "lookup", "trace-b=trace")
	time.Sleep(3 * time.Second)
	if w.trouble {
		planner := w.planner()
		if planner == nil {
			w.failure = errors.New("no host has written under a condition")
			return
		}
		planner.end(syscall.SIGTERM)
		if err := planner.start(); err != nil {
			w.failure = err
			return
		}
	}
	time.Sleep(40 * time.Second)
	w.client.call(w.client.host(), http.MethodGet, "/trace/"+renamed, nil, clientDeadline)
	for _, id := range []string{removed, renamed} {
		w.checkStep(id, 0, 2)
		w.checkStep(id, 1, 2)
	}
}

// checkStep checks that all tasks of a step have ended as done.
func (w *world) checkStep(job string, step, count int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for index := range count {
		task := taskName(job, step, index)
		done := false
		for _, e := range w.fleet.ends[task] {
			done = done || e.how == "done"
		}
		w.record.add("checked: %s has %d starts and has ended as done: %t", task, len(w.fleet.starts[task]), done)
		if !done {
			w.violation("LOST: %s of an accepted job has not run to its end; it was started %d times", task, len(w.fleet.starts[task]))
		}
	}
}

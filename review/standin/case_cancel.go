//go:build review

package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

func init() { cases["cancel"] = cancelLate }

// cancelLate plays a client that gets no answer to a submission, gives up and cancels the job. The
// store carries the submission's write out late. It checks UNASKED.
func cancelLate(w *world) {
	const id = "00000000000000c1"
	const lateBy = 4 * time.Second
	const cancelMs = 3 * time.Second
	lost := false
	w.store.mu.Lock()
	w.store.late = func(_, key string) time.Duration {
		if !w.trouble || lost || !strings.Contains(key, id) {
			return 0
		}
		lost = true
		return lateBy
	}
	w.store.mu.Unlock()
	w.fleet.expect(id, []taskSpec{{work: 2 * time.Second, needs: lookupNeeds}})
	path := "/lookup/" + id
	accepted, _ := w.client.call(w.hosts[0], http.MethodPost, path, lookupJob(id, 2, 2000), 500*time.Millisecond)
	var cancelled time.Time
	for range clientRetries {
		status, _ := w.client.call(w.client.host(), http.MethodDelete, path, nil, clientDeadline)
		if status/100 == 2 || status == http.StatusGone {
			cancelled = time.Now()
			w.record.add("client: the cancelling is acknowledged with %d, after the submission got %d", status, accepted)
			break
		}
	}
	if cancelled.IsZero() {
		w.failure = errors.New("the cancelling was not acknowledged")
		return
	}
	time.Sleep(15 * time.Second)
	w.client.call(w.client.host(), http.MethodGet, path, nil, clientDeadline)
	for task, starts := range w.fleet.startsOf(id) {
		for _, s := range starts {
			if after := s.at.Sub(cancelled); after > cancelMs {
				w.violation("UNASKED: run %d of %s started %s after the cancelling was acknowledged", s.run, task, after.Round(time.Millisecond))
			}
		}
	}
}

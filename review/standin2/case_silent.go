//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["silent"] = caseSilent }

// caseSilent: all open connections to the store go silent at one moment, while new ones work. After that the
// operator adds a queue.
func caseSilent(w *world) error {
	for i := range 8 {
		work := func(string) time.Duration { return 4 * time.Second }
		if _, err := w.addRunner(fmt.Sprintf("w%d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i/4), "a", work, nil); err != nil {
			return err
		}
	}
	w.configure(1, []string{"key"}, queue("q", 1))
	if err := w.addHosts(3); err != nil {
		return err
	}
	n := need{cpu: 15000, memMB: 44000, gpus: 1}
	job := submission{Spec: n.spec(), Steps: []step{{Count: 3, Cpu: n.cpu, MemMb: n.memMB, Gpus: n.gpus, EstimateMs: 4000}}}
	const clients = 12
	for i := range clients {
		if err := w.submit("q", fmt.Sprintf("00000000000000%02x", i), "key", job); err != nil {
			return err
		}
	}
	// The clients of each zone ask for the state of their jobs from time to time.
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, h := range w.hosts {
		for i := range clients {
			group.Go(func() {
				for {
					status, _ := w.state(h, "q", fmt.Sprintf("00000000000000%02x", i), "key")
					w.count(fmt.Sprintf("states %d", status))
					select {
					case <-stop:
						return
					case <-time.After(time.Second):
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	silenced := time.Now()
	for _, h := range w.hosts {
		if w.trouble {
			w.note("%s: %d open connections to the store go silent", h.Name, h.link.silence())
		} else {
			w.note("%s: %d open connections to the store", h.Name, h.link.open())
		}
	}
	// When the change is made, the machines are in touch and the core is stable again.
	time.Sleep(contactTime + 100*time.Millisecond)
	acknowledged := w.configure(2, []string{"key"}, queue("q", 1), queue("added", 1))
	judgedFrom := acknowledged.Add(configApplyTime + 50*time.Millisecond)
	for _, h := range w.hosts {
		group.Go(func() {
			for time.Since(silenced) < 16*time.Second {
				sent := time.Now()
				status, _ := w.call(h, "GET", "/added/", "key", nil)
				w.note("GET /added/ at %s sent %.3f s after the acknowledgement: %d", h.Name, sent.Sub(acknowledged).Seconds(), status)
				if sent.After(judgedFrom) && status == 404 {
					w.breaks("CONFIG", "%s answered 404 for a queue that had been acknowledged %.3f s before the request, %.3f s after its connections went silent", h.Name, sent.Sub(acknowledged).Seconds(), sent.Sub(silenced).Seconds())
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return nil
}

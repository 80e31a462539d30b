package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// servingTimeout is the time within which each host serves after the last fault.
	servingTimeout = 12 * time.Second
	probePeriod    = 200 * time.Millisecond
)

// defects are parts of log lines that report a defect of the host, whether callers noticed it or not.
var defects = []string{"panic: ", "fatal error: ", "a background loop ended while the host goes on", "the term ends after a panic"}

// startInTrouble kills hosts and starts them while their link to the store or a target is in trouble, until ctx ends:
// the first calls of their processes then meet it.
func (d *deployment) startInTrouble(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(500+random.IntN(4000)) * time.Millisecond):
		}
		trouble := []mode{silence, loseRequests, loseAnswers, refuse}[random.IntN(4)]
		hosts := []*host{d.hosts[random.IntN(len(d.hosts))]}
		if random.IntN(3) == 0 {
			hosts = d.hosts
		}
		links := []*proxy{d.targets[random.IntN(len(d.targets))].link}
		if random.IntN(3) > 0 {
			links = nil
			for _, h := range hosts {
				links = append(links, h.store)
			}
		}
		pause, lasts := time.Duration(20+random.IntN(250))*time.Millisecond, time.Duration(500+random.IntN(4000))*time.Millisecond
		d.restartBehind(hosts, links, trouble, pause, lasts)
		d.count("starts in trouble")
	}
}

// restartBehind puts links into a mode, kills and starts hosts, and ends the mode some time later.
func (d *deployment) restartBehind(hosts []*host, links []*proxy, trouble mode, pause, lasts time.Duration) {
	for _, link := range links {
		link.mode.Store(int32(trouble))
	}
	var group sync.WaitGroup
	for _, h := range hosts {
		h.markDisturbed()
		group.Go(func() {
			if err := h.kill(pause); err != nil {
				d.addViolation("soak: %v", err)
			}
		})
	}
	group.Wait()
	time.Sleep(lasts)
	for _, link := range links {
		link.clearFaults()
	}
	for _, h := range hosts {
		h.markDisturbed()
	}
}

// checkServing checks that each host is ready and serves within servingTimeout, although none has been started
// again since the faults ended.
func (d *deployment) checkServing(c *caller) {
	var group sync.WaitGroup
	until := time.Now().Add(servingTimeout)
	for _, h := range d.hosts {
		probe := &caller{deployment: d, client: c.client, number: c.number, random: rand.New(rand.NewPCG(c.random.Uint64(), 1))}
		group.Go(func() {
			ready, status := false, 0
			for time.Now().Before(until) {
				ready = h.isReady()
				status, _ = probe.call(h, http.MethodGet, "/q0/", nil)
				if ready && status == http.StatusOK {
					return
				}
				time.Sleep(probePeriod)
			}
			d.addViolation("recovery: %s is ready: %t, and answers %d, %s after the last fault", h.Name, ready, status, servingTimeout)
		})
	}
	group.Wait()
}

// isReady makes one health check.
func (h *host) isReady() bool {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.Ready.String() + "/")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// checkLogs checks that no host's log reports a defect, and that no process ended by itself.
func (d *deployment) checkLogs() {
	for _, h := range d.hosts {
		h.mu.Lock()
		for _, end := range h.ownEnds {
			d.addViolation("ended: a process of %s ended by itself: %s", h.Name, end)
		}
		h.mu.Unlock()
		paths, err := filepath.Glob(filepath.Join(h.dir, h.Name+".*.log"))
		if err != nil {
			d.addViolation("soak: %v", err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				d.addViolation("soak: %v", err)
			}
			for line := range strings.Lines(string(text)) {
				for _, defect := range defects {
					if strings.Contains(line, defect) {
						d.addViolation("defect: %s: %.300s", filepath.Base(path), line)
					}
				}
			}
		}
	}
}

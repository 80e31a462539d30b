package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
	"github.com/eelgrasstide/eelgrasstide/platform/platformtest"
)

const (
	callTime = 3 * time.Second
	tries    = 4
	retryGap = 300 * time.Millisecond
	askGap   = 400 * time.Millisecond
	// visibleTime is how long after its acceptance a job may be unknown to a host in touch.
	visibleTime = 3 * time.Second
	// lossSlack is how long a request may be under way when its connection ends in a planned stop.
	lossSlack = 200 * time.Millisecond
)

// caller submits jobs one after the other, over connections that it keeps open.
type caller struct {
	world  *world
	random *rand.Rand
	client *http.Client
	name   int
	jobs   sync.WaitGroup
}

func (w *world) newCaller(seed uint64, name int) *caller {
	return &caller{
		world: w, name: name, random: rand.New(rand.NewPCG(seed, uint64(name)+100)),
		client: &http.Client{Timeout: callTime, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// outcome is what a caller knows of one call: its status, or 0 without an answer.
func (c *caller) call(h *host, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+h.Callers.String()+path, bytes.NewReader(body))
	if err != nil {
		c.world.breach("soak: %v", err)
		return 0, nil
	}
	request.Host = "jobs.example"
	request.Header.Set("Api-Key", "key")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	request.Header.Set("Request-Id", fmt.Sprintf("%d-%d", c.name, c.random.Int64()))
	sent := time.Now()
	response, err := c.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		answer := bytes.Buffer{}
		if _, err = answer.ReadFrom(response.Body); err == nil {
			return response.StatusCode, answer.Bytes()
		}
	}
	c.cutOff(h, method+" "+path, sent, err)
	return 0, nil
}

// cutOff checks that a planned stop did not end the connection of a request under way.
func (c *caller) cutOff(h *host, what string, sent time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	stopping := !h.stopping.IsZero() && time.Since(h.stopping) < grace+time.Second
	refused := errors.Is(err, syscall.ECONNREFUSED)
	timedOut := time.Since(sent) >= callTime
	if stopping && !h.frozen && h.disturbed.Before(sent.Add(-contactTime)) && !refused && !timedOut && time.Since(sent) > lossSlack {
		c.world.breach("lost: %s was cut off by a planned stop of %s after %s: %v", what, h.Name, time.Since(sent), err)
	}
}

func (c *caller) anyHost() *host { return c.world.hosts[c.random.IntN(len(c.world.hosts))] }

// run submits jobs until ctx ends and follows each of them until it has ended.
func (c *caller) run(ctx context.Context) {
	for serial := 0; ctx.Err() == nil; serial++ {
		job := c.job(fmt.Sprintf("%08x%08x", c.name, serial))
		c.world.fleet.Expect(job)
		path := fmt.Sprintf("/q%d/%s", c.random.IntN(3), job.ID)
		switch c.submit(job, path) {
		case accepted:
			c.world.count("accepted")
			follower := &caller{world: c.world, client: c.client, name: c.name, random: rand.New(rand.NewPCG(c.random.Uint64(), 1))}
			cancel := c.random.IntN(8) == 0
			c.jobs.Go(func() { follower.follow(job, path, cancel) })
		case refused:
			c.world.count("refused")
			// From now on each start of it is held against the system.
			c.world.fleet.Expect(&workload.Job{ID: job.ID, Payload: "refused"})
		case unclear:
			c.world.count("unclear")
		}
		time.Sleep(time.Duration(50+c.random.IntN(700)) * time.Millisecond)
	}
}

func (c *caller) job(id string) *workload.Job {
	step := workload.Step{
		Count: 1 + c.random.IntN(4), Estimate: time.Duration(300+c.random.IntN(2500)) * time.Millisecond, Gang: c.random.IntN(2) == 0,
		SameRack: c.random.IntN(2) == 0, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 50 + 50*int64(c.random.IntN(4)), Accelerators: int64(c.random.IntN(2))},
	}
	job := &workload.Job{ID: id, Payload: "payload of " + id, Steps: []workload.Step{step}}
	if c.random.IntN(4) == 0 {
		second := step
		second.After, second.Gang = []int{0}, false
		job.Steps = append(job.Steps, second)
	}
	return job
}

type submitted int

const (
	accepted submitted = iota
	refused
	unclear
)

func (c *caller) submit(job *workload.Job, path string) submitted {
	result := refused
	for range tries {
		h := c.anyHost()
		switch status, body := c.call(h, http.MethodPost, path, platformtest.Submission(job)); status {
		case http.StatusOK:
			return accepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case 0, http.StatusGatewayTimeout, http.StatusBadGateway:
			result = unclear
		case http.StatusNotFound:
			if !c.world.calm(h, time.Now().Add(-contactTime)) {
				continue
			}
			fallthrough
		default:
			c.world.breach("answer: %s answered %d to POST %s: %s", h.Name, status, path, body)
		}
		time.Sleep(retryGap)
	}
	return result
}

// follow asks for an accepted job until it has ended, now and then after it was cancelled.
func (c *caller) follow(job *workload.Job, path string, cancel bool) {
	begun, wantCancel, cancelled := time.Now(), cancel, false
	for time.Since(begun) < jobTime {
		h := c.anyHost()
		if wantCancel && time.Since(begun) > time.Second {
			status, _ := c.call(h, http.MethodDelete, path, nil)
			cancelled = true
			if status == http.StatusOK {
				c.world.fleet.Cancelled(job.ID)
				wantCancel = false
			}
			continue
		}
		status, body := c.call(h, http.MethodGet, path, nil)
		if status == http.StatusGone && time.Since(begun) > visibleTime {
			c.world.breach("lost: %s says that the accepted job %s is not known", h.Name, job.ID)
			return
		}
		told := struct{ State string }{}
		if status == http.StatusOK && json.Unmarshal(body, &told) == nil && c.ended(job, told.State, cancelled) {
			c.world.count(told.State)
			return
		}
		time.Sleep(askGap)
	}
	c.world.breach("lost: the accepted job %s has not ended after %s", job.ID, time.Since(begun).Round(time.Second))
}

// ended reports whether the state is a last one, and checks that it is true.
func (c *caller) ended(job *workload.Job, state string, cancelled bool) bool {
	switch state {
	case "queued", "running":
		return false
	case "done":
		for number, step := range job.Steps {
			done := 0
			for index := range step.Count {
				if c.world.fleet.Done(target.Task{Job: job.ID, Step: number, Index: index}) {
					done++
				}
			}
			if done == 0 || (!step.Gang && done < step.Count) {
				c.world.breach("mixed: %s is shown as done, but only %d of %d tasks of step %d are", job.ID, done, step.Count, number)
			}
		}
	case "cancelled":
		if !cancelled {
			c.world.breach("lost: %s is shown as cancelled, and nobody did so", job.ID)
		}
	default:
		c.world.breach("lost: %s is shown as %q", job.ID, state)
	}
	return true
}

// watchConfiguration checks on every host that versions come into force in time and never go back.
func (w *world) watchConfiguration(ctx context.Context, c *caller) {
	for ctx.Err() == nil {
		h := c.anyHost()
		w.mu.Lock()
		version := 1 + int64(c.random.IntN(int(w.config.Version)))
		written, known := w.written[version]
		w.mu.Unlock()
		asked := time.Now()
		h.mu.Lock()
		starts, seen := h.starts, h.version
		h.mu.Unlock()
		status, _ := c.call(h, http.MethodGet, "/"+extraQueue(version)+"/", nil)
		h.mu.Lock()
		same := h.starts == starts
		if same && status == http.StatusOK {
			h.version = max(h.version, version)
		}
		h.mu.Unlock()
		if same && status == http.StatusNotFound {
			if version <= seen {
				w.breach("configuration: %s went back behind version %d", h.Name, seen)
			}
			if late := asked.Sub(written); known && late > applyTime && w.calm(h, asked.Add(-contactTime-applyTime)) {
				w.breach("configuration: %s does not use version %d, %s after its acknowledgement", h.Name, version, late)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

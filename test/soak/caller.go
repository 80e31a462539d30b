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
	// callTimeout bounds a call, and is the deadline that the caller sends with it.
	callTimeout = 3 * time.Second
	// submitAttempts is the number of times that a caller submits a job before it gives up.
	submitAttempts = 4
	retryDelay     = 300 * time.Millisecond
	// pollPeriod is the pause between two reads of a job's state.
	pollPeriod = 400 * time.Millisecond
	// visibilityTimeout is how long after the acceptance of a job a host that is in contact with
	// the store may still not know it.
	visibilityTimeout = 3 * time.Second
	// cutOffTolerance is how long a request may have been in progress when a planned stop cuts it
	// off.
	cutOffTolerance = 200 * time.Millisecond
)

// caller submits jobs one after the other and reuses its connections.
type caller struct {
	deployment *deployment
	random     *rand.Rand
	client     *http.Client
	number     int
	// jobs waits for the accepted jobs to end.
	jobs sync.WaitGroup
}

func (d *deployment) newCaller(seed uint64, number int) *caller {
	return &caller{
		deployment: d, number: number, random: rand.New(rand.NewPCG(seed, uint64(number)+100)),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// call returns the status and body of the answer, or status 0 if there was no answer.
func (c *caller) call(h *host, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+h.Callers.String()+path, bytes.NewReader(body))
	if err != nil {
		c.deployment.addViolation("soak: %v", err)
		return 0, nil
	}
	request.Host = "jobs.example"
	request.Header.Set("Api-Key", "key")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	request.Header.Set("Request-Id", fmt.Sprintf("%d-%d", c.number, c.random.Int64()))
	sent := time.Now()
	response, err := c.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		answer := bytes.Buffer{}
		if _, err = answer.ReadFrom(response.Body); err == nil {
			return response.StatusCode, answer.Bytes()
		}
	}
	c.checkCutOff(h, method+" "+path, sent, err)
	return 0, nil
}

// checkCutOff records a violation if a planned stop of the host ended the connection of a request
// in progress. Other disturbances, refused connections and time-outs are no violation.
func (c *caller) checkCutOff(h *host, request string, sent time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	stopping := !h.stopping.IsZero() && time.Since(h.stopping) < gracePeriod+time.Second
	refused := errors.Is(err, syscall.ECONNREFUSED)
	timedOut := time.Since(sent) >= callTimeout
	if stopping && !h.frozen && h.disturbed.Before(sent.Add(-recoveryTime)) && !refused && !timedOut && time.Since(sent) > cutOffTolerance {
		c.deployment.addViolation("lost: %s was cut off by a planned stop of %s after %s: %v", request, h.Name, time.Since(sent), err)
	}
}

func (c *caller) randomHost() *host {
	return c.deployment.hosts[c.random.IntN(len(c.deployment.hosts))]
}

// run submits jobs until ctx ends. Each accepted job is followed until it has ended, and one in
// eight is cancelled.
func (c *caller) run(ctx context.Context) {
	for serial := 0; ctx.Err() == nil; serial++ {
		job := c.job(fmt.Sprintf("%08x%08x", c.number, serial))
		c.deployment.fleet.ExpectJob(job)
		path := fmt.Sprintf("/q%d/%s", c.random.IntN(3), job.ID)
		switch c.submit(job, path) {
		case accepted:
			c.deployment.count("accepted")
			follower := &caller{deployment: c.deployment, client: c.client, number: c.number, random: rand.New(rand.NewPCG(c.random.Uint64(), 1))}
			cancel := c.random.IntN(8) == 0
			c.jobs.Go(func() { follower.follow(job, path, cancel) })
		case refused:
			c.deployment.count("refused")
			// The payload differs from the submitted one, so each later start counts as a violation.
			c.deployment.fleet.ExpectJob(&workload.Job{ID: job.ID, Payload: "refused"})
		case unclear:
			c.deployment.count("unclear")
		}
		time.Sleep(time.Duration(50+c.random.IntN(700)) * time.Millisecond)
	}
}

// job returns a job with one or two steps of random size.
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

type submitResult int

const (
	accepted submitResult = iota
	// refused: the job is known not to have been accepted.
	refused
	// unclear: the job may have been accepted.
	unclear
)

// submit offers a job to hosts chosen at random, at most submitAttempts times, until one accepts
// it.
func (c *caller) submit(job *workload.Job, path string) submitResult {
	result := refused
	for range submitAttempts {
		h := c.randomHost()
		switch status, body := c.call(h, http.MethodPost, path, platformtest.EncodeSubmission(job)); status {
		case http.StatusOK:
			return accepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case 0, http.StatusGatewayTimeout, http.StatusBadGateway:
			result = unclear
		case http.StatusNotFound:
			if !c.deployment.undisturbed(h, time.Now().Add(-recoveryTime)) {
				continue
			}
			fallthrough
		default:
			c.deployment.addViolation("answer: %s answered %d to POST %s: %s", h.Name, status, path, body)
		}
		time.Sleep(retryDelay)
	}
	return result
}

// follow reads the state of an accepted job until it has ended. If cancel is set, it cancels the
// job after 1 s.
func (c *caller) follow(job *workload.Job, path string, cancel bool) {
	start, wantCancel, cancelled := time.Now(), cancel, false
	for time.Since(start) < jobTimeout {
		h := c.randomHost()
		if wantCancel && time.Since(start) > time.Second {
			status, _ := c.call(h, http.MethodDelete, path, nil)
			cancelled = true
			if status == http.StatusOK {
				c.deployment.fleet.JobCancelled(job.ID)
				wantCancel = false
			}
			continue
		}
		status, body := c.call(h, http.MethodGet, path, nil)
		if status == http.StatusGone && time.Since(start) > visibilityTimeout {
			c.deployment.addViolation("lost: %s answered that the accepted job %s is not known", h.Name, job.ID)
			return
		}
		answer := struct{ State string }{}
		if status == http.StatusOK && json.Unmarshal(body, &answer) == nil && c.checkState(job, answer.State, cancelled) {
			c.deployment.count(answer.State)
			return
		}
		time.Sleep(pollPeriod)
	}
	c.deployment.addViolation("lost: the accepted job %s has not ended after %s", job.ID, time.Since(start).Round(time.Second))
}

// checkState reports whether a state is final, and records a violation if it does not agree with
// what the targets and this caller did.
func (c *caller) checkState(job *workload.Job, state string, cancelled bool) bool {
	switch state {
	case "queued", "running":
		return false
	case "done":
		for number, step := range job.Steps {
			done := 0
			for index := range step.Count {
				if c.deployment.fleet.TaskDone(target.Task{Job: job.ID, Step: number, Index: index}) {
					done++
				}
			}
			if done == 0 || (!step.Gang && done < step.Count) {
				c.deployment.addViolation("mixed: %s is shown as done, but only %d of %d tasks of step %d are", job.ID, done, step.Count, number)
			}
		}
	case "cancelled":
		if !cancelled {
			c.deployment.addViolation("lost: %s is shown as cancelled, but its caller did not cancel it", job.ID)
		}
	default:
		c.deployment.addViolation("lost: %s is shown as %q", job.ID, state)
	}
	return true
}

// watchConfiguration checks that hosts put each version of the configuration into force within
// applyTimeout and do not return to an older one. A version is in force on a host that has the
// queue which the version adds.
func (d *deployment) watchConfiguration(ctx context.Context, c *caller) {
	for ctx.Err() == nil {
		h := c.randomHost()
		d.mu.Lock()
		version := 1 + int64(c.random.IntN(int(d.config.Version)))
		acknowledged, known := d.acknowledged[version]
		d.mu.Unlock()
		sent := time.Now()
		h.mu.Lock()
		starts, highestSeen := h.starts, h.version
		h.mu.Unlock()
		status, _ := c.call(h, http.MethodGet, "/"+extraQueue(version)+"/", nil)
		h.mu.Lock()
		sameIncarnation := h.starts == starts
		if sameIncarnation && status == http.StatusOK {
			h.version = max(h.version, version)
		}
		h.mu.Unlock()
		if sameIncarnation && status == http.StatusNotFound {
			if version <= highestSeen {
				d.addViolation("configuration: %s returned to a version older than %d", h.Name, highestSeen)
			}
			if age := sent.Sub(acknowledged); known && age > applyTimeout && d.undisturbed(h, sent.Add(-recoveryTime-applyTimeout)) {
				d.addViolation("configuration: %s does not use version %d, %s after its acknowledgement", h.Name, version, age)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

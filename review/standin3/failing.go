//go:build review3

package main

import (
	"fmt"
	"time"
)

const (
	hourJob        = "0a11d94b36f80001"
	failingJob     = "0a11d94b36f80002"
	failingRunners = 12
	failingCount   = 2
	// greyTime is for how long a runner fails all with TROUBLE=grey; the site file has 6.5 s at most.
	greyTime = 4 * time.Second
)

// failingTasks has two tasks that last fail once, by themselves, while all other runners are full with work of hours. With
// TROUBLE=grey their runner fails all that it runs for greyTime instead.
func failingTasks(s *stage) (bool, error) {
	whole := capacity{Cpu: 16000, MemMb: 65536, Gpus: 8}
	small := capacity{Cpu: 4000, MemMb: 16384, Gpus: 1}
	needs := func(task string) capacity {
		if task[:len(hourJob)] == hourJob {
			return whole
		}
		return small
	}
	c := newConfig()
	c.Routes = append(c.Routes, newRoute("r-batch01", "/pule252/", 2))
	if err := s.begin(c, failingRunners, whole, needs); err != nil {
		return false, err
	}
	if _, err := s.awaitPlanner(5 * time.Second); err != nil {
		return false, err
	}
	step := func(count int, n capacity, lasts bool) map[string]any {
		out := map[string]any{"Count": count, "Cpu": n.Cpu, "MemMb": n.MemMb, "Gpus": n.Gpus}
		if lasts {
			out["LongRunning"] = true
		} else {
			out["EstimateMs"] = time.Hour.Milliseconds()
		}
		return out
	}
	jobs := []struct {
		path, spec string
		step       map[string]any
		running    int
	}{
		{"/pule252/" + hourJob, hourSpec, step(failingRunners-1, whole, false), failingRunners - 1},
		{"/lohu930/" + failingJob, lastingSpec, step(failingCount, small, true), failingRunners - 1 + failingCount},
	}
	for _, job := range jobs {
		if err := s.handIn(job.path, apiKey, map[string]any{"Spec": job.spec, "Steps": []any{job.step}}); err != nil {
			return false, err
		}
		for until := time.Now().Add(10 * time.Second); s.atWork() < job.running; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(until) {
				return false, fmt.Errorf("only %d of %d tasks run", s.atWork(), job.running)
			}
		}
	}
	s.log.add("all tasks run")
	time.Sleep(5 * time.Second)
	calmSince := time.Now()
	if s.trouble != "0" {
		for _, r := range s.runners {
			if s.tasksOn(r) != failingCount {
				continue
			}
			if s.trouble != "grey" {
				r.failOnce()
				break
			}
			r.failAll(true)
			time.Sleep(greyTime)
			r.failAll(false)
			break
		}
		calmSince = time.Now()
	}
	time.Sleep(25 * time.Second)
	broken := false
	for i := range failingCount {
		broken = s.wasDown(fmt.Sprintf("%s.0.0.%d", failingJob, i), calmSince) || broken
	}
	return broken, nil
}

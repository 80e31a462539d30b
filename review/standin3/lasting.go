//go:build review3

package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	lastingJob   = "5c0e7a21d94b36f8"
	lastingCount = 6
	// notice is how long before it leaves a runner says so; the site's scale-2 has this figure.
	notice = 1740 * time.Millisecond
	// A task that lasts has to run again: from 6 s after its last run it must not be down for 3 s with 4 calm
	// seconds before them.
	afterLastRun, calmBefore, mostDown = 6 * time.Second, 4 * time.Second, 3 * time.Second
)

// lastingTasks has a runner leave at short notice and kills the process of the planner just after. With TROUBLE=term that
// process is stopped gracefully instead.
func lastingTasks(s *stage) (bool, error) {
	needs := capacity{Cpu: 8000, MemMb: 16384, Gpus: 1}
	if err := s.begin(newConfig(), 6, capacity{Cpu: 16000, MemMb: 65536, Gpus: 8}, func(string) capacity { return needs }); err != nil {
		return false, err
	}
	if _, err := s.awaitPlanner(5 * time.Second); err != nil {
		return false, err
	}
	step := map[string]any{"Count": lastingCount, "Cpu": needs.Cpu, "MemMb": needs.MemMb, "Gpus": needs.Gpus, "LongRunning": true}
	if err := s.handIn("/lohu930/"+lastingJob, apiKey, map[string]any{"Spec": lastingSpec, "Steps": []any{step}}); err != nil {
		return false, err
	}
	for until := time.Now().Add(10 * time.Second); s.atWork() < lastingCount; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return false, fmt.Errorf("only %d of %d tasks run", s.atWork(), lastingCount)
		}
	}
	s.log.add("all %d tasks run", lastingCount)
	time.Sleep(5 * time.Second)
	calmSince := time.Now()
	if s.trouble != "0" {
		leaving := s.runners[0]
		for _, r := range s.runners {
			if s.tasksOn(r) > s.tasksOn(leaving) {
				leaving = r
			}
		}
		if s.trouble != "kill" {
			leaving.withdraw(notice)
			time.Sleep(500 * time.Millisecond)
		}
		if s.trouble != "leave" {
			h, err := s.awaitPlanner(time.Second)
			if err != nil {
				return false, err
			}
			if s.trouble == "term" {
				s.log.add("%s, which leads, gets SIGTERM", h.name)
				h.signal(syscall.SIGTERM)
				<-h.ended
			} else {
				s.log.add("%s, which leads, is killed", h.name)
				h.kill()
			}
			time.Sleep(500 * time.Millisecond)
			if err := h.start(s.program); err != nil {
				return false, err
			}
			s.log.add("%s is started again", h.name)
		}
		calmSince = time.Now()
	}
	time.Sleep(25 * time.Second)
	s.call(s.hosts[0], "GET", hostName, "/lohu930/"+lastingJob, apiKey, nil)
	broken := false
	for i := range lastingCount {
		broken = s.wasDown(fmt.Sprintf("%s.0.0.%d", lastingJob, i), calmSince) || broken
	}
	return broken, nil
}

// atWork counts the tasks that run, and tasksOn those on a runner.
func (s *stage) atWork() int {
	count := 0
	for _, r := range s.runners {
		count += s.tasksOn(r)
	}
	return count
}

func (s *stage) tasksOn(r *runner) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// wasDown reports whether a task broke the rule, if it was calm since a time. There is room for it all the while:
// runners that stay have more than twice what it needs free.
func (s *stage) wasDown(task string, calmSince time.Time) bool {
	runs := s.log.of(task)
	for i, run := range runs {
		if run.ended.IsZero() {
			continue
		}
		again := time.Now()
		if i+1 < len(runs) {
			again = runs[i+1].begun
		}
		from := run.ended.Add(afterLastRun)
		if calm := calmSince.Add(calmBefore); calm.After(from) {
			from = calm
		}
		s.log.add("task %s did not run for %.1f s; %.1f s are allowed here", task, again.Sub(run.ended).Seconds(), from.Add(mostDown).Sub(run.ended).Seconds())
		if again.After(from.Add(mostDown)) {
			return true
		}
	}
	return false
}

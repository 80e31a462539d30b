//go:build review3

package main

import (
	"fmt"
	"time"
)

const (
	servingJob   = "0b11d94b36f80001"
	urgentJob    = "0b11d94b36f80002"
	servingCount = 8
	// maxUnavailable is that of the step, and noticeTime is NoticeMs.
	maxUnavailable = 1
	noticeTime     = 4500 * time.Millisecond
	// urgentAfter is how long after the crash the urgent job is handed in.
	urgentAfter = 5 * time.Second
	urgentKey   = "9k2hwrr6x73d3zji9n7q"
)

// unavailableTasks has a runner crash, and hands an urgent job in that a guarantee covers. Each runner is full with one
// task of a step that lasts and of which one may be unavailable.
func unavailableTasks(s *stage) (bool, error) {
	whole := capacity{Cpu: 16000, MemMb: 65536, Gpus: 8}
	c := newConfig()
	c.Routes = append(c.Routes, newRoute("r-urgent1", "/kabo521/", 0))
	c.Tenants[0]["Guaranteed"] = map[string]int{"Gpus": 0}
	c.Tenants = append(c.Tenants, map[string]any{"Name": "sehu820", "ApiKeys": []string{urgentKey}, "Priority": 1, "Guaranteed": map[string]int{"Gpus": 8}})
	if err := s.begin(c, servingCount, whole, func(string) capacity { return whole }); err != nil {
		return false, err
	}
	if _, err := s.awaitPlanner(5 * time.Second); err != nil {
		return false, err
	}
	step := map[string]any{"Count": servingCount, "Cpu": whole.Cpu, "MemMb": whole.MemMb, "Gpus": whole.Gpus, "LongRunning": true, "MaxUnavailable": maxUnavailable}
	if err := s.handIn("/lohu930/"+servingJob, apiKey, map[string]any{"Spec": lastingSpec, "Steps": []any{step}}); err != nil {
		return false, err
	}
	for until := time.Now().Add(10 * time.Second); s.atWork() < servingCount; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return false, fmt.Errorf("only %d of %d tasks run", s.atWork(), servingCount)
		}
	}
	s.log.add("all %d tasks run", servingCount)
	time.Sleep(5 * time.Second)
	if s.trouble != "0" {
		s.runners[0].crash()
	}
	time.Sleep(urgentAfter)
	urgent := map[string]any{"Count": 1, "Cpu": whole.Cpu, "MemMb": whole.MemMb, "Gpus": whole.Gpus, "EstimateMs": taskTime.Milliseconds()}
	if err := s.handIn("/kabo521/"+urgentJob, urgentKey, map[string]any{"Spec": "urgent", "Steps": []any{urgent}}); err != nil {
		return false, err
	}
	time.Sleep(15 * time.Second)
	return s.stoppedTooMany(), nil
}

// stoppedTooMany reports whether a task was stopped while maxUnavailable others had not been at work for noticeTime, or
// had been ended by a stop.
func (s *stage) stoppedTooMany() bool {
	broken := false
	for i := range servingCount {
		for _, run := range s.log.of(fmt.Sprintf("%s.0.0.%d", servingJob, i)) {
			if run.how != "stopped" {
				continue
			}
			away := 0
			for other := range servingCount {
				if other != i && s.isAway(fmt.Sprintf("%s.0.0.%d", servingJob, other), run.ended) {
					away++
				}
			}
			s.log.add("task %d was stopped while %d others were away; fewer than %d may be", i, away, maxUnavailable)
			broken = broken || away >= maxUnavailable
		}
	}
	return broken
}

// isAway reports whether a task was away at a time.
func (s *stage) isAway(task string, at time.Time) bool {
	last := interval{}
	for _, run := range s.log.of(task) {
		if run.begun.Before(at) && (run.ended.IsZero() || run.ended.After(at)) {
			return false
		}
		if run.begun.Before(at) {
			last = run
		}
	}
	return last.how == "stopped" || at.Sub(last.ended) >= noticeTime
}

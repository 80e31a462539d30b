//go:build review3

package main

import (
	"fmt"
	"time"
)

const (
	lostJob     = "0e11d94b36f80001"
	lostCount   = 4
	lostRunners = 8
	// longHold is MaxHoldMs of huallaga-badges.
	longHold = 10 * time.Second
)

// lostRunner has a runner crash for good on which tasks run that last, in a deployment whose leases may have 10 s.
func lostRunner(s *stage) (bool, error) {
	s.maxHold = longHold
	needs := capacity{Cpu: 8000, MemMb: 16384, Gpus: 1}
	if err := s.begin(newConfig(), lostRunners, capacity{Cpu: 16000, MemMb: 65536, Gpus: 8}, func(string) capacity { return needs }); err != nil {
		return false, err
	}
	if _, err := s.awaitPlanner(5 * time.Second); err != nil {
		return false, err
	}
	step := map[string]any{"Count": lostCount, "Cpu": needs.Cpu, "MemMb": needs.MemMb, "Gpus": needs.Gpus, "LongRunning": true}
	if err := s.handIn("/lohu930/"+lostJob, apiKey, map[string]any{"Spec": lastingSpec, "Steps": []any{step}}); err != nil {
		return false, err
	}
	for until := time.Now().Add(10 * time.Second); s.atWork() < lostCount; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return false, fmt.Errorf("only %d of %d tasks run", s.atWork(), lostCount)
		}
	}
	s.log.add("all %d tasks run", lostCount)
	time.Sleep(5 * time.Second)
	calmSince := time.Now()
	if s.trouble != "0" {
		s.runnerOf(lostJob + ".0.0.0").crash()
	}
	time.Sleep(20 * time.Second)
	broken := false
	for i := range lostCount {
		broken = s.wasDown(fmt.Sprintf("%s.0.0.%d", lostJob, i), calmSince) || broken
	}
	return broken, nil
}

//go:build review3

package main

import (
	"fmt"
	"time"
)

const (
	rackJob     = "0c11d94b36f80001"
	rackRunners = 12
	rackMembers = 2
)

// rackGang has a runner crash that runs a member of a gang whose tasks last and run faster in one rack. One runner is
// free in each of the four racks then; the others are full with work of hours.
func rackGang(s *stage) (bool, error) {
	whole := capacity{Cpu: 16000, MemMb: 65536, Gpus: 8}
	c := newConfig()
	c.Routes = append(c.Routes, newRoute("r-batch01", "/pule252/", 2))
	if err := s.begin(c, rackRunners, whole, func(string) capacity { return whole }); err != nil {
		return false, err
	}
	if _, err := s.awaitPlanner(5 * time.Second); err != nil {
		return false, err
	}
	running := 0
	hand := func(path, spec string, count int, step map[string]any) error {
		step["Count"], step["Cpu"], step["MemMb"], step["Gpus"] = count, whole.Cpu, whole.MemMb, whole.Gpus
		if err := s.handIn(path, apiKey, map[string]any{"Spec": spec, "Steps": []any{step}}); err != nil {
			return err
		}
		running += count
		for until := time.Now().Add(10 * time.Second); s.atWork() < running; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(until) {
				return fmt.Errorf("only %d of %d tasks run", s.atWork(), running)
			}
		}
		return nil
	}
	for i := range rackRunners / 3 {
		count := 2
		if i == 0 {
			count = 1
		}
		step := map[string]any{"EstimateMs": time.Hour.Milliseconds(), "Requires": fmt.Sprintf("rack-%d", i)}
		if err := hand(fmt.Sprintf("/pule252/0c11d94b36f8001%d", i), hourSpec, count, step); err != nil {
			return false, err
		}
	}
	if err := hand("/lohu930/"+rackJob, lastingSpec, rackMembers, map[string]any{"Gang": true, "SameRack": true, "LongRunning": true}); err != nil {
		return false, err
	}
	s.log.add("all tasks run")
	time.Sleep(5 * time.Second)
	calmSince := time.Now()
	if s.trouble != "0" {
		crashed, other := s.runnerOf(rackJob+".0.0.0"), s.runnerOf(rackJob+".0.0.1")
		if crashed == nil || other == nil {
			return false, fmt.Errorf("the gang does not run")
		}
		crashed.crash()
		other.breakOff(rackJob + ".0.0.1")
	}
	time.Sleep(40 * time.Second)
	broken := false
	for i := range rackMembers {
		broken = s.wasDown(fmt.Sprintf("%s.0.0.%d", rackJob, i), calmSince) || broken
	}
	return broken, nil
}

// runnerOf returns the runner on which a task runs; nil if it doesn't.
func (s *stage) runnerOf(task string) *runner {
	for _, r := range s.runners {
		r.mu.Lock()
		found := r.running[task] != nil
		r.mu.Unlock()
		if found {
			return r
		}
	}
	return nil
}

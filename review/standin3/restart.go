//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// outageTime is for how long the store gives no answer; the site file has 4.2 s for platform_down how silent.
	outageTime = 4200 * time.Millisecond
	// killedAfter is how long after the outage began all hosts are killed, and downTime how long they are down.
	killedAfter, downTime = time.Second, 700 * time.Millisecond
	// recoveryTime is RecoveryS, and leastServed the share of the requests that has to be served after it.
	recoveryTime = 12 * time.Second
	leastServed  = 0.25
	probes       = 30
	probePeriod  = 300 * time.Millisecond
	openJob      = "0d11d94b36f80001"
)

// restartInOutage has the store give no answer for a short time, and kills and restarts all hosts meanwhile.
func restartInOutage(s *stage) (bool, error) {
	small := capacity{Cpu: 1000, MemMb: 1024, Gpus: 0}
	if err := s.begin(newConfig(), 6, capacity{Cpu: 16000, MemMb: 65536, Gpus: 8}, func(string) capacity { return small }); err != nil {
		return false, err
	}
	if _, err := s.awaitPlanner(5 * time.Second); err != nil {
		return false, err
	}
	step := map[string]any{"Count": 2, "Cpu": small.Cpu, "MemMb": small.MemMb, "EstimateMs": time.Hour.Milliseconds()}
	if err := s.handIn("/lohu930/"+openJob, apiKey, map[string]any{"Spec": hourSpec, "Steps": []any{step}}); err != nil {
		return false, err
	}
	before := s.share(1)
	if before < leastServed {
		return false, fmt.Errorf("only %.0f %% of the requests are served before the fault", 100*before)
	}
	if s.trouble != "0" {
		if s.trouble != "kill" {
			s.store.setSilent(true)
			s.log.add("the store gives no answer")
			time.AfterFunc(outageTime, func() {
				s.store.setSilent(false)
				s.log.add("the store answers again")
			})
		}
		time.Sleep(killedAfter)
		if s.trouble != "outage" {
			for _, h := range s.hosts {
				h.kill()
			}
			s.log.add("all hosts are killed")
			time.Sleep(downTime)
			for _, h := range s.hosts {
				if err := h.start(s.program); err != nil {
					return false, err
				}
			}
			s.log.add("all hosts are started again")
		}
		time.Sleep(outageTime)
	}
	time.Sleep(recoveryTime)
	for _, h := range s.hosts {
		s.call(h, http.MethodGet, hostName, "/lohu930/"+openJob, apiKey, nil)
	}
	after := s.share(2)
	s.log.add("served: %.0f %% before, %.0f %% later than %s after the hosts and the store were back", 100*before, 100*after, recoveryTime)
	return after < leastServed, nil
}

// share hands in jobs at the hosts in turn and returns the share that is accepted. Each job is sent to up to three hosts,
// as clients do after a refusal.
func (s *stage) share(round int) float64 {
	served := 0
	step := map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1024, "EstimateMs": taskTime.Milliseconds()}
	for n := range probes {
		path := fmt.Sprintf("/lohu930/0d11d94b%04x%04x", round, n)
		for attempt := range s.hosts {
			h := s.hosts[(n+attempt)%len(s.hosts)]
			if status, _ := s.call(h, http.MethodPost, hostName, path, apiKey, map[string]any{"Spec": "x", "Steps": []any{step}}); status/100 == 2 {
				served++
				break
			}
		}
		time.Sleep(probePeriod)
	}
	return float64(served) / probes
}

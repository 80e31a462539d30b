//go:build review3

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// moreRoutes is the largest count of big_config on the pages' sites, which comes twice here.
	moreRoutes = 1536
	// The storm is that of the site files: a change each 0.276 s for 4 s.
	stormTime, stormGap = 4 * time.Second, 276 * time.Millisecond
	// freezeTime is that of node_freeze in the site file.
	freezeTime = 4 * time.Second
	// droppedKey is taken away by the last version.
	droppedKey = "3hh2b9wu3fexd9dnn2ct"
	// contactTime and applyTime are ContactMs and ConfigApplyMs.
	contactTime, applyTime = 3 * time.Second, 2 * time.Second
)

// configurationStorm freezes a host that doesn't lead while the configuration changes in quick succession, and then asks each
// host for the routes of the last versions.
func configurationStorm(s *stage) (bool, error) {
	c := newConfig()
	c.Tenants[0]["ApiKeys"] = []string{apiKey, droppedKey}
	if err := s.begin(c, 2, capacity{Cpu: 16000, MemMb: 65536, Gpus: 8}, func(string) capacity { return capacity{} }); err != nil {
		return false, err
	}
	leader, err := s.awaitPlanner(5 * time.Second)
	if err != nil {
		return false, err
	}
	for range 2 {
		c.addRoutes(moreRoutes)
		s.putConfig(c)
		time.Sleep(3 * time.Second)
	}
	frozen := s.hosts[0]
	if frozen == leader {
		frozen = s.hosts[1]
	}
	calmSince := time.Now()
	thawed := make(chan time.Time, 1)
	if s.trouble != "0" {
		frozen.signal(syscall.SIGSTOP)
		s.log.add("%s, which doesn't lead, stands still", frozen.name)
		time.AfterFunc(freezeTime, func() {
			frozen.signal(syscall.SIGCONT)
			s.log.add("%s goes on", frozen.name)
			thawed <- time.Now()
		})
	}
	acknowledged, prefix := time.Now(), ""
	for until := time.Now().Add(stormTime); time.Now().Before(until); time.Sleep(stormGap) {
		prefix = fmt.Sprintf("/new%05d/", len(c.Routes))
		c.Routes = append(c.Routes, newRoute(fmt.Sprintf("r-new%d", len(c.Routes)), prefix, 1))
		acknowledged = s.putConfig(c)
	}
	c.Tenants[0]["ApiKeys"] = []string{apiKey}
	acknowledged = s.putConfig(c)
	if s.trouble != "0" {
		calmSince = <-thawed
	}
	from := acknowledged.Add(applyTime)
	if s.trouble != "0" && calmSince.Add(contactTime).After(from) {
		from = calmSince.Add(contactTime)
	}
	s.log.add("from %.3f on each host has to know %s, and to refuse the dropped key", from.Sub(s.log.began).Seconds(), prefix)
	stale := map[string]int{}
	time.Sleep(time.Until(from.Add(time.Second)))
	step := map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1024, "EstimateMs": 2000}
	for i, h := range s.hosts {
		path := fmt.Sprintf("/lohu930/%016x", 0xdead0000+i)
		if status, _ := s.call(h, http.MethodPost, hostName, path, droppedKey, map[string]any{"Spec": "x", "Steps": []any{step}}); status/100 == 2 {
			s.log.add("%s accepted a job with the dropped key", h.name)
			stale[h.name]++
		}
	}
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		for _, h := range s.hosts {
			sent := time.Now()
			status, _ := s.call(h, http.MethodGet, hostName, prefix, apiKey, nil)
			if status == http.StatusNotFound && sent.After(from) {
				stale[h.name]++
			}
			sent = time.Now()
			if status, _ = s.call(h, http.MethodGet, hostName, "/lohu930/", droppedKey, nil); status == http.StatusOK && sent.After(from) {
				stale[h.name]++
			}
		}
	}
	for name, count := range stale {
		s.log.add("%s handled %d requests as only an older version allows", name, count)
	}
	return len(stale) > 0, nil
}

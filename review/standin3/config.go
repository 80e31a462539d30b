//go:build review3

package main

import (
	"fmt"
	"time"
)

const (
	service  = "svc1a"
	hostName = "jobs.example"
	apiKey   = "d4a3hwrr6x73d3zji9n7"
)

// config is the operator's configuration.
type config struct {
	Version  int64
	Routes   []route
	Services []map[string]any
	Limits   map[string]int64
	Tenants  []map[string]any
}

type route struct {
	Name, Host, Prefix, Kind   string
	TimeoutMs, TargetRuntimeMs int64
	Priority                   int
	Service                    string
	MaxAttempts                int
	StretchFactor              float64
	Public                     bool
}

func newRoute(name, prefix string, priority int) route {
	return route{name, hostName, prefix, "unsafe", 3000, 1000, priority, service, 4, 3, false}
}

func newConfig() *config {
	return &config{
		Routes:   []route{newRoute("r-3ajwyy7", "/lohu930/", 1)},
		Services: []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": true, "Standby": false}},
		Limits:   map[string]int64{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		Tenants:  []map[string]any{{"Name": "kaje80", "ApiKeys": []string{apiKey}, "Priority": 1, "Guaranteed": map[string]int{"Gpus": 8}}},
	}
}

// putConfig writes the next version, and returns when it was acknowledged.
func (s *stage) putConfig(c *config) time.Time {
	c.Version += 3
	s.store.put("op/config", c)
	s.log.add("configuration version %d with %d routes is acknowledged, %d bytes", c.Version, len(c.Routes), len(s.store.value("op/config")))
	return time.Now()
}

// addRoutes adds routes that nobody uses.
func (c *config) addRoutes(count int) {
	for range count {
		n := len(c.Routes)
		c.Routes = append(c.Routes, newRoute(fmt.Sprintf("r-%07x", n*7919), fmt.Sprintf("/idle%05d/", n), 2))
	}
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/client"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
	"github.com/eelgrasstide/eelgrasstide/test/fleet"
)

const (
	// clockTicksPerSecond converts the CPU times of /proc/PID/stat on Linux to seconds.
	clockTicksPerSecond = 100
	hostRequests        = 10_000
	hostCallers         = 32
	// idleWindow is the time over which the control costs of a zone are averaged.
	idleWindow   = 10 * time.Second
	fleetTimeout = 2 * time.Minute
)

// newFleet starts one zone and applies a configuration with the given number of organisations.
// The returned function ends the processes. If it is not nil it has to be called, also after
// an error.
func newFleet(ctx context.Context, bin string, hosts, runners, workers, organisations int) (*fleet.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "eelgrasstide-measure-")
	if err != nil {
		return nil, nil, err
	}
	f := &fleet.Fleet{Bin: bin, Dir: dir, HostsPerZone: map[string]int{"vest-1": hosts}, RunnersPerZone: runners, WorkersPerZone: workers, WorkersPerRack: 8}
	closeAll := func() {
		f.Close()
		os.RemoveAll(dir)
	}
	if err := f.Start(ctx); err != nil {
		return f, closeAll, err
	}
	req := &wire.ApplyRequest{Operator: "measure"}
	base := "[zones.vest-1]\nworkers = 100\nworkersPerRack = 8\nacceleratorsPerWorker = 8\n" +
		"[classes.lookup]\nkind = 'short'\nurgency = 'urgent'\nidempotent = true\n[classes.reprint]\nkind = 'short'\nstoreOutage = 'carryOn'\n[classes.gang]\nkind = 'gang'\nidempotent = true\n"
	req.Files = append(req.Files, &wire.ConfigurationFileBody{Name: "00-base.toml", Content: []byte(base)})
	for i := range organisations {
		text := fmt.Sprintf("[organisations.o%d]\n[rules.l%d]\norganisation='o%d'\nclass='lookup'\n[rules.r%d]\norganisation='o%d'\nclass='reprint'\n[rules.g%d]\norganisation='o%d'\nclass='gang'\n", i, i, i, i, i, i, i)
		req.Files = append(req.Files, &wire.ConfigurationFileBody{Name: fmt.Sprintf("o%04d.toml", i), Content: []byte(text)})
	}
	if err := apply(ctx, f, req); err != nil {
		return f, closeAll, err
	}
	if err := f.WaitReady(ctx); err != nil {
		return f, closeAll, err
	}
	return f, closeAll, warmUp(ctx, f)
}

func apply(ctx context.Context, f *fleet.Fleet, req *wire.ApplyRequest) error {
	body, err := protojson.Marshal(req)
	if err == nil {
		_, err = f.Hosts[0].Client().Call(ctx, http.MethodPost, "/v1/operator/configuration", body)
	}
	return err
}

// warmUp waits until every host has answered a request.
func warmUp(ctx context.Context, f *fleet.Fleet) error {
	for _, host := range f.Hosts {
		for ctx.Err() == nil {
			answer, err := host.Client().Submit(ctx, client.Request{Organisation: "o0", Class: "lookup", Payload: []byte("warm")})
			if _, ok := answer.Outcome.(outcome.Done); err == nil && ok {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return ctx.Err()
}

// usage returns the resident memory of a process in megabytes, and the CPU time that it has
// used, in seconds.
func usage(pid int) (residentMB, seconds float64) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			residentMB = kb / 1024
		}
	}
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	// After the program name in parentheses, the fields with the indices 11 and 12 are the user and
	// system time in clock ticks.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return residentMB, (user + system) / clockTicksPerSecond
}

// storeCalls returns the number of calls that a host has made to the store, by metric and in
// total.
func storeCalls(ctx context.Context, p *fleet.Process) (calls map[string]float64, total float64) {
	calls = map[string]float64{}
	text, err := p.Client().Call(ctx, http.MethodGet, "/metrics", nil)
	metricsByName := map[string]map[string]float64{}
	if err == nil {
		_ = json.Unmarshal(text, &metricsByName)
	}
	for name, value := range metricsByName {
		if strings.HasPrefix(name, "store.calls.") {
			calls[name] = value["count"]
			total += value["count"]
		}
	}
	return calls, total
}

// measureHost measures one host: its memory, and its throughput, CPU time and calls to the
// store under load.
func measureHost(p *printer, bin string) {
	ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
	defer cancel()
	f, closeAll, err := newFleet(ctx, filepath.Clean(bin), 1, 6, 0, 4)
	if closeAll != nil {
		defer closeAll()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "measureHost:", err)
		os.Exit(1)
	}
	host := f.Hosts[0]
	time.Sleep(2 * time.Second)
	resident, _ := usage(host.ID())
	p.print("host.residentIdle", "MB", resident, "")
	for _, class := range []string{"lookup", "reprint"} {
		_, before := storeCalls(ctx, host)
		_, cpuBefore := usage(host.ID())
		start := time.Now()
		done := sendRequests(ctx, host, class)
		took := time.Since(start)
		_, after := storeCalls(ctx, host)
		_, cpuAfter := usage(host.ID())
		p.print("host."+class+".throughput", "requests/s", float64(done)/took.Seconds(), "")
		p.print("host."+class+".done", "share", float64(done)/hostRequests, "")
		p.print("host."+class+".storeCallsPerThousand", "calls", (after-before)/hostRequests*1000, "")
		p.print("host."+class+".cpuPerRequest", "ms", (cpuAfter-cpuBefore)*1000/hostRequests, "")
		resident, _ = usage(host.ID())
		p.print("host."+class+".residentAfter10000", "MB", resident, "")
	}
}

// sendRequests sends hostRequests requests from hostCallers concurrent callers, and returns the
// number that ended as done.
func sendRequests(ctx context.Context, host *fleet.Process, class string) int64 {
	var done, next atomic.Int64
	var group sync.WaitGroup
	for range hostCallers {
		group.Go(func() {
			caller := host.Client()
			caller.HTTP = &http.Client{Transport: &http.Transport{}}
			for next.Add(1) <= hostRequests {
				answer, err := caller.Submit(ctx, client.Request{Organisation: "o0", Class: class, Payload: []byte("x"), Declared: time.Millisecond})
				if _, ok := answer.Outcome.(outcome.Done); err == nil && ok {
					done.Add(1)
				}
			}
		})
	}
	group.Wait()
	return done.Load()
}

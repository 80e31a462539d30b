package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/client"
	"github.com/eelgrasstide/eelgrasstide/test/fleet"
)

// zoneSize is the size of one measured zone.
type zoneSize struct{ hosts, workers, organisations, jobs int }

// measureCapacity measures what control work costs in a zone without requests, at three sizes
// of each dimension: workers, hosts, organisations and running jobs. The points of the
// dimension workers with 5 and 40 workers are also the smallest sizes of the other dimensions.
func measureCapacity(p *printer, bin string) {
	points := []struct {
		dimension string
		zoneSize  zoneSize
		value     int
	}{
		{"workers", zoneSize{2, 5, 4, 0}, 5},
		{"workers", zoneSize{2, 20, 4, 0}, 20},
		{"workers", zoneSize{2, 40, 4, 0}, 40},
		{"hosts", zoneSize{3, 5, 4, 0}, 3},
		{"hosts", zoneSize{6, 5, 4, 0}, 6},
		{"organisations", zoneSize{2, 5, 60, 0}, 60},
		{"organisations", zoneSize{2, 5, 250, 0}, 250},
		{"jobs", zoneSize{2, 40, 4, 40}, 40},
		{"jobs", zoneSize{2, 40, 4, 160}, 160},
	}
	for _, point := range points {
		if err := measurePoint(p, bin, point.dimension, point.value, point.zoneSize); err != nil {
			fmt.Fprintln(os.Stderr, "measureCapacity:", point.dimension, point.value, err)
			os.Exit(1)
		}
	}
}

// measurePoint starts a zone of the given size and prints its metrics.
func measurePoint(p *printer, bin, dimension string, value int, size zoneSize) error {
	ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
	defer cancel()
	f, closeAll, err := newFleet(ctx, filepath.Clean(bin), size.hosts, 2, size.workers, size.organisations)
	if closeAll != nil {
		defer closeAll()
	}
	if err != nil {
		return err
	}
	if err := startJobs(ctx, f, size.jobs); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	type reading struct{ cpu, bytes, calls float64 }
	read := func() (out []reading) {
		for _, host := range f.Hosts {
			_, cpu := usage(host.ID())
			_, calls := storeCalls(ctx, host)
			out = append(out, reading{cpu: cpu, bytes: traffic(host.ID()), calls: calls})
		}
		return out
	}
	before, start := read(), time.Now()
	time.Sleep(idleWindow)
	after, took := read(), time.Since(start).Seconds()
	prefix := fmt.Sprintf("capacity.%s%d.", dimension, value)
	// The host with the largest value of a metric is taken to be the zone's planner.
	var cpu, bytes, calls, resident []float64
	for i, host := range f.Hosts {
		cpu = append(cpu, (after[i].cpu-before[i].cpu)/took*100)
		bytes = append(bytes, (after[i].bytes-before[i].bytes)/took/1000)
		calls = append(calls, (after[i].calls-before[i].calls)/took)
		mb, _ := usage(host.ID())
		resident = append(resident, mb)
	}
	p.print(prefix+"cpuPlanner", "% of a core", quantile(cpu, 1), "")
	p.print(prefix+"cpuOthersMean", "% of a core", (mean(cpu)*float64(len(cpu))-quantile(cpu, 1))/float64(len(cpu)-1), "")
	p.print(prefix+"bytesPlanner", "KB/s", quantile(bytes, 1), "")
	p.print(prefix+"bytesOthersMean", "KB/s", (mean(bytes)*float64(len(bytes))-quantile(bytes, 1))/float64(len(bytes)-1), "")
	p.print(prefix+"storeCallsPerHost", "calls/s", mean(calls), "")
	p.print(prefix+"residentLargest", "MB", quantile(resident, 1), "")
	return nil
}

// traffic returns the bytes that a process has read and written since its start, or 0 if they
// can't be read. The kernel counts all read and write calls, so this is an upper bound of the
// control traffic.
func traffic(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0
	}
	var read, written float64
	if _, err := fmt.Sscanf(string(text), "rchar: %g\nwchar: %g", &read, &written); err != nil {
		return 0
	}
	return read + written
}

// startJobs submits jobs of one worker with one accelerator, and waits until all of them run.
func startJobs(ctx context.Context, f *fleet.Fleet, count int) error {
	for i := range count {
		answer, err := f.Hosts[i%len(f.Hosts)].Client().Submit(ctx, client.Request{
			Organisation: "o0", Class: "gang", Workers: 1, AcceleratorsPerWorker: 1, Declared: time.Hour, Wait: time.Millisecond,
		})
		if err != nil || answer.Outcome != nil {
			return fmt.Errorf("job %d: %#v: %w", i, answer.Outcome, err)
		}
	}
	for ctx.Err() == nil && count > 0 {
		running := 0
		for _, worker := range f.WorkerProcesses {
			status, err := wire.NewWorkerProtobufClient("http://"+worker.Address.String(), http.DefaultClient).Renew(ctx, &wire.RenewRequest{})
			if err == nil {
				running += len(status.GetTasks())
			}
		}
		if running >= count {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ctx.Err()
}

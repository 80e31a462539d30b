// Command soak runs entry hosts as separate processes against stand-ins for the platform, injects
// overlapping faults and checks the guarantees of the system meanwhile. It checks only what
// callers, targets and the load balancer observe, not the internal state of the hosts, and that their logs report no
// defect.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// startupDelay is how long the hosts run before the first call and fault.
	startupDelay = 2 * time.Second
	// jobTimeout is how long an accepted job may take, including faults, recovery and expired
	// leases.
	jobTimeout  = 75 * time.Second
	callerCount = 5
)

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	firstSeed := flag.Uint64("seed", 1, "first seed")
	count := flag.Int("count", 1, "number of seeds")
	file := flag.String("seeds", "", "file of further seeds to run first, one per line, with a comment after #")
	duration := flag.Duration("for", 15*time.Second, "for how long faults are injected, for each seed")
	parallel := flag.Int("beside", 1, "number of seeds that run in parallel")
	keep := flag.String("keep", "", "folder in which the logs of failed seeds are kept")
	flag.Parse()
	seeds, err := readSeeds(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	for i := range *count {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	failed := soakAll(seeds, *parallel, func(seed uint64) bool { return soak(seed, *bin, *keep, *duration) })
	fmt.Printf("%d passed, %d failed\n", len(seeds)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// soakAll runs the seeds, at most parallel at the same time, and returns how many failed.
func soakAll(seeds []uint64, parallel int, run func(uint64) bool) (failed int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	free := make(chan struct{}, parallel)
	for _, seed := range seeds {
		free <- struct{}{}
		group.Go(func() {
			passed := run(seed)
			mu.Lock()
			if !passed {
				failed++
			}
			mu.Unlock()
			<-free
		})
	}
	group.Wait()
	return failed
}

// readSeeds reads a file of seeds; an empty path gives none.
func readSeeds(path string) ([]uint64, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var seeds []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// soak runs one seed, prints its verdict and reports whether it passed.
func soak(seed uint64, bin, keep string, duration time.Duration) bool {
	start := time.Now()
	dir, err := os.MkdirTemp("", fmt.Sprintf("eelgrasstide-soak-%d-", seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := newDeployment(ctx, seed, filepath.Clean(bin), dir)
	if err != nil {
		fmt.Printf("seed=%d verdict=unproven error=%q\n", seed, err)
		return false
	}
	defer d.close()
	names := d.runLoad(ctx, seed, duration)
	verdict := "held"
	if len(d.violations) > 0 {
		verdict = "broken"
		if keep != "" {
			if err := os.CopyFS(filepath.Join(keep, strconv.FormatUint(seed, 10)), os.DirFS(dir)); err != nil {
				fmt.Fprintln(os.Stderr, "soak:", err)
			}
		}
	}
	fmt.Printf("seed=%d verdict=%s time=%s faults=%d %s\n", seed, verdict, time.Since(start).Round(time.Second), len(names), d.formatCounts())
	for _, line := range d.violations {
		fmt.Printf("seed=%d broken=%q\n", seed, line)
	}
	if verdict == "broken" {
		fmt.Printf("seed=%d faults=%q\n", seed, names)
	}
	return verdict == "held"
}

// runLoad runs callers and injects faults for a duration, and then waits until all jobs have
// ended. It returns the names of the faults.
func (d *deployment) runLoad(ctx context.Context, seed uint64, duration time.Duration) []string {
	time.Sleep(startupDelay)
	loadContext, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var group sync.WaitGroup
	for i := range callerCount {
		c := d.newCaller(seed, i)
		group.Go(func() { c.run(loadContext); c.jobs.Wait() })
	}
	group.Go(func() { d.watchConfiguration(loadContext, d.newCaller(seed, callerCount)) })
	group.Go(func() { d.cordonZones(loadContext, rand.New(rand.NewPCG(seed, 2))) })
	var disturbances sync.WaitGroup
	disturbances.Go(func() { d.startInTrouble(loadContext, rand.New(rand.NewPCG(seed, 3))) })
	names := d.injectFaults(loadContext)
	disturbances.Wait()
	d.clearFaults()
	d.checkServing(d.newCaller(seed, callerCount+1))
	group.Wait()
	d.checkLogs()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, d.fleet.Violations()...)
	return names
}

// formatCounts formats the counts as name=value, in the order of their names.
func (d *deployment) formatCounts() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(d.counts)) {
		out = append(out, fmt.Sprintf("%s=%d", strings.ReplaceAll(name, " ", "-"), d.counts[name]))
	}
	return strings.Join(out, " ")
}

// Command soak runs entry hosts as separate processes against stand-ins of the platform,
// brings about faults that overlap, and checks the promises while it runs: from what
// callers and targets see, never from inside.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	startTime = 2 * time.Second
	// jobTime is how long an accepted job may take, faults, recovery and lapsed leases included.
	jobTime     = 75 * time.Second
	callerCount = 5
)

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	first := flag.Uint64("seed", 1, "first seed")
	count := flag.Int("count", 1, "number of seeds")
	file := flag.String("seeds", "", "file of seeds to run besides, one a line, with a remark after #")
	span := flag.Duration("for", 15*time.Second, "time in which faults are brought about, for each seed")
	beside := flag.Int("beside", 1, "number of seeds that run beside each other")
	keep := flag.String("keep", "", "folder in which the logs of broken seeds are kept")
	flag.Parse()
	seeds, err := readSeeds(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	for i := range *count {
		seeds = append(seeds, *first+uint64(i))
	}
	broken := soakAll(seeds, *beside, func(seed uint64) bool { return soak(seed, *bin, *keep, *span) })
	fmt.Printf("%d passed, %d failed\n", len(seeds)-broken, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

func soakAll(seeds []uint64, beside int, run func(uint64) bool) (broken int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	free := make(chan struct{}, beside)
	for _, seed := range seeds {
		free <- struct{}{}
		group.Go(func() {
			held := run(seed)
			mu.Lock()
			if !held {
				broken++
			}
			mu.Unlock()
			<-free
		})
	}
	group.Wait()
	return broken
}

func readSeeds(path string) ([]uint64, error) {
	if path == "" {
		return nil, nil
	}
	held, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer held.Close()
	var seeds []uint64
	for lines := bufio.NewScanner(held); lines.Scan(); {
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

// soak runs one seed and prints its verdict.
func soak(seed uint64, bin, keep string, span time.Duration) bool {
	begun := time.Now()
	dir, err := os.MkdirTemp("", fmt.Sprintf("eelgrasstide-soak-%d-", seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := newWorld(ctx, seed, filepath.Clean(bin), dir)
	if err != nil {
		fmt.Printf("seed=%d verdict=unproven error=%q\n", seed, err)
		return false
	}
	defer w.close()
	names := w.play(ctx, seed, span)
	verdict := "held"
	if len(w.broken) > 0 {
		verdict = "broken"
		if keep != "" {
			if err := os.CopyFS(filepath.Join(keep, strconv.FormatUint(seed, 10)), os.DirFS(dir)); err != nil {
				fmt.Fprintln(os.Stderr, "soak:", err)
			}
		}
	}
	fmt.Printf("seed=%d verdict=%s time=%s faults=%d %s\n", seed, verdict, time.Since(begun).Round(time.Second), len(names), w.figures())
	for _, line := range w.broken {
		fmt.Printf("seed=%d broken=%q\n", seed, line)
	}
	if verdict == "broken" {
		fmt.Printf("seed=%d faults=%q\n", seed, names)
	}
	return verdict == "held"
}

// play lets callers call while faults come, and then until all jobs have ended.
func (w *world) play(ctx context.Context, seed uint64, span time.Duration) []string {
	time.Sleep(startTime)
	calling, stop := context.WithTimeout(ctx, span)
	defer stop()
	var group sync.WaitGroup
	for i := range callerCount {
		c := w.newCaller(seed, i)
		group.Go(func() { c.run(calling); c.jobs.Wait() })
	}
	group.Go(func() { w.watchConfiguration(calling, w.newCaller(seed, callerCount)) })
	names := w.harass(calling)
	w.heal()
	group.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, w.fleet.Broken()...)
	return names
}

func (w *world) figures() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(w.counts)) {
		out = append(out, fmt.Sprintf("%s=%d", strings.ReplaceAll(name, " ", "-"), w.counts[name]))
	}
	return strings.Join(out, " ")
}

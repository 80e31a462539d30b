//go:build review

// Command standin plays the platform, the runners and the clients for the cases of the review, and
// runs the project's hosts as processes. It uses nothing of the project's own code.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	routeHost = "shops.example"
	tenantKey = "key-of-the-shops"

	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// serviceStarts is how long the hosts run before the clients begin.
	serviceStarts = 4 * time.Second
	runnerCount   = 16
)

// world is a small deployment.
type world struct {
	record  *record
	store   *store
	fleet   *fleet
	hosts   []*host
	runners []*runner
	client  *client
	trouble bool
	// broken describes what broke the rule.
	broken []string
	// failure says why the case could not run.
	failure error
}

func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record.add("BROKEN: %s", text)
	w.broken = append(w.broken, text)
}

var cases = map[string]func(*world){}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newWorld starts the store, 3 hosts in 3 zones and the runners.
func newWorld(r *record, dir string, runners int) (*world, error) {
	w := &world{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	w.store, w.fleet = newStore(r), newFleet(r)
	w.configure(1, "lookup")
	for i := range runners {
		runner := newRunner(i, zones[i%len(zones)], w.store, w.fleet)
		if err := runner.begin(); err != nil {
			return nil, err
		}
		go runner.heartbeats()
		go runner.tick()
		w.runners = append(w.runners, runner)
	}
	for i, zone := range zones {
		h, err := newHost("front-"+zone+"-1", zone, fmt.Sprintf("127.0.%d.1", i+1), w.store, dir)
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return w, err
		}
	}
	w.client = newClient(w.hosts, r)
	time.Sleep(serviceStarts)
	return w, nil
}

// maxAttempts is how often a task may fail.
const maxAttempts = 3

// configure writes a version of the configuration with the given routes. A route is a name, or a name
// and another prefix as in "name=prefix".
func (w *world) configure(version int, routes ...string) {
	list := []map[string]any{}
	for _, route := range routes {
		name, prefix, ok := strings.Cut(route, "=")
		if !ok {
			prefix = name
		}
		list = append(list, map[string]any{
			"Name": name, "Host": routeHost, "Prefix": "/" + prefix + "/", "Service": "lookup", "Kind": "unsafe", "Priority": 1, "MaxAttempts": maxAttempts,
			"TimeoutMs": 3000, "StretchFactor": 3.0, "TargetRuntimeMs": 1000, "Public": false,
		})
	}
	w.store.put("op/config", map[string]any{
		"Version": version, "Routes": list, "Services": []map[string]any{{"Name": "lookup", "EnforcesCapacity": true, "Standby": false}},
		"Limits":  map[string]any{"MaxBodyBytes": 262144},
		"Tenants": []map[string]any{{"Name": "shops", "ApiKeys": []string{tenantKey}, "Guaranteed": map[string]any{"Gpus": 8}}},
	})
	w.record.add("operator: configuration %d with the routes %v is acknowledged", version, routes)
}

// planner returns the host that last wrote to the store under a condition.
func (w *world) planner() *host {
	for _, h := range w.hosts {
		if h.name == w.store.lastWriter() {
			return h
		}
	}
	return nil
}

// endHosts kills the hosts that still run.
func (w *world) endHosts() {
	for _, h := range w.hosts {
		h.end(syscall.SIGKILL)
	}
}

// endOnSignal kills the hosts when the case itself is told to end.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	w.endHosts()
	w.record.close()
	os.Exit(exitNotRun)
}

func main() {
	os.Exit(play())
}

// play runs a case and returns the exit code.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "eelgrasstide-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("the logs of the hosts are in", dir)
	}
	w, err := newWorld(r, dir, runnerCount)
	if w != nil {
		defer w.endHosts()
		go w.endOnSignal()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	cases[os.Args[1]](w)
	switch {
	case w.failure != nil:
		r.add("NOT RUN: %v", w.failure)
		fmt.Println("not run:", w.failure)
		return exitNotRun
	case len(w.broken) > 0:
		fmt.Printf("broken %d times, first: %s\n", len(w.broken), w.broken[0])
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchtarget"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
	"github.com/eelgrasstide/eelgrasstide/platform/platformtest"
)

const (
	grace     = 6 * time.Second
	taskLease = 6 * time.Second
	// applyTime is within which a configuration is in force on a host that was calm for contactTime.
	applyTime   = 2 * time.Second
	contactTime = 3 * time.Second
	perRack     = 4
	attempts    = 3
	heartbeat   = 1500 * time.Millisecond
	slowClocks  = 0.02
)

// world is a deployment: hosts as processes, and stand-ins of the platform behind links.
type world struct {
	random  *rand.Rand
	store   *batchstore.Store
	link    netip.AddrPort
	fleet   *batchtarget.Fleet
	hosts   []*host
	targets []*targetLink
	// refusal is the status with which the store refuses all calls; 0 for none.
	refusal atomic.Int64

	mu     sync.Mutex
	broken []string
	// shaken is the end of the store's last trouble.
	shaken time.Time
	config catalogue.Catalogue
	// written are when the versions of the configuration were acknowledged.
	written map[int64]time.Time
	counts  map[string]int
}

// targetLink is a target behind a link.
type targetLink struct {
	listing target.Listing
	link    *proxy
}

func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

func serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { fmt.Println("soak: a stand-in ended:", server.Serve(listener)) }()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func newWorld(ctx context.Context, seed uint64, bin, dir string) (*world, error) {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), store: &batchstore.Store{}, written: map[int64]time.Time{}, counts: map[string]int{},
		fleet: &batchtarget.Fleet{Attempts: attempts, SlowClocks: slowClocks, Fails: func(run target.Run) bool { return run.Task.Index == 1 && run.Number == 1 }},
	}
	var err error
	refuse := func() int { return int(w.refusal.Load()) }
	if w.link, err = serve(&platformtest.Store{Service: w.store, Refuse: refuse}); err != nil {
		return nil, err
	}
	w.config = catalogue.Catalogue{
		Services: map[string]catalogue.Service{"s": {}}, ByKey: map[string]string{"key": "o"},
		Organisations: map[string]catalogue.Organisation{"o": {GuaranteedAccelerators: 8}},
	}
	for priority := range 3 {
		w.config.Queues = append(w.config.Queues, w.queue(fmt.Sprintf("q%d", priority), priority))
	}
	w.configure()
	for i := range 2 * perRack {
		if err := w.addTarget(ctx, i); err != nil {
			return nil, err
		}
	}
	for i := range 3 + w.random.IntN(2) {
		h, err := newHost(fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%3), bin, dir, w.link)
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) queue(name string, priority int) catalogue.Queue {
	return catalogue.Queue{
		Name: name, Host: "jobs.example", Prefix: "/" + name + "/", Service: "s", Priority: priority, MaxAttempts: attempts,
		StretchFactor: 2, Timeout: callTime,
	}
}

// configure writes the next version of the configuration, which adds a queue.
func (w *world) configure() {
	w.mu.Lock()
	w.config.Version++
	version := w.config.Version
	w.config.Queues = append(w.config.Queues, w.queue(extraQueue(version), 2))
	value := platformtest.Configuration(&w.config)
	w.mu.Unlock()
	if w.put(platformtest.ConfigurationKey, value) {
		w.mu.Lock()
		w.written[version] = time.Now()
		w.mu.Unlock()
	}
}

func extraQueue(version int64) string { return fmt.Sprintf("extra%d", version) }

// put writes as the platform itself does, not through the hosts' links.
func (w *world) put(key string, value []byte) bool {
	_, err := w.store.Commit(context.Background(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: key, Value: value}}})
	return err == nil
}

// addTarget starts a target, or starts it anew, and lets it report from then on.
func (w *world) addTarget(ctx context.Context, i int) error {
	if i < len(w.targets) {
		t := w.targets[i]
		t.listing.Born = time.Now().UnixMilli()
		w.fleet.Add(t.listing)
		w.put(platformtest.TargetKey(t.listing.ID), platformtest.Entry(t.listing, 0))
		return nil
	}
	id := fmt.Sprintf("t%d", i)
	address, err := serve(&platformtest.Target{ID: id, Fleet: w.fleet})
	if err != nil {
		return err
	}
	link, err := newProxy(address)
	if err != nil {
		return err
	}
	t := &targetLink{link: link, listing: target.Listing{
		ID: id, Service: "s", Address: link.address, Zone: fmt.Sprintf("zone-%d", i%3), Rack: fmt.Sprintf("r%d", i/perRack), Born: time.Now().UnixMilli(),
		Capacity: workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 4},
	}}
	w.targets = append(w.targets, t)
	w.fleet.Add(t.listing)
	go func() {
		for ctx.Err() == nil {
			w.put(platformtest.TargetKey(id), platformtest.Entry(t.listing, w.fleet.Clock(id)))
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

func (w *world) shake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shaken = time.Now()
}

// calm reports whether neither the host nor the store had trouble since a time.
func (w *world) calm(h *host, since time.Time) bool {
	w.mu.Lock()
	shaken := w.shaken
	w.mu.Unlock()
	return shaken.Before(since) && w.refusal.Load() == 0 && mode(h.store.mode.Load()) == pass && h.calm(since)
}

// heal ends all faults.
func (w *world) heal() {
	w.store.SetDown(false)
	w.store.LoseAnswers(0, 0)
	w.refusal.Store(0)
	for _, h := range w.hosts {
		h.store.heal()
	}
	for _, t := range w.targets {
		t.link.heal()
	}
}

// close kills the processes that this soak started.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.command != nil && h.command.Process != nil {
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
	}
}

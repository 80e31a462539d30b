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
	// gracePeriod is how long a host may take to stop.
	gracePeriod = 6 * time.Second
	taskLease   = 6 * time.Second
	// applyTimeout is the time within which a configuration is in force on a host that has been
	// undisturbed for recoveryTime.
	applyTimeout = 2 * time.Second
	// recoveryTime is how long after a disturbance the checks excuse a host.
	recoveryTime    = 3 * time.Second
	targetsPerRack  = 4
	maxAttempts     = 3
	heartbeatPeriod = 1500 * time.Millisecond
	// clockLag is the fraction by which the targets' clocks run slow.
	clockLag = 0.02
)

// deployment is the system under test: the hosts are processes, and the store and the targets are
// stand-ins behind proxies.
type deployment struct {
	random *rand.Rand
	store  *batchstore.Store
	// storeAddress is the address of the store behind the hosts' links.
	storeAddress netip.AddrPort
	fleet        *batchtarget.Fleet
	hosts        []*host
	targets      []*targetLink
	// keepsConnections says that the targets keep connections open after an answer.
	keepsConnections bool
	// refusal is the status with which the store refuses all calls; 0 for none.
	refusal atomic.Int64

	mu sync.Mutex
	// violations describes the violated guarantees.
	violations []string
	// lastStoreFault is when the last fault of the store ended.
	lastStoreFault time.Time
	config         catalogue.Catalogue
	// acknowledged holds when the write of each version of the configuration was acknowledged.
	acknowledged map[int64]time.Time
	// counts holds the figures that are printed with the verdict.
	counts map[string]int
}

// targetLink is a target and the link between it and the hosts.
type targetLink struct {
	listing target.Listing
	link    *proxy
}

func (d *deployment) addViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

func (d *deployment) count(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[name]++
}

// serve starts a stand-in on a loopback address and returns the address. Without keeps, the stand-in closes each
// connection after its answer.
func serve(handler http.Handler, keeps bool) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	server.SetKeepAlivesEnabled(keeps)
	go func() { fmt.Println("soak: a stand-in ended:", server.Serve(listener)) }()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// newDeployment starts the stand-ins, 8 targets and 3 or 4 hosts.
func newDeployment(ctx context.Context, seed uint64, bin, dir string) (*deployment, error) {
	d := &deployment{
		random: rand.New(rand.NewPCG(seed, 1)), store: &batchstore.Store{}, acknowledged: map[int64]time.Time{}, counts: map[string]int{},
		fleet: &batchtarget.Fleet{MaxFailures: maxAttempts, ClockLag: clockLag, CordonTime: cordonTime, RunFails: func(run target.Run) bool { return run.Task.Index == 1 && run.Number == 1 }},
	}
	var err error
	refusalStatus := func() int { return int(d.refusal.Load()) }
	connections := rand.New(rand.NewPCG(seed, 4))
	d.keepsConnections = connections.IntN(2) == 0
	if d.storeAddress, err = serve(&platformtest.Store{Service: d.store, RefusalStatus: refusalStatus}, connections.IntN(2) == 0); err != nil {
		return nil, err
	}
	d.config = catalogue.Catalogue{
		Services: map[string]catalogue.Service{"s": {}}, OrganisationByKey: map[string]string{"key": "o"},
		Organisations: map[string]catalogue.Organisation{"o": {GuaranteedAccelerators: 8}},
	}
	for priority := range 3 {
		d.config.Queues = append(d.config.Queues, d.queue(fmt.Sprintf("q%d", priority), priority))
	}
	d.configure()
	for i := range 2 * targetsPerRack {
		if err := d.addTarget(ctx, i); err != nil {
			return nil, err
		}
	}
	for i := range 3 + d.random.IntN(2) {
		h, err := newHost(fmt.Sprintf("host-%d", i), zoneName(i), bin, dir, d.storeAddress)
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) queue(name string, priority int) catalogue.Queue {
	return catalogue.Queue{
		Name: name, Host: "jobs.example", Prefix: "/" + name + "/", Service: "s", Priority: priority, MaxAttempts: maxAttempts,
		StretchFactor: 2, Timeout: callTimeout,
	}
}

// configure writes the next version of the configuration, which adds a queue.
func (d *deployment) configure() {
	d.mu.Lock()
	d.config.Version++
	version := d.config.Version
	d.config.Queues = append(d.config.Queues, d.queue(extraQueue(version), 2))
	value := platformtest.EncodeConfiguration(&d.config)
	d.mu.Unlock()
	if d.put(platformtest.ConfigurationKey, value) {
		d.mu.Lock()
		d.acknowledged[version] = time.Now()
		d.mu.Unlock()
	}
}

func extraQueue(version int64) string { return fmt.Sprintf("extra%d", version) }

// put writes to the store directly, as the platform does, and not through a host's link. It
// reports whether the write was acknowledged.
func (d *deployment) put(key string, value []byte) bool {
	_, err := d.store.Commit(context.Background(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: key, Value: value}}})
	return err == nil
}

// addTarget starts a target that then reports every heartbeatPeriod, or restarts one that exists.
func (d *deployment) addTarget(ctx context.Context, i int) error {
	if i < len(d.targets) {
		t := d.targets[i]
		t.link.restart(func() {
			t.listing.Born = time.Now().UnixMilli()
			d.fleet.Add(t.listing)
		})
		d.put(platformtest.TargetKey(t.listing.ID), platformtest.EncodeTargetEntry(t.listing, 0))
		return nil
	}
	id := fmt.Sprintf("t%d", i)
	address, err := serve(&platformtest.Target{ID: id, Fleet: d.fleet}, d.keepsConnections)
	if err != nil {
		return err
	}
	link, err := newProxy(address)
	if err != nil {
		return err
	}
	t := &targetLink{link: link, listing: target.Listing{
		ID: id, Service: "s", Address: link.address, Zone: zoneName(i), Rack: fmt.Sprintf("r%d", i/targetsPerRack), Born: time.Now().UnixMilli(),
		Capacity: workload.Resources{MilliCores: 8000, MemoryMB: 800, Accelerators: 4},
	}}
	d.targets = append(d.targets, t)
	d.fleet.Add(t.listing)
	go func() {
		for ctx.Err() == nil {
			d.put(platformtest.TargetKey(id), platformtest.EncodeTargetEntry(t.listing, d.fleet.Clock(id)))
			time.Sleep(heartbeatPeriod)
		}
	}()
	return nil
}

// markStoreFault records that a fault of the store ends now.
func (d *deployment) markStoreFault() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastStoreFault = time.Now()
}

// undisturbed reports whether neither the host nor the store has had a fault since a time.
func (d *deployment) undisturbed(h *host, since time.Time) bool {
	d.mu.Lock()
	lastStoreFault := d.lastStoreFault
	d.mu.Unlock()
	return lastStoreFault.Before(since) && d.refusal.Load() == 0 && mode(h.store.mode.Load()) == pass && h.undisturbed(since)
}

// clearFaults ends all faults of the store and of the links.
func (d *deployment) clearFaults() {
	d.store.SetDown(false)
	d.store.LoseAnswers(0, 0)
	d.refusal.Store(0)
	for _, h := range d.hosts {
		h.store.clearFaults()
	}
	for _, t := range d.targets {
		t.link.clearFaults()
	}
}

// close kills the host processes that this deployment started.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.command != nil && h.command.Process != nil {
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
	}
}

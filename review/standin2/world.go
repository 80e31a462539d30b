//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/platform/platformtest"
)

const (
	program     = "target/eelgrasstide"
	callersHost = "jobs.example"
	// The bounds of the site slaegt-hq.
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	heartbeat       = 1500 * time.Millisecond
	maxHold         = 6 * time.Second
	stopTime        = 200 * time.Millisecond
	drainTime       = 2 * time.Second
	maxListedEnds   = 500
)

// world is a small deployment: hosts as processes, and stand-ins of the store and of the runners.
type world struct {
	trouble bool
	folder  string
	store   *batchstore.Store
	address netip.AddrPort
	hosts   []*host
	client  *http.Client

	recordMu sync.Mutex
	record   *os.File
	began    time.Time
	broken   []string
	counts   map[string]int
}

func newWorld(path string) (*world, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, store: &batchstore.Store{}, record: record, began: time.Now(), counts: map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if w.address, err = serve("127.0.0.1:0", &platformtest.Store{Service: w.store}); err != nil {
		return nil, err
	}
	return w, nil
}

// serve serves a stand-in on a loopback address.
func serve(address string, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (w *world) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.note("BROKEN %s", text)
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) count(name string) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	w.counts[name]++
}

// close ends the processes that this world started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.folder)
	}
	w.record.Close()
}

func (w *world) verdict(err error) int {
	for _, h := range w.hosts {
		if h.endedByItself() {
			w.breaks("Fault", "%s ended by itself", h.Name)
		}
	}
	w.note("counts: %v", w.counts)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return 2
	case len(w.broken) > 0:
		w.note("verdict: broken %d times; the first: %s", len(w.broken), w.broken[0])
		fmt.Println("broken:", w.broken[0])
		return 1
	}
	w.note("verdict: held")
	return 0
}

// put writes a key as the platform does, and returns when the write was acknowledged.
func (w *world) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	_, _ = w.store.Commit(context.Background(), keyvalue.Txn{Puts: []keyvalue.Put{{Key: key, Value: text}}})
	return time.Now()
}

// remove deletes a key as the platform does.
func (w *world) remove(key string) {
	_, _ = w.store.Commit(context.Background(), keyvalue.Txn{Deletes: []string{key}})
	w.note("%s is removed", key)
}

// route is a queue of the configuration.
type route struct {
	Name, Host, Prefix, Service string
	Kind                        string
	TimeoutMs, TargetRuntimeMs  int
	Priority, MaxAttempts       int
	StretchFactor               float64
	Public                      bool
}

func queue(name string, priority int) route {
	return route{
		Name: name, Host: callersHost, Prefix: "/" + name + "/", Service: "s", Kind: "unsafe", TimeoutMs: 3000, TargetRuntimeMs: 1000, Priority: priority,
		MaxAttempts: 4, StretchFactor: 3,
	}
}

// tenant is an organisation of the configuration.
type tenant struct {
	name string
	keys []string
	gpus int
}

// configure writes a configuration with one tenant and returns when it was acknowledged.
func (w *world) configure(version int, keys []string, routes ...route) time.Time {
	return w.configureTenants(version, []tenant{{"o", keys, 8}}, routes...)
}

func (w *world) configureTenants(version int, tenants []tenant, routes ...route) time.Time {
	var listed []map[string]any
	for _, t := range tenants {
		listed = append(listed, map[string]any{"Name": t.name, "ApiKeys": t.keys, "Guaranteed": map[string]any{"Gpus": t.gpus}})
	}
	at := w.put("op/config", map[string]any{
		"Version": version, "Routes": routes, "Services": []map[string]any{{"Name": "s", "EnforcesCapacity": true, "Standby": false}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": listed,
	})
	w.note("configuration %d acknowledged: %d routes, tenants %v", version, len(routes), tenants)
	return at
}

// host is an entry host: a process of the deploy file's command.
type host struct {
	platformtest.Host
	w       *world
	link    *proxy
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	killed  bool
	starts  int
}

// addHost starts a host whose calls to the store go through a link of its own.
func (w *world) addHost(zone string) (*host, error) {
	link, err := newProxy(w.address)
	if err != nil {
		return nil, err
	}
	number := len(w.hosts)
	h := &host{w: w, link: link, Host: platformtest.Host{Name: fmt.Sprintf("host-%d", number), Zone: zone, Store: link.address, Grace: 6 * time.Second, TaskLease: maxHold}}
	ip := netip.AddrFrom4([4]byte{127, 44, byte(1 + os.Getpid()%250), byte(1 + number)})
	var kept []net.Listener
	for _, address := range []*netip.AddrPort{&h.Callers, &h.Ready, &h.Hosts} {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, err
		}
		kept = append(kept, listener)
		*address = netip.MustParseAddrPort(listener.Addr().String())
	}
	for _, listener := range kept {
		listener.Close()
	}
	w.hosts = append(w.hosts, h)
	return h, h.start()
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	settings := filepath.Join(h.w.folder, h.Name+".conf")
	if err := os.WriteFile(settings, h.Settings(), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(h.w.folder, fmt.Sprintf("%s.%d.log", h.Name, h.starts)))
	if err != nil {
		return err
	}
	command := exec.Command(program, "front")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EELGRASSTIDE_BOOT=" + settings}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.command, h.ended, h.killed = command, ended, false
	go func() {
		_ = command.Wait()
		output.Close()
		close(ended)
	}()
	h.w.note("%s started", h.Name)
	return nil
}

func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		h.killed = true
	}
	_ = h.command.Process.Signal(signal)
	h.w.note("%s gets %s", h.Name, signal)
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	h.killed = true
	command, ended := h.command, h.ended
	h.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

func (h *host) endedByItself() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return !h.killed
	default:
		return false
	}
}

// addHosts starts hosts in the zones z0, z1 and so on, and waits until all are ready.
func (w *world) addHosts(count int) error {
	for i := range count {
		if _, err := w.addHost(fmt.Sprintf("z%d", i%3)); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range w.hosts {
		for {
			response, err := http.Get("http://" + h.Ready.String() + "/v1/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all hosts are ready")
	return nil
}

// call makes a client's call to a host and returns the status, 0 for no answer, and the body.
func (w *world) call(h *host, method, path, key string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.Callers.String()+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = callersHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Api-Key", key)
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// step and submission are what clients submit.
type step struct {
	Count         int
	Cpu           int    `json:",omitempty"`
	MemMb         int    `json:",omitempty"`
	Gpus          int    `json:",omitempty"`
	EstimateMs    int    `json:",omitempty"`
	After         []int  `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	Requires      string `json:",omitempty"`
	MaxPerServer  int    `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
}

type submission struct {
	Spec  string
	Steps []step
}

// submit hands a job in, at one host after the other as a client does, until it is accepted.
func (w *world) submit(queue, id, key string, job submission) error {
	for attempt := range 8 {
		h := w.hosts[attempt%len(w.hosts)]
		status, _ := w.call(h, "POST", "/"+queue+"/"+id, key, job)
		w.note("POST /%s/%s at %s: %d", queue, id, h.Name, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

func (w *world) state(h *host, queue, id, key string) (int, string) {
	status, body := w.call(h, "GET", "/"+queue+"/"+id, key, nil)
	state := struct{ State string }{}
	_ = json.Unmarshal(body, &state)
	return status, state.State
}

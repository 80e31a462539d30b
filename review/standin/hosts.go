//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file.
const program = "target/eelgrasstide"

const (
	// clientDeadline is how long a client waits for an answer.
	clientDeadline = 3 * time.Second
	clientRetries  = 4
	graceS         = 6
)

// host is an entry host: a process of the project, started with the command of the deploy file.
type host struct {
	name, zone, ip      string
	front, ready, inner string
	storeAddress        string
	dir                 string
	record              *record

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// serveAt serves a handler on a free loopback port.
func serveAt(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

func newHost(name, zone, ip string, s *store, dir string) (*host, error) {
	h := &host{name: name, zone: zone, ip: ip, dir: dir, record: s.record}
	var err error
	for _, address := range []*string{&h.front, &h.ready, &h.inner} {
		if *address, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	if h.storeAddress, err = serveAt(s.handler(name)); err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settingsPath(), []byte(h.settings()), 0o600)
}

func (h *host) settingsPath() string { return filepath.Join(h.dir, h.name+".conf") }

// settings returns a settings file like the one of the platform's pages.
func (h *host) settings() string {
	_, port, _ := net.SplitHostPort(h.inner)
	lines := []string{
		"NodeName=" + h.name, "Role=front", "MachineClass=front", "Serves=front", "Ip=" + h.ip, "Zone=" + h.zone, "Region=dk-vest",
		"Zones.zone-a=dk-vest", "Zones.zone-b=dk-vest", "Zones.zone-c=dk-vest", "Listen.Front=" + h.front, "Listen.Ready=" + h.ready,
		"InternalPorts=" + port + "," + port, "Bootstrap=true", "LossCounts=false", "Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=284",
		"Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0", "Discovery=platform", "Entry=vip", "HeartbeatMs=1500",
		"Contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing", "FaultTolerance.Machines=1", "FaultTolerance.Zones=1",
		"Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.DrainMs=2000", fmt.Sprintf("Bounds.GraceS=%d", graceS), "Bounds.LossSlackMs=200",
		"Bounds.ConfigApplyMs=2000", "Bounds.RecoveryS=12", "Bounds.MaxHoldMs=6000", "Bounds.StopTimeoutMs=200", "Bounds.GangTimeoutMs=3000",
		"Bounds.cancel_ms=3000", "Bounds.visible_ms=3000", "Bounds.early_ms=250", "Bounds.finish_s=14", "Bounds.status_s=120", "Bounds.RemoteFactor=3",
		"Bounds.CheckpointIntervalS=1", "Bounds.RestoreMs=250", "Bounds.EnforceFencing=true", "Bounds.LeaseMs=3000", "Bounds.ReclaimMs=2700",
		"ControlMode=call", "platform.Address=" + h.storeAddress, "platform.form=kv", "platform.WritesPerS=400", "platform.ReadsPerS=2000",
		"platform.RetentionS=20", "platform.ValueBytes=1048576", "platform.MinTtlMs=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process; its output goes to a file of the temporary folder.
func (h *host) start() error {
	output, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, "front")
	command.Env = append(os.Environ(), "EELGRASSTIDE_BOOT="+h.settingsPath())
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = command.Process, ended
	h.mu.Unlock()
	h.record.add("host %s: started", h.name)
	go func() {
		err := command.Wait()
		_ = output.Close()
		h.record.add("host %s: ended: %v", h.name, err)
		close(ended)
	}()
	return nil
}

// end signals the process and waits for its end.
func (h *host) end(signal syscall.Signal) {
	h.mu.Lock()
	process, ended := h.process, h.ended
	h.mu.Unlock()
	if process == nil {
		return
	}
	h.record.add("host %s: gets signal %s", h.name, signal)
	_ = process.Signal(signal)
	select {
	case <-ended:
	case <-time.After(graceS * time.Second):
		_ = process.Kill()
		<-ended
	}
}

// client calls the hosts as a caller of the service does.
type client struct {
	http   *http.Client
	hosts  []*host
	record *record
	next   int
	mu     sync.Mutex
}

func newClient(hosts []*host, r *record) *client {
	return &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, hosts: hosts, record: r}
}

// host returns the hosts in turn.
func (c *client) host() *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.hosts[c.next%len(c.hosts)]
}

// call makes one call and returns the status; 0 if there was no answer in time.
func (c *client) call(h *host, method, path string, body any, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = routeHost
	request.Header.Set("Api-Key", tenantKey)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		c.record.add("client: %s %s at %s: no answer: %v", method, path, h.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.record.add("client: %s %s at %s: no whole answer: %v", method, path, h.name, err)
		return 0, ""
	}
	c.record.add("client: %s %s at %s: %d %s", method, path, h.name, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, string(text)
}

// submit hands a job in, at another host after each attempt without success.
func (c *client) submit(path string, job any) bool {
	for range clientRetries {
		if status, _ := c.call(c.host(), http.MethodPost, path, job, clientDeadline); status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

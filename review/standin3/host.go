//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deadline is how long clients wait for an answer; they send it as X-Deadline-Ms.
const deadline = 3 * time.Second

// stage is the deployment of a case.
type stage struct {
	dir, program, trouble string
	log                   *recorder
	store                 *store
	hosts                 []*host
	runners               []*runner
	// maxHold is MaxHoldMs.
	maxHold time.Duration
}

// host is an entry host: a process of the project's program with its own settings.
type host struct {
	name, settings, front, ready string
	command                      *exec.Cmd
	ended                        chan struct{}
	output                       *os.File
	client                       *http.Client
}

func (s *stage) close() {
	for _, h := range s.hosts {
		h.kill()
		h.output.Close()
	}
}

// begin starts the store, count runners and three entry hosts in three zones, and waits until these are ready.
func (s *stage) begin(config *config, count int, has capacity, needs func(string) capacity) error {
	s.store = newStore()
	s.putConfig(config)
	for i := range count {
		r, err := startRunner(s.store, s.log, fmt.Sprintf("i-%08x", 0xa0000000+i*7919), zone(i), rack(i), service, has, needs, s.maxHold)
		if err != nil {
			return err
		}
		s.runners = append(s.runners, r)
	}
	for i := range 3 {
		h, err := s.newHost(i)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := h.start(s.program); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			text, _ := os.ReadFile(h.output.Name())
			s.log.add("%s wrote: %.2000s", h.name, text)
			return err
		}
	}
	return nil
}

// rack returns the rack of a runner: three are in each.
func rack(i int) string { return fmt.Sprintf("rack-%d", i/3) }

func zone(i int) string { return "zone-" + string(rune('a'+i%3)) }

// freePort returns a port of a loopback address that is free now.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	return port, err
}

func (s *stage) newHost(i int) (*host, error) {
	store, err := s.store.listen()
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%200, 11+i)
	ports := [4]string{}
	for n := range ports {
		if ports[n], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	h := &host{name: fmt.Sprintf("front-%s-%d", zone(i), i), front: ip + ":" + ports[0], ready: ip + ":" + ports[1]}
	h.settings = filepath.Join(s.dir, h.name+".conf")
	h.client = &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	text := strings.NewReplacer(
		"NAME", h.name, "IP", ip, "ZONE", zone(i), "FRONT", h.front, "READY", h.ready, "CONTROL", ip+":"+ports[2], "INTERNAL", ports[3], "STORE", store, "HOLD", fmt.Sprint(s.maxHold.Milliseconds()),
	).Replace(settings)
	if h.output, err = os.Create(filepath.Join(s.dir, h.name+".log")); err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// settings are those of a small deployment. Bounds are as for slaegt-hq.
const settings = `NodeName=NAME
Role=front
MachineClass=front
Serves=front
Ip=IP
Zone=ZONE
Region=region
Zones.zone-a=region
Zones.zone-b=region
Zones.zone-c=region
Listen.Front=FRONT
Listen.Ready=READY
Listen.Control=CONTROL
InternalPorts=INTERNAL,INTERNAL
Seeds=CONTROL
Bootstrap=true
LossCounts=false
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1500
Contracts=base,drain,config,cost,recover,sched,tenants,platform
FaultTolerance.Machines=1
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.OuterMs=5000
Bounds.RecoveryS=12
Bounds.MaxHoldMs=HOLD
Bounds.StopTimeoutMs=200
Bounds.GangTimeoutMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.RemoteFactor=3
Bounds.CheckpointIntervalS=1
Bounds.RestoreMs=250
Bounds.NoticeMs=4500
Bounds.EnforceFencing=true
Bounds.LeaseMs=3000
Bounds.ReclaimMs=2700
ControlMode=call
platform.Address=STORE
platform.form=kv
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.RetentionS=20
platform.ValueBytes=1048576
platform.MinTtlMs=1000
`

// start starts the process, with the command of the deploy file.
func (h *host) start(program string) error {
	h.command = exec.Command(program, "front")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "EELGRASSTIDE_BOOT=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.output, h.output
	if err := h.command.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) { command.Wait(); close(ended) }(h.command, h.ended)
	return nil
}

func (h *host) signal(which syscall.Signal) { h.command.Process.Signal(which) }

func (h *host) kill() {
	if h.ended == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.ended
}

func (h *host) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + h.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(h.name + " did not become ready")
}

// planner returns the host that leads, as its key in the store says; nil if there is none.
func (s *stage) planner() *host {
	name, _, _ := strings.Cut(s.store.value("planner/alive"), "/")
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (s *stage) awaitPlanner(limit time.Duration) (*host, error) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if h := s.planner(); h != nil {
			return h, nil
		}
	}
	return nil, errors.New("no host leads")
}

// call makes one call of a client to a host and returns the status, 0 if there was no answer, and the body.
func (s *stage) call(h *host, method, hostName, path, key string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, "http://"+h.front+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Api-Key", key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	response, err := h.client.Do(request)
	if err != nil {
		s.log.add("%s %s to %s, sent at %.3f: no answer: %v", method, path, h.name, sent.Sub(s.log.began).Seconds(), err)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	s.log.add("%s %s to %s, sent at %.3f: %d %.120s", method, path, h.name, sent.Sub(s.log.began).Seconds(), response.StatusCode, text)
	return response.StatusCode, string(text)
}

// handIn submits a job as a client does: after a refusal, an unknown outcome or no answer it asks the next host.
func (s *stage) handIn(path, key string, job any) error {
	for attempt := range 20 {
		if status, _ := s.call(s.hosts[attempt%len(s.hosts)], http.MethodPost, hostName, path, key, job); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("the job was not accepted")
}

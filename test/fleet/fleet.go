// Package fleet runs entry hosts and stand-ins as separate processes on loopback, for the
// demonstration, the failure proofs and the measurements. It is not part of the product, whose
// processes do not start others.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/client"
)

const (
	// startTimeout bounds the time until a started process has written its address file.
	startTimeout = 10 * time.Second
	pollPeriod   = 20 * time.Millisecond
	// stopTimeout bounds a graceful stop.
	stopTimeout = 20 * time.Second
	// controlTimeout bounds a call that sets the fault switches.
	controlTimeout = 5 * time.Second
)

// Process is a process that a Fleet started.
type Process struct {
	Name    string
	Zone    string
	Address netip.AddrPort

	command *exec.Cmd
	ended   chan struct{}
	err     error
}

// Fleet is a set of processes. Set the exported fields before Start.
type Fleet struct {
	// Bin is the folder of the built programs. Dir is the folder for settings, address files and
	// logs.
	Bin, Dir string
	// HostsPerZone maps each availability zone to its number of entry hosts.
	HostsPerZone map[string]int
	// RunnersPerZone and WorkersPerZone are the numbers of runners and workers in each zone, and
	// WorkersPerRack is the number of workers in each rack.
	RunnersPerZone, WorkersPerZone, WorkersPerRack int
	// Slowness returns the factor by which the i-th runner of a zone multiplies the declared time
	// of a request; nil means 1 for all.
	Slowness func(i int) float64
	// HostSettings is TOML text that is appended to the settings file of each host.
	HostSettings string

	// Store, HostList and Balancer are the stand-ins of which there is one; Start sets them.
	Store, HostList, Balancer *Process

	// mu guards starts and, in StartHost and Zone, Hosts.
	mu              sync.Mutex
	Hosts           []*Process
	RunnerProcesses []*Process
	WorkerProcesses []*Process
	// starts is the number of processes started, which numbers their log files.
	starts int
}

// Start starts all processes. It returns when each has written the address that it listens on.
func (f *Fleet) Start(ctx context.Context) error {
	var err error
	if f.Store, err = f.standin(ctx, "store", "store", ""); err != nil {
		return err
	}
	if f.HostList, err = f.standin(ctx, "host-list", "list", "", "--lag=500ms"); err != nil {
		return err
	}
	for zone, hosts := range f.HostsPerZone {
		if err := f.startZone(ctx, zone, hosts); err != nil {
			return err
		}
	}
	f.Balancer, err = f.standin(ctx, "balancer", "balancer", "")
	return err
}

func (f *Fleet) startZone(ctx context.Context, zone string, hosts int) error {
	for i := range f.RunnersPerZone {
		slowness := 1.0
		if f.Slowness != nil {
			slowness = f.Slowness(i)
		}
		p, err := f.standin(ctx, "runner", fmt.Sprintf("%s-runner-%d", zone, i), zone, fmt.Sprintf("--slowness=%g", slowness))
		if err != nil {
			return err
		}
		f.RunnerProcesses = append(f.RunnerProcesses, p)
	}
	for i := range f.WorkersPerZone {
		rack := i / max(1, f.WorkersPerRack)
		p, err := f.standin(ctx, "worker", fmt.Sprintf("%s-worker-%02d", zone, i), zone, fmt.Sprintf("--rack=%d", rack))
		if err != nil {
			return err
		}
		f.WorkerProcesses = append(f.WorkerProcesses, p)
	}
	for i := range hosts {
		if _, err := f.StartHost(ctx, fmt.Sprintf("%s-entry-%d", zone, i), zone); err != nil {
			return err
		}
	}
	return nil
}

// standin starts a stand-in that reports to the host list, if there is one yet.
func (f *Fleet) standin(ctx context.Context, kind, name, zone string, extra ...string) (*Process, error) {
	addressFile := filepath.Join(f.Dir, name+".address")
	args := []string{kind, "--address-file=" + addressFile, "--name=" + name, "--zone=" + zone}
	if f.HostList != nil {
		args = append(args, "--host-list="+f.HostList.Address.String())
	}
	return f.start(ctx, "standin", name, zone, addressFile, append(args, extra...))
}

// StartHost starts an entry host and reports it to the host list.
func (f *Fleet) StartHost(ctx context.Context, name, zone string) (*Process, error) {
	addressFile := filepath.Join(f.Dir, name+".address")
	text := fmt.Sprintf("name = %q\nzone = %q\nstore = %q\nhostList = %q\naddressFile = %q\nstopNotice = \"600ms\"\n%s\n",
		name, zone, f.Store.Address, f.HostList.Address, addressFile, f.HostSettings)
	path := filepath.Join(f.Dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := f.start(ctx, "eelgrasstide", name, zone, addressFile, []string{"serve", "--settings=" + path})
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.Hosts = append(f.Hosts, p)
	f.mu.Unlock()
	list := wire.NewHostListProtobufClient("http://"+f.HostList.Address.String(), http.DefaultClient)
	_, err = list.Report(ctx, &wire.Listed{Name: name, Zone: zone, Address: p.Address.String(), Kind: wire.ListedKind_LISTED_KIND_HOST})
	return p, err
}

// start starts a program with a log file of its own and waits for its address file.
func (f *Fleet) start(ctx context.Context, program, name, zone, addressFile string, args []string) (*Process, error) {
	os.Remove(addressFile)
	f.mu.Lock()
	f.starts++
	output, err := os.Create(filepath.Join(f.Dir, fmt.Sprintf("%s.%d.log", name, f.starts)))
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, Zone: zone, command: exec.Command(filepath.Join(f.Bin, program), args...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.command.Wait()
		output.Close()
		close(p.ended)
	}()
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if text, err := os.ReadFile(addressFile); err == nil {
			if p.Address, err = netip.ParseAddrPort(strings.TrimSpace(string(text))); err == nil {
				return p, nil
			}
		}
		select {
		case <-p.ended:
			return nil, fmt.Errorf("Fleet.start: %s ended before it listened: %w; see its log %s", name, p.err, output.Name())
		case <-time.After(pollPeriod):
		}
	}
	return nil, fmt.Errorf("Fleet.start: %s has not written its address after 10 s, or the start was cancelled; see its log %s", name, output.Name())
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Kill sends SIGKILL to the process and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Stop requests a graceful stop and returns the error with which the process exited. A process
// that has not stopped after 20 s is killed.
func (p *Process) Stop() error {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("Process.Stop: %s did not stop within %s and was killed", p.Name, stopTimeout)
	}
}

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Client returns a client that calls this process as a caller or operator.
func (p *Process) Client() *client.Client { return &client.Client{Address: p.Address} }

// Set replaces the fault switches of a stand-in and returns the number of its calls so far.
func (p *Process) Set(ctx context.Context, settings *wire.FaultSettings) (int64, error) {
	httpClient := &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := wire.NewFaultsProtobufClient("http://"+p.Address.String(), httpClient).Set(ctx, settings)
	return response.GetCalls(), err
}

// Zone returns the running hosts of a zone.
func (f *Fleet) Zone(zone string) []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Process
	for _, p := range f.Hosts {
		if p.Zone == zone && !p.Ended() {
			out = append(out, p)
		}
	}
	return out
}

// WaitReady waits until /readyz of every running host answers with status 200, or ctx ends.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, p := range f.Hosts {
		for !p.Ended() {
			response, err := http.Get("http://" + p.Address.String() + "/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("Fleet.WaitReady: %s is not ready: %w", p.Name, ctx.Err())
			case <-time.After(pollPeriod):
			}
		}
	}
	return nil
}

// Close kills every process, suspended ones included.
func (f *Fleet) Close() {
	all := append(append(append([]*Process{}, f.Hosts...), f.RunnerProcesses...), f.WorkerProcesses...)
	all = append(all, f.Balancer, f.HostList, f.Store)
	for _, p := range all {
		if p != nil && !p.Ended() {
			_ = p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
}

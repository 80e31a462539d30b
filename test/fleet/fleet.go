// Package fleet runs entry hosts and stand-ins as separate processes on
// loopback, for the demonstration and the failure proofs. It is no part of the
// product, whose processes start no other.
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
	startTimeout = 10 * time.Second
	pollPeriod   = 20 * time.Millisecond
	stopTimeout  = 20 * time.Second
	// controlTimeout bounds a call to the fault switches.
	controlTimeout = 5 * time.Second
)

// Process is one running program.
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
	// Bin is the folder of the built programs, Dir the folder for settings and logs.
	Bin, Dir string
	// Zones maps each availability zone to its number of entry hosts.
	Zones map[string]int
	// Runners and Workers are the numbers in each zone.
	Runners, Workers, WorkersPerRack int
	// Slowness gives the factor of the i-th runner of a zone; nil means 1.
	Slowness func(i int) float64
	// HostSettings is added to each host's settings file.
	HostSettings string

	Store, List, Balancer *Process

	mu     sync.Mutex
	Hosts  []*Process
	Run    []*Process
	Work   []*Process
	starts int
}

// Start builds up every process and waits until they listen.
func (f *Fleet) Start(ctx context.Context) error {
	var err error
	if f.Store, err = f.standin(ctx, "store", "store", ""); err != nil {
		return err
	}
	if f.List, err = f.standin(ctx, "host-list", "list", "", "--lag=500ms"); err != nil {
		return err
	}
	for zone, hosts := range f.Zones {
		if err := f.startZone(ctx, zone, hosts); err != nil {
			return err
		}
	}
	f.Balancer, err = f.standin(ctx, "balancer", "balancer", "")
	return err
}

func (f *Fleet) startZone(ctx context.Context, zone string, hosts int) error {
	for i := range f.Runners {
		slow := 1.0
		if f.Slowness != nil {
			slow = f.Slowness(i)
		}
		p, err := f.standin(ctx, "runner", fmt.Sprintf("%s-runner-%d", zone, i), zone, fmt.Sprintf("--slowness=%g", slow))
		if err != nil {
			return err
		}
		f.Run = append(f.Run, p)
	}
	for i := range f.Workers {
		rack := i / max(1, f.WorkersPerRack)
		p, err := f.standin(ctx, "worker", fmt.Sprintf("%s-worker-%02d", zone, i), zone, fmt.Sprintf("--rack=%d", rack))
		if err != nil {
			return err
		}
		f.Work = append(f.Work, p)
	}
	for i := range hosts {
		if _, err := f.StartHost(ctx, fmt.Sprintf("%s-entry-%d", zone, i), zone); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) standin(ctx context.Context, kind, name, zone string, extra ...string) (*Process, error) {
	file := filepath.Join(f.Dir, name+".address")
	args := []string{kind, "--address-file=" + file, "--name=" + name, "--zone=" + zone}
	if f.List != nil {
		args = append(args, "--host-list="+f.List.Address.String())
	}
	return f.start(ctx, "standin", name, zone, file, append(args, extra...))
}

// StartHost starts an entry host and enters it in the platform's list.
func (f *Fleet) StartHost(ctx context.Context, name, zone string) (*Process, error) {
	file := filepath.Join(f.Dir, name+".address")
	text := fmt.Sprintf("name = %q\nzone = %q\nstore = %q\nhostList = %q\naddressFile = %q\nstopNotice = \"600ms\"\n%s\n",
		name, zone, f.Store.Address, f.List.Address, file, f.HostSettings)
	path := filepath.Join(f.Dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := f.start(ctx, "eelgrasstide", name, zone, file, []string{"serve", "--settings=" + path})
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.Hosts = append(f.Hosts, p)
	f.mu.Unlock()
	list := wire.NewHostListProtobufClient("http://"+f.List.Address.String(), http.DefaultClient)
	_, err = list.Report(ctx, &wire.Listed{Name: name, Zone: zone, Address: p.Address.String(), Kind: wire.ListedKind_LISTED_KIND_HOST})
	return p, err
}

func (f *Fleet) start(ctx context.Context, program, name, zone, file string, args []string) (*Process, error) {
	os.Remove(file)
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
		if text, err := os.ReadFile(file); err == nil {
			if p.Address, err = netip.ParseAddrPort(strings.TrimSpace(string(text))); err == nil {
				return p, nil
			}
		}
		select {
		case <-p.ended:
			return nil, fmt.Errorf("%s ended at once: %w; see %s", name, p.err, output.Name())
		case <-time.After(pollPeriod):
		}
	}
	return nil, fmt.Errorf("%s does not listen; see %s", name, output.Name())
}

// Signal sends a signal to the process, by its ID.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Stop asks for a graceful stop and returns how it ended.
func (p *Process) Stop() error {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not stop in %s", p.Name, stopTimeout)
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

// Client calls this process as a caller or operator.
func (p *Process) Client() *client.Client { return &client.Client{Address: p.Address} }

// Set switches the process's faults and returns its call count.
func (p *Process) Set(ctx context.Context, set *wire.FaultSettings) (int64, error) {
	fresh := &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := wire.NewFaultsProtobufClient("http://"+p.Address.String(), fresh).Set(ctx, set)
	return answer.GetCalls(), err
}

// Zone returns the live hosts of a zone.
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

// Ready waits until every live host answers /readyz.
func (f *Fleet) Ready(ctx context.Context) error {
	for _, p := range f.Hosts {
		for !p.Ended() {
			answer, err := http.Get("http://" + p.Address.String() + "/readyz")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", p.Name, ctx.Err())
			case <-time.After(pollPeriod):
			}
		}
	}
	return nil
}

// Close ends every process.
func (f *Fleet) Close() {
	all := append(append(append([]*Process{}, f.Hosts...), f.Run...), f.Work...)
	all = append(all, f.Balancer, f.List, f.Store)
	for _, p := range all {
		if p != nil && !p.Ended() {
			_ = p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
}

package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrasstide/eelgrasstide/platform"
	"github.com/eelgrasstide/eelgrasstide/platform/platformtest"
)

// host is an entry host: a process of the real program and its link to the store.
type host struct {
	platformtest.Host
	// store is the link to the store.
	store *proxy
	// dir holds the settings file and the logs, bin the programs.
	dir string
	bin string

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended  <-chan struct{}
	starts int
	frozen bool
	// disturbed is when the last disturbance other than a SIGTERM ended, and stopping when the
	// last SIGTERM was sent.
	disturbed, stopping time.Time
	// ending says that a signal that ends the process was sent; ownEnds describes the ends of processes to which
	// none was.
	ending  bool
	ownEnds []string
	// version is the highest version of the configuration that this incarnation was seen to use.
	version int64
}

// newHost writes the settings file of a host and opens its link to the store.
func newHost(name, zone, bin, dir string, store netip.AddrPort) (*host, error) {
	link, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	h := &host{store: link, dir: dir, bin: bin}
	h.Host = platformtest.Host{Name: name, Zone: zone, Store: link.address, Grace: gracePeriod, TaskLease: taskLease, CordonTime: cordonTime}
	if err := freeAddresses(nextIP(), &h.Callers, &h.Ready, &h.Hosts); err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settingsPath(), h.Settings(), 0o600)
}

func (h *host) settingsPath() string { return filepath.Join(h.dir, h.Name+".conf") }

// start starts the process, unless an overlapping fault has done so. Each start has a log file of its own.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isRunning() {
		return nil
	}
	h.starts++
	output, err := os.Create(filepath.Join(h.dir, fmt.Sprintf("%s.%d.log", h.Name, h.starts)))
	if err != nil {
		return err
	}
	h.command = exec.Command(filepath.Join(h.bin, "eelgrasstide"), "front")
	h.command.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settingsPath())
	h.command.Stdout, h.command.Stderr = output, output
	if err := h.command.Start(); err != nil {
		return err
	}
	h.version, h.frozen, h.disturbed, h.ending = 0, false, time.Now(), false
	ended := make(chan struct{})
	h.ended = ended
	command := h.command
	go func() {
		defer close(ended)
		defer output.Close()
		err := command.Wait()
		fmt.Fprintf(output, "soak: the process ended: %v\n", err)
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.ending {
			h.ownEnds = append(h.ownEnds, fmt.Sprint(err))
		}
	}()
	return nil
}

// isRunning reports whether the process was started and has not ended. The caller holds mu.
func (h *host) isRunning() bool {
	if h.ended == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, unless it has ended. It returns the channel that is closed when that
// process has ended: an overlapping fault may start another.
func (h *host) signal(signal syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.send(signal)
	return h.ended
}

// send sends a signal to the process, unless it has ended. The caller holds mu.
func (h *host) send(signal syscall.Signal) {
	if !h.isRunning() {
		return
	}
	h.ending = h.ending || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	if err := h.command.Process.Signal(signal); err != nil {
		fmt.Fprintf(os.Stderr, "soak: %s: %v\n", h.Name, err)
	}
}

// markDisturbed records that the host is or was disturbed until now.
func (h *host) markDisturbed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = time.Now()
}

// undisturbed reports whether the host has been running without disturbances or planned stops
// since a time.
func (h *host) undisturbed(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.frozen && h.disturbed.Before(since) && h.stopping.Before(since)
}

// kill ends the process with SIGKILL and starts it again after a pause.
func (h *host) kill(pause time.Duration) error {
	<-h.signal(syscall.SIGKILL)
	time.Sleep(pause)
	return h.start()
}

// stop requests a graceful stop, kills the process if it has not ended within the grace period,
// and starts it again. It reports whether the process ended in time.
func (h *host) stop() (inTime bool, err error) {
	h.mu.Lock()
	h.stopping = time.Now()
	h.mu.Unlock()
	ended := h.signal(syscall.SIGTERM)
	select {
	case <-ended:
		inTime = true
	case <-time.After(gracePeriod):
		h.mu.Lock()
		if h.ended == ended {
			h.send(syscall.SIGKILL)
		}
		h.mu.Unlock()
		<-ended
	}
	return inTime, h.start()
}

// freeze suspends the process with SIGSTOP for a duration.
func (h *host) freeze(pause time.Duration) {
	h.mu.Lock()
	h.frozen = true
	h.mu.Unlock()
	h.signal(syscall.SIGSTOP)
	time.Sleep(pause)
	h.signal(syscall.SIGCONT)
	h.mu.Lock()
	h.frozen, h.disturbed = false, time.Now()
	h.mu.Unlock()
}

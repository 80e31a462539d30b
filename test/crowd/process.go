package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	settlePeriod = 20 * time.Millisecond
	settlePolls  = 250
)

// Main builds the programs into a folder, whose path it sets, runs the tests and returns their exit code.
func Main(run func() int, bin *string) int {
	dir, err := os.MkdirTemp("", "eelgrasstide-crowd-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	*bin = dir
	output, err := exec.Command("go", "build", "-o", dir+"/", "github.com/eelgrasstide/eelgrasstide/cmd/...").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("crowd.Main: the programs cannot be built: %v\n%s", err, output))
	}
	return run()
}

// settle waits until the process that listens on a port of 127.0.0.1 has accepted all connections and
// read all that has arrived on them. It gives up on a process that leaves bytes unread.
func settle(port uint16) {
	for range settlePolls {
		text, err := os.ReadFile("/proc/net/tcp")
		if err != nil || allRead(string(text), fmt.Sprintf("0100007F:%04X", port)) {
			return
		}
		time.Sleep(settlePeriod)
	}
}

// allRead reports whether the receive queues of all sockets with a local address are empty. That of a
// listening socket counts the connections that wait to be accepted.
func allRead(table, local string) bool {
	for line := range strings.Lines(table) {
		if fields := strings.Fields(line); len(fields) > 4 && fields[1] == local && !strings.HasSuffix(fields[4], ":00000000") {
			return false
		}
	}
	return true
}

// Process watches a process through the files that the kernel has of it.
type Process struct {
	ID int

	mu          sync.Mutex
	descriptors int
}

// CountDescriptors counts the open descriptors; Peak returns the largest number so far.
func (p *Process) CountDescriptors() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.ID))
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.descriptors = max(p.descriptors, len(entries))
}

// Peak returns the most descriptors that CountDescriptors has seen, and the most megabytes of memory
// that the process has ever had resident.
func (p *Process) Peak() (descriptors, residentMB int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.ID))
	if err != nil {
		return 0, 0, err
	}
	found := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(text)
	if found == nil {
		return 0, 0, fmt.Errorf("Process.Peak: process %d has ended", p.ID)
	}
	kilobytes, err := strconv.Atoi(string(found[1]))
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.descriptors, kilobytes >> 10, err
}

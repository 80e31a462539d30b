// Package balancer is a stand-in for the platform's load balancer: it forwards TCP
// connections to the entry hosts whose /readyz answers with status 200.
package balancer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// checkPeriod is the pause between two rounds of readiness checks.
	checkPeriod  = 200 * time.Millisecond
	checkTimeout = 500 * time.Millisecond
	dialTimeout  = 500 * time.Millisecond
)

// Balancer forwards connections to the ready hosts in turn. Set the fields before Run.
type Balancer struct {
	Listener net.Listener
	// Hosts returns the entry hosts that the platform lists now.
	Hosts func(context.Context) []netip.AddrPort

	mu    sync.Mutex
	ready []netip.AddrPort
	next  atomic.Uint64
}

// Run forwards connections until ctx ends or the listener fails, and then returns the errors.
func (b *Balancer) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- b.watchReadiness(ctx) }()
	for {
		caller, err := b.Listener.Accept()
		if err != nil {
			return errors.Join(err, <-ended)
		}
		go b.forward(caller)
	}
}

// watchReadiness checks the hosts until ctx ends, and then closes the listener.
func (b *Balancer) watchReadiness(ctx context.Context) error {
	defer b.Listener.Close()
	for {
		b.updateReady(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(checkPeriod):
		}
	}
}

// updateReady asks each listed host whether it is ready.
func (b *Balancer) updateReady(ctx context.Context) {
	client := &http.Client{Timeout: checkTimeout}
	defer client.CloseIdleConnections()
	var ready []netip.AddrPort
	for _, host := range b.Hosts(ctx) {
		response, err := client.Get("http://" + host.String() + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, host)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// forward connects a caller to the next ready host that accepts the connection, and closes the
// connection if none does.
func (b *Balancer) forward(caller net.Conn) {
	defer caller.Close()
	b.mu.Lock()
	ready := b.ready
	b.mu.Unlock()
	for range ready {
		host := ready[b.next.Add(1)%uint64(len(ready))]
		upstream, err := net.DialTimeout("tcp", host.String(), dialTimeout)
		if err == nil {
			copyBothWays(caller, upstream)
			return
		}
	}
}

// copyBothWays copies bytes between two connections until both directions have ended.
func copyBothWays(caller, upstream net.Conn) {
	defer upstream.Close()
	ended := make(chan struct{}, 1)
	go func() {
		io.Copy(upstream, caller)
		if tcp, ok := upstream.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
		ended <- struct{}{}
	}()
	io.Copy(caller, upstream)
	caller.Close()
	<-ended
}

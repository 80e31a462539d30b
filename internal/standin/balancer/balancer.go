// Package balancer is a stand-in of the platform's balancer: it passes TCP
// connections to entry hosts that answer /readyz.
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
	checkPeriod  = 200 * time.Millisecond
	checkTimeout = 500 * time.Millisecond
	dialTimeout  = 500 * time.Millisecond
)

// Balancer passes connections round robin. Set the fields before Run.
type Balancer struct {
	Listener net.Listener
	// Hosts returns the entry hosts that are listed now.
	Hosts func(context.Context) []netip.AddrPort

	mu    sync.Mutex
	ready []netip.AddrPort
	next  atomic.Uint64
}

// Run serves until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- b.watch(ctx) }()
	for {
		caller, err := b.Listener.Accept()
		if err != nil {
			return errors.Join(err, <-ended)
		}
		go b.pass(caller)
	}
}

func (b *Balancer) watch(ctx context.Context) error {
	defer b.Listener.Close()
	for {
		b.check(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(checkPeriod):
		}
	}
}

func (b *Balancer) check(ctx context.Context) {
	client := &http.Client{Timeout: checkTimeout}
	defer client.CloseIdleConnections()
	var ready []netip.AddrPort
	for _, host := range b.Hosts(ctx) {
		answer, err := client.Get("http://" + host.String() + "/readyz")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			ready = append(ready, host)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *Balancer) pass(caller net.Conn) {
	defer caller.Close()
	b.mu.Lock()
	ready := b.ready
	b.mu.Unlock()
	for range ready {
		host := ready[b.next.Add(1)%uint64(len(ready))]
		upstream, err := net.DialTimeout("tcp", host.String(), dialTimeout)
		if err == nil {
			join(caller, upstream)
			return
		}
	}
}

func join(caller, upstream net.Conn) {
	defer upstream.Close()
	ended := make(chan struct{}, 1)
	go func() {
		io.Copy(upstream, caller)
		if half, ok := upstream.(*net.TCPConn); ok {
			half.CloseWrite()
		}
		ended <- struct{}{}
	}()
	io.Copy(caller, upstream)
	caller.Close()
	<-ended
}

//go:build review2

package main

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections on loopback. Connections that were silenced pass nothing more.
type proxy struct {
	address, to netip.AddrPort
	listener    net.Listener

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

type pair struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: netip.MustParseAddrPort(listener.Addr().String()), to: to, listener: listener, pairs: map[*pair]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", p.to.String(), time.Second)
		if err != nil {
			client.Close()
			continue
		}
		c := &pair{client: client, server: server}
		p.mu.Lock()
		p.pairs[c] = struct{}{}
		p.mu.Unlock()
		go p.forward(c, client, server)
		go p.forward(c, server, client)
	}
}

func (p *proxy) forward(c *pair, from, to net.Conn) {
	defer func() {
		c.client.Close()
		c.server.Close()
		p.mu.Lock()
		delete(p.pairs, c)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// silence silences the open connections for good and returns how many there are. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent.Store(true)
	}
	return len(p.pairs)
}

// open returns the number of open connections.
func (p *proxy) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}

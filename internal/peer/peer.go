// Package peer holds the clients of other entry hosts.
package peer

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
	idlePerHost = 2
)

// Peers makes one client for each address. The zero value is ready.
type Peers struct {
	// Timeout bounds a call that has no deadline of its own; 0 means none.
	Timeout time.Duration

	mu      sync.Mutex
	client  *http.Client
	clients map[netip.AddrPort]wire.Host
}

// Host returns the client of the host at an address.
func (p *Peers) Host(address netip.AddrPort) wire.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil {
		p.client = &http.Client{Timeout: p.Timeout, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: idlePerHost,
		}}
		p.clients = map[netip.AddrPort]wire.Host{}
	}
	held, ok := p.clients[address]
	if !ok {
		held = wire.NewHostProtobufClient("http://"+address.String(), p.client)
		p.clients[address] = held
	}
	return held
}

// Retire drops the pooled connections, after one of them went silent.
func (p *Peers) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		p.client.CloseIdleConnections()
	}
}

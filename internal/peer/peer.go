// Package peer holds the clients for calls to other entry hosts.
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

// Peers creates one client per address, all with one connection pool. The zero value is ready
// for use. Set Timeout before the first call.
type Peers struct {
	// Timeout bounds each call, in addition to the deadline of its context; 0 means no limit.
	Timeout time.Duration

	mu      sync.Mutex
	client  *http.Client
	clients map[netip.AddrPort]wire.Host
}

// Host returns the client for the host at an address.
func (p *Peers) Host(address netip.AddrPort) wire.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil {
		p.client = &http.Client{Timeout: p.Timeout, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: idlePerHost,
		}}
		p.clients = map[netip.AddrPort]wire.Host{}
	}
	hostClient, ok := p.clients[address]
	if !ok {
		hostClient = wire.NewHostProtobufClient("http://"+address.String(), p.client)
		p.clients[address] = hostClient
	}
	return hostClient
}

// CloseIdle closes the idle connections of the pool. Callers use it after a call without an
// answer, as pooled connections may be dead.
func (p *Peers) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		p.client.CloseIdleConnections()
	}
}

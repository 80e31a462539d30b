package main

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does with connections and bytes.
type mode int32

const (
	pass mode = iota
	// refuse resets each new connection; open ones still pass bytes.
	refuse
	// loseRequests and loseAnswers discard the bytes of one direction, silence those of both.
	loseRequests
	loseAnswers
	silence
)

const proxyBuffer = 32 << 10

// proxy forwards TCP connections on loopback and can delay, discard or reset them.
type proxy struct {
	address netip.AddrPort
	to      netip.AddrPort
	mode    atomic.Int32
	// delay is the time added before the bytes of each read are passed on, in nanoseconds.
	delay atomic.Int64
	// down is set while the process behind the proxy restarts.
	down atomic.Bool

	listener    net.Listener
	mu          sync.Mutex
	connections map[*connection]struct{}
}

// connection is one connection through a proxy.
type connection struct {
	client, server net.Conn
	// silenced discards all bytes, as a network path does that has lost the connection's state.
	silenced atomic.Bool
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: netip.MustParseAddrPort(listener.Addr().String()), to: to, listener: listener, connections: map[*connection]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.down.Load() || mode(p.mode.Load()) == refuse {
			reset(client)
			continue
		}
		server, err := net.DialTimeout("tcp", p.to.String(), time.Second)
		if err != nil {
			reset(client)
			continue
		}
		c := &connection{client: client, server: server}
		p.mu.Lock()
		p.connections[c] = struct{}{}
		p.mu.Unlock()
		if p.down.Load() {
			// It may have been opened before the restart.
			reset(client)
			reset(server)
		}
		go p.forward(c, client, server, loseRequests)
		go p.forward(c, server, client, loseAnswers)
	}
}

// forward copies the bytes of one direction; dropped is the mode that discards them.
func (p *proxy) forward(c *connection, from, to net.Conn, dropped mode) {
	defer p.closeConnection(c)
	buffer := make([]byte, proxyBuffer)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if wait := time.Duration(p.delay.Load()); wait > 0 {
			time.Sleep(wait)
		}
		current := mode(p.mode.Load())
		if c.silenced.Load() || current == dropped || current == silence {
			// After a gap the rest of the stream would be corrupt, so the connection stays silent.
			c.silenced.Store(true)
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConnection(c *connection) {
	c.client.Close()
	c.server.Close()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// forEach calls do for every open connection.
func (p *proxy) forEach(do func(*connection)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		do(c)
	}
}

// resetAll resets all open connections.
func (p *proxy) resetAll() { p.forEach(func(c *connection) { reset(c.client); reset(c.server) }) }

// restart carries out a restart of the process behind the proxy, which loses all its connections.
func (p *proxy) restart(carryOut func()) {
	p.down.Store(true)
	defer p.down.Store(false)
	p.resetAll()
	carryOut()
}

// silenceOpen silences all open connections until they are closed. New ones work.
func (p *proxy) silenceOpen() { p.forEach(func(c *connection) { c.silenced.Store(true) }) }

// clearFaults ends the mode and the delay. Silenced connections stay silent.
func (p *proxy) clearFaults() {
	p.mode.Store(int32(pass))
	p.delay.Store(0)
}

// reset closes a connection with a TCP reset.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return
		}
	}
	connection.Close()
}

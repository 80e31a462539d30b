package main

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does to the bytes that pass.
type mode int32

const (
	pass mode = iota
	// refuse resets each new connection.
	refuse
	// loseRequests and loseAnswers swallow one direction, silence both.
	loseRequests
	loseAnswers
	silence
)

const proxyBuffer = 32 << 10

// proxy is a loopback link that can be delayed, cut one way, silenced or reset.
type proxy struct {
	address netip.AddrPort
	to      netip.AddrPort
	mode    atomic.Int32
	delay   atomic.Int64

	listener net.Listener
	mu       sync.Mutex
	links    map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn
	// mute swallows everything, as a path does that has lost track of a connection.
	mute atomic.Bool
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: netip.MustParseAddrPort(listener.Addr().String()), to: to, listener: listener, links: map[*link]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == refuse {
			reset(near)
			continue
		}
		far, err := net.DialTimeout("tcp", p.to.String(), time.Second)
		if err != nil {
			reset(near)
			continue
		}
		l := &link{near: near, far: far}
		p.mu.Lock()
		p.links[l] = struct{}{}
		p.mu.Unlock()
		go p.pump(l, near, far, loseRequests)
		go p.pump(l, far, near, loseAnswers)
	}
}

func (p *proxy) pump(l *link, from, to net.Conn, lost mode) {
	defer p.drop(l)
	buffer := make([]byte, proxyBuffer)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if wait := time.Duration(p.delay.Load()); wait > 0 {
			time.Sleep(wait)
		}
		now := mode(p.mode.Load())
		if l.mute.Load() || now == lost || now == silence {
			// What is lost on the way spoils the rest of the stream.
			l.mute.Store(true)
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (p *proxy) drop(l *link) {
	l.near.Close()
	l.far.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// each calls do with every open link.
func (p *proxy) each(do func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		do(l)
	}
}

// resetAll resets all open connections.
func (p *proxy) resetAll() { p.each(func(l *link) { reset(l.near); reset(l.far) }) }

// silenceOpen makes all open connections silent for good; new ones work.
func (p *proxy) silenceOpen() { p.each(func(l *link) { l.mute.Store(true) }) }

func (p *proxy) heal() {
	p.mode.Store(int32(pass))
	p.delay.Store(0)
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return
		}
	}
	connection.Close()
}

// Package transport makes HTTP/1.1 calls in the calling goroutine. A planner makes thousands of small
// calls a second, and the goroutines and channels that net/http's transport has for each connection
// cost more than the calls themselves.
package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	readerBytes = 4 << 10
	// maxInterim is how many interim responses (status 1xx) may precede a response.
	maxInterim = 5
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// ErrNotOpenSince is the error of a call for which no idle connection was open at the required time.
// Nothing was sent.
var ErrNotOpenSince = errors.New("no idle connection was open at the required time")

type openSinceKey struct{}

// OpenSince returns a context for calls that must use a connection which was open at a time, so that
// they reach the process that the peer was then, or none: a process that starts again has new
// connections.
func OpenSince(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, openSinceKey{}, at)
}

type sentAtKey struct{}

// RecordSent returns a context for a call that records in at when its request began to be sent, on a connection
// that was open by then. It leaves at as it is if the request was not sent.
func RecordSent(ctx context.Context, at *time.Time) context.Context {
	return context.WithValue(ctx, sentAtKey{}, at)
}

// Pool is an http.RoundTripper that keeps idle connections for later calls. It never sends a request
// twice. Set the fields before the first call.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdlePerHost is how many idle connections are kept for each address, and IdleTimeout for how
	// long.
	MaxIdlePerHost int
	IdleTimeout    time.Duration
	// CheckAfter is how long a connection may be idle before it is checked that the peer has not
	// closed it.
	CheckAfter time.Duration
	// SilentAfter is how long a call has to last to speak against the idle connections to the same address, if
	// its time limit then ends it. 0: no call does.
	SilentAfter time.Duration
	// OnSilence, if set, is told of idle connections to an address that are given up, and of how long the call
	// lasted that speaks against them.
	OnSilence func(address string, connections int, lasted time.Duration)

	mu sync.Mutex
	// idle holds the connections by address, that used last at the end; nil until the first one is kept.
	idle map[string][]*connection
	// sweptAt is when connections that were idle for too long were last closed.
	sweptAt time.Time
}

var _ http.RoundTripper = (*Pool)(nil)

// connection is an open connection and its unread input.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	openedAt  time.Time
	idleSince time.Time
}

var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// RoundTrip makes one call. The connection is used again once the response's body has been read to
// its end; it is closed if the body is closed before or if the request's context ends. Nothing is sent if the
// context has ended.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	if cause := context.Cause(ctx); cause != nil {
		closeBody(request)
		return nil, cause
	}
	c, err := p.connection(ctx, request.URL.Host)
	if err != nil {
		closeBody(request)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(longAgo) })
	sent := time.Now()
	if at, ok := ctx.Value(sentAtKey{}).(*time.Time); ok {
		*at = sent
	}
	response, err := c.exchange(request)
	if err != nil {
		stop()
		c.Close()
		p.unanswered(ctx, request.URL.Host, sent)
		if cause := context.Cause(ctx); cause != nil {
			return nil, cause
		}
		return nil, fmt.Errorf("Pool.RoundTrip: %w", err)
	}
	response.Body = &body{ReadCloser: response.Body, pool: p, connection: c, host: request.URL.Host, stop: stop, ctx: ctx, sent: sent, keep: !response.Close && !request.Close}
	return response, nil
}

func closeBody(request *http.Request) {
	if request.Body != nil {
		request.Body.Close()
	}
}

// exchange sends a request and reads the response up to its body.
func (c *connection) exchange(request *http.Request) (*http.Response, error) {
	writer := writers.Get().(*bufio.Writer)
	defer writers.Put(writer)
	writer.Reset(c.Conn)
	if err := request.Write(writer); err != nil {
		return nil, err
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	for range maxInterim {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, fmt.Errorf("the peer sent more than %d interim responses", maxInterim)
}

// connection returns an idle connection, or opens one unless the context requires one that was open
// before; see OpenSince.
func (p *Pool) connection(ctx context.Context, host string) (*connection, error) {
	openAt, required := ctx.Value(openSinceKey{}).(time.Time)
	if !required {
		openAt = time.Now()
	}
	for c := p.takeIdle(host, openAt); c != nil; c = p.takeIdle(host, openAt) {
		if time.Since(c.idleSince) < p.CheckAfter || c.isOpen() {
			return c, nil
		}
		c.Close()
	}
	if required {
		return nil, ErrNotOpenSince
	}
	conn, err := p.Dial(ctx, "tcp", host)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readerBytes), openedAt: time.Now()}, nil
}

// takeIdle removes and returns the connection that was used last among those that were open at a
// time; nil if there is none.
func (p *Pool) takeIdle(host string, openAt time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	kept := p.idle[host]
	for i := len(kept) - 1; i >= 0; i-- {
		if c := kept[i]; !c.openedAt.After(openAt) {
			p.idle[host] = slices.Delete(kept, i, i+1)
			return c
		}
	}
	return nil
}

// put keeps a connection for later calls.
func (p *Pool) put(host string, c *connection) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[host]) >= p.MaxIdlePerHost {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*connection{}
	}
	p.idle[host] = append(p.idle[host], c)
}

// unanswered handles the end of a call without a whole answer. Connections may have gone silent, each without a
// sign until it is used: if the call's time limit ended it, the connections that have been idle since before
// it was sent are given up, so that they don't cost a call each. Those that have answered since are kept.
func (p *Pool) unanswered(ctx context.Context, host string, sent time.Time) {
	if p.SilentAfter <= 0 || time.Since(sent) < p.SilentAfter || ctx.Err() == nil || errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	if count := p.giveUp(host, sent); count > 0 && p.OnSilence != nil {
		p.OnSilence(host, count, time.Since(sent))
	}
}

// giveUp closes the connections to an address that have been idle since before a time, and returns how many.
func (p *Pool) giveUp(host string, before time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[host]
	if len(kept) == 0 {
		// The map is made when the first connection is kept.
		return 0
	}
	all := len(kept)
	kept = slices.DeleteFunc(kept, func(c *connection) bool {
		if !c.idleSince.Before(before) {
			return false
		}
		c.Close()
		return true
	})
	p.idle[host] = kept
	return all - len(kept)
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kept := range p.idle {
		for _, c := range kept {
			c.Close()
		}
	}
	clear(p.idle)
}

// sweep closes connections that were idle for longer than IdleTimeout. The caller holds mu.
func (p *Pool) sweep() {
	now := time.Now()
	if now.Sub(p.sweptAt) < p.IdleTimeout/2 {
		return
	}
	p.sweptAt = now
	for host, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if now.Sub(c.idleSince) < p.IdleTimeout {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		clear(all[len(kept):])
		if p.idle[host] = kept; len(kept) == 0 {
			delete(p.idle, host)
		}
	}
}

// isOpen reports whether an idle connection is still open and silent. It reads without waiting.
func (c *connection) isOpen() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return c.reader.Buffered() == 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	var one [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, readErr = syscall.Read(int(descriptor), one[:])
		return true
	})
	return err == nil && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
}

// body is the body of a response. It returns the connection to the pool at its end.
type body struct {
	io.ReadCloser
	pool       *Pool
	connection *connection
	host       string
	stop       func() bool
	ctx        context.Context
	// sent is when the request was sent.
	sent time.Time
	keep bool
	done bool
}

// Read reads from the body. An error other than io.EOF is the cause of the context's end, if it has
// ended.
func (b *body) Read(into []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	count, err := b.ReadCloser.Read(into)
	switch {
	case errors.Is(err, io.EOF):
		b.finish(b.keep)
	case err != nil:
		b.finish(false)
		b.pool.unanswered(b.ctx, b.host, b.sent)
		if cause := context.Cause(b.ctx); cause != nil {
			err = cause
		}
	}
	return count, err
}

// Close closes the connection unless the body has been read to its end.
func (b *body) Close() error {
	b.finish(b.keep && b.ReadCloser == http.NoBody)
	return nil
}

// finish gives the connection up, for later calls if keep is set.
func (b *body) finish(keep bool) {
	if b.done {
		return
	}
	b.done = true
	// If the context has ended, its deadline may still be set on the connection.
	if b.stop() && keep {
		b.pool.put(b.host, b.connection)
		return
	}
	b.connection.Close()
}

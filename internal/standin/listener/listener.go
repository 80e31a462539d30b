// Package listener accepts connections for a stand-in, bounds their number and
// can make the open ones silent for good.
package listener

import (
	"net"
	"sync"
)

// Listener wraps a listener. Set the fields before Accept.
type Listener struct {
	net.Listener
	// Limit is the number of connections that are served at once; 0 means no limit.
	Limit int

	mu   sync.Mutex
	open map[*conn]struct{}
	peak int
}

// Accept returns the next connection. One over the limit is closed at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if held, ok := l.admit(raw); ok {
			return held, nil
		}
		raw.Close()
	}
}

func (l *Listener) admit(raw net.Conn) (*conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*conn]struct{}{}
	}
	if l.Limit > 0 && len(l.open) >= l.Limit {
		return nil, false
	}
	held := &conn{Conn: raw, owner: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.open[held] = struct{}{}
	l.peak = max(l.peak, len(l.open))
	return held, true
}

// Silence stops every open connection from passing bytes; new ones work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for held := range l.open {
		close(held.silent)
		delete(l.open, held)
	}
}

// Counts returns the number of open connections and the largest number so far.
func (l *Listener) Counts() (open, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.peak
}

type conn struct {
	net.Conn
	owner  *Listener
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	return n, c.hold(err)
}

func (c *conn) Write(buffer []byte) (int, error) {
	if err := c.hold(nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// hold blocks on a silent connection until it is closed.
func (c *conn) hold(err error) error {
	select {
	case <-c.silent:
		<-c.closed
		return net.ErrClosed
	default:
		return err
	}
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.owner.mu.Lock()
		delete(c.owner.open, c)
		c.owner.mu.Unlock()
	})
	return c.Conn.Close()
}

// Package listener accepts connections for a stand-in, limits their number and can make the
// open ones silent: they stay open but pass no more bytes.
package listener

import (
	"net"
	"sync"
)

// Listener wraps a listener. Set the fields before Accept.
type Listener struct {
	net.Listener
	// MaxConnections is the maximum number of open connections; 0 means no limit.
	MaxConnections int

	mu   sync.Mutex
	open map[*conn]struct{}
	// peak is the largest number of open connections so far.
	peak int
}

// Accept returns the next connection. It closes connections above the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if wrapped, ok := l.admit(raw); ok {
			return wrapped, nil
		}
		raw.Close()
	}
}

// admit wraps and records a connection. It returns false if the limit is reached.
func (l *Listener) admit(raw net.Conn) (*conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*conn]struct{}{}
	}
	if l.MaxConnections > 0 && len(l.open) >= l.MaxConnections {
		return nil, false
	}
	wrapped := &conn{Conn: raw, owner: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.open[wrapped] = struct{}{}
	l.peak = max(l.peak, len(l.open))
	return wrapped, true
}

// Silence stops the open connections from passing bytes. Later ones are not affected.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for wrapped := range l.open {
		close(wrapped.silent)
		delete(l.open, wrapped)
	}
}

// ConnectionCounts returns the number of open connections and the largest number so far.
func (l *Listener) ConnectionCounts() (open, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.peak
}

// conn is a connection that can be silenced.
type conn struct {
	net.Conn
	owner  *Listener
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	return n, c.blockIfSilent(err)
}

func (c *conn) Write(buffer []byte) (int, error) {
	if err := c.blockIfSilent(nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// blockIfSilent returns err, or blocks until the connection is closed if it is silent.
func (c *conn) blockIfSilent(err error) error {
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

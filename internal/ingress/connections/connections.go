// Package connections bounds the open connections of a listener. When the limit is reached, it closes the
// connection that is of least use to make room for a new one.
package connections

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// slowAfter is how long a request may take to arrive before its connection is closed ahead of idle ones.
const slowAfter = time.Second

// lingerTime is how long a connection that got a refusal stays open for its peer to read it.
const lingerTime = 500 * time.Millisecond

// Connections bounds the open connections of a listener and the time for writing to them. Set the
// exported fields before Listen.
type Connections struct {
	Max int
	// WriteTimeout and BytesPerSecond bound a write: the time and the time that its bytes take.
	WriteTimeout   time.Duration
	BytesPerSecond int64
	// Closed is called with the state of a connection that the limit has closed, or "working" for a new
	// one that was not admitted because all others are being served, and "stuck" for one whose client does
	// not take its response.
	Closed func(state string)

	mu    sync.Mutex
	count int
	// byState holds the connections of each state, those that have been in it the longest first.
	byState [states]list.List
}

// state is what a connection waits for.
type state int

const (
	// silent connections have not sent a whole header since they were accepted.
	silent state = iota
	// receiving connections are sending the body of a request.
	receiving
	// working connections have a request that is being served.
	working
	// responding connections have a response that is being written.
	responding
	idle
	// ending connections get a refusal and are closed after it.
	ending
	states
)

var stateNames = [states]string{"silent", "receiving", "working", "responding", "idle", "ending"}

// conn is an accepted connection. The owner's mutex guards the fields below owner.
type conn struct {
	net.Conn
	owner   *Connections
	element *list.Element
	state   state
	since   time.Time
	closed  bool
	// lingers is set while the sending side alone is closed.
	lingers bool
}

// Listen returns a listener that applies the limit to the connections of another one.
func (c *Connections) Listen(from net.Listener) net.Listener {
	return &listener{Listener: from, connections: c}
}

type listener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.connections.admit(raw); admitted != nil {
			return admitted, nil
		}
		raw.Close()
	}
}

// admit counts a new connection, and closes another one if the limit is reached. It returns nil if there
// is none that may be closed.
func (c *Connections) admit(raw net.Conn) net.Conn {
	c.mu.Lock()
	var victim *conn
	if c.count >= c.Max {
		if victim = c.victim(time.Now()); victim == nil {
			c.mu.Unlock()
			c.Closed(stateNames[working])
			return nil
		}
		c.remove(victim)
	}
	admitted := &conn{Conn: raw, owner: c}
	c.count++
	c.put(admitted, silent)
	c.mu.Unlock()
	if victim != nil {
		c.Closed(stateNames[victim.state])
		victim.abort()
	}
	return admitted
}

// victim returns the connection to close first: one that has got its refusal, one that has sent nothing,
// one whose client is slow to send its body or to take its response, an idle one, or one whose body is
// arriving; of a state, that which has been in it the longest. It returns nil if all are being served.
func (c *Connections) victim(now time.Time) *conn {
	first := func(s state) *conn {
		if front := c.byState[s].Front(); front != nil {
			return front.Value.(*conn)
		}
		return nil
	}
	for _, s := range []state{ending, silent} {
		if found := first(s); found != nil {
			return found
		}
	}
	for _, s := range []state{receiving, responding} {
		if found := first(s); found != nil && now.Sub(found.since) >= slowAfter {
			return found
		}
	}
	if found := first(idle); found != nil {
		return found
	}
	return first(receiving)
}

// put moves a connection to the end of a state's list.
func (c *Connections) put(moved *conn, to state) {
	if moved.element != nil {
		c.byState[moved.state].Remove(moved.element)
	}
	moved.state, moved.since = to, time.Now()
	moved.element = c.byState[to].PushBack(moved)
}

func (c *Connections) remove(ended *conn) {
	if ended.closed {
		return
	}
	ended.closed = true
	c.byState[ended.state].Remove(ended.element)
	c.count--
}

// move changes the state of a connection that is open and not about to be closed.
func (c *Connections) move(connection net.Conn, to state) {
	moved, ok := connection.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !moved.closed && moved.state != ending {
		c.put(moved, to)
	}
}

// Track takes over the states of a server's connections; set it as http.Server.ConnState.
func (c *Connections) Track(connection net.Conn, to http.ConnState) {
	switch to {
	case http.StateActive:
		c.move(connection, working)
	case http.StateIdle:
		c.move(connection, idle)
	}
}

// Receiving records that the body of a request is about to be read, Received that it has been read, and
// Refused that it is not going to be.
func (c *Connections) Receiving(connection net.Conn) { c.move(connection, receiving) }

// Received records that the body of a request has been read.
func (c *Connections) Received(connection net.Conn) { c.move(connection, working) }

// Refused records that a request was refused and that its connection is closed after the response.
func (c *Connections) Refused(connection net.Conn) { c.move(connection, ending) }

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Write implements net.Conn. It fails if the peer does not take the bytes in time.
func (c *conn) Write(text []byte) (int, error) {
	c.owner.move(c, responding)
	wait := c.owner.WriteTimeout + time.Duration(float64(len(text))/float64(c.owner.BytesPerSecond)*float64(time.Second))
	if err := c.SetWriteDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	count, err := c.Conn.Write(text)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.owner.Closed("stuck")
	}
	return count, err
}

// CloseWrite closes the sending side, as net/http does before it closes a connection whose request it has
// not read to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. After a refusal, the sending side is closed first and the rest later: the
// kernel discards a response whose peer still sends when the connection is closed.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	linger := c.state == ending && !c.closed && !c.lingers
	c.lingers = c.lingers || linger
	if !linger {
		c.owner.remove(c)
	}
	c.owner.mu.Unlock()
	if linger {
		time.AfterFunc(lingerTime, func() { _ = c.Close() })
		return c.CloseWrite()
	}
	return c.Conn.Close()
}

// abort closes the connection. What its peer has not taken is discarded, unless it has got an answer.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.state != ending && c.state != idle {
		_ = tcp.SetLinger(0)
	}
	c.Conn.Close()
}

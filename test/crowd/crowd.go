// Package crowd runs entry hosts as processes on loopback addresses and sends them what many clients
// send that hold a host's resources: large bodies, bodies that do not end, idle connections and
// responses that are not read.
package crowd

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// stuckAfter is the time after which a client gives up a write that the host does not take, or a
// response that does not come.
const stuckAfter = 10 * time.Second

// Crowd is a number of clients that hold their connections open until Close. Set the exported fields
// before Send.
type Crowd struct {
	Address netip.AddrPort
	// Path is the target of the requests, and Header the lines that each of them carries besides Host.
	Path, Header string
	// Observe is called by each client after it has sent what it sends.
	Observe func()

	mu   sync.Mutex
	open []net.Conn
}

// Behaviour is what one client does on its connection. Ready reports that the client has come to its
// last step, and returns when all clients of the group have, or have ended.
type Behaviour func(c *Crowd, conn net.Conn, ready func())

// Send runs a number of clients of each behaviour and returns when they all have sent what they send.
// Clients whose connections the host refuses or closes end early.
func (c *Crowd) Send(clients int, behaviours ...Behaviour) {
	var group, steps sync.WaitGroup
	steps.Add(clients * len(behaviours))
	for _, behaviour := range behaviours {
		for range clients {
			group.Go(func() {
				done := sync.OnceFunc(steps.Done)
				defer done()
				conn, err := net.DialTimeout("tcp", c.Address.String(), stuckAfter)
				if err != nil {
					return
				}
				c.mu.Lock()
				c.open = append(c.open, conn)
				c.mu.Unlock()
				behaviour(c, conn, func() { done(); steps.Wait() })
				c.Observe()
			})
		}
	}
	group.Wait()
	settle(c.Address.Port())
	c.Observe()
}

// Close closes the connections of all clients.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		conn.Close()
	}
	c.open = nil
}

// write writes text and reports whether the host took it.
func write(conn net.Conn, text []byte) bool {
	if err := conn.SetWriteDeadline(time.Now().Add(stuckAfter)); err != nil {
		return false
	}
	_, err := conn.Write(text)
	return err == nil
}

// head returns the head of a POST request, with the header line that tells how its body ends.
func (c *Crowd) head(line string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: jobs.example\r\n%s%s\r\n\r\n", c.Path, c.Header, line)
}

// Whole sends a body up to its last byte and waits until all clients have done so. Then it sends the
// last byte and reads the response.
func Whole(body []byte) Behaviour {
	return func(c *Crowd, conn net.Conn, ready func()) {
		sent := write(conn, c.head(fmt.Sprintf("Content-Length: %d", len(body)))) && write(conn, body[:len(body)-1])
		ready()
		if sent && write(conn, body[len(body)-1:]) && conn.SetReadDeadline(time.Now().Add(stuckAfter)) == nil {
			_, _ = conn.Read(make([]byte, 1))
		}
	}
}

// Short sends a body in a number of pieces, without its last byte.
func Short(body []byte, pieces int) Behaviour {
	return func(c *Crowd, conn net.Conn, ready func()) {
		defer ready()
		sent := write(conn, c.head(fmt.Sprintf("Content-Length: %d", len(body))))
		for piece := range pieces {
			from, to := piece*(len(body)-1)/pieces, (piece+1)*(len(body)-1)/pieces
			sent = sent && write(conn, body[from:to])
		}
	}
}

// Chunked sends a body in chunks of some bytes, without the chunk that ends it.
func Chunked(body []byte, size int) Behaviour {
	var text bytes.Buffer
	for rest := body; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", min(size, len(rest)), rest[:min(size, len(rest))])
	}
	return func(c *Crowd, conn net.Conn, ready func()) {
		defer ready()
		if write(conn, c.head("Transfer-Encoding: chunked")) {
			write(conn, text.Bytes())
		}
	}
}

// Silent sends nothing.
func Silent(_ *Crowd, _ net.Conn, ready func()) { ready() }

// Unread sends many small requests and does not read the responses.
func Unread(requests int) Behaviour {
	return func(c *Crowd, conn net.Conn, ready func()) {
		defer ready()
		one := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: jobs.example\r\n%s\r\n", c.Path, c.Header)
		write(conn, []byte(strings.Repeat(one, requests)))
	}
}

// Padded returns a JSON object of a size: the members, and one that holds what is left.
func Padded(members string, size int) []byte {
	empty := fmt.Sprintf(`{%s,"Padding":""}`, members)
	return fmt.Appendf(nil, `{%s,"Padding":"%s"}`, members, strings.Repeat("x", size-len(empty)))
}

// Repeated returns a JSON object of a size: the members, and an array of empty objects under a name.
func Repeated(members, name string, size int) []byte {
	empty := fmt.Sprintf(`{%s,"%s":[{}]}`, members, name)
	return fmt.Appendf(nil, `{%s,"%s":[{}%s]}`, members, name, strings.Repeat(",{}", (size-len(empty))/3))
}

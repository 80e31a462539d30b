package transport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/transport"
)

// scripted is a peer whose connections answer as serve says, and healthy ones after it has recovered. Connections
// are in memory; serve returns when the connection is to be closed.
type scripted struct {
	serve func(there net.Conn, reader *bufio.Reader)
	// closes has healthy connections closed after each answer.
	closes    bool
	recovered atomic.Bool
	group     sync.WaitGroup
}

func (s *scripted) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	s.group.Go(func() {
		defer there.Close()
		reader := bufio.NewReader(there)
		if !s.recovered.Load() {
			s.serve(there, reader)
			return
		}
		for readRequest(reader) == nil {
			header := ""
			if s.closes {
				header = "Connection: close\r\n"
			}
			_, _ = io.WriteString(there, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 2\r\n\r\nok")
			if s.closes {
				return
			}
		}
	})
	return here, nil
}

// drain reads until the other side closes the connection.
func drain(_ net.Conn, reader *bufio.Reader) { _, _ = io.Copy(io.Discard, reader) }

// sends returns a peer's behaviour: after a request it sends a text, and then nothing or the connection's end.
func sends(text string, ends bool) func(net.Conn, *bufio.Reader) {
	return func(there net.Conn, reader *bufio.Reader) {
		if readRequest(reader) != nil {
			return
		}
		_, _ = io.WriteString(there, text)
		if !ends {
			drain(there, reader)
		}
	}
}

var unhealthy = map[string]func(net.Conn, *bufio.Reader){
	"takes connections and says nothing": drain,
	"resets":                             func(net.Conn, *bufio.Reader) {},
	"closes after the request":           sends("", true),
	"answers half a header":              sends("HTTP/1.1 200 OK\r\nContent-Le", false),
	"ends in a header":                   sends("HTTP/1.1 200 OK\r\nContent-Le", true),
	"answers half a body":                sends("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false),
	"ends in a body":                     sends("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true),
	"stalls in chunks":                   sends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false),
	"sends only interim responses":       sends("HTTP/1.1 100 Continue\r\n\r\n", false),
	"is not HTTP":                        sends("220 ready\r\n", false),
}

// Guards against: a process never works, or ends, because its first calls to a peer get no answer, or because the
// peer keeps no connection open: what a pool keeps must not depend on an answer that came before.
func TestPoolOutlivesAPeerInTrouble(t *testing.T) {
	for name, serve := range unhealthy {
		for state, c := range map[string]struct{ before, closes, expires bool }{
			"the first call":                            {},
			"after an answer":                           {before: true},
			"after an answer, connections never kept":   {before: true, closes: true},
			"after an answer whose connection expired":  {before: true, expires: true},
			"the first call, connections not kept then": {closes: true},
		} {
			t.Run(name+", "+state, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					peer := &scripted{serve: serve, closes: c.closes}
					pool := &transport.Pool{Dial: peer.dial, MaxIdlePerHost: 2, IdleTimeout: time.Minute, SilentAfter: 250 * time.Millisecond}
					defer func() { pool.CloseIdle(); peer.group.Wait() }()
					client := &http.Client{Transport: pool}
					call := func() int {
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						defer cancel()
						return callAll(ctx, client, 3)
					}
					peer.recovered.Store(c.before)
					if c.before && call() != 3 {
						t.Fatal("have no answers before the trouble")
					}
					if c.expires {
						time.Sleep(2 * time.Minute)
					} else {
						// Connections that are kept are those of a healthy peer.
						pool.CloseIdle()
					}
					peer.recovered.Store(false)
					if answered := call(); answered != 0 {
						t.Errorf("have %d calls answered in the trouble, want none", answered)
					}
					peer.recovered.Store(true)
					if answered := call(); answered != 3 {
						t.Errorf("have %d of 3 calls answered after the trouble", answered)
					}
				})
			})
		}
	}
}

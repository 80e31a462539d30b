package transport_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/transport"
)

func newClient() *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &transport.Pool{Dial: dialer.DialContext, MaxIdlePerHost: 2, IdleTimeout: time.Minute}}
}

// post makes one call and returns the response's body.
func post(t *testing.T, client *http.Client, url string) (string, error) {
	t.Helper()
	response, err := client.Post(url, "text/plain", strings.NewReader("question"))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func TestCallsShareAConnection(t *testing.T) {
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		w.Write([]byte(r.Host + " " + string(text)))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := newClient()
	for range 10 {
		if have, err := post(t, client, server.URL); err != nil || !strings.HasSuffix(have, " question") {
			t.Errorf("have %q, %v, want the question", have, err)
		}
	}
	if have := connections.Load(); have != 1 {
		t.Errorf("have %d connections for 10 calls, want 1", have)
	}
}

// peer accepts connections and passes each with its number to serve.
func peer(t *testing.T, serve func(number int, conn net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(number, conn)
		}
	}()
	return "http://" + listener.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(reader *bufio.Reader) error {
	request, err := http.ReadRequest(reader)
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	return err
}

// Guards against: work that ran is run again, because a request whose answer was lost is sent twice.
func TestRequestWhoseAnswerIsLostIsNotSentAgain(t *testing.T) {
	var requests atomic.Int32
	url := peer(t, func(_ int, conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for first := true; readRequest(reader) == nil; first = false {
			requests.Add(1)
			if !first {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	client := newClient()
	if have, err := post(t, client, url); have != "ok" || err != nil {
		t.Fatalf("first call: have %q, %v, want ok", have, err)
	}
	if have, err := post(t, client, url); err == nil {
		t.Errorf("call whose answer was lost: have %q, want an error", have)
	}
	if have := requests.Load(); have != 2 {
		t.Errorf("the peer received %d requests, want 2", have)
	}
}

// Guards against: answers are mixed up after one that was cut short or not read to its end.
func TestConnectionOfAnUnfinishedAnswerIsNotUsedAgain(t *testing.T) {
	url := peer(t, func(number int, conn net.Conn) {
		defer conn.Close()
		if readRequest(bufio.NewReader(conn)) != nil {
			return
		}
		if number == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort")
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	client := newClient()
	if have, err := post(t, client, url); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("call with a short answer: have %q, %v, want io.ErrUnexpectedEOF", have, err)
	}
	if have, err := post(t, client, url); have != "ok" || err != nil {
		t.Errorf("next call: have %q, %v, want ok", have, err)
	}
}

// Guards against: a call to a silent peer goes on after its caller has given up.
func TestCallEndsWithItsContext(t *testing.T) {
	received := make(chan struct{})
	url := peer(t, func(_ int, conn net.Conn) {
		if readRequest(bufio.NewReader(conn)) == nil {
			close(received)
		}
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	cause := errors.New("given up")
	go func() { <-received; cancel(cause) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := newClient().Do(request); !errors.Is(err, cause) {
		t.Errorf("Do: have %v, want %v", err, cause)
	}
}

// Guards against: an order fails because its peer has closed the idle connection before.
func TestConnectionThatThePeerHasClosedIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	url := peer(t, func(number int, conn net.Conn) {
		defer conn.Close()
		if readRequest(bufio.NewReader(conn)) != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if number == 0 {
			conn.Close()
			close(closed)
		}
	})
	pool := &transport.Pool{Dial: (&net.Dialer{}).DialContext, MaxIdlePerHost: 2, IdleTimeout: time.Minute, CheckAfter: time.Nanosecond}
	client := &http.Client{Transport: pool}
	for i := range 2 {
		if have, err := post(t, client, url); have != "ok" || err != nil {
			t.Errorf("call %d: have %q, %v, want ok", i, have, err)
		}
		<-closed
	}
}

func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) }))
	defer server.Close()
	dialer := &net.Dialer{}
	for name, transport := range map[string]http.RoundTripper{
		"pool":    &transport.Pool{Dial: dialer.DialContext, MaxIdlePerHost: 2, IdleTimeout: time.Minute},
		"netHTTP": &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
	} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: transport}
			for b.Loop() {
				response, err := client.Post(server.URL, "text/plain", strings.NewReader("question"))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		})
	}
}

// Guards against numbers that reach another process than they are meant for: a call that requires a
// connection which was open at a time does not open one, and sends nothing.
func TestCallThatRequiresAnOpenConnection(t *testing.T) {
	calls := atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	client := newClient()
	get := func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Join(err, response.Body.Close())
	}
	before := time.Now()
	if err := get(transport.OpenSince(t.Context(), before)); !errors.Is(err, transport.ErrNotOpenSince) {
		t.Errorf("without a connection: have %v, want %v", err, transport.ErrNotOpenSince)
	}
	if err := get(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := get(transport.OpenSince(t.Context(), before)); !errors.Is(err, transport.ErrNotOpenSince) {
		t.Errorf("with a connection that was opened later: have %v, want %v", err, transport.ErrNotOpenSince)
	}
	if err := get(transport.OpenSince(t.Context(), time.Now())); err != nil {
		t.Errorf("with an open connection: have %v, want no error", err)
	}
	if have := calls.Load(); have != 2 {
		t.Errorf("have %d calls at the server, want 2", have)
	}
}

// pipes dials in-memory connections to a peer that answers each request after a millisecond, but for the connections that were open
// when it was silenced.
type pipes struct {
	mu      sync.Mutex
	open    []*atomic.Bool
	dialled int
	// last is the connection that answered last.
	last *atomic.Bool
}

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	silent := &atomic.Bool{}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open, p.dialled = append(p.open, silent), p.dialled+1
	go func() {
		defer there.Close()
		for reader := bufio.NewReader(there); readRequest(reader) == nil; {
			time.Sleep(time.Millisecond)
			if !silent.Load() {
				p.mu.Lock()
				p.last = silent
				p.mu.Unlock()
				_, _ = io.WriteString(there, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}()
	return here, nil
}

func (p *pipes) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.open {
		silent.Store(true)
	}
}

// callAll makes calls at once, so that each has a connection of its own, and returns how many were answered.
func callAll(ctx context.Context, client *http.Client, count int) int {
	answers := make(chan bool, count)
	for range count {
		go func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://192.0.2.1:80", nil)
			if err == nil {
				var response *http.Response
				if response, err = client.Do(request); err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
			}
			answers <- err == nil
		}()
	}
	answered := 0
	for range count {
		if <-answers {
			answered++
		}
	}
	return answered
}

// Guards against: after the open connections to a peer went silent, each of them costs a call of its own its
// answer, although new connections work.
func TestOneUnansweredCallGivesUpTheConnectionsThatWereIdle(t *testing.T) {
	const idle = 6
	for name, c := range map[string]struct {
		// limit is how long the first call after the silence waits, and gives says that its caller gives it up then.
		limit       time.Duration
		gives       bool
		wantDialled int
	}{
		"unanswered":                  {time.Second, false, idle + 1},
		"given up by its caller":      {time.Second, true, idle},
		"with little time for answer": {10 * time.Millisecond, false, idle},
	} {
		synctest.Test(t, func(t *testing.T) {
			peer := &pipes{}
			pool := &transport.Pool{Dial: peer.dial, MaxIdlePerHost: idle, IdleTimeout: time.Minute, SilentAfter: 250 * time.Millisecond}
			client := &http.Client{Transport: pool}
			if answered := callAll(t.Context(), client, idle); answered != idle {
				t.Fatalf("%s: have %d calls answered, want %d", name, answered, idle)
			}
			time.Sleep(time.Second)
			peer.silence()
			ctx, cancel := context.WithTimeout(t.Context(), c.limit)
			if c.gives {
				ctx, cancel = context.WithCancel(t.Context())
				time.AfterFunc(c.limit, cancel)
			}
			defer cancel()
			callAll(ctx, client, 1)
			nextCtx, cancelNext := context.WithTimeout(t.Context(), time.Second)
			defer cancelNext()
			answered := callAll(nextCtx, client, 1)
			if want := c.wantDialled - idle; answered != want || peer.dialled != c.wantDialled {
				t.Errorf("%s: have %d of 1 next calls answered and %d connections, want %d and %d", name, answered, peer.dialled, want, c.wantDialled)
			}
			pool.CloseIdle()
		})
	}
}

// Guards against: connections that have answered meanwhile are given up for a call that is slow alone.
func TestConnectionsThatAnswerAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &pipes{}
		pool := &transport.Pool{Dial: peer.dial, MaxIdlePerHost: 4, IdleTimeout: time.Minute, SilentAfter: 250 * time.Millisecond}
		client := &http.Client{Transport: pool}
		callAll(t.Context(), client, 2)
		callAll(t.Context(), client, 1)
		peer.last.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ended := make(chan int, 1)
		go func() { ended <- callAll(ctx, client, 1) }()
		time.Sleep(500 * time.Millisecond)
		callAll(t.Context(), client, 1)
		if answered := <-ended; answered != 0 {
			t.Fatalf("have %d calls answered on a silent connection", answered)
		}
		if answered := callAll(t.Context(), client, 1); answered != 1 || peer.dialled != 2 {
			t.Errorf("have %d calls answered and %d connections, want 1 on the other open one of 2", answered, peer.dialled)
		}
		pool.CloseIdle()
	})
}

// Guards against: work that a former planner's goroutine starts on an idle connection after its term has ended.
func TestCallWhoseContextHasEndedSendsNothing(t *testing.T) {
	calls := atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	client := newClient()
	if _, err := post(t, client, server.URL); err != nil {
		t.Fatal(err)
	}
	cause := errors.New("the term has ended")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(cause)
	for range 100 {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("question"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Do(request); !errors.Is(err, cause) {
			t.Fatalf("Do: have %v, want %v", err, cause)
		}
	}
	if have := calls.Load(); have != 1 {
		t.Errorf("have %d calls at the server, want 1", have)
	}
}

package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
)

const bodyLimit = 64 << 10

// stop holds, by the address of a server, the function that ends its calls.
var stop = map[string]context.CancelFunc{}

// serve starts a server with limits on a loopback address that answers a POST with its body.
func serve(t *testing.T, limits ingress.Limits) (address string, registry metrics.Registry) {
	registry = metrics.NewRegistry()
	bounds := &ingress.Ingress{Name: "l", Limits: limits, Metrics: registry, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	listener, err := bounds.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := bounds.Server(bounds.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	}), func(*http.Request) int64 { return bodyLimit }, nil, func(w http.ResponseWriter, _ *http.Request, err error) {
		w.WriteHeader(errkind.Status(err))
	}))
	ctx, cancel := context.WithCancel(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	stop[listener.Addr().String()] = cancel
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String(), registry
}

func limits() ingress.Limits {
	return ingress.Limits{MaxConnections: 20, BodyMemory: 1 << 20, BytesPerSecond: 1 << 20, BodyGrace: time.Hour, WriteTimeout: time.Hour}
}

// send opens a connection, sends text and returns the connection.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status returns the status of the response on a connection, and its error if there is none.
func status(conn net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// Guards against: a body of the largest length is not served, however it is framed, or a longer one is.
func TestBodiesUpToTheLimitAreServed(t *testing.T) {
	address, _ := serve(t, limits())
	for _, length := range []int{0, 1, 4095, 4096, 4097, bodyLimit - 1, bodyLimit, bodyLimit + 1, 3 * bodyLimit} {
		want := http.StatusOK
		if length > bodyLimit {
			want = http.StatusInternalServerError
		}
		body := strings.Repeat("x", length)
		for name, reader := range map[string]io.Reader{"declared": strings.NewReader(body), "chunked": io.MultiReader(strings.NewReader(body))} {
			response, err := http.Post("http://"+address, "text/plain", reader)
			if err != nil {
				t.Errorf("%s body of %d bytes: have %v, want status %d", name, length, err, want)
				continue
			}
			text, err := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode != want || (want == http.StatusOK && (string(text) != body || err != nil)) {
				t.Errorf("%s body of %d bytes: have status %d and %d bytes, want status %d", name, length, response.StatusCode, len(text), want)
			}
		}
	}
}

// Guards against: a large body that finds no memory is read or waited for, or keeps small ones out.
func TestBodyThatDoesNotFitIsRefusedUnread(t *testing.T) {
	tight := limits()
	tight.BodyMemory = 3 * bodyLimit
	address, _ := serve(t, tight)
	// The host asks for the body when it has reserved the memory.
	first := send(t, address, strings.Replace(post(bodyLimit, ""), "Host", "Expect: 100-continue\r\nHost", 1))
	if have, err := status(first); have != http.StatusContinue {
		t.Fatalf("the first large body: have status %d, %v, want 100", have, err)
	}
	second := send(t, address, post(bodyLimit, ""))
	if have, err := status(second); have != http.StatusServiceUnavailable {
		t.Errorf("a second large body: have status %d, %v, want 503", have, err)
	}
	if _, err := second.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection of the refused body: have %v, want it closed", err)
	}
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 10000)
	if have, err := status(send(t, address, chunked)); have != http.StatusServiceUnavailable {
		t.Errorf("a body in chunks that grows large: have status %d, %v, want 503", have, err)
	}
	if have, err := status(send(t, address, post(1, "x"))); have != http.StatusOK {
		t.Errorf("a small body: have status %d, %v, want 200", have, err)
	}
	if _, err := io.WriteString(first, strings.Repeat("x", bodyLimit)); err != nil {
		t.Fatal(err)
	}
	if have, err := status(first); have != http.StatusOK {
		t.Errorf("the first large body: have status %d, %v, want 200", have, err)
	}
}

// Guards against: a body that stops short of its end, whole or in chunks, is waited for without an end; a
// client that takes no response holds its connection for good.
func TestSlowClientsAreEnded(t *testing.T) {
	short := limits()
	short.BodyGrace, short.WriteTimeout = 50*time.Millisecond, 50*time.Millisecond
	address, _ := serve(t, short)
	for name, text := range map[string]string{
		"declared": post(100, "x"), "chunked": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
	} {
		if have, err := status(send(t, address, text)); have != http.StatusServiceUnavailable {
			t.Errorf("a %s body without its end: have status %d, %v, want 503", name, have, err)
		}
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request := post(bodyLimit, strings.Repeat("x", bodyLimit))
	for err == nil {
		_, err = io.WriteString(conn, request)
	}
	if errors.Is(err, net.ErrClosed) {
		t.Errorf("a client that reads no response: have %v, want the host to close the connection", err)
	}
}

// Guards against: a body without its end holds up a stop of the host.
func TestStopEndsTheWaitForABody(t *testing.T) {
	address, _ := serve(t, limits())
	conn := send(t, address, strings.Replace(post(bodyLimit, ""), "Host", "Expect: 100-continue\r\nHost", 1))
	if have, err := status(conn); have != http.StatusContinue {
		t.Fatalf("before the stop: have status %d, %v, want 100", have, err)
	}
	stop[address]()
	if have, err := status(conn); have != http.StatusServiceUnavailable {
		t.Errorf("after the stop: have status %d, %v, want 503", have, err)
	}
}

// Guards against: connections beyond the limit are held, or those that wait for nothing keep others out.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	address, registry := serve(t, limits())
	for range 100 {
		send(t, address, "")
	}
	idle := send(t, address, post(1, "x"))
	if have, err := status(idle); have != http.StatusOK {
		t.Fatalf("a request among silent connections: have status %d, %v, want 200", have, err)
	}
	for range 100 {
		send(t, address, "")
	}
	if have, err := status(send(t, address, post(1, "x"))); have != http.StatusOK {
		t.Errorf("a request after more silent connections: have status %d, %v, want 200", have, err)
	}
	if _, err := io.WriteString(idle, post(1, "x")); err != nil {
		t.Fatal(err)
	}
	if have, err := status(idle); have != http.StatusOK {
		t.Errorf("a kept connection among silent ones: have status %d, %v, want 200", have, err)
	}
	if open := registry.Get("ingress.l.connections").(metrics.Gauge).Value(); open > 20 {
		t.Errorf("have %d open connections, want at most 20", open)
	}
}

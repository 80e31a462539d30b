package ingress_test

import (
	"context"
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

// Guards against: a stop waits for a body without its end, or cuts off a request whose body has arrived.
func TestStopBodies(t *testing.T) {
	bounds := &ingress.Ingress{Name: "l", Limits: limits(), Metrics: metrics.NewRegistry(), Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	listener, err := bounds.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entered, wait := make(chan struct{}), make(chan struct{})
	server := bounds.Server(bounds.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-wait
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusTeapot)
		}
	}), func(*http.Request) int64 { return bodyLimit }, nil, func(w http.ResponseWriter, _ *http.Request, err error) {
		w.WriteHeader(errkind.Status(err))
	}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	address := listener.Addr().String()
	whole := send(t, address, post(1, "x"))
	<-entered
	partial := send(t, address, strings.Replace(post(bodyLimit, ""), "Host", "Expect: 100-continue\r\nHost", 1))
	if have, err := status(partial); have != http.StatusContinue {
		t.Fatalf("before the stop: have status %d, %v, want 100", have, err)
	}
	bounds.StopBodies()
	if have, err := status(partial); have != http.StatusServiceUnavailable {
		t.Errorf("a body without its end: have status %d, %v, want 503", have, err)
	}
	close(wait)
	if have, err := status(whole); have != http.StatusOK {
		t.Errorf("a request that was read whole: have status %d, %v, want 200", have, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// Guards against: clients that disconnect while they send count as refused for the time of their bodies.
func TestDisconnectedClientsAreNotCounted(t *testing.T) {
	address, registry := serve(t, limits())
	conn := send(t, address, post(100, "x"))
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if have, err := status(conn); have != http.StatusServiceUnavailable {
		t.Errorf("have status %d, %v, want 503", have, err)
	}
	if counted := metrics.GetOrRegisterCounter("ingress.l.refused.bodyTime", registry).Count(); counted != 0 {
		t.Errorf("refused.bodyTime: have %d, want 0", counted)
	}
	stop[address]()
}

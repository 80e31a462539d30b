package ingress_test

import (
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

// Guards against: clients whose requests wait take all memory for small bodies, so that the calls of others, also
// those of other hosts and of operators, are refused.
func TestSmallBodiesOfOthersAreAdmitted(t *testing.T) {
	set := limits()
	set.MaxConnections, set.BodyMemory = 2816, 7<<20
	wait, entered := make(chan struct{}), make(chan struct{}, 1000)
	bounds := &ingress.Ingress{
		Name: "l", Limits: set, Inner: func(r *http.Request) bool { return r.URL.Path == "/inner" },
		Metrics: metrics.NewRegistry(), Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	listener, err := bounds.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := bounds.Server(bounds.Wrap(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		if r.URL.Path == "/wait" {
			<-wait
		}
	}), func(*http.Request) int64 { return 1 << 20 }, nil, func(w http.ResponseWriter, _ *http.Request, err error) {
		entered <- struct{}{}
		w.WriteHeader(errkind.Status(err))
	}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { close(wait); server.Close() })
	from := func(host byte, text string) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, host)}, Timeout: time.Second}
		conn, err := dialer.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	// fill sends smaller and smaller bodies, whose requests wait, until none fits.
	fill := func(host byte) {
		for size, count := 8192, 450; size > 0; size, count = size/2, 3 {
			for range count {
				from(host, strings.Replace(post(size, strings.Repeat("x", size)), "/", "/wait", 1))
				<-entered
			}
		}
	}
	fill(1)
	if have, err := status(from(2, post(1, "x"))); have != http.StatusOK {
		t.Errorf("a body of one byte of another client: have status %d, %v, want 200", have, err)
	}
	<-entered
	fill(2)
	if have, err := status(from(3, strings.Replace(post(1, "x"), "/", "/inner", 1))); have != http.StatusOK {
		t.Errorf("a call of another host: have status %d, %v, want 200", have, err)
	}
}

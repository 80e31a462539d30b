package entry_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/entry"
	"github.com/eelgrasstide/eelgrasstide/internal/roster"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
)

// A call that waits for a store that does not answer must get its own answer before a
// graceful stop closes its connection.
func TestStopAnswersCallsThatWait(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	received := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	store := &batchstore.Store{}
	store.SetDown(true)
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	e := &entry.Entry{
		Settings: entry.Settings{Name: "h", MaxTaskLease: time.Second, StopGrace: time.Second, Retention: time.Minute},
		Store:    store, Roster: &roster.Roster{Store: store, Name: "h", Log: logger}, Registry: metrics.NewRegistry(), Log: logger,
		Callers: entry.Listener{Address: address, Handler: handler},
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	answered := make(chan error, 1)
	go func() {
		for {
			response, err := http.Get("http://" + address.String() + "/")
			if err == nil {
				response.Body.Close()
			}
			select {
			case <-received:
				answered <- err
				return
			default:
			}
		}
	}()
	<-received
	stop()
	if err := <-ended; err != nil {
		t.Errorf("Run: have %v, want no error", err)
	}
	select {
	case err := <-answered:
		if err != nil {
			t.Errorf("call in flight at the stop: have %v, want an answer", err)
		}
	case <-time.After(time.Second):
		t.Error("call in flight at the stop: have no answer within 1s of the stop, want one")
	}
}

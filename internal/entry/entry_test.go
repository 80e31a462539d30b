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

// A call that waits for a store which does not answer gets an answer before a planned stop
// closes its connection.
func TestStopAnswersCallsThatWait(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	begun := make(chan struct{})
	waits := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	store := &batchstore.Store{}
	store.SetDown(true)
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	e := &entry.Entry{
		Settings: entry.Settings{Name: "h", MaxTaskLease: time.Second, StopGrace: time.Second, Retention: time.Minute},
		Store:    store, Roster: &roster.Roster{Store: store, Name: "h", Log: quiet}, Registry: metrics.NewRegistry(), Log: quiet,
		Callers: entry.Listener{Address: address, Handler: waits},
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
			case <-begun:
				answered <- err
				return
			default:
			}
		}
	}()
	<-begun
	stop()
	if err := <-ended; err != nil {
		t.Errorf("Run: %v", err)
	}
	select {
	case err := <-answered:
		if err != nil {
			t.Errorf("the call that waited: have %v, want an answer", err)
		}
	case <-time.After(time.Second):
		t.Error("the call that waited was not answered before the host had stopped")
	}
}

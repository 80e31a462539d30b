package roster_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/eelgrasstide/eelgrasstide/internal/roster"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
)

// A host whose first write is carried out late, under a lease that it no longer renews, must not
// stay missing from the list of hosts when that lease ends.
func TestEntryLostToLateWriteIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		backend := &batchstore.Store{}
		backend.LoseAnswers(1, 3*time.Second)
		r := &roster.Roster{
			Store: backend, Name: "a", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Log: &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
		}
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(time.Minute)
		if item, err := backend.Get(ctx, "host/a"); item == nil || err != nil {
			t.Errorf("\nhave: entry %v, error %v\nwant: an entry", item, err)
		}
		cancel()
		<-ended
	})
}

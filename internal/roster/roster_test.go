package roster_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/roster"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
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

// Guards against cancelled jobs that run during an upgrade: a host of an earlier release that is listed, or was
// until just now, may plan. The list must be read before none is taken to run.
func TestEarlierHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		backend := &batchstore.Store{}
		value, err := records.Encode(&wire.HostRecord{Name: "b", Zone: "z", Address: "127.0.0.1:2"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := backend.Commit(ctx, keyvalue.Txn{Puts: []keyvalue.Put{{Key: "host/b", Value: value}}}); err != nil {
			t.Fatal(err)
		}
		r := &roster.Roster{
			Store: backend, Name: "a", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Log: &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
		}
		check := func(when string, want bool) {
			t.Helper()
			if have := r.EarlierHosts(); have != want {
				t.Errorf("EarlierHosts %s: have %t, want %t", when, have, want)
			}
		}
		check("before the list was read", true)
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(5 * time.Minute)
		check("while one is listed", true)
		if _, err := backend.Commit(ctx, keyvalue.Txn{Deletes: []string{"host/b"}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		check("just after the last one left", true)
		time.Sleep(time.Minute)
		check("a minute later", false)
		late := &roster.Roster{Store: backend, Name: "c", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:3"), Log: r.Log}
		lateEnded := make(chan error, 1)
		go func() { lateEnded <- late.Run(ctx) }()
		time.Sleep(time.Second)
		if late.EarlierHosts() {
			t.Error("EarlierHosts of a host that has just started, after another found none: have true, want false")
		}
		if _, err := backend.Commit(ctx, keyvalue.Txn{Puts: []keyvalue.Put{{Key: "host/b", Value: value}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		check("after a roll-back has begun", true)
		cancel()
		<-ended
		<-lateEnded
	})
}

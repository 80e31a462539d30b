package zones_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/eelgrasstide/eelgrasstide/internal/standin/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/zones"
)

func newZones(backend wire.Store) *zones.Zones {
	return &zones.Zones{
		Store:  &store.Store{Backend: backend, ReadsPerSecond: 1000, WritesPerSecond: 1000},
		Exists: func(zone string) bool { return strings.HasPrefix(zone, "z") },
		Log:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
}

// Guards against: a heartbeat, for which no credential is needed, cordons a zone for good.
func TestPeersCountUntilTheStoreIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZones(&keyvalue.KeyValue{})
		changes := 0
		z.OnChange = func() { changes++ }
		forged := &wire.CordonsView{Cordons: []*wire.CordonRecord{{Zone: "z", Revision: math.MaxInt64}}}
		z.MergeView(forged)
		if z.Cordon("z") == nil || changes != 1 {
			t.Errorf("before the store was read: have no cordon, or %d changes, want the one that the peer knows", changes)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- z.Run(ctx) }()
		time.Sleep(time.Second)
		if have := z.View().GetCordons(); z.Cordon("z") != nil || len(have) != 0 || changes != 2 {
			t.Errorf("after the store was read: have records %v and %d changes, want none and 2", have, changes)
		}
		z.MergeView(forged)
		if z.Cordon("z") != nil {
			t.Error("a record of a peer while the store is read: have it in force, want it ignored")
		}
		cancel()
		<-ended
	})
}

// Guards against: heartbeats fill the memory with records, which each later heartbeat carries.
func TestRecordsOfPeersAreBounded(t *testing.T) {
	z := newZones(&keyvalue.KeyValue{})
	view := &wire.CordonsView{Cordons: []*wire.CordonRecord{{Zone: "unknown", Revision: 1}, {Zone: "z", Operator: strings.Repeat("x", 10000), Revision: 1}}}
	z.MergeView(view)
	if have := z.View().GetCordons(); len(have) != 0 {
		t.Errorf("records of an unknown zone, and of 10,000 bytes: have %d, want none", len(have))
	}
	for i := range 100000 {
		view.Cordons = append(view.Cordons, &wire.CordonRecord{Zone: fmt.Sprint("z", i), Revision: math.MaxInt64})
	}
	z.MergeView(view)
	if have := len(z.View().GetCordons()); have == 0 || have > 64 {
		t.Errorf("have %d records, want some, and at most 64", have)
	}
}

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/platform/platformtest"
)

const (
	// cordonTime is how long after a cordon was acknowledged starts may still arrive in its zone.
	cordonTime = 5 * time.Second
	zoneCount  = 3
	// lateWriteTime is longer than a write without an answer takes to be carried out.
	lateWriteTime = 2 * time.Second
)

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

// cordonZones cordons and uncordons one zone or all zones at random until ctx ends, and then uncordons all.
func (d *deployment) cordonZones(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(300+random.IntN(4000)) * time.Millisecond):
		}
		first, count, cordoned := random.IntN(zoneCount), 1, random.IntN(2) == 0
		if random.IntN(5) == 0 {
			count = zoneCount
		}
		for i := range count {
			d.setCordon(zoneName(first+i), cordoned)
		}
		d.count("cordon requests")
	}
	var group sync.WaitGroup
	for i := range zoneCount {
		group.Go(func() { d.setCordon(zoneName(i), false) })
	}
	group.Wait()
}

// setCordon writes or deletes the request for a cordon, until the store acknowledges it. A write without an
// answer is settled before the next one, so that it can't undo that.
func (d *deployment) setCordon(zone string, cordoned bool) {
	key := platformtest.CordonKey(zone)
	txn := keyvalue.Txn{Deletes: []string{key}}
	if cordoned {
		txn = keyvalue.Txn{Puts: []keyvalue.Put{{Key: key, Value: []byte("{}")}}}
	} else {
		d.fleet.ZoneUncordoned(zone)
	}
	for {
		if _, err := d.store.Commit(context.Background(), txn); err == nil {
			break
		}
		time.Sleep(lateWriteTime)
	}
	if cordoned {
		d.fleet.ZoneCordoned(zone)
	}
}

package coordinator_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/cordon"
	"github.com/eelgrasstide/eelgrasstide/internal/entry"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/term"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	operatorPrefix = "operators/"
	cordonPrefix   = operatorPrefix + "cordon/"
	zoneCount      = targetCount / targetsPerRack
	// lateWriteTime is longer than a write without an answer takes to be carried out.
	lateWriteTime = 3 * time.Second
)

// zoneOf returns the availability zone of a target.
func zoneOf(i int) string { return zoneName(i / targetsPerRack) }

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// follow returns the cordons that host i knows. It follows the operators' keys if there is a bound.
func (d *deployment) follow(ctx context.Context, i int, hostLog log.Interface) func() *cordon.Set {
	if d.cordonTime == 0 {
		return func() *cordon.Set { return &cordon.Set{} }
	}
	readZone := func(key string) (string, error) {
		zone, ok := strings.CutPrefix(key, cordonPrefix)
		if !ok {
			return "", nil
		}
		if zone == "" {
			return "", errkind.Invalid.New("name a zone", "readZone: no zone")
		}
		return zone, nil
	}
	follower := &entry.Follower{
		Store: d.links[i], Layout: &entry.StoreLayout{OperatorPrefix: operatorPrefix, CordonedZone: readZone}, Metrics: metrics.NewRegistry(), Log: hostLog,
	}
	go func() { _ = follower.Run(ctx) }()
	return follower.Cordons
}

// cordon writes the request for the cordon of a zone as an operator does, until the store answers.
func (d *deployment) cordon(zone int) {
	d.writeOperators(keyvalue.Txn{Puts: []keyvalue.Put{{Key: cordonPrefix + zoneName(zone)}}})
	d.fleet.ZoneCordoned(zoneName(zone))
}

func (d *deployment) uncordon(zone int) {
	d.fleet.ZoneUncordoned(zoneName(zone))
	d.writeOperators(keyvalue.Txn{Deletes: []string{cordonPrefix + zoneName(zone)}})
}

// writeOperators writes as an operator does, until the store answers. A write without an answer is
// settled before the next one, so that it can't undo that.
func (d *deployment) writeOperators(txn keyvalue.Txn) {
	for {
		if _, err := d.store.Commit(context.Background(), txn); err == nil {
			return
		}
		time.Sleep(lateWriteTime)
	}
}

// planner returns the index of the host that plans.
func (d *deployment) planner() int {
	d.t.Helper()
	item, err := d.store.Get(context.Background(), term.RecordKey)
	record, host, number := &wire.TermRecord{}, 0, 0
	if err != nil || item == nil || records.Decode(item.Value, record) != nil {
		d.t.Fatalf("the term's record: have %v (%v)", item, err)
	}
	if _, err := fmt.Sscanf(record.GetHolder(), "host%d-%d", &host, &number); err != nil {
		d.t.Fatalf("the term's holder: have %q: %v", record.GetHolder(), err)
	}
	return host
}

// zoneStarts counts the starts that are sent to each zone.
type zoneStarts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (z *zoneStarts) add(id string, _ target.StartOrder) {
	z.mu.Lock()
	defer z.mu.Unlock()
	index := 0
	_, _ = fmt.Sscanf(id, "t%d", &index)
	z.counts[zoneOf(index)]++
}

// take returns the counts by zone since the last call.
func (z *zoneStarts) take() [zoneCount]int {
	z.mu.Lock()
	defer z.mu.Unlock()
	out := [zoneCount]int{}
	for zone := range out {
		out[zone] = z.counts[zoneName(zone)]
	}
	clear(z.counts)
	return out
}

// load submits jobs for some time.
func (d *deployment) load(duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); {
		d.submit()
		time.Sleep(700 * time.Millisecond)
	}
}

// Guards against starts in a zone later than the bound after its cordon was acknowledged, for one cause
// each, and against zones that stay cordoned after the end of the request. play returns the zones that
// must get starts afterwards; the fleet checks the others.
func TestCordonsHoldUnderFaults(t *testing.T) {
	cutOperators := func(d *deployment, cut bool) {
		for _, link := range d.links {
			link.operatorsCut.Store(cut)
		}
		// The watches that are under way still return what happens.
		time.Sleep(1200 * time.Millisecond)
	}
	for name, play := range map[string]func(d *deployment) []int{
		"the planner dies right after the request": func(d *deployment) []int {
			planner := d.planner()
			d.cordon(0)
			d.links[planner].cut.Store(true)
			return []int{1}
		},
		"a second request, for the last zone": func(d *deployment) []int {
			d.cordon(0)
			d.load(2 * time.Second)
			d.cordon(1)
			return nil
		},
		"the request ends while the planner is cut off": func(d *deployment) []int {
			planner := d.planner()
			d.cordon(0)
			d.load(time.Second)
			d.links[planner].cut.Store(true)
			d.uncordon(0)
			d.load(5 * time.Second)
			d.links[planner].cut.Store(false)
			return []int{0, 1}
		},
		"the store is away after the request": func(d *deployment) []int {
			d.cordon(0)
			d.store.SetDown(true)
			d.load(8 * time.Second)
			d.store.SetDown(false)
			return []int{1}
		},
		"only the watches of the operators' keys fail": func(d *deployment) []int {
			cutOperators(d, true)
			d.cordon(0)
			d.load(2 * cordonTime)
			cutOperators(d, false)
			return []int{1}
		},
		"the history is compacted after the request": func(d *deployment) []int {
			cutOperators(d, true)
			d.cordon(0)
			d.store.Compact()
			cutOperators(d, false)
			return []int{1}
		},
		"the history is compacted after the end of the request": func(d *deployment) []int {
			d.cordon(0)
			d.load(2 * time.Second)
			cutOperators(d, true)
			d.uncordon(0)
			d.store.Compact()
			cutOperators(d, false)
			return []int{0, 1}
		},
		"targets leave starts unanswered, the last of them sent just before the request": func(d *deployment) []int {
			for i := range targetsPerRack {
				d.fleet.DelayOrders(targetID(i), 100)
			}
			for range 6 {
				d.submit()
			}
			time.Sleep(100 * time.Millisecond)
			d.cordon(0)
			d.load(2 * cordonTime)
			for i := range targetsPerRack {
				d.fleet.DelayOrders(targetID(i), 0)
			}
			return []int{1}
		},
		"malformed requests": func(d *deployment) []int {
			d.writeOperators(keyvalue.Txn{Puts: []keyvalue.Put{{Key: cordonPrefix}, {Key: operatorPrefix + "other"}}})
			return []int{0, 1}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts := &zoneStarts{counts: map[string]int{}}
				d := newDeployment(t, 1)
				d.cordonTime, d.starting = cordonTime, starts.add
				d.restartHosts()
				time.Sleep(5 * time.Second)
				d.load(time.Second)
				open := play(d)
				d.load(2 * cordonTime)
				starts.take()
				d.load(4 * time.Second)
				have := starts.take()
				for _, zone := range open {
					if have[zone] == 0 {
						t.Errorf("have starts %v by zone, want some in each of %v", have, open)
					}
				}
				for _, violation := range d.recoverAndCheck() {
					t.Error(violation)
				}
			})
		})
	}
}

// Guards against starts of a host that begins in the middle of a cordon: it sends none before it knows
// the cordons, and none into the zone at all.
func TestNewPlannerKnowsTheCordons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts := &zoneStarts{counts: map[string]int{}}
		d := newDeployment(t, 1)
		d.cordonTime, d.starting = cordonTime, starts.add
		d.cordon(0)
		for _, link := range d.links {
			link.operatorsCut.Store(true)
		}
		d.restartHosts()
		d.load(5 * time.Second)
		if have := starts.take(); have != [zoneCount]int{} {
			t.Errorf("before the cordons are known: have starts %v by zone, want none", have)
		}
		for _, link := range d.links {
			link.operatorsCut.Store(false)
		}
		d.load(5 * time.Second)
		if have := starts.take(); have[0] > 0 || have[1] == 0 {
			t.Errorf("have starts %v by zone, want some, and none in the first, which is cordoned", have)
		}
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

package load_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

func digest() *load.Digest {
	return &load.Digest{
		Token: 3, Number: 7, Warm: true,
		Queues:        map[string]load.Queue{"q": {WaitingJobs: 2, WaitingWork: 10, ExpectedWait: time.Second, ShortFor: time.Minute, EstimateRatio: 1.5, MeanWork: 5}},
		Organisations: map[string]load.Organisation{"o": {WaitingWork: 10, UsedShare: 0.5, FairShare: 0.25, UrgentAccelerators: 8}},
		Services:      map[string]load.Service{"s": {Targets: 4, Largest: workload.Resources{MilliCores: 1, MemoryMB: 2, Accelerators: 3}}},
	}
}

// Guards against fields that get lost on the way through the store.
func TestRecord(t *testing.T) {
	if have, want := load.FromRecord(digest().Record()), digest(); !reflect.DeepEqual(have, want) {
		t.Errorf("have %+v, want %+v", have, want)
	}
}

// Guards against values that the store refuses for their size, and against leaving out those who wait most.
func TestEncodeIsBounded(t *testing.T) {
	d := digest()
	for i := range 4000 {
		d.Organisations[fmt.Sprintf("organisation %d", i)] = load.Organisation{WaitingWork: 1 / float64(i+1), UsedShare: 0.1, FairShare: 0.1}
	}
	value, err := d.Encode()
	record := &wire.LoadRecord{}
	if err != nil || len(value) > 64<<10 || records.Decode(value, record) != nil {
		t.Fatalf("have %d bytes, %v, want at most 64 KB", len(value), err)
	}
	have := load.FromRecord(record)
	if len(have.Organisations) < 500 || have.Organisations["o"].WaitingWork != 10 || !reflect.DeepEqual(have.Queues, d.Queues) {
		t.Errorf("have %d organisations, %+v, want hundreds, with those who wait most, and all queues", len(have.Organisations), have.Queues)
	}
}

// Guards against writes of digests that say nothing new, and against news that is not written.
func TestDiffers(t *testing.T) {
	changes := map[string]struct {
		change func(*load.Digest, *load.Queue)
		want   bool
	}{
		"number only":         {func(d *load.Digest, _ *load.Queue) { d.Number++ }, false},
		"wait by a twentieth": {func(_ *load.Digest, q *load.Queue) { q.ExpectedWait += 50 * time.Millisecond }, false},
		"wait by a fifth":     {func(_ *load.Digest, q *load.Queue) { q.ExpectedWait += 200 * time.Millisecond }, true},
		"work by a fifth":     {func(_ *load.Digest, q *load.Queue) { q.WaitingWork -= 2 }, true},
		"shortage over":       {func(_ *load.Digest, q *load.Queue) { q.ShortFor = 0 }, true},
		"not warm":            {func(d *load.Digest, _ *load.Queue) { d.Warm = false }, true},
		"larger targets":      {func(d *load.Digest, _ *load.Queue) { d.Services["s"] = load.Service{Targets: 4} }, true},
	}
	for name, test := range changes {
		changed := digest()
		queue := changed.Queues["q"]
		test.change(changed, &queue)
		changed.Queues["q"] = queue
		if have := changed.Differs(digest()); have != test.want {
			t.Errorf("%s: have %t, want %t", name, have, test.want)
		}
	}
}

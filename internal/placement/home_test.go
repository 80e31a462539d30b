package placement_test

import (
	"fmt"
	"testing"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
)

func newGrid(workers, perRack, accelerators int) *placement.Grid {
	var out []*placement.Worker
	for i := range workers {
		out = append(out, &placement.Worker{Name: fmt.Sprintf("w%03d", i), Rack: i / perRack, Slots: make([]placement.Slot, accelerators)})
	}
	return placement.New(out)
}

func whole(worker string, accelerators int) placement.Member {
	out := placement.Member{Worker: worker}
	for i := range accelerators {
		out.Accelerators = append(out.Accelerators, i)
	}
	return out
}

func TestBlockedHomeTakesNoMoreFixedWork(t *testing.T) {
	grid := newGrid(2, 2, 4)
	grid.Occupy(placement.Holder{Job: "fixed", Owner: "b"}, []placement.Member{whole("w000", 4)})
	guarantee := placement.Guarantee{Organisation: "a", Shape: "g", Workers: 2, PerWorker: 4}
	_, short := grid.AssignHomes([]placement.Guarantee{guarantee}, nil)
	if len(short) != 1 {
		t.Fatalf("\nhave: %v\nwant: the guarantee is reported short", short)
	}
	fixed := placement.Request{Organisation: "b", Workers: 1, PerWorker: 4}
	if found, reason := grid.Place(placement.KeepHoles, fixed); reason == "" {
		t.Errorf("\nhave: %v\nwant: no fixed work in the home", found)
	}
	fixed.Movable = true
	if _, reason := grid.Place(placement.KeepHoles, fixed); reason != "" {
		t.Errorf("\nhave: %s\nwant: movable work may borrow the home", reason)
	}
}

func TestPlaceKeepsHoles(t *testing.T) {
	grid := newGrid(16, 8, 8)
	grid.Occupy(placement.Holder{Job: "one", Owner: "b"}, []placement.Member{{Worker: "w009", Accelerators: []int{0, 1, 2, 3}}})
	found, reason := grid.Place(placement.KeepHoles, placement.Request{Organisation: "b", Workers: 1, PerWorker: 4})
	if reason != "" || found.Members[0].Worker != "w009" {
		t.Errorf("\nhave: %v %s\nwant: the rest of w009", found, reason)
	}
	rack, reason := grid.Place(placement.KeepHoles, placement.Request{Organisation: "b", Workers: 8, PerWorker: 8})
	if reason != "" || rack.Members[0].Worker != "w000" || len(rack.Members) != 8 {
		t.Errorf("\nhave: %v %s\nwant: the whole first rack", rack, reason)
	}
}

func TestPossible(t *testing.T) {
	grid := newGrid(12, 6, 8)
	tests := []struct {
		name    string
		request placement.Request
		want    bool
	}{
		{"a rack", placement.Request{Workers: 6, PerWorker: 8}, true},
		{"neighbouring racks", placement.Request{Workers: 8, PerWorker: 8}, true},
		{"too many workers", placement.Request{Workers: 13, PerWorker: 1}, false},
		{"too many accelerators", placement.Request{Workers: 1, PerWorker: 9}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if have := grid.Possible(tt.request); have != tt.want {
				t.Errorf("\nhave: %t\nwant: %t", have, tt.want)
			}
		})
	}
}

func ExampleGrid_Fragmentation() {
	grid := newGrid(8, 8, 8)
	for i := range 8 {
		grid.Occupy(placement.Holder{Job: "one"}, []placement.Member{{Worker: fmt.Sprintf("w%03d", i), Accelerators: []int{0}}})
	}
	share, free := grid.Fragmentation(1, 8)
	fmt.Printf("%d free, %.0f%% of them unusable for a whole worker\n", free, 100*share)
	// Output: 56 free, 100% of them unusable for a whole worker
}

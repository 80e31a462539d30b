package placement_test

import (
	"fmt"
	"testing"

	"github.com/eelgrasstide/eelgrasstide/internal/placement"
)

func newInventory(workers, perRack, accelerators int) *placement.Inventory {
	var out []*placement.Worker
	for i := range workers {
		out = append(out, &placement.Worker{Name: fmt.Sprintf("w%03d", i), Rack: i / perRack, Slots: make([]placement.Slot, accelerators)})
	}
	return placement.New(out)
}

// firstAccelerators returns a member with the first accelerators of a worker.
func firstAccelerators(worker string, accelerators int) placement.Member {
	out := placement.Member{Worker: worker}
	for i := range accelerators {
		out.Accelerators = append(out.Accelerators, i)
	}
	return out
}

func TestBlockedHomeRejectsNonPreemptibleJobs(t *testing.T) {
	inventory := newInventory(2, 2, 4)
	inventory.Occupy(placement.Holder{Job: "fixed", Owner: "b"}, []placement.Member{firstAccelerators("w000", 4)})
	guarantee := placement.Guarantee{Organisation: "a", Shape: "g", Workers: 2, PerWorker: 4}
	_, short := inventory.AssignHomes([]placement.Guarantee{guarantee}, nil)
	if len(short) != 1 {
		t.Fatalf("\nhave: %v\nwant: one shortfall", short)
	}
	req := placement.Request{Organisation: "b", Workers: 1, PerWorker: 4}
	if found, reason := inventory.Place(placement.BestFitWithHomes, req); reason == "" {
		t.Errorf("\nhave: %v\nwant: no job that can't be preempted in the home", found)
	}
	req.Preemptible = true
	if _, reason := inventory.Place(placement.BestFitWithHomes, req); reason != "" {
		t.Errorf("\nhave: %s\nwant: a preemptible job may use the home", reason)
	}
}

func TestPlaceKeepsIdleWorkersAndRacksWhole(t *testing.T) {
	inventory := newInventory(16, 8, 8)
	inventory.Occupy(placement.Holder{Job: "one", Owner: "b"}, []placement.Member{{Worker: "w009", Accelerators: []int{0, 1, 2, 3}}})
	found, reason := inventory.Place(placement.BestFitWithHomes, placement.Request{Organisation: "b", Workers: 1, PerWorker: 4})
	if reason != "" || found.Members[0].Worker != "w009" {
		t.Errorf("\nhave: %v %s\nwant: the free accelerators of w009", found, reason)
	}
	rackPlacement, reason := inventory.Place(placement.BestFitWithHomes, placement.Request{Organisation: "b", Workers: 8, PerWorker: 8})
	if reason != "" || rackPlacement.Members[0].Worker != "w000" || len(rackPlacement.Members) != 8 {
		t.Errorf("\nhave: %v %s\nwant: all of the first rack", rackPlacement, reason)
	}
}

func TestRequestFitsIdleZone(t *testing.T) {
	inventory := newInventory(12, 6, 8)
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
			if have := inventory.FitsWhenIdle(tt.request); have != tt.want {
				t.Errorf("\nhave: %t\nwant: %t", have, tt.want)
			}
		})
	}
}

func Example_fragmentation() {
	inventory := newInventory(8, 8, 8)
	for i := range 8 {
		inventory.Occupy(placement.Holder{Job: "one"}, []placement.Member{{Worker: fmt.Sprintf("w%03d", i), Accelerators: []int{0}}})
	}
	share, free := inventory.Fragmentation(1, 8)
	fmt.Printf("%d free, %.0f%% of them unusable for a gang that needs a whole worker\n", free, 100*share)
	// Output: 56 free, 100% of them unusable for a gang that needs a whole worker
}

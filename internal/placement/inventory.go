// Package placement chooses accelerators for gang jobs. All members of a gang are placed at
// once, on adjacent workers. Idle workers and racks are kept whole for large gangs where
// possible, and every guaranteed shape stays claimable by its organisation.
package placement

import (
	"sort"
)

// Slot is one accelerator of a worker and the job that holds it.
type Slot struct {
	// Job is the job that holds the accelerator, empty if it is free.
	Job string
	// Preemptible means that the job can be stopped or checkpointed within the time in which a
	// guarantee has to be claimable.
	Preemptible bool
	// Rank is the urgency of the job; a lower number is more urgent.
	Rank int
	// Owner is the organisation of the job.
	Owner string
	// Home is the name of the guarantee whose home includes this accelerator, in the form
	// organisation/shape; empty if there is none.
	Home string
	// HeldForHead is set while the accelerator is kept free for the job at the head of the queue.
	HeldForHead bool
}

// Worker is one worker with its accelerators.
type Worker struct {
	Name string
	Rack int
	// Unschedulable means that the worker takes no new tasks, as it is leaving, lost, quarantined or cordoned.
	Unschedulable bool
	// Cores and MemoryMB are what the worker has in total; 0 if it does not report them.
	Cores    int
	MemoryMB int64
	Slots    []Slot

	usedCores  int
	usedMemory int64
}

// Inventory holds the workers of a zone, ordered by rack and name.
type Inventory struct {
	Workers []*Worker
	byName  map[string]*Worker
}

// New returns the inventory of the workers. It sorts them in place.
func New(workers []*Worker) *Inventory {
	inventory := &Inventory{Workers: workers, byName: map[string]*Worker{}}
	sort.Slice(workers, func(i, j int) bool {
		if workers[i].Rack != workers[j].Rack {
			return workers[i].Rack < workers[j].Rack
		}
		return workers[i].Name < workers[j].Name
	})
	for _, worker := range workers {
		inventory.byName[worker.Name] = worker
	}
	return inventory
}

// Member is the part of a gang on one worker, with the indices of its accelerators.
type Member struct {
	Worker       string
	Accelerators []int
}

// Holder describes the job that holds accelerators. Cores and MemoryMB are per member.
type Holder struct {
	Job         string
	Owner       string
	Preemptible bool
	Rank        int
	Cores       int
	MemoryMB    int64
}

// Occupy marks the members' accelerators as held by the job. Members on unknown workers and
// accelerators that a worker does not have are ignored.
func (inv *Inventory) Occupy(holder Holder, members []Member) {
	for _, member := range members {
		worker, ok := inv.byName[member.Worker]
		if !ok {
			continue
		}
		worker.usedCores += holder.Cores
		worker.usedMemory += holder.MemoryMB
		for _, index := range member.Accelerators {
			if index < len(worker.Slots) {
				slot := &worker.Slots[index]
				slot.Job, slot.Owner, slot.Preemptible, slot.Rank = holder.Job, holder.Owner, holder.Preemptible, holder.Rank
			}
		}
	}
}

// Release frees the members' accelerators.
func (inv *Inventory) Release(holder Holder, members []Member) {
	holder.Cores, holder.MemoryMB = -holder.Cores, -holder.MemoryMB
	holder.Job, holder.Owner, holder.Preemptible, holder.Rank = "", "", false, 0
	inv.Occupy(holder, members)
}

// racks returns the workers of each rack, in the order of the racks.
func (inv *Inventory) racks() [][]*Worker {
	var out [][]*Worker
	for i, worker := range inv.Workers {
		if i == 0 || worker.Rack != inv.Workers[i-1].Rack {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], worker)
	}
	return out
}

// Fragmentation returns the share of the free accelerators that gangs can't use, and the
// number of free accelerators. Each gang needs the given number of workers in one rack, with
// perWorker accelerators each.
func (inv *Inventory) Fragmentation(workers, perWorker int) (share float64, free int) {
	usable := 0
	for _, rack := range inv.racks() {
		fittingMembers := 0
		for _, worker := range rack {
			count := worker.free()
			free += count
			fittingMembers += count / perWorker
		}
		usable += fittingMembers / workers * workers * perWorker
	}
	if free == 0 {
		return 0, 0
	}
	return 1 - float64(usable)/float64(free), free
}

// Free returns the number of free accelerators on workers that take new tasks.
func (inv *Inventory) Free() int {
	count := 0
	for _, worker := range inv.Workers {
		count += worker.free()
	}
	return count
}

// free returns the number of free accelerators, 0 if the worker takes no new tasks.
func (w *Worker) free() int {
	if w.Unschedulable {
		return 0
	}
	count := 0
	for _, slot := range w.Slots {
		if slot.Job == "" {
			count++
		}
	}
	return count
}

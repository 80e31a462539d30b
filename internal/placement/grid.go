// Package placement chooses accelerators for gang jobs: all members at once,
// adjacent, without splitting large holes, and so that each guaranteed shape can
// be reclaimed.
package placement

import (
	"sort"
)

// Slot is one accelerator.
type Slot struct {
	// Job holds the accelerator; empty when it is free.
	Job string
	// Movable says that the holder can be stopped or checkpointed within the reclaim bound.
	Movable bool
	// Rank is the holder's urgency; a lower number is more urgent.
	Rank int
	// Owner is the organisation of the holder.
	Owner string
	// Home names the guarantee, as organisation/shape, whose home this accelerator is.
	Home string
	// Held is set when the head of the queue waits for this accelerator.
	Held bool
}

// Worker is one worker as the planner sees it.
type Worker struct {
	Name string
	Rack int
	// Closed says that the worker takes nothing new: leaving, lost or quarantined.
	Closed   bool
	Cores    int
	MemoryMB int64
	Slots    []Slot

	usedCores  int
	usedMemory int64
}

// Grid is the workers of a zone, ordered by rack and name.
type Grid struct {
	Workers []*Worker
	byName  map[string]*Worker
}

// New returns a grid of the workers.
func New(workers []*Worker) *Grid {
	grid := &Grid{Workers: workers, byName: map[string]*Worker{}}
	sort.Slice(workers, func(i, j int) bool {
		if workers[i].Rack != workers[j].Rack {
			return workers[i].Rack < workers[j].Rack
		}
		return workers[i].Name < workers[j].Name
	})
	for _, worker := range workers {
		grid.byName[worker.Name] = worker
	}
	return grid
}

// Member is one worker's part of a gang.
type Member struct {
	Worker       string
	Accelerators []int
}

// Holder describes what Occupy writes to the slots.
type Holder struct {
	Job      string
	Owner    string
	Movable  bool
	Rank     int
	Cores    int
	MemoryMB int64
}

// Occupy marks the members' accelerators as held.
func (g *Grid) Occupy(holder Holder, members []Member) {
	for _, member := range members {
		worker, ok := g.byName[member.Worker]
		if !ok {
			continue
		}
		worker.usedCores += holder.Cores
		worker.usedMemory += holder.MemoryMB
		for _, index := range member.Accelerators {
			if index < len(worker.Slots) {
				slot := &worker.Slots[index]
				slot.Job, slot.Owner, slot.Movable, slot.Rank = holder.Job, holder.Owner, holder.Movable, holder.Rank
			}
		}
	}
}

// Release frees the members' accelerators.
func (g *Grid) Release(holder Holder, members []Member) {
	holder.Cores, holder.MemoryMB = -holder.Cores, -holder.MemoryMB
	holder.Job, holder.Owner, holder.Movable, holder.Rank = "", "", false, 0
	g.Occupy(holder, members)
}

// racks returns the workers of each rack, in order.
func (g *Grid) racks() [][]*Worker {
	var out [][]*Worker
	for i, worker := range g.Workers {
		if i == 0 || worker.Rack != g.Workers[i-1].Rack {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], worker)
	}
	return out
}

// Fragmentation returns the share of free accelerators that a gang of workers
// with perWorker accelerators each can't use, and the number of free ones.
func (g *Grid) Fragmentation(workers, perWorker int) (share float64, free int) {
	usable := 0
	for _, rack := range g.racks() {
		fitting := 0
		for _, worker := range rack {
			count := worker.free()
			free += count
			fitting += count / perWorker
		}
		usable += fitting / workers * workers * perWorker
	}
	if free == 0 {
		return 0, 0
	}
	return 1 - float64(usable)/float64(free), free
}

// Free returns the number of free accelerators.
func (g *Grid) Free() int {
	count := 0
	for _, worker := range g.Workers {
		count += worker.free()
	}
	return count
}

func (w *Worker) free() int {
	if w.Closed {
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

package workload

import "fmt"

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// String names the amounts.
func (r Resources) String() string {
	return fmt.Sprintf("%d millicores %d MB %d accelerators", r.MilliCores, r.MemoryMB, r.Accelerators)
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCores + other.MilliCores, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCores - other.MilliCores, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Fits reports whether the amount fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCores <= room.MilliCores && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Times returns how often the amount fits into room, at most limit.
func (r Resources) Times(room Resources, limit int) int {
	count := int64(limit)
	for _, pair := range [][2]int64{{r.MilliCores, room.MilliCores}, {r.MemoryMB, room.MemoryMB}, {r.Accelerators, room.Accelerators}} {
		if pair[0] > 0 {
			count = min(count, max(0, pair[1])/pair[0])
		}
	}
	return int(max(0, count))
}

// Share returns the largest part of a whole that the amount takes up.
func (r Resources) Share(whole Resources) float64 {
	share := 0.0
	for _, pair := range [][2]int64{{r.MilliCores, whole.MilliCores}, {r.MemoryMB, whole.MemoryMB}, {r.Accelerators, whole.Accelerators}} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}

func (r Resources) valid() bool { return r.MilliCores >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0 }

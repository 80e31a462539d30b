package workload

import "fmt"

// Resources is an amount of processors in thousandths of a core, of memory in megabytes and of
// accelerators.
type Resources struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

func (r Resources) String() string {
	return fmt.Sprintf("%d millicores %d MB %d accelerators", r.MilliCores, r.MemoryMB, r.Accelerators)
}

// Plus returns the sum, amount by amount.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCores + other.MilliCores, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference, amount by amount; amounts may become negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCores - other.MilliCores, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Fits reports whether the amount fits into the free capacity.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// CountFitting returns how many times the amount fits into the free capacity, at most limit.
func (r Resources) CountFitting(free Resources, limit int) int {
	count := int64(limit)
	for _, pair := range [][2]int64{{r.MilliCores, free.MilliCores}, {r.MemoryMB, free.MemoryMB}, {r.Accelerators, free.Accelerators}} {
		if pair[0] > 0 {
			count = min(count, max(0, pair[1])/pair[0])
		}
	}
	return int(max(0, count))
}

// DominantShare returns the largest of the fractions of total that the amount takes up of
// processors, memory and accelerators.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, pair := range [][2]int64{{r.MilliCores, total.MilliCores}, {r.MemoryMB, total.MemoryMB}, {r.Accelerators, total.Accelerators}} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}

func (r Resources) valid() bool { return r.MilliCores >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0 }

// AtLeastZero returns the amounts with 0 in place of negative ones.
func (r Resources) AtLeastZero() Resources {
	return Resources{max(r.MilliCores, 0), max(r.MemoryMB, 0), max(r.Accelerators, 0)}
}

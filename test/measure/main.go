// Command measure measures the scheduler and prints one JSON line for each metric, with its
// name, unit, value, baseline (if there is one) and seed. Its arguments are "all" or
// "capacity", the folder of the built programs, and optionally the seed.
package main

import (
	"encoding/json"
	"os"
	"strconv"
	"time"
)

const defaultSeed = 1

// metric is one measured value. Baseline names the policy that was measured for comparison; it
// is empty for the policy in use and for metrics without a comparison.
type metric struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Value    float64 `json:"value"`
	Baseline string  `json:"baseline,omitempty"`
	Seed     uint64  `json:"seed"`
}

// printer writes the metrics of one run to standard output.
type printer struct {
	seed    uint64
	encoder *json.Encoder
}

func (p *printer) print(name, unit string, value float64, baseline string) {
	_ = p.encoder.Encode(metric{Name: name, Unit: unit, Value: value, Baseline: baseline, Seed: p.seed})
}

func main() {
	seed := uint64(defaultSeed)
	if len(os.Args) > 3 {
		if value, err := strconv.ParseUint(os.Args[3], 10, 64); err == nil {
			seed = value
		}
	}
	p := &printer{seed: seed, encoder: json.NewEncoder(os.Stdout)}
	start := time.Now()
	switch os.Args[1] {
	case "capacity":
		measureCapacity(p, os.Args[2])
	default:
		measurePlacement(p)
		measureRouting(p)
		measureHost(p, os.Args[2])
	}
	p.print("measure.time", "s", time.Since(start).Seconds(), "")
}

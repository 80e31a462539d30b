// Command measure prints one JSON line for each figure: name, unit, value,
// baseline where there is one, and seed.
package main

import (
	"encoding/json"
	"os"
	"strconv"
	"time"
)

const defaultSeed = 1

// figure is one measured value. Baseline names what it is compared with.
type figure struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Value    float64 `json:"value"`
	Baseline string  `json:"baseline,omitempty"`
	Seed     uint64  `json:"seed"`
}

type printer struct {
	seed    uint64
	encoder *json.Encoder
}

func (p *printer) print(name, unit string, value float64, baseline string) {
	_ = p.encoder.Encode(figure{Name: name, Unit: unit, Value: value, Baseline: baseline, Seed: p.seed})
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

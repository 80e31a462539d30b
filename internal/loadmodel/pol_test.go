package loadmodel_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/loadmodel"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
)

func overload(targets int, factor float64) loadmodel.Workload {
	w := loadmodel.Mixed(targets)
	for i := range w.Classes {
		w.Classes[i].PerSecond *= factor
	}
	return w
}

func TestPolicy(t *testing.T) {
	type sc struct {
		name string
		w    loadmodel.Workload
	}
	var list []sc
	w := overload(120, 2)
	list = append(list, sc{"overload120x2", w})
	w = overload(350, 1.4)
	w.Surges = []loadmodel.Surge{{Class: 0, Factor: 2.1, From: 2 * time.Second, To: 8 * time.Second}}
	list = append(list, sc{"surge-urgent", w})
	w = overload(350, 1.3)
	w.Surges = []loadmodel.Surge{{Class: 2, Factor: 2.6, From: 2 * time.Second, To: 8 * time.Second}}
	w.Losses = []loadmodel.Loss{{Share: 0.15, At: 8 * time.Second}}
	list = append(list, sc{"surge-small+loss", w})
	total, waste := 0.0, 0.0
	for _, s := range list {
		for seed := range uint64(3) {
			counts := map[string]int{}
			m := &loadmodel.Model{Workload: s.w, Seed: seed, Log: func(e string, f scheduler.Fields) {
				r, _ := f["reason"].(string)
				if i := strings.Index(r, "for job"); i > 0 {
					r = r[:i]
				}
				if e == "run stopped" {
					counts[r]++
				}
			}}
			rep := m.Run()
			fmt.Println(s.name, seed, rep, counts)
			total += rep.Worth / 9
			waste += rep.Wasted / 9
		}
	}
	fmt.Printf("MEAN %.4f waste %.0f\n", total, waste)
}

package loadmodel_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/loadmodel"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
)

// Guards against: a zone that returns cold is filled at once, its slow runs are moved elsewhere, or urgent jobs
// start late because of it.
func TestZoneThatReturnsColdIsLoadedStepByStep(t *testing.T) {
	w := loadmodel.Mixed(120)
	w.Length, w.ColdOverage, w.ColdSlack = 20*time.Second, 1.5, 5
	w.Return = loadmodel.Return{Share: 0.5, At: 5 * time.Second, ColdTime: 10 * time.Second, Slowdown: 3}
	w.Surges = []loadmodel.Surge{{Class: 2, Factor: 25, From: 4 * time.Second, To: 6 * time.Second}}
	placed, moved, total := map[any]int{}, 0, 0
	m := &loadmodel.Model{Workload: w, Seed: 1, Log: func(event string, fields scheduler.Fields) {
		switch event {
		case "run placed":
			if left, cold := fields["coldRemaining"].(time.Duration); cold {
				total++
				if left > w.Return.ColdTime*9/10 {
					placed[fields["target"]]++
				}
			}
		case "run moved":
			if id := fields["target"].(string); id >= "target-0060" {
				moved++
			}
		}
	}}
	report := m.Run()
	for id, count := range placed {
		if count > 2 {
			t.Errorf("have %d tasks placed on %s in the first tenth of its cold time, want 2 at most", count, id)
		}
	}
	if total == 0 || moved > 0 {
		t.Errorf("have %d runs placed on cold targets and %d moved from there, want some and none", total, moved)
	}
	if urgent := report.Classes[0]; urgent.Jobs == 0 || urgent.LongWait > urgentStartBound {
		t.Errorf("have 95 of 100 urgent jobs started within %s, want %s:\n%s", urgent.LongWait, urgentStartBound, report)
	}
}

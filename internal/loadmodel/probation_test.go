package loadmodel_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/loadmodel"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// gangs returns a workload of gangs, large enough that most have a member on a faulty target.
func gangs(targets int) loadmodel.Workload {
	w := loadmodel.Mixed(targets)
	w.Length = 14 * time.Second
	urgent, normal, bulk := &w.Classes[0], &w.Classes[1], &w.Classes[2]
	urgent.PerSecond, urgent.MeanTasks, urgent.MaxTasks, urgent.Accelerators = float64(targets)/60, 5, 20, []int64{1, 2, 4, 8}
	normal.PerSecond, normal.MeanTasks, normal.MaxTasks, normal.Accelerators = float64(targets)/120, 13, 40, []int64{1, 2, 4}
	bulk.PerSecond, bulk.MeanTasks, bulk.MaxTasks = float64(targets)/350, 39, 120
	normal.Needs = workload.Resources{MilliCores: 40000, MemoryMB: 40000}
	normal.MeanWork, bulk.MeanWork = 9*time.Second, 5500*time.Millisecond
	normal.WorkSpread, normal.Checkpointing, bulk.Checkpointing = 0.1, false, false
	return w
}

// playFaults plays a workload of gangs while a tenth of the targets is faulty for 6 s, and sums up several seeds.
func playFaults(fault loadmodel.Fault) (broken, brokenAgain int) {
	fault.Share, fault.From, fault.To = 0.1, 4*time.Second, 10*time.Second
	for seed := range uint64(8) {
		w := gangs(100)
		w.Faults = []loadmodel.Fault{fault}
		report := (&loadmodel.Model{Workload: w, Seed: seed + 1}).Run()
		broken, brokenAgain = broken+report.GangsBroken, brokenAgain+report.BrokenAgain
	}
	return broken, brokenAgain
}

// Guards against gangs that are started again and again on targets that fail what they start.
func TestGangsAreKeptFromTargetsThatFail(t *testing.T) {
	broken, again := playFaults(loadmodel.Fault{FailShare: 1})
	t.Logf("%d runs of gangs broken, %d again", broken, again)
	if broken == 0 || again > broken/20 {
		t.Errorf("have %d of %d broken runs of gangs on targets that had failed before, want some broken and at most a twentieth again", again, broken)
	}
}

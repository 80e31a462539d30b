package planner_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Guards against gangs that are started in a cordoned zone, against running ones that are stopped by the
// cordon, and against a wait without its cause.
func TestCordonedZoneStartsNoGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(1)
		defer sim.close()
		submit("once", 2, 2, 20).run(sim)
		time.Sleep(3 * time.Second)
		sim.cordon.Store(&wire.CordonRecord{Zone: zone, Operator: "someone", At: timestamppb.Now()})
		submit("once", 2, 2, 5).run(sim)
		time.Sleep(10 * time.Second)
		first, second := sim.record(sim.jobs[0].GetId()), sim.record(sim.jobs[1].GetId())
		if first.GetState() != wire.JobState_JOB_STATE_RUNNING || second.GetState() != wire.JobState_JOB_STATE_WAITING {
			t.Errorf("\nhave: states %s and %s\nwant: the first job runs on, the second waits", first.GetState(), second.GetState())
		}
		reasons, states := "", map[string]int{}
		for _, h := range sim.hosts {
			reasons += strings.Join(h.zonePlanner.Explain(second.GetId()), "\n")
			if epoch, _ := h.election.Epoch(); epoch != 0 {
				for _, view := range h.zonePlanner.WorkerViews() {
					states[view.GetState()]++
				}
			}
		}
		if !strings.Contains(reasons, "cordoned by someone") || states["cordoned"] != workers {
			t.Errorf("\nhave: reasons %q, workers by state %v\nwant: the cordon as the reason, %d workers cordoned", reasons, states, workers)
		}
		sim.cordon.Store(nil)
		time.Sleep(20 * time.Second)
		for _, job := range sim.jobs {
			if record := sim.record(job.GetId()); record.GetState() != wire.JobState_JOB_STATE_DONE {
				t.Errorf("\nhave: job %s is %s after the end of the cordon\nwant: done", record.GetId(), record.GetState())
			}
		}
	})
}

package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/loadcopy"
	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// flood submits jobs that together take the capacity of the deployment for a minute.
func (d *deployment) flood(first int) {
	for i := range 30 {
		job := &workload.Job{ID: fmt.Sprintf("%016x", first+i), Payload: "flood", Steps: []workload.Step{
			{Count: 12, Estimate: 4 * time.Second, Needs: workload.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 1}},
		}}
		d.fleet.ExpectJob(job)
		call, err := d.intake.Admit("", "h", "/q1/"+job.ID, "k")
		if err != nil {
			d.t.Fatalf("Intake.Admit: %v", err)
		}
		if err := d.intake.Submit(d.t.Context(), call, job); err != nil {
			d.t.Fatalf("Intake.Submit: %v", err)
		}
	}
}

// copyLoad runs a host's copy of the load, until the returned function is called.
func (d *deployment) copyLoad() (*loadcopy.Copy, func()) {
	known := &loadcopy.Copy{Store: d.store, Metrics: metrics.NewRegistry(), Log: d.trace.named("copy")}
	ctx, cancel := context.WithCancel(d.t.Context())
	ended := make(chan error)
	go func() { ended <- known.Run(ctx) }()
	return known, func() { cancel(); <-ended }
}

// digestRevision returns the revision of the digest in the store; 0 if there is none.
func (d *deployment) digestRevision() int64 {
	item, err := d.store.Get(d.t.Context(), records.LoadKey)
	if err != nil || item == nil {
		return 0
	}
	return item.Revision
}

// The load: a surge beyond capacity. Guards against hosts that know of no shortage while jobs wait, against
// digests that are written although nothing waits, and against a load that still counts as known when its planner
// has ended without a successor.
func TestHostsKnowTheLoadWhileAPlannerWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		known, stop := d.copyLoad()
		see := func(wait time.Duration) loadcopy.View {
			for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				known.Get(time.Now())
			}
			return known.Get(time.Now())
		}
		time.Sleep(10 * time.Second)
		idle := d.digestRevision()
		time.Sleep(10 * time.Second)
		if have := d.digestRevision(); idle == 0 || have != idle {
			t.Errorf("revision of the digest: have %d after 10 s and %d after 20 s without jobs, want one write", idle, have)
		}
		d.flood(0x100)
		view := see(6 * time.Second)
		if view.Unknown != "" || view.Digest.Queues["q1"].ShortFor < 2*time.Second || view.Digest.Queues["q1"].ExpectedWait < 10*time.Second {
			t.Errorf("6 s after a surge: have %+v, %q, want a lasting shortage", view.Digest, view.Unknown)
		}
		token := view.Digest.Token
		d.stopHosts()
		if view = see(6 * time.Second); view.Unknown == "" {
			t.Errorf("6 s after the planner has ended: have %+v, %s old, want it unknown", view.Digest, view.Age)
		}
		larger := *view.Digest
		larger.Services = map[string]load.Service{"s": {Largest: workload.Resources{Accelerators: 16}}}
		value, err := larger.Encode()
		if err != nil {
			t.Fatal(err)
		}
		d.commit(keyvalue.Txn{Puts: []keyvalue.Put{{Key: records.LoadKey, Value: value}}})
		for i := range d.stopHost {
			d.startHost(i)
		}
		if view = see(20 * time.Second); view.Unknown != "" || view.Digest.Token <= token || view.Digest.Services["s"].Largest.Accelerators != 16 {
			t.Errorf("20 s after another planner has begun: have %+v, %q, want a higher token than %d, and 16 accelerators as its predecessor knew", view.Digest, view.Unknown, token)
		}
		stop()
		d.stopHosts()
	})
}

// Guards against a load that counts as unknown while jobs wait and nothing changes.
func TestDigestsAreRepeatedWhileJobsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		call, err := d.intake.Admit("", "h", "/q1/"+queueTestJob, "k")
		if err != nil {
			t.Fatal(err)
		}
		step := workload.Step{Count: 1, Needs: workload.Resources{Accelerators: 100}}
		if err := d.intake.Submit(t.Context(), call, &workload.Job{ID: queueTestJob, Steps: []workload.Step{step}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		for range 4 {
			before := d.digestRevision()
			time.Sleep(3 * time.Second)
			if d.digestRevision() == before {
				t.Error("no digest was written for 3 s while a job waits")
			}
		}
		d.stopHosts()
	})
}

// The load: a surge beyond capacity. Guards against refused jobs that run, against accepted ones that get lost, and
// against refusals of jobs that can end in time or that may stop others.
func TestSurgeIsRefusedInPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		defer d.trace.print(t)
		known, stop := d.copyLoad()
		d.intake.Load = known
		submit := func(id, queue string, estimate time.Duration, accelerators int64) error {
			job := &workload.Job{ID: id, Payload: id, Steps: []workload.Step{{Count: 1, Estimate: estimate, Needs: workload.Resources{MilliCores: 1000, Accelerators: accelerators}}}}
			d.fleet.ExpectJob(job)
			call, err := d.intake.Admit("", "h", "/"+queue+"/"+id, "k")
			if err != nil {
				t.Fatal(err)
			}
			if err = d.intake.Submit(t.Context(), call, job); err != nil {
				d.fleet.ExpectJob(&workload.Job{ID: id, Payload: "refused"})
				return err
			}
			d.accepted[id] = job
			return nil
		}
		time.Sleep(5 * time.Second)
		d.flood(0x100)
		refused := 0
		for i := range 12 {
			time.Sleep(500 * time.Millisecond)
			if err := submit(fmt.Sprintf("%016x", 0x200+i), "q1", time.Second, 1); errkind.Overloaded.Is(err) {
				refused++
			}
		}
		if refused < 4 || refused > 10 {
			t.Errorf("%d of 12 short jobs refused, want those after the shortage has lasted", refused)
		}
		if err := submit("0000000000000300", "q1", time.Minute, 1); err != nil {
			t.Errorf("a job that can end in time: have %v", err)
		}
		if err := submit("0000000000000301", "q0", time.Second, 1); err != nil {
			t.Errorf("a job of priority 0: have %v", err)
		}
		if err := submit("0000000000000302", "q0", time.Minute, 5); !errkind.Overloaded.Is(err) {
			t.Errorf("a job that fits no target: have %v, want it refused", err)
		}
		stop()
		for _, violation := range d.recoverAndCheck() {
			t.Error(violation)
		}
	})
}

package crowd_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/pkg/client"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
	"github.com/eelgrasstide/eelgrasstide/test/crowd"
	"github.com/eelgrasstide/eelgrasstide/test/fleet"
)

// The limits of the host are lowered so that a small crowd is too much for it.
const (
	memoryMB       = 80
	maxDescriptors = 200
	clients        = 150
	// patience bounds the wait for a host that must answer.
	patience   = 60 * time.Second
	workBytes  = 1 << 20
	applyBytes = 8 << 20
)

// bin is the folder of the built programs.
var bin string

func TestMain(m *testing.M) { os.Exit(crowd.Main(m.Run, &bin)) }

// startServe starts a host of `serve` with a runner, and puts the example's configuration in force.
func startServe(t *testing.T) (*fleet.Fleet, *crowd.Process) {
	f := &fleet.Fleet{
		Bin: bin, Dir: t.TempDir(), HostsPerZone: map[string]int{"vest-1": 1}, RunnersPerZone: 2,
		HostSettings: "memoryLimitMb = 80\n[ingress]\nmaxConnections = 100",
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := f.Start(ctx); err != nil {
		t.Fatal(err)
	}
	command := exec.CommandContext(ctx, filepath.Join(bin, "eelgrasstide"), "--host", f.Hosts[0].Address.String(), "apply", "../../docs/examples/slaegtsnavn")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("apply: %v\n%s", err, output)
	}
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	checkWork(t, f)
	return f, &crowd.Process{ID: f.Hosts[0].ID()}
}

// checkWork checks that ordinary work is done. Its caller comes back after a refusal.
func checkWork(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var last any
	for ctx.Err() == nil && !f.Hosts[0].Ended() {
		answer, err := f.Hosts[0].Client().Submit(ctx, client.Request{Organisation: "shops", Class: "nameMatch", Payload: []byte("x")})
		if _, ok := answer.Outcome.(outcome.Done); err == nil && ok {
			return
		}
		if last = answer.Detail; err != nil {
			last = err
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Errorf("ordinary work: have %v (process ended: %t), want it done", last, f.Hosts[0].Ended())
}

// Guards against: bodies without their end hold up a stop of the host.
func TestServeStopsUnderACrowd(t *testing.T) {
	f, process := startServe(t)
	callers := &crowd.Crowd{Address: f.Hosts[0].Address, Path: "/v1/work", Observe: process.CountDescriptors}
	defer callers.Close()
	callers.Send(3, crowd.Short(crowd.Padded(`"organisation":"shops"`, workBytes), 1))
	if err := f.Hosts[0].Stop(); err != nil {
		t.Errorf("Stop: %v", err)
	}
}

// Guards against: clients of `serve` that hold bodies, connections or responses end the process by its
// memory or its descriptors, or keep ordinary callers out.
func TestServeUnderACrowd(t *testing.T) {
	work := crowd.Padded(`"organisation":"shops","class":"nameMatch"`, workBytes)
	files := crowd.Repeated(`"base":"0"`, "files", applyBytes)
	sightings := crowd.Repeated(`"sender":{}`, "sightings", workBytes)
	cases := []struct {
		name, path string
		clients    int
		behaviours []crowd.Behaviour
	}{
		{"large bodies", "/v1/work", clients, []crowd.Behaviour{crowd.Whole(work)}},
		{"bodies in pieces without their end", "/v1/work", clients, []crowd.Behaviour{crowd.Short(work, 8)}},
		{"large chunks without an end", "/v1/work", clients, []crowd.Behaviour{crowd.Chunked(work, 1<<16)}},
		{"small chunks without an end", "/v1/work", clients, []crowd.Behaviour{crowd.Chunked(work[:workBytes/4], 1)}},
		{"bodies for other hosts", "/twirp/eelgrasstide.wire.Host/Forward", clients, []crowd.Behaviour{crowd.Short(work, 8)}},
		{"messages of hosts that decode large", "/twirp/eelgrasstide.wire.Host/Heartbeat", 20, []crowd.Behaviour{crowd.Whole(sightings)}},
		{"large configurations", "/v1/operator/configuration", 6, []crowd.Behaviour{crowd.Whole(files)}},
		{"nothing sent, responses not read", "/readyz", clients, []crowd.Behaviour{crowd.Silent, crowd.Unread(2000)}},
		{"all at once", "/v1/work", clients / 3, []crowd.Behaviour{
			crowd.Whole(work), crowd.Short(work, 8), crowd.Chunked(work, 1<<16), crowd.Chunked(work[:workBytes/4], 1), crowd.Silent, crowd.Unread(2000),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, process := startServe(t)
			callers := &crowd.Crowd{Address: f.Hosts[0].Address, Path: c.path, Header: "Content-Type: application/json\r\n", Observe: process.CountDescriptors}
			defer callers.Close()
			callers.Send(c.clients, c.behaviours...)
			checkWork(t, f)
			descriptors, residentMB, err := process.Peak()
			t.Logf("peak: %d descriptors, %d MB resident", descriptors, residentMB)
			if err != nil || descriptors > maxDescriptors || residentMB > memoryMB {
				t.Errorf("have up to %d descriptors and %d MB resident (%v), want at most %d and %d", descriptors, residentMB, err, maxDescriptors, memoryMB)
			}
		})
	}
}

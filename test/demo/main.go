// Command demo starts all programs as separate processes in three availability zones, sends
// requests and jobs of each kind, checks each result and prints what happened. Its argument is
// the folder of the built programs. It exits with code 1 if a result is not as expected.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/eelgrasstide/eelgrasstide/pkg/client"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
	"github.com/eelgrasstide/eelgrasstide/test/fleet"
)

const (
	timeout     = 55 * time.Second
	lookups     = 12
	lookupTime  = 20 * time.Millisecond
	traceTime   = 400 * time.Millisecond
	gangTime    = 3 * time.Second
	gangTimeout = 20 * time.Second
	// cordonTime is how long the hosts may take to know of a cordon.
	cordonTime = 2 * time.Second
)

func main() {
	bin := filepath.Clean(os.Args[1])
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := run(ctx, bin); err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("every result was checked")
}

// demo is one run of the demonstration. apply sets balancer, a client that calls the hosts
// through the load balancer.
type demo struct {
	fleet    *fleet.Fleet
	bin      string
	balancer *client.Client
}

func run(ctx context.Context, bin string) error {
	dir, err := os.MkdirTemp("", "eelgrasstide-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d := &demo{bin: bin, fleet: &fleet.Fleet{
		Bin: bin, Dir: dir, HostsPerZone: map[string]int{"vest-1": 3, "vest-2": 2, "vest-3": 2},
		RunnersPerZone: 3, WorkersPerZone: 4, WorkersPerRack: 2, Slowness: func(i int) float64 { return float64(1 + i) },
	}}
	defer d.fleet.Close()
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("7 entry hosts, 9 runners, 12 workers, a store, a host list and a load balancer run as separate processes\n")
	for _, step := range []func(context.Context) error{d.apply, d.lookups, d.trace, d.gang, d.cordon, d.views, d.stop} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runCommand runs the eelgrasstide command with an address as --host, and prints and returns
// its output.
func (d *demo) runCommand(ctx context.Context, address netip.AddrPort, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "eelgrasstide"), append([]string{"--host", address.String()}, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	text := strings.TrimSpace(out.String())
	fmt.Printf("$ eelgrasstide %s\n%s\n", strings.Join(args, " "), text)
	return text, err
}

// apply checks and applies the example configuration, and waits until all hosts are ready and
// a request has been answered.
func (d *demo) apply(ctx context.Context) error {
	first := d.fleet.Hosts[0].Address
	if _, err := d.runCommand(ctx, first, "check", "docs/examples/slaegtsnavn"); err != nil {
		return err
	}
	if _, err := d.runCommand(ctx, first, "apply", "docs/examples/slaegtsnavn"); err != nil {
		return err
	}
	if _, err := d.runCommand(ctx, first, "config", "wait", "--revision", "1", "--timeout", "10s"); err != nil {
		return err
	}
	if err := d.fleet.WaitReady(ctx); err != nil {
		return err
	}
	d.balancer = d.fleet.Balancer.Client()
	// The load balancer chooses a host for each connection, so each request gets a new one.
	d.balancer.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return d.waitForRunners(ctx)
}

// waitForRunners waits until a request is done: the load balancer and the hosts learn of new
// processes from the list, which lags.
func (d *demo) waitForRunners(ctx context.Context) error {
	for ctx.Err() == nil {
		answer, err := d.balancer.Submit(ctx, client.Request{Organisation: "shops", Class: "nameMatch", Payload: []byte("warm up")})
		if _, ok := answer.Outcome.(outcome.Done); err == nil && ok {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

func (d *demo) lookups(ctx context.Context) error {
	for i := range lookups {
		payload := fmt.Sprintf("surname %d", i)
		answer, err := d.balancer.Submit(ctx, client.Request{Organisation: "shops", Class: "nameMatch", Payload: []byte(payload), Declared: lookupTime})
		if err != nil {
			return err
		}
		if err := checkAnswer("lookup", answer, payload); err != nil {
			return err
		}
	}
	return nil
}

// checkAnswer prints one line for a request, and returns an error if its answer is not the
// expected one.
func checkAnswer(kind string, answer client.Answer, payload string) error {
	done, ok := answer.Outcome.(outcome.Done)
	name := "pending"
	if answer.Outcome != nil {
		name = outcome.Name(answer.Outcome)
	}
	fmt.Printf("%s ticket=%s host=%s target=%s outcome=%s time=%s\n", kind, answer.Ticket, answer.Host, done.Target, name, answer.Took.Round(time.Millisecond))
	if want := "match " + payload; !ok || done.Failed || string(done.Answer) != want {
		return fmt.Errorf("%s: want the answer %q, have %#v", kind, want, answer.Outcome)
	}
	return nil
}

// trace sends a non-idempotent trace and repeats it. The repeat must get the ticket and answer
// of the first request.
func (d *demo) trace(ctx context.Context) error {
	req := client.Request{Organisation: "shops", Class: "lineageTrace", Key: "order-1", Payload: []byte("Kjaer 1790"), Declared: traceTime}
	first, err := d.balancer.Submit(ctx, req)
	if err != nil {
		return err
	}
	if err := checkAnswer("trace", first, "Kjaer 1790"); err != nil {
		return err
	}
	second, err := d.balancer.Submit(ctx, req)
	if err != nil {
		return err
	}
	if second.Ticket != first.Ticket {
		return fmt.Errorf("a repeat of the key got ticket %s, want the first one, %s", second.Ticket, first.Ticket)
	}
	return checkAnswer("trace repeated", second, "Kjaer 1790")
}

// gang submits a gang job, explains it on one host, waits until it is done, and prints its
// status and explanation on another host.
func (d *demo) gang(ctx context.Context) error {
	answer, err := d.balancer.Submit(ctx, client.Request{
		Organisation: "headOffice", Class: "urgentRebuild", Workers: 2, AcceleratorsPerWorker: 8, Declared: gangTime, Wait: time.Millisecond,
	})
	if err != nil {
		return err
	}
	if _, err := d.runCommand(ctx, d.fleet.Hosts[len(d.fleet.Hosts)-1].Address, "explain", answer.Ticket); err != nil {
		return err
	}
	if err := d.awaitDone(ctx, answer); err != nil {
		return err
	}
	address := d.fleet.Hosts[0].Address
	if _, err := d.runCommand(ctx, address, "status", answer.Ticket); err != nil {
		return err
	}
	_, err = d.runCommand(ctx, address, "explain", answer.Ticket)
	return err
}

// awaitDone waits until a gang job is done.
func (d *demo) awaitDone(ctx context.Context, answer client.Answer) (err error) {
	deadline := time.Now().Add(gangTimeout)
	for answer.Outcome == nil && time.Now().Before(deadline) {
		if answer, err = d.balancer.Poll(ctx, answer.Ticket, time.Second); err != nil {
			return err
		}
	}
	if done, ok := answer.Outcome.(outcome.Done); !ok || done.Failed {
		return fmt.Errorf("gang: want it done, have %#v", answer.Outcome)
	}
	fmt.Printf("gang ticket=%s host=%s outcome=done\n", answer.Ticket, answer.Host)
	return nil
}

// cordon cordons all zones. A gang job must then wait, with the cordon as the reason, until they are
// uncordoned.
func (d *demo) cordon(ctx context.Context) error {
	first, last := d.fleet.Hosts[0].Address, d.fleet.Hosts[len(d.fleet.Hosts)-1].Address
	if _, err := d.runCommand(ctx, first, "zone", "cordon", "vest-9"); err == nil {
		return errors.New("zone cordon: want an unknown zone to be refused")
	}
	for _, zone := range []string{"vest-1", "vest-2", "vest-3"} {
		if _, err := d.runCommand(ctx, first, "zone", "cordon", zone); err != nil {
			return err
		}
	}
	time.Sleep(cordonTime)
	answer, err := d.balancer.Submit(ctx, client.Request{
		Organisation: "headOffice", Class: "urgentRebuild", Workers: 2, AcceleratorsPerWorker: 8, Declared: gangTime, Wait: cordonTime,
	})
	if err != nil {
		return err
	}
	for _, check := range []struct {
		address netip.AddrPort
		args    []string
		want    string
	}{
		{last, []string{"targets"}, "cordoned"},
		{first, []string{"explain", answer.Ticket}, "cordoned by"},
		{last, []string{"explain", answer.Ticket}, "cordoned by"},
		{last, []string{"zone", "list"}, "vest-2"},
		{first, []string{"zone", "uncordon", "vest-1"}, "uncordoned"},
		{first, []string{"zone", "uncordon", "vest-2"}, "uncordoned"},
		{first, []string{"zone", "uncordon", "vest-3"}, "uncordoned"},
		{first, []string{"zone", "uncordon", "vest-3"}, "already"},
	} {
		text, err := d.runCommand(ctx, check.address, check.args...)
		if err != nil {
			return err
		}
		if !strings.Contains(text, check.want) {
			return fmt.Errorf("%s: want %q in the output, have %s", check.args, check.want, text)
		}
	}
	return d.awaitDone(ctx, answer)
}

// views prints the operator views and checks the metrics.
func (d *demo) views(ctx context.Context) error {
	address := d.fleet.Hosts[0].Address
	for _, name := range []string{"hosts", "targets", "organisations"} {
		if _, err := d.runCommand(ctx, address, name); err != nil {
			return err
		}
	}
	return d.metrics(ctx)
}

// metrics checks that the histogram of completion times of the class nameMatch has values on at
// least one host.
func (d *demo) metrics(ctx context.Context) error {
	for _, host := range d.fleet.Hosts {
		text, err := host.Client().Call(ctx, "GET", "/metrics", nil)
		if err != nil {
			return err
		}
		metricsByName := map[string]map[string]float64{}
		if err := json.Unmarshal(text, &metricsByName); err != nil {
			return err
		}
		histogram := metricsByName["work.shops.nameMatch.completion"]
		if histogram["count"] > 0 {
			fmt.Printf("metrics host=%s histogram=work.shops.nameMatch.completion count=%g median=%gus\n", host.Name, histogram["count"], histogram["median"])
			return nil
		}
	}
	return errors.New("no host has values in the histogram work.shops.nameMatch.completion of its metrics")
}

// stop stops all entry hosts at the same time, gracefully.
func (d *demo) stop(context.Context) error {
	stopErrors := make(chan error, len(d.fleet.Hosts))
	for _, host := range d.fleet.Hosts {
		go func() { stopErrors <- host.Stop() }()
	}
	for range d.fleet.Hosts {
		if err := <-stopErrors; err != nil {
			return err
		}
	}
	fmt.Println("every entry host stopped gracefully")
	return nil
}

// Command demo runs the whole path as separate processes in three availability
// zones, checks each result and prints what happened.
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
	limit       = 55 * time.Second
	lookups     = 12
	lookupTime  = 20 * time.Millisecond
	traceTime   = 400 * time.Millisecond
	gangTime    = 3 * time.Second
	gangTimeout = 20 * time.Second
)

func main() {
	bin := filepath.Clean(os.Args[1])
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := run(ctx, bin); err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("every result was checked")
}

type demo struct {
	fleet *fleet.Fleet
	bin   string
	entry *client.Client
}

func run(ctx context.Context, bin string) error {
	dir, err := os.MkdirTemp("", "eelgrasstide-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d := &demo{bin: bin, fleet: &fleet.Fleet{
		Bin: bin, Dir: dir, Zones: map[string]int{"vest-1": 3, "vest-2": 2, "vest-3": 2},
		Runners: 3, Workers: 4, WorkersPerRack: 2, Slowness: func(i int) float64 { return float64(1 + i) },
	}}
	defer d.fleet.Close()
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("7 entry hosts, 9 runners, 12 workers, store, list and balancer run as separate processes\n")
	for _, step := range []func(context.Context) error{d.apply, d.lookups, d.trace, d.gang, d.views, d.stop} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// cli runs the command line against an address and returns what it printed.
func (d *demo) cli(ctx context.Context, at netip.AddrPort, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "eelgrasstide"), append([]string{"--host", at.String()}, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	text := strings.TrimSpace(out.String())
	fmt.Printf("$ eelgrasstide %s\n%s\n", strings.Join(args, " "), text)
	return text, err
}

func (d *demo) apply(ctx context.Context) error {
	first := d.fleet.Hosts[0].Address
	if _, err := d.cli(ctx, first, "check", "docs/examples/slaegtsnavn"); err != nil {
		return err
	}
	if _, err := d.cli(ctx, first, "apply", "docs/examples/slaegtsnavn"); err != nil {
		return err
	}
	if _, err := d.cli(ctx, first, "config", "wait", "--revision", "1", "--timeout", "10s"); err != nil {
		return err
	}
	if err := d.fleet.Ready(ctx); err != nil {
		return err
	}
	d.entry = d.fleet.Balancer.Client()
	// A new connection for each request lets the balancer choose a host each time.
	d.entry.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return d.untilRunners(ctx)
}

// untilRunners waits until the balancer and the lagging list have caught up.
func (d *demo) untilRunners(ctx context.Context) error {
	for ctx.Err() == nil {
		answer, err := d.entry.Submit(ctx, client.Request{Organisation: "shops", Class: "nameMatch", Payload: []byte("warm up")})
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
		answer, err := d.entry.Submit(ctx, client.Request{Organisation: "shops", Class: "nameMatch", Payload: []byte(payload), Declared: lookupTime})
		if err != nil {
			return err
		}
		if err := check("lookup", answer, payload); err != nil {
			return err
		}
	}
	return nil
}

// check prints one line for a request and compares its answer.
func check(kind string, answer client.Answer, payload string) error {
	done, ok := answer.Outcome.(outcome.Done)
	name := "pending"
	if answer.Outcome != nil {
		name = outcome.Name(answer.Outcome)
	}
	fmt.Printf("%s ticket=%s host=%s target=%s outcome=%s time=%s\n", kind, answer.Ticket, answer.Host, done.Target, name, answer.Took.Round(time.Millisecond))
	if want := "match " + payload; !ok || done.Failed || string(done.Answer) != want {
		return fmt.Errorf("%s: want %q, have %#v", kind, want, answer.Outcome)
	}
	return nil
}

// trace sends a non-idempotent trace and its repeat, which must find the first.
func (d *demo) trace(ctx context.Context) error {
	req := client.Request{Organisation: "shops", Class: "lineageTrace", Key: "order-1", Payload: []byte("Kjaer 1790"), Declared: traceTime}
	first, err := d.entry.Submit(ctx, req)
	if err != nil {
		return err
	}
	if err := check("trace", first, "Kjaer 1790"); err != nil {
		return err
	}
	second, err := d.entry.Submit(ctx, req)
	if err != nil {
		return err
	}
	if second.Ticket != first.Ticket {
		return fmt.Errorf("a repeat of the key ran as %s beside %s", second.Ticket, first.Ticket)
	}
	return check("trace repeated", second, "Kjaer 1790")
}

func (d *demo) gang(ctx context.Context) error {
	answer, err := d.entry.Submit(ctx, client.Request{
		Organisation: "headOffice", Class: "urgentRebuild", Workers: 2, AcceleratorsPerWorker: 8, Declared: gangTime, Wait: time.Millisecond,
	})
	if err != nil {
		return err
	}
	if _, err := d.cli(ctx, d.fleet.Hosts[len(d.fleet.Hosts)-1].Address, "explain", answer.Ticket); err != nil {
		return err
	}
	deadline := time.Now().Add(gangTimeout)
	for answer.Outcome == nil && time.Now().Before(deadline) {
		if answer, err = d.entry.Poll(ctx, answer.Ticket, time.Second); err != nil {
			return err
		}
	}
	if done, ok := answer.Outcome.(outcome.Done); !ok || done.Failed {
		return fmt.Errorf("gang: %#v", answer.Outcome)
	}
	fmt.Printf("gang ticket=%s host=%s outcome=done\n", answer.Ticket, answer.Host)
	at := d.fleet.Hosts[0].Address
	if _, err := d.cli(ctx, at, "status", answer.Ticket); err != nil {
		return err
	}
	_, err = d.cli(ctx, at, "explain", answer.Ticket)
	return err
}

func (d *demo) views(ctx context.Context) error {
	at := d.fleet.Hosts[0].Address
	for _, name := range []string{"hosts", "targets", "organisations"} {
		if _, err := d.cli(ctx, at, name); err != nil {
			return err
		}
	}
	return d.metrics(ctx)
}

// metrics checks that the hosts together have a histogram of the class.
func (d *demo) metrics(ctx context.Context) error {
	for _, host := range d.fleet.Hosts {
		text, err := host.Client().Call(ctx, "GET", "/metrics", nil)
		if err != nil {
			return err
		}
		held := map[string]map[string]float64{}
		if err := json.Unmarshal(text, &held); err != nil {
			return err
		}
		histogram := held["work.shops.nameMatch.completion"]
		if histogram["count"] > 0 {
			fmt.Printf("metrics host=%s histogram=work.shops.nameMatch.completion count=%g median=%gus\n", host.Name, histogram["count"], histogram["median"])
			return nil
		}
	}
	return errors.New("the metrics hold no histogram of the class")
}

func (d *demo) stop(context.Context) error {
	ends := make(chan error, len(d.fleet.Hosts))
	for _, host := range d.fleet.Hosts {
		go func() { ends <- host.Stop() }()
	}
	for range d.fleet.Hosts {
		if err := <-ends; err != nil {
			return err
		}
	}
	fmt.Println("every entry host stopped gracefully")
	return nil
}

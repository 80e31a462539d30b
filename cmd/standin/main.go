// Command standin runs a stand-in for one part of the platform in demonstrations and failure
// proofs: the store, the host list, a runner, a worker or the load balancer.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/twitchtv/twirp"

	"github.com/eelgrasstide/eelgrasstide/internal/standin/balancer"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/faults"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/hostlist"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/listener"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/runner"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/worker"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

type flags struct {
	listen, addressFile, name, zone, hostList string
	lag                                       time.Duration
	slots, connections, rack, accelerators    int
	slowness                                  float64
}

const (
	// workerCores and workerMemoryMB are the capacity of each worker.
	workerCores    = 130
	workerMemoryMB = 500_000
	// reportRetry is the pause before a failed report to the host list is repeated.
	reportRetry = 200 * time.Millisecond
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var options flags
	app := kingpin.New("standin", "Stand-ins for the platform and its targets, with fault switches.")
	app.Flag("listen", "Address to listen on; port 0 lets the kernel choose a port.").Default("127.0.0.1:0").StringVar(&options.listen)
	app.Flag("address-file", "File to write the address to.").StringVar(&options.addressFile)
	app.Flag("name", "Name in the host list.").StringVar(&options.name)
	app.Flag("zone", "Availability zone.").StringVar(&options.zone)
	app.Flag("host-list", "Address of the host list to report to.").StringVar(&options.hostList)
	app.Command("store", "Run the platform's store.")
	list := app.Command("host-list", "Run the platform's host list.")
	list.Flag("lag", "Time between a report and its appearance in the list.").Default("2s").DurationVar(&options.lag)
	run := app.Command("runner", "Run a runner.")
	run.Flag("slots", "Number of requests served at the same time.").Default("8").IntVar(&options.slots)
	run.Flag("connections", "Maximum number of open connections.").Default("60").IntVar(&options.connections)
	run.Flag("slowness", "Factor by which each request takes longer than declared.").Default("1").Float64Var(&options.slowness)
	work := app.Command("worker", "Run a worker.")
	work.Flag("rack", "Rack number.").IntVar(&options.rack)
	work.Flag("accelerators", "Number of accelerators.").Default("8").IntVar(&options.accelerators)
	app.Command("balancer", "Run the platform's load balancer.")
	command, err := app.Parse(args)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return serve(ctx, command, options)
}

// serve runs one stand-in until ctx ends.
func serve(ctx context.Context, command string, options flags) error {
	raw, err := net.Listen("tcp", options.listen)
	if err != nil {
		return err
	}
	limited := &listener.Listener{Listener: raw}
	if command == "runner" {
		limited.MaxConnections = options.connections
	}
	if options.addressFile != "" {
		if err := os.WriteFile(options.addressFile, []byte(raw.Addr().String()), 0o600); err != nil {
			return err
		}
	}
	if command == "balancer" {
		return (&balancer.Balancer{Listener: limited, Hosts: listedHosts(options.hostList)}).Run(ctx)
	}
	server := &http.Server{Handler: handler(command, options, limited), ReadHeaderTimeout: time.Second}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	report(ctx, command, options, raw.Addr().String())
	if err := server.Serve(limited); ctx.Err() == nil {
		return err
	}
	return nil
}

func handler(command string, options flags, limited *listener.Listener) http.Handler {
	switches := &faults.Faults{Silence: limited.Silence}
	intercept := twirp.WithServerInterceptors(switches.Interceptor)
	switch command {
	case "store":
		return switches.Handler(wire.NewStoreServer(&keyvalue.KeyValue{}, intercept))
	case "host-list":
		return switches.Handler(wire.NewHostListServer(&hostlist.HostList{Lag: options.lag}, intercept))
	case "runner":
		standin := &runner.Runner{Name: options.name, Slots: options.slots, Slowness: options.slowness, Connections: limited.ConnectionCounts, Faults: switches}
		return standin.Handler()
	default:
		standin := &worker.Worker{
			Name: options.name, Zone: options.zone, Rack: options.rack, Accelerators: options.accelerators,
			Cores: workerCores, MemoryMB: workerMemoryMB, Faults: switches,
		}
		return switches.Handler(wire.NewWorkerServer(standin, intercept))
	}
}

// report enters a runner or worker in the host list, and repeats that until it succeeds.
func report(ctx context.Context, command string, options flags, address string) {
	kind := map[string]wire.ListedKind{"runner": wire.ListedKind_LISTED_KIND_RUNNER, "worker": wire.ListedKind_LISTED_KIND_WORKER}[command]
	if options.hostList == "" || kind == 0 {
		return
	}
	list := wire.NewHostListProtobufClient("http://"+options.hostList, http.DefaultClient)
	listed := &wire.Listed{Name: options.name, Zone: options.zone, Address: address, Kind: kind}
	for {
		if _, err := list.Report(ctx, listed); err == nil || ctx.Err() != nil {
			return
		}
		time.Sleep(reportRetry)
	}
}

// listedHosts returns a function that reads the entry hosts from the host list; it returns none
// if the list can't be read.
func listedHosts(address string) func(context.Context) []netip.AddrPort {
	list := wire.NewHostListProtobufClient("http://"+address, http.DefaultClient)
	return func(ctx context.Context) []netip.AddrPort {
		answer, err := list.List(ctx, &wire.HostListRequest{})
		if err != nil {
			return nil
		}
		var out []netip.AddrPort
		for _, listed := range answer.GetListed() {
			host, err := netip.ParseAddrPort(listed.GetAddress())
			if err == nil && listed.GetKind() == wire.ListedKind_LISTED_KIND_HOST {
				out = append(out, host)
			}
		}
		return out
	}
}

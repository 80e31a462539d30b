// Command standin runs one of the small programs that take the platform's place
// in demonstrations and proofs: store, host list, runner, worker, balancer.
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
	workerCores    = 130
	workerMemoryMB = 500_000
	reportRetry    = 200 * time.Millisecond
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var set flags
	app := kingpin.New("standin", "Small stand-ins of the platform and its targets, with fault switches.")
	app.Flag("listen", "Address to listen on; port 0 lets the kernel choose.").Default("127.0.0.1:0").StringVar(&set.listen)
	app.Flag("address-file", "File that receives the address.").StringVar(&set.addressFile)
	app.Flag("name", "Name in the host list.").StringVar(&set.name)
	app.Flag("zone", "Availability zone.").StringVar(&set.zone)
	app.Flag("host-list", "Address of the host list to report to.").StringVar(&set.hostList)
	app.Command("store", "Run the platform's store.")
	list := app.Command("host-list", "Run the platform's host list.")
	list.Flag("lag", "Time until a report is listed.").Default("2s").DurationVar(&set.lag)
	run := app.Command("runner", "Run a runner.")
	run.Flag("slots", "Requests at once.").Default("8").IntVar(&set.slots)
	run.Flag("connections", "Connections at once.").Default("60").IntVar(&set.connections)
	run.Flag("slowness", "Factor on each request's time.").Default("1").Float64Var(&set.slowness)
	work := app.Command("worker", "Run a worker.")
	work.Flag("rack", "Rack number.").IntVar(&set.rack)
	work.Flag("accelerators", "Accelerators.").Default("8").IntVar(&set.accelerators)
	app.Command("balancer", "Run the platform's balancer.")
	command, err := app.Parse(args)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return serve(ctx, command, set)
}

func serve(ctx context.Context, command string, set flags) error {
	raw, err := net.Listen("tcp", set.listen)
	if err != nil {
		return err
	}
	held := &listener.Listener{Listener: raw}
	if command == "runner" {
		held.Limit = set.connections
	}
	if set.addressFile != "" {
		if err := os.WriteFile(set.addressFile, []byte(raw.Addr().String()), 0o600); err != nil {
			return err
		}
	}
	if command == "balancer" {
		return (&balancer.Balancer{Listener: held, Hosts: listedHosts(set.hostList)}).Run(ctx)
	}
	server := &http.Server{Handler: handler(command, set, held), ReadHeaderTimeout: time.Second}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	report(ctx, command, set, raw.Addr().String())
	if err := server.Serve(held); ctx.Err() == nil {
		return err
	}
	return nil
}

func handler(command string, set flags, held *listener.Listener) http.Handler {
	switches := &faults.Faults{Silence: held.Silence}
	intercept := twirp.WithServerInterceptors(switches.Interceptor)
	switch command {
	case "store":
		return switches.Handler(wire.NewStoreServer(&keyvalue.KeyValue{}, intercept))
	case "host-list":
		return switches.Handler(wire.NewHostListServer(&hostlist.HostList{Lag: set.lag}, intercept))
	case "runner":
		served := &runner.Runner{Name: set.name, Slots: set.slots, Slowness: set.slowness, Connections: held.Counts, Faults: switches}
		return served.Handler()
	default:
		served := &worker.Worker{
			Name: set.name, Zone: set.zone, Rack: set.rack, Accelerators: set.accelerators,
			Cores: workerCores, MemoryMB: workerMemoryMB, Faults: switches,
		}
		return switches.Handler(wire.NewWorkerServer(served, intercept))
	}
}

func report(ctx context.Context, command string, set flags, address string) {
	kind := map[string]wire.ListedKind{"runner": wire.ListedKind_LISTED_KIND_RUNNER, "worker": wire.ListedKind_LISTED_KIND_WORKER}[command]
	if set.hostList == "" || kind == 0 {
		return
	}
	list := wire.NewHostListProtobufClient("http://"+set.hostList, http.DefaultClient)
	listed := &wire.Listed{Name: set.name, Zone: set.zone, Address: address, Kind: kind}
	for {
		if _, err := list.Report(ctx, listed); err == nil || ctx.Err() != nil {
			return
		}
		time.Sleep(reportRetry)
	}
}

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

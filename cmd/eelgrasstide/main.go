// Command eelgrasstide runs an entry host. It is also the command line with which callers
// submit work and operators manage the hosts.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/hangup"
	"github.com/eelgrasstide/eelgrasstide/pkg/client"
)

const usage = `A scheduler for multi-accelerator jobs, with guaranteed capacity for organisations.

Exit codes: 0 done, 1 error or invalid input, 3 not run, 4 outcome unknown, 5 pending,
6 the work ran and failed, 7 conflict with another operator.

Shell completion: eval "$(eelgrasstide --completion-script-bash)", or
--completion-script-zsh for zsh.`

const (
	exitError    = 1
	exitNotRun   = 3
	exitUnknown  = 4
	exitPending  = 5
	exitFailed   = 6
	exitConflict = 7
)

// exitCode is an error that ends the program with this exit code. The command has printed its
// message already.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// globalFlags holds the flags of all subcommands.
type globalFlags struct {
	host       string
	credential string
	json       bool
}

// client returns a client of the host that --host names.
func (f *globalFlags) client() (*client.Client, error) {
	address, err := netip.ParseAddrPort(f.host)
	if err != nil {
		return nil, fmt.Errorf("--host %q is not an address; write IP:port, such as 127.0.0.1:7400", f.host)
	}
	return &client.Client{Address: address, Credential: f.credential}, nil
}

// command registers one subcommand. It returns the full name of the subcommand and the function
// that runs it.
type command func(app *kingpin.Application, flags *globalFlags) (name string, run func(context.Context) error)

func commands() []command {
	return []command{
		serveCommand, frontCommand, checkCommand, applyCommand, configShowCommand, configDiffCommand, configHistoryCommand, configWaitCommand,
		submitCommand, statusCommand, cancelCommand, explainCommand, reportCommand, hostsCommand, targetsCommand, organisationsCommand,
		zoneCordonCommand, zoneUncordonCommand, zoneListCommand, versionCommand,
	}
}

// whileWatching runs a host while hangups handles SIGHUP, until the host has ended: it answers calls
// also after ctx has.
func whileWatching(ctx context.Context, hangups *hangup.Watch, run func(context.Context) error) error {
	watchContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- hangups.Run(watchContext) }()
	err := run(ctx)
	stop()
	if end := <-ended; !errors.Is(end, context.Canceled) {
		err = errors.Join(err, end)
	}
	return err
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	var code exitCode
	switch {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	default:
		fmt.Fprintln(os.Stderr, "eelgrasstide:", err)
		os.Exit(exitError)
	}
}

// run parses the arguments and runs the subcommand that they name.
func run(ctx context.Context, args []string) error {
	flags := &globalFlags{}
	app := kingpin.New("eelgrasstide", usage)
	app.Flag("host", "Address of an entry host or of the load balancer, as IP:port.").Default("127.0.0.1:7400").Envar("EELGRASSTIDE_HOST").StringVar(&flags.host)
	app.Flag("credential", "Operator credential. Prefer the environment variable: other users of the machine can see the arguments.").Envar("EELGRASSTIDE_CREDENTIAL").StringVar(&flags.credential)
	app.Flag("json", "Print JSON, for scripts, in the commands that support it.").BoolVar(&flags.json)
	app.Command("config", "Show the configuration, compare it with files, list its revisions or wait for one.")
	app.Command("zone", "Cordon an availability zone, so that it gets no new work, lift the cordon, or list the cordons.")
	runByName := map[string]func(context.Context) error{}
	for _, register := range commands() {
		name, run := register(app, flags)
		runByName[name] = run
	}
	name, err := app.Parse(args)
	if err != nil {
		return err
	}
	return runByName[name](ctx)
}

// printJSON prints a message as one line of JSON.
func printJSON(message proto.Message) error {
	text, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}

// fetch sends a GET request for a path to the host and decodes the answer into message. An
// error that wraps client.ErrRefused carries the host's own message.
func fetch(ctx context.Context, flags *globalFlags, path string, message proto.Message) error {
	apiClient, err := flags.client()
	if err != nil {
		return err
	}
	text, err := apiClient.Call(ctx, "GET", path, nil)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(text, message)
}

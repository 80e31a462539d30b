// Command eelgrasstide runs an entry host, and is the callers' and operators'
// command line.
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

	"github.com/eelgrasstide/eelgrasstide/pkg/client"
)

const usage = `A scheduler for multi-accelerator jobs under organisation guarantees.

Exit codes: 0 done, 1 error or invalid input, 3 not run, 4 outcome unknown, 5 pending,
6 the work ran and failed, 7 conflict with another operator.

Shell completion: eval "$(eelgrasstide --completion-script-bash)", or -zsh.`

const (
	exitError    = 1
	exitNotRun   = 3
	exitUnknown  = 4
	exitPending  = 5
	exitFailed   = 6
	exitConflict = 7
)

// exit carries an exit code whose message has been printed.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// common is what every subcommand that calls a host shares.
type common struct {
	host       string
	credential string
	json       bool
}

func (c *common) client() (*client.Client, error) {
	address, err := netip.ParseAddrPort(c.host)
	if err != nil {
		return nil, fmt.Errorf("--host %q is not an address; write IP:port, such as 127.0.0.1:7400", c.host)
	}
	return &client.Client{Address: address, Credential: c.credential}, nil
}

// command is one subcommand: its registration and what it does.
type command func(app *kingpin.Application, set *common) (name string, run func(context.Context) error)

func commands() []command {
	return []command{
		serveCommand, frontCommand, checkCommand, applyCommand, configShowCommand, configDiffCommand, configHistoryCommand, configWaitCommand,
		submitCommand, statusCommand, cancelCommand, explainCommand, reportCommand, hostsCommand, targetsCommand, organisationsCommand, versionCommand,
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	var code exit
	switch {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	default:
		fmt.Fprintln(os.Stderr, "eelgrasstide:", err)
		os.Exit(exitError)
	}
}

func run(ctx context.Context, args []string) error {
	set := &common{}
	app := kingpin.New("eelgrasstide", usage)
	app.Flag("host", "Address of an entry host or the balancer.").Default("127.0.0.1:7400").Envar("EELGRASSTIDE_HOST").StringVar(&set.host)
	app.Flag("credential", "Operator credential; better set in the environment.").Envar("EELGRASSTIDE_CREDENTIAL").StringVar(&set.credential)
	app.Flag("json", "Print JSON for scripts.").BoolVar(&set.json)
	app.Command("config", "Read the configuration in force.")
	runs := map[string]func(context.Context) error{}
	for _, register := range commands() {
		name, run := register(app, set)
		runs[name] = run
	}
	name, err := app.Parse(args)
	if err != nil {
		return err
	}
	return runs[name](ctx)
}

// printJSON prints a message as JSON lines.
func printJSON(message proto.Message) error {
	text, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}

// fetch reads a path of the operator interface.
func fetch(ctx context.Context, set *common, path string, into proto.Message) error {
	caller, err := set.client()
	if err != nil {
		return err
	}
	text, err := caller.Call(ctx, "GET", path, nil)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(text, into)
}

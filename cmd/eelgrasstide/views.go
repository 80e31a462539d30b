package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	hostsUsage         = `List the known entry hosts, with the configuration revision in force on each.`
	targetsUsage       = `List the runners and workers of the host's zone, as the host sees them.`
	organisationsUsage = `List the organisations, with their queues and the guarantees that lack capacity.`
	versionUsage       = `Print the version.`
)

// tableCommand registers a subcommand that reads an operator view from the host and prints it
// as a table, or as JSON with --json.
func tableCommand[T proto.Message](app *kingpin.Application, flags *globalFlags, name, usage string, message T, writeRows func(*tabwriter.Writer, T)) (string, func(context.Context) error) {
	cmd := app.Command(name, usage)
	return cmd.FullCommand(), func(ctx context.Context) error {
		if err := fetch(ctx, flags, "/v1/operator/"+name, message); err != nil {
			return err
		}
		if flags.json {
			return printJSON(message)
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		writeRows(table, message)
		return table.Flush()
	}
}

func hostsCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	return tableCommand(app, flags, "hosts", hostsUsage, &wire.HostsView{}, func(table *tabwriter.Writer, hosts *wire.HostsView) {
		fmt.Fprintln(table, "NAME\tZONE\tADDRESS\tREACHABLE\tLEAVING\tREVISION")
		for _, host := range hosts.GetHosts() {
			fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\n", host.GetName(), host.GetZone(), host.GetAddress(), host.GetAlive(), host.GetLeaving(), host.GetConfigurationRevision())
		}
	})
}

func targetsCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	return tableCommand(app, flags, "targets", targetsUsage, &wire.TargetsView{}, func(table *tabwriter.Writer, targets *wire.TargetsView) {
		fmt.Fprintln(table, "NAME\tKIND\tZONE\tRACK\tSTATE\tIN FLIGHT\tFREE ACCELERATORS")
		for _, target := range targets.GetTargets() {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%d\n", target.GetName(), target.GetKind(), target.GetZone(), target.GetRack(), target.GetState(), target.GetInFlight(), target.GetFreeAccelerators())
		}
	})
}

func organisationsCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	return tableCommand(app, flags, "organisations", organisationsUsage, &wire.OrganisationsView{}, func(table *tabwriter.Writer, organisations *wire.OrganisationsView) {
		fmt.Fprintln(table, "NAME\tWEIGHT\tQUEUED\tIN FLIGHT\tGUARANTEES\tSHORT")
		for _, organisation := range organisations.GetOrganisations() {
			fmt.Fprintf(table, "%s\t%g\t%d\t%d\t%s\t%s\n", organisation.GetName(), organisation.GetWeight(), organisation.GetQueued(), organisation.GetInFlight(),
				strings.Join(organisation.GetGuarantees(), ","), strings.Join(organisation.GetShortfalls(), "; "))
		}
	})
}

func versionCommand(app *kingpin.Application, _ *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("version", versionUsage)
	return cmd.FullCommand(), func(context.Context) error {
		version := "development"
		if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
			version = info.Main.Version
		}
		fmt.Println("eelgrasstide", version)
		return nil
	}
}

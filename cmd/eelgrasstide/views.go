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
	hostsUsage         = `List the live entry hosts, with the configuration revision in force on each.`
	targetsUsage       = `List the runners and workers of the host's zone, as the host sees them.`
	organisationsUsage = `List the organisations with their queues and the guarantees that are short.`
	versionUsage       = `Print the version.`
)

// view registers a subcommand that prints a table.
func view[T proto.Message](app *kingpin.Application, set *common, name, usage string, held T, fill func(*tabwriter.Writer, T)) (string, func(context.Context) error) {
	cmd := app.Command(name, usage)
	return cmd.FullCommand(), func(ctx context.Context) error {
		if err := fetch(ctx, set, "/v1/operator/"+name, held); err != nil {
			return err
		}
		if set.json {
			return printJSON(held)
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fill(table, held)
		return table.Flush()
	}
}

func hostsCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	return view(app, set, "hosts", hostsUsage, &wire.HostsView{}, func(table *tabwriter.Writer, held *wire.HostsView) {
		fmt.Fprintln(table, "NAME\tZONE\tADDRESS\tREACHABLE\tLEAVING\tREVISION")
		for _, host := range held.GetHosts() {
			fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\n", host.GetName(), host.GetZone(), host.GetAddress(), host.GetAlive(), host.GetLeaving(), host.GetConfigurationRevision())
		}
	})
}

func targetsCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	return view(app, set, "targets", targetsUsage, &wire.TargetsView{}, func(table *tabwriter.Writer, held *wire.TargetsView) {
		fmt.Fprintln(table, "NAME\tKIND\tZONE\tRACK\tSTATE\tIN FLIGHT\tFREE ACCELERATORS")
		for _, target := range held.GetTargets() {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%d\n", target.GetName(), target.GetKind(), target.GetZone(), target.GetRack(), target.GetState(), target.GetInFlight(), target.GetFreeAccelerators())
		}
	})
}

func organisationsCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	return view(app, set, "organisations", organisationsUsage, &wire.OrganisationsView{}, func(table *tabwriter.Writer, held *wire.OrganisationsView) {
		fmt.Fprintln(table, "NAME\tWEIGHT\tQUEUED\tIN FLIGHT\tGUARANTEES\tSHORT")
		for _, organisation := range held.GetOrganisations() {
			fmt.Fprintf(table, "%s\t%g\t%d\t%d\t%s\t%s\n", organisation.GetName(), organisation.GetWeight(), organisation.GetQueued(), organisation.GetInFlight(),
				strings.Join(organisation.GetGuarantees(), ","), strings.Join(organisation.GetShortfalls(), "; "))
		}
	})
}

func versionCommand(app *kingpin.Application, _ *common) (string, func(context.Context) error) {
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

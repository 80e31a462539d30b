package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	cordonsPath     = "/v1/operator/cordons"
	zoneCordonUsage = `Cordon an availability zone: its targets are given no new work.

Work that runs there goes on. Gang jobs that can run nowhere else wait for the zone.
"targets" shows the state cordoned, and "explain" names the cordon as the cause.

Example: eelgrasstide zone cordon vest-1`
	zoneUncordonUsage = `Lift the cordon of an availability zone.

Example: eelgrasstide zone uncordon vest-1`
	zoneListUsage = `List the cordoned zones: who asked for the cordon, and when.`
)

func zoneCordonCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	return requestCordonCommand(app, flags, "cordon", zoneCordonUsage, &wire.CordonRequest{})
}

func zoneUncordonCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	return requestCordonCommand(app, flags, "uncordon", zoneUncordonUsage, &wire.CordonRequest{Lift: true})
}

// requestCordonCommand registers a subcommand of zone that sends req for the zone of its argument.
func requestCordonCommand(app *kingpin.Application, flags *globalFlags, name, usage string, req *wire.CordonRequest) (string, func(context.Context) error) {
	cmd := app.GetCommand("zone").Command(name, usage)
	zone := cmd.Arg("zone", "Name of the zone.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		req.Zone, req.Operator = *zone, operatorName()
		apiClient, err := flags.client()
		if err != nil {
			return err
		}
		body, err := protojson.Marshal(req)
		if err != nil {
			return err
		}
		text, err := apiClient.Call(ctx, "POST", cordonsPath, body)
		if err != nil {
			return err
		}
		answer := &wire.CordonResponse{}
		if err := protojson.Unmarshal(text, answer); err != nil {
			return err
		}
		if flags.json {
			return printJSON(answer)
		}
		state := "is"
		if !answer.GetChanged() {
			state = "was already"
		}
		fmt.Printf("zone %s %s %sed\n", *zone, state, name)
		return nil
	}
}

func zoneListCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := app.GetCommand("zone").Command("list", zoneListUsage)
	return cmd.FullCommand(), func(ctx context.Context) error {
		cordons := &wire.CordonsView{}
		if err := fetch(ctx, flags, cordonsPath, cordons); err != nil {
			return err
		}
		if flags.json {
			return printJSON(cordons)
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "ZONE\tCORDONED BY\tSINCE")
		for _, record := range cordons.GetCordons() {
			fmt.Fprintf(table, "%s\t%s\t%s\n", record.GetZone(), record.GetOperator(), record.GetAt().AsTime().Format(time.RFC3339))
		}
		return table.Flush()
	}
}

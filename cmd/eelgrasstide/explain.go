package main

import (
	"context"
	"fmt"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const explainUsage = `Say why a job waits, was refused or was moved, or where a request ran.

Example: eelgrasstide explain vest-1:k3jd8s9f2a`

func explainCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := app.Command("explain", explainUsage)
	ticket := cmd.Arg("ticket", "Ticket.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		held := &wire.Explanation{}
		if err := fetch(ctx, set, "/v1/work/"+url.PathEscape(*ticket)+"/explain", held); err != nil {
			return err
		}
		if set.json {
			return printJSON(held)
		}
		fmt.Printf("%s is %s\n", held.GetTicket(), held.GetState())
		for _, line := range held.GetLines() {
			fmt.Println("  " + line)
		}
		return nil
	}
}

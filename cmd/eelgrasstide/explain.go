package main

import (
	"context"
	"fmt"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const explainUsage = `Explain why a job waits, was refused or was moved, or where a request ran.

Example: eelgrasstide explain vest-1:k3jd8s9f2a`

func explainCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("explain", explainUsage)
	ticket := cmd.Arg("ticket", "Ticket of the job or request.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		explanation := &wire.Explanation{}
		if err := fetch(ctx, flags, "/v1/work/"+url.PathEscape(*ticket)+"/explain", explanation); err != nil {
			return err
		}
		if flags.json {
			return printJSON(explanation)
		}
		fmt.Printf("%s is %s\n", explanation.GetTicket(), explanation.GetState())
		for _, line := range explanation.GetLines() {
			fmt.Println("  " + line)
		}
		return nil
	}
}

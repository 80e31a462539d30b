package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const statusUsage = `Print what became of a ticket, on any host.

Example: eelgrasstide status --wait 20s entry-1~k3jd8s9f2a.17`

func statusCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := app.Command("status", statusUsage)
	ticket := cmd.Arg("ticket", "Ticket.").Required().String()
	wait := cmd.Flag("wait", "How long to wait for the end.").Default("0s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		caller, err := set.client()
		if err != nil {
			return err
		}
		deadline := time.Now().Add(*wait)
		for {
			answer, err := caller.Poll(ctx, *ticket, max(0, time.Until(deadline)))
			if err != nil {
				return err
			}
			if answer.Outcome != nil || time.Now().After(deadline) {
				return printAnswer(set, answer)
			}
			time.Sleep(waitPeriod)
		}
	}
}

const cancelUsage = `Cancel work that has not ended.

A gang job can be cancelled on any host; a request to a runner only before it is
dispatched, and on the host that issued its ticket.

Example: eelgrasstide cancel vest-1:k3jd8s9f2a`

func cancelCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := app.Command("cancel", cancelUsage)
	ticket := cmd.Arg("ticket", "Ticket.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		caller, err := set.client()
		if err != nil {
			return err
		}
		answer, err := caller.Cancel(ctx, *ticket)
		if err != nil {
			return err
		}
		if set.json {
			fmt.Println(string(answer.Body))
			return nil
		}
		fmt.Printf("cancelled %s\n", answer.Ticket)
		return nil
	}
}

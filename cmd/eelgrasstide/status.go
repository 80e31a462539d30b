package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const statusUsage = `Print the outcome of a ticket. Any host can answer.

Example: eelgrasstide status --wait 20s entry-1~k3jd8s9f2a.17`

func statusCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("status", statusUsage)
	ticket := cmd.Arg("ticket", "Ticket of the job or request.").Required().String()
	wait := cmd.Flag("wait", "Time to wait for the outcome.").Default("0s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		apiClient, err := flags.client()
		if err != nil {
			return err
		}
		// A host limits the time that one call waits, so a longer wait takes several calls.
		deadline := time.Now().Add(*wait)
		for {
			answer, err := apiClient.Poll(ctx, *ticket, max(0, time.Until(deadline)))
			if err != nil {
				return err
			}
			if answer.Outcome != nil || time.Now().After(deadline) {
				return printAnswer(flags, answer)
			}
			time.Sleep(waitPeriod)
		}
	}
}

const cancelUsage = `Cancel work that has not ended.

A gang job can be cancelled on any host. A request to a runner can be cancelled only
before it is dispatched, and only on the host that issued its ticket.

Example: eelgrasstide cancel vest-1:k3jd8s9f2a`

func cancelCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("cancel", cancelUsage)
	ticket := cmd.Arg("ticket", "Ticket of the job or request.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		apiClient, err := flags.client()
		if err != nil {
			return err
		}
		answer, err := apiClient.Cancel(ctx, *ticket)
		if err != nil {
			return err
		}
		if flags.json {
			fmt.Println(string(answer.Body))
			return nil
		}
		fmt.Printf("cancelled %s\n", answer.Ticket)
		return nil
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/eelgrasstide/eelgrasstide/pkg/client"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const submitUsage = `Send a request and wait for its answer.

The class decides the kind: short work and traces go to runners, gang jobs to
workers. A non-idempotent request needs --key or --ticket, so that a repeat after
a lost answer finds the first one.

Examples:
  eelgrasstide submit --organisation slaegtsnavn --class nameMatch --payload Kjaer
  eelgrasstide submit --organisation slaegtsnavn --class lineageTrace --key order-311 --payload "Kjaer 1790"
  eelgrasstide submit --organisation huallaga --class layout --workers 2 --accelerators 8 --declared 3h --wait 1s`

func submitCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := app.Command("submit", submitUsage)
	req := client.Request{}
	cmd.Flag("organisation", "Organisation.").Required().StringVar(&req.Organisation)
	cmd.Flag("class", "Job class.").Required().StringVar(&req.Class)
	cmd.Flag("key", "Your own name for the request.").StringVar(&req.Key)
	cmd.Flag("ticket", "Ticket of an earlier try.").StringVar(&req.Ticket)
	cmd.Flag("deadline", "How long the answer is of use.").DurationVar(&req.Deadline)
	cmd.Flag("wait", "How long to wait before a pending ticket is returned.").DurationVar(&req.Wait)
	cmd.Flag("workers", "Gang: workers.").IntVar(&req.Workers)
	cmd.Flag("accelerators", "Gang: accelerators on each worker.").IntVar(&req.AcceleratorsPerWorker)
	cmd.Flag("cores", "Gang: cores on each worker.").IntVar(&req.CoresPerWorker)
	cmd.Flag("memory", "Gang: megabytes on each worker.").Int64Var(&req.MemoryMBPerWorker)
	cmd.Flag("declared", "Expected run time.").DurationVar(&req.Declared)
	payload := cmd.Flag("payload", "Payload; - reads standard input.").String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		req.Payload = []byte(*payload)
		if *payload == "-" {
			text, err := io.ReadAll(os.Stdin)
			if err != nil {
				return err
			}
			req.Payload = text
		}
		caller, err := set.client()
		if err != nil {
			return err
		}
		answer, err := caller.Submit(ctx, req)
		if err != nil {
			return err
		}
		return printAnswer(set, answer)
	}
}

// printAnswer prints what became of a request and returns its exit code.
func printAnswer(set *common, answer client.Answer) error {
	if set.json {
		fmt.Println(string(answer.Body))
		return exitFor(answer)
	}
	switch out := answer.Outcome.(type) {
	case nil:
		fmt.Printf("pending %s %s\n", answer.Ticket, answer.Detail)
	case outcome.Done:
		word := "done"
		if out.Failed {
			word = "failed"
		}
		fmt.Printf("%s %s host=%s target=%s attempts=%d took=%s %s%s\n", word, answer.Ticket, answer.Host, out.Target, answer.Attempts, answer.Took, out.Reason, out.Answer)
	case outcome.NotRun:
		fmt.Printf("notRun %s: %s; %s\n", answer.Ticket, out.Reason, out.Remedy)
	case outcome.Unknown:
		fmt.Printf("unknown %s: %s\n", answer.Ticket, out.Reason)
	}
	return exitFor(answer)
}

func exitFor(answer client.Answer) error {
	switch out := answer.Outcome.(type) {
	case outcome.Done:
		if out.Failed {
			return exit(exitFailed)
		}
		return nil
	case outcome.NotRun:
		return exit(exitNotRun)
	case outcome.Unknown:
		return exit(exitUnknown)
	}
	return exit(exitPending)
}

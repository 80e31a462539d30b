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

The class determines the kind of work: short requests and traces go to runners, gang
jobs to workers. Give a non-idempotent request a --key or --ticket, so that a repeat
after a lost answer finds the first request instead of running again.

Examples:
  eelgrasstide submit --organisation slaegtsnavn --class nameMatch --payload Kjaer
  eelgrasstide submit --organisation slaegtsnavn --class lineageTrace --key order-311 --payload "Kjaer 1790"
  eelgrasstide submit --organisation huallaga --class layout --workers 2 --accelerators 8 --declared 3h --wait 1s`

func submitCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("submit", submitUsage)
	req := client.Request{}
	cmd.Flag("organisation", "Organisation that submits the request.").Required().StringVar(&req.Organisation)
	cmd.Flag("class", "Class of the request.").Required().StringVar(&req.Class)
	cmd.Flag("key", "Key of your choice that identifies the request; a repeat carries the same key.").StringVar(&req.Key)
	cmd.Flag("ticket", "Ticket of an earlier attempt at the same request.").StringVar(&req.Ticket)
	cmd.Flag("deadline", "Time after which the answer is no longer needed; default: the deadline of the class.").DurationVar(&req.Deadline)
	cmd.Flag("wait", "Time to wait for the outcome before the request is reported as pending; default: the deadline, or 0s for gang jobs.").DurationVar(&req.Wait)
	cmd.Flag("workers", "Gang jobs: number of workers.").IntVar(&req.Workers)
	cmd.Flag("accelerators", "Gang jobs: accelerators on each worker.").IntVar(&req.AcceleratorsPerWorker)
	cmd.Flag("cores", "Gang jobs: cores on each worker.").IntVar(&req.CoresPerWorker)
	cmd.Flag("memory", "Gang jobs: memory on each worker, in megabytes.").Int64Var(&req.MemoryMBPerWorker)
	cmd.Flag("declared", "Expected run time; required for gang jobs.").DurationVar(&req.Declared)
	payload := cmd.Flag("payload", "Payload of the request; - reads it from standard input.").String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		req.Payload = []byte(*payload)
		if *payload == "-" {
			input, err := io.ReadAll(os.Stdin)
			if err != nil {
				return err
			}
			req.Payload = input
		}
		apiClient, err := flags.client()
		if err != nil {
			return err
		}
		answer, err := apiClient.Submit(ctx, req)
		if err != nil {
			return err
		}
		return printAnswer(flags, answer)
	}
}

// printAnswer prints the state or outcome of a request and returns its exit code as an error;
// nil if the work was done.
func printAnswer(flags *globalFlags, answer client.Answer) error {
	if flags.json {
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

// exitFor returns the exit code of an answer as an error; nil if the work was done.
func exitFor(answer client.Answer) error {
	switch out := answer.Outcome.(type) {
	case outcome.Done:
		if out.Failed {
			return exitCode(exitFailed)
		}
		return nil
	case outcome.NotRun:
		return exitCode(exitNotRun)
	case outcome.Unknown:
		return exitCode(exitUnknown)
	}
	return exitCode(exitPending)
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/eelgrasstide/eelgrasstide/internal/jobreport"
)

const reportUsage = `Summarise the outcomes of jobs from hosts' logs, and the causes of late ones.

Example: eelgrasstide report host-*.log`

func reportCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("report", reportUsage)
	files := cmd.Arg("file", "Log files; default: standard input.").Strings()
	return cmd.FullCommand(), func(context.Context) error {
		summary := &jobreport.Summary{}
		if len(*files) == 0 {
			if err := summary.ReadLog(os.Stdin); err != nil {
				return err
			}
		}
		for _, path := range *files {
			if err := readLog(summary, path); err != nil {
				return err
			}
		}
		if !flags.json {
			return summary.WriteTable(os.Stdout)
		}
		return json.NewEncoder(os.Stdout).Encode(summary.Rows())
	}
}

// readLog adds the events of a log file to a summary.
func readLog(into *jobreport.Summary, path string) (err error) {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w; name log files that can be read", err)
	}
	defer func() { err = errors.Join(err, io.Closer(file).Close()) }()
	return into.ReadLog(file)
}

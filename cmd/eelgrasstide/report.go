package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/eelgrasstide/eelgrasstide/internal/account"
)

const reportUsage = `Sum up from hosts' logs what became of the jobs, and why late ones were late.

Example: eelgrasstide report host-*.log`

func reportCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := app.Command("report", reportUsage)
	files := cmd.Arg("file", "Logs; standard input if none is named.").Strings()
	return cmd.FullCommand(), func(context.Context) error {
		held := &account.Account{}
		if len(*files) == 0 {
			if err := held.Read(os.Stdin); err != nil {
				return err
			}
		}
		for _, path := range *files {
			if err := readLog(held, path); err != nil {
				return err
			}
		}
		if !set.json {
			return held.Write(os.Stdout)
		}
		return json.NewEncoder(os.Stdout).Encode(held.Rows())
	}
}

func readLog(into *account.Account, path string) (err error) {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w; name readable logs", err)
	}
	defer func() { err = errors.Join(err, io.Closer(file).Close()) }()
	return into.Read(file)
}

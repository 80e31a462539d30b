package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	configShowUsage = `Print the files of a revision, by default the one in force.

Example: eelgrasstide config show --revision 12`
	configDiffUsage = `Print what a folder or file would change.

Example: eelgrasstide config diff ./configuration`
	configHistoryUsage = `List the revisions that are kept: number, time, operator, files changed.`
	configWaitUsage    = `Wait until a revision is in force on every reachable host.

Hosts that miss it when the time is over are named, and the exit code is 5.

Example: eelgrasstide config wait --revision 12 --timeout 18s`
	waitPeriod  = 250 * time.Millisecond
	diffContext = 3
)

func configCommand(app *kingpin.Application, name, usage string) *kingpin.CmdClause {
	return app.GetCommand("config").Command(name, usage)
}

func configShowCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := configCommand(app, "show", configShowUsage)
	revision := cmd.Flag("revision", "Revision; 0 means the one in force.").Int64()
	return cmd.FullCommand(), func(ctx context.Context) error {
		held, err := readConfiguration(ctx, set, *revision)
		if err != nil {
			return err
		}
		if set.json {
			return printJSON(held)
		}
		fmt.Printf("# revision %d\n", held.GetManifest().GetRevision())
		for _, file := range held.GetFiles() {
			fmt.Printf("# file %s\n%s\n", file.GetName(), strings.TrimSpace(string(file.GetContent())))
		}
		return nil
	}
}

func readConfiguration(ctx context.Context, set *common, revision int64) (*wire.ConfigurationView, error) {
	path := "/v1/operator/configuration"
	if revision > 0 {
		path += fmt.Sprintf("?revision=%d", revision)
	}
	held := &wire.ConfigurationView{}
	return held, fetch(ctx, set, path, held)
}

func configDiffCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := configCommand(app, "diff", configDiffUsage)
	path := cmd.Arg("path", "Folder, or one file.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		files, err := readFiles(*path)
		if err != nil {
			return err
		}
		held, err := readConfiguration(ctx, set, 0)
		if err != nil {
			return err
		}
		before := map[string]string{}
		for _, file := range held.GetFiles() {
			before[file.GetName()] = string(file.GetContent())
		}
		for _, file := range files {
			text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
				A: difflib.SplitLines(before[file.Name]), B: difflib.SplitLines(string(file.Text)),
				FromFile: file.Name + " (in force)", ToFile: file.Name, Context: diffContext,
			})
			if err != nil {
				return err
			}
			fmt.Print(text)
		}
		return nil
	}
}

func configHistoryCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := configCommand(app, "history", configHistoryUsage)
	return cmd.FullCommand(), func(ctx context.Context) error {
		held := &wire.HistoryView{}
		if err := fetch(ctx, set, "/v1/operator/configuration/history", held); err != nil {
			return err
		}
		if set.json {
			return printJSON(held)
		}
		for _, manifest := range held.GetManifests() {
			fmt.Printf("%d\t%s\t%s\t%s\n", manifest.GetRevision(), manifest.GetAt().AsTime().Format(time.RFC3339),
				manifest.GetOperator(), strings.Join(manifest.GetChanged(), ","))
		}
		return nil
	}
}

func configWaitCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := configCommand(app, "wait", configWaitUsage)
	revision := cmd.Flag("revision", "Revision to wait for.").Required().Int64()
	timeout := cmd.Flag("timeout", "Time to wait.").Default("18s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		deadline := time.Now().Add(*timeout)
		for {
			missing, total, err := missingHosts(ctx, set, *revision)
			if err != nil {
				return err
			}
			if len(missing) == 0 {
				fmt.Printf("revision %d is in force on %d hosts\n", *revision, total)
				return nil
			}
			if time.Now().After(deadline) {
				fmt.Printf("revision %d is not in force on: %s\n", *revision, strings.Join(missing, ", "))
				return exit(exitPending)
			}
			time.Sleep(waitPeriod)
		}
	}
}

// missingHosts names the hosts that are listed and do not have the revision yet.
func missingHosts(ctx context.Context, set *common, revision int64) (missing []string, total int, err error) {
	held := &wire.HostsView{}
	if err := fetch(ctx, set, "/v1/operator/hosts", held); err != nil {
		return nil, 0, err
	}
	for _, host := range held.GetHosts() {
		switch {
		case !host.GetAlive():
			missing = append(missing, host.GetName()+" (unreachable)")
		case host.GetConfigurationRevision() < revision:
			missing = append(missing, host.GetName())
		}
	}
	return missing, len(held.GetHosts()), nil
}

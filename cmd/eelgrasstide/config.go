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
	configShowUsage = `Print the files of a revision, by default the one in force on the host.

Example: eelgrasstide config show --revision 12`
	configDiffUsage = `Print the differences between the files in force on the host and local files.

Example: eelgrasstide config diff ./configuration`
	configHistoryUsage = `List the revisions that the store keeps: number, time, operator, changed files.`
	configWaitUsage    = `Wait until a revision or a later one is in force on every known host.

If the timeout expires first, the hosts without it and the unreachable hosts are
printed, and the exit code is 5.

Example: eelgrasstide config wait --revision 12 --timeout 18s`
	// waitPeriod is the pause between two polls of the host.
	waitPeriod = 250 * time.Millisecond
	// diffContext is the number of unchanged lines around a difference.
	diffContext = 3
)

// configCommand adds a subcommand of config.
func configCommand(app *kingpin.Application, name, usage string) *kingpin.CmdClause {
	return app.GetCommand("config").Command(name, usage)
}

func configShowCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := configCommand(app, "show", configShowUsage)
	revision := cmd.Flag("revision", "Revision to print; 0 means the one in force on the host.").Int64()
	return cmd.FullCommand(), func(ctx context.Context) error {
		configuration, err := readConfiguration(ctx, flags, *revision)
		if err != nil {
			return err
		}
		if flags.json {
			return printJSON(configuration)
		}
		fmt.Printf("# revision %d\n", configuration.GetManifest().GetRevision())
		for _, file := range configuration.GetFiles() {
			fmt.Printf("# file %s\n%s\n", file.GetName(), strings.TrimSpace(string(file.GetContent())))
		}
		return nil
	}
}

// readConfiguration reads a revision of the configuration from the host. A revision of 0 means
// the one in force on the host.
func readConfiguration(ctx context.Context, flags *globalFlags, revision int64) (*wire.ConfigurationView, error) {
	path := "/v1/operator/configuration"
	if revision > 0 {
		path += fmt.Sprintf("?revision=%d", revision)
	}
	configuration := &wire.ConfigurationView{}
	return configuration, fetch(ctx, flags, path, configuration)
}

func configDiffCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := configCommand(app, "diff", configDiffUsage)
	path := cmd.Arg("path", "Folder of .toml files, or one file.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		files, err := readFiles(*path)
		if err != nil {
			return err
		}
		configuration, err := readConfiguration(ctx, flags, 0)
		if err != nil {
			return err
		}
		before := map[string]string{}
		for _, file := range configuration.GetFiles() {
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

func configHistoryCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := configCommand(app, "history", configHistoryUsage)
	return cmd.FullCommand(), func(ctx context.Context) error {
		history := &wire.HistoryView{}
		if err := fetch(ctx, flags, "/v1/operator/configuration/history", history); err != nil {
			return err
		}
		if flags.json {
			return printJSON(history)
		}
		for _, manifest := range history.GetManifests() {
			fmt.Printf("%d\t%s\t%s\t%s\n", manifest.GetRevision(), manifest.GetAt().AsTime().Format(time.RFC3339),
				manifest.GetOperator(), strings.Join(manifest.GetChanged(), ","))
		}
		return nil
	}
}

func configWaitCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := configCommand(app, "wait", configWaitUsage)
	revision := cmd.Flag("revision", "Revision to wait for.").Required().Int64()
	timeout := cmd.Flag("timeout", "Maximum time to wait.").Default("18s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		deadline := time.Now().Add(*timeout)
		for {
			missing, total, err := missingHosts(ctx, flags, *revision)
			if err != nil {
				return err
			}
			if len(missing) == 0 {
				fmt.Printf("revision %d is in force on %d hosts\n", *revision, total)
				return nil
			}
			if time.Now().After(deadline) {
				fmt.Printf("revision %d is not in force on: %s\n", *revision, strings.Join(missing, ", "))
				return exitCode(exitPending)
			}
			time.Sleep(waitPeriod)
		}
	}
}

// missingHosts returns the names of the known hosts that are unreachable or have an earlier
// revision in force, and the number of known hosts.
func missingHosts(ctx context.Context, flags *globalFlags, revision int64) (missing []string, total int, err error) {
	known := &wire.HostsView{}
	if err := fetch(ctx, flags, "/v1/operator/hosts", known); err != nil {
		return nil, 0, err
	}
	for _, host := range known.GetHosts() {
		switch {
		case !host.GetAlive():
			missing = append(missing, host.GetName()+" (unreachable)")
		case host.GetConfigurationRevision() < revision:
			missing = append(missing, host.GetName())
		}
	}
	return missing, len(known.GetHosts()), nil
}

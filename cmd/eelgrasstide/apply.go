package main

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/client"
)

const applyUsage = `Add, replace or remove files of the configuration; other files do not change.

The change is based on the revision that --base names, by default the revision in
force on the host. Two operators who change different files both succeed. If someone
else has changed the same file since the base revision, nothing is changed, the
difference is printed, and the exit code is 7.

Examples:
  eelgrasstide apply ./configuration
  eelgrasstide apply --base 12 ./configuration/30-badges.toml
  eelgrasstide apply --remove 30-badges.toml`

func applyCommand(app *kingpin.Application, flags *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("apply", applyUsage)
	path := cmd.Arg("path", "Folder of .toml files, or one file.").String()
	base := cmd.Flag("base", "Revision that the change is based on; -1 means the one in force on the host.").Default("-1").Int64()
	removed := cmd.Flag("remove", "Name of a file to remove; may be repeated.").Strings()
	return cmd.FullCommand(), func(ctx context.Context) error {
		req := &wire.ApplyRequest{BaseRevision: *base, Operator: operatorName()}
		if *path != "" {
			files, err := readFiles(*path)
			if err != nil {
				return err
			}
			for _, file := range files {
				req.Files = append(req.Files, &wire.ConfigurationFileBody{Name: file.Name, Content: file.Text})
			}
		}
		for _, name := range *removed {
			req.Files = append(req.Files, &wire.ConfigurationFileBody{Name: name, Removed: true})
		}
		if len(req.GetFiles()) == 0 {
			return errors.New("nothing to apply; name a folder or file, or remove a file with --remove")
		}
		return apply(ctx, flags, req)
	}
}

// operatorName returns the name of the user who runs the command, for the configuration's
// history.
func operatorName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// apply sends the change to the host and prints the result. A conflict with another operator's
// change is printed and returned as exitConflict.
func apply(ctx context.Context, flags *globalFlags, req *wire.ApplyRequest) error {
	if req.GetBaseRevision() < 0 {
		inForce := &wire.ConfigurationView{}
		if err := fetch(ctx, flags, "/v1/operator/configuration", inForce); err != nil {
			return err
		}
		req.BaseRevision = inForce.GetManifest().GetRevision()
	}
	apiClient, err := flags.client()
	if err != nil {
		return err
	}
	body, err := protojson.Marshal(req)
	if err != nil {
		return err
	}
	text, err := apiClient.Call(ctx, "POST", "/v1/operator/configuration", body)
	if errors.Is(err, client.ErrRefused) && strings.Contains(err.Error(), "(conflict)") {
		fmt.Println(err)
		return exitCode(exitConflict)
	}
	if err != nil {
		return err
	}
	answer := &wire.ApplyResponse{}
	if err := protojson.Unmarshal(text, answer); err != nil {
		return err
	}
	if flags.json {
		return printJSON(answer)
	}
	if len(answer.GetChanged()) == 0 {
		fmt.Printf("nothing changed; revision %d stays in force\n", answer.GetRevision())
		return nil
	}
	fmt.Printf("accepted as revision %d: %s\n", answer.GetRevision(), strings.Join(answer.GetChanged(), ", "))
	return nil
}

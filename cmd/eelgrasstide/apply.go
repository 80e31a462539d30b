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

const applyUsage = `Replace the files named, and no others, in the configuration in force.

The change is made on the revision that --base names, by default the newest one.
Two operators who change different files both succeed. If someone else has changed
the same file after the base, nothing is changed, the difference is printed, and
the exit code is 7.

Examples:
  eelgrasstide apply ./configuration
  eelgrasstide apply --base 12 ./configuration/30-badges.toml
  eelgrasstide apply --remove 30-badges.toml`

func applyCommand(app *kingpin.Application, set *common) (string, func(context.Context) error) {
	cmd := app.Command("apply", applyUsage)
	path := cmd.Arg("path", "Folder, or one file.").String()
	base := cmd.Flag("base", "Revision that the change was made on; -1 means the newest.").Default("-1").Int64()
	removed := cmd.Flag("remove", "Name of a file to remove.").Strings()
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
			return errors.New("nothing to apply; name a folder or file, or use --remove")
		}
		return apply(ctx, set, req)
	}
}

func operatorName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

func apply(ctx context.Context, set *common, req *wire.ApplyRequest) error {
	if req.GetBaseRevision() < 0 {
		held := &wire.ConfigurationView{}
		if err := fetch(ctx, set, "/v1/operator/configuration", held); err != nil {
			return err
		}
		req.BaseRevision = held.GetManifest().GetRevision()
	}
	caller, err := set.client()
	if err != nil {
		return err
	}
	body, err := protojson.Marshal(req)
	if err != nil {
		return err
	}
	text, err := caller.Call(ctx, "POST", "/v1/operator/configuration", body)
	if errors.Is(err, client.ErrRefused) && strings.Contains(err.Error(), "(conflict)") {
		fmt.Println(err)
		return exit(exitConflict)
	}
	if err != nil {
		return err
	}
	answer := &wire.ApplyResponse{}
	if err := protojson.Unmarshal(text, answer); err != nil {
		return err
	}
	if set.json {
		return printJSON(answer)
	}
	if len(answer.GetChanged()) == 0 {
		fmt.Printf("nothing changed; revision %d stays in force\n", answer.GetRevision())
		return nil
	}
	fmt.Printf("accepted as revision %d: %s\n", answer.GetRevision(), strings.Join(answer.GetChanged(), ", "))
	return nil
}

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/eelgrasstide/eelgrasstide/internal/rules"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
)

const checkUsage = `Check configuration files, without calling a host.

The files of a folder that end in .toml are merged in the order of their names.
Each mistake is printed as file:line: key: what is wrong; what to do.
With --settings, it checks the settings file that ` + ownSettingsVariable + ` names for front.

Examples: eelgrasstide check ./configuration
          eelgrasstide check --settings front.toml`

func checkCommand(app *kingpin.Application, _ *globalFlags) (string, func(context.Context) error) {
	cmd := app.Command("check", checkUsage)
	path := cmd.Arg("path", "Folder of .toml files, or one file.").String()
	front := cmd.Flag("settings", "Settings file of front.").String()
	return cmd.FullCommand(), func(context.Context) error {
		if *path == "" && *front == "" {
			return errors.New("nothing to check; name a folder, a file, or a settings file with --settings")
		}
		if *front != "" {
			if _, err := settings.LoadFront(*front); err != nil {
				return err
			}
			fmt.Println("the settings are valid")
		}
		if *path == "" {
			return nil
		}
		files, err := readFiles(*path)
		if err != nil {
			return err
		}
		_, problems := rules.Merge(0, files)
		for _, problem := range problems {
			fmt.Println(problem)
		}
		if len(problems) > 0 {
			return exitCode(exitError)
		}
		fmt.Printf("%d files are valid\n", len(files))
		return nil
	}
}

// readFiles reads one file, or every .toml file of a folder. It skips files whose names begin
// with a dot, and returns an error if a folder has no .toml file.
func readFiles(path string) ([]rules.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%w; name an existing file or folder", err)
	}
	paths := []string{path}
	if info.IsDir() {
		if paths, err = filepath.Glob(filepath.Join(path, "*.toml")); err != nil {
			return nil, err
		}
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s has no .toml files; name a folder of configuration files", path)
	}
	var out []rules.File
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		name := filepath.Base(path)
		if strings.HasPrefix(name, ".") {
			continue
		}
		out = append(out, rules.File{Name: name, Text: text})
	}
	return out, nil
}

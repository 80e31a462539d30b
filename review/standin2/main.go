//go:build review2

// Command standin2 holds the stand-ins and the cases of the second review. It starts the project's own
// programs as processes, plays the platform, the runners and the clients for them, and checks one rule.
//
//	review-2 CASE FOLDER
//
// FOLDER gets record.txt. TROUBLE=0 leaves the disruption out. The exit code is 0 if the rule held, 1 if it
// was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// cases holds the cases by name. Each returns an error if it could not run; broken rules are in the record.
var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := []string{}
		for name := range cases {
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER; cases:", strings.Join(names, ", "))
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	w, err := newWorld(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return 2
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cases[name](w) }()
	select {
	case err = <-ended:
	case caught := <-interrupted:
		err = fmt.Errorf("ended by %s", caught)
	}
	return w.verdict(err)
}

//go:build review3

// Command standin3 runs one case of the review: it starts stand-ins for the platform's store and its runners, the
// project's entry hosts as processes, and the clients and disturbances of the case. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by the name of their folder.
var cases = map[string]func(*stage) (broken bool, err error){
	"lasting": lastingTasks, "storm": configurationStorm, "failing": failingTasks, "unavailable": unavailableTasks, "rack": rackGang, "restart": restartInOutage, "lost": lostRunner,
}

// longest is how long a case may take.
const longest = 110 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, record string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	s := &stage{maxHold: 6 * time.Second, dir: dir, program: program, trouble: os.Getenv("TROUBLE"), log: &recorder{began: time.Now(), file: file, runs: map[string][]*interval{}}}
	defer s.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(longest):
		}
		s.log.add("the case was ended before its end")
		s.close()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	s.log.add("case %s, TROUBLE=%q", name, s.trouble)
	broken, err := cases[name](s)
	switch {
	case err != nil:
		s.log.add("the case could not run: %v", err)
		return 2
	case broken:
		s.log.add("RESULT: the rule was broken")
		return 1
	}
	s.log.add("RESULT: the rule held")
	return 0
}

// recorder writes what was sent, answered and run to the record, and keeps the runs.
type recorder struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	runs  map[string][]*interval
}

// interval is a run of a task on a runner; ended is zero while it goes on.
type interval struct {
	runner       string
	number       int
	begun, ended time.Time
	how          string
}

func (l *recorder) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line(format, args...)
}

func (l *recorder) line(format string, args ...any) {
	fmt.Fprintf(l.file, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

func (l *recorder) begun(runner, task string, number int, token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[task] = append(l.runs[task], &interval{runner: runner, number: number, begun: time.Now()})
	l.line("run begins: %s/%d on %s, fencing token %d", task, number, runner, token)
}

func (l *recorder) ended(runner, task string, number int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range l.runs[task] {
		if i.runner == runner && i.number == number && i.ended.IsZero() {
			i.ended, i.how = time.Now(), how
		}
	}
	l.line("run ends: %s/%d on %s, %s", task, number, runner, how)
}

// of returns the runs of a task.
func (l *recorder) of(task string) []interval {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []interval{}
	for _, i := range l.runs[task] {
		out = append(out, *i)
	}
	return out
}

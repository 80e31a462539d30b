// Package account sums up from the hosts' logs what became of the accepted jobs, and why
// those that were late were.
package account

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
)

const (
	// maxLine bounds one line of the log.
	maxLine = 1 << 20
	// waitedPart of its objective spent before its first run, a job was late for waiting.
	waitedPart = 0.25
	// awayTime is how old a job is when the planner learns of it, if there was none before.
	awayTime = 500 * time.Millisecond
	// lateFactor times its objective, a job earns nothing any more.
	lateFactor = 3
)

// Account holds what was read. The zero value is ready.
type Account struct {
	jobs    map[string]*job
	refused map[string]int
}

type job struct {
	queue     string
	known     time.Duration
	waited    time.Duration
	objective time.Duration
	age       time.Duration
	phase     string
	preempted int
	moved     int
	lost      int
	failed    int
	placed    bool
}

// event is what the account needs of one line.
type event struct {
	Message   string `json:"message"`
	Job       string `json:"job"`
	Queue     string `json:"queue"`
	Kind      string `json:"kind"`
	Age       string `json:"age"`
	Waited    string `json:"waited"`
	Objective string `json:"objective"`
	Phase     string `json:"phase"`
	Reason    string `json:"reason"`
	How       string `json:"how"`
}

// Read takes the log of any number of hosts. What precedes a line's JSON, such as a host's
// name, is skipped, and so are lines that are not the product's.
func (a *Account) Read(from io.Reader) error {
	if a.jobs == nil {
		a.jobs, a.refused = map[string]*job{}, map[string]int{}
	}
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Bytes()
		start := bytes.IndexByte(line, '{')
		e := event{}
		if start < 0 || json.Unmarshal(line[start:], &e) != nil {
			continue
		}
		a.take(e)
	}
	if err := lines.Err(); err != nil {
		return fault.Invalid.New("give the hosts' logs, a JSON object a line", "Account.Read: %v", err)
	}
	return nil
}

func (a *Account) take(e event) {
	if e.Message == "intake: call refused" {
		a.refused[e.Kind]++
		return
	}
	if e.Job == "" {
		return
	}
	j := a.jobs[e.Job]
	if j == nil {
		j = &job{}
		a.jobs[e.Job] = j
	}
	j.queue = cmp.Or(j.queue, e.Queue)
	switch e.Message {
	case "scheduler: job known":
		j.known = max(j.known, duration(e.Age))
	case "scheduler: run placed":
		if !j.placed {
			j.waited, j.objective, j.placed = duration(e.Waited), duration(e.Objective), true
		}
	case "scheduler: run stopped":
		if strings.HasPrefix(e.Reason, "preempted") {
			j.preempted++
		}
	case "scheduler: run moved":
		j.moved++
	case "scheduler: run lost":
		j.lost++
	case "scheduler: run ended":
		if e.How == "failed" {
			j.failed++
		}
	case "scheduler: job ended":
		j.phase, j.age, j.objective = e.Phase, duration(e.Age), duration(e.Objective)
	}
}

func duration(text string) time.Duration {
	took, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return took
}

// outcome is what became of a job.
func (j *job) outcome() string {
	switch {
	case j.phase == "":
		return "open"
	case j.phase != "done":
		return j.phase
	case j.age <= j.objective:
		return "on time"
	case j.age <= lateFactor*j.objective:
		return "late"
	}
	return "too late"
}

// cause is why a job was late, the gravest first.
func (j *job) cause() string {
	switch {
	case !j.placed:
		return "never placed"
	case j.lost > 0:
		return "a run was lost"
	case j.failed > 0:
		return "a run failed"
	case j.preempted > 0:
		return "preempted"
	case j.moved > 0:
		return "moved"
	case j.known > awayTime:
		return "no planner"
	case float64(j.waited) > waitedPart*float64(j.objective):
		return "waited for room"
	}
	return "slow target or estimate"
}

// Row counts the jobs of a queue with one outcome, and with one cause if they were late.
type Row struct {
	Queue   string `json:"queue"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause,omitempty"`
	Jobs    int    `json:"jobs"`
}

// Rows returns the counts by queue, outcome and cause, then the refused calls by kind.
func (a *Account) Rows() []Row {
	counts := map[Row]int{}
	for _, j := range a.jobs {
		if j.queue == "" {
			continue
		}
		row := Row{Queue: j.queue, Outcome: j.outcome()}
		if row.Outcome == "late" || row.Outcome == "too late" || row.Outcome == "open" {
			row.Cause = j.cause()
		}
		counts[row]++
	}
	for kind, count := range a.refused {
		counts[Row{Outcome: "refused", Cause: kind}] = count
	}
	rows := slices.SortedFunc(maps.Keys(counts), func(x, y Row) int {
		return cmp.Or(cmp.Compare(y.Queue, x.Queue), cmp.Compare(x.Outcome, y.Outcome), cmp.Compare(counts[y], counts[x]), cmp.Compare(x.Cause, y.Cause))
	})
	for i := range rows {
		rows[i].Jobs = counts[rows[i]]
	}
	return rows
}

// Write prints the rows as a table.
func (a *Account) Write(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "QUEUE\tOUTCOME\tCAUSE\tCOUNT")
	for _, row := range a.Rows() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", row.Queue, row.Outcome, row.Cause, row.Jobs)
	}
	return table.Flush()
}

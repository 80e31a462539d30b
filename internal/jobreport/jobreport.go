// Package jobreport summarises the outcomes of accepted jobs from the hosts' logs, and the
// causes of those that were late.
package jobreport

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

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
)

const (
	// maxLine is the longest line that ReadLog accepts, in bytes.
	maxLine = 1 << 20
	// waitedShare is the share of its objective above which the wait for its first run counts
	// as the cause of a job's lateness.
	waitedShare = 0.25
	// noPlannerAge is the age above which a job that the planner had not known before must have
	// waited for a planner.
	noPlannerAge = 500 * time.Millisecond
	// lateFactor is the multiple of its objective after which a job has no value any more.
	lateFactor = 3
)

// Summary collects the events of jobs from logs. The zero value is ready for use.
type Summary struct {
	jobs    map[string]*job
	refused map[string]int
}

// job is what the logs say about one job.
type job struct {
	queue string
	// known is the age of the job when a planner learned of it, the highest if several did.
	known time.Duration
	// waited is the wait for the first run, and age the age at the end of the job.
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

// event holds the fields of a log line that a Summary uses.
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

// ReadLog reads a log of one or several hosts. It skips text before the JSON object of a line,
// such as a host's name, and lines without an object that it can decode. Errors are Invalid.
func (s *Summary) ReadLog(from io.Reader) error {
	if s.jobs == nil {
		s.jobs, s.refused = map[string]*job{}, map[string]int{}
	}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		e := event{}
		if start < 0 || json.Unmarshal(line[start:], &e) != nil {
			continue
		}
		s.add(e)
	}
	if err := scanner.Err(); err != nil {
		return errkind.Invalid.New("give the hosts' logs, one JSON object of at most 1 MiB per line", "Summary.ReadLog: %v", err)
	}
	return nil
}

// add updates the job of an event, or counts a refused call.
func (s *Summary) add(e event) {
	if e.Message == "intake: call refused" {
		s.refused[e.Kind]++
		return
	}
	if e.Job == "" {
		return
	}
	j := s.jobs[e.Job]
	if j == nil {
		j = &job{}
		s.jobs[e.Job] = j
	}
	j.queue = cmp.Or(j.queue, e.Queue)
	switch e.Message {
	case "scheduler: job known":
		j.known = max(j.known, parseDuration(e.Age))
	case "scheduler: run placed":
		if !j.placed {
			j.waited, j.objective, j.placed = parseDuration(e.Waited), parseDuration(e.Objective), true
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
		j.phase, j.age, j.objective = e.Phase, parseDuration(e.Age), parseDuration(e.Objective)
	}
}

// parseDuration returns 0 for a text that is not a duration.
func parseDuration(text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return parsed
}

// outcome returns the phase in which a job ended, or for a job that is done, how late it was;
// "open" if its end is not in the logs.
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

// cause returns why a job was late or has not ended. If several causes apply, it returns the
// most severe one.
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
	case j.known > noPlannerAge:
		return "no planner"
	case float64(j.waited) > waitedShare*float64(j.objective):
		return "waited for room"
	}
	return "slow target or estimate"
}

// Row is the number of jobs of a queue with one outcome, and with one cause if they were late
// or have not ended. A row for refused calls has no queue, and the kind of error as its cause.
type Row struct {
	Queue   string `json:"queue"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause,omitempty"`
	Jobs    int    `json:"jobs"`
}

// Rows returns the numbers of jobs by queue, outcome and cause, then the numbers of refused
// calls by kind of error. Queues are in reverse alphabetical order, so that urgent comes first
// and refused calls last.
func (s *Summary) Rows() []Row {
	counts := map[Row]int{}
	for _, j := range s.jobs {
		if j.queue == "" {
			continue
		}
		row := Row{Queue: j.queue, Outcome: j.outcome()}
		if row.Outcome == "late" || row.Outcome == "too late" || row.Outcome == "open" {
			row.Cause = j.cause()
		}
		counts[row]++
	}
	for kind, count := range s.refused {
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

// WriteTable prints the rows as a table. Errors are those of the writer.
func (s *Summary) WriteTable(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "QUEUE\tOUTCOME\tCAUSE\tCOUNT")
	for _, row := range s.Rows() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", row.Queue, row.Outcome, row.Cause, row.Jobs)
	}
	return table.Flush()
}

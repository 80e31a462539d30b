// Package target describes the runners and workers that run tasks, and what is
// asked of them.
package target

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Listing is a target as it registered itself.
type Listing struct {
	ID           string
	Service      string
	Address      netip.AddrPort
	Zone         string
	Capacity     workload.Resources
	Labels       []string
	Rack         string
	Draining     bool
	DrainingLeft time.Duration
	// Born is the time of this life's start; a restarted target keeps its ID and has another Born.
	Born  int64
	Clock time.Duration
}

// Task names a task of a job.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Run is one start of a task.
type Run struct {
	Task   Task
	Number int
}

// Running is a run that a target reports as present.
type Running struct {
	Run
	Checkpoint string
	// Percent is the progress; for a long-running task 100 says that it is at work.
	Percent int
	// Load is the recent use of cores in thousandths, or the tail latency in
	// milliseconds of a task that serves users.
	Load float64
}

// How says how a run ended.
type How int

// The ways in which a run ends.
const (
	Done How = iota + 1
	// Failed by its own fault or the target's.
	Failed
	Stopped
	// Lapsed: its lease expired.
	Lapsed
	// Broken: another member of its gang ended.
	Broken
	// Alone: the other members of its gang did not arrive in time.
	Alone
)

var howNames = map[How]string{Done: "done", Failed: "failed", Stopped: "stopped", Lapsed: "lapsed", Broken: "broken", Alone: "alone"}

func (h How) String() string { return howNames[h] }

// Ended is the end of a run, numbered by the target from 1 in each life.
type Ended struct {
	Run
	Number     int64
	How        How
	Checkpoint string
}

// Report is what a target says of its runs.
type Report struct {
	Born    int64
	Clock   time.Duration
	Running []Running
	Ended   []Ended
}

// StartOrder asks a target to start a run.
type StartOrder struct {
	Run
	Payload    string
	Deadline   time.Duration
	Fence      int64
	Checkpoint string
	Ticket     string
}

// RenewOrder prolongs the lease of everything on a target and asks for a report.
type RenewOrder struct {
	// Deadline is on the target's own clock; 0 prolongs nothing.
	Deadline time.Duration
	Fence    int64
	// Acknowledged is the last end that the target may forget.
	Acknowledged int64
	// Wait lets the answer wait for an end.
	Wait time.Duration
}

// Answer is what a target said to an order.
type Answer int

// The answers of targets.
const (
	Accepted Answer = iota
	// Fenced: a planner with a higher token has given orders.
	Fenced
	// Outdated: the run number is not higher than one that was stopped or ended there.
	Outdated
	// Late: the order's deadline had passed.
	Late
	NoRoom
	NoTicket
	// Unhealthy: the target refuses for now and has done nothing.
	Unhealthy
	// WrongLife: the order was meant for another life of the target.
	WrongLife
	// Invalid: the target does not understand the order.
	Invalid
	// Unanswered: no answer; the order may have been or may yet be carried out.
	Unanswered
)

var answerNames = [...]string{"accepted", "fenced", "outdated", "late", "noRoom", "noTicket", "unhealthy", "wrongLife", "invalid", "unanswered"}

func (a Answer) String() string { return answerNames[a] }

// Reply is an answer with the target's clock, 0 when it gave none.
type Reply struct {
	Answer Answer
	Clock  time.Duration
}

// Targets gives orders to targets.
type Targets interface {
	Start(ctx context.Context, to Listing, order StartOrder) Reply
	Stop(ctx context.Context, to Listing, run Run, fence int64) Reply
	Renew(ctx context.Context, to Listing, order RenewOrder) (Report, Reply)
}

func (r Run) String() string {
	return fmt.Sprintf("%s.%d.%d.%d/%d", r.Task.Job, r.Task.Occurrence, r.Task.Step, r.Task.Index, r.Number)
}

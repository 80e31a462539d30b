// Package target describes the runners and workers that run the tasks of batch jobs, the orders
// that the planner sends them and their answers.
package target

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Listing is the entry by which a target registered itself.
type Listing struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Zone     string
	Capacity workload.Resources
	Labels   []string
	Rack     string
	// Draining means that the target is about to leave; DrainRemaining is the time until then.
	Draining       bool
	DrainRemaining time.Duration
	// ColdRemaining is how much longer the target stays slow after its start.
	ColdRemaining time.Duration
	// Born identifies the target's incarnation: the time at which it started, in Unix
	// milliseconds. A restarted target keeps its ID and has another Born, an earlier one if its
	// time of day was set back.
	Born int64
	// Clock is what the target's own clock showed when the entry was written.
	Clock time.Duration
}

// Task identifies a task of a job.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Run is one execution of a task. Each new run of a task has a higher Number than the one
// before.
type Run struct {
	Task   Task
	Number int
}

// Running is a run that a target reports as running.
type Running struct {
	Run
	Checkpoint string
	// Percent is the progress. For a long-running task, 100 means that it does its work.
	Percent int
	// Load is the recent use of processors in thousandths of a core, or for a task that serves
	// users its tail latency in milliseconds.
	Load float64
}

// Outcome is the outcome of a run that has ended.
type Outcome int

// The outcomes of runs.
const (
	Done Outcome = iota + 1
	// Failed means that the run failed, through its own fault or the target's.
	Failed
	// Stopped means that the planner stopped the run.
	Stopped
	// Lapsed means that the run's lease expired.
	Lapsed
	// GangBroken means that the run was ended because another member of its gang had ended.
	GangBroken
	// GangIncomplete means that the other members of the run's gang did not start in time.
	GangIncomplete
)

var outcomeNames = map[Outcome]string{Done: "done", Failed: "failed", Stopped: "stopped", Lapsed: "lapsed", GangBroken: "broken", GangIncomplete: "alone"}

func (o Outcome) String() string { return outcomeNames[o] }

// Ended is a run that has ended.
type Ended struct {
	Run
	// Number counts the ended runs of a target from 1 in each incarnation.
	Number     int64
	Outcome    Outcome
	Checkpoint string
}

// Report is a target's report of its runs.
type Report struct {
	// Born identifies the target's incarnation, as in its Listing; 0 if it was not reported.
	Born int64
	// Clock is what the target's own clock showed at the report.
	Clock   time.Duration
	Running []Running
	// Ended holds the ended runs that the planner has not acknowledged yet.
	Ended []Ended
	// Acknowledged is the number that the renewal acknowledged.
	Acknowledged int64
	// Requested is when the request for the report was sent, to the process that answered it; zero if that is
	// not known.
	Requested time.Time
}

// StartOrder orders a target to start a run.
type StartOrder struct {
	Run
	Payload string
	// Deadline is the end of the run's lease on the target's own clock.
	Deadline time.Duration
	// FenceToken is the planner's fencing token.
	FenceToken int64
	Checkpoint string
	Ticket     string
	// ReportRequested is when a report was requested of the incarnation that the order is meant for. One that
	// began after that is not sent it; zero means that any incarnation is.
	ReportRequested time.Time
}

// RenewOrder extends the leases of all runs on a target and requests a report.
type RenewOrder struct {
	// Deadline is the new end of the leases on the target's own clock; 0 leaves them unchanged.
	Deadline time.Duration
	// FenceToken is the planner's fencing token.
	FenceToken int64
	// Acknowledged is the number of the last ended run that the target no longer has to report. An
	// incarnation that began after ReportRequested is not sent it, since it would forget ends of its
	// own with these numbers; zero means that any incarnation is.
	Acknowledged    int64
	ReportRequested time.Time
	// Wait is how long the target may delay its answer until a run ends.
	Wait time.Duration
}

// Answer is a target's answer to an order.
type Answer int

// The answers of targets.
const (
	Accepted Answer = iota
	// Fenced means that a planner with a higher fencing token has given orders.
	Fenced
	// Outdated means that a run of the task with this number or a higher one was stopped or has
	// ended on the target.
	Outdated
	// Late means that the order's deadline had passed.
	Late
	// InsufficientCapacity means that the run does not fit into the target's free capacity.
	InsufficientCapacity
	// NoTicket means that the target refused the order because of its ticket.
	NoTicket
	// Unhealthy means that the target refuses orders for now and has done nothing.
	Unhealthy
	// WrongIncarnation means that the order reached a target with another ID, which refused it.
	WrongIncarnation
	// Invalid means that the target does not understand the order.
	Invalid
	// Unanswered means that no answer arrived; the order may have been carried out or may be
	// carried out later.
	Unanswered
	// Unreached means that no connection to the target could be opened, so that the order was not sent.
	Unreached
	// Unverified means that the order was not sent because the target may have started again since
	// StartOrder.ReportRequested.
	Unverified
)

var answerNames = [...]string{"accepted", "fenced", "outdated", "late", "noRoom", "noTicket", "unhealthy", "wrongLife", "invalid", "unanswered", "unreached", "unverified"}

func (a Answer) String() string { return answerNames[a] }

// Arrived reports whether the target has answered.
func (a Answer) Arrived() bool { return a != Unanswered && a != Unreached && a != Unverified }

// Reply is an answer with the time on the target's own clock.
type Reply struct {
	Answer Answer
	// Clock is 0 if the target did not report it.
	Clock time.Duration
}

// Targets sends orders to targets. A call that was not sent for want of a connection returns Unreached.
// Any other that fails, or has no answer when ctx ends, returns Unanswered.
type Targets interface {
	Start(ctx context.Context, to Listing, order StartOrder) Reply
	Stop(ctx context.Context, to Listing, run Run, fencingToken int64) Reply
	Renew(ctx context.Context, to Listing, order RenewOrder) (Report, Reply)
}

// Compare orders runs by job, occurrence, step, index and number. It returns -1, 0 or 1.
func (r Run) Compare(other Run) int {
	return cmp.Or(
		cmp.Compare(r.Task.Job, other.Task.Job), cmp.Compare(r.Task.Occurrence, other.Task.Occurrence), cmp.Compare(r.Task.Step, other.Task.Step),
		cmp.Compare(r.Task.Index, other.Task.Index), cmp.Compare(r.Number, other.Number),
	)
}

// String returns the run as JOB.OCCURRENCE.STEP.INDEX/RUN, as the log shows it.
func (r Run) String() string {
	return fmt.Sprintf("%s.%d.%d.%d/%d", r.Task.Job, r.Task.Occurrence, r.Task.Step, r.Task.Index, r.Number)
}

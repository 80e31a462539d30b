package dispatcher

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/runner"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// decision is the action after a dispatch has ended: finish, redispatch or resolve.
type decision interface{ sealed() }

// finish ends the request with an outcome.
type finish struct{ out outcome.Outcome }

// redispatch queues the request for another dispatch. With excludeRunner it goes to another
// runner, and the dispatch counts as an attempt.
type redispatch struct{ excludeRunner bool }

// resolve asks the runner how the request ended.
type resolve struct{}

func (finish) sealed()     {}
func (redispatch) sealed() {}
func (resolve) sealed()    {}

// decisionInput is the state of the request that decide depends on.
type decisionInput struct {
	idempotent  bool
	attempts    int
	maxAttempts int
	// timeLeft is the time until the caller's deadline.
	timeLeft time.Duration
	// spendRetry takes one retry from the budget and reports whether it was available.
	spendRetry func() bool
}

// decide chooses the action after a dispatch. A request is dispatched again only if it is known
// not to have run or is idempotent. Only a dispatch after a busy or leaving refusal takes no
// retry from the budget.
func decide(report runner.Report, in decisionInput) decision {
	switch out := report.Outcome.(type) {
	case outcome.NotRun:
		if in.timeLeft > 0 && (report.Health == runner.Busy || report.Health == runner.Leaving) {
			return redispatch{excludeRunner: report.Health == runner.Leaving}
		}
		if in.timeLeft > 0 && in.attempts < in.maxAttempts && in.spendRetry() {
			return redispatch{excludeRunner: true}
		}
		return finish{out: out}
	case outcome.Done:
		if out.Failed && in.idempotent && in.timeLeft > 0 && in.attempts < in.maxAttempts && in.spendRetry() {
			return redispatch{excludeRunner: true}
		}
		return finish{out: out}
	case outcome.Unknown:
		if !in.idempotent {
			return resolve{}
		}
		if in.timeLeft > 0 && in.attempts < in.maxAttempts && in.spendRetry() {
			return redispatch{excludeRunner: true}
		}
		return finish{out: out}
	}
	return finish{out: outcome.Unknown{Reason: "the dispatch ended without an outcome"}}
}

package dispatcher

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/runner"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

// step is what follows the end of one dispatch: finish, again or resolve.
type step interface{ sealed() }

// finish ends the request.
type finish struct{ out outcome.Outcome }

// again queues the request for another dispatch.
type again struct{ avoid bool }

// resolve asks the runner how the request ended.
type resolve struct{}

func (finish) sealed()  {}
func (again) sealed()   {}
func (resolve) sealed() {}

// facts is what the decision depends on.
type facts struct {
	idempotent  bool
	attempts    int
	maxAttempts int
	// left is the time until the caller's deadline.
	left time.Duration
	// budget takes one retry and reports whether it was allowed.
	budget func() bool
}

// decide chooses the step after a dispatch. Only a proof that the request did
// not run, or an idempotent request, leads to another dispatch.
func decide(report runner.Report, f facts) step {
	switch out := report.Outcome.(type) {
	case outcome.NotRun:
		if f.left > 0 && (report.Sign == runner.Busy || report.Sign == runner.Leaving) {
			return again{avoid: report.Sign == runner.Leaving}
		}
		if f.left > 0 && f.attempts < f.maxAttempts && f.budget() {
			return again{avoid: true}
		}
		return finish{out: out}
	case outcome.Done:
		if out.Failed && f.idempotent && f.left > 0 && f.attempts < f.maxAttempts && f.budget() {
			return again{avoid: true}
		}
		return finish{out: out}
	case outcome.Unknown:
		if !f.idempotent {
			return resolve{}
		}
		if f.left > 0 && f.attempts < f.maxAttempts && f.budget() {
			return again{avoid: true}
		}
		return finish{out: out}
	}
	return finish{out: outcome.Unknown{Reason: "the dispatch ended without an outcome"}}
}

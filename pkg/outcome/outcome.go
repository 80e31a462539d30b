// Package outcome describes how a request ended, as far as that is known.
package outcome

import "time"

// Outcome is a Done, a NotRun or an Unknown.
type Outcome interface{ sealed() }

// Done means that the request ran once and that Answer is its whole answer.
type Done struct {
	Answer []byte
	Target string
	// Failed means that the request ran and reported a failure, with its reason in Reason.
	Failed bool
	Reason string
}

// NotRun means that the request did not run and will not run.
type NotRun struct {
	Reason string
	Remedy string
	// RetryAfter is how long the caller should wait before it repeats the request; 0 means
	// that a repeat will not help.
	RetryAfter time.Duration
}

// Unknown means that the request may have run. The system does not run it again on its own.
type Unknown struct {
	Reason string
	Target string
	// Remedy is what the caller can do; empty if only a check at the target can help.
	Remedy string
}

func (Done) sealed()    {}
func (NotRun) sealed()  {}
func (Unknown) sealed() {}

// Name returns the name of an outcome as callers see it: "done", "notRun" or "unknown".
func Name(out Outcome) string {
	switch out.(type) {
	case Done:
		return "done"
	case NotRun:
		return "notRun"
	default:
		return "unknown"
	}
}

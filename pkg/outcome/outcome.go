// Package outcome tells how a request ended, as far as that can be known.
package outcome

import "time"

// Outcome is one of Done, NotRun and Unknown.
type Outcome interface{ sealed() }

// Done says that the request ran once and its whole answer is here.
type Done struct {
	Answer []byte
	Target string
	// Failed says that the request ran and reported a failure of its own.
	Failed bool
	Reason string
}

// NotRun says that the request did not run and will not run.
type NotRun struct {
	Reason string
	Remedy string
	// RetryAfter is how long the caller should wait; 0 means that a repeat will not help.
	RetryAfter time.Duration
}

// Unknown says that the request may have run. The system does not run it again
// of its own accord.
type Unknown struct {
	Reason string
	Target string
	// Remedy is what the caller can do; empty where nothing but a check at the target helps.
	Remedy string
}

func (Done) sealed()    {}
func (NotRun) sealed()  {}
func (Unknown) sealed() {}

// Name returns the word that callers read: "done", "notRun" or "unknown".
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

// Package backoff chooses when the caller of a refused call should return.
package backoff

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

// DefaultMin and DefaultMax bound the delay unless settings say otherwise.
const (
	DefaultMin = 200 * time.Millisecond
	DefaultMax = 5 * time.Second
)

const (
	// defaultTimeLeft is assumed of callers that don't say how long they wait.
	defaultTimeLeft = 3 * time.Second
	// retries is the number of times that callers return before they give up. Delays of the same
	// fraction of the time that the caller still waits let the last return fall into it.
	retries = 4
	// maxUnknown bounds the delay while the wait is unknown, so that its whole seconds are one second:
	// an outage is noticed to have ended only by those who return.
	maxUnknown = time.Second
	// urgentPart is the part of the delay before the jitter for priority 0, and priorityPart what each
	// lower priority adds to it, up to lowestPart. The rest up to 1 is for the jitter.
	urgentPart   = 0.5
	priorityPart = 0.1
	lowestPart   = 0.7
	jitterPart   = 0.3
	// A caller that another host may serve returns within elsewhereMin and elsewhereMax; the difference
	// keeps callers apart who were refused together.
	elsewhereMin = 20 * time.Millisecond
	elsewhereMax = 60 * time.Millisecond
	// minCallTime is what a caller needs at least for a call when it has returned.
	minCallTime = 200 * time.Millisecond
)

// Backoff chooses the delays of refused callers. The zero value has the default bounds. It keeps no
// state: of the callers of one priority those return first that were refused first, except for the
// jitter.
type Backoff struct {
	Min, Max time.Duration
}

// Refusal describes a call that is refused.
type Refusal struct {
	ID string
	// Priority is that of the queue; 0 is the most important one.
	Priority int
	// Wait is how long the cause is expected to last; 0 if that is not known.
	Wait time.Duration
	// Left is how long the caller still waits for its job to be accepted; 0 if that is not known.
	Left time.Duration
	// Elsewhere says that only this host can't serve the call, so that a new attempt reaches another one.
	Elsewhere bool
}

// Delay is the time after which a refused caller should return.
type Delay struct {
	Exact time.Duration
	// Seconds is Exact in whole seconds, rounded up unless the caller would then return too late.
	Seconds int
}

// After returns the delay for a refused call. It is the same for equal refusals: the jitter follows from
// the job's ID.
func (b Backoff) After(refusal Refusal) Delay {
	hash := float64(xxhash.Sum64String(refusal.ID)) / math.MaxUint64
	if refusal.Elsewhere {
		return Delay{Exact: elsewhereMin + time.Duration(hash*float64(elsewhereMax-elsewhereMin))}
	}
	shortest, longest := b.Min, b.Max
	if shortest <= 0 {
		shortest = DefaultMin
	}
	if longest <= 0 {
		longest = DefaultMax
	}
	timeLeft := refusal.Left
	if timeLeft <= 0 {
		timeLeft = defaultTimeLeft
	}
	span := refusal.Wait
	if span <= 0 {
		span = min(timeLeft/retries, maxUnknown)
	}
	span = min(max(span, shortest), longest)
	base := min(urgentPart+priorityPart*float64(max(refusal.Priority, 0)), lowestPart)
	exact := min(max(time.Duration((base+jitterPart*hash)*float64(span)), shortest), timeLeft/2)
	// The whole seconds have to leave time for the call too.
	if latest := (timeLeft - minCallTime).Truncate(time.Second); latest >= time.Second {
		exact = min(exact, latest)
	}
	seconds := int(math.Ceil(exact.Seconds()))
	if time.Duration(seconds)*time.Second+minCallTime > timeLeft {
		seconds = int(exact.Seconds())
	}
	return Delay{Exact: exact, Seconds: seconds}
}

var property = errorx.RegisterProperty("returnAfter")

// Attach returns the error of a refused call with the delay for its caller.
func Attach(err error, delay Delay) error {
	if typed := errorx.Cast(err); typed != nil {
		return typed.WithProperty(property, delay)
	}
	return err
}

// Of returns the delay of an error, if it has one.
func Of(err error) (Delay, bool) {
	value, ok := errorx.ExtractProperty(err, property)
	if !ok {
		return Delay{}, false
	}
	delay, ok := value.(Delay)
	return delay, ok
}

// Package policy defines what the scheduler's decisions weigh: a job's value, how it falls when the job is
// late, and how often a unit may be stopped for others. Callers and operators state objectives, stretch
// factors and priorities; everything else is a named setting.
package policy

import (
	"math"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/decoder"
	"github.com/eelgrasstide/eelgrasstide/internal/share"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	defaultPriorityStep   = 2
	defaultWorkShare      = 0.5
	defaultMaxPreemptions = 2

	// maxPriorityStep keeps the weights of a dozen priorities within the precision of a float64.
	maxPriorityStep = 1000
	// maxSizeFactor bounds what a job's work adds to its weight. Work is what callers state, so an
	// estimate that is far too high must not let one job outweigh many. At the default step, four is
	// what a job of mean work two priorities higher weighs.
	maxSizeFactor = 4
	// expiredShare is the share of its weight that orders an expired job among the others that still
	// have to end. It is far below the value of nearly all jobs that have not expired.
	expiredShare = 0.01
)

// Policy holds the weights of the scheduler's decisions.
type Policy struct {
	// PriorityStep is how many jobs of the next lower priority weigh as much as a job.
	PriorityStep float64
	// WorkShare is the share of a job's weight that is in proportion to its work against the mean of
	// its queue; the rest is the same for each job of a priority.
	WorkShare float64
	// MaxPreemptions is how often a unit is stopped for other jobs, unless an overdue guarantee needs
	// its capacity.
	MaxPreemptions int
	// ShareHalfLife is the time after which used capacity counts half when organisations share what is
	// left.
	ShareHalfLife time.Duration
}

// FromSettings returns the policy of a settings file; what it leaves out has its default. The settings
// may be nil.
func FromSettings(settings *wire.PolicySettings) Policy {
	p := Policy{}
	p.Defaults()
	if settings == nil {
		return p
	}
	if settings.PriorityStep != nil {
		p.PriorityStep = settings.GetPriorityStep()
	}
	if settings.WorkShare != nil {
		p.WorkShare = settings.GetWorkShare()
	}
	if settings.MaxPreemptions != nil {
		p.MaxPreemptions = int(settings.GetMaxPreemptions())
	}
	if settings.ShareHalfLife != nil {
		p.ShareHalfLife = settings.GetShareHalfLife().AsDuration()
	}
	return p
}

// Defaults sets all fields to their defaults if none of them is set.
func (p *Policy) Defaults() {
	if *p == (Policy{}) {
		*p = Policy{PriorityStep: defaultPriorityStep, WorkShare: defaultWorkShare, MaxPreemptions: defaultMaxPreemptions, ShareHalfLife: share.DefaultHalfLife}
	}
}

// Validate reports each field that is out of range, by its key in a settings file.
func (p *Policy) Validate() []decoder.Problem {
	var problems []decoder.Problem
	report := func(ok bool, key, text, remedy string) {
		if !ok {
			problems = append(problems, decoder.Problem{Key: key, Text: text, Remedy: remedy})
		}
	}
	report(p.PriorityStep >= 1 && p.PriorityStep <= maxPriorityStep, "priorityStep", "is out of range", "use a number from 1 to 1000")
	report(p.WorkShare >= 0 && p.WorkShare <= 1, "workShare", "is out of range", "use a number from 0 to 1")
	report(p.MaxPreemptions >= 0, "maxPreemptions", "is below 0", "use 0 or more")
	report(p.ShareHalfLife > 0, "shareHalfLife", "is not above 0", `use a duration above 0, such as "10s"`)
	return problems
}

// Weight returns the value of a job that ends within its objective. relativeWork is the job's work as a
// multiple of its queue's mean. A job of priority 0 and mean work has a weight of 1.
func (p *Policy) Weight(priority int, relativeWork float64) float64 {
	return math.Pow(p.PriorityStep, -float64(max(priority, 0))) * min(1-p.WorkShare+p.WorkShare*max(relativeWork, 0), maxSizeFactor)
}

// Lateness describes how a job's value falls when it ends after its objective.
type Lateness struct {
	// Objective is the time from which on the value falls, and Expiry the time at which nothing is left
	// of it.
	Objective, Expiry time.Duration
}

// NewLateness returns how the value of a job falls whose queue has the stretch factor. A stretch factor of 1
// or less lets it expire at its objective.
func NewLateness(objective time.Duration, stretchFactor float64) Lateness {
	return Lateness{Objective: objective, Expiry: time.Duration(max(stretchFactor, 1) * float64(objective))}
}

// ValueShare returns the share of its weight that a job is worth if it ends after a time. It is never 0:
// an expired job still has to end, and keeps an order among its like.
func (l Lateness) ValueShare(end time.Duration) float64 {
	switch {
	case end <= l.Objective:
		return 1
	case end >= l.Expiry:
		return expiredShare
	}
	return max(float64(l.Expiry-end)/float64(l.Expiry-l.Objective), expiredShare)
}

// Package overload decides which submissions are refused because of the load. It does no input or output: the
// digest of the load and the time are passed in.
package overload

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrasstide/eelgrasstide/internal/load"
	"github.com/eelgrasstide/eelgrasstide/internal/policy"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// lastingShortage is how long new jobs have to be expected to wait for longer than their objective before
	// any is refused for it. A burst that is shorter is queued.
	lastingShortage = 2 * time.Second
	// maxOveruse is the multiple of its fair share up to which an organisation is not limited.
	maxOveruse = 2
)

// Policy decides on submissions. It keeps the rates of the organisations that are limited; the zero value is
// ready for use.
type Policy struct {
	mu       sync.Mutex
	limiters map[source]*rate.Limiter
}

// source is where submissions come from. Each has its own limit, so that one gets no other refused.
type source struct{ organisation, queue string }

// Submission is a job that a caller submits to one of the hosts.
type Submission struct {
	Job *workload.Job
	// Guaranteed is the number of accelerators that are guaranteed to the job's organisation.
	Guaranteed int64
	// Hosts is the number of hosts that share the limit of a rate.
	Hosts int
}

// Refusal is the cause for which a submission is refused.
type Refusal struct {
	Reason string
	// Wait is how long the cause is expected to last; 0 if it does not pass.
	Wait time.Duration
}

// Decide returns the cause for which a submission is refused under a known load, or nil if it is accepted.
func (p *Policy) Decide(now time.Time, digest *load.Digest, submission Submission) *Refusal {
	job := submission.Job
	if service, known := digest.Services[job.AcceptedTerms.Service]; known && neverFits(job, service) {
		return &Refusal{Reason: "a task needs more than any target of the service has ever had"}
	}
	queue, waits := digest.Queues[job.Queue]
	if !waits || queue.ShortFor < lastingShortage || isCovered(digest, submission) || isOpenEnded(job) {
		return nil
	}
	if endsTooLate(job, queue) {
		return &Refusal{Reason: "the job is expected to end when it is worth nothing any more", Wait: queue.ExpectedWait}
	}
	if isOverused(digest, job.Organisation) && !p.allow(now, digest, queue, submission) {
		return &Refusal{Reason: "the organisation uses more than twice its share while others wait", Wait: queue.ExpectedWait}
	}
	return nil
}

// neverFits reports whether a task of the job fits no target, even an empty one.
func neverFits(job *workload.Job, service load.Service) bool {
	if service.Largest == (workload.Resources{}) {
		return false
	}
	for i := range job.Steps {
		if !job.Steps[i].CapacityUse().Fits(service.Largest) {
			return true
		}
	}
	return false
}

// isCovered reports whether a guarantee covers a job of priority 0, as the scheduler judges it.
func isCovered(digest *load.Digest, submission Submission) bool {
	if submission.Job.AcceptedTerms.Priority > 0 || submission.Guaranteed == 0 {
		return false
	}
	needed := digest.Organisations[submission.Job.Organisation].UrgentAccelerators
	return needed+submission.Job.MaxAccelerators() <= submission.Guaranteed
}

// isOpenEnded reports whether the wait for capacity now says nothing about the job's end: it is scheduled for
// later, or tasks of it run until it is cancelled.
func isOpenEnded(job *workload.Job) bool {
	for i := range job.Steps {
		if job.Steps[i].LongRunning {
			return true
		}
	}
	return job.RepeatCount > 0
}

// endsTooLate reports whether the job would end after its expiry if it began after the expected wait and no
// step had to wait again.
func endsTooLate(job *workload.Job, queue load.Queue) bool {
	path := time.Duration(float64(job.CriticalPath()) * queue.EstimateRatio)
	objective := time.Duration(job.AcceptedTerms.StretchFactor*float64(path)) + job.AcceptedTerms.RuntimeObjective
	lateness := policy.NewLateness(objective, job.AcceptedTerms.StretchFactor)
	return objective > 0 && queue.ExpectedWait+path > lateness.Expiry
}

// isOverused reports whether an organisation uses more than maxOveruse times its share while others wait.
func isOverused(digest *load.Digest, organisation string) bool {
	own := digest.Organisations[organisation]
	if own.UsedShare <= maxOveruse*own.FairShare {
		return false
	}
	for name, other := range digest.Organisations {
		if name != organisation && other.WaitingWork > 0 {
			return true
		}
	}
	return false
}

// allow takes a job from what the organisation may submit to the queue: as many mean jobs as keep
// maxOveruse times its share busy, in equal parts at all hosts.
func (p *Policy) allow(now time.Time, digest *load.Digest, queue load.Queue, submission Submission) bool {
	job := submission.Job
	targets := float64(digest.Services[job.AcceptedTerms.Service].Targets)
	if queue.MeanWork <= 0 || targets == 0 {
		return true
	}
	share := digest.Organisations[job.Organisation].FairShare
	limit := rate.Limit(maxOveruse * share * targets / queue.MeanWork / float64(max(submission.Hosts, 1)))
	p.mu.Lock()
	defer p.mu.Unlock()
	from := source{job.Organisation, job.Queue}
	limiter := p.limiters[from]
	if limiter == nil {
		if p.limiters == nil {
			p.limiters = map[source]*rate.Limiter{}
		}
		limiter = rate.NewLimiter(limit, 1)
		p.limiters[from] = limiter
	}
	limiter.SetLimitAt(now, limit)
	limiter.SetBurstAt(now, max(1, int(limit)))
	return limiter.AllowN(now, 1)
}

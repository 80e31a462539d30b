// Package catalogue defines the operators' configuration of batch work: queues, services and
// organisations.
package catalogue

import (
	"strings"
	"time"
)

// Catalogue is one version of the configuration. It must not be changed after it was read.
type Catalogue struct {
	Version       int64
	Queues        []Queue
	Services      map[string]Service
	Organisations map[string]Organisation
	// OrganisationByKey maps each API key to the name of its organisation.
	OrganisationByKey map[string]string
	// MaxBodyBytes limits the body of one call; 0 means no limit.
	MaxBodyBytes int64
}

// Queue is a route by which callers submit jobs. A call belongs to it if the URL's host is Host
// and the path begins with Prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service is the name of the service whose targets run the queue's jobs.
	Service string
	Public  bool
	// Priority is 0 for the most important jobs.
	Priority int
	// MaxAttempts is the number of failed runs of a task at which its job fails; 0 means no
	// limit.
	MaxAttempts int
	// A job's objective is StretchFactor times the duration of its longest chain of dependent
	// steps, plus RuntimeObjective.
	StretchFactor    float64
	RuntimeObjective time.Duration
	Timeout          time.Duration
	// RequiresAdvisor means that only an external advisor knows which targets may run a step.
	RequiresAdvisor bool
}

// Service is a set of targets.
type Service struct {
	Name string
	// EnforcesCapacity means that targets refuse runs that exceed their free capacity.
	EnforcesCapacity bool
	Standby          bool
}

// Organisation is a customer with accelerators that are guaranteed for its jobs of priority 0.
type Organisation struct {
	Name                   string
	GuaranteedAccelerators int64
}

// Find returns the queue for a host and path. If several match, it is the one with the longest
// prefix.
func (c *Catalogue) Find(host, path string) (*Queue, bool) {
	var found *Queue
	for i := range c.Queues {
		queue := &c.Queues[i]
		if queue.Host == host && strings.HasPrefix(path, queue.Prefix) && (found == nil || len(queue.Prefix) > len(found.Prefix)) {
			found = queue
		}
	}
	return found, found != nil
}

// Queue returns the queue with a name.
func (c *Catalogue) Queue(name string) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

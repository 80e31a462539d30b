// Package catalogue holds the operators' configuration of batch queues: queues,
// services and organisations, of one version.
package catalogue

import (
	"strings"
	"time"
)

// Catalogue is one version of the configuration. It is not changed after it was read.
type Catalogue struct {
	Version       int64
	Queues        []Queue
	Services      map[string]Service
	Organisations map[string]Organisation
	// ByKey names the organisation of each API key.
	ByKey map[string]string
	// MaxBodyBytes bounds the body of one call; 0 for no bound.
	MaxBodyBytes int64
}

// Queue is a route by which callers submit jobs.
type Queue struct {
	Name          string
	Host          string
	Prefix        string
	Service       string
	Public        bool
	Priority      int
	MaxAttempts   int
	StretchFactor float64
	// RuntimeObjective is added to the stretched chain of work to give a job's objective.
	RuntimeObjective time.Duration
	Timeout          time.Duration
	// Advised says that only an external advisor knows which targets may run a step.
	Advised bool
}

// Service is a set of targets.
type Service struct {
	Name string
	// EnforcesCapacity says that targets refuse what does not fit.
	EnforcesCapacity bool
	Standby          bool
}

// Organisation is a tenant with guaranteed accelerators for its jobs of priority 0.
type Organisation struct {
	Name                   string
	GuaranteedAccelerators int64
}

// Find returns the queue for a host and path: the longest matching prefix wins.
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

// Queue returns a queue by name.
func (c *Catalogue) Queue(name string) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

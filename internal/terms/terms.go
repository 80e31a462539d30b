// Package terms defines what a job takes from its queue's configuration for its whole life: the
// service that runs it, its limits and its objectives.
package terms

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Terms are a queue's settings for its jobs, as one version of the configuration has them. Terms of
// version 0 hold no more than the queue's name. The other fields are those of catalogue.Queue.
type Terms struct {
	Version          int64
	Queue            string
	Host             string
	Prefix           string
	Service          string
	Priority         int
	MaxAttempts      int
	StretchFactor    float64
	RuntimeObjective time.Duration
}

// Of returns the terms of a queue in a version of the configuration.
func Of(version int64, queue *catalogue.Queue) Terms {
	return Terms{
		Version: version, Queue: queue.Name, Host: queue.Host, Prefix: queue.Prefix, Service: queue.Service, Priority: queue.Priority,
		MaxAttempts: queue.MaxAttempts, StretchFactor: queue.StretchFactor, RuntimeObjective: queue.RuntimeObjective,
	}
}

// Under returns the terms of a job under a configuration: those that its queue has there if that is
// not older than t, and otherwise t. A queue of the same name at another host or prefix is another
// queue, so the job of a queue that was removed keeps its terms for good. The configuration may be
// nil.
func (t Terms) Under(configuration *catalogue.Catalogue) Terms {
	if configuration == nil || configuration.Version < t.Version {
		return t
	}
	queue, ok := configuration.Queue(t.Queue)
	if !ok || (t.Version > 0 && (queue.Host != t.Host || queue.Prefix != t.Prefix)) {
		return t
	}
	return Of(configuration.Version, queue)
}

// Newer returns the terms of the higher version; t if they are equal.
func (t Terms) Newer(other Terms) Terms {
	if other.Version > t.Version {
		return other
	}
	return t
}

// SameSettings reports whether both have the same settings, whatever their versions.
func (t Terms) SameSettings(other Terms) bool {
	t.Version = other.Version
	return t == other
}

// Record returns the record of the terms in the store.
func (t Terms) Record() *wire.QueueTerms {
	return &wire.QueueTerms{
		Version: t.Version, Queue: t.Queue, Host: t.Host, Prefix: t.Prefix, Service: t.Service, Priority: int32(t.Priority),
		MaxAttempts: int32(t.MaxAttempts), StretchFactor: t.StretchFactor, RuntimeObjective: durationpb.New(t.RuntimeObjective),
	}
}

// FromRecord returns the terms that a record of the store describes; they have version 0 if the
// record is nil.
func FromRecord(record *wire.QueueTerms) Terms {
	return Terms{
		Version: record.GetVersion(), Queue: record.GetQueue(), Host: record.GetHost(), Prefix: record.GetPrefix(), Service: record.GetService(),
		Priority: int(record.GetPriority()), MaxAttempts: int(record.GetMaxAttempts()), StretchFactor: record.GetStretchFactor(),
		RuntimeObjective: record.GetRuntimeObjective().AsDuration(),
	}
}

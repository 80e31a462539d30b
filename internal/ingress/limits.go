package ingress

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/ingress/budget"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// connectionsPerMB and descriptorsPerConnection bound the connections of clients by the memory that they
	// take and by the descriptors that the targets, other hosts and the calls to the store need.
	connectionsPerMB         = 4
	descriptorsPerConnection = 6
	// bodyMemoryShare is the share of the host's memory for request bodies. With smallShare of it, each
	// connection can have a small body at once.
	bodyMemoryShare = 0.125
	smallShare      = 0.5
	// smallBytes is the largest reservation of a small body.
	smallBytes            = 16 << 10
	defaultMemoryMB       = 144
	defaultDescriptors    = 1024
	defaultBytesPerSecond = 16 << 10
	defaultBodyGrace      = 5 * time.Second
	defaultWriteTimeout   = 5 * time.Second
)

// MinConnections is the least limit of connections that can be set.
const MinConnections = 8

// Limits are the limits of one listener.
type Limits struct {
	MaxConnections int
	// BodyMemory is the memory for bodies in bytes.
	BodyMemory int64
	// BytesPerSecond is the average rate at which bodies have to arrive, and responses to be taken, after
	// BodyGrace and WriteTimeout.
	BytesPerSecond          int64
	BodyGrace, WriteTimeout time.Duration
}

// NewLimits returns the limits that the settings give, with defaults for a host with an amount of memory
// and a number of descriptors, each 0 if it is not known.
func NewLimits(set *wire.IngressSettings, memoryMB int64, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	limits := Limits{
		MaxConnections: max(MinConnections, min(int(memoryMB)*connectionsPerMB, descriptors/descriptorsPerConnection)),
		BodyMemory:     int64(float64(memoryMB<<20) * bodyMemoryShare),
		BytesPerSecond: defaultBytesPerSecond, BodyGrace: defaultBodyGrace, WriteTimeout: defaultWriteTimeout,
	}
	if set.GetMaxConnections() > 0 {
		limits.MaxConnections = int(set.GetMaxConnections())
	}
	if set.GetBodyMemoryMb() > 0 {
		limits.BodyMemory = int64(set.GetBodyMemoryMb()) << 20
	}
	if set.GetMinBodyBytesPerSecond() > 0 {
		limits.BytesPerSecond = set.GetMinBodyBytesPerSecond()
	}
	if set.GetBodyGrace() != nil {
		limits.BodyGrace = set.GetBodyGrace().AsDuration()
	}
	if set.GetWriteTimeout() != nil {
		limits.WriteTimeout = set.GetWriteTimeout().AsDuration()
	}
	return limits
}

// NewBudget returns a budget of the memory for bodies, with a part that is kept for small ones.
func (l Limits) NewBudget() *budget.Budget {
	small := int64(float64(l.BodyMemory) * smallShare)
	return &budget.Budget{SmallBytes: smallBytes, Small: small, Large: l.BodyMemory - small}
}

// Share returns the limits of a listener that has a share of the connections and of the memory.
func (l Limits) Share(share float64) Limits {
	l.MaxConnections = max(MinConnections, int(float64(l.MaxConnections)*share))
	l.BodyMemory = int64(float64(l.BodyMemory) * share)
	return l
}

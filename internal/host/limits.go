package host

import (
	"math"
	"net/http"
	"strings"

	"golang.org/x/sys/unix"

	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// connectionsBesides is the number of connections for operators, other hosts and callers that poll,
	// besides those of the callers whose requests wait or run.
	connectionsBesides = 512
	// bodyMemoryShare is the share of the memory limit for request bodies, which stay in memory while
	// their requests wait.
	bodyMemoryShare = 0.25
)

// isInner reports whether a request is a call of another host or of an operator.
func isInner(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, wire.HostPathPrefix) || strings.HasPrefix(r.URL.Path, operatorPath+"/")
}

// ingressLimits returns the limits on what clients can hold. Their defaults admit as many callers as
// requests may wait and run, within half of the process's descriptors.
func ingressLimits(s *settings.Settings) ingress.Limits {
	descriptors := uint64(math.MaxInt32)
	limit := unix.Rlimit{}
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		descriptors = min(descriptors, limit.Cur)
	}
	limits := ingress.NewLimits(s.GetIngress(), int64(s.GetMemoryLimitMb()), int(descriptors))
	if s.GetIngress().GetMaxConnections() == 0 {
		limits.MaxConnections = min(int(s.GetQueueLimit()+s.GetCapacity())+connectionsBesides, int(descriptors/2))
	}
	if s.GetIngress().GetBodyMemoryMb() == 0 {
		limits.BodyMemory = int64(float64(s.GetMemoryLimitMb()) * bodyMemoryShare * (1 << 20))
	}
	return limits
}

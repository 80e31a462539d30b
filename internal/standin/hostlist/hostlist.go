// Package hostlist is a stand-in of the platform's list of hosts and targets,
// which shows changes late.
package hostlist

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// HostList implements wire.HostList. Set Lag before use.
type HostList struct {
	// Lag is the time until a report is listed.
	Lag time.Duration

	mu      sync.Mutex
	reports []report
}

type report struct {
	at     time.Time
	listed *wire.Listed
}

// Report implements wire.HostList.
func (l *HostList) Report(_ context.Context, listed *wire.Listed) (*wire.HostListResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, report{at: time.Now(), listed: listed})
	return &wire.HostListResponse{}, nil
}

// List implements wire.HostList.
func (l *HostList) List(_ context.Context, req *wire.HostListRequest) (*wire.HostListResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, byName := time.Now(), map[string]*wire.Listed{}
	for _, seen := range l.reports {
		if now.Sub(seen.at) >= l.Lag {
			byName[seen.listed.GetName()] = seen.listed
		}
	}
	out := &wire.HostListResponse{}
	for _, listed := range byName {
		if !listed.GetGone() && (req.GetZone() == "" || req.GetZone() == listed.GetZone()) {
			out.Listed = append(out.Listed, listed)
		}
	}
	sort.Slice(out.Listed, func(i, j int) bool { return out.Listed[i].GetName() < out.Listed[j].GetName() })
	return out, nil
}

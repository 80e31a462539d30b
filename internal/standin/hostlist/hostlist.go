// Package hostlist is a stand-in for the platform's list of hosts and targets,
// which shows changes after a delay.
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
	// Lag is the time between a report and its appearance in the list.
	Lag time.Duration

	mu      sync.Mutex
	reports []report
}

type report struct {
	at     time.Time
	listed *wire.Listed
}

// Report implements wire.HostList. The last report of a name replaces earlier ones.
func (l *HostList) Report(_ context.Context, listed *wire.Listed) (*wire.HostListResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, report{at: time.Now(), listed: listed})
	return &wire.HostListResponse{}, nil
}

// List implements wire.HostList. Without a zone in the request it lists all zones.
func (l *HostList) List(_ context.Context, req *wire.HostListRequest) (*wire.HostListResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, byName := time.Now(), map[string]*wire.Listed{}
	for _, r := range l.reports {
		if now.Sub(r.at) >= l.Lag {
			byName[r.listed.GetName()] = r.listed
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

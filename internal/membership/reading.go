package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	hostsPeriod = 3 * time.Second
	listPeriod  = time.Second
	listTimeout = time.Second
)

// ReadHosts reads the live hosts from the store every 3 s until ctx ends. It returns the error
// of ctx.
func (m *Membership) ReadHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = m.RefreshHosts(ctx)
		sleep(ctx, hostsPeriod)
	}
	return ctx.Err()
}

// RefreshHosts reads the live hosts from the store once. Records that cannot be decoded are
// ignored. Errors are Unavailable.
func (m *Membership) RefreshHosts(ctx context.Context) error {
	listed, err := m.Store.List(ctx, store.Serving, Prefix)
	if err != nil {
		return err
	}
	hosts := map[string]*wire.HostRecord{}
	for _, entry := range listed.GetEntries() {
		record := &wire.HostRecord{}
		if proto.Unmarshal(entry.GetValue(), record) == nil {
			hosts[record.GetIncarnation()] = record
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts, m.readAt = hosts, time.Now()
	return nil
}

// ReadList reads the platform's list of hosts and targets every second until ctx ends. The
// list lags behind the store. ReadList returns the error of ctx.
func (m *Membership) ReadList(ctx context.Context) error {
	for ctx.Err() == nil {
		m.readList(ctx)
		sleep(ctx, listPeriod)
	}
	return ctx.Err()
}

func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	response, err := m.List.List(ctx, &wire.HostListRequest{})
	if err != nil {
		return
	}
	m.mu.Lock()
	m.listed = response.GetListed()
	m.mu.Unlock()
	m.Listed(response.GetListed())
}

package host

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/membership"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	recoveryPeriod = 2 * time.Second
	// rankDelay keeps the survivors from adopting the same journal at once.
	rankDelay = 2 * time.Second
)

// recovery adopts the journals of dead hosts. Several survivors may try at once:
// the journal's next position decides.
type recovery struct {
	host *Host

	mu      sync.Mutex
	settled map[string]string
	adopted map[string]bool
	dead    map[string]time.Time
	ctx     context.Context
}

// Run looks for journals of dead hosts until ctx ends.
func (r *recovery) Run(ctx context.Context) error {
	r.mu.Lock()
	r.settled, r.adopted, r.dead, r.ctx = map[string]string{}, map[string]bool{}, map[string]time.Time{}, ctx
	r.mu.Unlock()
	tick := time.NewTicker(recoveryPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			r.scan(ctx)
		}
	}
}

// scan reads only the keys of the journals; a journal is loaded once it has no keeper.
func (r *recovery) scan(ctx context.Context) {
	listed, err := r.host.store.Keys(ctx, store.Housekeeping, journal.Prefix)
	if err != nil {
		return
	}
	newest := map[string]string{}
	for _, entry := range listed.GetEntries() {
		name, position, _ := strings.Cut(strings.TrimPrefix(entry.GetKey(), journal.Prefix), "/")
		newest[name] = max(newest[name], position)
	}
	for name, position := range newest {
		if r.due(name, position) {
			r.adopt(ctx, name, position)
		}
	}
}

// due reports whether this host should look at a journal now.
func (r *recovery) due(name, position string) bool {
	if r.host.membership.Life(name) != membership.Dead {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled[name] == position {
		return false
	}
	since, ok := r.dead[name]
	if !ok {
		since = time.Now()
		r.dead[name] = since
	}
	return time.Since(since) >= time.Duration(r.rank(name))*rankDelay
}

// rank is this host's place among the survivors for a journal, by rendezvous hashing.
func (r *recovery) rank(name string) int {
	own, before := xxhash.Sum64String(r.host.incarnation+"\x00"+name), 0
	for _, record := range r.host.membership.Hosts() {
		if xxhash.Sum64String(record.GetIncarnation()+"\x00"+name) > own && record.GetIncarnation() != r.host.incarnation {
			before++
		}
	}
	return before
}

// adopt takes over a journal with open requests whose keeper is dead.
func (r *recovery) adopt(ctx context.Context, name, position string) {
	requests, keeper, err := journal.Load(ctx, r.host.store, name)
	if err != nil {
		return
	}
	open := false
	for _, request := range requests {
		open = open || !journal.Final(request.Last.GetKind())
	}
	if !open {
		r.mu.Lock()
		r.settled[name] = position
		r.mu.Unlock()
		return
	}
	if keeper.Writer != name && r.host.membership.Life(keeper.Writer) != membership.Dead {
		return
	}
	if err := r.take(ctx, name); err != nil {
		r.host.log.Warnf("the journal of %s was not adopted: %v", name, err)
	}
}

// take adopts a journal now and goes on with its requests.
func (r *recovery) take(ctx context.Context, name string) error {
	r.mu.Lock()
	again := r.adopted[name]
	r.adopted[name] = true
	loops := r.ctx
	r.mu.Unlock()
	if again {
		return nil
	}
	held := &journal.Journal{Store: r.host.store, Incarnation: name, Writer: r.host.incarnation}
	requests, err := held.Adopt(ctx)
	if err != nil {
		r.mu.Lock()
		delete(r.adopted, name)
		r.mu.Unlock()
		return err
	}
	r.host.log.Infof("adopted the journal of %s with %d requests", name, len(requests))
	go func() { _ = held.Run(loops, journalGrace) }()
	r.host.dispatcher.Adopt(requests, held)
	return nil
}

// settle makes sure that a dead host's journal has been taken over, so that
// nothing more can be appended by its owner, and returns the request's last record.
func (r *recovery) settle(ctx context.Context, name, ticket string) (*wire.JournalRecord, error) {
	requests, keeper, err := journal.Load(ctx, r.host.store, name)
	if err != nil {
		return nil, err
	}
	if keeper.Writer == name || keeper.Writer == "" {
		if err := r.take(ctx, name); err != nil && !fault.Fenced.Is(err) {
			return nil, err
		}
		if requests, _, err = journal.Load(ctx, r.host.store, name); err != nil {
			return nil, err
		}
	}
	for _, request := range requests {
		if request.Last.GetId() == ticket {
			return request.Last, nil
		}
	}
	return nil, nil
}

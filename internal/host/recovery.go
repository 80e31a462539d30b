package host

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/journal"
	"github.com/eelgrasstide/eelgrasstide/internal/membership"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	recoveryPeriod = 2 * time.Second
	// rankDelay is the additional delay per rank of a host before it adopts a journal. It
	// keeps the surviving hosts from adopting the same journal at once.
	rankDelay = 2 * time.Second
)

// recovery adopts the journals of dead hosts. A journal's name is the incarnation of the host
// that created it. If several hosts try to adopt a journal at once, the one that writes the
// journal's next position succeeds.
type recovery struct {
	host *Host

	mu sync.Mutex
	// ended holds the last position of each journal in which all requests have ended.
	ended map[string]string
	// adopted holds the journals that this host has adopted or is adopting.
	adopted map[string]bool
	// deadSince holds the time at which each dead host was first noticed.
	deadSince map[string]time.Time
	ctx       context.Context
}

// Run looks for journals of dead hosts every 2 s until ctx ends. It returns the error of ctx.
func (r *recovery) Run(ctx context.Context) error {
	r.mu.Lock()
	r.ended, r.adopted, r.deadSince, r.ctx = map[string]string{}, map[string]bool{}, map[string]time.Time{}, ctx
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

// scan lists the keys of all journals. Only journals of dead hosts are read.
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
			r.adoptIfOpen(ctx, name, position)
		}
	}
}

// due reports whether this host should read a journal now: the journal's host is dead, not all
// requests up to this position are known to have ended, this host has not adopted the journal,
// and the delay for this host's rank has passed.
func (r *recovery) due(name, position string) bool {
	if r.host.membership.Liveness(name) != membership.Dead {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended[name] == position || r.adopted[name] {
		return false
	}
	since, ok := r.deadSince[name]
	if !ok {
		since = time.Now()
		r.deadSince[name] = since
	}
	return time.Since(since) >= time.Duration(r.rank(name))*rankDelay
}

// rank returns this host's position, from 0, in the order in which the live hosts try to adopt
// a journal. The order comes from rendezvous hashing.
func (r *recovery) rank(name string) int {
	own, before := xxhash.Sum64String(r.host.incarnation+"\x00"+name), 0
	for _, record := range r.host.membership.Hosts() {
		if xxhash.Sum64String(record.GetIncarnation()+"\x00"+name) > own && record.GetIncarnation() != r.host.incarnation {
			before++
		}
	}
	return before
}

// adoptIfOpen adopts a journal if it has open requests and the host that last wrote to it is
// dead. If that host is this one, an earlier adoption took effect without an answer, and the
// journal is adopted again.
func (r *recovery) adoptIfOpen(ctx context.Context, name, position string) {
	requests, tail, err := journal.Load(ctx, r.host.store, name)
	if err != nil {
		return
	}
	open := false
	for _, request := range requests {
		open = open || !journal.Final(request.Last.GetKind())
	}
	if !open {
		r.mu.Lock()
		r.ended[name] = position
		r.mu.Unlock()
		return
	}
	writer := tail.Writer
	if writer == r.host.incarnation {
		writer = name
	}
	if !r.confirmDead(ctx, name, writer) {
		return
	}
	if err := r.adopt(ctx, name); err != nil {
		r.host.log.Warnf("the journal of incarnation %s could not be adopted: %v", name, err)
	}
}

// confirmDead reads the hosts from the store once more and reports whether all of the given
// incarnations are dead. A host registers before it writes to a journal, so one that registered
// after the last reading is known to be alive only from a reading that follows the journal's.
func (r *recovery) confirmDead(ctx context.Context, incarnations ...string) bool {
	if err := r.host.membership.RefreshHosts(ctx); err != nil {
		return false
	}
	for _, incarnation := range incarnations {
		if r.host.membership.Liveness(incarnation) != membership.Dead {
			return false
		}
	}
	return true
}

// adopt adopts a journal, unless this host has already done so, and resumes its requests.
// Errors: Fenced if another host adopted it first, and those of the store.
func (r *recovery) adopt(ctx context.Context, name string) error {
	r.mu.Lock()
	alreadyAdopted := r.adopted[name]
	r.adopted[name] = true
	loopsCtx := r.ctx
	r.mu.Unlock()
	if alreadyAdopted {
		return nil
	}
	deadHostJournal := &journal.Journal{Store: r.host.store, Incarnation: name, Writer: r.host.incarnation}
	requests, err := deadHostJournal.Adopt(ctx)
	if err != nil {
		r.mu.Lock()
		delete(r.adopted, name)
		r.mu.Unlock()
		return err
	}
	r.host.log.Infof("adopted the journal of incarnation %s, which has %d requests", name, len(requests))
	go func() { _ = deadHostJournal.Run(loopsCtx, journalGrace) }()
	r.host.dispatcher.Adopt(requests, deadHostJournal)
	return nil
}

// lastRecord makes sure that a dead host's journal has been adopted, so that its owner can
// append nothing more to it. It then returns the last record of the request, or nil if there
// is none. Errors: Unavailable if the host is not known to be dead, and those of the store.
func (r *recovery) lastRecord(ctx context.Context, name, ticket string) (*wire.JournalRecord, error) {
	requests, tail, err := journal.Load(ctx, r.host.store, name)
	if err != nil {
		return nil, err
	}
	if tail.Writer == name || tail.Writer == "" {
		if !r.confirmDead(ctx, name) {
			return nil, errkind.Unavailable.New("look the request up again", "recovery.lastRecord: incarnation %s is not known to be dead", name)
		}
		if err := r.adopt(ctx, name); err != nil && !errkind.Fenced.Is(err) {
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

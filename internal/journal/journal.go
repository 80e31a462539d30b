// Package journal keeps what one incarnation of a host must not forget in the
// platform's store, as segments at growing positions. Each position is written
// only while it is absent, so that exactly one writer appends, without clocks.
package journal

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// Prefix is where the store holds the journals.
	Prefix = "journal/"
	// MaxBatch bounds the records of one group commit.
	MaxBatch = 512
	// AppendTimeout bounds how long Append waits to know that a record is durable.
	AppendTimeout = 3 * time.Second
	// MaxAnswerBytes bounds the answers that the journal keeps.
	MaxAnswerBytes = 64 << 10
	maxBatchBytes  = 768 << 10
	commitTimeout  = 2 * time.Second
)

// Journal appends to the journal of Incarnation. Set the fields before Run.
type Journal struct {
	Store       *store.Store
	Incarnation string
	// Writer is the incarnation that appends: the owner, or the host that adopted the journal.
	Writer string

	once    sync.Once
	mu      sync.Mutex
	wake    chan struct{}
	pending []*entry
	next    int64
	fenced  bool
	stalled bool
	commits int64
	records int64
	written []written
}

// written is a segment that this writer appended.
type written struct {
	position int64
	revision int64
	at       time.Time
	ids      []string
}

type entry struct {
	record  *wire.JournalRecord
	durable chan error
}

func (j *Journal) open() {
	j.once.Do(func() { j.wake = make(chan struct{}, 1) })
}

// Append queues a record and waits until it is durable. Errors: Unavailable when
// it surely is not and will not be, Ambiguous when it may become so, Fenced when
// another host took the journal over.
func (j *Journal) Append(ctx context.Context, record *wire.JournalRecord) error {
	if j.Stalled() {
		return fault.Unavailable.New("wait for the store", "Journal.Append: an earlier commit is not settled")
	}
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	queued := j.Queue(record)
	select {
	case err := <-queued:
		return err
	case <-ctx.Done():
		return fault.Ambiguous.New("wait for the store", "Journal.Append: %s is not durable in time", record.GetId())
	}
}

// Queue queues a record and returns the channel that tells when it is durable.
func (j *Journal) Queue(record *wire.JournalRecord) <-chan error {
	j.open()
	queued := &entry{record: record, durable: make(chan error, 1)}
	j.mu.Lock()
	j.pending = append(j.pending, queued)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return queued.durable
}

// Fenced reports whether another host has taken the journal over.
func (j *Journal) Fenced() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fenced
}

// Counts returns the group commits and records written so far.
func (j *Journal) Counts() (commits, records int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.commits, j.records
}

// Run commits until ctx ends, then writes what is still queued within the grace.
func (j *Journal) Run(ctx context.Context, grace time.Duration) error {
	j.open()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
			defer cancel()
			j.drain(last)
			return ctx.Err()
		case <-j.wake:
			j.drain(ctx)
		}
	}
}

// drain writes batches until nothing is queued. While a write is under way, new
// records gather for the next one; an idle journal writes at once.
func (j *Journal) drain(ctx context.Context) {
	for ctx.Err() == nil {
		batch := j.take()
		if len(batch) == 0 {
			return
		}
		err := j.commit(ctx, batch)
		for _, queued := range batch {
			queued.durable <- err
		}
	}
}

func (j *Journal) take() []*entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	count, size := 0, 0
	for count < len(j.pending) && count < MaxBatch && size < maxBatchBytes {
		size += proto.Size(j.pending[count].record)
		count++
	}
	batch := j.pending[:count:count]
	j.pending = append([]*entry(nil), j.pending[count:]...)
	return batch
}

// commit writes one segment. An answer that stays lost is settled by writing the
// very same segment again: a later batch may not pass an unsettled one, as it
// could land at that position.
func (j *Journal) commit(ctx context.Context, batch []*entry) error {
	if j.Fenced() {
		return fencedError(j.Incarnation)
	}
	segment := &wire.JournalSegment{Writer: j.Writer, Token: rand.Text()}
	for _, queued := range batch {
		segment.Records = append(segment.Records, queued.record)
	}
	value, err := proto.Marshal(segment)
	if err != nil {
		return fault.Invalid.New("report this as a defect", "Journal.commit: %v", err)
	}
	put := &wire.PutRequest{Key: j.key(j.next), Value: value}
	for ambiguous := false; ; {
		err := j.write(ctx, put, segment)
		if err == nil || fault.Fenced.Is(err) || ctx.Err() != nil {
			return err
		}
		ambiguous = ambiguous || !fault.Unavailable.Is(err)
		if !ambiguous {
			return err
		}
		j.setStalled(true)
	}
}

func (j *Journal) write(ctx context.Context, put *wire.PutRequest, segment *wire.JournalSegment) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := j.Store.Put(ctx, store.Safety, put)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if !result.Applied {
		j.fenced = true
		return fencedError(j.Incarnation)
	}
	j.stalled = false
	j.written = append(j.written, written{position: j.next, revision: result.Current.GetRevision(), at: time.Now(), ids: ids(segment)})
	j.next++
	j.commits++
	j.records += int64(len(segment.GetRecords()))
	return nil
}

func ids(segment *wire.JournalSegment) []string {
	out := make([]string, 0, len(segment.GetRecords()))
	for _, record := range segment.GetRecords() {
		out = append(out, record.GetId())
	}
	return out
}

func (j *Journal) setStalled(stalled bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stalled = stalled
}

// Stalled reports whether a commit has lost its answer and is still being
// settled. Until then nothing more becomes durable.
func (j *Journal) Stalled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stalled
}

// Trim removes segments written before a time whose requests are all forgotten.
// The newest segment stays, because it holds the position of the next writer.
func (j *Journal) Trim(ctx context.Context, before time.Time, forgotten func(id string) bool) error {
	for _, old := range j.trimmable(before, forgotten) {
		if err := j.Store.Delete(ctx, store.Housekeeping, j.key(old.position), old.revision); err != nil {
			return err
		}
		j.mu.Lock()
		j.written = slices.DeleteFunc(j.written, func(held written) bool { return held.position == old.position })
		j.mu.Unlock()
	}
	return nil
}

// trimmable asks without the lock, as the answer may need the owner's own.
func (j *Journal) trimmable(before time.Time, forgotten func(id string) bool) []written {
	j.mu.Lock()
	old := slices.Clone(j.written)
	j.mu.Unlock()
	var out []written
	for i, held := range old {
		all := i < len(old)-1 && held.at.Before(before)
		for _, id := range held.ids {
			all = all && forgotten(id)
		}
		if all {
			out = append(out, held)
		}
	}
	return out
}

func fencedError(incarnation string) error {
	return fault.Fenced.New("send the request to another host", "Journal: the journal of %s was adopted", incarnation)
}

func (j *Journal) key(position int64) string {
	return fmt.Sprintf("%s%s/%012d", Prefix, j.Incarnation, position)
}

// Adopt takes over the journal of a dead incarnation and returns the last state
// of each request, in order of first mention. Two hosts that adopt at once write
// the same position, so one of them gets Fenced.
func (j *Journal) Adopt(ctx context.Context) ([]Request, error) {
	requests, keeper, err := Load(ctx, j.Store, j.Incarnation)
	if err != nil {
		return nil, err
	}
	j.next = keeper.Next
	segment := &wire.JournalSegment{Writer: j.Writer, Token: rand.Text(), Records: []*wire.JournalRecord{
		{Kind: wire.RecordKind_RECORD_KIND_ADOPTED, Adopter: j.Writer},
	}}
	value, err := proto.Marshal(segment)
	if err != nil {
		return nil, fault.Invalid.New("report this as a defect", "Journal.Adopt: %v", err)
	}
	if err := j.write(ctx, &wire.PutRequest{Key: j.key(j.next), Value: value}, segment); err != nil {
		return nil, err
	}
	return requests, nil
}

// Request is the last known state of a request in a journal.
type Request struct {
	// Accepted carries the request's own data.
	Accepted *wire.JournalRecord
	// Last is the newest record.
	Last *wire.JournalRecord
}

// Keeper is who wrote a journal last, and the position after that.
type Keeper struct {
	// Writer is the owner, or the host that adopted the journal last; empty without segments.
	Writer string
	Next   int64
}

// Load reads a journal and its keeper. Errors are Unavailable.
func Load(ctx context.Context, s *store.Store, incarnation string) ([]Request, Keeper, error) {
	prefix := Prefix + incarnation + "/"
	listed, err := s.List(ctx, store.Safety, prefix)
	if err != nil {
		return nil, Keeper{}, err
	}
	var (
		order  []string
		keeper Keeper
		byID   = map[string]*Request{}
	)
	for _, found := range listed.GetEntries() {
		position, err := strconv.ParseInt(strings.TrimPrefix(found.GetKey(), prefix), 10, 64)
		segment := &wire.JournalSegment{}
		if err != nil || proto.Unmarshal(found.GetValue(), segment) != nil {
			return nil, Keeper{}, fault.Invalid.New("remove the key that is not a segment", "journal.Load: %s can't be read", found.GetKey())
		}
		keeper = Keeper{Writer: segment.GetWriter(), Next: position + 1}
		for _, record := range segment.GetRecords() {
			if record.GetId() == "" {
				continue
			}
			held, ok := byID[record.GetId()]
			if !ok {
				held = &Request{Accepted: record}
				byID[record.GetId()] = held
				order = append(order, record.GetId())
			}
			held.Last = record
		}
	}
	out := make([]Request, len(order))
	for i, id := range order {
		out[i] = *byID[id]
	}
	return out, keeper, nil
}

// Final reports whether a record ends its request.
func Final(kind wire.RecordKind) bool {
	switch kind {
	case wire.RecordKind_RECORD_KIND_DONE, wire.RecordKind_RECORD_KIND_FAILED,
		wire.RecordKind_RECORD_KIND_UNKNOWN, wire.RecordKind_RECORD_KIND_NOT_RUN:
		return true
	}
	return false
}

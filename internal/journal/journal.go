// Package journal keeps the durable records of a host's incarnation in the platform's
// store, as segments at increasing positions. A segment is written only if its position
// does not exist yet, so that exactly one writer can append, without relying on clocks.
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

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/store"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	// Prefix is the prefix of the keys of all journals in the store.
	Prefix = "journal/"
	// MaxBatch is the largest number of records in one group commit.
	MaxBatch = 512
	// AppendTimeout bounds how long Append waits for the confirmation that a record is durable.
	AppendTimeout = 3 * time.Second
	// MaxAnswerBytes is the largest answer to a request that the journal keeps.
	MaxAnswerBytes = 64 << 10
	maxBatchBytes  = 768 << 10
	commitTimeout  = 2 * time.Second
)

// Journal appends to the journal of one incarnation of a host. Set the exported fields before Run.
type Journal struct {
	Store *store.Store
	// Incarnation is the incarnation whose journal this is.
	Incarnation string
	// Writer is the incarnation that appends: the owner, or the host that adopted the journal.
	Writer string

	once    sync.Once
	mu      sync.Mutex
	wake    chan struct{}
	pending []*queuedRecord
	// next is the position of the next segment.
	next    int64
	fenced  bool
	stalled bool
	commits int64
	records int64
	written []written
}

// written is a segment that this writer appended.
type written struct {
	position  int64
	revision  int64
	at        time.Time
	recordIDs []string
}

type queuedRecord struct {
	record *wire.JournalRecord
	// durable gets nil once the record is durable, or the error of its commit.
	durable chan error
}

func (j *Journal) prepare() {
	j.once.Do(func() { j.wake = make(chan struct{}, 1) })
}

// Append queues a record and waits up to AppendTimeout until it is durable. Errors: Unavailable
// if the record is known not to become durable, Ambiguous if it may be or may become durable, and
// Fenced if another host has adopted the journal.
func (j *Journal) Append(ctx context.Context, record *wire.JournalRecord) error {
	if j.Stalled() {
		return errkind.Unavailable.New("wait until the platform's store answers", "Journal.Append: the outcome of an earlier commit is unknown")
	}
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	queued := j.Enqueue(record)
	select {
	case err := <-queued:
		return err
	case <-ctx.Done():
		return errkind.Ambiguous.New("wait until the platform's store answers", "Journal.Append: record %s was not confirmed as durable in time", record.GetId())
	}
}

// Enqueue queues a record and returns a channel that gets nil once the record is durable, or the
// error of its commit.
func (j *Journal) Enqueue(record *wire.JournalRecord) <-chan error {
	j.prepare()
	queued := &queuedRecord{record: record, durable: make(chan error, 1)}
	j.mu.Lock()
	j.pending = append(j.pending, queued)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return queued.durable
}

// Fenced reports whether a write has shown that another host adopted the journal.
func (j *Journal) Fenced() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fenced
}

// Counts returns the number of group commits and of records written so far.
func (j *Journal) Counts() (commits, records int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.commits, j.records
}

// Run commits queued records until ctx ends, and then spends up to grace on committing those still
// queued.
func (j *Journal) Run(ctx context.Context, grace time.Duration) error {
	j.prepare()
	for {
		select {
		case <-ctx.Done():
			finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
			defer cancel()
			j.drain(finalCtx)
			return ctx.Err()
		case <-j.wake:
			j.drain(ctx)
		}
	}
}

// drain writes batches until nothing is queued. Records that are queued during a write go into
// the next batch; a record that finds the journal idle is written at once.
func (j *Journal) drain(ctx context.Context) {
	for ctx.Err() == nil {
		batch := j.nextBatch()
		if len(batch) == 0 {
			return
		}
		err := j.commit(ctx, batch)
		for _, queued := range batch {
			queued.durable <- err
		}
	}
}

func (j *Journal) nextBatch() []*queuedRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	count, size := 0, 0
	for count < len(j.pending) && count < MaxBatch && size < maxBatchBytes {
		size += proto.Size(j.pending[count].record)
		count++
	}
	batch := j.pending[:count:count]
	j.pending = append([]*queuedRecord(nil), j.pending[count:]...)
	return batch
}

// commit writes one segment. While the outcome of the write is unknown, it writes the same
// segment again: a later batch must not be written before the outcome is known, as it could take
// the same position. The error is Ambiguous if ctx ends before that.
func (j *Journal) commit(ctx context.Context, batch []*queuedRecord) error {
	if j.Fenced() {
		return fencedError(j.Incarnation)
	}
	segment := &wire.JournalSegment{Writer: j.Writer, Token: rand.Text()}
	for _, queued := range batch {
		segment.Records = append(segment.Records, queued.record)
	}
	value, err := proto.Marshal(segment)
	if err != nil {
		return errkind.Invalid.New("report this as a defect", "Journal.commit: the segment can't be encoded: %v", err)
	}
	put := &wire.PutRequest{Key: j.key(j.next), Value: value}
	for ambiguous := false; ; {
		err := j.write(ctx, put, segment)
		if err == nil || errkind.Fenced.Is(err) {
			return err
		}
		ambiguous = ambiguous || !errkind.Unavailable.Is(err)
		if !ambiguous {
			return err
		}
		if ctx.Err() != nil {
			return errkind.Ambiguous.New("read the journal to learn whether the records are durable", "Journal.commit: the journal ended while a write had no answer: %v", err)
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
	j.written = append(j.written, written{position: j.next, revision: result.Current.GetRevision(), at: time.Now(), recordIDs: recordIDs(segment)})
	j.next++
	j.commits++
	j.records += int64(len(segment.GetRecords()))
	return nil
}

func recordIDs(segment *wire.JournalSegment) []string {
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

// Stalled reports whether the outcome of a commit is unknown and its segment is being written
// again. Until the outcome is known no later record becomes durable.
func (j *Journal) Stalled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stalled
}

// Trim deletes the segments that this writer appended before a time and whose requests are all
// forgotten. The newest segment stays, because the next writer derives its position from it. It
// returns the first error of Store.Delete.
func (j *Journal) Trim(ctx context.Context, before time.Time, forgotten func(id string) bool) error {
	for _, trimmed := range j.trimmable(before, forgotten) {
		if err := j.Store.Delete(ctx, store.Housekeeping, j.key(trimmed.position), trimmed.revision); err != nil {
			return err
		}
		j.mu.Lock()
		j.written = slices.DeleteFunc(j.written, func(segment written) bool { return segment.position == trimmed.position })
		j.mu.Unlock()
	}
	return nil
}

// trimmable returns the segments for Trim to delete. It calls forgotten without holding j.mu, as
// forgotten may take a lock of the journal's owner, which may be held while a record is queued.
func (j *Journal) trimmable(before time.Time, forgotten func(id string) bool) []written {
	j.mu.Lock()
	segments := slices.Clone(j.written)
	j.mu.Unlock()
	var out []written
	for i, segment := range segments {
		trim := i < len(segments)-1 && segment.at.Before(before)
		for _, id := range segment.recordIDs {
			trim = trim && forgotten(id)
		}
		if trim {
			out = append(out, segment)
		}
	}
	return out
}

func fencedError(incarnation string) error {
	return errkind.Fenced.New("send the request to another host", "Journal.write: another host adopted the journal of incarnation %s", incarnation)
}

func (j *Journal) key(position int64) string {
	return fmt.Sprintf("%s%s/%012d", Prefix, j.Incarnation, position)
}

// Adopt makes Writer the writer of a dead incarnation's journal and returns the last state of
// each request, in the order in which the requests first appear. Two hosts that adopt a journal at
// the same time write to the same position, so that one of them gets a Fenced error. Other errors
// are those of Load and of Store.Put.
func (j *Journal) Adopt(ctx context.Context) ([]Request, error) {
	requests, tail, err := Load(ctx, j.Store, j.Incarnation)
	if err != nil {
		return nil, err
	}
	j.next = tail.NextPosition
	segment := &wire.JournalSegment{Writer: j.Writer, Token: rand.Text(), Records: []*wire.JournalRecord{
		{Kind: wire.RecordKind_RECORD_KIND_ADOPTED, Adopter: j.Writer},
	}}
	value, err := proto.Marshal(segment)
	if err != nil {
		return nil, errkind.Invalid.New("report this as a defect", "Journal.Adopt: the segment can't be encoded: %v", err)
	}
	if err := j.write(ctx, &wire.PutRequest{Key: j.key(j.next), Value: value}, segment); err != nil {
		return nil, err
	}
	return requests, nil
}

// Request is the state of a request according to a journal.
type Request struct {
	// Accepted is the request's first record, which holds the data of the request itself.
	Accepted *wire.JournalRecord
	// Last is the request's newest record.
	Last *wire.JournalRecord
}

// Tail is the last writer of a journal and the position for the next segment.
type Tail struct {
	// Writer is the owner, or the host that adopted the journal last; empty without segments.
	Writer string
	// NextPosition is one more than the position of the newest segment; 0 without segments.
	NextPosition int64
}

// Load reads the requests of a journal, in the order in which they first appear, and its last
// writer and next position. Errors: Unavailable if the store can't be read, and Invalid if a
// key of the journal does not hold a segment.
func Load(ctx context.Context, s *store.Store, incarnation string) ([]Request, Tail, error) {
	prefix := Prefix + incarnation + "/"
	listed, err := s.List(ctx, store.Safety, prefix)
	if err != nil {
		return nil, Tail{}, err
	}
	var (
		order []string
		tail  Tail
		byID  = map[string]*Request{}
	)
	for _, found := range listed.GetEntries() {
		position, err := strconv.ParseInt(strings.TrimPrefix(found.GetKey(), prefix), 10, 64)
		segment := &wire.JournalSegment{}
		if err != nil || proto.Unmarshal(found.GetValue(), segment) != nil {
			return nil, Tail{}, errkind.Invalid.New("remove the key that is not a segment", "journal.Load: key %s does not hold a segment", found.GetKey())
		}
		tail = Tail{Writer: segment.GetWriter(), NextPosition: position + 1}
		for _, record := range segment.GetRecords() {
			if record.GetId() == "" {
				continue
			}
			request, ok := byID[record.GetId()]
			if !ok {
				request = &Request{Accepted: record}
				byID[record.GetId()] = request
				order = append(order, record.GetId())
			}
			request.Last = record
		}
	}
	out := make([]Request, len(order))
	for i, id := range order {
		out[i] = *byID[id]
	}
	return out, tail, nil
}

// Final reports whether a record of this kind ends its request.
func Final(kind wire.RecordKind) bool {
	switch kind {
	case wire.RecordKind_RECORD_KIND_DONE, wire.RecordKind_RECORD_KIND_FAILED,
		wire.RecordKind_RECORD_KIND_UNKNOWN, wire.RecordKind_RECORD_KIND_NOT_RUN:
		return true
	}
	return false
}

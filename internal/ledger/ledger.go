// Package ledger names the records of batch jobs in the platform's store and
// reads and writes them.
package ledger

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
)

// Keys in the store. Submissions and cancellations are written by any host and
// share a prefix, so that one watch brings both; progress is the planner's.
const (
	JobPrefix      = "job/"
	ProgressPrefix = "progress/"
	PendingKey     = "planner-pending"
	SpeedsKey      = "planner-speeds"
	// SequenceKey changes with each write of the planner, so that a write that is
	// carried out late does nothing.
	SequenceKey = "planner-sequence"
)

const (
	submittedSuffix = "/submitted"
	cancelledSuffix = "/cancelled"
)

// Submitted returns the key of a job's submission.
func Submitted(id string) string { return JobPrefix + id + submittedSuffix }

// Cancelled returns the key of a job's cancellation.
func Cancelled(id string) string { return JobPrefix + id + cancelledSuffix }

// Folder returns the prefix of a job's keys.
func Folder(id string) string { return JobPrefix + id + "/" }

// Progress returns the key of a job's progress.
func Progress(id string) string { return ProgressPrefix + id }

// Parse splits a key under JobPrefix.
func Parse(key string) (id string, cancelled, ok bool) {
	rest, ok := strings.CutPrefix(key, JobPrefix)
	if !ok {
		return "", false, false
	}
	if id, found := strings.CutSuffix(rest, cancelledSuffix); found {
		return id, true, true
	}
	id, found := strings.CutSuffix(rest, submittedSuffix)
	return id, false, found
}

// Read decodes a record.
func Read(value []byte, into proto.Message) error {
	if err := proto.Unmarshal(value, into); err != nil {
		return fault.Invalid.New("report this as a defect", "ledger.Read: %v", err)
	}
	return nil
}

// Write encodes a record.
func Write(record proto.Message) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		return nil, fault.Invalid.New("report this as a defect", "ledger.Write: %v", err)
	}
	return value, nil
}

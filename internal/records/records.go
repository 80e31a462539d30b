// Package records defines the keys of the records in the platform's store, mostly of batch
// jobs, and encodes and decodes the records.
package records

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
)

// Keys in the store. Any host writes submissions and cancellations; they share JobPrefix, so
// that one watch covers both. Only the planner writes the other keys.
const (
	JobPrefix      = "job/"
	ProgressPrefix = "progress/"
	PendingKey     = "planner-pending"
	SpeedsKey      = "planner-speeds"
	LoadKey        = "planner-load"
	HandoverKey    = "planner-handover"
	// SequenceKey changes with each write of the planner and is a condition of the next one, so
	// that a write that the store carries out late has no effect.
	SequenceKey = "planner-sequence"
)

const (
	submittedSuffix = "/submitted"
	cancelledSuffix = "/cancelled"
)

// SubmittedKey returns the key of a job's submission.
func SubmittedKey(id string) string { return JobPrefix + id + submittedSuffix }

// CancelledKey returns the key of a job's cancellation.
func CancelledKey(id string) string { return JobPrefix + id + cancelledSuffix }

// PrefixOfJob returns the common prefix of the keys of a job's submission and cancellation.
func PrefixOfJob(id string) string { return JobPrefix + id + "/" }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(id string) string { return ProgressPrefix + id }

// ParseJobKey returns the job ID in the key of a submission or cancellation, and whether it is
// the key of a cancellation. ok is false for any other key.
func ParseJobKey(key string) (id string, cancelled, ok bool) {
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

// Decode decodes a record. Errors are Invalid.
func Decode(value []byte, into proto.Message) error {
	if err := proto.Unmarshal(value, into); err != nil {
		return errkind.Invalid.New("report this as a defect", "records.Decode: %v", err)
	}
	return nil
}

// Encode encodes a record; equal records have equal encodings. Errors are Invalid.
func Encode(record proto.Message) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		return nil, errkind.Invalid.New("report this as a defect", "records.Encode: %v", err)
	}
	return value, nil
}

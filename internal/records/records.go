// Package records defines the keys of the records in the platform's store, mostly of batch
// jobs, and encodes and decodes the records.
package records

import (
	"crypto/sha256"
	"encoding/hex"
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

// Cancellation names the mark of a cancelled job.
type Cancellation struct {
	Job string
	// Owner encodes the organisation whose submission the mark binds. It is empty for a mark as earlier
	// releases write it, which binds any submission.
	Owner string
}

// CancellationBy returns the mark that binds the job of an organisation.
func CancellationBy(id, organisation string) Cancellation {
	// A hash gives names of any bytes and any length a key within the store's limit of 200 bytes.
	hash := sha256.Sum256([]byte(organisation))
	return Cancellation{Job: id, Owner: hex.EncodeToString(hash[:])}
}

// Key returns the key of the mark.
func (c Cancellation) Key() string {
	if c.Owner == "" {
		return JobPrefix + c.Job + cancelledSuffix
	}
	return JobPrefix + c.Job + cancelledSuffix + "/" + c.Owner
}

// CancelledKey returns the key of a cancellation that binds any submission of the job.
func CancelledKey(id string) string { return Cancellation{Job: id}.Key() }

// PrefixOfJob returns the common prefix of the keys of a job's submission and cancellations.
func PrefixOfJob(id string) string { return JobPrefix + id + "/" }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(id string) string { return ProgressPrefix + id }

// ParseSubmittedKey returns the job ID in the key of a submission; ok is false for any other key.
func ParseSubmittedKey(key string) (id string, ok bool) {
	rest, ok := strings.CutPrefix(key, JobPrefix)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, submittedSuffix)
}

// ParseCancelledKey returns the mark of which this is the key; ok is false for any other key.
func ParseCancelledKey(key string) (mark Cancellation, ok bool) {
	rest, ok := strings.CutPrefix(key, JobPrefix)
	if !ok {
		return Cancellation{}, false
	}
	if id, found := strings.CutSuffix(rest, cancelledSuffix); found {
		return Cancellation{Job: id}, true
	}
	id, owner, found := strings.Cut(rest, cancelledSuffix+"/")
	return Cancellation{Job: id, Owner: owner}, found && owner != ""
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

package records

import (
	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// EncodeProgress encodes a job's progress in at most limit bytes. Where that is too little it leaves checkpoints
// out, and returns how many: those of units that run first, since their targets tell them again, then all. A
// unit without its checkpoint starts from its beginning. The error is Invalid if the rest does not fit either.
// EncodeProgress changes the record.
func EncodeProgress(record *wire.ProgressRecord, limit int) (value []byte, leftOut int, err error) {
	if proto.Size(record) > limit {
		leftOut += leaveOut(record, func(unit *wire.UnitRecord) bool { return len(unit.GetTargets()) > 0 })
	}
	if proto.Size(record) > limit {
		leftOut += leaveOut(record, func(*wire.UnitRecord) bool { return true })
	}
	if size := proto.Size(record); size > limit {
		return nil, leftOut, errkind.Invalid.New("submit the work as several jobs", "records.EncodeProgress: the progress of a job has %d bytes without checkpoints, the store accepts %d", size, limit)
	}
	value, err = Encode(record)
	return value, leftOut, err
}

// leaveOut removes the checkpoints of the units that match and returns how many there were.
func leaveOut(record *wire.ProgressRecord, matches func(*wire.UnitRecord) bool) int {
	count := 0
	for _, unit := range record.GetUnits() {
		if unit.GetCheckpoint() != "" && matches(unit) {
			unit.Checkpoint = ""
			count++
		}
	}
	return count
}

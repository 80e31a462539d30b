package records_test

import (
	"fmt"
	"strings"

	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Checkpoints of tasks that run are left out first: their targets tell them again.
func ExampleEncodeProgress() {
	for _, limit := range []int{400, 250, 100, 10} {
		checkpoint := strings.Repeat("c", 100)
		record := &wire.ProgressRecord{Units: []*wire.UnitRecord{
			{Index: 0, Run: 1, Checkpoint: checkpoint, Targets: []string{"t0"}}, {Index: 1, Run: 1, Checkpoint: checkpoint}, {Index: 2, Run: 1, Checkpoint: checkpoint},
		}}
		_, leftOut, err := records.EncodeProgress(record, limit)
		fmt.Println(limit, leftOut, err)
	}
	// Output:
	// 400 0 <nil>
	// 250 1 <nil>
	// 100 3 <nil>
	// 10 3 eelgrasstide.invalid: records.EncodeProgress: the progress of a job has 20 bytes without checkpoints, the store accepts 10; submit the work as several jobs
}

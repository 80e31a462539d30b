package jobreport_test

import (
	"os"
	"strings"

	"github.com/eelgrasstide/eelgrasstide/internal/jobreport"
)

func ExampleSummary() {
	logs := `host-1 {"message":"scheduler: job known","job":"a","queue":"urgent","age":"12ms"}
host-1 {"message":"scheduler: run placed","job":"a","waited":"1.4s","objective":"4s"}
host-1 {"message":"scheduler: job ended","job":"a","phase":"done","age":"5s","objective":"4s"}
host-1 {"message":"scheduler: job known","job":"b","queue":"batch","age":"9ms"}
host-1 {"message":"scheduler: run placed","job":"b","waited":"10ms","objective":"20s"}
host-1 {"message":"scheduler: run stopped","job":"b","reason":"preempted for job a"}
host-1 {"message":"scheduler: job ended","job":"b","phase":"done","age":"90s","objective":"20s"}
host-2 {"message":"intake: call refused","kind":"unavailable"}
host-2 no JSON
`
	summary := jobreport.Summary{}
	if err := summary.ReadLog(strings.NewReader(logs)); err != nil {
		panic(err)
	}
	if err := summary.WriteTable(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// QUEUE   OUTCOME   CAUSE            COUNT
	// urgent  late      waited for room  1
	// batch   too late  preempted        1
	//         refused   unavailable      1
}

package outcome_test

import (
	"fmt"
	"time"

	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

func ExampleName() {
	fmt.Println(outcome.Name(outcome.Done{Answer: []byte("Kæden")}))
	fmt.Println(outcome.Name(outcome.NotRun{Reason: "queue full", RetryAfter: time.Second}))
	fmt.Println(outcome.Name(outcome.Unknown{Reason: "the target stopped answering"}))
	// Output:
	// done
	// notRun
	// unknown
}

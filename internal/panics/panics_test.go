package panics_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/eelgrasstide/eelgrasstide/internal/panics"
)

func TestRecover(t *testing.T) {
	cause := errors.New("cause")
	run := func(value any) (err error) {
		defer panics.Recover("test.run", &err)
		if value != nil {
			panic(value)
		}
		return cause
	}
	if have := run(nil); !errors.Is(have, cause) {
		t.Errorf("without a panic: have %v, want %v", have, cause)
	}
	recovered := &panics.Error{}
	have := run("value")
	if !errors.As(have, &recovered) || have.Error() != "test.run panicked: value" || !strings.Contains(recovered.Stack, "TestRecover") {
		t.Errorf("have %v with stack %q, want the panic and its stack", have, recovered.Stack)
	}
}

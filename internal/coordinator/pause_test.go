package coordinator

import (
	"testing"
	"time"
)

// Guards against: a planner on a slow host spends all its time on decisions and reads no reports.
func TestStepsLeaveABusyHostMostOfItsTime(t *testing.T) {
	for _, tt := range []struct{ took, want time.Duration }{
		{time.Millisecond, stepInterval},
		{5 * time.Millisecond, stepInterval},
		{20 * time.Millisecond, 60 * time.Millisecond},
		{time.Second, maxStepPause},
	} {
		if have := pauseAfterStep(tt.took); have != tt.want {
			t.Errorf("pauseAfterStep(%s): have %s, want %s", tt.took, have, tt.want)
		}
	}
}

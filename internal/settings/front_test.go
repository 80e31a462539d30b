package settings_test

import (
	"strings"
	"testing"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
)

// Guards against: a policy that is out of range is put in force, or reported without its line.
func TestFrontReportsAPolicyOutOfRange(t *testing.T) {
	_, err := settings.ParseFront("front.toml", []byte("[policy]\nworkShare = 0.2\npriorityStep = 0\nshareHalfLife = \"0s\"\n"))
	if !errkind.Invalid.Is(err) {
		t.Fatalf("have %v, want an error of kind invalid", err)
	}
	for _, want := range []string{"front.toml:3: policy.priorityStep: is out of range", "front.toml:4: policy.shareHalfLife: is not above 0"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("have %v, want %s", err, want)
		}
	}
	have, err := settings.ParseFront("front.toml", []byte("[policy]\npriorityStep = 3\n"))
	if err != nil || have.SchedulingPolicy().PriorityStep != 3 {
		t.Errorf("have policy %+v and %v, want a priority step of 3", have.SchedulingPolicy(), err)
	}
}

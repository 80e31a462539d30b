package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
)

func TestParseReportsEveryMistake(t *testing.T) {
	text := `name = "Entry 1"
zone = "vest-1"
store = "localhost"
hostList = "127.0.0.1:7401"
heartbeatPeriod = 5
capacity = "many"
colour = "blue"
`
	_, err := settings.Parse("host.toml", []byte(text))
	if !errkind.Invalid.Is(err) {
		t.Fatalf("\nhave: %v\nwant: an error of kind invalid", err)
	}
	for _, want := range []string{
		`host.toml:1: name: "Entry 1" is not a valid name`,
		`host.toml:3: store: "localhost" is not a valid address`,
		`host.toml:5: heartbeatPeriod: 5 is not a duration`,
		`host.toml:6: capacity: must be a whole number`,
		`host.toml:7: colour: unknown key`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("\nhave: %v\nwant: %s", err, want)
		}
	}
}

func TestParseDefaults(t *testing.T) {
	have, err := settings.Parse("host.toml", []byte("name='a'\nzone='z'\nstore='127.0.0.1:1'\nhostList='127.0.0.1:2'\n"))
	if err != nil {
		t.Fatal(err)
	}
	if want := 6 * time.Second; have.GetHostLease().AsDuration() != want {
		t.Errorf("\nhave: %s\nwant: %s", have.GetHostLease().AsDuration(), want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("name = 'a'\nlisten = 3"))
	f.Add([]byte("[x]\n[x.y]\nz = [1, {a = 2}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if have, err := settings.Parse("host.toml", text); err == nil && have.GetName() == "" {
			t.Errorf("\nhave: no name\nwant: an error for %q", text)
		}
	})
}

// Guards against bounds for returning callers that no delay can keep, and against defaults that get lost.
func TestFrontAdmission(t *testing.T) {
	have, err := settings.ParseFront("own.toml", nil)
	if err != nil || have.Admission.MinRetryAfter.AsDuration() != 200*time.Millisecond || have.Admission.MaxRetryAfter.AsDuration() != 5*time.Second ||
		have.Admission.GetRefuseByLoad() || have.Admission.MaxDigestAge.AsDuration() != 5*time.Second || have.SchedulingPolicy().ShareHalfLife != 10*time.Second {
		t.Errorf("ParseFront of an empty file: have %v, %v, %v", have.Admission, have.SchedulingPolicy(), err)
	}
	_, err = settings.ParseFront("own.toml", []byte("[admission]\nminRetryAfter = \"0s\"\nmaxRetryAfter = \"-1s\"\nmaxDigestAge = \"2s\"\n[policy]\nshareHalfLife = \"0s\"\n"))
	for _, want := range []string{"own.toml:2: admission.minRetryAfter: 0s is not above 0", "own.toml:3: admission.maxRetryAfter: -1s is below", "own.toml:4: admission.maxDigestAge: 2s is below 3s", "own.toml:6: policy.shareHalfLife: is not above 0"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("\nhave: %v\nwant: %s", err, want)
		}
	}
}

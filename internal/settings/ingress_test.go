package settings_test

import (
	"strings"
	"testing"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
)

// Guards against: limits on clients that cannot work are put in force, a written 0 counts as left out, or a
// mistake is reported without its line or remedy.
func TestIngressReportsValuesThatCannotWork(t *testing.T) {
	const host = "name = \"h\"\nzone = \"z\"\nstore = \"127.0.0.1:1\"\nhostList = \"127.0.0.1:1\"\nmemoryLimitMb = 28\n"
	parsers := map[string]func(string) error{
		"front": func(text string) error {
			_, err := settings.ParseFront("f.toml", []byte("\n\n\n\n\n"+text))
			return err
		},
		"serve": func(text string) error {
			_, err := settings.Parse("f.toml", []byte(host+text))
			return err
		},
	}
	for _, c := range []struct {
		line string
		// want is empty if the settings are valid. Only names the one command that reports the mistake.
		want, only string
	}{
		{line: ""},
		{line: `maxConnections = 8`},
		{line: `bodyMemoryMb = 2`},
		{line: `minBodyBytesPerSecond = 1`},
		{line: `bodyGrace = "1ms"`},
		{line: `writeTimeout = "1ms"`},
		{line: `maxConnections = 7`, want: "maxConnections: 7 is below 8; use at least 8, or leave it out"},
		{line: `maxConnections = 0`, want: "maxConnections: 0 is below 8; use"},
		{line: `maxConnections = -1`, want: "maxConnections: -1 is below 8; use"},
		{line: `bodyMemoryMb = 1`, want: "bodyMemoryMb: 1 is below 2, the memory for one body of the largest length; use at least 2, or leave it out"},
		{line: `bodyMemoryMb = 0`, want: "bodyMemoryMb: 0 is below 2"},
		{line: `bodyMemoryMb = -5`, want: "bodyMemoryMb: -5 is below 2"},
		{line: `bodyMemoryMb = 28`, want: "bodyMemoryMb: 28 is not below memoryLimitMb, 28; use", only: "serve"},
		{line: `minBodyBytesPerSecond = 0`, want: "minBodyBytesPerSecond: 0 is not above 0; use"},
		{line: `minBodyBytesPerSecond = -1`, want: "minBodyBytesPerSecond: -1 is not above 0; use"},
		{line: `bodyGrace = "0s"`, want: "bodyGrace: 0s is not above 0; use a duration above 0"},
		{line: `bodyGrace = "-1s"`, want: "bodyGrace: -1s is not above 0; use"},
		{line: `writeTimeout = "0s"`, want: "writeTimeout: 0s is not above 0; use a duration above 0"},
	} {
		for command, parse := range parsers {
			err := parse("[ingress]\n" + c.line + "\n")
			if c.want == "" || c.only != "" && c.only != command {
				if err != nil {
					t.Errorf("%s, %q: have %v, want no error", command, c.line, err)
				}
				continue
			}
			if want := "f.toml:7: ingress." + c.want; !errkind.Invalid.Is(err) || !strings.Contains(err.Error(), want) {
				t.Errorf("%s, %q: have %v, want %s", command, c.line, err, want)
			}
		}
	}
}

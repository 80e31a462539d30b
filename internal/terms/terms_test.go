package terms_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/terms"
)

func queue() catalogue.Queue {
	return catalogue.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Priority: 1, MaxAttempts: 3, StretchFactor: 2, RuntimeObjective: time.Second}
}

// Guards against jobs that take their settings from an older version of the configuration, from
// another queue or from none.
func TestUnder(t *testing.T) {
	accepted := terms.Of(3, &catalogue.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "accepted", MaxAttempts: 2})
	other := queue()
	other.Prefix = "/other/"
	renamed := queue()
	renamed.Name = "renamed"
	inForce := queue()
	tests := []struct {
		name          string
		terms         terms.Terms
		configuration *catalogue.Catalogue
		want          terms.Terms
	}{
		{"no configuration", accepted, nil, accepted},
		{"a newer version", accepted, &catalogue.Catalogue{Version: 4, Queues: []catalogue.Queue{queue()}}, terms.Of(4, &inForce)},
		{"the same version", accepted, &catalogue.Catalogue{Version: 3, Queues: []catalogue.Queue{queue()}}, terms.Of(3, &inForce)},
		{"an older version", accepted, &catalogue.Catalogue{Version: 2, Queues: []catalogue.Queue{queue()}}, accepted},
		{"the queue is removed", accepted, &catalogue.Catalogue{Version: 4}, accepted},
		{"the queue is renamed", accepted, &catalogue.Catalogue{Version: 4, Queues: []catalogue.Queue{renamed}}, accepted},
		{"the name is another queue's", accepted, &catalogue.Catalogue{Version: 4, Queues: []catalogue.Queue{other}}, accepted},
		{"a job of an earlier release", terms.Terms{Queue: "q"}, &catalogue.Catalogue{Version: 4, Queues: []catalogue.Queue{queue()}}, terms.Of(4, &inForce)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if have := test.terms.Under(test.configuration); have != test.want {
				t.Errorf("Under: have %+v, want %+v", have, test.want)
			}
		})
	}
}

// Guards against settings that a record of the store loses.
func TestRecordKeepsAllSettings(t *testing.T) {
	inForce := queue()
	want := terms.Of(5, &inForce)
	if have := terms.FromRecord(want.Record()); have != want {
		t.Errorf("FromRecord: have %+v, want %+v", have, want)
	}
	if have := terms.FromRecord(nil); have != (terms.Terms{}) {
		t.Errorf("FromRecord(nil): have %+v, want none", have)
	}
}

func ExampleTerms_Under() {
	accepted := terms.Of(1, &catalogue.Queue{Name: "sweep", Host: "h", Prefix: "/sweep/", Service: "lookup"})
	moved := &catalogue.Catalogue{Version: 2, Queues: []catalogue.Queue{{Name: "sweep", Host: "h", Prefix: "/sweep/", Service: "batch"}}}
	removed := &catalogue.Catalogue{Version: 3}
	fmt.Println(accepted.Under(moved).Service, accepted.Under(moved).Under(removed).Service)
	// Output: batch batch
}

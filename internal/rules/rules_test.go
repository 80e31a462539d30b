package rules_test

import (
	"strings"
	"testing"

	"github.com/eelgrasstide/eelgrasstide/internal/rules"
)

const zone = "[zones.vest-1]\nworkers = 8\nworkersPerRack = 8\nacceleratorsPerWorker = 8\n"

func TestMergeProblems(t *testing.T) {
	tests := []struct {
		name, first, second, want string
	}{
		{"unknown key", "[classes.a]\nkind='short'\ncolour=1", "", "10.toml:3: classes.a.colour: unknown key"},
		{"wrong unit", "[classes.a]\nkind='short'\ndeadline=2", "", "10.toml:3: classes.a.deadline: 2 is not a time"},
		{"doubled name", "[organisations.a]\n", "\n[organisations.a]\n", "20.toml:2: organisations.a: is already set by 10.toml:1"},
		{"dangling name", "[organisations.a]\n[rules.r]\norganisation='a'\nclass='b'", "", "10.toml:4: rules.r.class: \"b\" does not exist"},
		{"rule that ties nothing", "[rules.r]\nmaxInFlight=3", "", "10.toml:1: rules.r: ties nothing"},
		{"hedged non-idempotent", "[classes.a]\nkind='short'\nhedge=true", "", "10.toml:3: classes.a.hedge: would run"},
		{"dangling zone", "[organisations.a.guarantees.g]\nzone='x'\nworkers=1\nacceleratorsPerWorker=1", "", "zone \"x\" does not exist"},
		{"impossible guarantee", zone + "[organisations.a.guarantees.g]\nzone='vest-1'\nworkers=9\nacceleratorsPerWorker=8", "", "do not fit zone vest-1"},
		{
			"impossible together", zone + "[organisations.a.guarantees.g]\nzone='vest-1'\nworkers=5\nacceleratorsPerWorker=8",
			"[organisations.b.guarantees.g]\nzone='vest-1'\nworkers=4\nacceleratorsPerWorker=8", "20.toml:1: organisations.b.guarantees.g:",
		},
		{"broken syntax", "[organisations", "", "10.toml:1: (syntax)"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, problems := rules.Merge(1, []rules.File{{Name: "20.toml", Text: []byte(tt.second)}, {Name: "10.toml", Text: []byte(tt.first)}})
			var have []string
			for _, problem := range problems {
				have = append(have, problem.String())
			}
			if !strings.Contains(strings.Join(have, "\n"), tt.want) {
				t.Errorf("\nhave: %s\nwant: %s", strings.Join(have, "\n"), tt.want)
			}
		})
	}
}

func TestMergeTiesOrganisationToClass(t *testing.T) {
	have, problems := rules.Merge(7, []rules.File{
		{Name: "a", Text: []byte("[organisations.shop]\nweight=2\n[rules.r]\norganisation='shop'\nclass='lookup'")},
		{Name: "b", Text: []byte("[classes.lookup]\nkind='short'\nidempotent=true")},
	})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if _, ok := have.Permits("shop", "lookup"); !ok || have.Revision != 7 {
		t.Errorf("\nhave: %+v\nwant: the rule at revision 7", have)
	}
	if _, ok := have.Permits("other", "lookup"); ok {
		t.Error("\nhave: permitted\nwant: no rule")
	}
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(zone))
	f.Add([]byte("[rules.r]\norganisation='a'"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		rules.Merge(1, []rules.File{{Name: "a.toml", Text: text}})
	})
}

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
		{"wrong unit", "[classes.a]\nkind='short'\ndeadline=2", "", "10.toml:3: classes.a.deadline: 2 is not a duration"},
		{"repeated name", "[organisations.a]\n", "\n[organisations.a]\n", "20.toml:2: organisations.a: is already set in 10.toml:1"},
		{"rule with an unknown class", "[organisations.a]\n[rules.r]\norganisation='a'\nclass='b'", "", "10.toml:4: rules.r.class: class \"b\" does not exist"},
		{"rule without organisation and class", "[rules.r]\nmaxInFlight=3", "", "10.toml:1: rules.r: has no organisation or no class"},
		{"hedged non-idempotent", "[classes.a]\nkind='short'\nhedge=true", "", "10.toml:3: classes.a.hedge: would run"},
		{"guarantee in an unknown zone", "[organisations.a.guarantees.g]\nzone='x'\nworkers=1\nacceleratorsPerWorker=1", "", "zone \"x\" does not exist"},
		{"guarantee larger than its zone", zone + "[organisations.a.guarantees.g]\nzone='vest-1'\nworkers=9\nacceleratorsPerWorker=8", "", "do not fit zone vest-1"},
		{
			"guarantees that together are larger than their zone", zone + "[organisations.a.guarantees.g]\nzone='vest-1'\nworkers=5\nacceleratorsPerWorker=8",
			"[organisations.b.guarantees.g]\nzone='vest-1'\nworkers=4\nacceleratorsPerWorker=8", "20.toml:1: organisations.b.guarantees.g:",
		},
		{"invalid syntax", "[organisations", "", "10.toml:1: (syntax)"},
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

func TestMergeRulePermitsClassForOrganisation(t *testing.T) {
	have, problems := rules.Merge(7, []rules.File{
		{Name: "a", Text: []byte("[organisations.shop]\nweight=2\n[rules.r]\norganisation='shop'\nclass='lookup'")},
		{Name: "b", Text: []byte("[classes.lookup]\nkind='short'\nidempotent=true")},
	})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if _, ok := have.RuleFor("shop", "lookup"); !ok || have.Revision != 7 {
		t.Errorf("\nhave: %+v\nwant: a rule for shop and lookup, and revision 7", have)
	}
	if _, ok := have.RuleFor("other", "lookup"); ok {
		t.Error("\nhave: a rule for other and lookup\nwant: no rule")
	}
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(zone))
	f.Add([]byte("[rules.r]\norganisation='a'"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		rules.Merge(1, []rules.File{{Name: "a.toml", Text: text}})
	})
}

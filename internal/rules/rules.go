// Package rules holds the operators' configuration: organisations, job classes
// and the rules that tie them together, merged from a folder of files.
package rules

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/decoder"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	defaultShortDeadline = 2 * time.Second
	defaultTraceDeadline = time.Hour
	defaultMaxAttempts   = 4
	maxWeight            = 1000
	// MaxFileBytes bounds one file, so that each fits a value of the store.
	MaxFileBytes = 256 << 10
)

// Rules is the merged configuration of one revision. It is not changed after Merge.
type Rules struct {
	Revision      int64
	Organisations map[string]*wire.Organisation
	Classes       map[string]*wire.Class
	Zones         map[string]*wire.Zone
	rules         map[[2]string]*wire.Rule
}

// Permits returns the rule that ties an organisation to a class.
func (r *Rules) Permits(organisation, class string) (*wire.Rule, bool) {
	rule, ok := r.rules[[2]string{organisation, class}]
	return rule, ok
}

// File is one file of the folder.
type File struct {
	Name string
	Text []byte
}

type place struct {
	file *decoder.Decoder
	path string
}

type merger struct {
	out    *Rules
	places map[string]place
	files  []*decoder.Decoder
	rules  map[string]*wire.Rule
}

// Merge reads the files in the order of their names and checks the whole. The
// problems name file, line and remedy; the rules are usable only without any.
func Merge(revision int64, files []File) (*Rules, []decoder.Problem) {
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	m := &merger{places: map[string]place{}, rules: map[string]*wire.Rule{}, out: &Rules{
		Revision: revision, Organisations: map[string]*wire.Organisation{}, Classes: map[string]*wire.Class{},
		Zones: map[string]*wire.Zone{}, rules: map[[2]string]*wire.Rule{},
	}}
	for _, file := range files {
		m.read(file)
	}
	m.checkClasses()
	m.checkRules()
	m.checkOrganisations()
	m.checkGuarantees()
	var problems []decoder.Problem
	for _, file := range m.files {
		problems = append(problems, file.Problems...)
	}
	return m.out, problems
}

func (m *merger) read(file File) {
	d := &decoder.Decoder{File: file.Name}
	m.files = append(m.files, d)
	if len(file.Text) > MaxFileBytes {
		d.Report("(file)", "split it into several files", "%d bytes are over the limit of %d", len(file.Text), MaxFileBytes)
		return
	}
	parsed := &wire.ConfigurationFile{}
	d.Decode(file.Text, parsed)
	merge(m, d, "organisations", parsed.GetOrganisations(), m.out.Organisations)
	merge(m, d, "classes", parsed.GetClasses(), m.out.Classes)
	merge(m, d, "zones", parsed.GetZones(), m.out.Zones)
	merge(m, d, "rules", parsed.GetRules(), m.rules)
}

// merge adds the entries of one file. A name has one owner, so a second file may not repeat it.
func merge[T proto.Message](m *merger, d *decoder.Decoder, table string, from, into map[string]T) {
	for _, name := range sorted(from) {
		path := table + "." + name
		if first, ok := m.places[path]; ok {
			d.Report(path, "remove one of the two, or rename it", "is already set by %s:%d", first.file.File, first.file.Lines[path])
			continue
		}
		m.places[path] = place{file: d, path: path}
		into[name] = from[name]
	}
}

func sorted[T any](from map[string]T) []string {
	out := make([]string, 0, len(from))
	for name := range from {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func (m *merger) report(owner, key, remedy, format string, args ...any) {
	at := m.places[owner]
	path := owner
	if key != "" {
		path += "." + key
	}
	at.file.Report(path, remedy, format, args...)
}

func (m *merger) checkClasses() {
	for _, name := range sorted(m.out.Classes) {
		class, owner := m.out.Classes[name], "classes."+name
		if class.GetKind() == wire.Kind_KIND_UNSPECIFIED {
			m.report(owner, "kind", "set kind to short, trace or gang", "has no kind")
		}
		if class.GetHedge() && !class.GetIdempotent() {
			m.report(owner, "hedge", "set idempotent = true or remove hedge", "would run a non-idempotent request twice")
		}
		if class.GetDeadline() != nil && class.GetDeadline().AsDuration() <= 0 {
			m.report(owner, "deadline", `write a time above 0, such as "2s"`, "is not above 0")
		}
		if class.GetMaxAttempts() < 0 {
			m.report(owner, "maxAttempts", "write a number above 0", "is below 0")
		}
		defaults(class)
	}
}

func defaults(class *wire.Class) {
	if class.GetUrgency() == wire.Urgency_URGENCY_UNSPECIFIED {
		class.Urgency = wire.Urgency_normal
	}
	if class.GetStoreOutage() == wire.StoreOutage_STORE_OUTAGE_UNSPECIFIED {
		class.StoreOutage = wire.StoreOutage_refuse
	}
	if class.GetMaxAttempts() == 0 {
		class.MaxAttempts = defaultMaxAttempts
	}
}

// Deadline returns how long callers of the class wait when they do not say.
func Deadline(class *wire.Class) time.Duration {
	if class.GetDeadline() != nil {
		return class.GetDeadline().AsDuration()
	}
	if class.GetKind() == wire.Kind_short {
		return defaultShortDeadline
	}
	return defaultTraceDeadline
}

func (m *merger) checkRules() {
	owners := map[[2]string]string{}
	for _, name := range sorted(m.rules) {
		rule, owner := m.rules[name], "rules."+name
		tie := [2]string{rule.GetOrganisation(), rule.GetClass()}
		if tie[0] == "" || tie[1] == "" {
			m.report(owner, "", "set organisation and class", "ties nothing")
			continue
		}
		if _, ok := m.out.Organisations[tie[0]]; !ok {
			m.report(owner, "organisation", "name one of "+strings.Join(sorted(m.out.Organisations), ", "), "%q does not exist", tie[0])
		}
		if _, ok := m.out.Classes[tie[1]]; !ok {
			m.report(owner, "class", "name one of "+strings.Join(sorted(m.out.Classes), ", "), "%q does not exist", tie[1])
		}
		if first, ok := owners[tie]; ok {
			m.report(owner, "", "merge the two rules", "ties the same organisation and class as %s", first)
			continue
		}
		owners[tie] = owner
		m.out.rules[tie] = rule
	}
}

func (m *merger) checkOrganisations() {
	for _, name := range sorted(m.out.Organisations) {
		organisation, owner := m.out.Organisations[name], "organisations."+name
		if organisation.GetWeight() == 0 {
			organisation.Weight = 1
		}
		if organisation.GetWeight() < 0 || organisation.GetWeight() > maxWeight {
			m.report(owner, "weight", fmt.Sprintf("write a number from 0.001 to %d", maxWeight), "%g is out of bounds", organisation.GetWeight())
		}
		for _, shape := range sorted(organisation.GetGuarantees()) {
			guarantee := organisation.GetGuarantees()[shape]
			key := "guarantees." + shape
			if guarantee.GetWorkers() < 1 || guarantee.GetAcceleratorsPerWorker() < 1 {
				m.report(owner, key, "set workers and acceleratorsPerWorker above 0", "guarantees nothing")
			}
			if _, ok := m.out.Zones[guarantee.GetZone()]; !ok {
				m.report(owner, key+".zone", "name one of "+strings.Join(sorted(m.out.Zones), ", "), "zone %q does not exist", guarantee.GetZone())
			}
		}
	}
}

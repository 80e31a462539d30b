// Package rules merges the operators' configuration from the files of a folder and checks it.
// The configuration consists of organisations, job classes, zones, and rules that permit an
// organisation to use a class.
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
	// MaxFileBytes is the maximum size of one file, so that its content fits into one value of
	// the store.
	MaxFileBytes = 256 << 10
)

// Rules is the merged configuration of one revision. It must not be changed after Merge.
type Rules struct {
	Revision      int64
	Organisations map[string]*wire.Organisation
	Classes       map[string]*wire.Class
	Zones         map[string]*wire.Zone
	// rules holds the rules by organisation and class.
	rules map[[2]string]*wire.Rule
}

// RuleFor returns the rule that permits an organisation to use a class, and whether there is
// one.
func (r *Rules) RuleFor(organisation, class string) (*wire.Rule, bool) {
	rule, ok := r.rules[[2]string{organisation, class}]
	return rule, ok
}

// File is one file of the configuration folder.
type File struct {
	Name string
	Text []byte
}

// location is where an entry of the configuration is written.
type location struct {
	file *decoder.Decoder
	path string
}

type merger struct {
	out *Rules
	// locations holds the location of each entry by its key path.
	locations map[string]location
	files     []*decoder.Decoder
	rules     map[string]*wire.Rule
}

// Merge reads the files in the order of their names and checks the merged configuration. It
// sorts the slice of files. It returns all problems, each with file, line and remedy. The rules
// may be used only if there are no problems.
func Merge(revision int64, files []File) (*Rules, []decoder.Problem) {
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	m := &merger{locations: map[string]location{}, rules: map[string]*wire.Rule{}, out: &Rules{
		Revision: revision, Organisations: map[string]*wire.Organisation{}, Classes: map[string]*wire.Class{},
		Zones: map[string]*wire.Zone{}, rules: map[[2]string]*wire.Rule{},
	}}
	for _, file := range files {
		m.add(file)
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

func (m *merger) add(file File) {
	d := &decoder.Decoder{File: file.Name}
	m.files = append(m.files, d)
	if len(file.Text) > MaxFileBytes {
		d.Report("(file)", "split the file into several files", "size of %d bytes is above the limit of %d bytes", len(file.Text), MaxFileBytes)
		return
	}
	parsed := &wire.ConfigurationFile{}
	d.Decode(file.Text, parsed)
	mergeTable(m, d, "organisations", parsed.GetOrganisations(), m.out.Organisations)
	mergeTable(m, d, "classes", parsed.GetClasses(), m.out.Classes)
	mergeTable(m, d, "zones", parsed.GetZones(), m.out.Zones)
	mergeTable(m, d, "rules", parsed.GetRules(), m.rules)
}

// mergeTable adds the entries of one table of a file. Each name may occur only once in all
// files.
func mergeTable[T proto.Message](m *merger, d *decoder.Decoder, table string, from, into map[string]T) {
	for _, name := range sortedKeys(from) {
		path := table + "." + name
		if first, ok := m.locations[path]; ok {
			d.Report(path, "remove or rename one of the two entries", "is already set in %s:%d", first.file.File, first.file.Lines[path])
			continue
		}
		m.locations[path] = location{file: d, path: path}
		into[name] = from[name]
	}
}

func sortedKeys[T any](from map[string]T) []string {
	out := make([]string, 0, len(from))
	for name := range from {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// report adds a problem at a key of an entry, or at the entry itself if key is empty.
func (m *merger) report(owner, key, remedy, format string, args ...any) {
	at := m.locations[owner]
	path := owner
	if key != "" {
		path += "." + key
	}
	at.file.Report(path, remedy, format, args...)
}

func (m *merger) checkClasses() {
	for _, name := range sortedKeys(m.out.Classes) {
		class, owner := m.out.Classes[name], "classes."+name
		if class.GetKind() == wire.Kind_KIND_UNSPECIFIED {
			m.report(owner, "kind", "set kind to short, trace or gang", "is not set")
		}
		if class.GetHedge() && !class.GetIdempotent() {
			m.report(owner, "hedge", "set idempotent = true or remove hedge", "would run a non-idempotent request twice")
		}
		if class.GetDeadline() != nil && class.GetDeadline().AsDuration() <= 0 {
			m.report(owner, "deadline", `use a duration above 0, such as "2s"`, "is not above 0")
		}
		if class.GetMaxAttempts() < 0 {
			m.report(owner, "maxAttempts", "use a number above 0, or leave it out for the default of 4", "is below 0")
		}
		setDefaults(class)
	}
}

func setDefaults(class *wire.Class) {
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

// Deadline returns the deadline of requests of a class that state none: that of the class, or
// else 2 s for short requests and 1 h for others.
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
	for _, name := range sortedKeys(m.rules) {
		rule, owner := m.rules[name], "rules."+name
		pair := [2]string{rule.GetOrganisation(), rule.GetClass()}
		if pair[0] == "" || pair[1] == "" {
			m.report(owner, "", "set organisation and class", "has no organisation or no class")
			continue
		}
		if _, ok := m.out.Organisations[pair[0]]; !ok {
			m.report(owner, "organisation", "use one of "+strings.Join(sortedKeys(m.out.Organisations), ", "), "organisation %q does not exist", pair[0])
		}
		if _, ok := m.out.Classes[pair[1]]; !ok {
			m.report(owner, "class", "use one of "+strings.Join(sortedKeys(m.out.Classes), ", "), "class %q does not exist", pair[1])
		}
		if first, ok := owners[pair]; ok {
			m.report(owner, "", "merge the two rules into one", "has the same organisation and class as %s", first)
			continue
		}
		owners[pair] = owner
		m.out.rules[pair] = rule
	}
}

func (m *merger) checkOrganisations() {
	for _, name := range sortedKeys(m.out.Organisations) {
		organisation, owner := m.out.Organisations[name], "organisations."+name
		if organisation.GetWeight() == 0 {
			organisation.Weight = 1
		}
		if organisation.GetWeight() < 0 || organisation.GetWeight() > maxWeight {
			m.report(owner, "weight", fmt.Sprintf("use a number from 0.001 to %d", maxWeight), "%g is out of range", organisation.GetWeight())
		}
		for _, shape := range sortedKeys(organisation.GetGuarantees()) {
			guarantee := organisation.GetGuarantees()[shape]
			key := "guarantees." + shape
			if guarantee.GetWorkers() < 1 || guarantee.GetAcceleratorsPerWorker() < 1 {
				m.report(owner, key, "set workers and acceleratorsPerWorker above 0", "has no workers or no accelerators")
			}
			if _, ok := m.out.Zones[guarantee.GetZone()]; !ok {
				m.report(owner, key+".zone", "use one of "+strings.Join(sortedKeys(m.out.Zones), ", "), "zone %q does not exist", guarantee.GetZone())
			}
		}
	}
}

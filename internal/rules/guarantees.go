package rules

import (
	"sort"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

type claim struct {
	organisation, shape string
	guarantee           *wire.Guarantee
}

// checkGuarantees refuses guarantees that the declared zones can never hold
// together. Largest shapes are laid first, each on adjacent workers of a rack
// where one rack is enough.
func (m *merger) checkGuarantees() {
	for _, name := range sorted(m.out.Zones) {
		zone := m.out.Zones[name]
		if zone.GetWorkers() < 1 || zone.GetWorkersPerRack() < 1 || zone.GetAcceleratorsPerWorker() < 1 {
			m.report("zones."+name, "", "set workers, workersPerRack and acceleratorsPerWorker above 0", "describes no targets")
			continue
		}
		m.checkZone(name, zone)
	}
}

func (m *merger) checkZone(name string, zone *wire.Zone) {
	free := make([]int32, zone.GetWorkers())
	for i := range free {
		free[i] = zone.GetAcceleratorsPerWorker()
	}
	for _, claim := range m.claims(name) {
		if !lay(free, int(zone.GetWorkersPerRack()), claim.guarantee) {
			m.report("organisations."+claim.organisation, "guarantees."+claim.shape,
				"make it smaller, move it to another zone, or add workers",
				"%d workers with %d accelerators each do not fit zone %s beside the other guarantees",
				claim.guarantee.GetWorkers(), claim.guarantee.GetAcceleratorsPerWorker(), name)
		}
	}
}

func (m *merger) claims(zone string) []claim {
	var out []claim
	for _, organisation := range sorted(m.out.Organisations) {
		for _, shape := range sorted(m.out.Organisations[organisation].GetGuarantees()) {
			guarantee := m.out.Organisations[organisation].GetGuarantees()[shape]
			if guarantee.GetZone() == zone {
				out = append(out, claim{organisation: organisation, shape: shape, guarantee: guarantee})
			}
		}
	}
	size := func(c claim) int32 { return c.guarantee.GetWorkers() * c.guarantee.GetAcceleratorsPerWorker() }
	sort.SliceStable(out, func(i, j int) bool { return size(out[i]) > size(out[j]) })
	return out
}

// lay takes the guarantee from the best single rack, or from a run of racks.
func lay(free []int32, perRack int, guarantee *wire.Guarantee) bool {
	fitting := func(from, to int) []int {
		var out []int
		for i := from; i < min(to, len(free)); i++ {
			if free[i] >= guarantee.GetAcceleratorsPerWorker() {
				out = append(out, i)
			}
		}
		return out
	}
	var best []int
	wanted := int(guarantee.GetWorkers())
	for from := 0; from < len(free); from += perRack {
		if found := fitting(from, from+perRack); len(found) >= wanted && (best == nil || len(found) < len(best)) {
			best = found
		}
	}
	if best == nil && wanted > perRack {
		best = fitting(0, len(free))
	}
	if len(best) < wanted {
		return false
	}
	for _, i := range best[:wanted] {
		free[i] -= guarantee.GetAcceleratorsPerWorker()
	}
	return true
}

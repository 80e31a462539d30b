package rules

import (
	"sort"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// zoneGuarantee is a guarantee with the organisation and the name under which it is
// configured.
type zoneGuarantee struct {
	organisation, shape string
	guarantee           *wire.Guarantee
}

// checkGuarantees reports guarantees that do not fit together into the declared zones, even
// when nothing runs there. In each zone the guarantees with most accelerators are allocated
// first, each within one rack unless it needs more workers than a rack has.
func (m *merger) checkGuarantees() {
	for _, name := range sortedKeys(m.out.Zones) {
		zone := m.out.Zones[name]
		if zone.GetWorkers() < 1 || zone.GetWorkersPerRack() < 1 || zone.GetAcceleratorsPerWorker() < 1 {
			m.report("zones."+name, "", "set workers, workersPerRack and acceleratorsPerWorker above 0", "workers, workersPerRack or acceleratorsPerWorker is not above 0")
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
	for _, entry := range m.guaranteesOf(name) {
		if !allocate(free, int(zone.GetWorkersPerRack()), entry.guarantee) {
			m.report("organisations."+entry.organisation, "guarantees."+entry.shape,
				"reduce the guarantee, move it to another zone, or add workers",
				"%d workers with %d accelerators each do not fit zone %s alongside the other guarantees",
				entry.guarantee.GetWorkers(), entry.guarantee.GetAcceleratorsPerWorker(), name)
		}
	}
}

// guaranteesOf returns the guarantees in a zone, those with most accelerators first.
func (m *merger) guaranteesOf(zone string) []zoneGuarantee {
	var out []zoneGuarantee
	for _, organisation := range sortedKeys(m.out.Organisations) {
		for _, shape := range sortedKeys(m.out.Organisations[organisation].GetGuarantees()) {
			guarantee := m.out.Organisations[organisation].GetGuarantees()[shape]
			if guarantee.GetZone() == zone {
				out = append(out, zoneGuarantee{organisation: organisation, shape: shape, guarantee: guarantee})
			}
		}
	}
	size := func(z zoneGuarantee) int32 { return z.guarantee.GetWorkers() * z.guarantee.GetAcceleratorsPerWorker() }
	sort.SliceStable(out, func(i, j int) bool { return size(out[i]) > size(out[j]) })
	return out
}

// allocate takes the accelerators of a guarantee from free, which holds the free accelerators
// of each worker. It uses the rack with the fewest suitable workers that still has enough of
// them. If the guarantee needs more workers than a rack has, it uses workers of the whole
// zone. It returns false and takes nothing if the guarantee does not fit.
func allocate(free []int32, perRack int, guarantee *wire.Guarantee) bool {
	suitable := func(from, to int) []int {
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
		if found := suitable(from, from+perRack); len(found) >= wanted && (best == nil || len(found) < len(best)) {
			best = found
		}
	}
	if best == nil && wanted > perRack {
		best = suitable(0, len(free))
	}
	if len(best) < wanted {
		return false
	}
	for _, i := range best[:wanted] {
		free[i] -= guarantee.GetAcceleratorsPerWorker()
	}
	return true
}

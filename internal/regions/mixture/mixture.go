// Package mixture finds the order in which regions may change. Regions change one after another, and so do
// the members of each, so that old and new configurations run at the same time: every such mixture must be
// free of new conflicts, and not the two ends alone. It is pure: a function that the caller passes finds
// the conflicts of a mixture.
package mixture

import (
	"maps"
	"slices"
	"strings"

	"lockflow/internal/regions"
)

// CheckFunc returns the conflicts of a mixture, as regions.Check does, without those that are waived.
type CheckFunc func([]regions.Region) []regions.Conflict

// Result is the order of a change, or why there is none.
type Result struct {
	// Order is the regions that change, in an order in which no mixture has a conflict that neither end
	// has. It is nil where there is none, and empty where no region changes.
	Order []string
	// Cycle is the smallest set of regions that block each other, where the change as it was given has no
	// order; Blocked has the conflicts that block them.
	Cycle   []string
	Blocked []regions.Conflict
	// Intermediate has configurations, by region, that the regions in IntermediateOrder run before they go
	// on to the new ones; Order is then that of the second phase. All mixtures of both phases are free of
	// new conflicts. It is empty where none is needed or none helps.
	Intermediate      []regions.Region
	IntermediateOrder []string
	// Transient has the differences that last as long as the change and that no order avoids: between the
	// two generations of one region, and between retry terms of which one is stricter in every respect.
	Transient []regions.Conflict
	// IsIncomplete tells that the search was ended by its bound, so that an order may exist where none was
	// found.
	IsIncomplete bool
	// Mixtures is how many mixtures were checked.
	Mixtures int
}

// Suffixes of a region's name where both of its generations are in one mixture.
const (
	oldGeneration = " (old)"
	newGeneration = " (new)"
)

// WithoutGenerations returns a conflict with the regions' own names. Order checks mixtures with both
// generations of a region, as "north (old)" and "north (new)".
func WithoutGenerations(conflict regions.Conflict) regions.Conflict {
	var names []string
	for _, name := range conflict.Regions {
		names = append(names, withoutGeneration(name))
	}
	slices.Sort(names)
	conflict.Regions = slices.Compact(names)
	return conflict
}

func withoutGeneration(name string) string {
	return strings.TrimSuffix(strings.TrimSuffix(name, oldGeneration), newGeneration)
}

// Order finds an order for a fleet's change from old to new. A region that is in one of them alone joins
// or leaves the fleet. check is called with lists that have each region once, mostly ones that differ in
// one region from the list before.
func Order(old, new []regions.Region, check CheckFunc) Result {
	p := newPlanner(old, new, check)
	p.recordEnd(old)
	p.recordEnd(new)
	p.findConstraints()
	result := p.solve()
	if result.Order != nil {
		return result
	}
	// Intermediate configurations for the cycle alone are preferred to those for all regions that change.
	for _, names := range [][]string{result.Cycle, p.changed} {
		if p.orderPhases(&result, old, new, names) {
			break
		}
	}
	return result
}

// orderPhases finds orders of a change in two phases, in which the regions named run intermediate
// configurations between them; false where there are none.
func (p *planner) orderPhases(result *Result, old, new []regions.Region, names []string) bool {
	fleet, intermediates := p.intermediate(names)
	if len(intermediates) == 0 {
		return false
	}
	toIntermediate := newPlanner(old, fleet, p.check)
	toNew := newPlanner(fleet, new, p.check)
	for _, phase := range []*planner{toIntermediate, toNew} {
		phase.endConflicts = p.endConflicts
		phase.truncated = p.truncated
		phase.changeStart = p.changeStart
		phase.changeEnd = p.changeEnd
	}
	toIntermediate.findConstraints()
	toNew.findConstraints()
	first := toIntermediate.solve()
	second := toNew.solve()
	result.Mixtures += first.Mixtures + second.Mixtures
	if first.Order == nil || second.Order == nil {
		return false
	}
	result.Intermediate = intermediates
	result.IntermediateOrder = first.Order
	result.Order = second.Order
	result.Transient = append(first.Transient, second.Transient...)
	return true
}

// intermediate returns the fleet in which the regions named run intermediate configurations, and these
// configurations where they differ from the old ones.
func (p *planner) intermediate(names []string) (fleet, intermediates []regions.Region) {
	for _, name := range slices.Sorted(maps.Keys(p.oldRegions)) {
		region := *p.oldRegions[name]
		if next := p.newRegions[name]; next != nil && slices.Contains(names, name) {
			if strictest := Strictest(region, *next); !isEqual(&strictest, &region) {
				region = strictest
				intermediates = append(intermediates, strictest)
			}
		}
		fleet = append(fleet, region)
	}
	return fleet, intermediates
}

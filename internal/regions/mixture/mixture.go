// Package mixture finds an order in which regions may change their configuration. Regions change one after
// another, and so do the members of each, so that old and new configurations run at the same time. Every
// such mixture must be free of new conflicts, not only the two ends of the change: the fleets before and
// after it. The package does no I/O; the caller passes the function that finds the conflicts of a mixture.
package mixture

import (
	"maps"
	"slices"
	"strings"

	"lockflow/internal/regions"
)

// CheckFunc returns the conflicts of a mixture, as regions.Check does, without those that are waived.
type CheckFunc func([]regions.Region) []regions.Conflict

// Result is the order of a change, or the reason why there is none.
type Result struct {
	// Order lists the regions that change, in an order in which every conflict of a mixture is also one of
	// the old or the new fleet. It is nil if there is no such order, and empty if no region changes.
	Order []string
	// Cycle is the smallest set of regions that block each other, if the change without intermediate
	// configurations has no order. Blocked holds the conflicts that block them.
	Cycle   []string
	Blocked []regions.Conflict
	// Intermediate holds the configurations to which the regions in IntermediateOrder change in a first phase,
	// before the new ones. Order is then the order of the second phase. All mixtures of both phases are free
	// of new conflicts. Intermediate is empty if no such configurations are needed, or if none help.
	Intermediate      []regions.Region
	IntermediateOrder []string
	// Transient holds the conflicts that exist only during the change and that no order avoids: between the
	// two generations of one region, and between retry terms of which one is stricter in every respect.
	Transient []regions.Conflict
	// IsIncomplete is set if the search reached its bound, so that an order may exist although none was found.
	IsIncomplete bool
	// Mixtures is the number of mixtures that were checked.
	Mixtures int
}

// Suffixes of a region's name in mixtures that contain both its generations: its old and its new configuration.
const (
	oldGeneration = " (old)"
	newGeneration = " (new)"
)

// WithoutGenerations returns a conflict with the regions' original names. Order checks mixtures with both
// generations of a region, which it names, for example, "north (old)" and "north (new)".
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

// Order finds an order for a fleet's change from old to new. A region that is in only one of them joins or
// leaves the fleet. check is called with lists that contain each region once. Most lists differ in one region
// from the previous one.
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

// orderPhases finds orders for a change in two phases, between which the named regions run intermediate
// configurations. It returns false if there are none.
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

// intermediate returns the fleet in which the named regions run intermediate configurations, and those of
// these configurations that differ from the old ones.
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

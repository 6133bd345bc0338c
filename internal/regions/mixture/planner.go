package mixture

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"lockflow/internal/regions"
)

// planner searches for an order of one change.
type planner struct {
	check                  CheckFunc
	oldRegions, newRegions map[string]*regions.Region
	// changeStart and changeEnd are the fleets before and after the complete change, of which this may be a phase.
	changeStart, changeEnd map[string]*regions.Region
	names                  []string // names of all regions, sorted
	changed                []string // in the order in which they are tried: the smallest growth of hard limits first
	endConflicts           map[string]bool
	truncated              map[string]bool // kindKeys for which an end of the change has more conflicts than are reported
	sumsOnly               bool            // only settings that are summed over regions change; routes and retry terms do not
	constraints            []orderConstraint
	mixtures               int // number of mixtures checked so far

	// State of a search.
	strict         bool // reject mixtures with warnings too
	verdicts       map[string]verdict
	deadEnds       map[string]bool // sets of changed regions that no order extends
	budget         int             // number of mixtures that may still be checked
	largestReached []string
}

func newPlanner(old, new []regions.Region, check CheckFunc) *planner {
	p := &planner{
		check:        check,
		oldRegions:   byName(old),
		newRegions:   byName(new),
		endConflicts: make(map[string]bool),
		truncated:    make(map[string]bool),
		sumsOnly:     true,
	}
	p.changeStart = p.oldRegions
	p.changeEnd = p.newRegions
	all := maps.Clone(p.oldRegions)
	maps.Copy(all, p.newRegions)
	p.names = slices.Sorted(maps.Keys(all))
	growth := make(map[string]float64)
	for _, name := range p.names {
		before, after := p.oldRegions[name], p.newRegions[name]
		if isEqual(before, after) {
			continue
		}
		p.sumsOnly = p.sumsOnly && isEqual(withoutSums(before), withoutSums(after))
		p.changed = append(p.changed, name)
		growth[name] = hardLimitGrowth(before, after)
	}
	slices.SortStableFunc(p.changed, func(a, b string) int { return cmp.Compare(growth[a], growth[b]) })
	return p
}

func byName(all []regions.Region) map[string]*regions.Region {
	named := make(map[string]*regions.Region)
	for i := range all {
		named[all[i].Name] = &all[i]
	}
	return named
}

// recordEnd records the conflicts of the fleet before or after the change: they are not new in a mixture.
func (p *planner) recordEnd(all []regions.Region) {
	p.mixtures++
	for _, conflict := range p.check(all) {
		p.endConflicts[conflictKey(conflict)] = true
		if strings.Contains(conflict.Why, "more of this kind") {
			p.truncated[kindKey(conflict)] = true
		}
	}
}

// kindKey identifies the kind and the regions of a conflict.
func kindKey(conflict regions.Conflict) string {
	return string(conflict.Kind) + strings.Join(conflict.Regions, "\x00")
}

// conflictKey identifies the subject of a conflict: its kind, rules and regions. It excludes the request that
// shows the conflict and, for a sum, the regions over which it is taken.
func conflictKey(conflict regions.Conflict) string {
	conflict = WithoutGenerations(conflict)
	if conflict.Kind == regions.HardLimitKind || conflict.Kind == regions.SlowStartKind {
		return string(conflict.Kind) + "\x01" + strings.Join(slices.Compact(slices.Sorted(slices.Values(conflict.Rules))), "\x00")
	}
	return string(conflict.Kind) + "\x01" + strings.Join(conflict.Regions, "\x00") + "\x01" + strings.Join(conflict.Rules, "\x00")
}

// isNew reports whether a conflict exists neither before nor after the change.
func (p *planner) isNew(conflict regions.Conflict) bool {
	conflict = WithoutGenerations(conflict)
	return !p.endConflicts[conflictKey(conflict)] && !p.truncated[kindKey(conflict)]
}

package mixture

import (
	"slices"

	"lockflow/internal/regions"
)

// maxSubsets is the largest number of sets of one size that are tried; each requires a check of all regions.
const maxSubsets = 400

// findCycle returns the shortest cycle of regions in which each has to change before the next, sorted by
// name, and the conflicts that cause it. It returns nil if the constraints between pairs form no cycle.
func (p *planner) findCycle() (shortest []string, blocked []regions.Conflict) {
	next := make(map[string][]orderConstraint) // constraints by the region that has to change first
	for _, constraint := range p.constraints {
		if p.isBinding(constraint) {
			next[constraint.oldRegion] = append(next[constraint.oldRegion], constraint)
		}
	}
	for _, start := range slices.Sorted(slices.Values(p.changed)) {
		names, conflicts := cycleFrom(start, next)
		if names == nil || shortest != nil && len(names) >= len(shortest) {
			continue
		}
		slices.Sort(names)
		slices.SortStableFunc(conflicts, func(a, b regions.Conflict) int { return slices.Compare(a.Regions, b.Regions) })
		shortest, blocked = names, conflicts
	}
	return shortest, blocked
}

// cycleFrom returns a shortest cycle through a region, found by breadth-first search; nil if there is none.
func cycleFrom(start string, next map[string][]orderConstraint) (names []string, conflicts []regions.Conflict) {
	reachedBy := map[string]orderConstraint{}
	queue := []string{start}
	for i := 0; i < len(queue) && reachedBy[start].oldRegion == ""; i++ {
		for _, constraint := range next[queue[i]] {
			if _, isReached := reachedBy[constraint.newRegion]; !isReached {
				reachedBy[constraint.newRegion] = constraint
				queue = append(queue, constraint.newRegion)
			}
		}
	}
	if reachedBy[start].oldRegion == "" {
		return nil, nil
	}
	for at := start; len(names) == 0 || at != start; {
		constraint := reachedBy[at]
		names = append(names, constraint.oldRegion)
		conflicts = append(conflicts, WithoutGenerations(constraint.Conflict))
		at = constraint.oldRegion
	}
	return names, conflicts
}

// smallestBlockedSet returns the smallest set of regions that, after those in done have changed, could all
// change simultaneously but not one after another, and the conflicts that block them.
func (p *planner) smallestBlockedSet(done []string) (names []string, blocked []regions.Conflict) {
	var remaining []string
	for _, name := range p.changed {
		if !slices.Contains(done, name) {
			remaining = append(remaining, name)
		}
	}
	slices.Sort(remaining)
	names = p.smallBlockedSubset(done, remaining)
	if names == nil {
		names = p.reduceBlocked(done, remaining)
	}
	return names, p.blockingConflicts(done, names)
}

// smallBlockedSubset returns the first blocked subset of the smallest size. It returns nil if there is none,
// or if it reaches a size with more than maxSubsets subsets.
func (p *planner) smallBlockedSubset(done, names []string) []string {
	subsets := len(names) // number of subsets of the size that is tried
	for size := 1; size < len(names) && subsets <= maxSubsets; size++ {
		subsets = subsets * (len(names) - size) / (size + 1)
		if subset := p.blockedSubset(done, names, nil, size); subset != nil {
			return subset
		}
	}
	return nil
}

// reduceBlocked removes each region from a blocked set without which the set remains blocked.
func (p *planner) reduceBlocked(done, names []string) []string {
	for i := len(names) - 1; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(names), i, i+1)
		if p.isBlocked(done, fewer) {
			names = fewer
		}
	}
	return names
}

// blockingConflicts returns, for each region of a blocked set, a conflict that arises if it changes first. If
// there are none, it returns those that arise while one region is still to change.
func (p *planner) blockingConflicts(done, names []string) (conflicts []regions.Conflict) {
	for _, name := range names {
		v := p.stepVerdict(name, newSet(done, []string{name}))
		if len(v.errors) > 0 {
			conflicts = append(conflicts, v.errors[0])
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, name := range names {
		set := newSet(done, names)
		delete(set, name)
		if v := p.verdictOf(set); len(v.errors) > 0 {
			conflicts = append(conflicts, v.errors[0])
		}
	}
	return conflicts
}

// isBlocked reports whether regions can change simultaneously but not one after another.
func (p *planner) isBlocked(done, names []string) bool {
	if len(names) == 0 || !p.verdictOf(newSet(done, names)).isAcceptable(false) {
		return false
	}
	order, _ := p.search(done, names, false)
	return order == nil
}

// blockedSubset returns the first blocked set of the given size that consists of the chosen regions and some
// of names; nil if there is none.
func (p *planner) blockedSubset(done, names, chosen []string, size int) []string {
	if len(chosen) == size {
		if p.isBlocked(done, chosen) {
			return slices.Clone(chosen)
		}
		return nil
	}
	for i, name := range names {
		if subset := p.blockedSubset(done, names[i+1:], append(slices.Clip(chosen), name), size); subset != nil {
			return subset
		}
	}
	return nil
}

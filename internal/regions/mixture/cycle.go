package mixture

import (
	"slices"

	"lockflow/internal/regions"
)

// findCycle is the shortest one of regions of which each has to change before the next, and the conflicts
// that make it; nil where pairs make none.
func (p *planner) findCycle() (least []string, why []regions.Conflict) {
	next := make(map[string][]pairing) // by the one that has to change first
	for _, c := range p.pairings {
		if p.isBinding(c) {
			next[c.oldRegion] = append(next[c.oldRegion], c)
		}
	}
	starts := slices.Sorted(slices.Values(p.changed))
	for _, start := range starts {
		from := map[string]pairing{} // how each was reached
		queue := []string{start}
		for i := 0; i < len(queue) && from[start].oldRegion == ""; i++ {
			for _, c := range next[queue[i]] {
				if _, seen := from[c.newRegion]; !seen {
					from[c.newRegion] = c
					queue = append(queue, c.newRegion)
				}
			}
		}
		if from[start].oldRegion == "" {
			continue
		}
		var names []string
		var conflicts []regions.Conflict
		for at := start; len(names) == 0 || at != start; {
			c := from[at]
			names = append(names, c.oldRegion)
			conflicts = append(conflicts, WithoutGenerations(c.Conflict))
			at = c.oldRegion
		}
		if least == nil || len(names) < len(least) {
			slices.Sort(names)
			slices.SortStableFunc(conflicts, func(a, b regions.Conflict) int { return slices.Compare(a.Regions, b.Regions) })
			least, why = names, conflicts
		}
	}
	return least, why
}

// maxSubsets is how many sets of one size are tried: each is a check of all regions.
const maxSubsets = 400

// smallestBlockedSet is the least set of regions that, once those in done have changed, could all change at once but
// not one after another, and what each of them would bring as the first.
func (p *planner) smallestBlockedSet(done []string) (names []string, why []regions.Conflict) {
	var rest []string
	for _, name := range p.changed {
		if !slices.Contains(done, name) {
			rest = append(rest, name)
		}
	}
	slices.Sort(rest)
	names = rest
	exact := false
	for size, sets := 1, len(rest); size < len(rest) && sets <= maxSubsets; size++ {
		sets = sets * (len(rest) - size) / (size + 1) // of the next size
		if some := p.blockedSubset(done, rest, nil, size); some != nil {
			names, exact = some, true
			break
		}
	}
	if !exact {
		for i := len(names) - 1; i >= 0; i-- {
			if fewer := slices.Delete(slices.Clone(names), i, i+1); p.isBlocked(done, fewer) {
				names = fewer
			}
		}
	}
	for _, name := range names {
		set := newSet(done, []string{name})
		if v := p.stepVerdict(name, set); len(v.errors) > 0 {
			why = append(why, v.errors[0])
		}
	}
	if len(why) == 0 { // each can be the first, none the last
		for _, name := range names {
			set := newSet(done, names)
			delete(set, name)
			if v := p.verdictOf(set); len(v.errors) > 0 {
				why = append(why, v.errors[0])
			}
		}
	}
	return names, why
}

func newSet(lists ...[]string) map[string]bool {
	set := make(map[string]bool)
	for _, l := range lists {
		for _, name := range l {
			set[name] = true
		}
	}
	return set
}

// isBlocked tells whether regions can change at once and not one after another.
func (p *planner) isBlocked(done, names []string) bool {
	if len(names) == 0 || !p.verdictOf(newSet(done, names)).isAcceptable(false) {
		return false
	}
	order, _ := p.search(done, names, false)
	return order == nil
}

// blockedSubset is the first set of a size that is blocked.
func (p *planner) blockedSubset(done, rest, chosen []string, size int) []string {
	if len(chosen) == size {
		if p.isBlocked(done, chosen) {
			return slices.Clone(chosen)
		}
		return nil
	}
	for i, name := range rest {
		if some := p.blockedSubset(done, rest[i+1:], append(slices.Clip(chosen), name), size); some != nil {
			return some
		}
	}
	return nil
}

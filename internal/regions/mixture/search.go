package mixture

import (
	"slices"
	"strings"

	"lockflow/internal/regions"
)

// Largest number of mixtures that one search checks; each requires a check of all regions.
const (
	baseSearchBudget      = 256
	searchBudgetPerRegion = 16
)

// solve finds an order or, if there is none, the smallest cycle. It prefers orders without any warnings.
func (p *planner) solve() (result Result) {
	defer func() { result.Mixtures = p.mixtures }()
	if len(p.changed) == 0 {
		result.Order = []string{}
		return result
	}
	for _, strict := range []bool{true, false} {
		order, isIncomplete := p.search(nil, p.changed, strict)
		if order != nil {
			return Result{Order: order, Transient: p.transientConflicts(order)}
		}
		result.IsIncomplete = isIncomplete
	}
	largestReached := p.largestReached
	result.Cycle, result.Blocked = p.findCycle()
	if result.Cycle == nil {
		result.Cycle, result.Blocked = p.smallestBlockedSet(largestReached)
	}
	return result
}

// search finds an order in which the regions in names change after those in done have. It returns nil if there
// is none, or if none was found within the bounds.
func (p *planner) search(done, names []string, strict bool) (order []string, isIncomplete bool) {
	p.strict = strict
	p.deadEnds = make(map[string]bool)
	p.largestReached = done
	if p.verdicts == nil {
		p.verdicts = make(map[string]verdict)
	}
	p.budget = baseSearchBudget + searchBudgetPerRegion*len(names)
	if p.extend(newSet(done), names, &order) {
		return order, false
	}
	return nil, p.budget <= 0
}

// extend appends regions to an order until all of names have changed; it returns false if that is impossible.
// A mixture depends only on which regions have changed, not on their order, so each set is tried once.
func (p *planner) extend(set map[string]bool, names []string, order *[]string) bool {
	if len(*order) == len(names) {
		return true
	}
	key := setKey(set)
	if p.deadEnds[key] {
		return false
	}
	for _, name := range names {
		if set[name] || !p.isReady(name, set) || p.budget <= 0 {
			continue
		}
		set[name] = true
		if p.stepVerdict(name, set).isAcceptable(p.strict) {
			*order = append(*order, name)
			if len(set) > len(p.largestReached) {
				p.largestReached = sortedNames(set)
			}
			if p.extend(set, names, order) {
				return true
			}
			*order = (*order)[:len(*order)-1]
		}
		delete(set, name)
	}
	p.deadEnds[key] = true
	return false
}

// isReady reports whether all regions that have to change before the named one are in set.
func (p *planner) isReady(name string, set map[string]bool) bool {
	for _, constraint := range p.constraints {
		if constraint.newRegion == name && p.isBinding(constraint) && !set[constraint.oldRegion] {
			return false
		}
	}
	return true
}

func (p *planner) isBinding(constraint orderConstraint) bool {
	return constraint.Severity == regions.Error || p.strict && constraint.Severity == regions.Warning
}

// transientConflicts returns the conflicts that an order does not avoid, as warnings without duplicates.
func (p *planner) transientConflicts(order []string) (conflicts []regions.Conflict) {
	isAdded := make(map[string]bool)
	add := func(conflict regions.Conflict) {
		conflict = WithoutGenerations(conflict)
		conflict.Severity = regions.Warning
		if key := conflictKey(conflict); !isAdded[key] {
			isAdded[key] = true
			conflicts = append(conflicts, conflict)
		}
	}
	for _, constraint := range p.constraints {
		if constraint.newRegion == constraint.oldRegion {
			add(constraint.Conflict)
		}
	}
	set := make(map[string]bool)
	for _, name := range order {
		set[name] = true
		v := p.verdictOf(set)
		for _, conflict := range append(slices.Clip(v.transient), v.warnings...) {
			add(conflict)
		}
	}
	return conflicts
}

func newSet(lists ...[]string) map[string]bool {
	set := make(map[string]bool)
	for _, list := range lists {
		for _, name := range list {
			set[name] = true
		}
	}
	return set
}

func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func setKey(set map[string]bool) string { return strings.Join(sortedNames(set), "\x00") }

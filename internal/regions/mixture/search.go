package mixture

import (
	"slices"
	"strings"

	"lockflow/internal/regions"
)

// Bounds of a search: mixtures looked at. Each is a check of all regions.
const (
	baseSearchBudget      = 256
	searchBudgetPerRegion = 16
)

// solve finds an order, or the least circle. First one in which mixtures have no warnings either.
func (p *planner) solve() (r Result) {
	defer func() { r.Mixtures = p.mixtures }()
	if len(p.changed) == 0 {
		r.Order = []string{}
		return r
	}
	for _, strict := range []bool{true, false} {
		order, unsure := p.search(nil, p.changed, strict)
		if order != nil {
			return Result{Order: order, Transient: p.transientConflicts(order)}
		}
		r.IsIncomplete = unsure
	}
	deepest := p.largestReached
	r.Cycle, r.Blocked = p.findCycle()
	if r.Cycle == nil {
		r.Cycle, r.Blocked = p.smallestBlockedSet(deepest)
	}
	return r
}

// search looks for an order in which the regions in rest change once those in done have.
func (p *planner) search(done, rest []string, strict bool) (order []string, unsure bool) {
	p.strict, p.deadEnds, p.largestReached = strict, make(map[string]bool), done
	if p.verdicts == nil {
		p.verdicts = make(map[string]verdict)
	}
	p.budget = baseSearchBudget + searchBudgetPerRegion*len(rest)
	set := make(map[string]bool)
	for _, name := range done {
		set[name] = true
	}
	if p.extend(set, rest, &order) {
		return order, false
	}
	return nil, p.budget <= 0
}

// extend has one more of rest change, and so on. What a mixture is depends on which regions have changed
// and not on their order, so each set is looked at once.
func (p *planner) extend(set map[string]bool, rest []string, order *[]string) bool {
	if len(*order) == len(rest) {
		return true
	}
	at := setKey(set)
	if p.deadEnds[at] {
		return false
	}
	for _, name := range rest {
		if set[name] || !p.isReady(name, set) || p.budget <= 0 {
			continue
		}
		set[name] = true
		if p.stepVerdict(name, set).isAcceptable(p.strict) {
			*order = append(*order, name)
			if len(set) > len(p.largestReached) {
				p.largestReached = sortedNames(set)
			}
			if p.extend(set, rest, order) {
				return true
			}
			*order = (*order)[:len(*order)-1]
		}
		delete(set, name)
	}
	p.deadEnds[at] = true
	return false
}

// isReady tells whether all that have to change before a region have.
func (p *planner) isReady(name string, set map[string]bool) bool {
	for _, c := range p.pairings {
		if c.newRegion == name && p.isBinding(c) && !set[c.oldRegion] {
			return false
		}
	}
	return true
}

func (p *planner) isBinding(c pairing) bool {
	return c.Severity == regions.Error || p.strict && c.Severity == regions.Warning
}

// stepVerdict is what the mixtures bring in which the regions in set have changed, name as the last, and those in
// which some of its members have.
func (p *planner) stepVerdict(name string, set map[string]bool) verdict {
	v := p.verdictOf(set)
	for _, list := range p.partialMixtures(name, set) {
		p.budget--
		p.mixtures++
		for _, c := range p.check(list) {
			if !isPairwise(c.Kind) && c.Kind != regions.DeadKind && c.Kind != regions.LoopKind {
				v = p.addConflict(v, c, list, nil, sortedNames(set))
			}
		}
	}
	return v
}

// verdictOf is what a mixture brings that neither end has.
func (p *planner) verdictOf(set map[string]bool) verdict {
	at := setKey(set)
	if v, ok := p.verdicts[at]; ok {
		return v
	}
	p.budget--
	p.mixtures++
	var v verdict
	all := p.mixtureOf(set, "")
	in := make(map[string]*regions.Region, len(all))
	for i := range all {
		in[all[i].Name] = &all[i]
	}
	for _, c := range p.check(all) {
		if c.Kind != regions.DeadKind { // of one region alone: an end has it
			v = p.addConflict(v, c, all, in, sortedNames(set))
		}
	}
	p.verdicts[at] = v
	return v
}

func (p *planner) addConflict(v verdict, c regions.Conflict, all []regions.Region, in map[string]*regions.Region, changed []string) verdict {
	if !p.isNew(c) || p.isWithinEnd(c, all) {
		return v
	}
	of := severityInMixture(c, in)
	c = inMixture(c, changed)
	switch of {
	case regions.Error:
		v.errors = append(slices.Clip(v.errors), c)
	case transient:
		v.transient = append(slices.Clip(v.transient), c)
	default:
		v.warnings = append(slices.Clip(v.warnings), c)
	}
	return v
}

// mixtureOf is the fleet in which the regions in set have changed, without one of them.
func (p *planner) mixtureOf(set map[string]bool, without string) (all []regions.Region) {
	for _, name := range p.names {
		r := p.old[name]
		if set[name] {
			r = p.new[name]
		}
		if r != nil && name != without {
			one := *r
			if p.sumsOnly {
				one.Routes = nil // no sum goes by them
			}
			all = append(all, one)
		}
	}
	return all
}

// partialMixtures gives the fleets in which only some of a region's members have changed, as far as they bring
// more than the states before and after do. Routes and terms of both generations are held against all
// others by those two states, and against each other by pairs. A request that goes round through both
// comes back to the region on the way, so it goes round in one of the two states as well. Sums are linear
// in how many members have changed, and held to the limits that both generations state: these are the
// corners with at least one member of each, without routes, which no sum goes by. Where it isn't known how
// truncated members there are, none can be told.
func (p *planner) partialMixtures(name string, set map[string]bool) (lists [][]regions.Region) {
	old, new := p.old[name], p.new[name]
	if old == nil || new == nil || old.Members == 0 || new.Members == 0 || sameSums(old, new) {
		return nil
	}
	most := max(old.Members, new.Members)
	left, changed := min(old.Members, most-1), min(new.Members, most-1)
	for _, corner := range [][2]int{{left, most - left}, {most - changed, changed}} {
		if corner[0] == 0 || corner[1] == 0 {
			continue
		}
		a, b := *old, *new
		a.Members, b.Members = corner[0], corner[1]
		a.Name, b.Name = name+aliasOld, name+aliasNew
		list := append(p.mixtureOf(set, name), a, b)
		for i := range list {
			list[i].Routes = nil
		}
		if lists = append(lists, list); left == most-changed {
			break
		}
	}
	return lists
}

// sameSums tells whether all that is summed over regions is the same.
func sameSums(a, b *regions.Region) bool {
	return a.Members == b.Members && a.Instances == b.Instances && a.Shared == b.Shared &&
		slices.EqualFunc(a.Services, b.Services, func(s, o regions.Service) bool {
			return s.Name == o.Name && s.SlowStart == o.SlowStart && s.Source == o.Source && s.Counter == o.Counter &&
				slices.Equal(s.Plans, o.Plans) && slices.Equal(s.Servers, o.Servers)
		})
}

// transientConflicts are the differences that an order can't avoid.
func (p *planner) transientConflicts(order []string) (all []regions.Conflict) {
	seen := make(map[string]bool)
	add := func(c regions.Conflict) {
		c = WithoutGenerations(c)
		c.Severity = regions.Warning
		if k := conflictKey(c); !seen[k] {
			seen[k] = true
			all = append(all, c)
		}
	}
	for _, c := range p.pairings {
		if c.newRegion == c.oldRegion {
			add(c.Conflict)
		}
	}
	set := make(map[string]bool)
	for _, name := range order {
		set[name] = true
		v := p.verdictOf(set)
		for _, c := range append(slices.Clip(v.transient), v.warnings...) {
			add(c)
		}
	}
	return all
}

func sortedNames(set map[string]bool) []string {
	all := make([]string, 0, len(set))
	for name := range set {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

func setKey(set map[string]bool) string { return strings.Join(sortedNames(set), "\x00") }

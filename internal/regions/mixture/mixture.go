// Package mixture finds the order in which regions may change. They change one after another, and the
// members of each one after another too, so that old and new configurations stand side by side: every
// such mixture counts, not the two ends alone. It is pure: what a mixture's conflicts are it is told by a
// function.
package mixture

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"lockflow/internal/regions"
)

// Result is what was found.
type Result struct {
	// Order is the regions that change, in an order in which no mixture has a conflict that neither end
	// has. It is nil where there is none, and empty where no region changes.
	Order []string
	// Cycle is the least set of regions that block each other, where the change as it was given has no
	// order; Blocked is what stands in its way.
	Cycle   []string
	Blocked []regions.Conflict
	// Intermediate are intermediate configurations, by region, that the regions named by First run before they
	// go on to new ones, in First's order; Order is then that of the second phase. Each mixture of both
	// phases was held to be without conflict. It is empty where none is needed, or none helps.
	Intermediate      []regions.Region
	IntermediateOrder []string
	// Transient are differences that last as long as the change does and that no order avoids: between the
	// two generations of one region, and between terms of which one is the stricter in all.
	Transient []regions.Conflict
	// IsIncomplete tells that the search ended by its bound, so there may be an order where none was found.
	IsIncomplete bool
	// Mixtures is how many were looked at.
	Mixtures int
}

const (
	aliasOld = " (old)"
	aliasNew = " (new)"
)

// WithoutGenerations is a conflict with the regions' own names: Order asks about both generations of a region side by
// side, as "north (old)" and "north (new)".
func WithoutGenerations(c regions.Conflict) regions.Conflict {
	var names []string
	for _, n := range c.Regions {
		names = append(names, withoutGeneration(n))
	}
	slices.Sort(names)
	c.Regions = slices.Compact(names)
	return c
}

func withoutGeneration(name string) string {
	return strings.TrimSuffix(strings.TrimSuffix(name, aliasOld), aliasNew)
}

// Order finds an order for a fleet's change from old to new. A region that is in one of them alone comes
// or goes. check tells the conflicts of a mixture (regions.Check, less what is waived); it is asked about
// lists with each region once, mostly ones that differ in one region from the list before.
func Order(old, new []regions.Region, check func([]regions.Region) []regions.Conflict) Result {
	p := newPlanner(old, new, check)
	for _, all := range [][]regions.Region{old, new} {
		p.recordEnd(all)
	}
	p.findPairings()
	r := p.solve()
	if r.Order != nil {
		return r
	}
	// IntermediateOrder the circle alone goes by intermediate configurations, then all that could not be ordered.
	for _, names := range [][]string{r.Cycle, p.changed} {
		mid, through := intermediate(p, names)
		if len(through) == 0 {
			continue
		}
		one, two := newPlanner(old, mid, check), newPlanner(mid, new, check)
		for _, phase := range []*planner{one, two} {
			phase.endConflicts, phase.truncated, phase.changeStart, phase.changeEnd = p.endConflicts, p.truncated, p.changeStart, p.changeEnd
		}
		one.findPairings()
		two.findPairings()
		a, b := one.solve(), two.solve()
		r.Mixtures += a.Mixtures + b.Mixtures
		if a.Order != nil && b.Order != nil {
			r.Intermediate, r.IntermediateOrder, r.Order, r.Transient = through, a.Order, b.Order, append(a.Transient, b.Transient...)
			break
		}
	}
	return r
}

// intermediate gives the fleet with what the regions named run first, and that of those it changes.
func intermediate(p *planner, names []string) (mid, through []regions.Region) {
	for _, name := range slices.Sorted(maps.Keys(p.old)) {
		r := *p.old[name]
		if n := p.new[name]; n != nil && slices.Contains(names, name) {
			if m := Strictest(r, *n); !isEqual(&m, &r) {
				r = m
				through = append(through, m)
			}
		}
		mid = append(mid, r)
	}
	return mid, through
}

// planner holds one change.
type planner struct {
	check    func([]regions.Region) []regions.Conflict
	old, new map[string]*regions.Region
	// The ends of the whole change, where this is one phase of it.
	changeStart, changeEnd map[string]*regions.Region
	names                  []string // of all regions, sorted
	changed                []string // in the order in which they are tried: those that ask for less first
	endConflicts           map[string]bool
	truncated              map[string]bool // kinds and regions of which an end has more conflicts than are told
	sumsOnly               bool            // nothing changes but what is summed: routes and terms are as at the ends
	pairings               []pairing
	mixtures               int

	strict         bool // warnings count too
	verdicts       map[string]verdict
	deadEnds       map[string]bool // sets of changed regions from which there is no way on
	budget         int
	largestReached []string // the largest set that was reached
}

// verdict is what a mixture brings.
type verdict struct{ errors, warnings, transient []regions.Conflict }

func (v verdict) isAcceptable(strict bool) bool {
	return len(v.errors) == 0 && (!strict || len(v.warnings) == 0)
}

// pairing is a conflict between one region's new configuration and another's old one: the second has to
// change first. Of one region with itself, no order helps.
type pairing struct {
	newRegion, oldRegion string
	regions.Conflict
}

func newPlanner(old, new []regions.Region, check func([]regions.Region) []regions.Conflict) *planner {
	p := &planner{
		check: check, old: make(map[string]*regions.Region), new: make(map[string]*regions.Region),
		endConflicts: make(map[string]bool), truncated: make(map[string]bool),
	}
	for i := range old {
		p.old[old[i].Name] = &old[i]
	}
	for i := range new {
		p.new[new[i].Name] = &new[i]
	}
	p.changeStart, p.changeEnd = p.old, p.new
	all := maps.Clone(p.old)
	maps.Copy(all, p.new)
	p.names = slices.Sorted(maps.Keys(all))
	grows := make(map[string]float64)
	p.sumsOnly = true
	for _, name := range p.names {
		if !isEqual(p.old[name], p.new[name]) {
			p.sumsOnly = p.sumsOnly && isEqual(withoutSums(p.old[name]), withoutSums(p.new[name]))
			p.changed = append(p.changed, name)
			grows[name] = hardLimitGrowth(p.old[name], p.new[name])
		}
	}
	slices.SortStableFunc(p.changed, func(a, b string) int { return cmp.Compare(grows[a], grows[b]) })
	return p
}

// recordEnd notes the conflicts of an end.
func (p *planner) recordEnd(all []regions.Region) {
	p.mixtures++
	for _, c := range p.check(all) {
		p.endConflicts[conflictKey(c)] = true
		if strings.Contains(c.Why, "more of this kind") {
			p.truncated[string(c.Kind)+strings.Join(c.Regions, "\x00")] = true
		}
	}
}

// conflictKey is what makes two conflicts the same: what they are about, not the request that shows it.
func conflictKey(c regions.Conflict) string {
	c = WithoutGenerations(c)
	if c.Kind == regions.HardLimitKind || c.Kind == regions.SlowStartKind {
		// A sum that passes is the same one however many regions it is over.
		return string(c.Kind) + "\x01" + strings.Join(slices.Compact(slices.Sorted(slices.Values(c.Rules))), "\x00")
	}
	return string(c.Kind) + "\x01" + strings.Join(c.Regions, "\x00") + "\x01" + strings.Join(c.Rules, "\x00")
}

// isNew tells whether neither end has a conflict.
func (p *planner) isNew(c regions.Conflict) bool {
	c = WithoutGenerations(c)
	return !p.endConflicts[conflictKey(c)] && !p.truncated[string(c.Kind)+strings.Join(c.Regions, "\x00")]
}

// findPairings asks once which configurations conflict in pairs, old and new ones of all regions side by side.
func (p *planner) findPairings() {
	if p.sumsOnly {
		return
	}
	var all []regions.Region
	in := make(map[string]*regions.Region)
	add := func(r *regions.Region, alias string) {
		if r != nil {
			one := *r
			one.Name += alias
			in[one.Name] = r
			all = append(all, one)
		}
	}
	for _, name := range p.names {
		if slices.Contains(p.changed, name) {
			add(p.old[name], aliasOld)
			add(p.new[name], aliasNew)
		} else {
			add(p.old[name], "")
		}
	}
	p.mixtures++
	for _, c := range p.check(all) {
		if len(c.Regions) != 2 || !isPairwise(c.Kind) || !p.isNew(c) {
			continue
		}
		a, b := c.Regions[0], c.Regions[1]
		switch {
		case strings.HasSuffix(a, aliasNew) && strings.HasSuffix(b, aliasOld):
		case strings.HasSuffix(a, aliasOld) && strings.HasSuffix(b, aliasNew):
			a, b = b, a
		default:
			continue // the ends have it
		}
		c.Severity = severityInMixture(c, in)
		if withoutGeneration(a) == withoutGeneration(b) && c.Kind != regions.TermsKind {
			c.Severity = transient // the change is this difference
		}
		p.pairings = append(p.pairings, pairing{withoutGeneration(a), withoutGeneration(b), c})
	}
}

func isPairwise(k regions.Kind) bool {
	return k == regions.ServiceKind || k == regions.CoverageKind || k == regions.TermsKind
}

// transient is the severity of what lasts as long as the change does.
const transient regions.Severity = "passing"

// severityInMixture is that of a conflict while a change goes on. Of two terms of which one is the stricter in all,
// nothing runs twice that doesn't where all have the other: such a mixture is no worse than one of the ends.
func severityInMixture(c regions.Conflict, in map[string]*regions.Region) regions.Severity {
	if c.Kind != regions.TermsKind || len(c.Regions) != 2 || len(c.Rules) != 2 || c.Witness == nil {
		return c.Severity
	}
	a, okA := classOf(in[c.Regions[0]], c.Rules[0], c.Witness)
	b, okB := classOf(in[c.Regions[1]], c.Rules[1], c.Witness)
	if okA && okB && (isStricterOrEqual(a, b) || isStricterOrEqual(b, a)) {
		return transient
	}
	return c.Severity
}

// inMixture is a conflict of a mixture, with what of the fleet has changed in it.
func inMixture(c regions.Conflict, changed []string) regions.Conflict {
	c = WithoutGenerations(c)
	if len(changed) > 0 {
		c.Why = fmt.Sprintf("while %s alone changed: %s", listRegions(changed), c.Why)
	}
	return c
}

func listRegions(names []string) string {
	names = slices.Sorted(slices.Values(names))
	if len(names) > 4 {
		return fmt.Sprintf("%s and %d more have", strings.Join(names[:4], ", "), len(names)-4)
	}
	if len(names) == 1 {
		return names[0] + " has"
	}
	return strings.Join(names, ", ") + " have"
}

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
	// Circle is the least set of regions that block each other, where the change as it was given has no
	// order; Blocked is what stands in its way.
	Circle  []string
	Blocked []regions.Conflict
	// Through are intermediate configurations, by region, that the regions named by First run before they
	// go on to new ones, in First's order; Order is then that of the second phase. Each mixture of both
	// phases was held to be without conflict. It is empty where none is needed, or none helps.
	Through []regions.Region
	First   []string
	// Passing are differences that last as long as the change does and that no order avoids: between the
	// two generations of one region, and between terms of which one is the stricter in all.
	Passing []regions.Conflict
	// Unsure tells that the search ended by its bound, so there may be an order where none was found.
	Unsure bool
	// Mixtures is how many were looked at.
	Mixtures int
}

const (
	aliasOld = " (old)"
	aliasNew = " (new)"
)

// Plain is a conflict with the regions' own names: Order asks about both generations of a region side by
// side, as "north (old)" and "north (new)".
func Plain(c regions.Conflict) regions.Conflict {
	var names []string
	for _, n := range c.Regions {
		names = append(names, plain(n))
	}
	slices.Sort(names)
	c.Regions = slices.Compact(names)
	return c
}

func plain(name string) string {
	return strings.TrimSuffix(strings.TrimSuffix(name, aliasOld), aliasNew)
}

// Order finds an order for a fleet's change from old to new. A region that is in one of them alone comes
// or goes. check tells the conflicts of a mixture (regions.Check, less what is waived); it is asked about
// lists with each region once, mostly ones that differ in one region from the list before.
func Order(old, new []regions.Region, check func([]regions.Region) []regions.Conflict) Result {
	p := plan(old, new, check)
	for _, all := range [][]regions.Region{old, new} {
		p.known(all)
	}
	p.pairs()
	r := p.solve()
	if r.Order != nil {
		return r
	}
	// First the circle alone goes by intermediate configurations, then all that could not be ordered.
	for _, names := range [][]string{r.Circle, p.changed} {
		mid, through := intermediate(p, names)
		if len(through) == 0 {
			continue
		}
		one, two := plan(old, mid, check), plan(mid, new, check)
		for _, phase := range []*planner{one, two} {
			phase.ends, phase.many, phase.first, phase.last = p.ends, p.many, p.first, p.last
		}
		one.pairs()
		two.pairs()
		a, b := one.solve(), two.solve()
		r.Mixtures += a.Mixtures + b.Mixtures
		if a.Order != nil && b.Order != nil {
			r.Through, r.First, r.Order, r.Passing = through, a.Order, b.Order, append(a.Passing, b.Passing...)
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
			if m := Meet(r, *n); !same(&m, &r) {
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
	first, last map[string]*regions.Region
	names       []string // of all regions, sorted
	changed     []string // in the order in which they are tried: those that ask for less first
	ends        map[string]bool
	many        map[string]bool // kinds and regions of which an end has more conflicts than are told
	sumsOnly    bool            // nothing changes but what is summed: routes and terms are as at the ends
	pair        []pairing
	mixtures    int

	strict  bool // warnings count too
	states  map[string]verdict
	dead    map[string]bool // sets of changed regions from which there is no way on
	budget  int
	deepest []string // the largest set that was reached
}

// verdict is what a mixture brings.
type verdict struct{ errors, warnings, passing []regions.Conflict }

func (v verdict) fine(strict bool) bool {
	return len(v.errors) == 0 && (!strict || len(v.warnings) == 0)
}

// pairing is a conflict between one region's new configuration and another's old one: the second has to
// change first. Of one region with itself, no order helps.
type pairing struct {
	new, old string
	regions.Conflict
}

func plan(old, new []regions.Region, check func([]regions.Region) []regions.Conflict) *planner {
	p := &planner{
		check: check, old: make(map[string]*regions.Region), new: make(map[string]*regions.Region),
		ends: make(map[string]bool), many: make(map[string]bool),
	}
	for i := range old {
		p.old[old[i].Name] = &old[i]
	}
	for i := range new {
		p.new[new[i].Name] = &new[i]
	}
	p.first, p.last = p.old, p.new
	all := maps.Clone(p.old)
	maps.Copy(all, p.new)
	p.names = slices.Sorted(maps.Keys(all))
	grows := make(map[string]float64)
	p.sumsOnly = true
	for _, name := range p.names {
		if !same(p.old[name], p.new[name]) {
			p.sumsOnly = p.sumsOnly && same(unsummed(p.old[name]), unsummed(p.new[name]))
			p.changed = append(p.changed, name)
			grows[name] = growth(p.old[name], p.new[name])
		}
	}
	slices.SortStableFunc(p.changed, func(a, b string) int { return cmp.Compare(grows[a], grows[b]) })
	return p
}

// known notes the conflicts of an end.
func (p *planner) known(all []regions.Region) {
	p.mixtures++
	for _, c := range p.check(all) {
		p.ends[key(c)] = true
		if strings.Contains(c.Why, "more of this kind") {
			p.many[string(c.Kind)+strings.Join(c.Regions, "\x00")] = true
		}
	}
}

// key is what makes two conflicts the same: what they are about, not the request that shows it.
func key(c regions.Conflict) string {
	c = Plain(c)
	if c.Kind == regions.HardLimitKind || c.Kind == regions.SlowStartKind {
		// A sum that passes is the same one however many regions it is over.
		return string(c.Kind) + "\x01" + strings.Join(slices.Compact(slices.Sorted(slices.Values(c.Rules))), "\x00")
	}
	return string(c.Kind) + "\x01" + strings.Join(c.Regions, "\x00") + "\x01" + strings.Join(c.Rules, "\x00")
}

// fresh tells whether neither end has a conflict.
func (p *planner) fresh(c regions.Conflict) bool {
	c = Plain(c)
	return !p.ends[key(c)] && !p.many[string(c.Kind)+strings.Join(c.Regions, "\x00")]
}

// pairs asks once which configurations conflict in pairs, old and new ones of all regions side by side.
func (p *planner) pairs() {
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
		if len(c.Regions) != 2 || !pairwise(c.Kind) || !p.fresh(c) {
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
		c.Severity = severity(c, in)
		if plain(a) == plain(b) && c.Kind != regions.TermsKind {
			c.Severity = passing // the change is this difference
		}
		p.pair = append(p.pair, pairing{plain(a), plain(b), c})
	}
}

func pairwise(k regions.Kind) bool {
	return k == regions.ServiceKind || k == regions.CoverageKind || k == regions.TermsKind
}

// passing is the severity of what lasts as long as the change does.
const passing regions.Severity = "passing"

// severity is that of a conflict while a change goes on. Of two terms of which one is the stricter in all,
// nothing runs twice that doesn't where all have the other: such a mixture is no worse than one of the ends.
func severity(c regions.Conflict, in map[string]*regions.Region) regions.Severity {
	if c.Kind != regions.TermsKind || len(c.Regions) != 2 || len(c.Rules) != 2 || c.Witness == nil {
		return c.Severity
	}
	a, okA := classOf(in[c.Regions[0]], c.Rules[0], c.Witness)
	b, okB := classOf(in[c.Regions[1]], c.Rules[1], c.Witness)
	if okA && okB && (stricter(a, b) || stricter(b, a)) {
		return passing
	}
	return c.Severity
}

// told is a conflict of a mixture, with what of the fleet has changed in it.
func told(c regions.Conflict, changed []string) regions.Conflict {
	c = Plain(c)
	if len(changed) > 0 {
		c.Why = fmt.Sprintf("while %s alone changed: %s", list(changed), c.Why)
	}
	return c
}

func list(names []string) string {
	names = slices.Sorted(slices.Values(names))
	if len(names) > 4 {
		return fmt.Sprintf("%s and %d more have", strings.Join(names[:4], ", "), len(names)-4)
	}
	if len(names) == 1 {
		return names[0] + " has"
	}
	return strings.Join(names, ", ") + " have"
}

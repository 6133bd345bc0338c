package regions

import (
	"fmt"
	"slices"
)

// maxWork bounds the look at one condition, and that for loops, in conditions tried: some seconds.
const maxWork = 1 << 26

// pairs finds the requests that lead to condition d in one region and elsewhere in another. Of two rules
// that treat a request differently the more specific one is not in both regions, or not with the same
// outcome; so it is enough to hold each such condition against those of lower rank. See
// docs/design/regions.md for why the least request of both shows all that any shows.
func (x *Index) pairs(d *cond) (all []finding) {
	start := x.visited
	all = x.pair(all, d, nil)
	var lower []*cond
	x.meeting(d.area, func(c *cond) bool {
		x.visited++
		if c != d && compare(c, d) > 0 && !x.alike(d, c) {
			lower = append(lower, c)
		}
		return true
	})
	slices.SortFunc(lower, compare)
	for _, j := range lower {
		if x.visited-start > x.work {
			return append(all, finding{kind: ServiceKind, d: d, why: fmt.Sprintf("undecided: too many rules have requests in common with this one for %d steps", x.work)})
		}
		all = x.pair(all, d, j)
	}
	return all
}

// alike tells whether all rules of two conditions have one outcome.
func (x *Index) alike(a, b *cond) bool {
	one := x.attrs.all[a.uses[0].attr].out
	for _, u := range a.uses {
		if x.attrs.all[u.attr].out != one {
			return false
		}
	}
	for _, u := range b.uses {
		if x.attrs.all[u.attr].out != one {
			return false
		}
	}
	return true
}

// pair holds regions in which d wins against those in which j does; without j, against those in which no
// rule does, or d itself with another outcome.
func (x *Index) pair(all []finding, d, j *cond) []finding {
	a := d.area
	attrs := attrsOf(nil, d)
	if j != nil {
		var ok bool
		if a, ok = a.meet(j.area); !ok {
			return all
		}
		attrs = attrsOf(attrs, j)
	}
	var seen map[shown]struct{} // what has a witness
	variants := x.variants(a, attrs)
	if len(variants) > 1 {
		seen = make(map[shown]struct{})
	}
	for _, v := range variants {
		w := x.request(v)
		if w == nil {
			continue
		}
		if x.evaluate(w); !x.oppose(d, j) {
			continue
		}
		for _, kind := range []Kind{ServiceKind, CoverageKind, TermsKind} {
			found := x.differing(kind, w, j, seen)
			if len(found) == 0 {
				continue
			}
			for _, pair := range found {
				if seen != nil {
					seen[shown{kind, pair}] = struct{}{}
				}
			}
			f := finding{kind: kind, witness: w, d: d, j: j, pairs: found}
			for _, s := range x.with {
				f.with = append(f.with, s.region)
			}
			all = append(all, f)
		}
	}
	return all
}

// oppose sorts the regions into those in which d wins and those that they are held against, by what was
// evaluated last; false where there are none of one.
func (x *Index) oppose(d, j *cond) bool {
	x.with, x.against = x.with[:0], x.against[:0]
	for i, c := range x.chosen {
		switch {
		case c.cond == d:
			x.with = append(x.with, side{int32(i), c.attr})
		case c.cond == j && j != nil:
			x.against = append(x.against, side{int32(i), c.attr})
		case c.cond == nil && j == nil:
			x.against = append(x.against, side{int32(i), -1})
		}
	}
	if len(x.with) == 0 || j != nil && len(x.against) == 0 {
		return false
	}
	if j == nil {
		x.against = append(x.against, x.with...)
	}
	return true
}

// differing lists the pairs of opposed regions that treat a request differently, of one kind, and have no
// witness yet.
func (x *Index) differing(kind Kind, w *Witness, j *cond, seen map[shown]struct{}) (found [][2]uint16) {
	last, yes := side{-2, -2}, false // of attrs
	for _, s := range x.with {
		for _, o := range x.against {
			if o.attr >= 0 && j == nil && o.region <= s.region { // both d
				continue
			}
			if now := (side{s.attr, o.attr}); now != last {
				last, yes = now, x.shows(kind, w, s.attr, o.attr)
			}
			if !yes {
				continue
			}
			pair := [2]uint16{uint16(min(s.region, o.region)), uint16(max(s.region, o.region))}
			if _, twice := seen[shown{kind, pair}]; !twice {
				found = append(found, pair)
			}
		}
	}
	return found
}

// side is a region and the rule that it chooses; -1 is none.
type side struct {
	region int32
	attr   int32
}

// shown is a kind of conflict between rules of two regions that has a witness already.
type shown struct {
	kind Kind
	pair [2]uint16
}

func attrsOf(to []int32, c *cond) []int32 {
	for _, u := range c.uses {
		if !slices.Contains(to, u.attr) {
			to = append(to, u.attr)
		}
	}
	return to
}

// shows tells whether two rules treat a request differently, of one kind.
func (x *Index) shows(kind Kind, w *Witness, a, b int32) bool {
	service, coverage, other := apart(x.fateOf(a, w), x.fateOf(b, w))
	switch kind {
	case ServiceKind:
		return service
	case CoverageKind:
		return coverage
	}
	return other
}

func (x *Index) fateOf(attr int32, w *Witness) fate {
	if attr < 0 {
		return fate{}
	}
	return x.fate(attr, w)
}

// suspect tells whether a rule of such a condition can be dead. Any other wins the least request of its
// own area: what ranks above it there holds for fewer requests by method or by a header. A class is the
// one exception, as it ranks below the path that its segment is.
func (c *cond) suspect() bool { return c.form.Rule().Class != "" || c.nowhere() }

// deadRules finds the regions in which no request reaches condition d.
func (x *Index) deadRules(d *cond) (all []finding) {
	for _, v := range x.variants(d.area, nil) {
		w := x.request(v)
		if w != nil {
			x.evaluate(w)
		}
		for _, u := range d.uses {
			f := finding{kind: DeadKind, d: d, with: []int32{u.region}, pairs: [][2]uint16{{uint16(u.region), uint16(u.region)}}, why: "no request has such a host or path"}
			if w != nil {
				win := x.chosen[u.region]
				if win.cond == d {
					continue
				}
				by := &x.attrs.all[win.attr]
				f.witness, f.why = w, fmt.Sprintf("all its requests lead by the more specific route %q to service %q", by.name, x.outs.all[by.out].service)
				if x.attrs.all[u.attr].base && !by.base {
					f.why += ", which the region adds to the base"
				}
			}
			all = append(all, f)
		}
	}
	return all
}

package regions

import (
	"fmt"
	"slices"
)

// maxStepsDefault bounds the look at one condition, and that for loops, in conditions tried: some seconds.
const maxStepsDefault = 1 << 26

// findDifferences finds the requests that lead to condition d in one region and elsewhere in another. Of two rules
// that treat a request differently the more specific one is not in both regions, or not with the same
// outcome; so it is enough to hold each such condition against those of lower rank. See
// docs/design/regions.md for why the least request of both shows all that any shows.
func (x *Index) findDifferences(d *condition) (all []finding) {
	start := x.visited
	all = x.comparePair(all, d, nil)
	var lower []*condition
	x.eachIntersecting(d.requests, func(c *condition) bool {
		x.visited++
		if c != d && comparePrecedence(c, d) > 0 && !x.haveOneOutcome(d, c) {
			lower = append(lower, c)
		}
		return true
	})
	slices.SortFunc(lower, comparePrecedence)
	for _, j := range lower {
		if x.visited-start > x.maxSteps {
			return append(all, finding{kind: ServiceKind, winner: d, reason: fmt.Sprintf("undecided: too many rules have requests in common with this one for %d steps", x.maxSteps)})
		}
		all = x.comparePair(all, d, j)
	}
	return all
}

// haveOneOutcome tells whether all rules of two conditions have one outcome.
func (x *Index) haveOneOutcome(a, b *condition) bool {
	one := x.ruleInfos.values[a.uses[0].ruleID].outcomeID
	for _, u := range a.uses {
		if x.ruleInfos.values[u.ruleID].outcomeID != one {
			return false
		}
	}
	for _, u := range b.uses {
		if x.ruleInfos.values[u.ruleID].outcomeID != one {
			return false
		}
	}
	return true
}

// comparePair holds regions in which d wins against those in which j does; without j, against those in which no
// rule does, or d itself with another outcome.
func (x *Index) comparePair(all []finding, d, j *condition) []finding {
	a := d.requests
	attrs := appendRuleIDs(nil, d)
	if j != nil {
		var ok bool
		if a, ok = a.intersect(j.requests); !ok {
			return all
		}
		attrs = appendRuleIDs(attrs, j)
	}
	var seen map[reportedPair]struct{} // what has a witness
	variants := x.variants(a, attrs)
	if len(variants) > 1 {
		seen = make(map[reportedPair]struct{})
	}
	for _, v := range variants {
		w := x.minimalRequest(v)
		if w == nil {
			continue
		}
		if x.chooseRules(w); !x.opposeRegions(d, j) {
			continue
		}
		for _, kind := range []Kind{ServiceKind, CoverageKind, TermsKind} {
			found := x.differingPairs(kind, w, j, seen)
			if len(found) == 0 {
				continue
			}
			for _, pair := range found {
				if seen != nil {
					seen[reportedPair{kind, pair}] = struct{}{}
				}
			}
			f := finding{kind: kind, witness: w, winner: d, other: j, pairs: found}
			for _, s := range x.winning {
				f.winningRegions = append(f.winningRegions, s.region)
			}
			all = append(all, f)
		}
	}
	return all
}

// opposeRegions sorts the regions into those in which d wins and those that they are held against, by what was
// evaluated last; false where there are none of one.
func (x *Index) opposeRegions(d, j *condition) bool {
	x.winning, x.opposing = x.winning[:0], x.opposing[:0]
	for i, c := range x.chosen {
		switch {
		case c.condition == d:
			x.winning = append(x.winning, opposedRule{int32(i), c.ruleID})
		case c.condition == j && j != nil:
			x.opposing = append(x.opposing, opposedRule{int32(i), c.ruleID})
		case c.condition == nil && j == nil:
			x.opposing = append(x.opposing, opposedRule{int32(i), -1})
		}
	}
	if len(x.winning) == 0 || j != nil && len(x.opposing) == 0 {
		return false
	}
	if j == nil {
		x.opposing = append(x.opposing, x.winning...)
	}
	return true
}

// differingPairs lists the pairs of opposed regions that treat a request differently, of one kind, and have no
// witness yet.
func (x *Index) differingPairs(kind Kind, w *Witness, j *condition, seen map[reportedPair]struct{}) (found [][2]uint16) {
	last, yes := opposedRule{-2, -2}, false // ids attrs
	for _, s := range x.winning {
		for _, o := range x.opposing {
			if o.ruleID >= 0 && j == nil && o.region <= s.region { // both d
				continue
			}
			if now := (opposedRule{s.ruleID, o.ruleID}); now != last {
				last, yes = now, x.shows(kind, w, s.ruleID, o.ruleID)
			}
			if !yes {
				continue
			}
			pair := [2]uint16{uint16(min(s.region, o.region)), uint16(max(s.region, o.region))}
			if _, twice := seen[reportedPair{kind, pair}]; !twice {
				found = append(found, pair)
			}
		}
	}
	return found
}

// opposedRule is a region and the rule that it chooses; -1 is none.
type opposedRule struct {
	region int32
	ruleID int32
}

// reportedPair is a kind of conflict between rules of two regions that has a witness already.
type reportedPair struct {
	kind Kind
	pair [2]uint16
}

func appendRuleIDs(to []int32, c *condition) []int32 {
	for _, u := range c.uses {
		if !slices.Contains(to, u.ruleID) {
			to = append(to, u.ruleID)
		}
	}
	return to
}

// shows tells whether two rules treat a request differently, of one kind.
func (x *Index) shows(kind Kind, w *Witness, a, b int32) bool {
	service, coverage, other := differences(x.fateOf(a, w), x.fateOf(b, w))
	switch kind {
	case ServiceKind:
		return service
	case CoverageKind:
		return coverage
	}
	return other
}

func (x *Index) fateOf(attr int32, w *Witness) disposition {
	if attr < 0 {
		return disposition{}
	}
	return x.disposition(attr, w)
}

// mayBeDead tells whether a rule of such a condition can be dead. Any other wins the least request of its
// own area: what ranks above it there holds for fewer requests by method or by a header. A class is the
// one exception, as it ranks below the path that its segment is.
func (c *condition) mayBeDead() bool { return c.canonical.Rule().Class != "" || c.matchesNothing() }

// findDeadRules finds the regions in which no request reaches condition d.
func (x *Index) findDeadRules(d *condition) (all []finding) {
	for _, v := range x.variants(d.requests, nil) {
		w := x.minimalRequest(v)
		if w != nil {
			x.chooseRules(w)
		}
		for _, u := range d.uses {
			f := finding{kind: DeadKind, winner: d, winningRegions: []int32{u.region}, pairs: [][2]uint16{{uint16(u.region), uint16(u.region)}}, reason: "no request has such a host or path"}
			if w != nil {
				win := x.chosen[u.region]
				if win.condition == d {
					continue
				}
				by := &x.ruleInfos.values[win.ruleID]
				f.witness, f.reason = w, fmt.Sprintf("all its requests lead by the more specific route %q to service %q", by.name, x.outcomes.values[by.outcomeID].service)
				if x.ruleInfos.values[u.ruleID].isFromBase && !by.isFromBase {
					f.reason += ", which the region adds to the base"
				}
			}
			all = append(all, f)
		}
	}
	return all
}

package regions

import (
	"cmp"
	"maps"
	"slices"
)

// noChangedRegion is passed for the changed region where no region has changed.
const noChangedRegion = -1

// fullReviewThreshold is the number of changed conditions from which all watched conditions are reviewed,
// since a search for those that intersect each changed one would cost more.
const fullReviewThreshold = 1000

// compileRules returns the conditions and rule IDs of a region's rules. New conditions have no uses yet.
// Rules that are unchanged at the start or the end of the list are copied from the previous rules.
func (x *Index) compileRules(region, before *Region, rulesBefore []ruleRef, env *regionServices) []ruleRef {
	rules := make([]ruleRef, len(region.Routes))
	start, end := 0, len(rules)
	if before != nil {
		start, end = changedRange(region.Routes, before.Routes)
		copy(rules, rulesBefore[:start])
		copy(rules[end:], rulesBefore[end+len(rulesBefore)-len(rules):])
	}
	for i := start; i < end; i++ {
		if c := x.findOrAdd(&region.Routes[i].Rule); c != nil {
			rules[i] = ruleRef{c, x.ruleID(&region.Routes[i], env)}
		}
	}
	return rules
}

// changedRange returns the range of routes without the unchanged ones at the start and the end.
func changedRange(routes, before []Route) (start, end int) {
	end = len(routes)
	shared := min(end, len(before))
	for start < shared && isSameRoute(&routes[start], &before[start]) {
		start++
	}
	shift := len(before) - len(routes)
	for end > start && end+shift > start && isSameRoute(&routes[end-1], &before[end-1+shift]) {
		end--
	}
	return start, end
}

// isSameRoute reports whether two routes are equal, apart from their lines.
func isSameRoute(a, b *Route) bool {
	hasSameTarget := a.Name == b.Name && a.Service == b.Service && a.RequestClass == b.RequestClass && a.Base == b.Base
	hasSamePath := a.Path == b.Path && a.Prefix == b.Prefix && a.Class == b.Class
	return hasSameTarget && hasSamePath && a.Host == b.Host && a.Method == b.Method && slices.Equal(a.Headers, b.Headers)
}

// replaceRules records a region's new rules in their conditions and returns the conditions whose rule
// in the region has changed. Of rules with the same conditions only the first is used.
func (x *Index) replaceRules(region int32, before, after []ruleRef) (touched []*condition) {
	x.pass++
	for _, rule := range after {
		if rule.condition == nil || rule.lastPass == x.pass {
			continue
		}
		rule.lastPass = x.pass
		i, hasUse := rule.findUse(region)
		if hasUse && rule.uses[i].ruleID == rule.ruleID {
			continue
		}
		if hasUse {
			rule.uses[i].ruleID = rule.ruleID
		} else {
			rule.uses = slices.Insert(rule.uses, i, ruleUse{region, rule.ruleID})
		}
		touched = append(touched, rule.condition)
	}
	for _, rule := range before {
		if rule.condition != nil && rule.lastPass != x.pass {
			rule.lastPass = x.pass
			i, _ := rule.findUse(region)
			rule.uses = slices.Delete(rule.uses, i, i+1)
			touched = append(touched, rule.condition)
		}
	}
	return touched
}

// findUse returns the position of a region's rule in the uses of a condition, and whether it is present. If
// it is not, the position is where it would be inserted.
func (c *condition) findUse(region int32) (int, bool) {
	return slices.BinarySearchFunc(c.uses, region, func(use ruleUse, r int32) int { return cmp.Compare(use.region, r) })
}

// reviewTouched reviews the conditions whose rule in a region has changed, and the watched conditions that
// intersect them.
func (x *Index) reviewTouched(touched []*condition, region int32) {
	isFullReview := len(touched) >= fullReviewThreshold
	affected := make(map[*condition]struct{})
	for _, c := range touched {
		affected[c] = struct{}{}
		if isFullReview {
			continue
		}
		x.eachIntersecting(c.requests, func(other *condition) bool {
			if _, isWatched := x.watched[other]; isWatched {
				affected[other] = struct{}{}
			}
			return true
		})
	}
	for _, c := range touched {
		if len(c.uses) == 0 {
			x.remove(c)
			delete(affected, c)
			x.forget(c)
		}
	}
	if isFullReview || x.namesChanged {
		maps.Copy(affected, x.watched)
	}
	x.namesChanged = false
	for c := range affected {
		x.review(c, region)
	}
}

func (x *Index) forget(c *condition) {
	delete(x.watched, c)
	delete(x.differences, c)
	delete(x.deadRules, c)
}

// review finds the conflicts that concern a condition. Conflicts between regions other than the changed one
// are reused.
func (x *Index) review(c *condition, changed int32) {
	before := x.differences[c]
	c.differs = len(c.uses) < len(x.regions) || !x.haveOneOutcome(c)
	x.forget(c)
	if c.differs || c.mayBeDead() {
		x.watched[c] = struct{}{}
	}
	if c.differs {
		if findings := x.findDifferences(c); len(findings) > 0 {
			x.differences[c] = findings
			for i := range findings {
				findings[i].reuseConflicts(before, uint16(changed))
			}
		}
	}
	if c.mayBeDead() {
		if findings := x.findDeadRules(c); len(findings) > 0 {
			x.deadRules[c] = findings
		}
	}
}

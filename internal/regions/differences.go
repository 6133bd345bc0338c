package regions

import (
	"fmt"
	"reflect"
	"slices"
)

// maxStepsDefault is the largest number of conditions that are examined in the review of one condition and
// in the search for loops. It bounds each to a few seconds.
const maxStepsDefault = 1 << 26

// finding is a request that shows a conflict between the regions in which a rule with one condition wins and
// the opposed regions, in which another rule wins or none.
type finding struct {
	kind    Kind
	witness *Witness // nil if no request has the conditions, or if the search reached its bound
	winner  *condition
	// other wins in the opposed regions. If it is nil, no rule does, or the winner with another outcome.
	other          *condition
	winningRegions []int32
	pairs          [][2]uint16 // pairs of regions, each in ascending order; for a dead rule the same region twice
	reason         string      // only for a dead rule, and for a search that reached its bound

	requestText string     // the witness as text; empty until needed
	conflicts   []Conflict // by pair; empty until needed
}

// opposedRule is a region with the ID of the rule that it chooses, or noRule.
type opposedRule struct {
	region int32
	ruleID int32
}

// reportedPair is a kind of conflict between two regions for which a witness has been found.
type reportedPair struct {
	kind Kind
	pair [2]uint16
}

// findDifferences finds the requests for which a condition wins in one region and which another region
// handles differently. Of two rules that handle a request differently, the more specific one is missing in
// one of the regions or has another outcome there, so that it suffices to compare each such condition with
// those of lower precedence. docs/design/regions.md proves that the minimal request of both conditions shows
// every conflict that any of their requests shows.
func (x *Index) findDifferences(winner *condition) (findings []finding) {
	start := x.visited
	findings = x.comparePair(findings, winner, nil)
	var lower []*condition
	x.eachIntersecting(winner.requests, func(c *condition) bool {
		x.visited++
		if c != winner && comparePrecedence(c, winner) > 0 && !x.haveOneOutcome(winner, c) {
			lower = append(lower, c)
		}
		return true
	})
	slices.SortFunc(lower, comparePrecedence)
	for _, other := range lower {
		if x.visited-start > x.maxSteps {
			reason := fmt.Sprintf("undecided: too many rules have requests in common with this one for %d steps", x.maxSteps)
			return append(findings, finding{kind: ServiceKind, winner: winner, reason: reason})
		}
		findings = x.comparePair(findings, winner, other)
	}
	return findings
}

// haveOneOutcome reports whether all rules with the conditions have the same outcome.
func (x *Index) haveOneOutcome(conditions ...*condition) bool {
	first := x.ruleInfos.values[conditions[0].uses[0].ruleID].outcomeID
	for _, c := range conditions {
		for _, use := range c.uses {
			if x.ruleInfos.values[use.ruleID].outcomeID != first {
				return false
			}
		}
	}
	return true
}

// comparePair appends the conflicts between regions in which winner wins and those in which other does. If
// other is nil, the opposed regions have no rule or have the winner with another outcome.
func (x *Index) comparePair(findings []finding, winner, other *condition) []finding {
	set := winner.requests
	ruleIDs := appendRuleIDs(nil, winner)
	if other != nil {
		var ok bool
		if set, ok = set.intersect(other.requests); !ok {
			return findings
		}
		ruleIDs = appendRuleIDs(ruleIDs, other)
	}
	var reported map[reportedPair]struct{}
	variants := x.variants(set, ruleIDs)
	if len(variants) > 1 {
		reported = make(map[reportedPair]struct{})
	}
	for _, variant := range variants {
		request := x.minimalRequest(variant)
		if request == nil {
			continue
		}
		x.chooseRules(request)
		if x.opposeRegions(winner, other) {
			findings = x.appendDifferences(findings, request, winner, other, reported)
		}
	}
	return findings
}

// appendDifferences appends a finding for each kind of conflict between the opposed regions over a request.
// reported is nil if there is only one request.
func (x *Index) appendDifferences(findings []finding, request *Witness, winner, other *condition, reported map[reportedPair]struct{}) []finding {
	for _, kind := range []Kind{ServiceKind, CoverageKind, TermsKind} {
		pairs := x.differingPairs(kind, request, other, reported)
		if len(pairs) == 0 {
			continue
		}
		for _, pair := range pairs {
			if reported != nil {
				reported[reportedPair{kind, pair}] = struct{}{}
			}
		}
		found := finding{kind: kind, witness: request, winner: winner, other: other, pairs: pairs}
		for _, rule := range x.winning {
			found.winningRegions = append(found.winningRegions, rule.region)
		}
		findings = append(findings, found)
	}
	return findings
}

// opposeRegions sets x.winning to the regions that chose the winner and x.opposing to the regions to compare
// them with. It returns false if one of the two is empty.
func (x *Index) opposeRegions(winner, other *condition) bool {
	x.winning = x.winning[:0]
	x.opposing = x.opposing[:0]
	for i, chosen := range x.chosen {
		switch {
		case chosen.condition == winner:
			x.winning = append(x.winning, opposedRule{int32(i), chosen.ruleID})
		case chosen.condition == other && other != nil:
			x.opposing = append(x.opposing, opposedRule{int32(i), chosen.ruleID})
		case chosen.condition == nil && other == nil:
			x.opposing = append(x.opposing, opposedRule{int32(i), noRule})
		}
	}
	if len(x.winning) == 0 || other != nil && len(x.opposing) == 0 {
		return false
	}
	if other == nil {
		x.opposing = append(x.opposing, x.winning...)
	}
	return true
}

// differingPairs returns the pairs of opposed regions between which a request shows a conflict of a kind
// that has no witness yet.
func (x *Index) differingPairs(kind Kind, request *Witness, other *condition, reported map[reportedPair]struct{}) (pairs [][2]uint16) {
	// Adjacent pairs mostly have the same two rules, so the result of the last comparison is reused.
	var comparedA, comparedB int32 = noRule - 1, noRule - 1
	isConflict := false
	for _, a := range x.winning {
		for _, b := range x.opposing {
			areBothWinning := b.ruleID != noRule && other == nil
			if areBothWinning && b.region <= a.region { // each pair is compared only once
				continue
			}
			if a.ruleID != comparedA || b.ruleID != comparedB {
				comparedA, comparedB = a.ruleID, b.ruleID
				isConflict = conflictsInKind(kind, x.disposition(a.ruleID, request), x.disposition(b.ruleID, request))
			}
			if !isConflict {
				continue
			}
			pair := [2]uint16{uint16(min(a.region, b.region)), uint16(max(a.region, b.region))}
			if _, isReported := reported[reportedPair{kind, pair}]; !isReported {
				pairs = append(pairs, pair)
			}
		}
	}
	return pairs
}

// appendRuleIDs appends the IDs of a condition's rules without duplicates.
func appendRuleIDs(ids []int32, c *condition) []int32 {
	for _, use := range c.uses {
		if !slices.Contains(ids, use.ruleID) {
			ids = append(ids, use.ruleID)
		}
	}
	return ids
}

// reuseConflicts copies the conflicts of an earlier finding with the same request, except for pairs with the
// changed region.
func (f *finding) reuseConflicts(before []finding, changed uint16) {
	i := slices.IndexFunc(before, func(g finding) bool {
		isSame := g.kind == f.kind && g.other == f.other
		return g.conflicts != nil && isSame && reflect.DeepEqual(g.witness, f.witness)
	})
	if i < 0 {
		return
	}
	earlier := &before[i]
	positions := make(map[[2]uint16]int, len(earlier.pairs))
	for k, pair := range earlier.pairs {
		positions[pair] = k
	}
	f.requestText = earlier.requestText
	f.conflicts = make([]Conflict, len(f.pairs))
	for k, pair := range f.pairs {
		position, isKnown := positions[pair]
		if isKnown && pair[0] != changed && pair[1] != changed {
			f.conflicts[k] = earlier.conflicts[position]
		}
	}
}

// ruleIn returns the rule that a region chooses for the witness, or noRule.
func (f *finding) ruleIn(region int32) int32 {
	for _, c := range []*condition{f.winner, f.other} {
		if c == nil {
			continue
		}
		isWinner := c == f.winner
		i, hasUse := c.findUse(region)
		if hasUse && isWinner == slices.Contains(f.winningRegions, region) {
			return c.uses[i].ruleID
		}
	}
	return noRule
}

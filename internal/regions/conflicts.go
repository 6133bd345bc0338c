package regions

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxReported is the largest number of conflicts of one kind between two regions that are reported. An
// additional conflict states how many were omitted; it names no rules, so that no waiver of a rule can hide it.
const maxReported = 100

// kinds lists the kinds of conflicts in the order in which they are reported.
var kinds = []Kind{HardLimitKind, SlowStartKind, CoverageKind, DeadKind, LoopKind, ServiceKind, TermsKind}

var severities = map[Kind]Severity{
	ServiceKind: Error, CoverageKind: Warning, TermsKind: Error, HardLimitKind: Error, SlowStartKind: Error,
	LoopKind: Error, DeadKind: Warning,
}

// Conflicts returns all conflicts between the regions, sorted by kind, regions and precedence.
func (x *Index) Conflicts() []Conflict { return x.limitedConflicts(maxReported) }

// limitedConflicts returns the conflicts, at most limit of one kind between two regions.
func (x *Index) limitedConflicts(limit int) []Conflict {
	rest, findings, counts := x.collectFindings()
	// Each pair of regions has a range of the result, which its findings fill in order of precedence.
	var all []Conflict
	next := make(map[Kind][]int) // by pair: position of the next conflict
	for _, kind := range kinds {
		for _, c := range rest {
			if c.Kind == kind {
				all = append(all, c)
			}
		}
		all, next[kind] = x.reserve(all, kind, counts[kind], limit)
	}
	for _, found := range findings {
		positions := next[found.kind]
		remaining := counts[found.kind]
		for k, pair := range found.pairs {
			if i := x.pairIndex(pair); remaining[i] > 0 {
				all[positions[i]] = x.conflictOf(found, k)
				positions[i]++
				remaining[i]--
			}
		}
	}
	return all
}

// reserve appends empty entries for the conflicts of a kind, counted by pair, and returns the position of the first
// entry of each pair. Counts above the limit are reduced to it, with an additional conflict that states how many
// were omitted.
func (x *Index) reserve(all []Conflict, kind Kind, counts []int, limit int) (reserved []Conflict, starts []int) {
	starts = make([]int, len(counts))
	total := len(all)
	for i, count := range counts {
		starts[i] = total
		total += min(count, limit)
		if count > limit {
			total++
		}
	}
	reserved = append(all, make([]Conflict, total-len(all))...)
	for i, count := range counts {
		if count > limit {
			reserved[starts[i]+limit] = Conflict{
				Kind: kind, Severity: severities[kind], Regions: x.regionNames(i/len(x.regions), i%len(x.regions)), Rules: []string{},
				Why: fmt.Sprintf("%d more of this kind", count-limit),
			}
			counts[i] = limit
		}
	}
	return reserved, starts
}

// pairIndex numbers pairs of regions, ordered by the first region and then by the second.
func (x *Index) pairIndex(pair [2]uint16) int { return int(pair[0])*len(x.regions) + int(pair[1]) }

// collectFindings returns the conflicts that are not between rules of two regions, sorted; the findings of
// all other conflicts in order of precedence; and the number of these by kind and pair.
func (x *Index) collectFindings() (rest []Conflict, findings []*finding, counts map[Kind][]int) {
	rest = append(slices.Clone(x.loopConflicts), x.sumConflicts...)
	counts = make(map[Kind][]int)
	for _, byCondition := range []map[*condition][]finding{x.differences, x.deadRules} {
		conditions := make([]*condition, 0, len(byCondition))
		for c := range byCondition {
			conditions = append(conditions, c)
		}
		slices.SortFunc(conditions, comparePrecedence)
		for _, c := range conditions {
			for i := range byCondition[c] {
				found := &byCondition[c][i]
				if found.reason != "" && found.kind != DeadKind {
					rest = append(rest, x.undecidedConflict(found))
					continue
				}
				findings = append(findings, found)
				if counts[found.kind] == nil {
					counts[found.kind] = make([]int, len(x.regions)*len(x.regions))
				}
				for _, pair := range found.pairs {
					counts[found.kind][x.pairIndex(pair)]++
				}
			}
		}
	}
	slices.SortStableFunc(rest, func(a, b Conflict) int {
		if order := cmp.Or(slices.Compare(a.Regions, b.Regions), slices.Compare(a.Rules, b.Rules)); order != 0 {
			return order
		}
		return strings.Compare(a.Why, b.Why)
	})
	return rest, findings, counts
}

func (x *Index) regionNames(a, b int) []string {
	if a == b {
		return []string{x.regions[a].Name}
	}
	return []string{x.regions[a].Name, x.regions[b].Name}
}

func (x *Index) undecidedConflict(found *finding) Conflict {
	conflict := Conflict{Kind: found.kind, Severity: severities[found.kind], Why: found.reason}
	for _, use := range found.winner.uses {
		conflict.Regions = append(conflict.Regions, x.regions[use.region].Name)
		conflict.Rules = append(conflict.Rules, x.ruleInfos.values[use.ruleID].name)
	}
	return conflict
}

// conflictOf returns the conflict of a finding's k-th pair. It is created on the first call and reused later.
func (x *Index) conflictOf(found *finding, k int) Conflict {
	if found.conflicts == nil {
		found.conflicts = make([]Conflict, len(found.pairs))
	}
	if found.conflicts[k].Kind == "" {
		found.conflicts[k] = x.newConflict(found, int32(found.pairs[k][0]), int32(found.pairs[k][1]))
	}
	return found.conflicts[k]
}

func (x *Index) newConflict(found *finding, a, b int32) Conflict {
	conflict := Conflict{
		Kind: found.kind, Severity: severities[found.kind], Regions: x.regionNames(int(a), int(b)), Witness: found.witness, Why: found.reason,
	}
	if found.kind == DeadKind {
		conflict.Rules = []string{x.ruleInfos.values[found.ruleIn(a)].name}
		return conflict
	}
	first := x.handlingOf(found, a)
	second := x.handlingOf(found, b)
	for _, h := range []handling{first, second} {
		if h.ruleID != noRule {
			conflict.Rules = append(conflict.Rules, x.ruleInfos.values[h.ruleID].name)
		}
	}
	if found.requestText == "" {
		found.requestText = found.witness.String()
	}
	conflict.Why = x.describe(found, first, second)
	if found.kind == ServiceKind && first.service == second.service {
		conflict.Severity = Warning // scatter-gather requests are idempotent, so that only the results differ
	}
	return conflict
}

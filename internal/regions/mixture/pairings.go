package mixture

import (
	"slices"
	"strings"

	"lockflow/internal/regions"
)

// transient is the severity of a conflict that exists only during the change.
const transient regions.Severity = "passing"

// orderConstraint is a conflict between the new configuration of one region and the old one of another,
// which has to change first. No order avoids a conflict between both configurations of one region.
type orderConstraint struct {
	newRegion, oldRegion string
	regions.Conflict
}

// findConstraints finds the pairs of old and new configurations that conflict, by one check of the old and
// the new configurations of all regions together.
func (p *planner) findConstraints() {
	if p.sumsOnly {
		return
	}
	all, configurations := p.bothGenerations()
	p.mixtures++
	for _, conflict := range p.check(all) {
		if len(conflict.Regions) != 2 || !isPairwise(conflict.Kind) || !p.isNew(conflict) {
			continue
		}
		newRegion, oldRegion, ok := splitGenerations(conflict)
		if !ok {
			continue // between configurations of the same end, so that the end has it too
		}
		conflict.Severity = severityInMixture(conflict, configurations)
		if newRegion == oldRegion && conflict.Kind != regions.TermsKind {
			conflict.Severity = transient // the change itself makes this difference
		}
		p.constraints = append(p.constraints, orderConstraint{newRegion, oldRegion, conflict})
	}
}

// bothGenerations returns the old and the new configuration of each region that changes, and the other
// regions once. It also returns the original configurations by the names in that list.
func (p *planner) bothGenerations() (all []regions.Region, configurations map[string]*regions.Region) {
	configurations = make(map[string]*regions.Region)
	add := func(region *regions.Region, generation string) {
		if region == nil {
			return
		}
		renamed := *region
		renamed.Name += generation
		configurations[renamed.Name] = region
		all = append(all, renamed)
	}
	for _, name := range p.names {
		if slices.Contains(p.changed, name) {
			add(p.oldRegions[name], oldGeneration)
			add(p.newRegions[name], newGeneration)
		} else {
			add(p.oldRegions[name], "")
		}
	}
	return all, configurations
}

// splitGenerations returns the regions of a conflict between a new and an old generation; false for other conflicts.
func splitGenerations(conflict regions.Conflict) (newRegion, oldRegion string, ok bool) {
	first, second := conflict.Regions[0], conflict.Regions[1]
	switch {
	case strings.HasSuffix(first, newGeneration) && strings.HasSuffix(second, oldGeneration):
		return withoutGeneration(first), withoutGeneration(second), true
	case strings.HasSuffix(first, oldGeneration) && strings.HasSuffix(second, newGeneration):
		return withoutGeneration(second), withoutGeneration(first), true
	}
	return "", "", false
}

func isPairwise(kind regions.Kind) bool {
	return kind == regions.ServiceKind || kind == regions.CoverageKind || kind == regions.TermsKind
}

// severityInMixture returns the severity of a conflict during a change. If one of two sets of retry terms is
// stricter in every respect, the mixture repeats no request that the end of the change with the laxer terms
// does not repeat, so that it is no worse than that end.
func severityInMixture(conflict regions.Conflict, configurations map[string]*regions.Region) regions.Severity {
	isOfTwoRules := len(conflict.Regions) == 2 && len(conflict.Rules) == 2
	if conflict.Kind != regions.TermsKind || !isOfTwoRules || conflict.Witness == nil {
		return conflict.Severity
	}
	a, isKnownA := classOf(configurations[conflict.Regions[0]], conflict.Rules[0], conflict.Witness)
	b, isKnownB := classOf(configurations[conflict.Regions[1]], conflict.Rules[1], conflict.Witness)
	if isKnownA && isKnownB && areOrdered(a, b) {
		return transient
	}
	return conflict.Severity
}

package mixture

import (
	"fmt"
	"slices"
	"strings"

	"lockflow/internal/regions"
)

// verdict holds the new conflicts of a mixture by severity.
type verdict struct{ errors, warnings, transient []regions.Conflict }

func (v verdict) isAcceptable(strict bool) bool {
	return len(v.errors) == 0 && (!strict || len(v.warnings) == 0)
}

// stepVerdict returns the verdict of the mixture in which the regions of a set have changed, together with
// those of the mixtures in which only some members of the last region have.
func (p *planner) stepVerdict(last string, set map[string]bool) verdict {
	v := p.verdictOf(set)
	for _, mixture := range p.partialMixtures(last, set) {
		p.budget--
		p.mixtures++
		for _, conflict := range p.check(mixture) {
			isOfRoutes := conflict.Kind == regions.DeadKind || conflict.Kind == regions.LoopKind
			if !isPairwise(conflict.Kind) && !isOfRoutes {
				v = p.addConflict(v, conflict, mixture, nil, sortedNames(set))
			}
		}
	}
	return v
}

// verdictOf returns the verdict of the mixture in which the regions of a set have changed.
func (p *planner) verdictOf(set map[string]bool) verdict {
	key := setKey(set)
	if v, ok := p.verdicts[key]; ok {
		return v
	}
	p.budget--
	p.mixtures++
	var v verdict
	mixture := p.mixtureOf(set, "")
	configurations := byName(mixture)
	for _, conflict := range p.check(mixture) {
		if conflict.Kind != regions.DeadKind { // concerns only one region, so that an end of the change has it too
			v = p.addConflict(v, conflict, mixture, configurations, sortedNames(set))
		}
	}
	p.verdicts[key] = v
	return v
}

// addConflict adds a conflict of a mixture to a verdict, unless an end of the change has the conflict or
// admits as much.
func (p *planner) addConflict(v verdict, conflict regions.Conflict, mixture []regions.Region, configurations map[string]*regions.Region, changed []string) verdict {
	if !p.isNew(conflict) || p.isBoundedByAnEnd(conflict, mixture) {
		return v
	}
	severity := severityInMixture(conflict, configurations)
	conflict = describeInMixture(conflict, changed)
	switch severity {
	case regions.Error:
		v.errors = append(slices.Clip(v.errors), conflict)
	case transient:
		v.transient = append(slices.Clip(v.transient), conflict)
	default:
		v.warnings = append(slices.Clip(v.warnings), conflict)
	}
	return v
}

// describeInMixture returns a conflict with the regions that have changed named in its reason.
func describeInMixture(conflict regions.Conflict, changed []string) regions.Conflict {
	conflict = WithoutGenerations(conflict)
	if len(changed) > 0 {
		conflict.Why = fmt.Sprintf("while %s alone changed: %s", listRegions(changed), conflict.Why)
	}
	return conflict
}

func listRegions(names []string) string {
	const maxNamed = 4
	names = slices.Sorted(slices.Values(names))
	if len(names) > maxNamed {
		return fmt.Sprintf("%s and %d more have", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
	}
	if len(names) == 1 {
		return names[0] + " has"
	}
	return strings.Join(names, ", ") + " have"
}

// mixtureOf returns the fleet in which the regions of a set have changed, without the region named by without.
func (p *planner) mixtureOf(set map[string]bool, without string) (mixture []regions.Region) {
	for _, name := range p.names {
		region := p.oldRegions[name]
		if set[name] {
			region = p.newRegions[name]
		}
		if region == nil || name == without {
			continue
		}
		configuration := *region
		if p.sumsOnly {
			configuration.Routes = nil // no sum depends on them
		}
		mixture = append(mixture, configuration)
	}
	return mixture
}

// partialMixtures returns the fleets in which only some of a region's members have changed, as far as they
// can have conflicts that the fleets before and after the region's change do not have.
//
// Those two fleets cover the conflicts of each generation's routes and terms with those of other regions, and
// findConstraints covers the conflicts between the two generations. A request that loops through both
// generations returns to the region on its path, so that it loops in one of the two fleets as well. Sums are
// linear in the number of members that have changed and are compared with the limits that both generations
// configure, so that it suffices to check the fleets with the most and the fewest members of each generation,
// at least one of either. These fleets have no routes, since no sum depends on them. If the number of members
// is unknown, there are no such fleets.
func (p *planner) partialMixtures(name string, set map[string]bool) (mixtures [][]regions.Region) {
	before, after := p.oldRegions[name], p.newRegions[name]
	if before == nil || after == nil || hasSameSums(before, after) {
		return nil
	}
	if before.Members == 0 || after.Members == 0 {
		return nil
	}
	total := max(before.Members, after.Members)
	maxOld := min(before.Members, total-1)
	maxNew := min(after.Members, total-1)
	for _, members := range []partialMembers{{maxOld, total - maxOld}, {total - maxNew, maxNew}} {
		if members.old == 0 || members.new == 0 {
			continue
		}
		mixtures = append(mixtures, p.partialMixture(name, set, members))
		if maxOld == total-maxNew { // the two mixtures are identical
			break
		}
	}
	return mixtures
}

// partialMembers is the number of a region's members that run its old and its new configuration.
type partialMembers struct{ old, new int }

func (p *planner) partialMixture(name string, set map[string]bool, members partialMembers) []regions.Region {
	before, after := *p.oldRegions[name], *p.newRegions[name]
	before.Members = members.old
	before.Name = name + oldGeneration
	after.Members = members.new
	after.Name = name + newGeneration
	mixture := append(p.mixtureOf(set, name), before, after)
	for i := range mixture {
		mixture[i].Routes = nil
	}
	return mixture
}

// hasSameSums reports whether two configurations are equal in all settings that are summed over regions.
func hasSameSums(a, b *regions.Region) bool {
	hasSameSize := a.Members == b.Members && a.Instances == b.Instances && a.Shared == b.Shared
	return hasSameSize && slices.EqualFunc(a.Services, b.Services, hasSameServiceSums)
}

func hasSameServiceSums(a, b regions.Service) bool {
	hasSameIdentity := a.Name == b.Name && a.Source == b.Source && a.Counter == b.Counter
	hasSameLimits := a.SlowStart == b.SlowStart && slices.Equal(a.Plans, b.Plans)
	return hasSameIdentity && hasSameLimits && slices.Equal(a.Servers, b.Servers)
}

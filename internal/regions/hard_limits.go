package regions

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Each instance divides hard limits and the budgets of warming servers by its configured group size, and no
// instance observes the sum over all regions. docs/design/regions.md derives both sums from package control.

// relativeTolerance is the fraction by which a sum may exceed a limit because of rounding.
const relativeTolerance = 1e-9

// hardLimitStartFraction is the fraction of the slack that package control puts into a new hard-limit bucket.
const hardLimitStartFraction = 0.5

// findSumConflicts finds the limits that the regions exceed in sum.
func (x *Index) findSumConflicts() []Conflict {
	return append(x.findHardLimitConflicts(), x.findSlowStartConflicts()...)
}

// groupCount returns the number of complete groups that a region's instances are equal to: its members
// divided by the group size in their configuration. If the number of members is unknown it is 1, since the
// region's own settings assume one complete group.
func (r *indexedRegion) groupCount() (count float64, isKnown bool) {
	if r.Members == 0 {
		return 1, false
	}
	return float64(r.Members) / float64(max(1, r.Instances)), true
}

func (r *indexedRegion) describeGroup() string {
	size := max(1, r.Instances)
	if count, isKnown := r.groupCount(); isKnown {
		return fmt.Sprintf("%d of %d in %s (%.3g)", r.Members, size, r.Name, count)
	}
	return fmt.Sprintf("all of %d in %s, members unknown (1)", size, r.Name)
}

// sharingService is a region's service in a group of services that share hard limits.
type sharingService struct {
	*indexedRegion
	*Service
}

// findHardLimitConflicts compares, for each plan, the sum over the regions with the smallest hard limit that
// any region configures.
func (x *Index) findHardLimitConflicts() (conflicts []Conflict) {
	for _, group := range x.sharingGroups() {
		names := make(map[string]struct{})
		for _, service := range group {
			for _, plan := range service.Plans {
				names[plan.Name] = struct{}{}
			}
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if conflict := hardLimitConflict(name, group); conflict != nil {
				conflicts = append(conflicts, *conflict)
			}
		}
	}
	return conflicts
}

// sharingGroups groups the services that share hard limits: those with the same name or the same counter.
func (x *Index) sharingGroups() [][]sharingService {
	positions := make(map[string]int) // of groups, by service or counter
	var groups [][]sharingService
	for _, region := range x.regions {
		for i := range region.Services {
			service := sharingService{region, &region.Services[i]}
			names := []string{"service " + service.Name}
			if region.Shared && service.Counter != "" {
				names = append(names, "counter "+service.Counter)
			}
			position := mergeGroups(names, positions, groups)
			if position < 0 {
				position = len(groups)
				groups = append(groups, nil)
			}
			for _, name := range names {
				positions[name] = position
			}
			groups[position] = append(groups[position], service)
		}
	}
	return groups
}

// mergeGroups merges the groups that the names belong to and returns the position of the merged group; -1
// if the names belong to none.
func mergeGroups(names []string, positions map[string]int, groups [][]sharingService) int {
	target := -1
	for _, name := range names {
		position, ok := positions[name]
		switch {
		case !ok || position == target:
		case target < 0:
			target = position
		default:
			groups[target] = append(groups[target], groups[position]...)
			groups[position] = nil
			for key, value := range positions {
				if value == position {
					positions[key] = target
				}
			}
		}
	}
	return target
}

// planPart is a region's part of a plan's hard limit.
type planPart struct {
	sharingService
	rate float64 // units a second; 0 is no hard limit
}

// hardLimitTotal is what all regions admit for a plan, and the smallest limits that they configure.
type hardLimitTotal struct {
	parts       []planPart
	isLimited   bool
	isUncertain bool // the number of members of a region is unknown

	rate, burst, slack float64 // the smallest limits, in units (rate: units a second)
	sumRate, sumBurst  float64 // what all regions together admit
}

func totalOf(plan string, group []sharingService) hardLimitTotal {
	var total hardLimitTotal
	for _, service := range group {
		for _, p := range service.Plans {
			if p.Name != plan {
				continue
			}
			total.parts = append(total.parts, planPart{service, p.HardLimitRate})
			if p.HardLimitRate == 0 {
				continue
			}
			n, isKnown := service.groupCount()
			availableBurst := max(p.HardLimitBurst, hardLimitStartFraction*p.HardLimitSlack)
			total.isUncertain = total.isUncertain || !isKnown
			total.sumRate, total.sumBurst = total.sumRate+n*p.HardLimitRate, total.sumBurst+n*availableBurst
			if !total.isLimited {
				total.isLimited = true
				total.rate = p.HardLimitRate
				total.burst = p.HardLimitBurst
				total.slack = p.HardLimitSlack
			}
			total.rate = min(total.rate, p.HardLimitRate)
			total.burst = min(total.burst, p.HardLimitBurst)
			total.slack = min(total.slack, p.HardLimitSlack)
		}
	}
	slices.SortStableFunc(total.parts, func(a, b planPart) int {
		return cmp.Or(strings.Compare(a.indexedRegion.Name, b.indexedRegion.Name), strings.Compare(a.Name, b.Name))
	})
	return total
}

// hardLimitConflict returns the conflict over a plan of services that share hard limits, or nil.
func hardLimitConflict(plan string, group []sharingService) *Conflict {
	total := totalOf(plan, group)
	if !total.isLimited {
		return nil
	}
	conflict := &Conflict{Kind: HardLimitKind, Severity: Error}
	var groups, unlimited []string
	for _, part := range total.parts {
		region := part.indexedRegion.Name
		if len(conflict.Regions) == 0 || conflict.Regions[len(conflict.Regions)-1] != region {
			conflict.Regions = append(conflict.Regions, region)
			conflict.Rules = append(conflict.Rules, plan)
			groups = append(groups, part.describeGroup())
		}
		if part.rate == 0 {
			unlimited = append(unlimited, region)
		}
	}
	conflict.Why = total.describeExcess(plan, groups, unlimited)
	if conflict.Why == "" {
		return nil
	}
	if total.isUncertain && len(unlimited) == 0 {
		conflict.Severity = Warning
	}
	return conflict
}

// describeExcess states how the regions exceed a plan's hard limit; "" if they do not.
func (t *hardLimitTotal) describeExcess(plan string, groups, unlimited []string) string {
	service := t.parts[0].Name
	switch {
	case len(unlimited) > 0:
		return fmt.Sprintf("plan %q of service %q has a ceiling of %.4g units a second, and none in %s", plan, service, t.rate, strings.Join(unlimited, ", "))
	case t.sumRate > t.rate*(1+relativeTolerance):
		return fmt.Sprintf("plan %q of service %q: the regions' parts let %.4g units a second through, the ceiling is %.4g: %s",
			plan, service, t.sumRate, t.rate, strings.Join(groups, ", "))
	case t.sumBurst > (t.burst+t.slack)*(1+relativeTolerance):
		return fmt.Sprintf("plan %q of service %q: the regions' parts let %.4g units through at once, the ceiling's store and slack are %.4g: %s",
			plan, service, t.sumBurst, t.burst+t.slack, strings.Join(groups, ", "))
	}
	return ""
}

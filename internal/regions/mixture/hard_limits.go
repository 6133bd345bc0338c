package mixture

import (
	"maps"
	"math"
	"slices"

	"lockflow/internal/regions"
)

// hardLimitKey identifies a service's plan.
type hardLimitKey struct{ service, plan string }

// hardLimitSum is what regions together admit of one customer's requests, in units (rate: units a second).
type hardLimitSum struct{ rate, burst, slack float64 }

// isBoundedBy reports whether a exceeds b in nothing, with a tolerance for rounding.
func (a hardLimitSum) isBoundedBy(b hardLimitSum) bool {
	const tolerance = 1 + 1e-9
	return a.rate <= b.rate*tolerance && a.burst <= b.burst*tolerance && a.slack <= b.slack*tolerance
}

// sumHardLimits returns the sums of the regions' hard limits by plan. A sum is infinite if a region has the
// plan without a hard limit.
func sumHardLimits(all ...*regions.Region) map[hardLimitKey]hardLimitSum {
	sums := make(map[hardLimitKey]hardLimitSum)
	for _, region := range all {
		if region == nil {
			continue
		}
		n := groupCount(region)
		for _, service := range region.Services {
			for _, plan := range service.Plans {
				key := hardLimitKey{service.Name, plan.Name}
				sum := sums[key]
				sum.rate, sum.burst, sum.slack = sum.rate+n*plan.HardLimitRate, sum.burst+n*plan.HardLimitBurst, sum.slack+n*plan.HardLimitSlack
				if plan.HardLimitRate == 0 {
					sum = hardLimitSum{math.Inf(1), math.Inf(1), math.Inf(1)}
				}
				sums[key] = sum
			}
		}
	}
	return sums
}

// groupCount returns the number of complete groups that a region's members are equal to. It is 1 if the
// number of members is unknown, since the region's own settings assume one complete group.
func groupCount(region *regions.Region) float64 {
	if region.Members > 0 {
		return float64(region.Members) * memberFraction(*region)
	}
	return 1.0
}

// hardLimitGrowth returns how much a change raises a region's hard limits: the difference of each plan's
// rates relative to their sum, summed over plans. It only determines which region is tried first.
func hardLimitGrowth(old, new *regions.Region) (sum float64) {
	before, after := sumHardLimits(old), sumHardLimits(new)
	for key, b := range before {
		if a := after[key]; a.rate+b.rate > 0 && !math.IsInf(a.rate+b.rate, 1) {
			sum += (a.rate - b.rate) / (a.rate + b.rate)
		}
	}
	for key := range after {
		if _, ok := before[key]; !ok {
			sum++
		}
	}
	return sum
}

// isBoundedByAnEnd reports whether a mixture admits no more of the subject of a conflict than the fleet
// before or after the change. regions.Check compares regions with the smallest limit that any of them
// configures. While a new limit is rolled out, a mixture may admit as much as the end that admits more.
func (p *planner) isBoundedByAnEnd(conflict regions.Conflict, mixture []regions.Region) bool {
	for _, end := range []map[string]*regions.Region{p.changeStart, p.changeEnd} {
		if conflict.Kind == regions.HardLimitKind && areHardLimitsBounded(conflict.Rules, mixture, end) {
			return true
		}
		if conflict.Kind == regions.SlowStartKind && areSlowStartsBounded(mixture, end) {
			return true
		}
	}
	return false
}

// areHardLimitsBounded reports whether a mixture admits no more of the given plans than an end of the change.
func areHardLimitsBounded(plans []string, mixture []regions.Region, end map[string]*regions.Region) bool {
	all := make([]*regions.Region, len(mixture))
	for i := range mixture {
		all[i] = &mixture[i]
	}
	limits := sumHardLimits(slices.Collect(maps.Values(end))...)
	for key, sum := range sumHardLimits(all...) {
		if slices.Contains(plans, key.plan) && !sum.isBoundedBy(limits[key]) {
			return false
		}
	}
	return true
}

// areSlowStartsBounded reports whether each region of a mixture sends no more to warming servers than at an
// end of the change. It compares region by region, since the sum depends on which regions send to a server.
func areSlowStartsBounded(mixture []regions.Region, end map[string]*regions.Region) bool {
	members := make(map[string]int)
	for _, region := range mixture {
		atEnd := end[withoutGeneration(region.Name)]
		if atEnd == nil {
			return false
		}
		members[atEnd.Name] += region.Members
		if atEnd.Members > 0 && members[atEnd.Name] > atEnd.Members {
			return false
		}
		for _, service := range region.Services {
			other, ok := findByName(atEnd.Services, service.Name, serviceName)
			if !ok || !isSlowStartBoundedBy(service.SlowStart, other.SlowStart, memberFraction(region), memberFraction(*atEnd)) {
				return false
			}
		}
	}
	return true
}

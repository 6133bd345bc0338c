package mixture

import (
	"lockflow/control"
	"lockflow/internal/regions"
)

// isRegionBoundedBy reports whether a exceeds b in no setting.
func isRegionBoundedBy(a, b regions.Region) bool {
	if a.Members > 0 && b.Members > 0 && a.Members > b.Members {
		return false
	}
	for _, service := range a.Services {
		other, ok := findByName(b.Services, service.Name, serviceName)
		// A service that only a has shares its customers and servers with no other settings.
		if ok && !isServiceBoundedBy(service, other, memberFraction(a), memberFraction(b)) {
			return false
		}
	}
	return true
}

// isServiceBoundedBy reports whether a service of one member exceeds that of another in no setting. The
// fractions are each member's part of its group.
func isServiceBoundedBy(a, b regions.Service, fractionA, fractionB float64) bool {
	for _, class := range a.Classes {
		if other, ok := findByName(b.Classes, class.Name, className); ok && !isStricterOrEqual(class, other) {
			return false
		}
	}
	for _, plan := range a.Plans {
		if other, ok := findByName(b.Plans, plan.Name, planName); ok && !isPlanBoundedBy(plan, other, fractionA, fractionB) {
			return false
		}
	}
	return isSlowStartBoundedBy(a.SlowStart, b.SlowStart, fractionA, fractionB)
}

// isSlowStartBoundedBy reports whether one member sends a warming server no more than another does. Their
// minimum load depends only on the group size.
func isSlowStartBoundedBy(a, b regions.SlowStart, fractionA, fractionB float64) bool {
	isRampBounded := a.WarmupTime >= b.WarmupTime && a.InitialCapacity <= b.InitialCapacity
	return isRampBounded && a.OverloadMultiple*fractionA <= b.OverloadMultiple*fractionB && fractionA <= fractionB
}

// memberFraction returns the fraction of its group's limits that one member has.
func memberFraction(region regions.Region) float64 { return 1 / float64(max(1, region.Instances)) }

// isPlanBoundedBy reports whether the hard limits of one member exceed those of another in nothing.
func isPlanBoundedBy(a, b control.Plan, fractionA, fractionB float64) bool {
	if b.HardLimitRate == 0 {
		return true
	}
	isRateBounded := a.HardLimitRate > 0 && a.HardLimitRate*fractionA <= b.HardLimitRate*fractionB
	return isRateBounded && a.HardLimitBurst*fractionA <= b.HardLimitBurst*fractionB &&
		a.HardLimitSlack*fractionA <= b.HardLimitSlack*fractionB
}

// isStricterOrEqual reports whether a allows no repeat of a request that b forbids.
func isStricterOrEqual(a, b control.Class) bool {
	if a.Deadline > b.Deadline || a.Idempotency < b.Idempotency {
		return false
	}
	if a.Idempotency != control.IdempotentWithKey || b.Idempotency != control.IdempotentWithKey {
		return true
	}
	return a.KeyScope >= b.KeyScope && a.RepeatWindow <= b.RepeatWindow
}

// areOrdered reports whether one of two classes is stricter than or equal to the other in every respect.
func areOrdered(a, b control.Class) bool { return isStricterOrEqual(a, b) || isStricterOrEqual(b, a) }

package mixture

import (
	"maps"
	"math"
	"slices"

	"lockflow/control"
	"lockflow/internal/regions"
)

// Phases gives the settings that a region's members run between old and new, one after another: none
// where members of old and new may stand side by side in any numbers, else one that is nowhere more than
// either. Of any two neighbours of old, those and new one is nowhere more than the other, in ceilings,
// cold budgets, terms and members, so what a partly changed region sends is within what one of the two
// endConflicts would send as a whole. docs/design/mixture.md has the rule of each setting.
func Phases(old, new regions.Region) []regions.Region {
	if isNowhereAbove(old, new) || isNowhereAbove(new, old) {
		return nil
	}
	return []regions.Region{Strictest(old, new)}
}

// Strictest is old with settings that are nowhere more than those of old or of new: the smaller ceilings, the
// larger group (each part is smaller by it), the longer cold times, the stricter terms, and the fewer
// members, so that members join only once all are told of the larger group, and leave before they are
// inMixture of the smaller. Its routes and services are old's.
func Strictest(old, new regions.Region) regions.Region {
	m := old
	m.Instances = max(old.Instances, new.Instances)
	if old.Members > 0 && new.Members > 0 {
		m.Members = min(old.Members, new.Members)
	}
	m.Services = nil
	for _, s := range old.Services {
		if o, ok := findByName(new.Services, s.Name, serviceName); ok {
			s = strictestService(s, o)
		}
		m.Services = append(m.Services, s)
	}
	return m
}

func serviceName(s regions.Service) string { return s.Name }
func className(k control.Class) string     { return k.Name }
func planName(p control.Plan) string       { return p.Name }

func findByName[T any](all []T, name string, of func(T) string) (one T, ok bool) {
	for _, v := range all {
		if of(v) == name {
			return v, true
		}
	}
	return one, false
}

func strictestService(a, b regions.Service) regions.Service {
	classes, plans := a.Classes, a.Plans
	a.Classes, a.Plans = nil, nil
	for _, k := range classes {
		if o, ok := findByName(b.Classes, k.Name, className); ok {
			k = strictestClass(k, o)
		}
		a.Classes = append(a.Classes, k)
	}
	for _, p := range plans {
		if o, ok := findByName(b.Plans, p.Name, planName); ok {
			p = strictestPlan(p, o)
		}
		a.Plans = append(a.Plans, p)
	}
	a.SlowStart = regions.SlowStart{WarmupTime: max(a.SlowStart.WarmupTime, b.SlowStart.WarmupTime), InitialCapacity: min(a.SlowStart.InitialCapacity, b.SlowStart.InitialCapacity), OverloadMultiple: min(a.SlowStart.OverloadMultiple, b.SlowStart.OverloadMultiple)}
	return a
}

// strictestPlan has the smaller of each figure of the ceilings; no ceiling is the largest.
func strictestPlan(a, b control.Plan) control.Plan {
	switch {
	case b.HardLimitRate == 0:
	case a.HardLimitRate == 0:
		a.HardLimitRate, a.HardLimitBurst, a.HardLimitSlack = b.HardLimitRate, b.HardLimitBurst, b.HardLimitSlack
	default:
		a.HardLimitRate, a.HardLimitBurst = min(a.HardLimitRate, b.HardLimitRate), min(a.HardLimitBurst, b.HardLimitBurst)
		a.HardLimitSlack = min(a.HardLimitSlack, b.HardLimitSlack)
	}
	if a.HardLimitRate > 0 {
		a.QuotaRate = min(a.QuotaRate, a.HardLimitRate) // a quota above the ceiling is refused
	}
	return a
}

// strictestClass has the stricter of each term.
func strictestClass(a, b control.Class) control.Class {
	k := a
	k.Idempotency, k.Deadline = max(a.Idempotency, b.Idempotency), min(a.Deadline, b.Deadline)
	k.LatencyObjective = min(a.LatencyObjective, k.Deadline)
	k.KeyScope, k.RepeatWindow = control.ScopeAll, 0
	if k.Idempotency != control.IdempotentWithKey {
		return k
	}
	first := true
	for _, one := range []control.Class{a, b} {
		if one.Idempotency != control.IdempotentWithKey { // free: its repeats go anywhere, at any time
			continue
		}
		if first {
			k.KeyScope, k.RepeatWindow, first = one.KeyScope, one.RepeatWindow, false
		} else {
			k.KeyScope, k.RepeatWindow = max(k.KeyScope, one.KeyScope), min(k.RepeatWindow, one.RepeatWindow)
		}
	}
	return k
}

// isNowhereAbove tells whether a is nowhere more than b.
func isNowhereAbove(a, b regions.Region) bool {
	if a.Members > 0 && b.Members > 0 && a.Members > b.Members {
		return false
	}
	for _, s := range a.Services {
		o, ok := findByName(b.Services, s.Name, serviceName)
		if !ok {
			continue // nobody else has its customers and servers by these settings
		}
		for _, k := range s.Classes {
			if other, ok := findByName(o.Classes, k.Name, className); ok && !isStricterOrEqual(k, other) {
				return false
			}
		}
		for _, p := range s.Plans {
			if other, ok := findByName(o.Plans, p.Name, planName); ok && !isPlanNotAbove(p, other, memberFraction(a), memberFraction(b)) {
				return false
			}
		}
		if !isSlowStartNotAbove(s.SlowStart, o.SlowStart, memberFraction(a), memberFraction(b)) {
			return false
		}
	}
	return true
}

// isSlowStartNotAbove compares the cold budgets of two members; the floor of one goes by the group's size alone.
func isSlowStartNotAbove(a, b regions.SlowStart, pa, pb float64) bool {
	return a.WarmupTime >= b.WarmupTime && a.InitialCapacity <= b.InitialCapacity && a.OverloadMultiple*pa <= b.OverloadMultiple*pb && pa <= pb
}

// memberFraction is a member's of what the group has.
func memberFraction(r regions.Region) float64 { return 1 / float64(max(1, r.Instances)) }

func isPlanNotAbove(a, b control.Plan, pa, pb float64) bool {
	if b.HardLimitRate == 0 {
		return true
	}
	return a.HardLimitRate > 0 && a.HardLimitRate*pa <= b.HardLimitRate*pb && a.HardLimitBurst*pa <= b.HardLimitBurst*pb &&
		a.HardLimitSlack*pa <= b.HardLimitSlack*pb
}

// isStricterOrEqual tells whether terms allow no repeat that other ones don't.
func isStricterOrEqual(a, b control.Class) bool {
	if a.Deadline > b.Deadline || a.Idempotency < b.Idempotency {
		return false
	}
	return a.Idempotency != control.IdempotentWithKey || b.Idempotency != control.IdempotentWithKey || a.KeyScope >= b.KeyScope && a.RepeatWindow <= b.RepeatWindow
}

// hardLimitGrowth is by how much a region's ceilings grow by its change, as a guide to which may go first.
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

// hardLimitKey is a service's plan.
type hardLimitKey struct{ service, plan string }

// hardLimitSum is what regions let through of one customer's.
type hardLimitSum struct{ rate, burst, slack float64 }

func (a hardLimitSum) isNotAbove(b hardLimitSum) bool {
	const tiny = 1 + 1e-9
	return a.rate <= b.rate*tiny && a.burst <= b.burst*tiny && a.slack <= b.slack*tiny
}

// sumHardLimits sums the ceilings of regions; a plan without one lets any number through.
func sumHardLimits(all ...*regions.Region) map[hardLimitKey]hardLimitSum {
	sums := make(map[hardLimitKey]hardLimitSum)
	for _, r := range all {
		if r == nil {
			continue
		}
		n := 1.0 // by its own settings, where it isn't known how many there are
		if r.Members > 0 {
			n = float64(r.Members) * memberFraction(*r)
		}
		for _, s := range r.Services {
			for _, p := range s.Plans {
				k := hardLimitKey{s.Name, p.Name}
				t := sums[k]
				t.rate, t.burst, t.slack = t.rate+n*p.HardLimitRate, t.burst+n*p.HardLimitBurst, t.slack+n*p.HardLimitSlack
				if p.HardLimitRate == 0 {
					t = hardLimitSum{math.Inf(1), math.Inf(1), math.Inf(1)}
				}
				sums[k] = t
			}
		}
	}
	return sums
}

// isWithinEnd tells whether a mixture lets no more through of what a conflict is about than a whole end does.
// Such a conflict is no news: a check holds the regions to the least limit that any of them states, and
// while a limit goes over the fleet, the mixture is held to that of the end which lets more through.
func (p *planner) isWithinEnd(c regions.Conflict, mixture []regions.Region) bool {
	for _, end := range []map[string]*regions.Region{p.changeStart, p.changeEnd} {
		if c.Kind == regions.HardLimitKind && areHardLimitsWithin(c.Rules, mixture, end) || c.Kind == regions.SlowStartKind && areSlowStartsWithin(mixture, end) {
			return true
		}
	}
	return false
}

func areHardLimitsWithin(plans []string, mixture []regions.Region, end map[string]*regions.Region) bool {
	all := make([]*regions.Region, len(mixture))
	for i := range mixture {
		all[i] = &mixture[i]
	}
	most := sumHardLimits(slices.Collect(maps.Values(end))...)
	for k, sum := range sumHardLimits(all...) {
		if slices.Contains(plans, k.plan) && !sum.isNotAbove(most[k]) {
			return false
		}
	}
	return true
}

// areSlowStartsWithin goes region by region: how their budgets add up depends on who lists a server.
func areSlowStartsWithin(mixture []regions.Region, end map[string]*regions.Region) bool {
	members := make(map[string]int)
	for _, r := range mixture {
		e := end[withoutGeneration(r.Name)]
		if e == nil {
			return false
		}
		if members[e.Name] += r.Members; e.Members > 0 && members[e.Name] > e.Members {
			return false
		}
		for _, s := range r.Services {
			if o, ok := findByName(e.Services, s.Name, serviceName); !ok || !isSlowStartNotAbove(s.SlowStart, o.SlowStart, memberFraction(r), memberFraction(*e)) {
				return false
			}
		}
	}
	return true
}

package mixture

import (
	"lockflow/control"
	"lockflow/internal/regions"
)

// Phases returns the configurations that a region's members run one after another between old and new. It
// returns none if any numbers of members may run old and new at the same time, and otherwise one that exceeds
// neither. Of any two successive configurations one then exceeds the other in none of hard limits, slow
// start, retry terms and members, so that a partly changed region admits no more than it does under one of
// the two. docs/design/mixture.md specifies the rule for each setting.
func Phases(old, new regions.Region) []regions.Region {
	if isRegionBoundedBy(old, new) || isRegionBoundedBy(new, old) {
		return nil
	}
	return []regions.Region{Strictest(old, new)}
}

// Strictest returns old with settings that exceed neither those of old nor those of new: the smaller hard
// limits, the larger group size (which makes each member's fraction smaller), the longer warmup times, the
// stricter retry terms and the smaller number of members. Members therefore join only after all have the
// larger group size, and leave before any has the smaller one. Routes and services are those of old.
func Strictest(old, new regions.Region) regions.Region {
	strictest := old
	strictest.Instances = max(old.Instances, new.Instances)
	if old.Members > 0 && new.Members > 0 {
		strictest.Members = min(old.Members, new.Members)
	}
	strictest.Services = nil
	for _, service := range old.Services {
		if other, ok := findByName(new.Services, service.Name, serviceName); ok {
			service = strictestService(service, other)
		}
		strictest.Services = append(strictest.Services, service)
	}
	return strictest
}

func serviceName(service regions.Service) string { return service.Name }
func className(class control.Class) string       { return class.Name }
func planName(plan control.Plan) string          { return plan.Name }

func findByName[T any](all []T, name string, nameOf func(T) string) (found T, ok bool) {
	for _, item := range all {
		if nameOf(item) == name {
			return item, true
		}
	}
	return found, false
}

func strictestService(a, b regions.Service) regions.Service {
	classes, plans := a.Classes, a.Plans
	a.Classes = nil
	for _, class := range classes {
		if other, ok := findByName(b.Classes, class.Name, className); ok {
			class = strictestClass(class, other)
		}
		a.Classes = append(a.Classes, class)
	}
	a.Plans = nil
	for _, plan := range plans {
		if other, ok := findByName(b.Plans, plan.Name, planName); ok {
			plan = strictestPlan(plan, other)
		}
		a.Plans = append(a.Plans, plan)
	}
	a.SlowStart = regions.SlowStart{
		WarmupTime:       max(a.SlowStart.WarmupTime, b.SlowStart.WarmupTime),
		InitialCapacity:  min(a.SlowStart.InitialCapacity, b.SlowStart.InitialCapacity),
		OverloadMultiple: min(a.SlowStart.OverloadMultiple, b.SlowStart.OverloadMultiple),
	}
	return a
}

// strictestPlan returns a with the smaller value of each hard limit setting. No hard limit counts as the largest.
func strictestPlan(a, b control.Plan) control.Plan {
	switch {
	case b.HardLimitRate == 0:
	case a.HardLimitRate == 0:
		a.HardLimitRate = b.HardLimitRate
		a.HardLimitBurst = b.HardLimitBurst
		a.HardLimitSlack = b.HardLimitSlack
	default:
		a.HardLimitRate = min(a.HardLimitRate, b.HardLimitRate)
		a.HardLimitBurst = min(a.HardLimitBurst, b.HardLimitBurst)
		a.HardLimitSlack = min(a.HardLimitSlack, b.HardLimitSlack)
	}
	if a.HardLimitRate > 0 {
		a.QuotaRate = min(a.QuotaRate, a.HardLimitRate) // a configuration with a quota above the hard limit is rejected
	}
	return a
}

// strictestClass returns a with the stricter of each retry term.
func strictestClass(a, b control.Class) control.Class {
	strictest := a
	strictest.Idempotency = max(a.Idempotency, b.Idempotency)
	strictest.Deadline = min(a.Deadline, b.Deadline)
	strictest.LatencyObjective = min(a.LatencyObjective, strictest.Deadline)
	strictest.KeyScope = control.ScopeAll
	strictest.RepeatWindow = 0
	if strictest.Idempotency != control.IdempotentWithKey {
		return strictest
	}
	// Requests of an idempotent class without a key may be repeated anywhere at any time, so that the class
	// limits neither the key scope nor the repeat window.
	isFirst := true
	for _, class := range []control.Class{a, b} {
		switch {
		case class.Idempotency != control.IdempotentWithKey:
		case isFirst:
			strictest.KeyScope = class.KeyScope
			strictest.RepeatWindow = class.RepeatWindow
			isFirst = false
		default:
			strictest.KeyScope = max(strictest.KeyScope, class.KeyScope)
			strictest.RepeatWindow = min(strictest.RepeatWindow, class.RepeatWindow)
		}
	}
	return strictest
}

package control

import (
	"fmt"
	"math"
)

// validate names the first setting that makes no sense.
func validate(settings *Settings) error {
	if len(settings.Classes) == 0 {
		return fmt.Errorf("settings: classes: there are none")
	}
	if len(settings.Plans) == 0 {
		return fmt.Errorf("settings: plans: there are none")
	}
	if settings.GroupSize < 1 {
		return fmt.Errorf("settings: group size: %d is not positive", settings.GroupSize)
	}
	if settings.SelfIndex < 0 || settings.SelfIndex >= settings.GroupSize {
		return fmt.Errorf("settings: self index: %d is outside a group of %d", settings.SelfIndex, settings.GroupSize)
	}
	type figure struct {
		name  string
		value float64
	}
	figures := []figure{
		{"cold from", settings.InitialCapacity},
		{"fall multiple", settings.OverloadMultiple},
		{"units top", settings.MaxUnits},
		{"inbox per second", settings.PeerMessagesPerSecond},
		{"cross-zone price", settings.CrossZonePrice},
		{"cold", settings.WarmupTime.Seconds()},
		{"ask within", settings.MaxPollInterval.Seconds()},
		{"drain grace", settings.DrainGrace.Seconds()},
		{"fall", settings.OverloadWindow.Seconds()},
		{"meter period", settings.MeterPeriod.Seconds()},
		{"send cap", float64(settings.MaxAttempts)},
		{"open cap", float64(settings.MaxRequests)},
		{"max retry after", settings.MaxRetryAfter.Seconds()},
	}
	for _, class := range settings.Classes {
		n := "class " + class.Name + ": "
		figures = append(figures, figure{n + "worth", class.PriorityWeight}, figure{n + "late share", class.LateWeightFraction},
			figure{n + "repeat window", class.RepeatWindow.Seconds()})
		if class.LatencyObjective <= 0 || class.Deadline <= 0 {
			return fmt.Errorf("settings: %saim and deadline: %v and %v are not both positive", n, class.LatencyObjective, class.Deadline)
		}
	}
	for _, plan := range settings.Plans {
		n := "plan " + plan.Name + ": "
		figures = append(figures, figure{n + "price", plan.Price}, figure{n + "rate", plan.QuotaRate}, figure{n + "depth", plan.QuotaBurst},
			figure{n + "open", float64(plan.MaxInFlight)}, figure{n + "over cost", plan.OverQuotaCost},
			figure{n + "over earns", plan.OverQuotaGain}, figure{n + "ceiling rate", plan.HardLimitRate},
			figure{n + "ceiling burst", plan.HardLimitBurst}, figure{n + "ceiling slack", plan.HardLimitSlack})
	}
	for _, f := range figures {
		if math.IsNaN(f.value) || math.IsInf(f.value, 0) || f.value < 0 {
			return fmt.Errorf("settings: %s: %g is negative or not finite", f.name, f.value)
		}
	}
	return nil
}

package control

import (
	"fmt"
	"math"
)

// validate names the first setting that makes no sense.
func validate(s *Settings) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: there are none")
	}
	if len(s.Plans) == 0 {
		return fmt.Errorf("settings: plans: there are none")
	}
	if s.GroupSize < 1 {
		return fmt.Errorf("settings: group size: %d is not positive", s.GroupSize)
	}
	if s.SelfIndex < 0 || s.SelfIndex >= s.GroupSize {
		return fmt.Errorf("settings: self index: %d is outside a group of %d", s.SelfIndex, s.GroupSize)
	}
	type figure struct {
		name  string
		value float64
	}
	fs := []figure{
		{"cold from", s.InitialCapacity},
		{"fall multiple", s.OverloadMultiple},
		{"units top", s.MaxUnits},
		{"inbox per second", s.PeerMessagesPerSecond},
		{"cross-zone price", s.CrossZonePrice},
		{"cold", s.WarmupTime.Seconds()},
		{"ask within", s.MaxPollInterval.Seconds()},
		{"drain grace", s.DrainGrace.Seconds()},
		{"fall", s.OverloadWindow.Seconds()},
		{"meter period", s.MeterPeriod.Seconds()},
		{"send cap", float64(s.MaxAttempts)},
		{"open cap", float64(s.MaxRequests)},
		{"max retry after", s.MaxRetryAfter.Seconds()},
	}
	for _, k := range s.Classes {
		n := "class " + k.Name + ": "
		fs = append(fs, figure{n + "worth", k.PriorityWeight}, figure{n + "late share", k.LateWeightFraction},
			figure{n + "repeat window", k.RepeatWindow.Seconds()})
		if k.LatencyObjective <= 0 || k.Deadline <= 0 {
			return fmt.Errorf("settings: %saim and deadline: %v and %v are not both positive", n, k.LatencyObjective, k.Deadline)
		}
	}
	for _, p := range s.Plans {
		n := "plan " + p.Name + ": "
		fs = append(fs, figure{n + "price", p.Price}, figure{n + "rate", p.QuotaRate}, figure{n + "depth", p.QuotaBurst},
			figure{n + "open", float64(p.MaxInFlight)}, figure{n + "over cost", p.OverQuotaCost},
			figure{n + "over earns", p.OverQuotaGain}, figure{n + "ceiling rate", p.HardLimitRate},
			figure{n + "ceiling burst", p.HardLimitBurst}, figure{n + "ceiling slack", p.HardLimitSlack})
	}
	for _, f := range fs {
		if math.IsNaN(f.value) || math.IsInf(f.value, 0) || f.value < 0 {
			return fmt.Errorf("settings: %s: %g is negative or not finite", f.name, f.value)
		}
	}
	return nil
}

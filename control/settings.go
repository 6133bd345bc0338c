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
		{"cold from", s.ColdFrom},
		{"fall multiple", s.FallMultiple},
		{"units top", s.UnitsTop},
		{"inbox per second", s.InboxPerS},
		{"cross-zone price", s.CrossZone},
		{"cold", s.Cold.Seconds()},
		{"ask within", s.AskWithin.Seconds()},
		{"drain grace", s.DrainGrace.Seconds()},
		{"fall", s.Fall.Seconds()},
		{"meter period", s.MeterPeriod.Seconds()},
		{"send cap", float64(s.SendCap)},
		{"open cap", float64(s.OpenCap)},
		{"max retry after", s.MaxRetryAfter.Seconds()},
	}
	for _, k := range s.Classes {
		n := "class " + k.Name + ": "
		fs = append(fs, figure{n + "worth", k.Worth}, figure{n + "late share", k.LateShare},
			figure{n + "repeat window", k.RepeatWindow.Seconds()})
		if k.Aim <= 0 || k.Deadline <= 0 {
			return fmt.Errorf("settings: %saim and deadline: %v and %v are not both positive", n, k.Aim, k.Deadline)
		}
	}
	for _, p := range s.Plans {
		n := "plan " + p.Name + ": "
		fs = append(fs, figure{n + "price", p.Price}, figure{n + "rate", p.Rate}, figure{n + "depth", p.Depth},
			figure{n + "open", float64(p.Open)}, figure{n + "over cost", p.OverCost},
			figure{n + "over earns", p.OverEarns}, figure{n + "ceiling rate", p.CeilingRate},
			figure{n + "ceiling burst", p.CeilingBurst}, figure{n + "ceiling slack", p.CeilingSlack})
	}
	for _, f := range fs {
		if math.IsNaN(f.value) || math.IsInf(f.value, 0) || f.value < 0 {
			return fmt.Errorf("settings: %s: %g is negative or not finite", f.name, f.value)
		}
	}
	return nil
}

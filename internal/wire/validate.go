package wire

import (
	"errors"
	"fmt"
	"time"

	"lockflow/control"
)

// validate records an error, with its path, for the first setting that is invalid for every module.
func (r *settingsReader) validate(s *control.Settings) {
	for i, class := range s.Classes {
		for name, v := range map[string]time.Duration{"aim": class.LatencyObjective, "deadline": class.Deadline} {
			if v <= 0 {
				r.fail(fmt.Sprintf("classes.%d.%s", i, name), fmt.Errorf("class %q: %v is not positive", class.Name, v))
			}
		}
		if class.RepeatWindow < 0 {
			r.fail(fmt.Sprintf("classes.%d.repeat-window", i), fmt.Errorf("class %q: %v is negative", class.Name, class.RepeatWindow))
		}
	}
	if s.GroupSize < 1 {
		r.fail("group-size", fmt.Errorf("%d is not positive", s.GroupSize))
	}
	if s.SelfIndex >= s.GroupSize {
		r.fail("self-index", fmt.Errorf("%d is outside a group of %d", s.SelfIndex, s.GroupSize))
	}
	if s.InitialCapacity > 1 {
		r.fail("contract.cold-from", fmt.Errorf("%g is more than all of a server's capacity", s.InitialCapacity))
	}
	r.validateNames(s)
	if len(s.Classes) == 0 {
		r.fail("classes", errors.New("the list is missing or empty"))
	}
	if len(s.Plans) > 0 {
		return
	}
	if _, hasCount := r.byPath["tariffs.count"]; hasCount {
		s.Plans = []control.Plan{{Price: 1}} // for all customers: the list is present but empty
	} else {
		r.fail("tariffs", errors.New("the list is missing"))
	}
}

// validateNames records an error for a class or plan whose name is missing or not unique: of two with the same
// name, a request could mean one and get the terms of the other.
func (r *settingsReader) validateNames(s *control.Settings) {
	classes, plans := map[string]bool{}, map[string]bool{}
	for i, class := range s.Classes {
		r.checkName(classes, fmt.Sprintf("classes.%d.name", i), class.Name)
	}
	for i, plan := range s.Plans {
		r.checkName(plans, fmt.Sprintf("tariffs.%d.name", i), plan.Name)
	}
}

// checkName records an error for a name that is empty or already in names, and adds it to names.
func (r *settingsReader) checkName(names map[string]bool, path, name string) {
	switch {
	case name == "":
		r.fail(path, errors.New("the name is missing"))
	case names[name]:
		r.fail(path, fmt.Errorf("%q is given twice", name))
	}
	names[name] = true
}

// InvalidSettings returns an error, with its path, for each number of a quota or hard limit that is invalid but
// can be ignored, because it affects only the customers of its plan.
func InvalidSettings(s control.Settings) []error {
	var invalid []error
	add := func(plan int, name, format string, args ...any) {
		invalid = append(invalid, fmt.Errorf("field tariffs.%d.%s: plan %q: %s", plan, name, s.Plans[plan].Name, fmt.Sprintf(format, args...)))
	}
	maxUnits := max(1, s.MaxUnits)
	for i, plan := range s.Plans {
		if plan.QuotaRate > 0 && plan.QuotaBurst < maxUnits {
			add(i, "depth", "%g units are fewer than the %g of one request", plan.QuotaBurst, maxUnits)
		}
		if plan.QuotaRate == 0 && plan.QuotaBurst > 0 && plan.MaxInFlight == 0 {
			add(i, "quota-rate", "a burst of %g units needs a quota rate", plan.QuotaBurst)
		}
		if plan.HardLimitRate > 0 && plan.HardLimitBurst < maxUnits {
			add(i, "hard-burst", "%g units are fewer than the %g of one request", plan.HardLimitBurst, maxUnits)
		}
		if plan.HardLimitRate == 0 && plan.HardLimitBurst > 0 {
			add(i, "cap-rate", "a burst of %g units needs a hard limit rate", plan.HardLimitBurst)
		}
	}
	return invalid
}

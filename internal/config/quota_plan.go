package config

import (
	"lockflow/control"
	"lockflow/internal/config/tree"
)

func readPlan(name string, t tree.Table) control.Plan {
	p := control.Plan{
		Name: name, Price: t.Number("price", 1, 0, maxNumber), QuotaRate: t.Number("rate", 0, 0, maxNumber),
		QuotaBurst: t.Number("depth", 0, 0, maxNumber), MaxInFlight: int(t.Integer("open", 0, 0, maxCount)),
		OverQuotaCost: t.Number("over_cost", 0, 0, maxNumber), OverQuotaGain: t.Number("over_earns", 0, 0, 1),
		HardLimitRate:  t.Number("ceiling_rate", 0, 0, maxNumber),
		HardLimitBurst: t.Number("ceiling_burst", 0, 0, maxNumber), HardLimitSlack: t.Number("ceiling_slack", 0, 0, maxNumber),
	}
	if p.QuotaRate > 0 && p.QuotaBurst == 0 {
		t.Errorf("depth", "a rate needs one: units that may be used at once")
	}
	if t.Has("depth") && p.QuotaRate == 0 {
		t.Errorf("depth", "only with a rate")
	}
	if p.HardLimitRate > 0 && p.HardLimitBurst == 0 {
		t.Errorf("ceiling_burst", "a ceiling needs one")
	}
	for _, key := range []string{"ceiling_burst", "ceiling_slack"} {
		if t.Has(key) && p.HardLimitRate == 0 {
			t.Errorf(key, "only with a ceiling_rate")
		}
	}
	if name == "" {
		t.Errorf("", "a plan needs a name")
	}
	if p.HardLimitRate > 0 && p.QuotaRate > p.HardLimitRate {
		t.Errorf("ceiling_rate", "%g is below the rate of %g", p.HardLimitRate, p.QuotaRate)
	}
	t.Done()
	return p
}

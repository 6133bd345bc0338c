package service

import (
	"net/http"

	"lockflow/control"
)

// RequestRules are what a request to a service is held to before the module hears of it. They never
// change.
type RequestRules struct {
	Classes        map[string]control.Class
	MaxUnitsByPlan map[string]float64 // the most units of a request of each, above 0
	GroupSize      int                // instances that a customer may come through
	AnyMethod      bool               // a class's requests come by any method
}

// AllowsMethod tells whether a class's requests may come by a method.
func (t *RequestRules) AllowsMethod(k control.Class, method string) bool {
	return t.AnyMethod || ClassMethod(k) == method
}

func newRequestRules(s control.Settings) RequestRules {
	t := RequestRules{Classes: make(map[string]control.Class), MaxUnitsByPlan: make(map[string]float64), GroupSize: s.GroupSize}
	for _, k := range s.Classes {
		t.Classes[k.Name] = k
	}
	for _, p := range s.Plans {
		t.MaxUnitsByPlan[p.Name] = maxUnits(s.MaxUnits, p)
	}
	return t
}

// maxUnlimitedUnits bounds units where no store does.
const maxUnlimitedUnits = 1 << 20

// maxUnits is the most units of a plan's request: what the settings tell, or else what its largest store
// holds, as of more nothing could ever be inside it. Guards against a figure that spoils the accounts of
// its customer, who may have other requests.
func maxUnits(configured float64, plan control.Plan) float64 {
	switch {
	case configured > 0:
		return configured
	case plan.QuotaRate > 0 || plan.HardLimitRate > 0: // a request without any figure has one unit
		return min(max(1, plan.QuotaBurst, plan.HardLimitBurst), maxUnlimitedUnits)
	}
	return maxUnlimitedUnits
}

// ClassMethod is the method that a class's requests come by (PROTOCOL): one that is safe to repeat
// is asked for by GET, any other by POST.
func ClassMethod(k control.Class) string {
	if k.Idempotency == control.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

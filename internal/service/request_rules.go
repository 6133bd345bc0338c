package service

import (
	"net/http"

	"lockflow/control"
)

// maxUnlimitedUnits limits the units of a request if neither the settings nor a token bucket does.
const maxUnlimitedUnits = 1 << 20

// RequestRules are the rules that a request has to satisfy before it is accepted. They never change.
type RequestRules struct {
	Classes        map[string]control.Class // by name
	MaxUnitsByPlan map[string]float64       // units of one request, above 0
	GroupSize      int                      // of the replica group; a customer's fan-out does not exceed it
	AnyMethod      bool                     // requests of a class may have any method
}

func newRequestRules(settings control.Settings, anyMethod bool) RequestRules {
	rules := RequestRules{
		Classes:        make(map[string]control.Class, len(settings.Classes)),
		MaxUnitsByPlan: make(map[string]float64, len(settings.Plans)),
		GroupSize:      settings.GroupSize,
		AnyMethod:      anyMethod,
	}
	for _, class := range settings.Classes {
		rules.Classes[class.Name] = class
	}
	for _, plan := range settings.Plans {
		rules.MaxUnitsByPlan[plan.Name] = maxUnits(settings.MaxUnits, plan)
	}
	return rules
}

// AllowsMethod reports whether requests of a class may have this method.
func (r *RequestRules) AllowsMethod(class control.Class, method string) bool {
	return r.AnyMethod || ClassMethod(class) == method
}

// maxUnits returns the limit of the units of a plan's request: the configured one, or else the size of the plan's
// largest token bucket, which could never supply more. Without a limit, a single request with an absurd number of
// units would distort the quota accounting of its customer's other requests.
func maxUnits(configured float64, plan control.Plan) float64 {
	switch {
	case configured > 0:
		return configured
	case plan.QuotaRate > 0 || plan.HardLimitRate > 0:
		return min(max(1, plan.QuotaBurst, plan.HardLimitBurst), maxUnlimitedUnits) // a request that states no units has one
	}
	return maxUnlimitedUnits
}

// ClassMethod returns the method of a class's requests in the platform's protocol: GET for a class that
// is idempotent without a key, POST for any other.
func ClassMethod(class control.Class) string {
	if class.Idempotency == control.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

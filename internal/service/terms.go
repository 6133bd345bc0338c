package service

import (
	"net/http"

	"lockflow/control"
)

// Terms are what a request to a service is held to before the module hears of it. They never
// change.
type Terms struct {
	Classes   map[string]control.Class
	Plans     map[string]float64 // the most units of a request of each, above 0
	Group     int                // instances that a customer may come through
	AnyMethod bool               // a class's requests come by any method
}

// Serves tells whether a class's requests may come by a method.
func (t *Terms) Serves(k control.Class, method string) bool {
	return t.AnyMethod || Method(k) == method
}

func newTerms(s control.Settings) Terms {
	t := Terms{Classes: make(map[string]control.Class), Plans: make(map[string]float64), Group: s.GroupSize}
	for _, k := range s.Classes {
		t.Classes[k.Name] = k
	}
	for _, p := range s.Plans {
		t.Plans[p.Name] = unitsMost(s.UnitsTop, p)
	}
	return t
}

// uncounted bounds units where no store does.
const uncounted = 1 << 20

// unitsMost is the most units of a plan's request: what the settings tell, or else what its largest store
// holds, as of more nothing could ever be inside it. Guards against a figure that spoils the accounts of
// its customer, who may have other requests.
func unitsMost(told float64, p control.Plan) float64 {
	switch {
	case told > 0:
		return told
	case p.Rate > 0 || p.CeilingRate > 0: // a request without any figure has one unit
		return min(max(1, p.Depth, p.CeilingBurst), uncounted)
	}
	return uncounted
}

// Method is the method that a class's requests come by (PROTOCOL): one that is safe to repeat
// is asked for by GET, any other by POST.
func Method(k control.Class) string {
	if k.Effect == control.Free {
		return http.MethodGet
	}
	return http.MethodPost
}

package mixture

import (
	"reflect"
	"slices"

	"lockflow/control"
	"lockflow/internal/config"
	"lockflow/internal/protocol"
	"lockflow/internal/regions"
	"lockflow/internal/route"
)

// classOf is the class that a request has by a region's route.
func classOf(r *regions.Region, rule string, w *regions.Witness) (control.Class, bool) {
	if r == nil {
		return control.Class{}, false
	}
	to, ok := findByName(r.Routes, rule, func(one regions.Route) string { return one.Name })
	if !ok {
		return control.Class{}, false
	}
	s, ok := findByName(r.Services, to.Service, serviceName)
	name := to.RequestClass
	switch {
	case name != "":
	case !s.GenericHTTP:
		name = route.FirstSegment(w.Path)
	case protocol.IsSafeMethod(w.Method):
		name = config.ClassRead
	default:
		name = config.ClassWrite
	}
	k, has := findByName(s.Classes, name, className)
	return k, ok && has
}

// isEqual tells whether two configurations are the same; one that isn't there is nil.
func isEqual(a, b *regions.Region) bool {
	if a == nil || b == nil {
		return a == b
	}
	return reflect.DeepEqual(a, b)
}

// withoutSums is a configuration without what sums over regions go by; nil of nil.
func withoutSums(r *regions.Region) *regions.Region {
	if r == nil {
		return nil
	}
	u := *r
	u.Instances, u.Members, u.Shared, u.Services = 0, 0, false, slices.Clone(r.Services)
	for i := range u.Services {
		s := &u.Services[i]
		s.Plans, s.Counter, s.SlowStart = nil, "", regions.SlowStart{}
	}
	return &u
}

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
	to, ok := find(r.Routes, rule, func(one regions.Route) string { return one.Name })
	if !ok {
		return control.Class{}, false
	}
	s, ok := find(r.Services, to.Service, serviceName)
	name := to.As
	switch {
	case name != "":
	case !s.Ordinary:
		name = route.FirstSegment(w.Path)
	case protocol.IsSafeMethod(w.Method):
		name = config.ClassRead
	default:
		name = config.ClassWrite
	}
	k, has := find(s.Classes, name, className)
	return k, ok && has
}

// same tells whether two configurations are the same; one that isn't there is nil.
func same(a, b *regions.Region) bool {
	if a == nil || b == nil {
		return a == b
	}
	return reflect.DeepEqual(a, b)
}

// unsummed is a configuration without what sums over regions go by; nil of nil.
func unsummed(r *regions.Region) *regions.Region {
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

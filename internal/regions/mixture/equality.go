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

// classOf returns the class of a request that a region's route matches; false if the region, the route or
// the class is missing.
func classOf(region *regions.Region, rule string, request *regions.Witness) (control.Class, bool) {
	if region == nil {
		return control.Class{}, false
	}
	target, ok := findByName(region.Routes, rule, func(r regions.Route) string { return r.Name })
	if !ok {
		return control.Class{}, false
	}
	service, hasService := findByName(region.Services, target.Service, serviceName)
	name := target.RequestClass
	switch {
	case name != "":
	case !service.GenericHTTP:
		name = route.FirstSegment(request.Path)
	case protocol.IsSafeMethod(request.Method):
		name = config.ClassRead
	default:
		name = config.ClassWrite
	}
	class, hasClass := findByName(service.Classes, name, className)
	return class, hasService && hasClass
}

// isEqual reports whether two configurations are equal. Nil stands for a region that does not exist.
func isEqual(a, b *regions.Region) bool {
	if a == nil || b == nil {
		return a == b
	}
	return reflect.DeepEqual(a, b)
}

// withoutSums returns a configuration without the settings that are summed over regions; nil for nil.
func withoutSums(region *regions.Region) *regions.Region {
	if region == nil {
		return nil
	}
	without := *region
	without.Instances = 0
	without.Members = 0
	without.Shared = false
	without.Services = slices.Clone(region.Services)
	for i := range without.Services {
		service := &without.Services[i]
		service.Plans = nil
		service.Counter = ""
		service.SlowStart = regions.SlowStart{}
	}
	return &without
}

package fleetfile

import (
	"fmt"
	"slices"
	"strings"

	"lockflow/internal/config"
	"lockflow/internal/discovery"
	"lockflow/internal/regions"
)

// Regions returns the fleet's regions as values of package regions, ordered by name.
func (f File) Regions() []regions.Region {
	all := make([]regions.Region, len(f.All))
	for i, region := range f.All {
		all[i] = region.Region()
	}
	return all
}

// Region returns the region as a value of package regions.
func (region Region) Region() regions.Region {
	result := regions.Region{Name: region.Name, Listeners: region.Listeners, Instances: 1, Members: len(region.Members)}
	if len(result.Listeners) == 0 {
		for _, l := range region.Config.Listeners {
			if !strings.HasPrefix(l, config.Inherited) {
				result.Listeners = append(result.Listeners, l)
			}
		}
	}
	for i, rule := range region.Config.Routes {
		route := regions.Route{Rule: rule.Rule, RequestClass: rule.RequestClass}
		if i < len(region.origins) {
			route.Base = region.origins[i].isBase
			route.Line = region.origins[i].line
		}
		if route.Base {
			route.Line = 0 // the line is in the base and not in the region's own file
		}
		result.Routes = append(result.Routes, route)
	}
	for _, s := range region.Config.Services {
		result.Services = append(result.Services, regionService(s))
		result.Instances = s.Settings.GroupSize // the same for all services of a process
		result.Shared = result.Shared || s.Counter.Name != ""
	}
	for i := range region.Config.Gathers {
		result.Services = append(result.Services, gatherService(&region.Config.Gathers[i], region.Config))
	}
	if region.Instances > 0 {
		result.Instances = region.Instances
	}
	return result
}

// regionService converts a service with app servers.
func regionService(s config.Service) regions.Service {
	settings := s.Settings
	result := regions.Service{
		Name:        s.Name,
		GenericHTTP: s.HTTP != nil,
		Classes:     settings.Classes,
		Plans:       settings.Plans,
		SlowStart: regions.SlowStart{
			WarmupTime:       settings.WarmupTime,
			InitialCapacity:  settings.InitialCapacity,
			OverloadMultiple: settings.OverloadMultiple,
		},
	}
	if s.Counter.Name != "" {
		// Name and addresses identify a counter: the same name at other addresses is another counter.
		result.Counter = s.Counter.Name + " at " + strings.Join(slices.Sorted(slices.Values(s.Counter.Addresses)), ",")
	}
	switch s.Source.Kind {
	case discovery.Watch:
		result.Source = "discovery at " + s.Source.Address
	case discovery.File:
		result.Source = "file " + s.Source.Path
	}
	for _, endpoint := range s.Source.Endpoints {
		result.Servers = append(result.Servers, endpoint.UID)
		result.Destinations = append(result.Destinations, endpoint.Address)
	}
	return result
}

// maxGatherDepth bounds the recursion into nested gather services; valid configurations have fewer levels.
const maxGatherDepth = 16

// gatherService converts a scatter-gather service. It has no plans and servers: those of its parts apply.
func gatherService(g *config.Gather, c config.Config) regions.Service {
	result := regions.Service{Name: g.Name, GenericHTTP: true, Gather: gatherDescription(g, c, maxGatherDepth)}
	forEachPartService(g, c, maxGatherDepth, func(s *config.Service) {
		// All classes of the file, including those that can't be scattered: a change of their idempotency matters too.
		result.Classes = s.Settings.Classes
		for _, endpoint := range s.Source.Endpoints {
			result.Destinations = append(result.Destinations, endpoint.Address)
		}
	})
	return result
}

// forEachPartService calls visit for every service with app servers that a gather service queries, directly or
// through another gather service, down to depth levels.
func forEachPartService(g *config.Gather, c config.Config, depth int, visit func(*config.Service)) {
	for _, p := range g.Parts {
		if i := slices.IndexFunc(c.Services, func(s config.Service) bool { return s.Name == p.Name }); i >= 0 {
			visit(&c.Services[i])
		} else if inner := findGather(p.Name, c); inner != nil && depth > 0 {
			forEachPartService(inner, c, depth-1, visit)
		}
	}
}

// findGather returns the gather service with a name, or nil if there is none.
func findGather(name string, c config.Config) *config.Gather {
	if i := slices.IndexFunc(c.Gathers, func(g config.Gather) bool { return g.Name == name }); i >= 0 {
		return &c.Gathers[i]
	}
	return nil
}

// gatherDescription describes the properties of a gather service that clients can see in its answers: the parts
// with their weights, in order, the merge format and the minimum weight. It leaves out the wait policy. Nested
// services are included down to depth levels.
func gatherDescription(g *config.Gather, c config.Config, depth int) string {
	hasEqualWeights := !slices.ContainsFunc(g.Parts, func(p config.GatherPart) bool { return p.Weight != g.Parts[0].Weight })
	var parts []string
	for _, p := range g.Parts {
		text := p.Name
		if !hasEqualWeights {
			text += fmt.Sprintf(" (weight %g)", p.Weight)
		}
		if inner := findGather(p.Name, c); inner != nil && depth > 0 {
			text += " [" + gatherDescription(inner, c, depth-1) + "]"
		}
		parts = append(parts, text)
	}
	return fmt.Sprintf("%s as %s, at least %g", strings.Join(parts, ", "), g.Merge, g.MinWeightFraction)
}

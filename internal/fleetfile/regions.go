package fleetfile

import (
	"fmt"
	"slices"
	"strings"

	"lockflow/internal/config"
	"lockflow/internal/discovery"
	"lockflow/internal/regions"
)

// Regions is the fleet as package regions looks at it, by name.
func (f File) Regions() []regions.Region {
	all := make([]regions.Region, len(f.All))
	for i, one := range f.All {
		all[i] = one.Region()
	}
	return all
}

// Region is the region as package regions looks at it.
func (one Region) Region() regions.Region {
	r := regions.Region{Name: one.Name, Listeners: one.Listeners, Instances: 1, Members: len(one.Members)}
	if len(r.Listeners) == 0 {
		for _, l := range one.Config.Listeners {
			if !strings.HasPrefix(l, config.Inherited) {
				r.Listeners = append(r.Listeners, l)
			}
		}
	}
	for i, rule := range one.Config.Routes {
		route := regions.Route{Rule: rule.Rule, RequestClass: rule.RequestClass}
		if i < len(one.origins) {
			route.Base = one.origins[i].base
			route.Line = one.origins[i].line
		}
		if route.Base {
			route.Line = 0 // it stands in another file
		}
		r.Routes = append(r.Routes, route)
	}
	for _, s := range one.Config.Services {
		r.Services = append(r.Services, service(s))
		r.Instances = s.Settings.GroupSize // of all of them: it is the process's
		r.Shared = r.Shared || s.Counter.Name != ""
	}
	for i := range one.Config.Gathers {
		r.Services = append(r.Services, gatherer(&one.Config.Gathers[i], one.Config))
	}
	if one.Instances > 0 {
		r.Instances = one.Instances
	}
	return r
}

func service(s config.Service) regions.Service {
	set := s.Settings
	v := regions.Service{
		Name: s.Name, GenericHTTP: s.HTTP != nil, Classes: set.Classes, Plans: set.Plans,
		SlowStart: regions.SlowStart{WarmupTime: set.WarmupTime, InitialCapacity: set.InitialCapacity, OverloadMultiple: set.OverloadMultiple},
	}
	if s.Counter.Name != "" {
		// The same name at other counters is counted apart.
		v.Counter = s.Counter.Name + " at " + strings.Join(slices.Sorted(slices.Values(s.Counter.Addresses)), ",")
	}
	switch s.Source.Kind {
	case discovery.Watch:
		v.Source = "discovery at " + s.Source.Address
	case discovery.File:
		v.Source = "file " + s.Source.Path
	}
	for _, to := range s.Source.Endpoints {
		v.Servers, v.Destinations = append(v.Servers, to.UID), append(v.Destinations, to.Address)
	}
	return v
}

// gathersDeep is more than the gatherers above each other that a configuration may have.
const gathersDeep = 16

// gatherer is a service that asks others. What it takes of plans and servers is theirs, and counted there.
func gatherer(g *config.Gather, c config.Config) regions.Service {
	v := regions.Service{Name: g.Name, GenericHTTP: true, Gather: form(g, c, gathersDeep)}
	reach(g, c, gathersDeep, func(s *config.Service) {
		// The file's classes, which all its services have. Those that can't scatter are there too: that a
		// class is not free to repeat any more has to show here as with its parts.
		v.Classes = s.Settings.Classes
		for _, to := range s.Source.Endpoints {
			v.Destinations = append(v.Destinations, to.Address)
		}
	})
	return v
}

// reach calls with each service with servers that a gatherer asks, directly or by another gatherer.
func reach(g *config.Gather, c config.Config, deep int, each func(*config.Service)) {
	for _, p := range g.Parts {
		if i := slices.IndexFunc(c.Services, func(s config.Service) bool { return s.Name == p.Name }); i >= 0 {
			each(&c.Services[i])
		} else if inner := gatherOf(p.Name, c); inner != nil && deep > 0 {
			reach(inner, c, deep-1, each)
		}
	}
}

func gatherOf(name string, c config.Config) *config.Gather {
	if i := slices.IndexFunc(c.Gathers, func(g config.Gather) bool { return g.Name == name }); i >= 0 {
		return &c.Gathers[i]
	}
	return nil
}

// form says what of a gatherer its clients can tell from an answer: the parts with their weights, in
// their order, the merge and the least. For how long it waits is no part of it.
func form(g *config.Gather, c config.Config, deep int) string {
	alike := !slices.ContainsFunc(g.Parts, func(p config.GatherPart) bool { return p.Weight != g.Parts[0].Weight })
	var parts []string
	for _, p := range g.Parts {
		text := p.Name
		if !alike {
			text += fmt.Sprintf(" (weight %g)", p.Weight)
		}
		if inner := gatherOf(p.Name, c); inner != nil && deep > 0 {
			text += " [" + form(inner, c, deep-1) + "]"
		}
		parts = append(parts, text)
	}
	return fmt.Sprintf("%s as %s, at least %g", strings.Join(parts, ", "), g.Merge, g.MinWeightFraction)
}

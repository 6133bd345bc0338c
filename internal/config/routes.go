package config

import (
	"fmt"
	"strings"

	"lockflow/internal/config/tree"
	"lockflow/internal/route"
	"lockflow/internal/service"
)

// readRoutes reads the routes and holds them to the services.
func (r *reader) readRoutes(root tree.Table, c *Config) {
	byName := make(map[string]*Service)
	for i := range c.Services {
		byName[c.Services[i].Name] = &c.Services[i]
	}
	tables := root.Tables("routes")
	if len(tables) == 0 {
		root.Errorf("routes", "there is none: no request could reach a service")
	}
	var rules []route.Rule
	names := make(map[string]bool)
	reached := make(map[string]bool)
	for i, t := range tables {
		one := Route{RequestClass: t.String("as", "")}
		one.Name, one.Service = t.String("name", ""), t.String("service", "")
		if one.Name == "" {
			one.Name = fmt.Sprintf("route-%d", i+1)
		}
		if names[one.Name] {
			t.Errorf("name", "%q is given twice", one.Name)
		}
		names[one.Name] = true
		one.Host, one.Path, one.Prefix = t.String("host", ""), t.String("path", ""), t.String("prefix", "")
		one.Method, one.Class = t.String("method", ""), t.String("class", "")
		one.Upgrade = readUpgrades(t)
		for _, h := range t.Texts("headers") {
			name, value, equal := strings.Cut(h, ":")
			one.Headers = append(one.Headers, route.Header{Name: name, Value: strings.Trim(value, " \t"), Any: !equal})
		}
		if g := c.findGather(one.Service); g != nil {
			reached[one.Service] = true
			r.checkGatherRoute(t, one, c, g)
		} else if s := byName[one.Service]; s == nil {
			t.Errorf("service", "%q is no service", one.Service)
		} else {
			reached[one.Service] = true
			checkRoute(t, one, s)
		}
		t.Done()
		c.Routes, rules = append(c.Routes, one), append(rules, one.Rule)
	}
	_, problems := route.New(rules)
	for _, p := range problems {
		tables[p.Index].Errorf(p.Key, "%v", p.Err)
	}
	r.checkGathers(root, c, reached)
	for _, s := range c.Services {
		if !reached[s.Name] {
			root.Sub("services").Errorf(s.Name, "no route leads to it")
		}
	}
}

// checkRoute looks whether a service could take any request of a route.
func checkRoute(t tree.Table, r Route, s *Service) {
	name, key := r.RequestClass, "as"
	if len(r.Upgrade) > 0 && s.HTTP == nil {
		t.Errorf("upgrade", `only to a service of protocol = "http"`)
	}
	if s.HTTP != nil && name == "" { // its classes follow from the method
		return
	}
	if name == "" {
		name, key = r.Class, "class"
	}
	if name == "" {
		if name, key = route.FirstSegment(r.Path+r.Prefix), "prefix"; r.Path != "" {
			key = "path"
		}
	}
	if name == "" || len(s.Settings.Classes) == 0 { // the latter has been told
		return
	}
	for _, k := range s.Settings.Classes {
		if k.Name != name {
			continue
		}
		if want := service.ClassMethod(k); s.HTTP == nil && r.Method != "" && r.Method != want {
			t.Errorf("method", "can never be served: class %s is asked for by %s", name, want)
		}
		return
	}
	t.Errorf(key, "can never be served: service %s has no class %q (as = ... names one)", s.Name, name)
}

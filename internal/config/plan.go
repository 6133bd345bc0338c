package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"lockflow/internal/discovery"
)

// Effect is what a change takes to come into force.
type Effect string

// The effects.
const (
	Applied  Effect = "applied"  // while everything goes on
	Started  Effect = "started"  // a service that is new
	Replaced Effect = "replaced" // a service gives way to another one, with what it has left to spend and has learned
	Ended    Effect = "ended"    // a service answers what it holds, then ends
	Restart  Effect = "restart"  // only a restart brings it into force
)

// Change is one difference between two configurations.
type Change struct {
	Effect Effect `json:"effect"`
	What   string `json:"what"`           // the key, as in the file
	From   string `json:"from,omitempty"` // "" is not there
	To     string `json:"to,omitempty"`
}

// Plan is what a reload from one configuration to another brings, in a settled order.
type Plan []Change

// Restarts are the changes that only a restart brings into force; with one a reload is refused.
func (p Plan) Restarts() Plan {
	var r Plan
	for _, c := range p {
		if c.Effect == Restart {
			r = append(r, c)
		}
	}
	return r
}

// Compare plans a reload.
func Compare(old, new Config) Plan {
	var p Plan
	if !slices.Equal(old.Listeners, new.Listeners) {
		p = append(p, Change{Applied, "listeners", strings.Join(old.Listeners, ", "), strings.Join(new.Listeners, ", ")})
	}
	if old.Metrics != new.Metrics {
		p = append(p, Change{Restart, "metrics.address", old.Metrics, new.Metrics})
	}
	after := new.Process
	after.Total.Descriptors = old.Process.Total.Descriptors // follows from the process's
	for _, d := range differences("process", reflect.ValueOf(old.Process), reflect.ValueOf(after)) {
		effect := Applied
		switch d.What {
		case "process.shared", "process.state", "process.control":
			effect = Restart
		}
		p = append(p, Change{effect, d.What, d.From, d.To})
	}
	was, is := byName(old.Services), byName(new.Services)
	for _, name := range slices.Sorted(maps.Keys(is)) {
		key := "services." + name
		before, ok := was[name]
		if !ok {
			p = append(p, Change{Effect: Started, What: key})
			continue
		}
		after := is[name]
		effect := Applied
		if before.Replaces(after) {
			effect = Replaced
		}
		for _, d := range differences(key, reflect.ValueOf(before.withoutReloadable()), reflect.ValueOf(after.withoutReloadable())) {
			p = append(p, Change{effect, d.What, d.From, d.To})
		}
		if !before.Source.Equal(after.Source) {
			p = append(p, Change{Applied, key + ".source", describeSource(before.Source), describeSource(after.Source)})
		}
		p = append(p, differences(key+".guaranteed", reflect.ValueOf(before.Guaranteed), reflect.ValueOf(after.Guaranteed))...)
		p = append(p, differences(key+".required", reflect.ValueOf(before.Required), reflect.ValueOf(after.Required))...)
	}
	for _, name := range slices.Sorted(maps.Keys(was)) {
		if _, ok := is[name]; !ok {
			p = append(p, Change{Effect: Ended, What: "services." + name})
		}
	}
	p = append(p, compareGathers(old.Gathers, new.Gathers)...)
	return append(p, compareRoutes(old.Routes, new.Routes)...)
}

func compareRoutes(old, new []Route) Plan {
	return compareNamed("routes.", old, new, func(r Route) string { return r.Name },
		func(key string, r Route) Change { return Change{Applied, key, "", "to " + r.Service} },
		func(key string, r Route) Change { return Change{Applied, key, "to " + r.Service, ""} })
}

// compareNamed tells what differs in things that are known by name, in the order of the names.
func compareNamed[T any](prefix string, old, new []T, name func(T) string, comes, goes func(key string, v T) Change) (p Plan) {
	was, is := make(map[string]T), make(map[string]T)
	for _, v := range old {
		was[name(v)] = v
	}
	for _, v := range new {
		is[name(v)] = v
	}
	names := maps.Clone(was)
	maps.Copy(names, is)
	for _, n := range slices.Sorted(maps.Keys(names)) {
		before, had := was[n]
		after, has := is[n]
		switch key := prefix + n; {
		case !had:
			p = append(p, comes(key, after))
		case !has:
			p = append(p, goes(key, before))
		default:
			p = append(p, differences(key, reflect.ValueOf(before), reflect.ValueOf(after))...)
		}
	}
	return p
}

func byName(services []Service) map[string]Service {
	m := make(map[string]Service)
	for _, s := range services {
		m[s.Name] = s
	}
	return m
}

// withoutReloadable is the service without what can change while it runs.
func (s Service) withoutReloadable() Service {
	s.Source, s.Known, s.Guaranteed, s.Required, s.Seed = discovery.Source{}, discovery.EndpointList{}, Amounts{}, false, 0
	return s
}

// Replaces tells whether a service of the same name has to be replaced by another one to
// become o: what differs can't change while it runs.
func (s Service) Replaces(o Service) bool {
	return !reflect.DeepEqual(s.withoutReloadable(), o.withoutReloadable())
}

func describeSource(s discovery.Source) string {
	switch s.Kind {
	case discovery.Watch:
		return "discovery at " + s.Address
	case discovery.File:
		return "file " + s.Path
	}
	return fmt.Sprintf("%d servers listed", len(s.Endpoints))
}

// A field of a configuration says its key in plans in a tag of its own.
const (
	keyTag    = "plan"
	inlineKey = ",inline" // its fields have the keys that they would have in its place
	noKey     = "-"       // it is compared elsewhere
)

// haveNames tells whether a list's items are known by their names: the first field's key is "name".
func haveNames(list reflect.Type) bool {
	return list.Elem().Kind() == reflect.Struct && list.Elem().Field(0).Tag.Get(keyTag) == "name"
}

// differences lists in what two values of one type differ, by the keys of a file.
func differences(path string, a, b reflect.Value) (p Plan) {
	if reflect.DeepEqual(a.Interface(), b.Interface()) {
		return nil
	}
	switch a.Kind() {
	case reflect.Struct:
		for i := range a.NumField() {
			f := a.Type().Field(i)
			sub := path
			switch key := f.Tag.Get(keyTag); {
			case key == noKey:
				continue
			case key != inlineKey && !f.Anonymous:
				sub += "." + key
			}
			p = append(p, differences(sub, a.Field(i), b.Field(i))...)
		}
		return p
	case reflect.Slice:
		if haveNames(a.Type()) {
			return itemDifferences(path, a, b)
		}
	}
	return Plan{{Applied, path, fmt.Sprint(a.Interface()), fmt.Sprint(b.Interface())}}
}

// itemDifferences compares lists of things that have names.
func itemDifferences(path string, a, b reflect.Value) (p Plan) {
	items := func(list reflect.Value) map[string]reflect.Value {
		m := make(map[string]reflect.Value)
		for i := range list.Len() {
			m[list.Index(i).Field(0).String()] = list.Index(i)
		}
		return m
	}
	was, is := items(a), items(b)
	names := maps.Clone(was)
	maps.Copy(names, is)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, had := was[name]
		after, has := is[name]
		switch key := path + "." + name; {
		case !had:
			p = append(p, Change{Applied, key, "", "there"})
		case !has:
			p = append(p, Change{Applied, key, "there", ""})
		default:
			p = append(p, differences(key, before, after)...)
		}
	}
	return p
}

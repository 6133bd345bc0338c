package config

import (
	"slices"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/config/tree"
	"lockflow/internal/protocol"
)

// Bounds of what a gathering service may have.
const (
	maxGatherParts = 256 // of one, and of all that it reaches
	maxGatherDepth = 4   // gatherers above each other
	maxHalfLife    = time.Hour
)

// Merges are the ways in which parts' answers become one.
var Merges = []string{"json-array", "ndjson"}

// What a gathering service's deadline can be, beside a time.
const (
	DeadlineLearned = "learned"
	DeadlineNone    = "none"
)

// GatherPart is a service that a gathering one asks.
type GatherPart struct {
	Name   string  `plan:"name"`
	Weight float64 `plan:"weight"`
}

// GatherShare is where what instances learn is shared; its zero value shares nothing.
type GatherShare struct {
	Addresses    []string      `plan:"addresses"` // of Redis servers
	Name         string        `plan:"name"`      // of what is shared there
	Username     string        `plan:"username"`
	PasswordFile string        `plan:"password_file"`
	CallTimeout  time.Duration `plan:"within"` // a call has its answer
}

// Gather is a service that asks others and gives their answers as one. It has no servers and no
// account of its own: all that it takes is its parts'.
type Gather struct {
	Name              string                   `plan:"name"`
	Parts             []GatherPart             `plan:"parts"` // in the order of the answer
	Merge             string                   `plan:"merge"` // one of Merges
	MinWeightFraction float64                  `plan:"least"` // share of the parts' weight below which there is no answer
	HalfLife          time.Duration            `plan:"half_life"`
	Deadline          string                   `plan:"deadline"`    // DeadlineLearned, DeadlineNone, or "" for Fixed
	FixedDeadline     time.Duration            `plan:"fixed"`       // from a query's arrival
	Classes           map[string]control.Class `plan:"classes"`     // that its requests may have: those that are free to repeat
	MaxBodyBytes      int64                    `plan:"body"`        // most bytes of a request's body, which is held whole
	TimeHeader        string                   `plan:"time_header"` // by which a client shortens its deadline; "" is none
	MaxRetryAfter     time.Duration            `plan:"retry_after"` // most that a refused client is told to wait; 0 tells none
	Share             GatherShare              `plan:"share"`
}

// splitGathers takes the gathering services out of a file's: they have other keys, and no account.
func (r *reader) splitGathers(c *Config, names []string, services []tree.Table) (serviceNames []string, tables []tree.Table) {
	for i, name := range names {
		if !services[i].Has("gather") {
			serviceNames, tables = append(serviceNames, name), append(tables, services[i])
			continue
		}
		c.Gathers = append(c.Gathers, r.readGather(name, services[i]))
	}
	if len(serviceNames) == 0 && len(names) > 0 {
		services[0].Errorf("gather", "no service of the file has servers of its own")
	}
	return serviceNames, tables
}

func (r *reader) readGather(name string, in tree.Table) Gather {
	g := Gather{
		Name: name, MaxBodyBytes: in.Size("body", 64<<10, 0, maxBodyBytes), TimeHeader: readHeaderName(in, "time_header"),
		MaxRetryAfter: in.Duration("retry_after", time.Second, 0, day), Classes: make(map[string]control.Class),
	}
	if in.Has("protocol") && protocols[in.OneOf("protocol", protocols...)] != "http" || !in.Has("protocol") && protocols[r.defaultProtocol] != "http" {
		in.Errorf("protocol", `a gathering service speaks "http" only`)
	}
	read := control.Class{Name: ClassRead, Idempotency: control.Idempotent, LatencyObjective: defaultLatencyObjective, Deadline: defaultHTTPDeadline, PriorityWeight: 1}
	g.Classes[ClassRead] = read
	for name, k := range r.classes {
		if k.Idempotency == control.Idempotent {
			g.Classes[name] = k
		} else {
			delete(g.Classes, name)
		}
	}
	t := in.Sub("gather")
	g.Merge = Merges[t.OneOf("merge", Merges...)]
	if !t.Has("merge") {
		t.Errorf("merge", "it has to be said: one of %s", strings.Join(Merges, ", "))
	}
	if g.MinWeightFraction = t.Number("least", 0.5, 0, 1); g.MinWeightFraction <= 0 {
		t.Errorf("least", "%g is not above 0: an answer of nothing is none", g.MinWeightFraction)
	}
	g.HalfLife = t.Duration("half_life", time.Second, time.Millisecond, maxHalfLife)
	switch v := t.String("deadline", DeadlineLearned); v {
	case DeadlineLearned, DeadlineNone:
		g.Deadline = v
	default:
		if _, err := time.ParseDuration(v); err != nil {
			t.Errorf("deadline", `%q is neither "learned", "none" nor a time such as "250ms"`, v)
		}
		g.FixedDeadline = t.Duration("deadline", time.Second, time.Millisecond, day)
	}
	parts := t.Texts("parts")
	if len(parts) == 0 {
		t.Errorf("parts", "there is none")
	}
	if len(parts) > maxGatherParts {
		t.Errorf("parts", "%d are more than %d", len(parts), maxGatherParts)
	}
	for _, p := range parts {
		if strings.ContainsAny(p, ", \t\"/") || !isASCII(p) {
			t.Errorf("parts", "%q can't be named in an answer's header: it has a comma, a space, a quote, a slash, or is not ASCII", p)
		}
		g.Parts = append(g.Parts, GatherPart{p, 1})
	}
	r.readWeights(t, g.Parts)
	if t.Has("share") {
		g.Share = r.readGatherShare(t.Sub("share"), name)
	}
	t.Done()
	in.Done()
	return g
}

func isASCII(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c >= 0x7f })
}

// readWeights reads weights = [2, 1, 1], one for each part.
func (r *reader) readWeights(t tree.Table, parts []GatherPart) {
	if !t.Has("weights") {
		return
	}
	all := t.List("weights")
	if len(all) != len(parts) {
		t.Errorf("weights", "%d of them for %d parts", len(all), len(parts))
		return
	}
	for i, n := range all {
		v, ok := n.Value().(float64)
		if integer, is := n.Value().(int64); is {
			v, ok = float64(integer), true
		}
		if !ok || !(v > 0 && v <= maxNumber) {
			t.ItemErrorf(n, "weights", "item %d has to be a number above 0, at most %g", i+1, maxNumber)
			continue
		}
		parts[i].Weight = v
	}
}

// readGatherShare reads where learned deadlines are shared, by the words of a counter.
func (r *reader) readGatherShare(t tree.Table, name string) GatherShare {
	s := GatherShare{
		Addresses: t.Texts("addresses"), Name: t.String("name", name), Username: t.String("username", ""),
		PasswordFile: readPath(t, "password_file"), CallTimeout: t.Duration("within", 200*time.Millisecond, time.Millisecond, time.Minute),
	}
	if len(s.Addresses) == 0 {
		t.Errorf("addresses", "sharing needs one at least")
	}
	for _, a := range s.Addresses {
		checkAddress(t, "addresses", a)
	}
	if s.Name == "" || strings.ContainsAny(s.Name, "{} \t\r\n") {
		t.Errorf("name", "%q can't be a part of keys", s.Name)
	}
	t.Done()
	return s
}

// findGather is the gathering service of a name, nil where none is.
func (c *Config) findGather(name string) *Gather {
	for i := range c.Gathers {
		if c.Gathers[i].Name == name {
			return &c.Gathers[i]
		}
	}
	return nil
}

// checkGathers holds gathering services to the others: what they reach, and by which classes. It
// tells which services are reached as parts, of those that are themselves reached.
func (r *reader) checkGathers(root tree.Table, c *Config, reached map[string]bool) {
	gathers := make(map[string]*Gather)
	for i := range c.Gathers {
		gathers[c.Gathers[i].Name] = &c.Gathers[i]
	}
	services := root.Sub("services")
	for i := range c.Gathers {
		g := &c.Gathers[i]
		t := services.Sub(g.Name).Sub("gather")
		w := gatherWalk{reader: r, table: t, config: c, gathers: gathers, reachedThrough: make(map[string]string)}
		w.visit(g, nil)
	}
	// Guards against a part without a route of its own being taken for one that nothing reaches.
	for changed := true; changed; {
		changed = false
		for name, g := range gathers {
			if !reached[name] {
				continue
			}
			for _, p := range g.Parts {
				if !reached[p.Name] {
					reached[p.Name], changed = true, true
				}
			}
		}
	}
	for _, g := range c.Gathers {
		if !reached[g.Name] {
			services.Errorf(g.Name, "no route leads to it")
		}
	}
}

// gatherWalk goes through all that a gathering service reaches.
type gatherWalk struct {
	reader         *reader
	table          tree.Table // the service's gather table, on which what is wrong is told
	config         *Config
	gathers        map[string]*Gather
	reachedThrough map[string]string // by part, through which gatherer
	isInvalid      bool
}

func (w *gatherWalk) visit(g *Gather, above []string) {
	above = append(above, g.Name)
	for _, p := range g.Parts {
		if w.isInvalid {
			return
		}
		w.isInvalid = true
		inner := w.gathers[p.Name]
		i := slices.IndexFunc(w.config.Services, func(s Service) bool { return s.Name == p.Name })
		by, twice := w.reachedThrough[p.Name]
		switch {
		case p.Name == g.Name:
			w.table.Errorf("parts", "%q is the service itself", p.Name)
		case slices.Contains(above, p.Name):
			w.table.Errorf("parts", "it goes round in a circle: %s", strings.Join(append(above, p.Name), " -> "))
		case inner == nil && i < 0:
			w.table.Errorf("parts", "%q is no service", p.Name)
		case twice:
			w.table.Errorf("parts", "%q is reached twice, through %s and %s: its answer would be there twice", p.Name, by, g.Name)
		case inner != nil && inner.Merge != g.Merge:
			w.table.Errorf("parts", "%q merges by %q, and %s by %q", p.Name, inner.Merge, g.Name, g.Merge)
		case inner != nil && len(above) == maxGatherDepth:
			w.table.Errorf("parts", "more than %d gatherers above each other: %s", maxGatherDepth, strings.Join(append(above, p.Name), " -> "))
		case inner == nil && w.config.Services[i].HTTP == nil:
			w.table.Errorf("parts", `%q does not speak "http"`, p.Name)
		case len(w.reachedThrough) == maxGatherParts:
			w.table.Errorf("parts", "it reaches more than %d parts", maxGatherParts)
		default:
			w.isInvalid = false
			w.reachedThrough[p.Name] = g.Name
			if inner != nil {
				w.visit(inner, above)
			}
		}
	}
}

// leafServices are the services with servers that a gathering one reaches over so many gatherers; a bound
// holds for those that go round in a circle.
func (c *Config) leafServices(g *Gather, deep int) (all []*Service) {
	if deep == 0 {
		return nil
	}
	for _, p := range g.Parts {
		for i := range c.Services {
			if c.Services[i].Name == p.Name {
				all = append(all, &c.Services[i])
			}
		}
		for i := range c.Gathers {
			if c.Gathers[i].Name == p.Name && p.Name != g.Name {
				all = append(all, c.leafServices(&c.Gathers[i], deep-1)...)
			}
		}
	}
	return all
}

// checkGatherRoute holds a route to what may scatter: only what is free to repeat, at every part.
func (r *reader) checkGatherRoute(t tree.Table, one Route, c *Config, g *Gather) {
	key, class := "as", one.RequestClass
	if len(one.Upgrade) > 0 {
		t.Errorf("upgrade", "not to a service that gathers")
	}
	if class == "" {
		class = ClassRead
		if one.Method != "" {
			key = "method"
		} else {
			key = "service"
		}
		if one.Method != "" && !protocol.IsSafeMethod(one.Method) {
			t.Errorf("method", "%s scatters only where the route names a class that is free to repeat (as = ...)", one.Method)
			return
		}
	}
	if _, ok := g.Classes[class]; !ok {
		if _, there := r.classes[class]; there {
			t.Errorf(key, `class %s is not free to repeat, and so can't scatter`, class)
		} else {
			t.Errorf(key, "the file has no class %q", class)
		}
		return
	}
	for _, s := range c.leafServices(g, maxGatherDepth) {
		i := slices.IndexFunc(s.Settings.Classes, func(k control.Class) bool { return k.Name == class })
		if i < 0 && s.HTTP != nil { // else that is told
			t.Errorf(key, "its part %s has no class %q", s.Name, class)
			return
		}
	}
}

// compareGathers tells what differs in services that gather. All of it comes into force while
// everything goes on: queries that have begun end under what they began with.
func compareGathers(old, new []Gather) Plan {
	return compareNamed("services.", old, new, func(g Gather) string { return g.Name },
		func(key string, _ Gather) Change { return Change{Effect: Started, What: key} },
		func(key string, _ Gather) Change { return Change{Effect: Ended, What: key} })
}

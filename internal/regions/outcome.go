package regions

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/protocol"
	"lockflow/internal/route"
)

// terms are what decides whether, where and until when a request may be repeated.
type terms struct {
	effect   control.Idempotency
	scope    control.KeyScope
	window   time.Duration
	deadline time.Duration
}

func termsOf(k control.Class) terms {
	t := terms{effect: k.Idempotency, deadline: k.Deadline}
	if k.Idempotency == control.IdempotentWithKey {
		t.scope, t.window = k.KeyScope, k.RepeatWindow
	}
	return t
}

func (t terms) String() string {
	switch t.effect {
	case control.Idempotent:
		return fmt.Sprintf("free to repeat, deadline %v", t.deadline)
	case control.IdempotentWithKey:
		return fmt.Sprintf("keyed over %s for %v, deadline %v", [...]string{"all", "a zone", "a group"}[t.scope%3], t.window, t.deadline)
	}
	return fmt.Sprintf("never repeated, deadline %v", t.deadline)
}

// Classes of ordinary requests whose route names none, as config completes them.
const (
	classRead  = "read"
	classWrite = "write"
)

// way is how a rule's requests have their class.
type way uint8

const (
	named    way = iota // by the rule, or by its paths' first segment
	byMethod            // ordinary: read or write
	byPath              // the first segment of the path
)

// outcome is what a rule leads to, as far as requests can tell. Equal ones treat all requests alike.
type outcome struct {
	service  string
	way      way
	ordinary bool
	class    string // with named
	table    int32  // of the classes that its requests can have; 0 is not known
	gather   int32  // text of what it gathers; 0 is no gatherer
}

// attr is a region's side of a rule.
type attr struct {
	name  string
	base  bool
	out   int32
	leads int32 // 0 is nowhere that is known
}

// intern gives values numbers, from 1 on; the zero value has its number 0 from the start.
type intern[T comparable] struct {
	of  map[T]int32
	all []T
}

func (n *intern[T]) id(v T) int32 {
	if n.of == nil {
		var zero T
		n.of, n.all = map[T]int32{zero: 0}, []T{zero}
	}
	i, ok := n.of[v]
	if !ok {
		i = int32(len(n.all))
		n.of[v], n.all = i, append(n.all, v)
	}
	return i
}

// book holds what rules lead to.
type book struct {
	attrs  intern[attr]
	outs   intern[outcome]
	texts  intern[string] // tables and leads as texts
	tables map[int32]map[string]terms
	leads  map[int32][]string
}

func newBook() *book {
	return &book{tables: make(map[int32]map[string]terms), leads: make(map[int32][]string)}
}

// table is the number of a set of classes. With only, that one alone or without it.
func (b *book) table(all []control.Class, only ...string) int32 {
	if len(all) == 0 {
		return 0
	}
	var lines []string
	t := make(map[string]terms)
	for _, k := range all {
		if len(only) == 0 || slices.Contains(only, k.Name) {
			t[k.Name] = termsOf(k)
			lines = append(lines, fmt.Sprintf("%q %+v", k.Name, termsOf(k)))
		}
	}
	slices.Sort(lines)
	id := b.texts.id("classes\n" + strings.Join(lines, "\n"))
	b.tables[id] = t
	return id
}

// attr is the number of what a region's rule leads to. envs remembers the region's services.
func (b *book) attr(r *Route, env *environment) int32 {
	o := outcome{service: r.Service, class: r.As}
	sv := env.services[r.Service]
	if sv != nil {
		o.ordinary = sv.Ordinary
		if sv.Gather != "" {
			o.gather = b.texts.id("gather\n" + sv.Gather)
		}
	}
	switch {
	case r.As != "":
	case o.ordinary:
		o.way = byMethod
	default:
		if o.class = cmp.Or(route.FirstSegment(r.Path+r.Prefix), r.Class); o.class == "" && r.Path == "" {
			o.way = byPath
		}
	}
	a := attr{name: r.Name, base: r.Base}
	if sv != nil {
		k := tableKey{r.Service, o.way, o.class}
		id, ok := env.tables[k]
		if !ok {
			switch o.way {
			case named:
				id = b.table(sv.Classes, o.class)
			case byMethod:
				id = b.table(sv.Classes, classRead, classWrite)
			default:
				id = b.table(sv.Classes)
			}
			env.tables[k] = id
		}
		o.table, a.leads = id, env.leads[r.Service]
	}
	a.out = b.outs.id(o)
	return b.attrs.id(a)
}

// environment is a region's services, by name.
type environment struct {
	services map[string]*Service
	tables   map[tableKey]int32
	leads    map[string]int32
}

type tableKey struct {
	service string
	way     way
	class   string
}

func (b *book) environment(r *Region) *environment {
	e := &environment{make(map[string]*Service), make(map[tableKey]int32), make(map[string]int32)}
	for i := range r.Services {
		s := &r.Services[i]
		e.services[s.Name] = s
		if len(s.Leads) > 0 {
			all := slices.Compact(slices.Sorted(slices.Values(s.Leads)))
			id := b.texts.id("leads\n" + strings.Join(all, "\n"))
			e.leads[s.Name], b.leads[id] = id, all
		}
	}
	return e
}

// fate is what becomes of a request.
type fate struct {
	taken   bool // by a service that has its class
	service string
	class   string
	known   bool // its terms
	terms   terms
	gather  int32 // as the outcome's
}

// fate is what a rule's outcome makes of a request.
func (b *book) fate(attr int32, w *Witness) fate {
	o := &b.outs.all[b.attrs.all[attr].out]
	f := fate{taken: true, service: o.service, class: o.class, gather: o.gather}
	switch o.way {
	case byMethod:
		if f.class = classWrite; protocol.IsSafeMethod(w.Method) {
			f.class = classRead
		}
	case byPath:
		f.class = route.FirstSegment(w.Path)
	}
	if o.ordinary && w.Method == http.MethodTrace {
		f.taken = false
	}
	if o.gather != 0 && (w.Method == http.MethodOptions || w.Method == http.MethodConnect ||
		o.way == byMethod && w.Method != http.MethodGet && w.Method != http.MethodHead) {
		f.taken = false
	}
	if o.table == 0 {
		return f
	}
	if f.terms, f.known = b.tables[o.table][f.class]; !f.known {
		f.taken = false
		return f
	}
	if o.gather != 0 && f.terms.effect != control.Idempotent {
		f.taken = false
	}
	if !o.ordinary {
		// As the platform's clients ask: by GET for what is free to repeat, else by POST.
		want := http.MethodPost
		if f.terms.effect == control.Idempotent {
			want = http.MethodGet
		}
		f.taken = w.Method == want
	}
	return f
}

// apart gives the kinds by which two regions' fates of one request conflict.
func apart(a, b fate) (service, coverage, other bool) {
	service = a.taken && b.taken && (a.service != b.service || a.gather != b.gather)
	coverage = a.taken != b.taken
	other = a.known && b.known && a.terms != b.terms && (a.service == b.service || a.class == b.class)
	return
}

// byClasses gives an area of any path, and those in it of each class that a path names to rules of these outcomes.
func (x *Index) byClasses(a area, attrs []int32) []area {
	all := []area{a}
	if a.exact || a.path != "" {
		return all
	}
	for _, at := range attrs {
		o := &x.outs.all[x.attrs.all[at].out]
		if o.way != byPath {
			continue
		}
		for class := range x.tables[o.table] {
			if b, ok := a.meet(area{path: "/" + class}); ok && !slices.ContainsFunc(all, func(c area) bool { return c.path == b.path }) {
				all = append(all, b)
			}
		}
	}
	slices.SortFunc(all, func(a, b area) int { return cmp.Compare(a.path, b.path) })
	return all
}

// variants gives the areas of which one has a request that shows what rules of these outcomes do with
// the least requests of an area: by each method and class that makes a difference to them.
func (x *Index) variants(a area, attrs []int32) []area {
	all := x.byClasses(a, attrs)
	if a.method != "" {
		return all
	}
	var platform, byClass bool
	for _, at := range attrs {
		o := &x.outs.all[x.attrs.all[at].out]
		platform = platform || !o.ordinary && o.table != 0 || o.gather != 0 // more than a method's safety counts
		byClass = byClass || o.way == byMethod
	}
	other, methods := x.freshMethod(false), []string(nil)
	switch safe := x.freshMethod(true); {
	case platform || byClass && safe == "":
		methods = []string{http.MethodGet, http.MethodPost, http.MethodHead, http.MethodOptions, other}
	case byClass:
		methods = []string{safe, other}
	default:
		methods = []string{cmp.Or(safe, other)}
	}
	var out []area
	for _, a := range all {
		for _, m := range methods {
			a.method = m
			out = append(out, a)
		}
	}
	return out
}

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

// classSource is how a rule's requests have their class.
type classSource uint8

const (
	classFromRule   classSource = iota // by the rule, or by its paths' first segment
	classFromMethod                    // ordinary: read or write
	classFromPath                      // the first segment of the path
)

// outcome is what a rule leads to, as far as requests can tell. Equal ones treat all requests alike.
type outcome struct {
	service     string
	classSource classSource
	genericHTTP bool
	class       string // winning named
	tableID     int32  // ids the classes that its requests can have; 0 is not known
	gatherID    int32  // requestText of what it gathers; 0 is no gatherer
}

// ruleID is a region's side of a rule.
type ruleInfo struct {
	name           string
	isFromBase     bool
	outcomeID      int32
	destinationsID int32 // 0 is nowhere that is known
}

// internTable gives values numbers, from 1 on; the zero value has its number 0 from the start.
type internTable[T comparable] struct {
	ids    map[T]int32
	values []T
}

func (n *internTable[T]) id(v T) int32 {
	if n.ids == nil {
		var zero T
		n.ids, n.values = map[T]int32{zero: 0}, []T{zero}
	}
	i, ok := n.ids[v]
	if !ok {
		i = int32(len(n.values))
		n.ids[v], n.values = i, append(n.values, v)
	}
	return i
}

// registry holds what rules lead to.
type registry struct {
	ruleInfos    internTable[ruleInfo]
	outcomes     internTable[outcome]
	texts        internTable[string] // classTables and leads as texts
	classTables  map[int32]map[string]terms
	destinations map[int32][]string
}

func newRegistry() *registry {
	return &registry{classTables: make(map[int32]map[string]terms), destinations: make(map[int32][]string)}
}

// classTable is the number of a set of classes. With only, that one alone or without it.
func (b *registry) classTable(all []control.Class, only ...string) int32 {
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
	b.classTables[id] = t
	return id
}

// ruleID is the number of what a region's rule leads to. envs remembers the region's services.
func (b *registry) ruleID(r *Route, env *environment) int32 {
	o := outcome{service: r.Service, class: r.RequestClass}
	sv := env.services[r.Service]
	if sv != nil {
		o.genericHTTP = sv.GenericHTTP
		if sv.Gather != "" {
			o.gatherID = b.texts.id("gather\n" + sv.Gather)
		}
	}
	switch {
	case r.RequestClass != "":
	case o.genericHTTP:
		o.classSource = classFromMethod
	default:
		if o.class = cmp.Or(route.FirstSegment(r.Path+r.Prefix), r.Class); o.class == "" && r.Path == "" {
			o.classSource = classFromPath
		}
	}
	a := ruleInfo{name: r.Name, isFromBase: r.Base}
	if sv != nil {
		k := tableKey{r.Service, o.classSource, o.class}
		id, ok := env.tableIDs[k]
		if !ok {
			switch o.classSource {
			case classFromRule:
				id = b.classTable(sv.Classes, o.class)
			case classFromMethod:
				id = b.classTable(sv.Classes, classRead, classWrite)
			default:
				id = b.classTable(sv.Classes)
			}
			env.tableIDs[k] = id
		}
		o.tableID, a.destinationsID = id, env.destinationIDs[r.Service]
	}
	a.outcomeID = b.outcomes.id(o)
	return b.ruleInfos.id(a)
}

// environment is a region's services, by name.
type environment struct {
	services       map[string]*Service
	tableIDs       map[tableKey]int32
	destinationIDs map[string]int32
}

type tableKey struct {
	service     string
	classSource classSource
	class       string
}

func (b *registry) environment(r *Region) *environment {
	e := &environment{make(map[string]*Service), make(map[tableKey]int32), make(map[string]int32)}
	for i := range r.Services {
		s := &r.Services[i]
		e.services[s.Name] = s
		if len(s.Destinations) > 0 {
			all := slices.Compact(slices.Sorted(slices.Values(s.Destinations)))
			id := b.texts.id("leads\n" + strings.Join(all, "\n"))
			e.destinationIDs[s.Name], b.destinations[id] = id, all
		}
	}
	return e
}

// disposition is what becomes of a request.
type disposition struct {
	isAccepted bool // by a service that has its class
	service    string
	class      string
	hasTerms   bool // its terms
	terms      terms
	gatherID   int32 // as the outcome's
}

// disposition is what a rule's outcome makes of a request.
func (b *registry) disposition(attr int32, w *Witness) disposition {
	o := &b.outcomes.values[b.ruleInfos.values[attr].outcomeID]
	f := disposition{isAccepted: true, service: o.service, class: o.class, gatherID: o.gatherID}
	switch o.classSource {
	case classFromMethod:
		if f.class = classWrite; protocol.IsSafeMethod(w.Method) {
			f.class = classRead
		}
	case classFromPath:
		f.class = route.FirstSegment(w.Path)
	}
	if o.genericHTTP && w.Method == http.MethodTrace {
		f.isAccepted = false
	}
	if o.gatherID != 0 && (w.Method == http.MethodOptions || w.Method == http.MethodConnect ||
		o.classSource == classFromMethod && w.Method != http.MethodGet && w.Method != http.MethodHead) {
		f.isAccepted = false
	}
	if o.tableID == 0 {
		return f
	}
	if f.terms, f.hasTerms = b.classTables[o.tableID][f.class]; !f.hasTerms {
		f.isAccepted = false
		return f
	}
	if o.gatherID != 0 && f.terms.effect != control.Idempotent {
		f.isAccepted = false
	}
	if !o.genericHTTP {
		// RequestClass the platform's clients ask: by GET for what is free to repeat, else by POST.
		want := http.MethodPost
		if f.terms.effect == control.Idempotent {
			want = http.MethodGet
		}
		f.isAccepted = w.Method == want
	}
	return f
}

// differences gives the kinds by which two regions' fates of one request conflict.
func differences(a, b disposition) (service, coverage, other bool) {
	service = a.isAccepted && b.isAccepted && (a.service != b.service || a.gatherID != b.gatherID)
	coverage = a.isAccepted != b.isAccepted
	other = a.hasTerms && b.hasTerms && a.terms != b.terms && (a.service == b.service || a.class == b.class)
	return
}

// byClasses gives an area of any path, and those in it of each class that a path names to rules of these outcomes.
func (x *Index) byClasses(a requestSet, attrs []int32) []requestSet {
	all := []requestSet{a}
	if a.exact || a.path != "" {
		return all
	}
	for _, at := range attrs {
		o := &x.outcomes.values[x.ruleInfos.values[at].outcomeID]
		if o.classSource != classFromPath {
			continue
		}
		for class := range x.classTables[o.tableID] {
			if b, ok := a.intersect(requestSet{path: "/" + class}); ok && !slices.ContainsFunc(all, func(c requestSet) bool { return c.path == b.path }) {
				all = append(all, b)
			}
		}
	}
	slices.SortFunc(all, func(a, b requestSet) int { return cmp.Compare(a.path, b.path) })
	return all
}

// variants gives the areas of which one has a request that shows what rules of these outcomes do with
// the least requests of an area: by each method and class that makes a difference to them.
func (x *Index) variants(a requestSet, attrs []int32) []requestSet {
	all := x.byClasses(a, attrs)
	if a.method != "" {
		return all
	}
	var platform, byClass bool
	for _, at := range attrs {
		o := &x.outcomes.values[x.ruleInfos.values[at].outcomeID]
		platform = platform || !o.genericHTTP && o.tableID != 0 || o.gatherID != 0 // more than a method's safety counts
		byClass = byClass || o.classSource == classFromMethod
	}
	other, methods := x.unusedMethod(false), []string(nil)
	switch safe := x.unusedMethod(true); {
	case platform || byClass && safe == "":
		methods = []string{http.MethodGet, http.MethodPost, http.MethodHead, http.MethodOptions, other}
	case byClass:
		methods = []string{safe, other}
	default:
		methods = []string{cmp.Or(safe, other)}
	}
	var out []requestSet
	for _, a := range all {
		for _, m := range methods {
			a.method = m
			out = append(out, a)
		}
	}
	return out
}

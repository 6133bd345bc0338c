package regions

import (
	"fmt"
	"math"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/route"

	"pgregory.net/rapid"
)

// The requests that the reference goes through: they include all that the rules drawn below tell apart.
var (
	someHosts   = []string{"", "y", "a.x", "b.x", "b.a.x", "c.a.x"}
	someMethods = []string{"GET", "HEAD", "POST", "PATCH", "OPTIONS"}
	someStates  = [][]string{nil, {"1"}, {"9"}, {"1", "1"}}
	somePaths   = strings.Fields("/ /z /a /a/ /a/z /ab /ab/ /ab/z /b /b/ /b/z /a/a /a/a/ /a/a/z /a/b /a/b/ /a/b/z /read /write")
)

func everyRequest(each func(*Witness)) {
	for _, host := range someHosts {
		for _, path := range somePaths {
			for _, method := range someMethods {
				for _, a := range someStates {
					for _, b := range someStates[:3] {
						h := http.Header{}
						if a != nil {
							h["A"] = a
						}
						if b != nil {
							h["B"] = b
						}
						each(&Witness{method, host, path, h})
					}
				}
			}
		}
	}
}

// reference handles requests as the nodes of one region do, by the real router.
type reference struct {
	Region
	router   *route.Router
	services map[string]Service
}

func newReference(t interface{ Fatalf(string, ...any) }, r Region) *reference {
	p := &reference{Region: r, services: make(map[string]Service)}
	var rules []route.Rule
	for _, one := range r.Routes {
		rules = append(rules, one.Rule)
	}
	var problems []*route.RuleError
	if p.router, problems = route.New(rules); problems != nil {
		t.Fatalf("%v", problems)
	}
	for _, s := range r.Services {
		p.services[s.Name] = s
	}
	return p
}

type handled struct {
	rule, service, class, gather string
	isAccepted                   bool
	terms                        *control.Class
}

func (p *reference) handle(w *Witness) (got handled) {
	i, ok := p.router.Find(w.Host, w.Path, w.Method, w.Headers)
	if !ok {
		return
	}
	one := p.Routes[i]
	s := p.services[one.Service]
	got = handled{rule: one.Name, service: one.Service, class: one.RequestClass, isAccepted: true}
	if one.RequestClass == "" && s.GenericHTTP {
		got.class = "write"
		if slices.Contains([]string{"GET", "HEAD", "OPTIONS"}, w.Method) {
			got.class = "read"
		}
	} else if one.RequestClass == "" {
		got.class = route.FirstSegment(w.Path)
	}
	for _, k := range s.Classes {
		if k.Name == got.class {
			got.terms = &k
		}
	}
	if s.Gather != "" {
		got.gather = s.Gather
		got.isAccepted = got.terms == nil || got.terms.Idempotency == control.Idempotent
		got.isAccepted = got.isAccepted && (w.Method == "GET" || w.Method == "HEAD" || one.RequestClass != "" && w.Method != "OPTIONS")
	}
	if len(s.Classes) > 0 {
		got.isAccepted = got.isAccepted && got.terms != nil && (s.GenericHTTP || (got.terms.Idempotency == control.Idempotent) == (w.Method == "GET") && (w.Method == "GET" || w.Method == "POST"))
	}
	return got
}

// conflictKinds returns the kinds by which two regions handle a request differently.
func conflictKinds(a, b handled) (kinds []Kind) {
	if a.isAccepted != b.isAccepted {
		kinds = append(kinds, CoverageKind)
	}
	if a.isAccepted && b.isAccepted && (a.service != b.service || a.gather != b.gather) {
		kinds = append(kinds, ServiceKind)
	}
	if a.terms != nil && b.terms != nil && (a.service == b.service || a.class == b.class) {
		x, y := *a.terms, *b.terms
		if x.Idempotency != control.IdempotentWithKey {
			x.KeyScope, x.RepeatWindow = 0, 0
		}
		if y.Idempotency != control.IdempotentWithKey {
			y.KeyScope, y.RepeatWindow = 0, 0
		}
		if x.Idempotency != y.Idempotency || x.KeyScope != y.KeyScope || x.RepeatWindow != y.RepeatWindow || x.Deadline != y.Deadline {
			kinds = append(kinds, TermsKind)
		}
	}
	return kinds
}

func drawRegion(t *rapid.T, name string, base []Route) Region {
	pick := func(what string, of ...string) string { return rapid.SampledFrom(of).Draw(t, what) }
	r := Region{Name: name, Instances: 1, Listeners: []string{name + ":80"}}
	class := func(n string) control.Class {
		return control.Class{
			Name: n, Deadline: time.Duration(rapid.IntRange(1, 2).Draw(t, "deadline")) * time.Second,
			Idempotency: control.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), RepeatWindow: time.Duration(rapid.IntRange(0, 1).Draw(t, "window")),
		}
	}
	for i, n := range []string{"s", "t", "u"} {
		s := Service{Name: n, GenericHTTP: rapid.Bool().Draw(t, "ordinary")}
		for _, k := range [][]string{{"read", "write", "a"}, {"a", "b"}, {"read", "a"}, nil}[rapid.IntRange(0, 3).Draw(t, "classes")] {
			s.Classes = append(s.Classes, class(k))
		}
		if i > 0 {
			if s.GenericHTTP && rapid.Bool().Draw(t, "gathers") {
				s.Gather = pick("gather", "x", "x, y")
			}
			s.Destinations = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"n:80", "o:80", "p:80", "q:80"}), 0, 2, rapid.ID).Draw(t, "leads")
		}
		r.Services = append(r.Services, s)
	}
	r.Routes = slices.Clone(base)
	for i := range rapid.IntRange(0, 4).Draw(t, "rules") {
		one := Route{RequestClass: pick("as", "", "", "a")}
		one.Name, one.Service = fmt.Sprint(name, i), pick("service", "s", "t", "u")
		one.Host, one.Method, one.Class = pick("host", "", "", "a.x", "*.x", "*.a.x", "b.a.x"), pick("method", "", "", "GET", "POST"), pick("class", "", "", "a", "b")
		path := pick("path", "", "/a", "/ab", "/b", "/a/a", "/a/b")
		switch rapid.IntRange(0, 2).Draw(t, "form") {
		case 0:
			one.Path = path + pick("end", "", "/")
		case 1:
			one.Prefix = path
		}
		for _, h := range []string{"A", "B"} {
			switch rapid.IntRange(0, 4).Draw(t, h) {
			case 0:
				one.Headers = append(one.Headers, route.Header{Name: h, Any: true})
			case 1:
				one.Headers = append(one.Headers, route.Header{Name: h, Value: "1"})
			}
		}
		r.Routes = append(r.Routes, one)
	}
	for { // rules that package route rejects are left out, as a file with them would not load
		var rules []route.Rule
		for _, one := range r.Routes {
			rules = append(rules, one.Rule)
		}
		_, problems := route.New(rules)
		if problems == nil {
			return r
		}
		r.Routes = slices.Delete(slices.Clone(r.Routes), problems[0].Index, problems[0].Index+1)
	}
}

func drawRegions(t *rapid.T) (all []Region) {
	base := drawRegion(t, "base", nil)
	for i := range base.Routes {
		base.Routes[i].Base = true
	}
	for i, name := range []string{"n", "o", "p"}[:rapid.IntRange(2, 3).Draw(t, "regions")] {
		r := drawRegion(t, name, base.Routes)
		if i > 0 && rapid.IntRange(0, 2).Draw(t, "services") > 0 {
			r.Services = all[0].Services
		}
		all = append(all, r)
	}
	return all
}

func conflictLine(k Kind, a, b, ra, rb string) string {
	return fmt.Sprint(k, " ", a, " ", b, " ", ra, " ", rb)
}

// recordExpected records the conflicts that a request shows, and the rules that handle it.
func recordExpected(w *Witness, plains []*reference, want, alive map[string]bool) {
	var got []handled
	for _, p := range plains {
		got = append(got, p.handle(w))
		alive[p.Name+got[len(got)-1].rule] = true
	}
	for i := range got {
		for j := range i {
			for _, k := range conflictKinds(got[j], got[i]) {
				want[conflictLine(k, plains[j].Name, plains[i].Name, got[j].rule, got[i].rule)] = true
			}
		}
	}
	for _, l := range expectedLoops(plains, w) {
		want[l] = true
	}
}

// TestAgainstReference compares the conflicts with those that every request of a small universe shows by the
// real routers: none is missed, and no other is reported.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawRegions(t)
		var plains []*reference
		for _, r := range all {
			plains = append(plains, newReference(t, r))
		}
		want, alive := make(map[string]bool), make(map[string]bool)
		everyRequest(func(w *Witness) { recordExpected(w, plains, want, alive) })
		for _, p := range plains {
			for _, one := range p.Routes {
				if !alive[p.Name+one.Name] {
					want[conflictLine(DeadKind, p.Name, "", one.Name, "")] = true
				}
			}
		}
		x := NewIndex(all)
		for _, c := range x.limitedConflicts(math.MaxInt) {
			w := c.Witness
			switch c.Kind {
			case DeadKind:
				l := conflictLine(DeadKind, c.Regions[0], "", c.Rules[0], "")
				if !want[l] {
					t.Fatalf("%+v: false", c)
				}
				delete(want, l)
			case LoopKind:
				l := followLoop(plains, c)
				if l == "" {
					t.Fatalf("%+v: it does not go round", c)
				}
				delete(want, l)
			default:
				a := plains[slices.IndexFunc(all, func(r Region) bool { return r.Name == c.Regions[0] })].handle(w)
				b := plains[slices.IndexFunc(all, func(r Region) bool { return r.Name == c.Regions[1] })].handle(w)
				l := conflictLine(c.Kind, c.Regions[0], c.Regions[1], a.rule, b.rule)
				if !slices.Contains(conflictKinds(a, b), c.Kind) || !want[l] {
					t.Fatalf("%+v: false: %+v, %+v", c, a, b)
				}
				delete(want, l)
			}
		}
		if len(want) > 0 {
			t.Fatalf("missed: %v\n%+v", want, all)
		}

		checkOrderAndReplace(t, x, all)
	})
}

// checkOrderAndReplace checks that the conflicts do not depend on the order of the regions, and that a replacement
// gives the same as a new index.
func checkOrderAndReplace(t *rapid.T, x *Index, all []Region) {
	told := Check(all)
	turned := slices.Clone(all)
	slices.Reverse(turned)
	if again := Check(turned); !reflect.DeepEqual(told, again) {
		t.Fatalf("in another order: %v, not %v", again, told)
	}
	for range 3 {
		at := rapid.IntRange(0, len(all)-1).Draw(t, "at")
		all[at] = drawRegion(t, all[at].Name, all[rapid.IntRange(0, len(all)-1).Draw(t, "from")].Routes)
		if got, want := x.Replace(all[at]), Check(all); !reflect.DeepEqual(got, want) {
			t.Fatalf("replaced:\n%v\nnot\n%v", got, want)
		}
	}
}

// expectedLoops returns the first region of each cycle in which a request loops, with its rule there.
func expectedLoops(all []*reference, w *Witness) (found []string) {
	next := make([][]int, len(all))
	rules := make([]string, len(all))
	for i, p := range all {
		got := p.handle(w)
		if rules[i] = got.rule; !got.isAccepted || got.gather != "" && w.Method == "HEAD" { // goes on as GET
			continue
		}
		for _, to := range p.services[got.service].Destinations {
			if j := slices.IndexFunc(all, func(q *reference) bool { return q.Listeners[0] == to }); j >= 0 {
				next[i] = append(next[i], j)
			}
		}
	}
	for i := range all { // which of those from i on lead back to i
		reach, queue := make(map[int]bool), []int{i}
		for len(queue) > 0 {
			for _, j := range next[queue[0]] {
				if j >= i && !reach[j] {
					reach[j] = true
					queue = append(queue, j)
				}
			}
			queue = queue[1:]
		}
		if reach[i] {
			found = append(found, conflictLine(LoopKind, all[i].Name, "", rules[i], ""))
		}
	}
	return found
}

// followLoop follows a loop's witness around the cycle in either direction; "" where it does not loop.
func followLoop(all []*reference, c Conflict) string {
	n := len(c.Regions)
	leads := func(i, j int) bool {
		p := all[slices.IndexFunc(all, func(p *reference) bool { return p.Name == c.Regions[i] })]
		got := p.handle(c.Witness)
		return got.isAccepted && !(got.gather != "" && c.Witness.Method == "HEAD") && got.rule == c.Rules[i] && slices.Contains(p.services[got.service].Destinations, c.Regions[j]+":80")
	}
	forth, back := true, true
	for i := range n {
		forth, back = forth && leads(i, (i+1)%n), back && leads((i+1)%n, i)
	}
	if !forth && !back {
		return ""
	}
	return conflictLine(LoopKind, c.Regions[0], "", c.Rules[0], "")
}

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

// The parts of the requests that the reference handles. They include every case that the rules drawn below distinguish.
var (
	sampleHosts        = []string{"", "y", "a.x", "b.x", "b.a.x", "c.a.x"}
	sampleMethods      = []string{"GET", "HEAD", "POST", "PATCH", "OPTIONS"}
	sampleHeaderValues = [][]string{nil, {"1"}, {"9"}, {"1", "1"}}
	samplePaths        = strings.Fields("/ /z /a /a/ /a/z /ab /ab/ /ab/z /b /b/ /b/z /a/a /a/a/ /a/a/z /a/b /a/b/ /a/b/z /read /write")
)

func eachSampleRequest(each func(*Witness)) {
	for _, host := range sampleHosts {
		for _, path := range samplePaths {
			for _, method := range sampleMethods {
				for _, a := range sampleHeaderValues {
					for _, b := range sampleHeaderValues[:3] {
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

// reference handles requests as the instances of one region do, with the real router.
type reference struct {
	Region
	router   *route.Router
	services map[string]Service
}

func newReference(t interface{ Fatalf(string, ...any) }, r Region) *reference {
	ref := &reference{Region: r, services: make(map[string]Service)}
	var rules []route.Rule
	for _, rule := range r.Routes {
		rules = append(rules, rule.Rule)
	}
	var problems []*route.RuleError
	if ref.router, problems = route.New(rules); problems != nil {
		t.Fatalf("route.New rejected the rules: %v", problems)
	}
	for _, s := range r.Services {
		ref.services[s.Name] = s
	}
	return ref
}

type referenceResult struct {
	rule, service, class, gather string
	isAccepted                   bool
	terms                        *control.Class
}

func (p *reference) handle(w *Witness) (result referenceResult) {
	i, ok := p.router.Find(w.Host, w.Path, w.Method, w.Headers)
	if !ok {
		return
	}
	matched := p.Routes[i]
	target := p.services[matched.Service]
	result = referenceResult{rule: matched.Name, service: matched.Service, class: matched.RequestClass, isAccepted: true}
	if matched.RequestClass == "" && target.GenericHTTP {
		result.class = "write"
		if slices.Contains([]string{"GET", "HEAD", "OPTIONS"}, w.Method) {
			result.class = "read"
		}
	} else if matched.RequestClass == "" {
		result.class = route.FirstSegment(w.Path)
	}
	for _, candidate := range target.Classes {
		if candidate.Name == result.class {
			result.terms = &candidate
		}
	}
	if target.Gather != "" {
		result.gather = target.Gather
		result.isAccepted = result.terms == nil || result.terms.Idempotency == control.Idempotent
		result.isAccepted = result.isAccepted && (w.Method == "GET" || w.Method == "HEAD" || matched.RequestClass != "" && w.Method != "OPTIONS")
	}
	if len(target.Classes) > 0 {
		result.isAccepted = result.isAccepted && result.terms != nil && (target.GenericHTTP || (result.terms.Idempotency == control.Idempotent) == (w.Method == "GET") && (w.Method == "GET" || w.Method == "POST"))
	}
	return result
}

// conflictKinds returns the kinds by which two regions handle a request differently.
func conflictKinds(a, b referenceResult) (kinds []Kind) {
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
	pick := func(label string, values ...string) string { return rapid.SampledFrom(values).Draw(t, label) }
	r := Region{Name: name, Instances: 1, Listeners: []string{name + ":80"}}
	drawClass := func(n string) control.Class {
		return control.Class{
			Name: n, Deadline: time.Duration(rapid.IntRange(1, 2).Draw(t, "deadline")) * time.Second,
			Idempotency: control.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), RepeatWindow: time.Duration(rapid.IntRange(0, 1).Draw(t, "window")),
		}
	}
	for i, n := range []string{"s", "t", "u"} {
		s := Service{Name: n, GenericHTTP: rapid.Bool().Draw(t, "ordinary")}
		for _, k := range [][]string{{"read", "write", "a"}, {"a", "b"}, {"read", "a"}, nil}[rapid.IntRange(0, 3).Draw(t, "classes")] {
			s.Classes = append(s.Classes, drawClass(k))
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
		rule := Route{RequestClass: pick("as", "", "", "a")}
		rule.Name, rule.Service = fmt.Sprint(name, i), pick("service", "s", "t", "u")
		rule.Host, rule.Method, rule.Class = pick("host", "", "", "a.x", "*.x", "*.a.x", "b.a.x"), pick("method", "", "", "GET", "POST"), pick("class", "", "", "a", "b")
		path := pick("path", "", "/a", "/ab", "/b", "/a/a", "/a/b")
		switch rapid.IntRange(0, 2).Draw(t, "form") {
		case 0:
			rule.Path = path + pick("end", "", "/")
		case 1:
			rule.Prefix = path
		}
		for _, h := range []string{"A", "B"} {
			switch rapid.IntRange(0, 4).Draw(t, h) {
			case 0:
				rule.Headers = append(rule.Headers, route.Header{Name: h, Any: true})
			case 1:
				rule.Headers = append(rule.Headers, route.Header{Name: h, Value: "1"})
			}
		}
		r.Routes = append(r.Routes, rule)
	}
	for { // rules that package route rejects are removed, since a file with them would not load
		var rules []route.Rule
		for _, rule := range r.Routes {
			rules = append(rules, rule.Rule)
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

func conflictKey(k Kind, a, b, ra, rb string) string {
	return fmt.Sprint(k, " ", a, " ", b, " ", ra, " ", rb)
}

// recordExpected records in want the conflicts that a request shows, and in reachable the rules that handle it.
func recordExpected(w *Witness, references []*reference, want, reachable map[string]bool) {
	var results []referenceResult
	for _, p := range references {
		results = append(results, p.handle(w))
		reachable[p.Name+results[len(results)-1].rule] = true
	}
	for i := range results {
		for j := range i {
			for _, k := range conflictKinds(results[j], results[i]) {
				want[conflictKey(k, references[j].Name, references[i].Name, results[j].rule, results[i].rule)] = true
			}
		}
	}
	for _, loop := range expectedLoops(references, w) {
		want[loop] = true
	}
}

// TestAgainstReference sends every request of a small set through the real routers, and checks that the
// conflicts that they show are all reported, and no others.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawRegions(t)
		var references []*reference
		for _, r := range all {
			references = append(references, newReference(t, r))
		}
		want, reachable := make(map[string]bool), make(map[string]bool)
		eachSampleRequest(func(w *Witness) { recordExpected(w, references, want, reachable) })
		for _, p := range references {
			for _, candidate := range p.Routes {
				if !reachable[p.Name+candidate.Name] {
					want[conflictKey(DeadKind, p.Name, "", candidate.Name, "")] = true
				}
			}
		}
		x := NewIndex(all)
		for _, c := range x.limitedConflicts(math.MaxInt) {
			w := c.Witness
			switch c.Kind {
			case DeadKind:
				key := conflictKey(DeadKind, c.Regions[0], "", c.Rules[0], "")
				if !want[key] {
					t.Fatalf("%+v: the rule is not dead", c)
				}
				delete(want, key)
			case LoopKind:
				key := followLoop(references, c)
				if key == "" {
					t.Fatalf("%+v: the witness does not loop", c)
				}
				delete(want, key)
			default:
				a := references[slices.IndexFunc(all, func(r Region) bool { return r.Name == c.Regions[0] })].handle(w)
				b := references[slices.IndexFunc(all, func(r Region) bool { return r.Name == c.Regions[1] })].handle(w)
				key := conflictKey(c.Kind, c.Regions[0], c.Regions[1], a.rule, b.rule)
				if !slices.Contains(conflictKinds(a, b), c.Kind) || !want[key] {
					t.Fatalf("%+v: the routers handle the witness as %+v and %+v, which is no such conflict", c, a, b)
				}
				delete(want, key)
			}
		}
		if len(want) > 0 {
			t.Fatalf("conflicts not reported: %v\nregions: %+v", want, all)
		}

		checkOrderAndReplace(t, x, all)
	})
}

// checkOrderAndReplace checks that the conflicts do not depend on the order of the regions, and that replacing a
// region gives the same conflicts as a new index.
func checkOrderAndReplace(t *rapid.T, x *Index, all []Region) {
	conflicts := Check(all)
	reorderedRegions := slices.Clone(all)
	slices.Reverse(reorderedRegions)
	if reorderedConflicts := Check(reorderedRegions); !reflect.DeepEqual(conflicts, reorderedConflicts) {
		t.Fatalf("conflicts with the regions in reverse order: got %v, want %v", reorderedConflicts, conflicts)
	}
	for range 3 {
		position := rapid.IntRange(0, len(all)-1).Draw(t, "at")
		all[position] = drawRegion(t, all[position].Name, all[rapid.IntRange(0, len(all)-1).Draw(t, "from")].Routes)
		if got, want := x.Replace(all[position]), Check(all); !reflect.DeepEqual(got, want) {
			t.Fatalf("conflicts after Replace: got\n%v\nwant\n%v", got, want)
		}
	}
}

// expectedLoops returns the first region of each cycle in which a request loops, with its rule there.
func expectedLoops(all []*reference, w *Witness) (found []string) {
	next := make([][]int, len(all))
	rules := make([]string, len(all))
	for i, p := range all {
		result := p.handle(w)
		if rules[i] = result.rule; !result.isAccepted || result.gather != "" && w.Method == "HEAD" { // forwarded as GET
			continue
		}
		for _, destination := range p.services[result.service].Destinations {
			if j := slices.IndexFunc(all, func(q *reference) bool { return q.Listeners[0] == destination }); j >= 0 {
				next[i] = append(next[i], j)
			}
		}
	}
	for i := range all { // whether a path through the regions from i on returns to i
		reached, queue := make(map[int]bool), []int{i}
		for len(queue) > 0 {
			for _, j := range next[queue[0]] {
				if j >= i && !reached[j] {
					reached[j] = true
					queue = append(queue, j)
				}
			}
			queue = queue[1:]
		}
		if reached[i] {
			found = append(found, conflictKey(LoopKind, all[i].Name, "", rules[i], ""))
		}
	}
	return found
}

// followLoop follows a loop's witness around the cycle in either direction and returns the conflict's key, or "" if
// the witness does not loop.
func followLoop(all []*reference, c Conflict) string {
	n := len(c.Regions)
	forwards := func(i, j int) bool {
		p := all[slices.IndexFunc(all, func(p *reference) bool { return p.Name == c.Regions[i] })]
		result := p.handle(c.Witness)
		return result.isAccepted && !(result.gather != "" && c.Witness.Method == "HEAD") && result.rule == c.Rules[i] && slices.Contains(p.services[result.service].Destinations, c.Regions[j]+":80")
	}
	isLoopForward, isLoopBackward := true, true
	for i := range n {
		isLoopForward, isLoopBackward = isLoopForward && forwards(i, (i+1)%n), isLoopBackward && forwards((i+1)%n, i)
	}
	if !isLoopForward && !isLoopBackward {
		return ""
	}
	return conflictKey(LoopKind, c.Regions[0], "", c.Rules[0], "")
}

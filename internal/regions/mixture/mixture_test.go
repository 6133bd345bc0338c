package mixture

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lockflow/control"
	"lockflow/internal/regions"
	"lockflow/internal/route"
)

// referenceCheck is a simple check of small fleets: routes by their prefix, and sums of hard limits. It finds
// nearly all that regions.Check does.
func referenceCheck(all []regions.Region) (found []regions.Conflict) {
	sums, most := map[string]float64{}, map[string]float64{}
	for i, a := range all {
		for _, s := range a.Services {
			for _, p := range s.Plans {
				sums[p.Name] += p.HardLimitRate * float64(a.Members) / float64(a.Instances)
				if most[p.Name] == 0 || p.HardLimitRate < most[p.Name] {
					most[p.Name] = p.HardLimitRate
				}
			}
		}
		for _, b := range all[i+1:] {
			tell := func(kind regions.Kind, sev regions.Severity, path string, rules ...string) {
				found = append(found, regions.Conflict{
					Kind: kind, Severity: sev, Regions: []string{a.Name, b.Name}, Rules: rules,
					Witness: &regions.Witness{Method: "GET", Path: path},
				})
			}
			for _, r := range a.Routes {
				o, ok := findByName(b.Routes, r.Name, func(r regions.Route) string { return r.Name })
				ka, _ := classOf(&a, r.Name, &regions.Witness{Path: r.Prefix})
				kb, _ := classOf(&b, r.Name, &regions.Witness{Path: r.Prefix})
				switch {
				case !ok:
					tell(regions.CoverageKind, regions.Warning, r.Prefix, r.Name)
				case o.Service != r.Service:
					tell(regions.ServiceKind, regions.Error, r.Prefix, r.Name, r.Name)
				case ka != kb:
					tell(regions.TermsKind, regions.Error, r.Prefix, r.Name, r.Name)
				}
			}
			for _, r := range b.Routes {
				if _, ok := findByName(a.Routes, r.Name, func(r regions.Route) string { return r.Name }); !ok {
					tell(regions.CoverageKind, regions.Warning, r.Prefix, r.Name)
				}
			}
		}
	}
	for plan, sum := range sums {
		if sum > most[plan]*1.0001 {
			found = append(found, regions.Conflict{Kind: regions.HardLimitKind, Severity: regions.Error, Rules: []string{plan}})
		}
	}
	return found
}

// parseRegion parses "north 4/8 gold=30 /x=app:read.free:2s ...": members of instances, hard limits, routes.
func parseRegion(text string) regions.Region {
	f := strings.Fields(text)
	r := regions.Region{Name: f[0], Listeners: []string{f[0] + ":80"}}
	if _, err := fmt.Sscanf(f[1], "%d/%d", &r.Members, &r.Instances); err != nil {
		panic(err)
	}
	s := map[string]*regions.Service{"app": {Name: "app", Source: "s"}}
	for _, w := range f[2:] {
		k, v, _ := strings.Cut(w, "=")
		if !strings.HasPrefix(k, "/") {
			p := control.Plan{Name: k, HardLimitBurst: 1}
			if _, err := fmt.Sscan(v, &p.HardLimitRate); err != nil {
				panic(err)
			}
			s["app"].Plans = append(s["app"].Plans, p)
			continue
		}
		part := strings.Split(v+"::", ":")
		if s[part[0]] == nil {
			s[part[0]] = &regions.Service{Name: part[0], Source: "s" + part[0]}
		}
		name, effect, _ := strings.Cut(part[1], ".")
		class := control.Class{Name: name, Idempotency: map[string]control.Idempotency{"": 0, "free": 0, "keyed": 1, "never": 2}[effect], Deadline: time.Second, LatencyObjective: time.Second}
		if d, err := time.ParseDuration(part[2]); err == nil {
			class.Deadline = d
		}
		s[part[0]].Classes = append(s[part[0]].Classes, class)
		r.Routes = append(r.Routes, regions.Route{Rule: route.Rule{Name: k, Prefix: k, Service: part[0]}, RequestClass: name})
	}
	for _, one := range s {
		r.Services = append(r.Services, *one)
	}
	slices.SortFunc(r.Services, func(a, b regions.Service) int { return strings.Compare(a.Name, b.Name) })
	return r
}

func parseFleet(text string) (all []regions.Region) {
	for _, line := range strings.Split(text, "|") {
		all = append(all, parseRegion(line))
	}
	return all
}

func TestOrder(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, order, circle, first string }{
		"nothing changes":                   {"n 1/1 /x=a:r|s 1/1 /x=a:r", "n 1/1 /x=a:r|s 1/1 /x=a:r", "", "", ""},
		"one route of one":                  {"n 1/1 /x=a:r", "n 1/1 /x=b:r", "n", "", ""},
		"a ceiling goes over":               {"n 4/8 g=40|s 4/8 g=40", "n 4/5 g=40|s 4/20 g=40", "s n", "", ""},
		"a group grows, and is told before": {"n 4/8 g=9|s 4/8 g=9", "n 8/12 g=9|s 4/12 g=9", "s n", "n", "n"},
		"a region comes":                    {"n 4/4 g=9", "n 4/8 g=9|s 4/8 g=9", "n s", "", ""},
		"a region goes":                     {"n 4/8 g=9|s 4/8 g=9", "n 4/4 g=9", "s n", "", ""},
		"terms get stricter":                {"n 1/1 /x=a:w.free|s 1/1 /x=a:w.free", "n 1/1 /x=a:w.never|s 1/1 /x=a:w.never", "n s", "", ""},
		"both move a route":                 {"n 1/1 /x=a:r|s 1/1 /x=a:r|w 1/1", "n 1/1 /x=b:r|s 1/1 /x=b:r|w 1/1 g=1", "", "n s", ""},
		"a ceiling rises everywhere":        {"n 4/8 g=30|s 4/8 g=30", "n 4/8 g=40|s 4/8 g=40", "n s", "", ""},
		"terms that cross":                  {"n 1/1 /x=a:w.free:1s|s 1/1 /x=a:w.free:1s", "n 1/1 /x=a:w.never:9s|s 1/1 /x=a:w.never:9s", "n s", "n", "n s"},
		"ceilings swap":                     {"n 1/4 a=12 b=8|s 1/4 a=8 b=12|w 1/3 a=8 b=8", "n 1/4 a=8 b=12|s 1/4 a=12 b=8|w 1/3 a=8 b=8", "n s", "n s", "n s"},
	} {
		r := Order(parseFleet(tc.old), parseFleet(tc.new), regions.Check)
		if again := Order(parseFleet(tc.old), parseFleet(tc.new), NewIncrementalCheck()); !reflect.DeepEqual(r, again) {
			t.Errorf("%s: incremental check %+v\nand not %+v", name, again, r)
		}
		if name == "one route of one" && len(r.Transient) != 1 {
			t.Errorf("%s: passing %+v", name, r.Transient)
		}
		got := []string{strings.Join(r.Order, " "), strings.Join(r.Cycle, " "), strings.Join(r.IntermediateOrder, " ")}
		if !slices.Equal(got, []string{tc.order, tc.circle, tc.first}) {
			t.Errorf("%s: order, circle, first %q\n%+v", name, got, r)
		}
	}
}

// drawFleet draws a fleet of a few regions.
func drawFleet(t *rapid.T, n int, tag string) (all []regions.Region) {
	for i := range n {
		text := fmt.Sprintf("r%d %d/%d", i, rapid.IntRange(2, 3).Draw(t, tag+"members"), rapid.IntRange(3, 12).Draw(t, tag+"instances"))
		for _, plan := range []string{"g", "h"} {
			text += fmt.Sprintf(" %s=%d", plan, rapid.IntRange(1, 2).Draw(t, tag+plan))
		}
		if rapid.IntRange(0, 3).Draw(t, tag+"route") > 0 {
			text += " /x=" + rapid.SampledFrom([]string{"app:k", "app:k", "b:k", "app:k.never:2s", "app:k.never"}).Draw(t, tag+"x")
		}
		all = append(all, parseRegion(text))
	}
	return all
}

// An order is found if and only if one of all orders has no new conflict, and it is one of these.
func TestOrderAgainstAll(t *testing.T) {
	found, circles := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "n")
		old, new := drawFleet(t, n, "old"), drawFleet(t, n, "new")
		for i := range new {
			if rapid.Bool().Draw(t, "same") {
				new[i] = old[i]
			}
		}
		r := Order(old, new, referenceCheck)
		if len(r.Order) > 0 {
			found++
		}
		ends := map[string]bool{}
		for _, c := range append(referenceCheck(old), referenceCheck(new)...) {
			ends[conflictKey(c)] = true
		}
		from := old
		if len(r.Intermediate) > 0 {
			mid := slices.Clone(old)
			for _, m := range r.Intermediate {
				mid[slices.IndexFunc(mid, func(o regions.Region) bool { return o.Name == m.Name })] = m
			}
			if why := firstViolation(old, mid, r.IntermediateOrder, ends, old, new); why != "" {
				t.Fatalf("to the intermediate: %s", why)
			}
			from = mid
		}
		if r.Order != nil {
			if why := firstViolation(from, new, r.Order, ends, old, new); why != "" {
				t.Fatalf("%v: %s", r.Order, why)
			}
		}
		if r.Cycle != nil {
			circles++
			var names []string
			for i := range old {
				if !isEqual(&old[i], &new[i]) {
					names = append(names, old[i].Name)
				}
			}
			permute(names, 0, func(order []string) {
				if why := firstViolation(old, new, order, ends, old, new); why == "" && len(r.Intermediate) == 0 {
					t.Fatalf("%v will do", order)
				}
			})
			for _, c := range r.Cycle {
				if !slices.Contains(names, c) && len(r.Intermediate) == 0 {
					t.Fatalf("%s of the circle does not change", c)
				}
			}
			if len(r.Blocked) == 0 {
				t.Fatal("nothing is said of why")
			}
		}
	})
	if found == 0 || circles == 0 { // of a hundred usually 70 and 12
		t.Errorf("drew %d with an order, %d with a circle", found, circles)
	}
}

func permute(names []string, k int, do func([]string)) {
	if k == len(names) {
		do(names)
	}
	for i := k; i < len(names); i++ {
		names[k], names[i] = names[i], names[k]
		permute(names, k+1, do)
		names[k], names[i] = names[i], names[k]
	}
}

// totalRate returns what regions admit of a plan, in units a second.
func totalRate(all []regions.Region, plan string) (sum float64) {
	for _, r := range all {
		for _, s := range r.Services {
			if p, ok := findByName(s.Plans, plan, planName); ok {
				sum += p.HardLimitRate * float64(r.Members) / float64(r.Instances)
			}
		}
	}
	return sum
}

// firstViolation changes regions one member after another, and returns the first error that neither end has.
func firstViolation(old, new []regions.Region, order []string, ends map[string]bool, whole ...[]regions.Region) string {
	now := slices.Clone(old)
	for _, name := range order {
		i := slices.IndexFunc(now, func(r regions.Region) bool { return r.Name == name })
		was, is := old[i], new[i]
		for b := 0; b <= is.Members; b++ {
			for a := 0; a <= was.Members && a+b <= max(was.Members, is.Members); a++ {
				if b < is.Members && a+b < min(was.Members, is.Members) {
					continue // some are away
				}
				one, two := was, is
				one.Members, two.Members = a, b
				one.Name, two.Name = name+oldGeneration, name+newGeneration
				all := slices.DeleteFunc(append(slices.Delete(slices.Clone(now), i, i+1), one, two), func(r regions.Region) bool { return r.Members == 0 })
				in := map[string]*regions.Region{}
				for j := range all {
					in[all[j].Name] = &all[j]
				}
				for _, c := range referenceCheck(all) {
					if ends[conflictKey(c)] || c.Severity != regions.Error || c.Kind == regions.ServiceKind && len(WithoutGenerations(c).Regions) == 1 {
						continue
					}
					if c.Kind == regions.HardLimitKind && (totalRate(all, c.Rules[0]) <= totalRate(whole[0], c.Rules[0])*1.0001 || totalRate(all, c.Rules[0]) <= totalRate(whole[1], c.Rules[0])*1.0001) {
						continue
					}
					if c.Kind == regions.TermsKind {
						k, _ := classOf(in[c.Regions[0]], c.Rules[0], c.Witness)
						l, _ := classOf(in[c.Regions[1]], c.Rules[1], c.Witness)
						if isStricterOrEqual(k, l) || isStricterOrEqual(l, k) {
							continue
						}
					}
					return fmt.Sprintf("%s: %d of old, %d of new: %+v", name, a, b, c)
				}
			}
		}
		now[i] = is
	}
	return ""
}

// groupSums returns what so many members of a region admit together, by what is limited.
func groupSums(r regions.Region, members int) map[string]float64 {
	all := make(map[string]float64)
	for _, s := range r.Services {
		for _, p := range s.Plans {
			rate, burst, slack := p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack
			if rate == 0 {
				rate, burst, slack = math.Inf(1), math.Inf(1), math.Inf(1)
			}
			if members == 0 {
				rate, burst, slack = 0, 0, 0
			}
			n := float64(members) / float64(r.Instances)
			all[p.Name+" rate"], all[p.Name+" burst"], all[p.Name+" slack"] = rate*n, burst*n, slack*n
		}
		for _, at := range []time.Duration{0, time.Second, 5 * time.Second, 9 * time.Second} {
			budget := math.Inf(1)
			if at < s.SlowStart.WarmupTime {
				w := s.SlowStart.InitialCapacity + (1-s.SlowStart.InitialCapacity)*float64(at)/float64(s.SlowStart.WarmupTime)
				budget = max(0.32*w*s.SlowStart.OverloadMultiple, 1/float64(r.Instances))
			}
			if members == 0 {
				budget = 0
			}
			all["cold at "+at.String()] = budget * float64(members) / float64(r.Instances)
		}
	}
	return all
}

// In each phase, whichever members of a region have changed, all sums are within those of one end.
func TestPhasesHoldSums(t *testing.T) {
	// settings draws figures; like, where it is not nil, are those of settings that most are the same as.
	settings := func(t *rapid.T, like []int) (r regions.Region, drawn []int) {
		draw := func(least, most int) int {
			if i := len(drawn); i < len(like) && rapid.IntRange(0, 5).Draw(t, "keep") > 0 {
				drawn = append(drawn, like[i])
			} else {
				drawn = append(drawn, rapid.IntRange(least, most).Draw(t, "figure"))
			}
			return drawn[len(drawn)-1]
		}
		r = regions.Region{Instances: draw(1, 6), Members: draw(1, 6)}
		plan := control.Plan{Name: "g", HardLimitRate: float64(draw(0, 3))}
		if burst, slack := draw(1, 3), draw(1, 3); plan.HardLimitRate > 0 {
			plan.HardLimitBurst, plan.HardLimitSlack = float64(burst), float64(slack)
		}
		class := control.Class{Name: "k", Idempotency: control.Idempotency(draw(0, 2)), Deadline: time.Duration(draw(1, 3)) * time.Second}
		if scope, window := draw(0, 2), draw(1, 3); class.Idempotency == control.IdempotentWithKey {
			class.KeyScope, class.RepeatWindow = control.KeyScope(scope), time.Duration(window)
		}
		r.Services = []regions.Service{{
			Name: "a", Plans: []control.Plan{plan}, Classes: []control.Class{class},
			SlowStart: regions.SlowStart{WarmupTime: time.Duration(draw(0, 2)) * 4 * time.Second, InitialCapacity: float64(draw(0, 3)) / 4, OverloadMultiple: float64(draw(1, 3))},
		}}
		return r, drawn
	}
	needed := 0
	rapid.Check(t, func(t *rapid.T) {
		old, drawn := settings(t, nil)
		new, _ := settings(t, drawn)
		all := append([]regions.Region{old}, append(Phases(old, new), new)...)
		needed += len(all) - 2
		for i := range all[1:] {
			a, b := all[i], all[i+1]
			most := max(a.Members, b.Members)
			within := func(end regions.Region, left, changed int) bool {
				one, two, top := groupSums(a, left), groupSums(b, changed), groupSums(end, end.Members)
				for k := range top {
					if one[k]+two[k] > top[k]+1e-9 {
						return false
					}
				}
				return true
			}
			for changed := 0; changed <= b.Members; changed++ {
				for left := 0; left <= a.Members && left+changed <= most; left++ {
					if !within(a, left, changed) && !within(b, left, changed) {
						t.Fatalf("phase %d, %d left and %d changed: more than either end\n%+v\n%+v", i, left, changed, a, b)
					}
				}
			}
			k, l := a.Services[0].Classes[0], b.Services[0].Classes[0]
			if !isStricterOrEqual(k, l) && !isStricterOrEqual(l, k) {
				t.Fatalf("terms cross: %+v, %+v", k, l)
			}
		}
	})
	if needed == 0 {
		t.Error("no pair needed an intermediate")
	}
}

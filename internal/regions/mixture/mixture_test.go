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

// referenceCheck is a simple check of small fleets. It compares routes by their prefix, and sums hard limits. It
// finds nearly all conflicts that regions.Check does.
func referenceCheck(all []regions.Region) (found []regions.Conflict) {
	sums, smallestRates := map[string]float64{}, map[string]float64{}
	for i, a := range all {
		for _, s := range a.Services {
			for _, p := range s.Plans {
				sums[p.Name] += p.HardLimitRate * float64(a.Members) / float64(a.Instances)
				if smallestRates[p.Name] == 0 || p.HardLimitRate < smallestRates[p.Name] {
					smallestRates[p.Name] = p.HardLimitRate
				}
			}
		}
		for _, b := range all[i+1:] {
			report := func(kind regions.Kind, severity regions.Severity, path string, rules ...string) {
				found = append(found, regions.Conflict{
					Kind: kind, Severity: severity, Regions: []string{a.Name, b.Name}, Rules: rules,
					Witness: &regions.Witness{Method: "GET", Path: path},
				})
			}
			for _, r := range a.Routes {
				other, ok := findByName(b.Routes, r.Name, func(r regions.Route) string { return r.Name })
				classA, _ := classOf(&a, r.Name, &regions.Witness{Path: r.Prefix})
				classB, _ := classOf(&b, r.Name, &regions.Witness{Path: r.Prefix})
				switch {
				case !ok:
					report(regions.CoverageKind, regions.Warning, r.Prefix, r.Name)
				case other.Service != r.Service:
					report(regions.ServiceKind, regions.Error, r.Prefix, r.Name, r.Name)
				case classA != classB:
					report(regions.TermsKind, regions.Error, r.Prefix, r.Name, r.Name)
				}
			}
			for _, r := range b.Routes {
				if _, ok := findByName(a.Routes, r.Name, func(r regions.Route) string { return r.Name }); !ok {
					report(regions.CoverageKind, regions.Warning, r.Prefix, r.Name)
				}
			}
		}
	}
	for plan, sum := range sums {
		if sum > smallestRates[plan]*1.0001 {
			found = append(found, regions.Conflict{Kind: regions.HardLimitKind, Severity: regions.Error, Rules: []string{plan}})
		}
	}
	return found
}

// parseRegion parses "north 4/8 gold=30 /x=app:read.free:2s ...": name, members/group size, hard limits and routes.
func parseRegion(text string) regions.Region {
	fields := strings.Fields(text)
	r := regions.Region{Name: fields[0], Listeners: []string{fields[0] + ":80"}}
	if _, err := fmt.Sscanf(fields[1], "%d/%d", &r.Members, &r.Instances); err != nil {
		panic(err)
	}
	services := map[string]*regions.Service{"app": {Name: "app", Source: "s"}}
	for _, field := range fields[2:] {
		k, v, _ := strings.Cut(field, "=")
		if !strings.HasPrefix(k, "/") {
			p := control.Plan{Name: k, HardLimitBurst: 1}
			if _, err := fmt.Sscan(v, &p.HardLimitRate); err != nil {
				panic(err)
			}
			services["app"].Plans = append(services["app"].Plans, p)
			continue
		}
		parts := strings.Split(v+"::", ":")
		if services[parts[0]] == nil {
			services[parts[0]] = &regions.Service{Name: parts[0], Source: "s" + parts[0]}
		}
		name, idempotency, _ := strings.Cut(parts[1], ".")
		class := control.Class{Name: name, Idempotency: map[string]control.Idempotency{"": 0, "free": 0, "keyed": 1, "never": 2}[idempotency], Deadline: time.Second, LatencyObjective: time.Second}
		if d, err := time.ParseDuration(parts[2]); err == nil {
			class.Deadline = d
		}
		services[parts[0]].Classes = append(services[parts[0]].Classes, class)
		r.Routes = append(r.Routes, regions.Route{Rule: route.Rule{Name: k, Prefix: k, Service: parts[0]}, RequestClass: name})
	}
	for _, service := range services {
		r.Services = append(r.Services, *service)
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
	for name, tc := range map[string]struct{ old, new, order, cycle, intermediateOrder string }{
		"no change":                             {"n 1/1 /x=a:r|s 1/1 /x=a:r", "n 1/1 /x=a:r|s 1/1 /x=a:r", "", "", ""},
		"one region moves a route":              {"n 1/1 /x=a:r", "n 1/1 /x=b:r", "n", "", ""},
		"hard limit shifts to another region":   {"n 4/8 g=40|s 4/8 g=40", "n 4/5 g=40|s 4/20 g=40", "s n", "", ""},
		"group size grows before members join":  {"n 4/8 g=9|s 4/8 g=9", "n 8/12 g=9|s 4/12 g=9", "s n", "n", "n"},
		"region joins":                          {"n 4/4 g=9", "n 4/8 g=9|s 4/8 g=9", "n s", "", ""},
		"region leaves":                         {"n 4/8 g=9|s 4/8 g=9", "n 4/4 g=9", "s n", "", ""},
		"retry terms become stricter":           {"n 1/1 /x=a:w.free|s 1/1 /x=a:w.free", "n 1/1 /x=a:w.never|s 1/1 /x=a:w.never", "n s", "", ""},
		"two regions move a route":              {"n 1/1 /x=a:r|s 1/1 /x=a:r|w 1/1", "n 1/1 /x=b:r|s 1/1 /x=b:r|w 1/1 g=1", "", "n s", ""},
		"hard limit rises in all regions":       {"n 4/8 g=30|s 4/8 g=30", "n 4/8 g=40|s 4/8 g=40", "n s", "", ""},
		"retry terms become stricter and laxer": {"n 1/1 /x=a:w.free:1s|s 1/1 /x=a:w.free:1s", "n 1/1 /x=a:w.never:9s|s 1/1 /x=a:w.never:9s", "n s", "n", "n s"},
		"regions swap hard limits":              {"n 1/4 a=12 b=8|s 1/4 a=8 b=12|w 1/3 a=8 b=8", "n 1/4 a=8 b=12|s 1/4 a=12 b=8|w 1/3 a=8 b=8", "n s", "n s", "n s"},
	} {
		r := Order(parseFleet(tc.old), parseFleet(tc.new), regions.Check)
		if incremental := Order(parseFleet(tc.old), parseFleet(tc.new), NewIncrementalCheck()); !reflect.DeepEqual(r, incremental) {
			t.Errorf("%s: result with the incremental check %+v\nwant %+v", name, incremental, r)
		}
		if name == "one region moves a route" && len(r.Transient) != 1 {
			t.Errorf("%s: transient conflicts, want 1: %+v", name, r.Transient)
		}
		got := []string{strings.Join(r.Order, " "), strings.Join(r.Cycle, " "), strings.Join(r.IntermediateOrder, " ")}
		if !slices.Equal(got, []string{tc.order, tc.cycle, tc.intermediateOrder}) {
			t.Errorf("%s: order, cycle and intermediate order %q\n%+v", name, got, r)
		}
	}
}

// drawFleet draws a fleet of n regions.
func drawFleet(t *rapid.T, n int, labelPrefix string) (all []regions.Region) {
	for i := range n {
		text := fmt.Sprintf("r%d %d/%d", i, rapid.IntRange(2, 3).Draw(t, labelPrefix+"members"), rapid.IntRange(3, 12).Draw(t, labelPrefix+"instances"))
		for _, plan := range []string{"g", "h"} {
			text += fmt.Sprintf(" %s=%d", plan, rapid.IntRange(1, 2).Draw(t, labelPrefix+plan))
		}
		if rapid.IntRange(0, 3).Draw(t, labelPrefix+"route") > 0 {
			text += " /x=" + rapid.SampledFrom([]string{"app:k", "app:k", "b:k", "app:k.never:2s", "app:k.never"}).Draw(t, labelPrefix+"x")
		}
		all = append(all, parseRegion(text))
	}
	return all
}

// TestOrderAgainstAllPermutations checks that an order is found if and only if some permutation of the regions
// has no new conflict, and that the order found has none.
func TestOrderAgainstAllPermutations(t *testing.T) {
	found, cycles := 0, 0
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
		endConflicts := map[string]bool{}
		for _, c := range append(referenceCheck(old), referenceCheck(new)...) {
			endConflicts[conflictKey(c)] = true
		}
		phaseStart := old
		if len(r.Intermediate) > 0 {
			intermediate := slices.Clone(old)
			for _, m := range r.Intermediate {
				intermediate[slices.IndexFunc(intermediate, func(o regions.Region) bool { return o.Name == m.Name })] = m
			}
			if violation := firstViolation(old, intermediate, r.IntermediateOrder, endConflicts, old, new); violation != "" {
				t.Fatalf("change to the intermediate configurations: %s", violation)
			}
			phaseStart = intermediate
		}
		if r.Order != nil {
			if violation := firstViolation(phaseStart, new, r.Order, endConflicts, old, new); violation != "" {
				t.Fatalf("order %v: %s", r.Order, violation)
			}
		}
		if r.Cycle != nil {
			cycles++
			var names []string
			for i := range old {
				if !isEqual(&old[i], &new[i]) {
					names = append(names, old[i].Name)
				}
			}
			permute(names, 0, func(order []string) {
				if violation := firstViolation(old, new, order, endConflicts, old, new); violation == "" && len(r.Intermediate) == 0 {
					t.Fatalf("no order was found, but %v has no new conflict", order)
				}
			})
			for _, c := range r.Cycle {
				if !slices.Contains(names, c) && len(r.Intermediate) == 0 {
					t.Fatalf("region %s of the cycle does not change", c)
				}
			}
			if len(r.Blocked) == 0 {
				t.Fatal("a cycle has no blocking conflicts")
			}
		}
	})
	if found == 0 || cycles == 0 { // of 100 draws usually 70 and 12
		t.Errorf("drew %d changes with an order and %d with a cycle, want some of both", found, cycles)
	}
}

func permute(names []string, k int, visit func([]string)) {
	if k == len(names) {
		visit(names)
	}
	for i := k; i < len(names); i++ {
		names[k], names[i] = names[i], names[k]
		permute(names, k+1, visit)
		names[k], names[i] = names[i], names[k]
	}
}

// totalRate returns the rate that regions together admit for a plan, in units a second.
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

// firstViolation changes the regions in order, member by member, and returns the first conflict of severity
// error that neither end of the change has.
func firstViolation(old, new []regions.Region, order []string, endConflicts map[string]bool, changeEnds ...[]regions.Region) string {
	current := slices.Clone(old)
	for _, name := range order {
		i := slices.IndexFunc(current, func(r regions.Region) bool { return r.Name == name })
		before, after := old[i], new[i]
		for newMembers := 0; newMembers <= after.Members; newMembers++ {
			for oldMembers := 0; oldMembers <= before.Members && oldMembers+newMembers <= max(before.Members, after.Members); oldMembers++ {
				if newMembers < after.Members && oldMembers+newMembers < min(before.Members, after.Members) {
					continue // some members run neither configuration
				}
				oldPart, newPart := before, after
				oldPart.Members, newPart.Members = oldMembers, newMembers
				oldPart.Name, newPart.Name = name+oldGeneration, name+newGeneration
				all := slices.DeleteFunc(append(slices.Delete(slices.Clone(current), i, i+1), oldPart, newPart), func(r regions.Region) bool { return r.Members == 0 })
				configurations := map[string]*regions.Region{}
				for j := range all {
					configurations[all[j].Name] = &all[j]
				}
				for _, c := range referenceCheck(all) {
					if endConflicts[conflictKey(c)] || c.Severity != regions.Error || c.Kind == regions.ServiceKind && len(WithoutGenerations(c).Regions) == 1 {
						continue
					}
					if c.Kind == regions.HardLimitKind && (totalRate(all, c.Rules[0]) <= totalRate(changeEnds[0], c.Rules[0])*1.0001 || totalRate(all, c.Rules[0]) <= totalRate(changeEnds[1], c.Rules[0])*1.0001) {
						continue
					}
					if c.Kind == regions.TermsKind {
						classA, _ := classOf(configurations[c.Regions[0]], c.Rules[0], c.Witness)
						classB, _ := classOf(configurations[c.Regions[1]], c.Rules[1], c.Witness)
						if isStricterOrEqual(classA, classB) || isStricterOrEqual(classB, classA) {
							continue
						}
					}
					return fmt.Sprintf("%s: %d members with the old and %d with the new configuration: %+v", name, oldMembers, newMembers, c)
				}
			}
		}
		current[i] = after
	}
	return ""
}

// groupSums returns what the given number of a region's members together admit, by the name of the limit.
func groupSums(r regions.Region, members int) map[string]float64 {
	sums := make(map[string]float64)
	for _, s := range r.Services {
		for _, p := range s.Plans {
			rate, burst, slack := p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack
			if rate == 0 {
				rate, burst, slack = math.Inf(1), math.Inf(1), math.Inf(1)
			}
			if members == 0 {
				rate, burst, slack = 0, 0, 0
			}
			groups := float64(members) / float64(r.Instances)
			sums[p.Name+" rate"], sums[p.Name+" burst"], sums[p.Name+" slack"] = rate*groups, burst*groups, slack*groups
		}
		for _, elapsed := range []time.Duration{0, time.Second, 5 * time.Second, 9 * time.Second} {
			budget := math.Inf(1)
			if elapsed < s.SlowStart.WarmupTime {
				capacity := s.SlowStart.InitialCapacity + (1-s.SlowStart.InitialCapacity)*float64(elapsed)/float64(s.SlowStart.WarmupTime)
				budget = max(0.32*capacity*s.SlowStart.OverloadMultiple, 1/float64(r.Instances))
			}
			if members == 0 {
				budget = 0
			}
			sums["slow start at "+elapsed.String()] = budget * float64(members) / float64(r.Instances)
		}
	}
	return sums
}

// TestPhasesBoundSums checks that in each phase, whichever members of a region have changed, all sums are bounded by
// those of one of the phase's two configurations.
func TestPhasesBoundSums(t *testing.T) {
	// drawSettings draws a region and returns it with the drawn numbers. Most of them are copied from template,
	// if it is not nil.
	drawSettings := func(t *rapid.T, template []int) (r regions.Region, drawn []int) {
		draw := func(minimum, maximum int) int {
			if i := len(drawn); i < len(template) && rapid.IntRange(0, 5).Draw(t, "keep") > 0 {
				drawn = append(drawn, template[i])
			} else {
				drawn = append(drawn, rapid.IntRange(minimum, maximum).Draw(t, "figure"))
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
	intermediates := 0
	rapid.Check(t, func(t *rapid.T) {
		old, drawn := drawSettings(t, nil)
		new, _ := drawSettings(t, drawn)
		all := append([]regions.Region{old}, append(Phases(old, new), new)...)
		intermediates += len(all) - 2
		for i := range all[1:] {
			a, b := all[i], all[i+1]
			maximum := max(a.Members, b.Members)
			isBoundedByEnd := func(end regions.Region, remaining, changed int) bool {
				oldSums, newSums, endSums := groupSums(a, remaining), groupSums(b, changed), groupSums(end, end.Members)
				for k := range endSums {
					if oldSums[k]+newSums[k] > endSums[k]+1e-9 {
						return false
					}
				}
				return true
			}
			for changed := 0; changed <= b.Members; changed++ {
				for remaining := 0; remaining <= a.Members && remaining+changed <= maximum; remaining++ {
					if !isBoundedByEnd(a, remaining, changed) && !isBoundedByEnd(b, remaining, changed) {
						t.Fatalf("phase %d, %d members unchanged and %d changed: sums exceed those of both configurations\n%+v\n%+v", i, remaining, changed, a, b)
					}
				}
			}
			k, l := a.Services[0].Classes[0], b.Services[0].Classes[0]
			if !isStricterOrEqual(k, l) && !isStricterOrEqual(l, k) {
				t.Fatalf("neither class is stricter in every respect: %+v, %+v", k, l)
			}
		}
	})
	if intermediates == 0 {
		t.Error("no drawn pair needed an intermediate configuration")
	}
}

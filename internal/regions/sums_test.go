package regions

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/route"
)

// sumConflictsOf returns the conflicts of regions with the given sizes: the configured group size and the number of
// members of each region.
func sumConflictsOf(change func(i int, r *Region), sizes ...[2]int) (conflicts []Conflict) {
	var all []Region
	for i, s := range sizes {
		r := Region{Name: string(rune('a' + i)), Instances: s[0], Members: s[1], Services: []Service{{
			Name:    "s",
			Plans:   []control.Plan{{Name: "p", HardLimitRate: 100, HardLimitBurst: 50, HardLimitSlack: 10}},
			Servers: []string{"1", fmt.Sprint("own", i)}, SlowStart: SlowStart{WarmupTime: 15 * time.Second, InitialCapacity: 0.15, OverloadMultiple: 2.5},
		}}}
		change(i, &r)
		all = append(all, r)
	}
	return Check(all)
}

func TestSums(t *testing.T) {
	unchanged := func(int, *Region) {}
	changePlan := func(f func(i int, p *control.Plan)) func(int, *Region) {
		return func(i int, r *Region) { f(i, &r.Services[0].Plans[0]) }
	}
	changeSlowStart := func(f func(i int, s *Service)) func(int, *Region) {
		return func(i int, r *Region) {
			r.Services[0].Plans = nil
			f(i, &r.Services[0])
		}
	}
	twoRegions, fourRegions, groupsOfOne := [][2]int{{2, 1}, {2, 1}}, [][2]int{{4, 1}, {4, 1}, {4, 1}, {4, 1}}, [][2]int{{1, 1}, {1, 1}}
	for name, tc := range map[string]struct {
		change func(int, *Region)
		sizes  [][2]int
		want   string // kind, severity and part of why; "" is no conflict
	}{
		"regions form one complete group":   {unchanged, twoRegions, ""},
		"group sizes cover one region each": {unchanged, groupsOfOne, "ceiling error let 200 units a second"},
		"one member above the group size":   {unchanged, [][2]int{{2, 1}, {2, 2}}, "ceiling error let 150 units"},
		"fewer members than the group size": {unchanged, [][2]int{{9, 1}, {9, 2}}, ""},
		"one region above its group size":   {unchanged, [][2]int{{4, 5}}, "ceiling error let 125 units"},
		"number of members unknown":         {unchanged, [][2]int{{2, 0}, {2, 1}}, "ceiling warning members unknown"},
		"one region without a hard limit":   {changePlan(func(i int, p *control.Plan) { p.HardLimitRate *= float64(i) }), twoRegions, "ceiling error none in a"},
		"smallest hard limit applies":       {changePlan(func(i int, p *control.Plan) { p.HardLimitRate += float64(10 * i) }), twoRegions, "ceiling error let 105 units a second through, the ceiling is 100"},
		"bursts within the slack":           {changePlan(func(i int, p *control.Plan) { p.HardLimitBurst += float64(20 * i) }), twoRegions, ""},
		"bursts above the slack":            {changePlan(func(i int, p *control.Plan) { p.HardLimitBurst += float64(21 * i) }), twoRegions, "ceiling error at once"},
		"different services":                {func(_ int, r *Region) { r.Services[0].Name = r.Name }, groupsOfOne, ""},
		"one shared counter":                {func(_ int, r *Region) { r.Services[0].Name, r.Services[0].Counter, r.Shared = r.Name, "c", true }, groupsOfOne, "ceiling error let 200"},
		"one counter, not shared":           {func(_ int, r *Region) { r.Services[0].Name, r.Services[0].Counter = r.Name, "c" }, groupsOfOne, ""},

		"three server lists":                          {changeSlowStart(func(int, *Service) {}), fourRegions[:3], ""},
		"four server lists":                           {changeSlowStart(func(int, *Service) {}), fourRegions, "cold error 0.48 of a warm one's work together, it falls at 0.375"},
		"one server list":                             {changeSlowStart(func(_ int, s *Service) { s.Servers = []string{"1", "2"} }), fourRegions, ""},
		"one server source":                           {changeSlowStart(func(_ int, s *Service) { s.Servers, s.Source = nil, "agent" }), fourRegions, ""},
		"one region without slow start":               {changeSlowStart(func(i int, s *Service) { s.SlowStart.WarmupTime *= time.Duration(i) }), twoRegions, "cold error it falls at 0.375"},
		"two regions above their group sizes":         {changeSlowStart(func(int, *Service) {}), [][2]int{{1, 2}, {1, 2}}, "cold error 4 requests a second"},
		"one region above its group size, slow start": {changeSlowStart(func(int, *Service) {}), [][2]int{{1, 4}}, "cold error 4 requests a second"},
		"no overload multiple":                        {changeSlowStart(func(_ int, s *Service) { s.SlowStart.OverloadMultiple = 0 }), fourRegions, ""},
		"different initial capacities":                {changeSlowStart(func(i int, s *Service) { s.SlowStart.InitialCapacity += 0.85 * float64(i) }), twoRegions, "cold error it falls at 0.375"},
	} {
		t.Run(name, func(t *testing.T) {
			conflicts := sumConflictsOf(tc.change, tc.sizes...)
			if len(conflicts) > 1 || len(conflicts) != min(1, len(tc.want)) {
				t.Fatalf("unexpected number of conflicts: %v", conflicts)
			}
			for _, c := range conflicts {
				words := strings.SplitN(tc.want, " ", 3)
				if string(c.Kind) != words[0] || string(c.Severity) != words[1] || !strings.Contains(c.Why, words[2]) || len(c.Regions) != len(tc.sizes) {
					t.Errorf("unexpected conflict: %+v", c)
				}
			}
		})
	}
}

// TestLoops checks that loops are found which depend on headers, and none where a required header is not forwarded.
func TestLoops(t *testing.T) {
	rule := func(name, service string, h ...route.Header) Route {
		return Route{Rule: route.Rule{Name: name, Service: service, Headers: h}}
	}
	any := func(name string) route.Header { return route.Header{Name: name, Any: true} }
	for name, tc := range map[string]struct {
		isGenericHTTP bool
		routes        []Route
		want          Severity // "" is no loop
	}{
		"plain":                     {true, []Route{rule("on", "peer")}, Error},
		"ends where Via is set":     {true, []Route{rule("on", "peer"), rule("end", "own", any("Via"))}, ""},
		"Via required":              {true, []Route{rule("on", "peer", any("Via"))}, Error},
		"Via with a value required": {true, []Route{rule("on", "peer", route.Header{Name: "Via", Value: "1.1 x"})}, ""},
		"Via with a value required, platform protocol":      {false, []Route{rule("on", "peer", route.Header{Name: "Via", Value: "1.1 x"})}, Error},
		"hop-by-hop header required":                        {true, []Route{rule("on", "peer", any("Keep-Alive"))}, ""},
		"proxy header required":                             {true, []Route{rule("on", "peer", any("Proxy-Authorization"))}, ""},
		"header required that intermediaries may set":       {true, []Route{rule("on", "peer", any("X-Forwarded-Proto"))}, Warning},
		"ends where intermediaries set a header":            {true, []Route{rule("on", "peer"), rule("end", "own", any("X-Request-Id"))}, Warning},
		"gathers":                                           {true, []Route{rule("on", "gathers")}, Error},
		"scatter-gather, HEAD":                              {true, []Route{{Rule: route.Rule{Name: "on", Service: "gathers", Method: "HEAD"}}}, ""},
		"HEAD":                                              {true, []Route{{Rule: route.Rule{Name: "on", Service: "peer", Method: "HEAD"}}}, Error},
		"scatter-gather, Range required":                    {true, []Route{rule("on", "gathers", any("Range"))}, ""},
		"Range required":                                    {true, []Route{rule("on", "peer", any("Range"))}, Error},
		"scatter-gather, gzip required":                     {true, []Route{rule("on", "gathers", route.Header{Name: "Accept-Encoding", Value: "gzip"})}, ""},
		"scatter-gather, Accept-Encoding required":          {true, []Route{rule("on", "gathers", any("Accept-Encoding"))}, Error},
		"scatter-gather, ends where Accept-Encoding is set": {true, []Route{rule("on", "gathers"), rule("end", "own", any("Accept-Encoding"))}, ""},
	} {
		var all []Region
		for i, n := range []string{"a", "b"} {
			all = append(all, Region{Name: n, Listeners: []string{n}, Routes: tc.routes, Services: []Service{
				{Name: "own", GenericHTTP: tc.isGenericHTTP},
				{Name: "peer", GenericHTTP: tc.isGenericHTTP, Destinations: []string{[]string{"b", "a"}[i]}},
				{Name: "gathers", GenericHTTP: true, Gather: "peer", Destinations: []string{[]string{"b", "a"}[i]}},
			}})
		}
		if conflicts := Check(all); len(conflicts) != min(1, len(tc.want)) || len(conflicts) == 1 && (conflicts[0].Kind != LoopKind || conflicts[0].Severity != tc.want) {
			t.Errorf("%s: unexpected conflicts: %+v", name, conflicts)
		}
	}
}

// TestReportBounds checks that a conflict states how many others were omitted, and that an exhausted search is
// reported as undecided.
func TestReportBounds(t *testing.T) {
	all := []Region{{Name: "a"}, {Name: "b"}}
	for i := range maxReported + 5 {
		r := Route{Rule: route.Rule{Name: fmt.Sprint(i), Service: "s", Headers: []route.Header{{Name: fmt.Sprint("H", i), Any: true}}}}
		all[0].Routes = append(all[0].Routes, r)
		r.Service = "t"
		all[1].Routes = append(all[1].Routes, r)
	}
	conflicts := Check(all)
	if last := conflicts[len(conflicts)-1]; len(conflicts) != maxReported+1 || last.Why == "" || len(last.Rules) != 0 || last.Severity != Error || !strings.HasSuffix(last.Why, " more of this kind") {
		t.Errorf("%d conflicts, the last is not one error for all that were omitted: %+v", len(conflicts), last)
	}
	if conflicts := newIndex(all, 1000).Conflicts(); !strings.HasPrefix(conflicts[0].Why, "undecided") || conflicts[0].Severity != Error || len(conflicts[0].Regions) != 2 {
		t.Errorf("first conflict is not an undecided one of both regions: %+v", conflicts[0])
	}
}

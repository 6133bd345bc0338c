package regions

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// What a cold server gets and a customer's ceiling lets through are divided over the group that each
// instance is told of, and never seen as a sum by any. docs/design/regions.md derives both sums from control.

// findSums finds what regions let through together that they may not.
func (x *Index) findSums() []Conflict {
	return append(x.findHardLimitConflicts(), x.findSlowStartConflicts()...)
}

// groupCount is how many whole groups a region's instances act as: those there are by the size each is told.
// Where it isn't known how many there are it is 1, as it would be by the region's own settings.
func (h *indexedRegion) groupCount() (n float64, known bool) {
	if h.Members == 0 {
		return 1, false
	}
	return float64(h.Members) / float64(max(1, h.Instances)), true
}

func (h *indexedRegion) describeGroup() string {
	if n, known := h.groupCount(); known {
		return fmt.Sprintf("%d of %d in %s (%.3g)", h.Members, max(1, h.Instances), h.Name, n)
	}
	return fmt.Sprintf("all of %d in %s, members unknown (1)", max(1, h.Instances), h.Name)
}

// sharedService is a region's service among those whose customers have one ceiling.
type sharedService struct {
	*indexedRegion
	*Service
}

// findHardLimitConflicts holds the regions' parts of each plan's ceiling against the least that any region states.
func (x *Index) findHardLimitConflicts() (all []Conflict) {
	for _, group := range x.sharingGroups() {
		names := make(map[string]struct{})
		for _, s := range group {
			for _, p := range s.Plans {
				names[p.Name] = struct{}{}
			}
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if c := hardLimitConflict(name, group); c != nil {
				all = append(all, *c)
			}
		}
	}
	return all
}

// sharingGroups is the services by those that have ceilings in common: of one name, or of one counter.
func (x *Index) sharingGroups() [][]sharedService {
	at := make(map[string]int) // by service or counter
	var groups [][]sharedService
	for _, h := range x.regions {
		for i := range h.Services {
			s := sharedService{h, &h.Services[i]}
			names := []string{"service " + s.Name}
			if h.Shared && s.Counter != "" {
				names = append(names, "counter "+s.Counter)
			}
			to := mergeGroups(names, at, groups)
			if to < 0 {
				to = len(groups)
				groups = append(groups, nil)
			}
			for _, n := range names {
				at[n] = to
			}
			groups[to] = append(groups[to], s)
		}
	}
	return groups
}

// mergeGroups makes one group of those at which names are, and gives its place; -1 where there are none.
func mergeGroups(names []string, at map[string]int, groups [][]sharedService) int {
	to := -1
	for _, n := range names {
		switch g, ok := at[n]; {
		case !ok || g == to:
		case to < 0:
			to = g
		default:
			groups[to] = append(groups[to], groups[g]...)
			groups[g] = nil
			for k, v := range at {
				if v == g {
					at[k] = to
				}
			}
		}
	}
	return to
}

// relativeTolerance is what sums may be off by rounding, as a part.
const relativeTolerance = 1e-9

// hardLimitStartFraction is the part of the slack with which control begins a ceiling's store.
const hardLimitStartFraction = 0.5

func hardLimitConflict(name string, group []sharedService) *Conflict {
	type part struct {
		sharedService
		rate, burst float64
	}
	var in []part
	var rate, burst, slack, sumRate, sumBurst float64
	limited, isUncertain := false, false
	for _, s := range group {
		for _, p := range s.Plans {
			if p.Name != name {
				continue
			}
			n, known := s.groupCount()
			store := max(p.HardLimitBurst, hardLimitStartFraction*p.HardLimitSlack)
			in = append(in, part{s, p.HardLimitRate, store})
			if p.HardLimitRate == 0 {
				continue
			}
			isUncertain = isUncertain || !known
			sumRate, sumBurst = sumRate+n*p.HardLimitRate, sumBurst+n*store
			if !limited {
				rate, burst, slack, limited = p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack, true
			}
			rate, burst, slack = min(rate, p.HardLimitRate), min(burst, p.HardLimitBurst), min(slack, p.HardLimitSlack)
		}
	}
	if !limited {
		return nil
	}
	slices.SortStableFunc(in, func(a, b part) int {
		return cmp.Or(strings.Compare(a.indexedRegion.Name, b.indexedRegion.Name), strings.Compare(a.Name, b.Name))
	})
	c := &Conflict{Kind: HardLimitKind, Severity: Error}
	var groups, without []string
	for _, p := range in {
		if len(c.Regions) == 0 || c.Regions[len(c.Regions)-1] != p.indexedRegion.Name {
			c.Regions, c.Rules = append(c.Regions, p.indexedRegion.Name), append(c.Rules, name)
			groups = append(groups, p.describeGroup())
		}
		if p.rate == 0 {
			without = append(without, p.indexedRegion.Name)
		}
	}
	service := in[0].Name
	switch {
	case len(without) > 0:
		c.Why = fmt.Sprintf("plan %q of service %q has a ceiling of %.4g units a second, and none in %s", name, service, rate, strings.Join(without, ", "))
	case sumRate > rate*(1+relativeTolerance):
		c.Why = fmt.Sprintf("plan %q of service %q: the regions' parts let %.4g units a second through, the ceiling is %.4g: %s",
			name, service, sumRate, rate, strings.Join(groups, ", "))
	case sumBurst > (burst+slack)*(1+relativeTolerance):
		c.Why = fmt.Sprintf("plan %q of service %q: the regions' parts let %.4g units through at once, the ceiling's store and slack are %.4g: %s",
			name, service, sumBurst, burst+slack, strings.Join(groups, ", "))
	default:
		return nil
	}
	if isUncertain && len(without) == 0 {
		c.Severity = Warning
	}
	return c
}

const (
	// slowStartBudgetFraction is the part of a cold server's budget that control uses.
	slowStartBudgetFraction = 0.32
	// minWarmupFraction is the least warmth that control reckons with.
	minWarmupFraction = 0.1
	// maxReportedServers is the most servers that a conflict names.
	maxReportedServers = 8
)

// serverUser is a region's service that sends to a server.
type serverUser struct {
	*indexedRegion
	*Service
	listID string // the same for services of one list of servers
}

// findSlowStartConflicts holds what regions let cold servers have together against what these bear.
func (x *Index) findSlowStartConflicts() (all []Conflict) {
	listers, by := x.serverUsers()
	same := make(map[string][]string) // servers by who lists them
	places := make(map[string][]int)
	for id, at := range by {
		k := fmt.Sprint(at)
		same[k], places[k] = append(same[k], id), at
	}
	for k, ids := range same {
		var who []serverUser
		for _, i := range places[k] {
			who = append(who, listers[i])
		}
		if c := slowStartConflict(who); c != nil {
			slices.Sort(ids)
			if c.Rules = ids; len(ids) > maxReportedServers {
				c.Rules = ids[:maxReportedServers]
				c.Why += fmt.Sprintf("; and of %d more servers", len(ids)-maxReportedServers)
			}
			all = append(all, *c)
		}
	}
	return all
}

// serverUsers lists the services that send to servers, and their places by server.
func (x *Index) serverUsers() (listers []serverUser, by map[string][]int) {
	known := x.knownServers()
	by = make(map[string][]int)
	lists := make(map[string]int)
	for _, h := range x.regions {
		for i := range h.Services {
			s := &h.Services[i]
			servers := serversOf(s, known)
			if len(servers) == 0 {
				continue
			}
			text := "source " + s.Source
			if s.Source == "" {
				text = strings.Join(slices.Sorted(slices.Values(servers)), "\n")
			}
			if _, ok := lists[text]; !ok {
				lists[text] = len(lists)
			}
			for _, id := range servers {
				if at := by[id]; len(at) == 0 || at[len(at)-1] != len(listers) {
					by[id] = append(at, len(listers))
				}
			}
			listers = append(listers, serverUser{h, s, fmt.Sprint(lists[text])})
		}
	}
	return listers, by
}

// serversOf are a service's servers: its own, those known of its source, or else the source itself.
func serversOf(s *Service, known map[string][]string) []string {
	switch {
	case len(s.Servers) > 0 || s.Source == "":
		return s.Servers
	case len(known[s.Source]) > 0:
		return known[s.Source]
	default:
		return []string{s.Source}
	}
}

// knownServers are the servers of each source, by the region that names the most.
func (x *Index) knownServers() map[string][]string {
	known := make(map[string][]string)
	for _, h := range x.regions {
		for _, s := range h.Services {
			if s.Source != "" && len(s.Servers) > len(known[s.Source]) {
				known[s.Source] = s.Servers
			}
		}
	}
	return known
}

func slowStartConflict(who []serverUser) *Conflict {
	c := &Conflict{Kind: SlowStartKind, Severity: Error}
	floor, maxGroup, isUncertain := 0.0, 0.0, false
	var groups []string
	for _, l := range who {
		if len(c.Regions) == 0 || c.Regions[len(c.Regions)-1] != l.indexedRegion.Name {
			c.Regions, groups = append(c.Regions, l.indexedRegion.Name), append(groups, l.describeGroup())
		}
		if n, known := l.groupCount(); l.SlowStart.WarmupTime > 0 {
			floor, maxGroup, isUncertain = floor+n, max(maxGroup, n), isUncertain || !known
		}
	}
	if len(c.Regions) < 2 && maxGroup <= 1 {
		return nil
	}
	if floor*slowStartBudgetFraction > 1+relativeTolerance {
		c.Why = fmt.Sprintf("instances send a cold server %.3g requests a second at the least, where a group's one is meant: %s", floor, strings.Join(groups, ", "))
		if isUncertain {
			c.Severity = Warning
		}
		return c
	}
	if len(c.Regions) < 2 {
		return nil
	}
	if at, sum, limit := worstMoment(who); sum > limit*(1+relativeTolerance) {
		c.Why = fmt.Sprintf("%.3gs after its start the regions let a cold server have %.3g of a warm one's work together, it falls at %.3g: %s",
			at, sum, limit, strings.Join(c.Regions, ", "))
		return c
	}
	return nil
}

// worstMoment gives the moment after a server's start at which what it is let have passes what it bears by the
// most, both as parts of what a warm server does, and what they are then.
func worstMoment(who []serverUser) (worst, sum, limit float64) {
	times := []float64{0}
	for _, l := range who {
		from, span := l.SlowStart.InitialCapacity, l.SlowStart.WarmupTime.Seconds()
		times = append(times, span)
		// Where its warmth is all there is, and where its budget is: between such moments all is linear, but
		// for the limit, which as the least of several is worst at an end too.
		for _, w := range []float64{1, 1 / (slowStartBudgetFraction * l.SlowStart.OverloadMultiple)} {
			if t := span * (w - max(minWarmupFraction, from)) / (1 - from); t > 0 && t < span {
				times = append(times, t)
			}
		}
	}
	slices.Sort(times)
	for _, t := range times {
		for _, after := range []bool{false, true} { // just before t, and at t
			s, b := loadAt(who, t, after)
			if b > 0 && (limit == 0 || s/b > (1+relativeTolerance)*sum/limit) {
				worst, sum, limit = t, s, b
			}
		}
	}
	return worst, sum, limit
}

// loadAt is what a server is let have, and what it bears by the strictest that counts it as cold; 0 is any.
func loadAt(who []serverUser, t float64, after bool) (sum, limit float64) {
	budget := make(map[string]float64) // by list: a warm server's work is divided among those of one
	for _, l := range who {
		span := l.SlowStart.WarmupTime.Seconds()
		b := 1.0 // as any warm server
		if t < span || !after && t == span && span > 0 {
			warmth := min(1, max(minWarmupFraction, l.SlowStart.InitialCapacity)+(1-l.SlowStart.InitialCapacity)*t/span)
			b = min(1, slowStartBudgetFraction*l.SlowStart.OverloadMultiple*warmth)
			if bears := l.SlowStart.OverloadMultiple * warmth; bears > 0 && (limit == 0 || bears < limit) {
				limit = bears
			}
		}
		budget[l.listID] = max(budget[l.listID], b)
	}
	for _, k := range slices.Sorted(maps.Keys(budget)) { // pathRegions order, for the same rounding each time
		sum += budget[k]
	}
	return sum, limit
}

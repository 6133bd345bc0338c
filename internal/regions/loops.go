package regions

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"lockflow/internal/hopheaders"
	"lockflow/internal/protocol"
	"lockflow/internal/route"
)

// maxLoops is the most loops that are told.
const maxLoops = 64

// via is what a request that goes round has of the intermediaries it went through.
var via = []string{"1.1 " + hopheaders.Alias, "1.1 " + hopheaders.Alias}

// transit is a rule whose service leads to listeners of regions.
type transit struct {
	ruleRef
	nextRegions []int32
}

// loopConflicts is the search for requests that go round. A request keeps its method, host and path on the way,
// and of its headers all but those of one connection; so it goes round for ever if, as it is once it has
// gone round, each region on the way chooses a rule that leads to the next. As with pairs, the least
// minimalRequest of all those rules shows it.
type loopSearch struct {
	*Index
	transits     [][]transit            // by region
	transitIndex []map[*condition]int32 // by region: places in from
	start        int32
	headerNames  map[string]bool // ids headers in conditions
	maxVisited   int             // ids the work

	path        []transit // the circle so far
	pathRegions []int32   // and its regions
	canExtend   bool      // there may be a longer one
}

func (x *Index) findLoops() []Conflict {
	l := &loopSearch{Index: x, maxVisited: x.visited + x.maxSteps}
	if !l.prepare() {
		return nil
	}
	var all []Conflict
	more := 0
	for r := range l.transits {
		l.start = int32(r)
		for _, t := range l.transits[r] {
			c := l.shortestCycle(t)
			if x.visited > l.maxVisited {
				return append(all, Conflict{
					Kind: LoopKind, Severity: Error, Regions: []string{x.regions[r].Name}, Rules: []string{x.ruleInfos.values[t.ruleID].name},
					Why: fmt.Sprintf("undecided: too many rules lead to other regions for %d steps", x.maxSteps),
				})
			}
			if c == nil {
				continue
			}
			if len(all) == maxLoops {
				more++
				continue
			}
			all = append(all, *c)
		}
	}
	if more > 0 {
		all[len(all)-1].Why += fmt.Sprintf("; and %d more of this kind", more)
	}
	return all
}

// prepare finds the rules that lead on, and whether a circle of regions is there at all.
func (l *loopSearch) prepare() bool {
	listens := l.regionsByListener()
	on := l.cyclicRegions(listens)
	if !slices.Contains(on, true) {
		return false
	}
	to := l.regionsByDestinations(listens)
	l.headerNames = make(map[string]bool)
	l.transits, l.transitIndex = make([][]transit, len(on)), make([]map[*condition]int32, len(on))
	for i, h := range l.regions {
		l.transitIndex[i] = make(map[*condition]int32)
		for _, r := range h.rules {
			if r.condition == nil {
				continue
			}
			for _, c := range r.requests.headers {
				l.headerNames[c.Name] = true
			}
			if !on[i] {
				continue
			}
			leads := to[l.ruleInfos.values[r.ruleID].destinationsID]
			ahead := slices.DeleteFunc(slices.Clone(leads), func(j int32) bool { return !on[j] })
			if len(ahead) > 0 && !hasUnforwardedHeader(r.requests.headers) {
				l.transits[i] = append(l.transits[i], transit{r, ahead})
			}
		}
		slices.SortFunc(l.transits[i], func(a, b transit) int { return comparePrecedence(a.condition, b.condition) })
		for k, t := range l.transits[i] {
			l.transitIndex[i][t.condition] = int32(k)
		}
	}
	return true
}

// regionsByListener are the regions by the addresses on which they listen.
func (l *loopSearch) regionsByListener() map[string][]int32 {
	all := make(map[string][]int32)
	for i, h := range l.regions {
		for _, a := range h.Listeners {
			if !slices.Contains(all[a], int32(i)) {
				all[a] = append(all[a], int32(i))
			}
		}
	}
	return all
}

// regionsByDestinations are the regions that leads go to, in their order.
func (l *loopSearch) regionsByDestinations(listens map[string][]int32) map[int32][]int32 {
	to := make(map[int32][]int32)
	for id, all := range l.destinations {
		for _, a := range all {
			for _, r := range listens[a] {
				if !slices.Contains(to[id], r) {
					to[id] = append(to[id], r)
				}
			}
		}
		slices.Sort(to[id])
	}
	return to
}

// cyclicRegions tells which regions may be in a circle: not those that lead nowhere, or to such alone.
func (l *loopSearch) cyclicRegions(listens map[string][]int32) []bool {
	next := make([][]int32, len(l.regions))
	for i, h := range l.regions {
		for _, s := range h.Services {
			for _, a := range s.Destinations {
				next[i] = append(next[i], listens[a]...)
			}
		}
	}
	on := make([]bool, len(next))
	for i := range on {
		on[i] = len(next[i]) > 0
	}
	for again := true; again; {
		again = false
		for i := range next {
			if on[i] && !slices.ContainsFunc(next[i], func(j int32) bool { return on[j] }) {
				on[i], again = false, true
			}
		}
	}
	return on
}

// hasUnforwardedHeader tells whether conditions ask for a header that never goes on.
func hasUnforwardedHeader(headers []route.Header) bool {
	return slices.ContainsFunc(headers, func(h route.Header) bool { return h.Name == "Keep-Alive" || h.Name == "Proxy-Connection" })
}

// shortestCycle finds one of the shortest circles whose least region is the start, by a rule of it.
func (l *loopSearch) shortestCycle(t transit) *Conflict {
	for n := 1; n <= len(l.regions); n++ {
		l.path, l.pathRegions, l.canExtend = append(l.path[:0], t), append(l.pathRegions[:0], l.start), false
		if c := l.search(t.requests, n); c != nil || !l.canExtend || l.visited > l.maxVisited {
			return c
		}
	}
	return nil
}

// search goes on from a way whose rules have an area in common, to circles of n regions.
func (l *loopSearch) search(a requestSet, n int) *Conflict {
	if l.visited > l.maxVisited || !l.isFollowedByMinimal(a) {
		return nil
	}
	last := l.path[len(l.path)-1]
	if len(l.path) == n {
		for _, r := range last.nextRegions {
			l.canExtend = l.canExtend || r > l.start && !slices.Contains(l.pathRegions, r)
		}
		if slices.Contains(last.nextRegions, l.start) {
			return l.conflictOfCycle(a)
		}
		return nil
	}
	for _, r := range last.nextRegions {
		if r <= l.start || slices.Contains(l.pathRegions, r) {
			continue
		}
		for _, t := range l.intersectingTransits(r, a) {
			b, ok := a.intersect(t.requests)
			if !ok {
				continue
			}
			l.path, l.pathRegions = append(l.path, t), append(l.pathRegions, r)
			c := l.search(b, n)
			l.path, l.pathRegions = l.path[:len(l.path)-1], l.pathRegions[:len(l.pathRegions)-1]
			if c != nil {
				return c
			}
		}
	}
	return nil
}

// intersectingTransits gives the rules of a region that lead on and have requests in common with an area, by precedence.
func (l *loopSearch) intersectingTransits(r int32, a requestSet) []transit {
	if l.visited += min(len(l.transits[r]), 64); len(l.transits[r]) <= 64 {
		return l.transits[r]
	}
	var at []int32
	l.eachIntersecting(a, func(c *condition) bool {
		l.visited++
		if i, ok := l.transitIndex[r][c]; ok {
			at = append(at, i)
		}
		return true
	})
	slices.Sort(at)
	out := make([]transit, len(at))
	for i, k := range at {
		out[i] = l.transits[r][k]
	}
	return out
}

// isFollowedByMinimal tells whether each region on the way chooses its rule for the least request of an area.
func (l *loopSearch) isFollowedByMinimal(a requestSet) bool {
	if a.method == "" {
		a.method = l.unusedMethod(false)
	}
	w := l.minimalRequest(a)
	return w != nil && l.isFollowed(w)
}

func (l *loopSearch) isFollowed(w *Witness) bool {
	l.chooseRules(w)
	for i, t := range l.path {
		if l.chosen[l.pathRegions[i]].condition != t.condition {
			return false
		}
	}
	return true
}

// set by intermediaries, with a value or not, by settings that are not known here.
var setByIntermediaries = []string{"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Forwarded", "X-Request-Id"}

// conflictOfCycle makes the conflict of a whole circle, if a request of the area goes round in it.
func (l *loopSearch) conflictOfCycle(a requestSet) *Conflict {
	var attrs []int32
	ordinary, platform, gathers := false, false, false
	for _, t := range l.path {
		attrs = append(attrs, t.ruleID)
		o := &l.outcomes.values[l.ruleInfos.values[t.ruleID].outcomeID]
		ordinary, platform, gathers = ordinary || o.genericHTTP, platform || !o.genericHTTP, gathers || o.gatherID != 0
	}
	doubts, passes := forwardedHeaders(a.headers, ordinary, platform, gathers)
	if !passes {
		return nil
	}
	for _, v := range l.variants(a, attrs) {
		w := l.minimalRequest(v)
		if w == nil || gathers && w.Method == http.MethodHead { // which goes on as GET
			continue
		}
		set := func(name string, values []string) {
			if w.Headers == nil {
				w.Headers = make(http.Header)
			}
			w.Headers[name] = values
		}
		if ordinary && l.headerNames["Via"] {
			set("Via", via)
		}
		if gathers && l.headerNames[acceptEncoding] {
			set(acceptEncoding, []string{identity})
		}
		if !l.isFollowed(w) || slices.ContainsFunc(attrs, func(at int32) bool { return !l.disposition(at, w).isAccepted }) {
			continue
		}
		return l.describeCycle(w, append(doubts, l.dependsOnHeaders(w)...))
	}
	return nil
}

// forwardedHeaders tells whether a request goes on with the headers that conditions ask for, through rules some of which
// are ordinary, of the platform or gather, and of which headers that is not sure.
func forwardedHeaders(headers []route.Header, ordinary, platform, gathers bool) (doubts []string, passes bool) {
	for _, h := range headers {
		switch {
		case h.Name == "Via" && ordinary && !h.Any,
			platform && protocol.IsInternalHeader(h.Name) && !protocol.IsHopHeader(h.Name),
			gathers && (slices.Contains(notForwardedToParts, h.Name) || h.Name == acceptEncoding && !h.Any && h.Value != identity),
			ordinary && (h.Name == "Proxy-Authenticate" || h.Name == "Proxy-Authorization"):
			return nil, false
		case protocol.IsHopHeader(h.Name) || strings.Contains(h.Name, "_") || slices.Contains(setByIntermediaries, h.Name):
			doubts = append(doubts, h.Name)
		}
	}
	return doubts, true
}

// What a gatherer asks its parts for is a whole answer as it is, whatever it was asked for.
var notForwardedToParts = []string{"If-None-Match", "If-Modified-Since", "If-Match", "If-Unmodified-Since", "If-Range", "Range", "Expect", "Content-Length"}

const acceptEncoding, identity = "Accept-Encoding", "identity"

// dependsOnHeaders gives headers that may be set on the way and would make another rule win.
func (l *loopSearch) dependsOnHeaders(w *Witness) (names []string) {
	for _, name := range setByIntermediaries {
		if !l.headerNames[name] || w.Headers[name] != nil {
			continue
		}
		with := *w
		if with.Headers = w.Headers.Clone(); with.Headers == nil {
			with.Headers = make(http.Header)
		}
		with.Headers[name] = []string{l.unusedHeaderValue(name)}
		if !l.isFollowed(&with) {
			names = append(names, name)
		}
	}
	return names
}

func (l *loopSearch) describeCycle(w *Witness, doubts []string) *Conflict {
	c := &Conflict{Kind: LoopKind, Severity: Error, Witness: w}
	way := w.String() + " goes round:"
	order := make([]int, len(l.path))
	for i := range l.path {
		order[i] = i
		at := &l.ruleInfos.values[l.path[i].ruleID]
		way += fmt.Sprintf(" %s leads it by route %q and service %q to", l.regions[l.pathRegions[i]].Name, at.name, l.outcomes.values[at.outcomeID].service)
	}
	c.Why = way + " " + l.regions[l.start].Name
	if len(doubts) > 0 {
		c.Severity = Warning
		c.Why += ", where " + strings.Join(doubts, ", ") + " goes on as it came"
	}
	slices.SortFunc(order, func(i, j int) int { return int(l.pathRegions[i]) - int(l.pathRegions[j]) })
	for _, i := range order {
		c.Regions = append(c.Regions, l.regions[l.pathRegions[i]].Name)
		c.Rules = append(c.Rules, l.ruleInfos.values[l.path[i].ruleID].name)
	}
	return c
}

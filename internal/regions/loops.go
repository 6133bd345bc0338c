package regions

import (
	"fmt"
	"slices"

	"lockflow/internal/route"
)

// maxLoops is the largest number of loops that are reported individually.
const maxLoops = 64

// maxUnindexedTransits is the number of a region's transits up to which all are tried, since that costs less
// than a lookup of those that intersect.
const maxUnindexedTransits = 64

// transit is a rule whose service forwards to listeners of regions.
type transit struct {
	ruleRef
	nextRegions []int32
}

// loopSearch finds requests that loop. An intermediary forwards a request's method, host, path and end-to-end
// headers unchanged. A request therefore loops forever if each region on a cycle chooses a rule that forwards
// it to the next region, given the headers that the request has after one round. As with pairs of rules, the
// minimal request of all rules of the cycle shows the loop if any request does.
type loopSearch struct {
	*Index
	transits     [][]transit            // by region, in order of precedence
	transitIndex []map[*condition]int32 // by region: positions in transits
	start        int32                  // first region of the cycles that are searched for
	headerNames  map[string]bool        // headers that any condition names
	maxVisited   int                    // upper bound of Index.visited

	// The path that the search currently examines.
	path        []transit
	pathRegions []int32
	canExtend   bool // a longer cycle may exist
}

func (x *Index) findLoops() []Conflict {
	l := &loopSearch{Index: x, maxVisited: x.visited + x.maxSteps}
	if !l.prepare() {
		return nil
	}
	var conflicts []Conflict
	omitted := 0
	for region := range l.transits {
		l.start = int32(region)
		for _, first := range l.transits[region] {
			conflict := l.shortestCycle(first)
			if l.isExhausted() {
				return append(conflicts, l.undecidedLoop(first))
			}
			switch {
			case conflict == nil:
			case len(conflicts) == maxLoops:
				omitted++
			default:
				conflicts = append(conflicts, *conflict)
			}
		}
	}
	if omitted > 0 {
		conflicts[len(conflicts)-1].Why += fmt.Sprintf("; and %d more of this kind", omitted)
	}
	return conflicts
}

func (l *loopSearch) isExhausted() bool { return l.visited > l.maxVisited }

func (l *loopSearch) undecidedLoop(first transit) Conflict {
	return Conflict{
		Kind: LoopKind, Severity: Error,
		Regions: []string{l.regions[l.start].Name},
		Rules:   []string{l.ruleInfos.values[first.ruleID].name},
		Why:     fmt.Sprintf("undecided: too many rules lead to other regions for %d steps", l.maxSteps),
	}
}

// prepare collects the transits. It returns false if no cycle of regions is possible.
func (l *loopSearch) prepare() bool {
	listeners := l.regionsByListener()
	isOnCycle := l.cyclicRegions(listeners)
	if !slices.Contains(isOnCycle, true) {
		return false
	}
	nextRegions := l.regionsByDestinations(listeners)
	l.headerNames = make(map[string]bool)
	l.transits = make([][]transit, len(isOnCycle))
	l.transitIndex = make([]map[*condition]int32, len(isOnCycle))
	for i, region := range l.regions {
		l.transitIndex[i] = make(map[*condition]int32)
		for _, rule := range region.rules {
			if rule.condition == nil {
				continue
			}
			for _, header := range rule.requests.headers {
				l.headerNames[header.Name] = true
			}
			if isOnCycle[i] {
				l.addTransit(i, rule, nextRegions, isOnCycle)
			}
		}
		slices.SortFunc(l.transits[i], func(a, b transit) int { return comparePrecedence(a.condition, b.condition) })
		for k, t := range l.transits[i] {
			l.transitIndex[i][t.condition] = int32(k)
		}
	}
	return true
}

// addTransit adds a region's rule if it forwards to a region on a cycle.
func (l *loopSearch) addTransit(region int, rule ruleRef, nextRegions map[int32][]int32, isOnCycle []bool) {
	next := nextRegions[l.ruleInfos.values[rule.ruleID].destinationsID]
	next = slices.DeleteFunc(slices.Clone(next), func(r int32) bool { return !isOnCycle[r] })
	if len(next) > 0 && !hasUnforwardedHeader(rule.requests.headers) {
		l.transits[region] = append(l.transits[region], transit{rule, next})
	}
}

// regionsByListener returns the regions by the addresses on which they listen.
func (l *loopSearch) regionsByListener() map[string][]int32 {
	listeners := make(map[string][]int32)
	for i, region := range l.regions {
		for _, address := range region.Listeners {
			if !slices.Contains(listeners[address], int32(i)) {
				listeners[address] = append(listeners[address], int32(i))
			}
		}
	}
	return listeners
}

// regionsByDestinations returns, by the number of each list of destinations, the regions that listen on them, sorted.
func (l *loopSearch) regionsByDestinations(listeners map[string][]int32) map[int32][]int32 {
	next := make(map[int32][]int32)
	for id, addresses := range l.destinations {
		for _, address := range addresses {
			for _, region := range listeners[address] {
				if !slices.Contains(next[id], region) {
					next[id] = append(next[id], region)
				}
			}
		}
		slices.Sort(next[id])
	}
	return next
}

// cyclicRegions reports for each region whether it may be on a cycle: whether it forwards to a region that
// may be on one.
func (l *loopSearch) cyclicRegions(listeners map[string][]int32) []bool {
	next := make([][]int32, len(l.regions))
	for i, region := range l.regions {
		for _, service := range region.Services {
			for _, address := range service.Destinations {
				next[i] = append(next[i], listeners[address]...)
			}
		}
	}
	isOnCycle := make([]bool, len(next))
	for i := range isOnCycle {
		isOnCycle[i] = len(next[i]) > 0
	}
	for isChanged := true; isChanged; {
		isChanged = false
		for i := range next {
			if isOnCycle[i] && !slices.ContainsFunc(next[i], func(r int32) bool { return isOnCycle[r] }) {
				isOnCycle[i] = false
				isChanged = true
			}
		}
	}
	return isOnCycle
}

// hasUnforwardedHeader reports whether conditions require a header that no intermediary forwards.
func hasUnforwardedHeader(headers []route.Header) bool {
	return slices.ContainsFunc(headers, func(h route.Header) bool { return h.Name == "Keep-Alive" || h.Name == "Proxy-Connection" })
}

// shortestCycle returns the conflict over one of the shortest cycles that begin with the transit first of the
// region l.start, or nil if there is none.
func (l *loopSearch) shortestCycle(first transit) *Conflict {
	for length := 1; length <= len(l.regions); length++ {
		l.path = append(l.path[:0], first)
		l.pathRegions = append(l.pathRegions[:0], l.start)
		l.canExtend = false
		conflict := l.search(first.requests, length)
		if conflict != nil || !l.canExtend || l.isExhausted() {
			return conflict
		}
	}
	return nil
}

// search extends the path to cycles of length regions. set holds the requests that the path's rules have in
// common.
func (l *loopSearch) search(set requestSet, length int) *Conflict {
	if l.isExhausted() || !l.isFollowedByMinimal(set) {
		return nil
	}
	last := l.path[len(l.path)-1]
	if len(l.path) == length {
		l.canExtend = l.canExtend || slices.ContainsFunc(last.nextRegions, l.isExtension)
		if slices.Contains(last.nextRegions, l.start) {
			return l.conflictOfCycle(set)
		}
		return nil
	}
	for _, region := range last.nextRegions {
		if !l.isExtension(region) {
			continue
		}
		for _, next := range l.intersectingTransits(region, set) {
			common, ok := set.intersect(next.requests)
			if !ok {
				continue
			}
			l.path = append(l.path, next)
			l.pathRegions = append(l.pathRegions, region)
			conflict := l.search(common, length)
			l.path = l.path[:len(l.path)-1]
			l.pathRegions = l.pathRegions[:len(l.pathRegions)-1]
			if conflict != nil {
				return conflict
			}
		}
	}
	return nil
}

// isExtension reports whether the path may be extended by a region: one after l.start that is not on the path.
func (l *loopSearch) isExtension(region int32) bool {
	return region > l.start && !slices.Contains(l.pathRegions, region)
}

// intersectingTransits returns the transits of a region that may match requests of a set, in order of precedence.
func (l *loopSearch) intersectingTransits(region int32, set requestSet) []transit {
	all := l.transits[region]
	l.visited += min(len(all), maxUnindexedTransits)
	if len(all) <= maxUnindexedTransits {
		return all
	}
	var positions []int32
	l.eachIntersecting(set, func(c *condition) bool {
		l.visited++
		if i, ok := l.transitIndex[region][c]; ok {
			positions = append(positions, i)
		}
		return true
	})
	slices.Sort(positions)
	found := make([]transit, len(positions))
	for i, position := range positions {
		found[i] = all[position]
	}
	return found
}

// isFollowedByMinimal reports whether the minimal request of a set follows the path.
func (l *loopSearch) isFollowedByMinimal(set requestSet) bool {
	if set.method == "" {
		set.method = l.unusedMethod(false)
	}
	request := l.minimalRequest(set)
	return request != nil && l.isFollowed(request)
}

// isFollowed reports whether each region on the path chooses its transit for a request.
func (l *loopSearch) isFollowed(request *Witness) bool {
	l.chooseRules(request)
	for i, t := range l.path {
		if l.chosen[l.pathRegions[i]].condition != t.condition {
			return false
		}
	}
	return true
}

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
	ruled
	to []int32
}

// loops is the search for requests that go round. A request keeps its method, host and path on the way,
// and of its headers all but those of one connection; so it goes round for ever if, as it is once it has
// gone round, each region on the way chooses a rule that leads to the next. As with pairs, the least
// request of all those rules shows it.
type loops struct {
	*Index
	from  [][]transit       // by region
	at    []map[*cond]int32 // by region: places in from
	start int32
	names map[string]bool // of headers in conditions
	limit int             // of the work

	path   []transit // the circle so far
	in     []int32   // and its regions
	deeper bool      // there may be a longer one
}

func (x *Index) findLoops() []Conflict {
	l := &loops{Index: x, limit: x.visited + x.work}
	if !l.prepare() {
		return nil
	}
	var all []Conflict
	more := 0
	for r := range l.from {
		l.start = int32(r)
		for _, t := range l.from[r] {
			c := l.shortest(t)
			if x.visited > l.limit {
				return append(all, Conflict{
					Kind: LoopKind, Severity: Error, Regions: []string{x.regions[r].Name}, Rules: []string{x.attrs.all[t.attr].name},
					Why: fmt.Sprintf("undecided: too many rules lead to other regions for %d steps", x.work),
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
func (l *loops) prepare() bool {
	listens := l.listeners()
	on := l.circling(listens)
	if !slices.Contains(on, true) {
		return false
	}
	to := l.leadTo(listens)
	l.names = make(map[string]bool)
	l.from, l.at = make([][]transit, len(on)), make([]map[*cond]int32, len(on))
	for i, h := range l.regions {
		l.at[i] = make(map[*cond]int32)
		for _, r := range h.rules {
			if r.cond == nil {
				continue
			}
			for _, c := range r.area.headers {
				l.names[c.Name] = true
			}
			if !on[i] {
				continue
			}
			leads := to[l.attrs.all[r.attr].leads]
			ahead := slices.DeleteFunc(slices.Clone(leads), func(j int32) bool { return !on[j] })
			if len(ahead) > 0 && !once(r.area.headers) {
				l.from[i] = append(l.from[i], transit{r, ahead})
			}
		}
		slices.SortFunc(l.from[i], func(a, b transit) int { return compare(a.cond, b.cond) })
		for k, t := range l.from[i] {
			l.at[i][t.cond] = int32(k)
		}
	}
	return true
}

// listeners are the regions by the addresses on which they listen.
func (l *loops) listeners() map[string][]int32 {
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

// leadTo are the regions that leads go to, in their order.
func (l *loops) leadTo(listens map[string][]int32) map[int32][]int32 {
	to := make(map[int32][]int32)
	for id, all := range l.leads {
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

// circling tells which regions may be in a circle: not those that lead nowhere, or to such alone.
func (l *loops) circling(listens map[string][]int32) []bool {
	next := make([][]int32, len(l.regions))
	for i, h := range l.regions {
		for _, s := range h.Services {
			for _, a := range s.Leads {
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

// once tells whether conditions ask for a header that never goes on.
func once(headers []route.Header) bool {
	return slices.ContainsFunc(headers, func(h route.Header) bool { return h.Name == "Keep-Alive" || h.Name == "Proxy-Connection" })
}

// shortest finds one of the shortest circles whose least region is the start, by a rule of it.
func (l *loops) shortest(t transit) *Conflict {
	for n := 1; n <= len(l.regions); n++ {
		l.path, l.in, l.deeper = append(l.path[:0], t), append(l.in[:0], l.start), false
		if c := l.search(t.area, n); c != nil || !l.deeper || l.visited > l.limit {
			return c
		}
	}
	return nil
}

// search goes on from a way whose rules have an area in common, to circles of n regions.
func (l *loops) search(a area, n int) *Conflict {
	if l.visited > l.limit || !l.goes(a) {
		return nil
	}
	last := l.path[len(l.path)-1]
	if len(l.path) == n {
		for _, r := range last.to {
			l.deeper = l.deeper || r > l.start && !slices.Contains(l.in, r)
		}
		if slices.Contains(last.to, l.start) {
			return l.round(a)
		}
		return nil
	}
	for _, r := range last.to {
		if r <= l.start || slices.Contains(l.in, r) {
			continue
		}
		for _, t := range l.meets(r, a) {
			b, ok := a.meet(t.area)
			if !ok {
				continue
			}
			l.path, l.in = append(l.path, t), append(l.in, r)
			c := l.search(b, n)
			l.path, l.in = l.path[:len(l.path)-1], l.in[:len(l.in)-1]
			if c != nil {
				return c
			}
		}
	}
	return nil
}

// meets gives the rules of a region that lead on and have requests in common with an area, by precedence.
func (l *loops) meets(r int32, a area) []transit {
	if l.visited += min(len(l.from[r]), 64); len(l.from[r]) <= 64 {
		return l.from[r]
	}
	var at []int32
	l.meeting(a, func(c *cond) bool {
		l.visited++
		if i, ok := l.at[r][c]; ok {
			at = append(at, i)
		}
		return true
	})
	slices.Sort(at)
	out := make([]transit, len(at))
	for i, k := range at {
		out[i] = l.from[r][k]
	}
	return out
}

// goes tells whether each region on the way chooses its rule for the least request of an area.
func (l *loops) goes(a area) bool {
	if a.method == "" {
		a.method = l.freshMethod(false)
	}
	w := l.request(a)
	return w != nil && l.chooses(w)
}

func (l *loops) chooses(w *Witness) bool {
	l.evaluate(w)
	for i, t := range l.path {
		if l.chosen[l.in[i]].cond != t.cond {
			return false
		}
	}
	return true
}

// set by intermediaries, with a value or not, by settings that are not known here.
var setOnTheWay = []string{"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Forwarded", "X-Request-Id"}

// round makes the conflict of a whole circle, if a request of the area goes round in it.
func (l *loops) round(a area) *Conflict {
	var attrs []int32
	ordinary, platform, gathers := false, false, false
	for _, t := range l.path {
		attrs = append(attrs, t.attr)
		o := &l.outs.all[l.attrs.all[t.attr].out]
		ordinary, platform, gathers = ordinary || o.ordinary, platform || !o.ordinary, gathers || o.gather != 0
	}
	doubts, passes := passing(a.headers, ordinary, platform, gathers)
	if !passes {
		return nil
	}
	for _, v := range l.variants(a, attrs) {
		w := l.request(v)
		if w == nil || gathers && w.Method == http.MethodHead { // which goes on as GET
			continue
		}
		set := func(name string, values []string) {
			if w.Headers == nil {
				w.Headers = make(http.Header)
			}
			w.Headers[name] = values
		}
		if ordinary && l.names["Via"] {
			set("Via", via)
		}
		if gathers && l.names[acceptEncoding] {
			set(acceptEncoding, []string{identity})
		}
		if !l.chooses(w) || slices.ContainsFunc(attrs, func(at int32) bool { return !l.fate(at, w).taken }) {
			continue
		}
		return l.told(w, append(doubts, l.depends(w)...))
	}
	return nil
}

// passing tells whether a request goes on with the headers that conditions ask for, through rules some of which
// are ordinary, of the platform or gather, and of which headers that is not sure.
func passing(headers []route.Header, ordinary, platform, gathers bool) (doubts []string, passes bool) {
	for _, h := range headers {
		switch {
		case h.Name == "Via" && ordinary && !h.Any,
			platform && protocol.IsInternalHeader(h.Name) && !protocol.IsHopHeader(h.Name),
			gathers && (slices.Contains(notGathered, h.Name) || h.Name == acceptEncoding && !h.Any && h.Value != identity),
			ordinary && (h.Name == "Proxy-Authenticate" || h.Name == "Proxy-Authorization"):
			return nil, false
		case protocol.IsHopHeader(h.Name) || strings.Contains(h.Name, "_") || slices.Contains(setOnTheWay, h.Name):
			doubts = append(doubts, h.Name)
		}
	}
	return doubts, true
}

// What a gatherer asks its parts for is a whole answer as it is, whatever it was asked for.
var notGathered = []string{"If-None-Match", "If-Modified-Since", "If-Match", "If-Unmodified-Since", "If-Range", "Range", "Expect", "Content-Length"}

const acceptEncoding, identity = "Accept-Encoding", "identity"

// depends gives headers that may be set on the way and would make another rule win.
func (l *loops) depends(w *Witness) (names []string) {
	for _, name := range setOnTheWay {
		if !l.names[name] || w.Headers[name] != nil {
			continue
		}
		with := *w
		if with.Headers = w.Headers.Clone(); with.Headers == nil {
			with.Headers = make(http.Header)
		}
		with.Headers[name] = []string{l.freshValue(name)}
		if !l.chooses(&with) {
			names = append(names, name)
		}
	}
	return names
}

func (l *loops) told(w *Witness, doubts []string) *Conflict {
	c := &Conflict{Kind: LoopKind, Severity: Error, Witness: w}
	way := w.String() + " goes round:"
	order := make([]int, len(l.path))
	for i := range l.path {
		order[i] = i
		at := &l.attrs.all[l.path[i].attr]
		way += fmt.Sprintf(" %s leads it by route %q and service %q to", l.regions[l.in[i]].Name, at.name, l.outs.all[at.out].service)
	}
	c.Why = way + " " + l.regions[l.start].Name
	if len(doubts) > 0 {
		c.Severity = Warning
		c.Why += ", where " + strings.Join(doubts, ", ") + " goes on as it came"
	}
	slices.SortFunc(order, func(i, j int) int { return int(l.in[i]) - int(l.in[j]) })
	for _, i := range order {
		c.Regions = append(c.Regions, l.regions[l.in[i]].Name)
		c.Rules = append(c.Rules, l.attrs.all[l.path[i].attr].name)
	}
	return c
}

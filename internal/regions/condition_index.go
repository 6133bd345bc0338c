package regions

import (
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"

	"lockflow/internal/route"
)

// conditionIndex is the rules of all regions by host and path. Conditions that rules of several regions share are
// indexedRegion once, with who has them.
type conditionIndex struct {
	conditions    map[conditionKey]*condition
	buckets       map[string]*hostBucket // by host as in rules
	anyHost       *hostBucket            // ids any host, to find by path what many hosts have
	reversedHosts []string               // ids the buckets, turned round and sorted, so that those below a wildcard stand together; nil is not known
	methodUses    map[string]int         // classFromRule by rules
	headerUses    map[route.Header]int
	namesChanged  bool // a host, a method or a header's value is named that was not, or no more: others may be free
	visited       int  // conditions looked at, as a measure of the work
}

// conditionKey is conditions in their one form.
type conditionKey struct{ host, path, prefix, method, class, headers string }

// condition is conditions in their one form and the rules that have them.
type condition struct {
	canonical route.CanonicalRule
	requests  requestSet
	uses      []ruleUse // by region
	differs   bool      // not all regions have it with the same outcome
	lastPass  uint32
}

// ruleUse is a region's rule.
type ruleUse struct {
	region int32
	ruleID int32
}

// hostBucket holds the conditions of one host.
type hostBucket struct {
	host           string
	exact          map[string][]*condition // by precedence
	prefixes       map[string]*prefixNode  // by prefix
	sortedPaths    []string                // paths and prefixes, sorted; nil is not known
	conditionCount int
}

// prefixNode is a prefix.
type prefixNode struct {
	rules      []*condition // by precedence
	classRules []*condition // ids any path, with the class that is this segment
}

func newConditionIndex() *conditionIndex {
	return &conditionIndex{
		conditions: make(map[conditionKey]*condition), buckets: make(map[string]*hostBucket), anyHost: newHostBucket(""), methodUses: make(map[string]int),
		headerUses: make(map[route.Header]int),
	}
}

// findOrAdd gives the conditions of a rule, made where there are none; nil where no router takes them.
func (s *conditionIndex) findOrAdd(r *route.Rule) *condition {
	if len(r.Headers) == 0 {
		// Guards against the form's cost for each of many regions: what is there already is in its form.
		k := conditionKey{host: r.Host, path: r.Path, prefix: strings.TrimSuffix(r.Prefix, "/"), method: r.Method, class: r.Class}
		if k.class != "" && route.FirstSegment(k.path+k.prefix) == k.class {
			k.class = ""
		}
		if c := s.conditions[k]; c != nil {
			return c
		}
	}
	f, err := route.Canonicalize(route.Rule{Host: r.Host, Path: r.Path, Prefix: r.Prefix, Method: r.Method, Class: r.Class, Headers: r.Headers})
	if err != nil {
		return nil
	}
	k := conditionKeyOf(f)
	c := s.conditions[k]
	if c == nil {
		c = &condition{canonical: f, requests: requestsOf(f.Rule())}
		s.conditions[k] = c
		s.add(c)
	}
	return c
}

func conditionKeyOf(f route.CanonicalRule) conditionKey {
	r := f.Rule()
	return conditionKey{r.Host, r.Path, r.Prefix, r.Method, r.Class, f.HeaderConditions()}
}

func newHostBucket(host string) *hostBucket {
	return &hostBucket{host: host, exact: make(map[string][]*condition), prefixes: make(map[string]*prefixNode)}
}

func (s *conditionIndex) add(c *condition) {
	b := s.buckets[c.requests.host]
	if b == nil {
		b = newHostBucket(c.requests.host)
		s.buckets[b.host], s.reversedHosts, s.namesChanged = b, nil, true
	}
	b.add(c)
	s.anyHost.add(c)
	s.countNames(c, 1)
}

func (b *hostBucket) add(c *condition) {
	b.conditionCount++
	if !b.hasPath(c.requests.path) {
		b.sortedPaths = nil
	}
	at := b.listOf(c)
	i, _ := slices.BinarySearchFunc(*at, c, comparePrecedence)
	*at = slices.Insert(*at, i, c)
	if c.requests.exact {
		b.exact[c.requests.path] = *at
	}
}

func comparePrecedence(a, b *condition) int { return a.canonical.Compare(b.canonical) }

func (b *hostBucket) hasPath(path string) bool {
	return b.prefixes[path] != nil || b.exact[path] != nil
}

// listID is where a condition of this bucket stands. That of an exact path is a copy.
func (b *hostBucket) listOf(c *condition) *[]*condition {
	if c.requests.exact {
		l := b.exact[c.requests.path]
		return &l
	}
	n := b.prefixes[c.requests.path]
	if n == nil {
		n = new(prefixNode)
		b.prefixes[c.requests.path] = n
	}
	if c.canonical.Rule().Class != "" {
		return &n.classRules
	}
	return &n.rules
}

// remove takes out a condition that no region has any more.
func (s *conditionIndex) remove(c *condition) {
	delete(s.conditions, conditionKeyOf(c.canonical))
	s.anyHost.remove(c)
	b := s.buckets[c.requests.host]
	if b.remove(c); b.conditionCount == 0 {
		delete(s.buckets, b.host)
		s.reversedHosts, s.namesChanged = nil, true
	}
	s.countNames(c, -1)
}

func (b *hostBucket) remove(c *condition) {
	path, at := c.requests.path, b.listOf(c)
	i, _ := slices.BinarySearchFunc(*at, c, comparePrecedence)
	*at = slices.Delete(*at, i, i+1)
	if c.requests.exact {
		if b.exact[path] = *at; len(*at) == 0 {
			delete(b.exact, path)
		}
	} else if n := b.prefixes[path]; len(n.rules)+len(n.classRules) == 0 {
		delete(b.prefixes, path)
	}
	if !b.hasPath(path) {
		b.sortedPaths = nil
	}
	b.conditionCount--
}

// countNames keeps which methods and values of headers are named.
func (s *conditionIndex) countNames(c *condition, by int) {
	if m := c.requests.method; m != "" {
		addCount(s, s.methodUses, m, by)
	}
	for _, h := range c.requests.headers {
		if !h.Any {
			addCount(s, s.headerUses, h, by)
		}
	}
}

func addCount[K comparable](s *conditionIndex, m map[K]int, k K, by int) {
	m[k] += by
	if n := m[k]; n == 0 {
		delete(m, k)
		s.namesChanged = true
	} else if n == by {
		s.namesChanged = true
	}
}

// eachHostBucket calls with the buckets whose hosts hold a host, exact or as in a rule, the most specific first.
func (s *conditionIndex) eachHostBucket(host string, each func(*hostBucket) bool) {
	if host != "" {
		if b := s.buckets[host]; b != nil && !each(b) {
			return
		}
		// Of what stands above *.a.x the first is *.x, as of what stands above a.x.
		from := strings.TrimPrefix(host, "*.")
		for i := strings.IndexByte(from, '.'); i > 0; {
			if b := s.buckets["*"+from[i:]]; b != nil && !each(b) {
				return
			}
			next := strings.IndexByte(from[i+1:], '.')
			if next < 0 {
				break
			}
			i += 1 + next
		}
	}
	if b := s.buckets[""]; b != nil {
		each(b)
	}
}

// eachIntersecting calls with all conditions that have requests in common with an area by host and path.
func (s *conditionIndex) eachIntersecting(a requestSet, each func(*condition) bool) {
	if a.path != "" && (a.host == "" || a.host[0] == '*') && len(s.buckets) > 8 {
		s.anyHost.eachIntersecting(a, func(c *condition) bool {
			_, ok := intersectHosts(a.host, c.requests.host)
			return !ok || each(c)
		})
		return
	}
	more := true
	s.eachHostBucket(a.host, func(b *hostBucket) bool {
		more = b.eachIntersecting(a, each)
		return more
	})
	if !more || a.host != "" && a.host[0] != '*' {
		return
	}
	if s.reversedHosts == nil {
		for h := range s.buckets {
			s.reversedHosts = append(s.reversedHosts, reversed(h))
		}
		sort.Strings(s.reversedHosts)
	}
	suffix := reversed(strings.TrimPrefix(a.host, "*"))
	for i := sort.SearchStrings(s.reversedHosts, suffix); i < len(s.reversedHosts) && strings.HasPrefix(s.reversedHosts[i], suffix); i++ {
		if h := reversed(s.reversedHosts[i]); h != a.host && !s.buckets[h].eachIntersecting(a, each) {
			return
		}
	}
}

func reversed(s string) string {
	b := []byte(s)
	slices.Reverse(b)
	return string(b)
}

func (b *hostBucket) eachIntersecting(a requestSet, each func(*condition) bool) bool {
	all := func(lists ...[]*condition) bool {
		for _, l := range lists {
			for _, c := range l {
				if !each(c) {
					return false
				}
			}
		}
		return true
	}
	// Prefixes that the area's path is below, itself among them.
	at := a.path
	if a.exact {
		if !all(b.exact[at]) {
			return false
		}
		at = strings.TrimSuffix(at, "/")
	}
	for {
		if n := b.prefixes[at]; n != nil && !all(n.rules, n.classRules) {
			return false
		}
		if at == "" {
			break
		}
		at = at[:strings.LastIndexByte(at, '/')]
	}
	if a.exact {
		return true
	}
	return b.eachBelow(a, all)
}

// isBelow is meeting of the rules for paths at and below an area's.
func (b *hostBucket) eachBelow(a requestSet, all func(...[]*condition) bool) bool {
	if a.path != "" && !all(b.exact[a.path]) {
		return false
	}
	under := a.path + "/"
	atoms := b.allPaths()
	for i := sort.SearchStrings(atoms, under); i < len(atoms) && strings.HasPrefix(atoms[i], under); i++ {
		if !all(b.exact[atoms[i]]) {
			return false
		}
		if n := b.prefixes[atoms[i]]; n != nil && !all(n.rules, n.classRules) {
			return false
		}
	}
	return true
}

func (b *hostBucket) allPaths() []string {
	if b.sortedPaths == nil {
		b.sortedPaths = make([]string, 0, len(b.exact)+len(b.prefixes))
		for p := range b.exact {
			b.sortedPaths = append(b.sortedPaths, p)
		}
		for p := range b.prefixes {
			if b.exact[p] == nil {
				b.sortedPaths = append(b.sortedPaths, p)
			}
		}
		sort.Strings(b.sortedPaths)
	}
	return b.sortedPaths
}

// eachMatching calls with the conditions that hold for a request, by precedence, until told to stop.
func (s *conditionIndex) eachMatching(w *Witness, each func(*condition) bool) {
	more := true
	try := func(l []*condition) bool {
		for _, c := range l {
			s.visited++
			if c.canonical.MatchesRest(w.Path, w.Method, w.Headers) && !each(c) {
				more = false
				return false
			}
		}
		return true
	}
	s.eachHostBucket(w.Host, func(b *hostBucket) bool {
		if w.Path != "" && !try(b.exact[w.Path]) {
			return false
		}
		at := strings.TrimSuffix(w.Path, "/")
		for ; at != ""; at = at[:strings.LastIndexByte(at, '/')] {
			if n := b.prefixes[at]; n != nil && !try(n.rules) {
				return false
			}
		}
		var root, class []*condition
		if n := b.prefixes[""]; n != nil {
			root = n.rules
		}
		if n := b.prefixes["/"+route.FirstSegment(w.Path)]; n != nil {
			class = n.classRules
		}
		if len(class) > 0 && len(root) > 0 {
			root = append(slices.Clone(root), class...)
			slices.SortFunc(root, comparePrecedence)
		} else if len(class) > 0 {
			root = class
		}
		return try(root) && more
	})
}

// unnamedPlace gives a host and a path of an area that no rule below it holds for; false where there is none.
func (s *conditionIndex) unnamedPlace(a requestSet) (host, path string, ok bool) {
	host = a.host
	if suffix, wild := strings.CutPrefix(a.host, "*"); wild || host == "" {
		for i := 0; ; i++ {
			host = candidateName(i) + suffix
			if len(host) > maxHostBytes {
				return "", "", false
			}
			if s.buckets[host] == nil {
				break
			}
		}
	}
	free := func(path string) bool {
		ok := path != route.HealthPath
		s.eachHostBucket(host, func(b *hostBucket) bool {
			ok = ok && b.exact[path] == nil && (path == a.path || b.prefixes[strings.TrimSuffix(path, "/")] == nil || strings.TrimSuffix(path, "/") == a.path)
			return ok
		})
		return ok
	}
	switch {
	case strings.Contains(a.path, "?"): // where a target's query begins
		return "", "", false
	case a.exact:
		return host, a.path, true
	case a.path != "" && free(a.path):
		return host, a.path, true
	case free(a.path + "/"):
		return host, a.path + "/", true
	}
	for i := 0; ; i++ {
		if p := a.path + "/" + candidateName(i); free(p) {
			return host, p, true
		}
	}
}

const maxHostBytes = 255 // bytes of a host, as in route

// candidateName is the i-th of names that are as good as any, the shortest first.
func candidateName(i int) string {
	if i < 26 {
		return string(rune('a' + (23+i)%26))
	}
	return "x" + strconv.Itoa(i)
}

func (s *conditionIndex) unusedHeaderValue(name string) string {
	for i := 0; ; i++ {
		if s.headerUses[route.Header{Name: name, Value: candidateName(i)}] == 0 {
			return candidateName(i)
		}
	}
}

// unusedMethod gives a method that no rule names, one that is safe if that is asked for; "" is none. POST is
// not among the others, as the platform's classes make a difference of it.
func (s *conditionIndex) unusedMethod(safe bool) string {
	from := []string{http.MethodPut, http.MethodPatch, http.MethodDelete}
	if safe {
		from = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	}
	for _, m := range from {
		if s.methodUses[m] == 0 {
			return m
		}
	}
	for i := 0; !safe; i++ {
		if m := strings.ToUpper(candidateName(i)); s.methodUses[m] == 0 {
			return m
		}
	}
	return ""
}

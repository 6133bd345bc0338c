package regions

import (
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"

	"lockflow/internal/route"
)

// space is the rules of all regions by host and path. Conditions that rules of several regions share are
// held once, with who has them.
type space struct {
	conds   map[key]*cond
	buckets map[string]*bucket // by host as in rules
	all     *bucket            // of any host, to find by path what many hosts have
	hosts   []string           // of the buckets, turned round and sorted, so that those below a wildcard stand together; nil is not known
	methods map[string]int     // named by rules
	values  map[route.Header]int
	shifted bool // a host, a method or a header's value is named that was not, or no more: others may be free
	visited int  // conditions looked at, as a measure of the work
}

// key is conditions in their one form.
type key struct{ host, path, prefix, method, class, headers string }

// cond is conditions in their one form and the rules that have them.
type cond struct {
	form    route.CanonicalRule
	area    area
	uses    []use // by region
	differs bool  // not all regions have it with the same outcome
	mark    uint32
}

// use is a region's rule.
type use struct {
	region int32
	attr   int32
}

// bucket holds the conditions of one host.
type bucket struct {
	host  string
	exact map[string][]*cond // by precedence
	nodes map[string]*node   // by prefix
	atoms []string           // paths and prefixes, sorted; nil is not known
	conds int
}

// node is a prefix.
type node struct {
	rules []*cond // by precedence
	class []*cond // of any path, with the class that is this segment
}

func newSpace() *space {
	return &space{
		conds: make(map[key]*cond), buckets: make(map[string]*bucket), all: newBucket(""), methods: make(map[string]int),
		values: make(map[route.Header]int),
	}
}

// find gives the conditions of a rule, made where there are none; nil where no router takes them.
func (s *space) find(r *route.Rule) *cond {
	if len(r.Headers) == 0 {
		// Guards against the form's cost for each of many regions: what is there already is in its form.
		k := key{host: r.Host, path: r.Path, prefix: strings.TrimSuffix(r.Prefix, "/"), method: r.Method, class: r.Class}
		if k.class != "" && route.FirstSegment(k.path+k.prefix) == k.class {
			k.class = ""
		}
		if c := s.conds[k]; c != nil {
			return c
		}
	}
	f, err := route.Canonicalize(route.Rule{Host: r.Host, Path: r.Path, Prefix: r.Prefix, Method: r.Method, Class: r.Class, Headers: r.Headers})
	if err != nil {
		return nil
	}
	k := keyOf(f)
	c := s.conds[k]
	if c == nil {
		c = &cond{form: f, area: areaOf(f.Rule())}
		s.conds[k] = c
		s.add(c)
	}
	return c
}

func keyOf(f route.CanonicalRule) key {
	r := f.Rule()
	return key{r.Host, r.Path, r.Prefix, r.Method, r.Class, f.HeaderConditions()}
}

func newBucket(host string) *bucket {
	return &bucket{host: host, exact: make(map[string][]*cond), nodes: make(map[string]*node)}
}

func (s *space) add(c *cond) {
	b := s.buckets[c.area.host]
	if b == nil {
		b = newBucket(c.area.host)
		s.buckets[b.host], s.hosts, s.shifted = b, nil, true
	}
	b.add(c)
	s.all.add(c)
	s.count(c, 1)
}

func (b *bucket) add(c *cond) {
	b.conds++
	if !b.has(c.area.path) {
		b.atoms = nil
	}
	at := b.list(c)
	i, _ := slices.BinarySearchFunc(*at, c, compare)
	*at = slices.Insert(*at, i, c)
	if c.area.exact {
		b.exact[c.area.path] = *at
	}
}

func compare(a, b *cond) int { return a.form.Compare(b.form) }

func (b *bucket) has(path string) bool { return b.nodes[path] != nil || b.exact[path] != nil }

// list is where a condition of this bucket stands. That of an exact path is a copy.
func (b *bucket) list(c *cond) *[]*cond {
	if c.area.exact {
		l := b.exact[c.area.path]
		return &l
	}
	n := b.nodes[c.area.path]
	if n == nil {
		n = new(node)
		b.nodes[c.area.path] = n
	}
	if c.form.Rule().Class != "" {
		return &n.class
	}
	return &n.rules
}

// remove takes out a condition that no region has any more.
func (s *space) remove(c *cond) {
	delete(s.conds, keyOf(c.form))
	s.all.remove(c)
	b := s.buckets[c.area.host]
	if b.remove(c); b.conds == 0 {
		delete(s.buckets, b.host)
		s.hosts, s.shifted = nil, true
	}
	s.count(c, -1)
}

func (b *bucket) remove(c *cond) {
	path, at := c.area.path, b.list(c)
	i, _ := slices.BinarySearchFunc(*at, c, compare)
	*at = slices.Delete(*at, i, i+1)
	if c.area.exact {
		if b.exact[path] = *at; len(*at) == 0 {
			delete(b.exact, path)
		}
	} else if n := b.nodes[path]; len(n.rules)+len(n.class) == 0 {
		delete(b.nodes, path)
	}
	if !b.has(path) {
		b.atoms = nil
	}
	b.conds--
}

// count keeps which methods and values of headers are named.
func (s *space) count(c *cond, by int) {
	if m := c.area.method; m != "" {
		tally(s, s.methods, m, by)
	}
	for _, h := range c.area.headers {
		if !h.Any {
			tally(s, s.values, h, by)
		}
	}
}

func tally[K comparable](s *space, m map[K]int, k K, by int) {
	m[k] += by
	if n := m[k]; n == 0 {
		delete(m, k)
		s.shifted = true
	} else if n == by {
		s.shifted = true
	}
}

// chain calls with the buckets whose hosts hold a host, exact or as in a rule, the most specific first.
func (s *space) chain(host string, each func(*bucket) bool) {
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

// meeting calls with all conditions that have requests in common with an area by host and path.
func (s *space) meeting(a area, each func(*cond) bool) {
	if a.path != "" && (a.host == "" || a.host[0] == '*') && len(s.buckets) > 8 {
		s.all.meeting(a, func(c *cond) bool {
			_, ok := meetHosts(a.host, c.area.host)
			return !ok || each(c)
		})
		return
	}
	more := true
	s.chain(a.host, func(b *bucket) bool {
		more = b.meeting(a, each)
		return more
	})
	if !more || a.host != "" && a.host[0] != '*' {
		return
	}
	if s.hosts == nil {
		for h := range s.buckets {
			s.hosts = append(s.hosts, turned(h))
		}
		sort.Strings(s.hosts)
	}
	suffix := turned(strings.TrimPrefix(a.host, "*"))
	for i := sort.SearchStrings(s.hosts, suffix); i < len(s.hosts) && strings.HasPrefix(s.hosts[i], suffix); i++ {
		if h := turned(s.hosts[i]); h != a.host && !s.buckets[h].meeting(a, each) {
			return
		}
	}
}

func turned(s string) string {
	b := []byte(s)
	slices.Reverse(b)
	return string(b)
}

func (b *bucket) meeting(a area, each func(*cond) bool) bool {
	all := func(lists ...[]*cond) bool {
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
		if n := b.nodes[at]; n != nil && !all(n.rules, n.class) {
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
	return b.below(a, all)
}

// below is meeting of the rules for paths at and below an area's.
func (b *bucket) below(a area, all func(...[]*cond) bool) bool {
	if a.path != "" && !all(b.exact[a.path]) {
		return false
	}
	under := a.path + "/"
	atoms := b.sorted()
	for i := sort.SearchStrings(atoms, under); i < len(atoms) && strings.HasPrefix(atoms[i], under); i++ {
		if !all(b.exact[atoms[i]]) {
			return false
		}
		if n := b.nodes[atoms[i]]; n != nil && !all(n.rules, n.class) {
			return false
		}
	}
	return true
}

func (b *bucket) sorted() []string {
	if b.atoms == nil {
		b.atoms = make([]string, 0, len(b.exact)+len(b.nodes))
		for p := range b.exact {
			b.atoms = append(b.atoms, p)
		}
		for p := range b.nodes {
			if b.exact[p] == nil {
				b.atoms = append(b.atoms, p)
			}
		}
		sort.Strings(b.atoms)
	}
	return b.atoms
}

// choose calls with the conditions that hold for a request, by precedence, until told to stop.
func (s *space) choose(w *Witness, each func(*cond) bool) {
	more := true
	try := func(l []*cond) bool {
		for _, c := range l {
			s.visited++
			if c.form.MatchesRest(w.Path, w.Method, w.Headers) && !each(c) {
				more = false
				return false
			}
		}
		return true
	}
	s.chain(w.Host, func(b *bucket) bool {
		if w.Path != "" && !try(b.exact[w.Path]) {
			return false
		}
		at := strings.TrimSuffix(w.Path, "/")
		for ; at != ""; at = at[:strings.LastIndexByte(at, '/')] {
			if n := b.nodes[at]; n != nil && !try(n.rules) {
				return false
			}
		}
		var root, class []*cond
		if n := b.nodes[""]; n != nil {
			root = n.rules
		}
		if n := b.nodes["/"+route.FirstSegment(w.Path)]; n != nil {
			class = n.class
		}
		if len(class) > 0 && len(root) > 0 {
			root = append(slices.Clone(root), class...)
			slices.SortFunc(root, compare)
		} else if len(class) > 0 {
			root = class
		}
		return try(root) && more
	})
}

// place gives a host and a path of an area that no rule below it holds for; false where there is none.
func (s *space) place(a area) (host, path string, ok bool) {
	host = a.host
	if suffix, wild := strings.CutPrefix(a.host, "*"); wild || host == "" {
		for i := 0; ; i++ {
			host = fresh(i) + suffix
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
		s.chain(host, func(b *bucket) bool {
			ok = ok && b.exact[path] == nil && (path == a.path || b.nodes[strings.TrimSuffix(path, "/")] == nil || strings.TrimSuffix(path, "/") == a.path)
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
		if p := a.path + "/" + fresh(i); free(p) {
			return host, p, true
		}
	}
}

const maxHostBytes = 255 // bytes of a host, as in route

// fresh is the i-th of names that are as good as any, the shortest first.
func fresh(i int) string {
	if i < 26 {
		return string(rune('a' + (23+i)%26))
	}
	return "x" + strconv.Itoa(i)
}

func (s *space) freshValue(name string) string {
	for i := 0; ; i++ {
		if s.values[route.Header{Name: name, Value: fresh(i)}] == 0 {
			return fresh(i)
		}
	}
}

// freshMethod gives a method that no rule names, one that is safe if that is asked for; "" is none. POST is
// not among the others, as the platform's classes make a difference of it.
func (s *space) freshMethod(safe bool) string {
	from := []string{http.MethodPut, http.MethodPatch, http.MethodDelete}
	if safe {
		from = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	}
	for _, m := range from {
		if s.methods[m] == 0 {
			return m
		}
	}
	for i := 0; !safe; i++ {
		if m := strings.ToUpper(fresh(i)); s.methods[m] == 0 {
			return m
		}
	}
	return ""
}

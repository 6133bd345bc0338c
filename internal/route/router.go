package route

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Router selects the rule for a request. It is immutable and safe for concurrent use.
type Router struct {
	rules    []*compiledRule // in order of precedence
	exact    map[string]*hostRules
	wildcard map[string]*hostRules // by host suffix, without the star and beginning with the dot
	anyHost  *hostRules
}

// hostRules contains the rules for one host, one wildcard or any host.
type hostRules struct {
	exact        map[string][]*compiledRule // by path; each list is in order of precedence
	prefix       map[string][]*compiledRule // by prefix without a trailing slash, empty for any path; each list is in order of precedence
	prefixDepths uint64                     // bit n is set if a prefix has n segments; bit maxDepth, if one has maxDepth segments or more
}

const maxDepth = 63 // the highest bit of hostRules.prefixDepths

// New returns a Router for rules. It reports all rules that can't be used, not only the first one; the
// Router contains the other rules.
func New(rules []Rule) (*Router, []*RuleError) {
	r := &Router{exact: make(map[string]*hostRules), wildcard: make(map[string]*hostRules), anyHost: newBucket()}
	var problems []*RuleError
	byKey := make(map[string]*compiledRule)
	for i, given := range rules {
		c, key, err := compileRule(given, i)
		if err != nil {
			problems = append(problems, &RuleError{Index: i, Key: key, Err: err})
			continue
		}
		if earlier := byKey[c.key()]; earlier != nil {
			err := fmt.Errorf("can never match: route %q has the same conditions", earlier.Name)
			problems = append(problems, &RuleError{Index: i, Key: "name", Err: err})
			continue
		}
		byKey[c.key()] = c
		r.rules = append(r.rules, c)
	}
	slices.SortFunc(r.rules, compareSpecificity)
	for _, c := range r.rules {
		r.hostRules(c.Host).add(c)
	}
	return r, problems
}

func newBucket() *hostRules {
	return &hostRules{exact: make(map[string][]*compiledRule), prefix: make(map[string][]*compiledRule)}
}

// hostRules returns the rules for the host condition of a rule, and creates an empty set if there is none.
func (r *Router) hostRules(host string) *hostRules {
	if host == "" {
		return r.anyHost
	}
	buckets := r.exact
	name := host
	if suffix, ok := strings.CutPrefix(host, "*"); ok {
		buckets = r.wildcard
		name = suffix
	}
	if buckets[name] == nil {
		buckets[name] = newBucket()
	}
	return buckets[name]
}

// add adds a rule. Rules with the same path or prefix must be added in order of precedence.
func (b *hostRules) add(c *compiledRule) {
	if c.Path != "" {
		b.exact[c.Path] = append(b.exact[c.Path], c)
		return
	}
	b.prefix[c.Prefix] = append(b.prefix[c.Prefix], c)
	b.prefixDepths |= 1 << min(strings.Count(c.Prefix, "/"), maxDepth)
}

// Find returns the index, in the list passed to New, of the rule for a request, or false if no rule matches. host
// and path must be canonical. Find does not allocate.
func (r *Router) Find(host, path, method string, header http.Header) (index int, ok bool) {
	c := r.findByHost(host, path, method, header)
	if c == nil {
		c = r.anyHost.find(path, method, header)
	}
	if c == nil {
		return 0, false
	}
	return c.index, true
}

// findByHost returns the rule for a request among the rules with a host condition, or nil if none matches.
func (r *Router) findByHost(host, path, method string, header http.Header) *compiledRule {
	if host == "" {
		return nil
	}
	if b := r.exact[host]; b != nil {
		if c := b.find(path, method, header); c != nil {
			return c
		}
	}
	if len(r.wildcard) == 0 {
		return nil
	}
	for dot := strings.IndexByte(host, '.'); dot > 0; {
		if b := r.wildcard[host[dot:]]; b != nil {
			if c := b.find(path, method, header); c != nil {
				return c
			}
		}
		next := strings.IndexByte(host[dot+1:], '.')
		if next < 0 {
			break
		}
		dot += 1 + next
	}
	return nil
}

// find returns the rule for a request among the rules for one host, or nil if none matches.
func (b *hostRules) find(path, method string, header http.Header) *compiledRule {
	if c := firstMatch(b.exact[path], path, method, header); c != nil {
		return c
	}
	prefix := strings.TrimSuffix(path, "/")
	for depth := strings.Count(prefix, "/"); ; depth-- {
		// The bit set avoids a map lookup for each segment of a long path.
		if b.prefixDepths&(1<<min(depth, maxDepth)) != 0 {
			if c := firstMatch(b.prefix[prefix], path, method, header); c != nil {
				return c
			}
		}
		if depth == 0 {
			return nil
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
}

// firstMatch returns the first rule whose conditions other than host and path match, or nil if none does.
func firstMatch(rules []*compiledRule, path, method string, header http.Header) *compiledRule {
	for _, c := range rules {
		if c.matchesRest(path, method, header) {
			return c
		}
	}
	return nil
}

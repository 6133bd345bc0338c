// Package route finds the service of a request by its host, path, method, class and headers.
// It does no I/O and is compiled once; a Router never changes and is safe for concurrent use.
//
// Of the rules that match a request as a whole the most specific wins. More specific is, in
// this order:
//
//  1. host: an exact one, then the wildcard with the longest suffix, then any;
//  2. path: an exact one, then the longest prefix, then any;
//  3. method: a named one, then any;
//  4. class: a named one, then any;
//  5. headers: more conditions, then more of them that name a value;
//  6. the text of the header conditions, sorted: the one that comes first.
//
// No two rules of a Router are equal in all of these, so the order is total, and that of the
// rules in a file means nothing.
package route

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// HealthPath is the path that the node answers itself on every host.
const HealthPath = "/healthz"

// Header is a condition on one header.
type Header struct {
	Name  string `plan:"name"`  // in any case
	Value string `plan:"value"` // that it has, being given once; with Any it may have any
	Any   bool   `plan:"any"`   // it is there, be it empty or given more than once
}

// Rule leads requests to a service. An empty condition holds for all.
type Rule struct {
	Name    string `plan:"name"`
	Service string `plan:"service"`

	Host    string   `plan:"host"`   // exact, or "*." and a suffix, which stands for one label or more before it
	Path    string   `plan:"path"`   // exact
	Prefix  string   `plan:"prefix"` // of whole segments: /a is one of /a, /a/ and /a/b, not of /ab; not with Path
	Method  string   `plan:"method"`
	Class   string   `plan:"class"` // the first segment of the path
	Headers []Header `plan:"headers"`
}

// compiledRule is a compiled one.
type compiledRule struct {
	Rule
	index           int
	headerText      string // of the headers' conditions
	valueConditions int    // of them that name a value
}

// Router finds rules.
type Router struct {
	rules    []*compiledRule // by precedence
	exact    map[string]*bucket
	wildcard map[string]*bucket // by what follows the star, from its dot on
	anyHost  *bucket
}

// bucket holds the rules of one host.
type bucket struct {
	exact        map[string][]*compiledRule
	prefix       map[string][]*compiledRule // without a slash at the end; "" is any path
	prefixDepths uint64                     // bit n: there are prefixes of n segments; the last stands for more
}

const maxDepth = 63

// RuleError is a rule that can't be used, and the key of it that is to blame.
type RuleError struct {
	Index int // its place among those given to New
	Key   string
	Err   error
}

func (p *RuleError) Error() string { return fmt.Sprintf("%s: %v", p.Key, p.Err) }

// Unwrap gives what is wrong.
func (p *RuleError) Unwrap() error { return p.Err }

// New compiles rules. It gives all problems there are, not only the first.
func New(rules []Rule) (*Router, []*RuleError) {
	r := &Router{exact: make(map[string]*bucket), wildcard: make(map[string]*bucket), anyHost: newBucket()}
	var problems []*RuleError
	same := make(map[string]*compiledRule)
	for i, given := range rules {
		c, key, err := compile(given, i)
		if err == nil {
			if key = c.key(); same[key] != nil {
				err, key = fmt.Errorf("can never match: route %q has the same conditions", same[key].Name), "name"
			} else {
				same[key] = c
			}
		}
		if err != nil {
			problems = append(problems, &RuleError{i, key, err})
			continue
		}
		r.rules = append(r.rules, c)
	}
	slices.SortFunc(r.rules, precedence)
	for _, c := range r.rules {
		r.bucket(c.Host).add(c)
	}
	return r, problems
}

// compile brings a rule into its one form.
func compile(given Rule, index int) (c *compiledRule, key string, err error) {
	c = &compiledRule{Rule: given, index: index}
	if err := checkHost(c.Host); err != nil {
		return nil, "host", err
	}
	switch {
	case c.Path != "" && c.Prefix != "":
		return nil, "prefix", errors.New("not beside path")
	case c.Path != "":
		if err := checkCanonical(c.Path, CanonicalPath); err != nil {
			return nil, "path", err
		}
		if c.Path == HealthPath {
			return nil, "path", fmt.Errorf("can never match: the node itself answers %s", HealthPath)
		}
	case c.Prefix != "":
		if err := checkCanonical(c.Prefix, CanonicalPath); err != nil {
			return nil, "prefix", err
		}
		// /a/ is one of the paths below /a; as a prefix of whole segments it is /a.
		c.Prefix = strings.TrimSuffix(c.Prefix, "/")
	}
	if c.Method != "" && !validToken(c.Method) || c.Method == http.MethodConnect {
		return nil, "method", fmt.Errorf("%q can never match: no method with a path", c.Method)
	}
	if first := FirstSegment(c.Path + c.Prefix); c.Class != "" && first != "" {
		if first != c.Class {
			return nil, "class", fmt.Errorf("can never match: the path begins with %q, not with class %q", first, c.Class)
		}
		c.Class = "" // said twice
	}
	if strings.Contains(c.Class, "/") || c.Class != "" && checkCanonical("/"+c.Class, CanonicalPath) != nil || c.Path == "/" && c.Class != "" {
		return nil, "class", fmt.Errorf("%q can never match: it is no segment of a path", c.Class)
	}
	return c, "headers", c.headers()
}

// checkHost reports a rule's host that is not in its one form; "" is any.
func checkHost(rule string) error {
	if rule == "" {
		return nil
	}
	host, wild := strings.CutPrefix(rule, "*.")
	if err := checkCanonical(host, CanonicalHost); err != nil || host == "" {
		return cmp.Or(err, fmt.Errorf("%q names no host", rule))
	}
	if wild && strings.HasPrefix(host, "[") {
		return errors.New("a wildcard before an address")
	}
	return nil
}

// headers brings the conditions on headers into their one form.
func (c *compiledRule) headers() error {
	byName := make(map[string]Header)
	for _, h := range c.Headers {
		h.Name = textproto.CanonicalMIMEHeaderKey(h.Name)
		switch old, twice := byName[h.Name]; {
		case !validToken(h.Name):
			return fmt.Errorf("%q is no name of a header", h.Name)
		case h.Name == "Host" || h.Name == "Transfer-Encoding" || h.Name == "Trailer":
			return fmt.Errorf("can never match: %s is not among the headers a request is told by", h.Name)
		case !h.Any && (!httpguts.ValidHeaderFieldValue(h.Value) || strings.Trim(h.Value, " \t") != h.Value):
			return fmt.Errorf("%s: can never match: %q is no value of a header", h.Name, h.Value)
		case twice && !old.Any && !h.Any && old.Value != h.Value:
			return fmt.Errorf("%s: can never match: two values", h.Name)
		case twice && h.Any: // being there follows from any other condition
		default:
			byName[h.Name] = h
		}
	}
	c.Headers = nil
	var texts []string
	for _, h := range byName {
		c.Headers = append(c.Headers, h)
		if !h.Any {
			c.valueConditions++
		}
	}
	slices.SortFunc(c.Headers, func(a, b Header) int { return strings.Compare(a.text(), b.text()) })
	for _, h := range c.Headers {
		texts = append(texts, h.text())
	}
	c.headerText = strings.Join(texts, "\n")
	return nil
}

func (h Header) text() string {
	if h.Any {
		return h.Name
	}
	return h.Name + ": " + h.Value
}

func validToken(s string) bool { return httpguts.ValidHeaderFieldName(s) } // RFC 9110, 5.6.2

// key is the same for rules of the same conditions only.
func (c *compiledRule) key() string {
	return strings.Join([]string{c.Host, c.Path, c.Prefix, c.Method, c.Class, c.headerText}, "\x00")
}

// precedence orders rules, the most specific first.
func precedence(a, b *compiledRule) int {
	if c := cmp.Or(
		cmp.Compare(b.hostRank(), a.hostRank()),
		cmp.Compare(b.pathRank(), a.pathRank()),
		cmp.Compare(toInt(a.Method == ""), toInt(b.Method == "")),
		cmp.Compare(toInt(a.Class == ""), toInt(b.Class == "")),
		cmp.Compare(len(b.Headers), len(a.Headers)),
		cmp.Compare(b.valueConditions, a.valueConditions),
		cmp.Compare(a.headerText, b.headerText),
	); c != 0 {
		return c
	}
	return cmp.Compare(a.key(), b.key()) // such rules never match one request
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *compiledRule) hostRank() int {
	switch {
	case c.Host == "":
		return 0
	case strings.HasPrefix(c.Host, "*."):
		return len(c.Host)
	}
	return maxHostBytes + 3
}

func (c *compiledRule) pathRank() int {
	if c.Path != "" {
		return 1 << 30
	}
	return len(c.Prefix)
}

func newBucket() *bucket {
	return &bucket{exact: make(map[string][]*compiledRule), prefix: make(map[string][]*compiledRule)}
}

// bucket is that of a rule's host, made where there is none.
func (r *Router) bucket(host string) *bucket {
	if host == "" {
		return r.anyHost
	}
	in, name := r.exact, host
	if suffix, ok := strings.CutPrefix(host, "*"); ok {
		in, name = r.wildcard, suffix
	}
	if in[name] == nil {
		in[name] = newBucket()
	}
	return in[name]
}

// add takes in a rule; those of one path come by precedence.
func (b *bucket) add(c *compiledRule) {
	if c.Path != "" {
		b.exact[c.Path] = append(b.exact[c.Path], c)
		return
	}
	b.prefix[c.Prefix] = append(b.prefix[c.Prefix], c)
	b.prefixDepths |= 1 << min(strings.Count(c.Prefix, "/"), maxDepth)
}

// Find gives the place, among the rules given to New, of the one that a request leads to.
// Host and path are in their one form. It allocates nothing.
func (r *Router) Find(host, path, method string, header http.Header) (int, bool) {
	if host != "" {
		if b := r.exact[host]; b != nil {
			if c := b.find(path, method, header); c != nil {
				return c.index, true
			}
		}
		if len(r.wildcard) > 0 {
			for i := strings.IndexByte(host, '.'); i > 0; {
				if b := r.wildcard[host[i:]]; b != nil {
					if c := b.find(path, method, header); c != nil {
						return c.index, true
					}
				}
				next := strings.IndexByte(host[i+1:], '.')
				if next < 0 {
					break
				}
				i += 1 + next
			}
		}
	}
	if c := r.anyHost.find(path, method, header); c != nil {
		return c.index, true
	}
	return 0, false
}

func (b *bucket) find(path, method string, header http.Header) *compiledRule {
	if c := firstMatch(b.exact[path], path, method, header); c != nil {
		return c
	}
	prefix := strings.TrimSuffix(path, "/")
	for depth := strings.Count(prefix, "/"); ; depth-- {
		// Guards against a look-up for each of a path's many segments.
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

// firstMatch is the first rule whose other conditions hold.
func firstMatch(rules []*compiledRule, path, method string, header http.Header) *compiledRule {
	for _, c := range rules {
		if (c.Method == "" || c.Method == method) && (c.Class == "" || c.Class == FirstSegment(path)) && c.headersMatch(header) {
			return c
		}
	}
	return nil
}

func (c *compiledRule) headersMatch(header http.Header) bool {
	for i := range c.Headers {
		h := &c.Headers[i]
		given := header[h.Name]
		if len(given) == 0 || !h.Any && (len(given) != 1 || given[0] != h.Value) {
			return false
		}
	}
	return true
}

// matches tells whether all conditions of a rule hold, one by one.
func (c *compiledRule) matches(host, path, method string, header http.Header) bool {
	suffix, wild := strings.CutPrefix(c.Host, "*")
	hostOK := c.Host == "" || !wild && c.Host == host ||
		wild && len(host) > len(suffix) && strings.HasSuffix(host, suffix)
	pathOK := c.Path == path
	if c.Path == "" {
		pathOK = c.Prefix == "" || path == c.Prefix || strings.HasPrefix(path, c.Prefix+"/")
	}
	return hostOK && pathOK && firstMatch([]*compiledRule{c}, path, method, header) != nil
}

// Explain tells which rules match a request, the one that wins first, each with its place among
// those given to New and its conditions in words. It is for people, and slow.
func (r *Router) Explain(host, path, method string, header http.Header) []Match {
	var all []Match
	for _, c := range r.rules {
		if c.matches(host, path, method, header) {
			all = append(all, Match{c.index, c.describe()})
		}
	}
	return all
}

// Match is a rule that matches a request.
type Match struct {
	Index      int
	Conditions []string
}

// describe are a rule's conditions, by precedence.
func (c *compiledRule) describe() []string {
	var w []string
	add := func(has bool, format string, args ...any) {
		if has {
			w = append(w, fmt.Sprintf(format, args...))
		}
	}
	add(strings.HasPrefix(c.Host, "*"), "host ends in %s", strings.TrimPrefix(c.Host, "*"))
	add(c.Host != "" && !strings.HasPrefix(c.Host, "*"), "host is %s", c.Host)
	add(c.Path != "", "path is %s", c.Path)
	add(c.Prefix != "", "path is %s or below it", c.Prefix)
	add(c.Method != "", "method is %s", c.Method)
	add(c.Class != "", "class is %s", c.Class)
	for _, h := range c.Headers {
		add(h.Any, "header %s is there", h.Name)
		add(!h.Any, "header %s is %q", h.Name, h.Value)
	}
	if w == nil {
		w = []string{"any request"}
	}
	return w
}

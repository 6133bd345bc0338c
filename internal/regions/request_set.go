package regions

import (
	"net/http"
	"strings"

	"lockflow/internal/route"
)

// requestSet is the requests that conditions hold for: a host with those below it, a path with those below it,
// a method and conditions on headers. A named class is the paths below its segment.
type requestSet struct {
	host    string // as a rule's
	path    string // exact, or a prefix of whole segments; "" is any
	exact   bool
	method  string
	headers []route.Header // each name once
}

func requestsOf(r *route.Rule) requestSet {
	a := requestSet{host: r.Host, path: r.Prefix, method: r.Method, headers: r.Headers}
	if r.Path != "" {
		a.path, a.exact = r.Path, true
	} else if r.Class != "" {
		a.path = "/" + r.Class // a class beside a prefix says nothing, and is "" in the one form
	}
	return a
}

// intersect is what two areas have in common, and false where that is nothing.
func (a requestSet) intersect(b requestSet) (requestSet, bool) {
	var ok bool
	if a.host, ok = intersectHosts(a.host, b.host); !ok {
		return a, false
	}
	switch {
	case a.exact && b.exact:
		ok = a.path == b.path
	case a.exact:
		ok = isBelow(a.path, b.path)
	case isBelow(b.path, a.path):
		a.path, a.exact = b.path, b.exact
	default:
		ok = !b.exact && isBelow(a.path, b.path)
	}
	if !ok || a.method != "" && b.method != "" && a.method != b.method {
		return a, false
	}
	if a.method == "" {
		a.method = b.method
	}
	a.headers, ok = intersectHeaders(a.headers, b.headers)
	return a, ok
}

func intersectHosts(a, b string) (string, bool) {
	switch {
	case a == b || b == "":
		return a, true
	case a == "":
		return b, true
	case isHostBelow(a, b):
		return a, true
	case isHostBelow(b, a):
		return b, true
	}
	return "", false
}

// isHostBelow tells whether all hosts of a are among those of the wildcard b.
func isHostBelow(a, b string) bool {
	suffix, wild := strings.CutPrefix(b, "*")
	a = strings.TrimPrefix(a, "*")
	return wild && len(a) > len(suffix) && strings.HasSuffix(a, suffix)
}

// eachBelow tells whether a path is one of a prefix of whole segments.
func isBelow(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

func intersectHeaders(a, b []route.Header) ([]route.Header, bool) {
	if len(a) == 0 || len(b) == 0 {
		return append(a[:len(a):len(a)], b...), true
	}
	out := append([]route.Header(nil), a...)
next:
	for _, h := range b {
		for i := range out {
			if o := &out[i]; o.Name == h.Name {
				if o.Any {
					*o = h
				} else if !h.Any && o.Value != h.Value {
					return nil, false
				}
				continue next
			}
		}
		out = append(out, h)
	}
	return out, true
}

// minimalHeaders is the least that the conditions on headers ask for: what may be absent is, and what may have
// any value has one that no rule names.
func (s *conditionIndex) minimalHeaders(a requestSet) http.Header {
	if len(a.headers) == 0 {
		return nil
	}
	out := make(http.Header, len(a.headers))
	for _, h := range a.headers {
		v := h.Value
		if h.Any {
			v = s.unusedHeaderValue(h.Name)
		}
		out[h.Name] = []string{v}
	}
	return out
}

// matchesNothing tells whether no request can have a condition's host or path: the path would hold what begins a
// query, or the wildcard has no room for a label.
func (c *condition) matchesNothing() bool {
	return strings.Contains(c.requests.path, "?") || c.requests.host != "" && c.requests.host[0] == '*' && len(c.requests.host) > maxHostBytes
}

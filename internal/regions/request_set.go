package regions

import (
	"strings"

	"lockflow/internal/route"
)

// requestSet is the set of requests that match a rule's conditions: a host or a wildcard, a path or a
// prefix, a method and conditions on headers. An empty string matches any value. A rule's class is
// represented by the prefix that consists of the class's path segment.
type requestSet struct {
	host        string // as in a rule: exact, "*.suffix" or any
	path        string // an exact path, or a prefix of complete segments
	isExactPath bool
	method      string
	headers     []route.Header // each name at most once
}

func requestsOf(rule *route.Rule) requestSet {
	set := requestSet{host: rule.Host, path: rule.Prefix, method: rule.Method, headers: rule.Headers}
	if rule.Path != "" {
		set.path, set.isExactPath = rule.Path, true
	} else if rule.Class != "" {
		set.path = "/" + rule.Class // in canonical form a rule has either a prefix or a class
	}
	return set
}

// intersect returns the requests that are in both sets; false if there are none.
func (a requestSet) intersect(b requestSet) (requestSet, bool) {
	var ok bool
	if a.host, ok = intersectHosts(a.host, b.host); !ok {
		return a, false
	}
	switch {
	case a.isExactPath && b.isExactPath:
		ok = a.path == b.path
	case a.isExactPath:
		ok = isBelow(a.path, b.path)
	case isBelow(b.path, a.path):
		a.path, a.isExactPath = b.path, b.isExactPath
	default:
		ok = !b.isExactPath && isBelow(a.path, b.path)
	}
	if !ok || !canShareMethod(a.method, b.method) {
		return a, false
	}
	if a.method == "" {
		a.method = b.method
	}
	a.headers, ok = intersectHeaders(a.headers, b.headers)
	return a, ok
}

func canShareMethod(a, b string) bool { return a == "" || b == "" || a == b }

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

// isHostBelow reports whether b is a wildcard that matches every host that a matches.
func isHostBelow(a, b string) bool {
	suffix, isWildcard := strings.CutPrefix(b, "*")
	a = strings.TrimPrefix(a, "*")
	return isWildcard && len(a) > len(suffix) && strings.HasSuffix(a, suffix)
}

// isBelow reports whether a path starts with a prefix of complete segments.
func isBelow(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

func intersectHeaders(a, b []route.Header) ([]route.Header, bool) {
	if len(a) == 0 || len(b) == 0 {
		return append(a[:len(a):len(a)], b...), true
	}
	common := append([]route.Header(nil), a...)
next:
	for _, header := range b {
		for i := range common {
			if other := &common[i]; other.Name == header.Name {
				if other.Any {
					*other = header
				} else if !header.Any && other.Value != header.Value {
					return nil, false
				}
				continue next
			}
		}
		common = append(common, header)
	}
	return common, true
}

// matchesNothing reports whether no request can have the condition's host or path: the path contains the
// start of a query, or the wildcard is so long that no label fits into the maximum length of a host.
func (c *condition) matchesNothing() bool {
	host := c.requests.host
	isWildcard := host != "" && host[0] == '*'
	return strings.Contains(c.requests.path, "?") || isWildcard && len(host) > maxHostBytes
}

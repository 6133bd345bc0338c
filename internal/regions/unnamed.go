package regions

import (
	"net/http"
	"strconv"
	"strings"

	"lockflow/internal/route"
)

// maxHostBytes is the largest length of a host in bytes that package route accepts.
const maxHostBytes = 255

// minimalHeaders returns the headers that the conditions require, and no others. A header that may have any
// value gets one that no rule names.
func (s *conditionIndex) minimalHeaders(set requestSet) http.Header {
	if len(set.headers) == 0 {
		return nil
	}
	headers := make(http.Header, len(set.headers))
	for _, condition := range set.headers {
		value := condition.Value
		if condition.Any {
			value = s.unusedHeaderValue(condition.Name)
		}
		headers[condition.Name] = []string{value}
	}
	return headers
}

// unnamedHostAndPath returns a host and a path of a request set to which no more specific rule applies; false
// if there is none.
func (s *conditionIndex) unnamedHostAndPath(set requestSet) (host, path string, ok bool) {
	if host, ok = s.unnamedHost(set.host); !ok {
		return "", "", false
	}
	switch {
	case strings.Contains(set.path, "?"): // "?" starts a query, so that no request's path contains it
		return "", "", false
	case set.isExactPath:
		return host, set.path, true
	case set.path != "" && s.isUnnamedPath(host, set.path, set.path):
		return host, set.path, true
	case s.isUnnamedPath(host, set.path+"/", set.path):
		return host, set.path + "/", true
	}
	for i := 0; ; i++ {
		if path := set.path + "/" + candidateName(i); s.isUnnamedPath(host, path, set.path) {
			return host, path, true
		}
	}
}

// unnamedHost returns a host that matches a rule's host pattern and that no rule names, or the pattern itself if it is exact.
func (s *conditionIndex) unnamedHost(pattern string) (host string, ok bool) {
	suffix, isWildcard := strings.CutPrefix(pattern, "*")
	if !isWildcard && pattern != "" {
		return pattern, true
	}
	for i := 0; ; i++ {
		host = candidateName(i) + suffix
		if len(host) > maxHostBytes {
			return "", false
		}
		if s.buckets[host] == nil {
			return host, true
		}
	}
}

// isUnnamedPath reports whether no rule names a path for a host, other than by the given prefix.
func (s *conditionIndex) isUnnamedPath(host, path, prefix string) bool {
	isFree := path != route.HealthPath // the instance answers it itself
	segments := strings.TrimSuffix(path, "/")
	s.eachHostBucket(host, func(b *hostBucket) bool {
		hasPrefix := path != prefix && segments != prefix && b.prefixes[segments] != nil
		isFree = isFree && b.exact[path] == nil && !hasPrefix
		return isFree
	})
	return isFree
}

// candidateName returns the i-th of an infinite sequence of distinct names, the shortest first.
func candidateName(i int) string {
	const letters, firstLetter = 26, 23 // starts at x, y, z
	if i < letters {
		return string(rune('a' + (firstLetter+i)%letters))
	}
	return "x" + strconv.Itoa(i)
}

// unusedHeaderValue returns a value that no rule names for a header.
func (s *conditionIndex) unusedHeaderValue(name string) string {
	for i := 0; ; i++ {
		if s.headerUses[route.Header{Name: name, Value: candidateName(i)}] == 0 {
			return candidateName(i)
		}
	}
}

// unusedMethod returns a method that no rule names, either safe or unsafe. It returns "" if rules name all
// safe methods. It never returns POST, which the platform's classes treat differently from other unsafe methods.
func (s *conditionIndex) unusedMethod(isSafe bool) string {
	methods := []string{http.MethodPut, http.MethodPatch, http.MethodDelete}
	if isSafe {
		methods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	}
	for _, method := range methods {
		if s.methodUses[method] == 0 {
			return method
		}
	}
	for i := 0; !isSafe; i++ {
		if method := strings.ToUpper(candidateName(i)); s.methodUses[method] == 0 {
			return method
		}
	}
	return ""
}

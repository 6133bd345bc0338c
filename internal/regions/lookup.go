package regions

import (
	"slices"
	"sort"
	"strings"

	"lockflow/internal/route"
)

// minBucketsForPathLookup is the number of hosts from which a lookup for a wildcard host searches by path
// first, since most hosts have no rule for that path.
const minBucketsForPathLookup = 9

// eachHostBucket calls each with the buckets whose hosts match a host, the most specific first, until each
// returns false. The host is exact or a wildcard as in a rule.
func (s *conditionIndex) eachHostBucket(host string, each func(*hostBucket) bool) {
	if host != "" {
		if bucket := s.buckets[host]; bucket != nil && !each(bucket) {
			return
		}
		// The first parent of *.a.x is *.x, the same as that of a.x.
		labels := strings.TrimPrefix(host, "*.")
		for i := strings.IndexByte(labels, '.'); i > 0; {
			if bucket := s.buckets["*"+labels[i:]]; bucket != nil && !each(bucket) {
				return
			}
			next := strings.IndexByte(labels[i+1:], '.')
			if next < 0 {
				break
			}
			i += 1 + next
		}
	}
	if bucket := s.buckets[""]; bucket != nil {
		each(bucket)
	}
}

// eachIntersecting calls each with all conditions whose hosts and paths intersect those of a request set,
// until each returns false.
func (s *conditionIndex) eachIntersecting(set requestSet, each func(*condition) bool) {
	isExactHost := set.host != "" && set.host[0] != '*'
	if !isExactHost && set.path != "" && len(s.buckets) >= minBucketsForPathLookup {
		s.anyHost.eachIntersecting(set, func(c *condition) bool {
			_, ok := intersectHosts(set.host, c.requests.host)
			return !ok || each(c)
		})
		return
	}
	isContinued := true
	s.eachHostBucket(set.host, func(bucket *hostBucket) bool {
		isContinued = bucket.eachIntersecting(set, each)
		return isContinued
	})
	if isContinued && !isExactHost {
		s.eachBelowWildcard(set, each)
	}
}

// eachBelowWildcard is eachIntersecting restricted to the hosts that a request set's wildcard matches.
func (s *conditionIndex) eachBelowWildcard(set requestSet, each func(*condition) bool) {
	if s.reversedHosts == nil {
		for host := range s.buckets {
			s.reversedHosts = append(s.reversedHosts, reversed(host))
		}
		sort.Strings(s.reversedHosts)
	}
	suffix := reversed(strings.TrimPrefix(set.host, "*"))
	for i := sort.SearchStrings(s.reversedHosts, suffix); i < len(s.reversedHosts) && strings.HasPrefix(s.reversedHosts[i], suffix); i++ {
		if host := reversed(s.reversedHosts[i]); host != set.host && !s.buckets[host].eachIntersecting(set, each) {
			return
		}
	}
}

func reversed(text string) string {
	bytes := []byte(text)
	slices.Reverse(bytes)
	return string(bytes)
}

// eachMatching calls each with the conditions that a request matches, in order of precedence, until each returns false.
func (s *conditionIndex) eachMatching(request *Witness, each func(*condition) bool) {
	eachOf := func(list []*condition) bool {
		for _, c := range list {
			s.visited++
			if c.canonical.MatchesRest(request.Path, request.Method, request.Headers) && !each(c) {
				return false
			}
		}
		return true
	}
	s.eachHostBucket(request.Host, func(bucket *hostBucket) bool {
		if request.Path != "" && !eachOf(bucket.exact[request.Path]) {
			return false
		}
		prefix := strings.TrimSuffix(request.Path, "/")
		for ; prefix != ""; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
			if node := bucket.prefixes[prefix]; node != nil && !eachOf(node.rules) {
				return false
			}
		}
		return eachOf(bucket.anyPathRules(request.Path))
	})
}

// anyPathRules returns the conditions without a path and those on the class that the first segment of path
// names, in order of precedence.
func (b *hostBucket) anyPathRules(path string) []*condition {
	var rules, classRules []*condition
	if node := b.prefixes[""]; node != nil {
		rules = node.rules
	}
	if node := b.prefixes["/"+route.FirstSegment(path)]; node != nil {
		classRules = node.classRules
	}
	if len(classRules) == 0 {
		return rules
	}
	if len(rules) == 0 {
		return classRules
	}
	rules = append(slices.Clone(rules), classRules...)
	slices.SortFunc(rules, comparePrecedence)
	return rules
}

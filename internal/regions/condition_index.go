package regions

import (
	"strings"

	"lockflow/internal/route"
)

// conditionIndex finds the conditions of all regions' rules by host and path. A condition that rules of
// several regions have is stored once, with the rules that use it.
type conditionIndex struct {
	conditions    map[conditionKey]*condition
	buckets       map[string]*hostBucket // by host as rules name it
	anyHost       *hostBucket            // the conditions of all hosts, for lookups by path where many hosts match
	reversedHosts []string               // the buckets' hosts with bytes reversed, sorted so that all below a wildcard are adjacent; nil until needed
	methodUses    map[string]int         // number of conditions that name each method
	headerUses    map[route.Header]int   // number of conditions that name each header value
	namesChanged  bool                   // a host, method or header value was added or is no longer named, so that minimal requests may change
	visited       int                    // number of conditions examined so far, as a measure of work
}

// conditionKey identifies conditions in canonical form.
type conditionKey struct{ host, path, prefix, method, class, headers string }

// condition holds a rule's conditions in canonical form, with the rules that have them.
type condition struct {
	canonical route.CanonicalRule
	requests  requestSet
	uses      []ruleUse // by region
	differs   bool      // some region lacks the condition or has it with another outcome
	lastPass  uint32    // value of Index.pass at the last visit
}

// ruleUse is the rule of one region that has a condition.
type ruleUse struct {
	region int32
	ruleID int32
}

func newConditionIndex() *conditionIndex {
	return &conditionIndex{
		conditions: make(map[conditionKey]*condition),
		buckets:    make(map[string]*hostBucket),
		anyHost:    newHostBucket(""),
		methodUses: make(map[string]int),
		headerUses: make(map[route.Header]int),
	}
}

// findOrAdd returns the condition of a rule, and adds it if it is new. It returns nil if package route
// rejects the rule.
func (s *conditionIndex) findOrAdd(rule *route.Rule) *condition {
	if c := s.findWithoutHeaders(rule); c != nil {
		return c
	}
	canonical, err := route.Canonicalize(route.Rule{
		Host: rule.Host, Path: rule.Path, Prefix: rule.Prefix, Method: rule.Method, Class: rule.Class, Headers: rule.Headers,
	})
	if err != nil {
		return nil
	}
	key := conditionKeyOf(canonical)
	c := s.conditions[key]
	if c == nil {
		c = &condition{canonical: canonical, requests: requestsOf(canonical.Rule())}
		s.conditions[key] = c
		s.add(c)
	}
	return c
}

// findWithoutHeaders returns the known condition of a rule without header conditions, or nil. It avoids
// the cost of building the canonical form for each of many regions with the same rule.
func (s *conditionIndex) findWithoutHeaders(rule *route.Rule) *condition {
	if len(rule.Headers) > 0 {
		return nil
	}
	key := conditionKey{host: rule.Host, path: rule.Path, prefix: strings.TrimSuffix(rule.Prefix, "/"), method: rule.Method, class: rule.Class}
	if key.class != "" && route.FirstSegment(key.path+key.prefix) == key.class {
		key.class = ""
	}
	return s.conditions[key]
}

func conditionKeyOf(canonical route.CanonicalRule) conditionKey {
	rule := canonical.Rule()
	return conditionKey{rule.Host, rule.Path, rule.Prefix, rule.Method, rule.Class, canonical.HeaderConditions()}
}

// comparePrecedence orders conditions by the router's precedence, the most specific first.
func comparePrecedence(a, b *condition) int { return a.canonical.Compare(b.canonical) }

func (s *conditionIndex) add(c *condition) {
	bucket := s.buckets[c.requests.host]
	if bucket == nil {
		bucket = newHostBucket(c.requests.host)
		s.buckets[bucket.host] = bucket
		s.reversedHosts = nil
		s.namesChanged = true
	}
	bucket.add(c)
	s.anyHost.add(c)
	s.countNames(c, 1)
}

// remove deletes a condition that no region uses any longer.
func (s *conditionIndex) remove(c *condition) {
	delete(s.conditions, conditionKeyOf(c.canonical))
	s.anyHost.remove(c)
	bucket := s.buckets[c.requests.host]
	bucket.remove(c)
	if bucket.conditionCount == 0 {
		delete(s.buckets, bucket.host)
		s.reversedHosts = nil
		s.namesChanged = true
	}
	s.countNames(c, -1)
}

// countNames adds delta to the uses of the method and the header values that a condition names.
func (s *conditionIndex) countNames(c *condition, delta int) {
	if method := c.requests.method; method != "" {
		addCount(s, s.methodUses, method, delta)
	}
	for _, header := range c.requests.headers {
		if !header.Any {
			addCount(s, s.headerUses, header, delta)
		}
	}
}

func addCount[K comparable](s *conditionIndex, counts map[K]int, key K, delta int) {
	counts[key] += delta
	switch counts[key] {
	case 0:
		delete(counts, key)
		s.namesChanged = true
	case delta:
		s.namesChanged = true
	}
}

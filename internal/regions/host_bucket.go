package regions

import (
	"slices"
	"sort"
	"strings"
)

// hostBucket holds the conditions of one host by path.
type hostBucket struct {
	host           string
	exact          map[string][]*condition // by exact path, each list by precedence
	prefixes       map[string]*prefixNode
	sortedPaths    []string // the keys of exact and prefixes; nil until needed
	conditionCount int
}

// prefixNode holds the conditions of one prefix.
type prefixNode struct {
	rules      []*condition // by precedence
	classRules []*condition // conditions on the class that this segment names, with any path; by precedence
}

func newHostBucket(host string) *hostBucket {
	return &hostBucket{host: host, exact: make(map[string][]*condition), prefixes: make(map[string]*prefixNode)}
}

func (b *hostBucket) add(c *condition) {
	b.conditionCount++
	if !b.hasPath(c.requests.path) {
		b.sortedPaths = nil
	}
	list := b.listOf(c)
	i, _ := slices.BinarySearchFunc(*list, c, comparePrecedence)
	*list = slices.Insert(*list, i, c)
	if c.requests.isExactPath {
		b.exact[c.requests.path] = *list
	}
}

func (b *hostBucket) remove(c *condition) {
	path := c.requests.path
	list := b.listOf(c)
	i, _ := slices.BinarySearchFunc(*list, c, comparePrecedence)
	*list = slices.Delete(*list, i, i+1)
	if c.requests.isExactPath {
		if b.exact[path] = *list; len(*list) == 0 {
			delete(b.exact, path)
		}
	} else if node := b.prefixes[path]; len(node.rules)+len(node.classRules) == 0 {
		delete(b.prefixes, path)
	}
	if !b.hasPath(path) {
		b.sortedPaths = nil
	}
	b.conditionCount--
}

func (b *hostBucket) hasPath(path string) bool {
	return b.prefixes[path] != nil || b.exact[path] != nil
}

// listOf returns the list that a condition belongs to. For an exact path it is a copy of the slice header in
// the map, and the caller has to store a changed one.
func (b *hostBucket) listOf(c *condition) *[]*condition {
	if c.requests.isExactPath {
		list := b.exact[c.requests.path]
		return &list
	}
	node := b.prefixes[c.requests.path]
	if node == nil {
		node = new(prefixNode)
		b.prefixes[c.requests.path] = node
	}
	if c.canonical.Rule().Class != "" {
		return &node.classRules
	}
	return &node.rules
}

// eachIntersecting calls each with the conditions whose paths intersect those of a request set, until each
// returns false. It returns false if each did.
func (b *hostBucket) eachIntersecting(set requestSet, each func(*condition) bool) bool {
	eachOf := func(lists ...[]*condition) bool {
		for _, list := range lists {
			for _, c := range list {
				if !each(c) {
					return false
				}
			}
		}
		return true
	}
	prefix := set.path
	if set.isExactPath {
		if !eachOf(b.exact[prefix]) {
			return false
		}
		prefix = strings.TrimSuffix(prefix, "/")
	}
	if !b.eachPrefixOf(prefix, eachOf) {
		return false
	}
	return set.isExactPath || b.eachBelow(set.path, eachOf)
}

// eachPrefixOf calls eachOf with the conditions of a prefix and of all its parents.
func (b *hostBucket) eachPrefixOf(prefix string, eachOf func(...[]*condition) bool) bool {
	for {
		if node := b.prefixes[prefix]; node != nil && !eachOf(node.rules, node.classRules) {
			return false
		}
		if prefix == "" {
			return true
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
}

// eachBelow calls eachOf with the conditions of the exact path that equals a prefix, and of all paths and
// prefixes below it.
func (b *hostBucket) eachBelow(prefix string, eachOf func(...[]*condition) bool) bool {
	if prefix != "" && !eachOf(b.exact[prefix]) {
		return false
	}
	parent := prefix + "/"
	paths := b.allPaths()
	for i := sort.SearchStrings(paths, parent); i < len(paths) && strings.HasPrefix(paths[i], parent); i++ {
		if !eachOf(b.exact[paths[i]]) {
			return false
		}
		if node := b.prefixes[paths[i]]; node != nil && !eachOf(node.rules, node.classRules) {
			return false
		}
	}
	return true
}

// allPaths returns the bucket's paths and prefixes, sorted.
func (b *hostBucket) allPaths() []string {
	if b.sortedPaths == nil {
		b.sortedPaths = make([]string, 0, len(b.exact)+len(b.prefixes))
		for path := range b.exact {
			b.sortedPaths = append(b.sortedPaths, path)
		}
		for prefix := range b.prefixes {
			if b.exact[prefix] == nil {
				b.sortedPaths = append(b.sortedPaths, prefix)
			}
		}
		sort.Strings(b.sortedPaths)
	}
	return b.sortedPaths
}

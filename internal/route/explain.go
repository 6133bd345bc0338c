package route

import (
	"fmt"
	"net/http"
	"strings"
)

// Match is a rule that matches a request.
type Match struct {
	Index      int // index of the rule in the list passed to New
	Conditions []string
}

// Explain returns the rules that match a request, in order of precedence, with descriptions of their conditions.
// It shows operators why a request takes a route: unlike Find, it checks all rules.
func (r *Router) Explain(host, path, method string, header http.Header) []Match {
	var matches []Match
	for _, c := range r.rules {
		if c.matches(host, path, method, header) {
			matches = append(matches, Match{c.index, c.describe()})
		}
	}
	return matches
}

// matches reports whether all conditions of a rule match a request.
func (c *compiledRule) matches(host, path, method string, header http.Header) bool {
	return c.matchesHost(host) && c.matchesPath(path) && c.matchesRest(path, method, header)
}

func (c *compiledRule) matchesHost(host string) bool {
	if c.Host == "" {
		return true
	}
	suffix, isWildcard := strings.CutPrefix(c.Host, "*")
	if !isWildcard {
		return c.Host == host
	}
	return len(host) > len(suffix) && strings.HasSuffix(host, suffix)
}

func (c *compiledRule) matchesPath(path string) bool {
	if c.Path != "" {
		return c.Path == path
	}
	return c.Prefix == "" || path == c.Prefix || strings.HasPrefix(path, c.Prefix+"/")
}

// describe returns descriptions of a rule's conditions, in order of the criteria of precedence.
func (c *compiledRule) describe() []string {
	var conditions []string
	add := func(applies bool, format string, args ...any) {
		if applies {
			conditions = append(conditions, fmt.Sprintf(format, args...))
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
	if conditions == nil {
		conditions = []string{"any request"}
	}
	return conditions
}

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

// HealthPath is the path of the node's own health check, on every host.
const HealthPath = "/healthz"

// Header is a condition on a request header.
type Header struct {
	Name  string `plan:"name"`  // case-insensitive
	Value string `plan:"value"` // the header must be present exactly once, with this value; ignored if Any is set
	Any   bool   `plan:"any"`   // the header must be present, with any value or several
}

// Rule routes matching requests to a service. An empty condition matches every request.
type Rule struct {
	Name    string `plan:"name"`
	Service string `plan:"service"`

	Host    string   `plan:"host"`   // exact, or "*." and a suffix, where the star matches one or more labels
	Path    string   `plan:"path"`   // exact
	Prefix  string   `plan:"prefix"` // matches complete segments: /a matches /a, /a/ and /a/b, but not /ab; excludes Path
	Method  string   `plan:"method"`
	Class   string   `plan:"class"` // the first segment of the path
	Headers []Header `plan:"headers"`
}

// RuleError reports a rule that can't be used and the configuration key that causes the error.
type RuleError struct {
	Index int // index of the rule in the list passed to New
	Key   string
	Err   error
}

// Error returns the key and the cause.
func (e *RuleError) Error() string { return fmt.Sprintf("%s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RuleError) Unwrap() error { return e.Err }

// Ranks of exact hosts and paths, which are above the ranks of all wildcards and prefixes.
const (
	exactHostRank = maxHostBytes + 3
	exactPathRank = 1 << 30
)

// compiledRule is a rule in canonical form, prepared for matching.
type compiledRule struct {
	Rule
	index           int    // index in the list passed to New
	headerText      string // text of all header conditions; the same only for equal conditions
	valueConditions int    // number of header conditions with a value
}

// compileRule converts a rule to its canonical form. With an error, it also returns the configuration key that causes it.
func compileRule(given Rule, index int) (c *compiledRule, key string, err error) {
	c = &compiledRule{Rule: given, index: index}
	if err := checkHost(c.Host); err != nil {
		return nil, "host", err
	}
	if key, err := c.compilePath(); err != nil {
		return nil, key, err
	}
	if c.Method != "" && !validToken(c.Method) || c.Method == http.MethodConnect {
		return nil, "method", fmt.Errorf("%q can never match: not a valid method for a request with a path", c.Method)
	}
	if err := c.compileClass(); err != nil {
		return nil, "class", err
	}
	return c, "headers", c.compileHeaders()
}

// checkHost rejects a host condition that is not canonical; an empty one is valid.
func checkHost(rule string) error {
	if rule == "" {
		return nil
	}
	host, isWildcard := strings.CutPrefix(rule, "*.")
	if err := checkCanonical(host, CanonicalHost); err != nil || host == "" {
		return cmp.Or(err, fmt.Errorf("%q has no host after the wildcard", rule))
	}
	if isWildcard && strings.HasPrefix(host, "[") {
		return errors.New("a wildcard can't precede an IP address")
	}
	return nil
}

// compilePath checks the path or prefix and converts it to its canonical form.
func (c *compiledRule) compilePath() (key string, err error) {
	switch {
	case c.Path != "" && c.Prefix != "":
		return "prefix", errors.New("not beside path")
	case c.Path != "":
		if err := checkCanonical(c.Path, CanonicalPath); err != nil {
			return "path", err
		}
		if c.Path == HealthPath {
			return "path", fmt.Errorf("can never match: the node itself answers %s", HealthPath)
		}
	case c.Prefix != "":
		if err := checkCanonical(c.Prefix, CanonicalPath); err != nil {
			return "prefix", err
		}
		// Prefixes match complete segments, so /a and /a/ match the same paths.
		c.Prefix = strings.TrimSuffix(c.Prefix, "/")
	}
	return "", nil
}

// compileClass checks the class, and clears it if the path or prefix already begins with it.
func (c *compiledRule) compileClass() error {
	if c.Class == "" {
		return nil
	}
	if first := FirstSegment(c.Path + c.Prefix); first != "" {
		if first != c.Class {
			return fmt.Errorf("can never match: the path begins with %q, not with class %q", first, c.Class)
		}
		c.Class = ""
		return nil
	}
	if strings.Contains(c.Class, "/") || checkCanonical("/"+c.Class, CanonicalPath) != nil || c.Path == "/" {
		return fmt.Errorf("%q can never match: it is not a single path segment", c.Class)
	}
	return nil
}

// compileHeaders converts the header conditions to their canonical form: sorted, with one condition per name.
func (c *compiledRule) compileHeaders() error {
	byName := make(map[string]Header)
	for _, h := range c.Headers {
		h.Name = textproto.CanonicalMIMEHeaderKey(h.Name)
		switch earlier, isRepeated := byName[h.Name]; {
		case !validToken(h.Name):
			return fmt.Errorf("%q is no name of a header", h.Name)
		case h.Name == "Host" || h.Name == "Transfer-Encoding" || h.Name == "Trailer":
			return fmt.Errorf("can never match: %s is not among the headers that rules are matched against", h.Name)
		case !h.Any && (!httpguts.ValidHeaderFieldValue(h.Value) || strings.Trim(h.Value, " \t") != h.Value):
			return fmt.Errorf("%s: can never match: %q is not a valid header value", h.Name, h.Value)
		case isRepeated && h.Any: // implied by the earlier condition on the same header
		case isRepeated && !earlier.Any && earlier.Value != h.Value:
			return fmt.Errorf("%s: can never match: two values for one header", h.Name)
		default:
			byName[h.Name] = h
		}
	}
	c.Headers = nil
	for _, h := range byName {
		c.Headers = append(c.Headers, h)
		if !h.Any {
			c.valueConditions++
		}
	}
	slices.SortFunc(c.Headers, func(a, b Header) int { return strings.Compare(a.text(), b.text()) })
	texts := make([]string, 0, len(c.Headers))
	for _, h := range c.Headers {
		texts = append(texts, h.text())
	}
	c.headerText = strings.Join(texts, "\n")
	return nil
}

// text returns the condition as "Name" or "Name: value".
func (h Header) text() string {
	if h.Any {
		return h.Name
	}
	return h.Name + ": " + h.Value
}

// validToken reports whether s is a token (RFC 9110, 5.6.2).
func validToken(s string) bool { return httpguts.ValidHeaderFieldName(s) }

// key returns a string that is the same only for rules with the same conditions.
func (c *compiledRule) key() string {
	return strings.Join([]string{c.Host, c.Path, c.Prefix, c.Method, c.Class, c.headerText}, "\x00")
}

// compareSpecificity orders rules by the criteria in the package documentation, the most specific first.
func compareSpecificity(a, b *compiledRule) int {
	if c := cmp.Or(
		cmp.Compare(b.hostRank(), a.hostRank()),
		cmp.Compare(b.pathRank(), a.pathRank()),
		cmp.Compare(boolToInt(a.Method == ""), boolToInt(b.Method == "")),
		cmp.Compare(boolToInt(a.Class == ""), boolToInt(b.Class == "")),
		cmp.Compare(len(b.Headers), len(a.Headers)),
		cmp.Compare(b.valueConditions, a.valueConditions),
		cmp.Compare(a.headerText, b.headerText),
	); c != 0 {
		return c
	}
	return cmp.Compare(a.key(), b.key()) // makes the order total; such rules never match the same request
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hostRank returns the rank of the host condition, which is higher for more specific ones.
func (c *compiledRule) hostRank() int {
	switch {
	case c.Host == "":
		return 0
	case strings.HasPrefix(c.Host, "*."):
		return len(c.Host)
	}
	return exactHostRank
}

// pathRank returns the rank of the path condition, which is higher for more specific ones.
func (c *compiledRule) pathRank() int {
	if c.Path != "" {
		return exactPathRank
	}
	return len(c.Prefix)
}

// matchesRest reports whether the conditions on method, class and headers match.
func (c *compiledRule) matchesRest(path, method string, header http.Header) bool {
	if c.Method != "" && c.Method != method {
		return false
	}
	if c.Class != "" && c.Class != FirstSegment(path) {
		return false
	}
	return c.matchesHeaders(header)
}

func (c *compiledRule) matchesHeaders(header http.Header) bool {
	for i := range c.Headers {
		if !c.Headers[i].matches(header) {
			return false
		}
	}
	return true
}

// matches reports whether a header satisfies the condition.
func (h *Header) matches(header http.Header) bool {
	values := header[h.Name]
	if h.Any {
		return len(values) > 0
	}
	return len(values) == 1 && values[0] == h.Value
}

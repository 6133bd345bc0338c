package route

import "net/http"

// CanonicalRule is a rule in the form that a Router matches and orders it by. It is immutable.
type CanonicalRule struct{ rule *compiledRule }

// Canonicalize returns a rule in canonical form. The error for a rule that New would reject is a *RuleError.
func Canonicalize(given Rule) (CanonicalRule, error) {
	c, key, err := compileRule(given, 0)
	if err != nil {
		return CanonicalRule{}, &RuleError{Key: key, Err: err}
	}
	return CanonicalRule{c}, nil
}

// Rule returns the rule, which must not be changed: its prefix has no trailing slash, its class is empty if
// the path names it, and its conditions on headers have canonical names, each name once.
func (f CanonicalRule) Rule() *Rule { return &f.rule.Rule }

// HeaderConditions returns the text of the conditions on headers, which is the same for equal ones only.
func (f CanonicalRule) HeaderConditions() string { return f.rule.headerText }

// Compare orders rules by precedence, the most specific first. It returns 0 for the same conditions only.
func (f CanonicalRule) Compare(g CanonicalRule) int { return compareSpecificity(f.rule, g.rule) }

// MatchesRest reports whether the conditions on method, class and headers match. path must be canonical.
func (f CanonicalRule) MatchesRest(path, method string, header http.Header) bool {
	return f.rule.matchesRest(path, method, header)
}

package route

import "net/http"

// CanonicalRule is a rule in the form in which a Router matches and orders rules. It is immutable.
type CanonicalRule struct{ rule *compiledRule }

// Canonicalize returns a rule in canonical form. The error for a rule that New would reject is a *RuleError.
func Canonicalize(given Rule) (CanonicalRule, error) {
	c, key, err := compileRule(given, 0)
	if err != nil {
		return CanonicalRule{}, &RuleError{Key: key, Err: err}
	}
	return CanonicalRule{c}, nil
}

// Rule returns the rule, which the caller must not modify. Its prefix has no trailing slash, its class is empty if
// the path already begins with it, and its header conditions have canonical names, each at most once.
func (f CanonicalRule) Rule() *Rule { return &f.rule.Rule }

// HeaderConditions returns a text of the header conditions. Two rules have the same text only if their conditions are equal.
func (f CanonicalRule) HeaderConditions() string { return f.rule.headerText }

// Compare orders rules by precedence, the most specific first. It returns 0 only for rules with the same conditions.
func (f CanonicalRule) Compare(g CanonicalRule) int { return compareSpecificity(f.rule, g.rule) }

// MatchesRest reports whether the conditions on method, class and headers match. path must be canonical.
func (f CanonicalRule) MatchesRest(path, method string, header http.Header) bool {
	return f.rule.matchesRest(path, method, header)
}

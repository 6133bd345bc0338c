package route

import "net/http"

// CanonicalRule is a rule in the one form that a Router matches and orders it by. It never changes.
type CanonicalRule struct{ rule *compiledRule }

// Canonicalize gives a rule's form; what New would refuse is an error (a *RuleError).
func Canonicalize(given Rule) (CanonicalRule, error) {
	c, key, err := compile(given, 0)
	if err != nil {
		return CanonicalRule{}, &RuleError{Key: key, Err: err}
	}
	return CanonicalRule{c}, nil
}

// Rule is the rule in that form: its prefix has no slash at the end, its class is "" where the path
// says it, its conditions on headers have canonical names, each name once. It is not to be changed.
func (f CanonicalRule) Rule() *Rule { return &f.rule.Rule }

// HeaderConditions is the text of the conditions on headers, the same for equal ones only.
func (f CanonicalRule) HeaderConditions() string { return f.rule.headerText }

// Compare orders forms by precedence, the most specific first. It is zero for the same conditions only.
func (f CanonicalRule) Compare(g CanonicalRule) int { return precedence(f.rule, g.rule) }

// MatchesRest tells whether the conditions on method, class and headers hold. The path is in its one form.
func (f CanonicalRule) MatchesRest(path, method string, header http.Header) bool {
	c := f.rule
	return (c.Method == "" || c.Method == method) && (c.Class == "" || c.Class == FirstSegment(path)) && c.headersMatch(header)
}

package route

import "net/http"

// Form is a rule in the one form that a Router matches and orders it by. It never changes.
type Form struct{ c *rule }

// FormOf gives a rule's form; what New would refuse is an error (a *RuleError).
func FormOf(given Rule) (Form, error) {
	c, key, err := compile(given, 0)
	if err != nil {
		return Form{}, &RuleError{Key: key, Err: err}
	}
	return Form{c}, nil
}

// Rule is the rule in that form: its prefix has no slash at the end, its class is "" where the path
// says it, its conditions on headers have canonical names, each name once. It is not to be changed.
func (f Form) Rule() *Rule { return &f.c.Rule }

// Headers is the text of the conditions on headers, the same for equal ones only.
func (f Form) Headers() string { return f.c.text }

// Compare orders forms by precedence, the most specific first. It is zero for the same conditions only.
func (f Form) Compare(g Form) int { return precedence(f.c, g.c) }

// Holds tells whether the conditions on method, class and headers hold. The path is in its one form.
func (f Form) Holds(path, method string, header http.Header) bool {
	c := f.c
	return (c.Method == "" || c.Method == method) && (c.Class == "" || c.Class == First(path)) && c.holds(header)
}

package regions

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxReported is the most conflicts of one kind that are told of two regions. That there are more is told by
// one without rules, which no waiver of a rule can hide.
const maxReported = 100

// kinds is the order in which conflicts are told.
var kinds = []Kind{HardLimitKind, SlowStartKind, CoverageKind, DeadKind, LoopKind, ServiceKind, TermsKind}

var severities = map[Kind]Severity{
	ServiceKind: Error, CoverageKind: Warning, TermsKind: Error, HardLimitKind: Error, SlowStartKind: Error,
	LoopKind: Error, DeadKind: Warning,
}

// Conflicts gives all that there are.
func (x *Index) Conflicts() []Conflict { return x.limitedConflicts(maxReported) }

func (x *Index) limitedConflicts(limit int) []Conflict {
	n := len(x.regions)
	rest, findings, counts := x.collectFindings()
	// Each two regions have their place in what is told; there it is filled in by precedence.
	var all []Conflict
	places := make(map[Kind][]int)
	for _, kind := range kinds {
		for _, c := range rest {
			if c.Kind == kind {
				all = append(all, c)
			}
		}
		at := make([]int, len(counts[kind]))
		total := len(all)
		for i, count := range counts[kind] {
			at[i] = total
			if total += min(count, limit); count > limit {
				total++
			}
		}
		all = append(all, make([]Conflict, total-len(all))...)
		for i, count := range counts[kind] {
			if count > limit {
				all[at[i]+limit] = Conflict{
					Kind: kind, Severity: severities[kind], Regions: x.regionNames(i/n, i%n), Rules: []string{},
					Why: fmt.Sprintf("%d more of this kind", count-limit),
				}
				counts[kind][i] = limit
			}
		}
		places[kind] = at
	}
	for _, f := range findings {
		at, left := places[f.kind], counts[f.kind]
		for k, p := range f.pairs {
			if i := int(p[0])*n + int(p[1]); left[i] > 0 {
				all[at[i]] = x.conflictOf(f, k)
				at[i]++
				left[i]--
			}
		}
	}
	return all
}

// collectFindings gives the conflicts that are not between two regions' rules, in their order, the findings that are, by
// precedence, and how many there are of a kind by two regions.
func (x *Index) collectFindings() (rest []Conflict, findings []*finding, counts map[Kind][]int) {
	n := len(x.regions)
	rest = append(slices.Clone(x.loopConflicts), x.sumConflicts...)
	counts = make(map[Kind][]int)
	for _, found := range []map[*condition][]finding{x.differences, x.deadRules} {
		conds := make([]*condition, 0, len(found))
		for c := range found {
			conds = append(conds, c)
		}
		slices.SortFunc(conds, comparePrecedence)
		for _, c := range conds {
			for i := range found[c] {
				f := &found[c][i]
				if f.reason != "" && f.kind != DeadKind {
					rest = append(rest, x.undecidedConflict(f))
					continue
				}
				findings = append(findings, f)
				if counts[f.kind] == nil {
					counts[f.kind] = make([]int, n*n)
				}
				in := counts[f.kind]
				for _, p := range f.pairs {
					in[int(p[0])*n+int(p[1])]++
				}
			}
		}
	}
	slices.SortStableFunc(rest, func(a, b Conflict) int {
		if c := cmp.Or(slices.Compare(a.Regions, b.Regions), slices.Compare(a.Rules, b.Rules)); c != 0 {
			return c
		}
		return strings.Compare(a.Why, b.Why)
	})
	return rest, findings, counts
}

func (x *Index) regionNames(a, b int) []string {
	if a == b {
		return []string{x.regions[a].Name}
	}
	return []string{x.regions[a].Name, x.regions[b].Name}
}

func (x *Index) undecidedConflict(f *finding) Conflict {
	c := Conflict{Kind: f.kind, Severity: severities[f.kind], Why: f.reason}
	for _, u := range f.winner.uses {
		c.Regions, c.Rules = append(c.Regions, x.regions[u.region].Name), append(c.Rules, x.ruleInfos.values[u.ruleID].name)
	}
	return c
}

// conflictOf is what a finding says of the k-th two regions, made once.
func (x *Index) conflictOf(f *finding, k int) Conflict {
	if f.conflicts == nil {
		f.conflicts = make([]Conflict, len(f.pairs))
	}
	c := &f.conflicts[k]
	if c.Kind != "" {
		return *c
	}
	a, b := int32(f.pairs[k][0]), int32(f.pairs[k][1])
	*c = Conflict{Kind: f.kind, Severity: severities[f.kind], Regions: x.regionNames(int(a), int(b)), Witness: f.witness, Why: f.reason}
	if f.kind == DeadKind {
		c.Rules = []string{x.ruleInfos.values[f.ruleIn(a)].name}
		return *c
	}
	for _, r := range []int32{a, b} {
		if at := f.ruleIn(r); at >= 0 {
			c.Rules = append(c.Rules, x.ruleInfos.values[at].name)
		}
	}
	c.Why = x.describe(f, a, b)
	if one, two := x.fateOf(f.ruleIn(a), f.witness), x.fateOf(f.ruleIn(b), f.witness); f.kind == ServiceKind && one.service == two.service {
		c.Severity = Warning // what is asked is the same, and free to repeat; the answers hold other parts
	}
	return *c
}

// opposedRule is the rule that a region chooses for the witness; -1 is none.
func (f *finding) ruleIn(region int32) int32 {
	for _, c := range []*condition{f.winner, f.other} {
		if c != nil {
			if i, ok := c.findUse(region); ok && (c == f.winner) == slices.Contains(f.winningRegions, region) {
				return c.uses[i].ruleID
			}
		}
	}
	return -1
}

func (x *Index) describe(f *finding, a, b int32) string {
	as, bs := f.ruleIn(a), f.ruleIn(b)
	one, two := x.fateOf(as, f.witness), x.fateOf(bs, f.witness)
	an, bn := x.regions[a].Name, x.regions[b].Name
	if f.requestText == "" {
		f.requestText = f.witness.String()
	}
	switch f.kind {
	case ServiceKind:
		if one.service == two.service {
			return f.requestText + " leads to service " + one.service + ", which in " + an + " " + x.describeGather(one) + " and in " + bn + " " + x.describeGather(two)
		}
		return f.requestText + " leads to service " + one.service + " in " + an + " and to " + two.service + " in " + bn
	case TermsKind:
		return fmt.Sprintf("%s is of class %q in %s (%v) and %q in %s (%v): a repeat through the other region goes by other terms",
			f.requestText, one.class, an, one.terms, two.class, bn, two.terms)
	}
	if two.isAccepted {
		one, two, bs, an, bn = two, one, as, bn, an
	}
	why := f.requestText + " is taken by service " + one.service + " in " + an
	switch {
	case bs < 0:
		return why + ", and no route is for it in " + bn
	case two.gatherID != 0:
		return why + ", and service " + two.service + " in " + bn + " gathers, which is for other requests"
	case two.hasTerms:
		return why + ", and " + bn + " serves its class " + two.class + " by another method"
	case two.class == "":
		return why + ", and service " + two.service + " in " + bn + " has no class for it"
	}
	return why + ", and service " + two.service + " in " + bn + " has no class " + two.class
}

// describeGather tells what a service does by what it gathers.
func (x *Index) describeGather(f disposition) string {
	if f.gatherID == 0 {
		return "has servers of its own"
	}
	return "gathers " + strings.TrimPrefix(x.texts.values[f.gatherID], "gather\n")
}

// String is the request as a line.
func (w *Witness) String() string {
	if w == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString(w.Method + " " + w.Host + w.Path)
	names := make([]string, 0, len(w.Headers))
	for n := range w.Headers {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		for _, v := range w.Headers[n] {
			b.WriteString(", " + n + ": " + v)
		}
	}
	return b.String()
}

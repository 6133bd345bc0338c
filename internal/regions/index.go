package regions

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Index holds what is known of regions, so that one that changes is looked at alone. It is not safe for
// concurrent use. What it was given is not to be changed.
type Index struct {
	*conditionIndex
	*registry
	regions          []*indexedRegion        // by name
	watched          map[*condition]struct{} // conditions that differ or are suspect
	differences      map[*condition][]finding
	deadRules        map[*condition][]finding
	loopConflicts    []Conflict
	sumConflicts     []Conflict
	ruleInfosAtBuild int    // ruleInfos when it was built
	pass             uint32 // ids the last pass over a region's rules
	maxSteps         int    // most that is done for one condition, and for all loops, in conditions tried

	chosen            []chosenRule  // ids each region, for one request at a time
	winning, opposing []opposedRule // the same
}

// indexedRegion is a region and its rules.
type indexedRegion struct {
	Region
	rules []ruleRef // ids Routes, each at its place; without cond what route refuses
}

type ruleRef struct {
	*condition
	ruleID int32
}

// chosenRule is the rule of a region that a request leads to; without cond there is none.
type chosenRule struct {
	*condition
	ruleID int32
}

// finding is a request that shows a conflict between regions in which d wins and those in which j does;
// without j, those in which no rule does, or d with another outcome. Of a dead rule it is d.
type finding struct {
	kind           Kind
	witness        *Witness // nil where there is none, or it was not decided
	winner, other  *condition
	winningRegions []int32     // regions in which d wins
	pairs          [][2]uint16 // ids regions, the first one first; of a dead rule one region twice
	reason         string      // winningRegions dead and undecided

	requestText string     // ids the witness, once it was told
	conflicts   []Conflict // by pair, once they were
}

// Check gives all conflicts between regions, sorted, the same for any order of regions. Of rules of one
// region with the same conditions the first counts; rules that route refuses are left out. Regions of
// the same name are held against each other as any others.
func Check(all []Region) []Conflict { return NewIndex(all).Conflicts() }

// NewIndex looks at all regions.
func NewIndex(all []Region) *Index { return newIndex(all, maxStepsDefault) }

func newIndex(all []Region, work int) *Index {
	x := &Index{maxSteps: work, conditionIndex: newConditionIndex(), registry: newRegistry(), watched: make(map[*condition]struct{}), differences: make(map[*condition][]finding), deadRules: make(map[*condition][]finding)}
	for _, r := range all {
		x.regions = append(x.regions, &indexedRegion{Region: r})
	}
	slices.SortStableFunc(x.regions, func(a, b *indexedRegion) int { return strings.Compare(a.Name, b.Name) })
	x.chosen = make([]chosenRule, len(x.regions))
	for i, h := range x.regions {
		h.rules = x.compileRules(&h.Region, nil, nil, x.environment(&h.Region))
		x.replaceRules(int32(i), nil, h.rules)
	}
	for _, c := range x.conditions {
		x.review(c, -1)
	}
	x.ruleInfosAtBuild, x.namesChanged = len(x.ruleInfos.values), false
	x.loopConflicts, x.sumConflicts = x.findLoops(), x.findSums()
	return x
}

// compileRules finds the conditions of a region's rules; those without uses yet are new. What stands at the
// start or at the end of the rules as it did before is taken from there.
func (x *Index) compileRules(r, before *Region, was []ruleRef, env *environment) []ruleRef {
	out := make([]ruleRef, len(r.Routes))
	from, to := 0, len(out)
	if before != nil {
		n := min(len(out), len(was))
		for from < n && sameRoute(&r.Routes[from], &before.Routes[from]) {
			from++
		}
		shift := len(was) - len(out)
		for to > from && to+shift > from && sameRoute(&r.Routes[to-1], &before.Routes[to-1+shift]) {
			to--
		}
		copy(out, was[:from])
		copy(out[to:], was[to+shift:])
	}
	for i := from; i < to; i++ {
		if c := x.findOrAdd(&r.Routes[i].Rule); c != nil {
			out[i] = ruleRef{c, x.ruleID(&r.Routes[i], env)}
		}
	}
	return out
}

func sameRoute(a, b *Route) bool {
	return a.Name == b.Name && a.Service == b.Service && a.Host == b.Host && a.Path == b.Path && a.Prefix == b.Prefix && a.Method == b.Method &&
		a.Class == b.Class && a.RequestClass == b.RequestClass && a.Base == b.Base && slices.Equal(a.Headers, b.Headers)
}

// Replace puts another configuration of a region in place of the one of that name, or adds it, and
// gives all conflicts there are then.
func (x *Index) Replace(r Region) []Conflict {
	i, ok := slices.BinarySearchFunc(x.regions, r.Name, func(h *indexedRegion, name string) int { return strings.Compare(h.Name, name) })
	if !ok || len(x.ruleInfos.values) > 4*x.ruleInfosAtBuild+4096 {
		all := []Region{r}
		for _, h := range x.regions {
			if h.Name != r.Name {
				all = append(all, h.Region)
			}
		}
		*x = *newIndex(all, x.maxSteps)
		return x.Conflicts()
	}
	h := x.regions[i]
	before := *h
	services := !reflect.DeepEqual(before.Services, r.Services)
	if services {
		*h = indexedRegion{Region: r, rules: x.compileRules(&r, nil, nil, x.environment(&r))}
	} else {
		*h = indexedRegion{Region: r, rules: x.compileRules(&r, &before.Region, before.rules, x.environment(&r))}
	}
	touched := x.replaceRules(int32(i), before.rules, h.rules)
	x.reviewTouched(touched, int32(i))
	if len(touched) > 0 || services || !slices.Equal(before.Listeners, r.Listeners) {
		x.loopConflicts = x.findLoops()
	}
	if before.Instances != r.Instances || before.Members != r.Members || before.Shared != r.Shared || services {
		x.sumConflicts = x.findSums()
	}
	return x.Conflicts()
}

// replaceRules takes in a region's new rules and gives the conditions at which it has changed. The first of rules
// winning the same conditions counts.
func (x *Index) replaceRules(region int32, old, new []ruleRef) (touched []*condition) {
	x.pass++
	for _, r := range new {
		if r.condition == nil || r.lastPass == x.pass {
			continue
		}
		r.lastPass = x.pass
		at, ok := r.findUse(region)
		switch {
		case !ok:
			r.uses = slices.Insert(r.uses, at, ruleUse{region, r.ruleID})
		case r.uses[at].ruleID != r.ruleID:
			r.uses[at].ruleID = r.ruleID
		default:
			continue
		}
		touched = append(touched, r.condition)
	}
	for _, r := range old {
		if r.condition != nil && r.lastPass != x.pass {
			r.lastPass = x.pass
			at, _ := r.findUse(region)
			r.uses = slices.Delete(r.uses, at, at+1)
			touched = append(touched, r.condition)
		}
	}
	return touched
}

func (c *condition) findUse(region int32) (int, bool) {
	return slices.BinarySearchFunc(c.uses, region, func(u ruleUse, r int32) int { return cmp.Compare(u.region, r) })
}

// fullReviewThreshold is from how many changed conditions on all that count are looked at anew.
const fullReviewThreshold = 1000

// reviewTouched looks again at what some conditions have to do with, of which one region's rules have changed.
func (x *Index) reviewTouched(touched []*condition, region int32) {
	again := make(map[*condition]struct{})
	for _, c := range touched {
		again[c] = struct{}{}
		if len(touched) < fullReviewThreshold {
			x.eachIntersecting(c.requests, func(o *condition) bool {
				if _, ok := x.watched[o]; ok {
					again[o] = struct{}{}
				}
				return true
			})
		}
	}
	for _, c := range touched {
		if len(c.uses) == 0 {
			x.remove(c)
			delete(again, c)
			x.forget(c)
		}
	}
	if len(touched) >= fullReviewThreshold || x.namesChanged {
		maps.Copy(again, x.watched)
	}
	x.namesChanged = false
	for c := range again {
		x.review(c, region)
	}
}

func (x *Index) forget(c *condition) {
	delete(x.watched, c)
	delete(x.differences, c)
	delete(x.deadRules, c)
}

// review finds what there is about a condition. Of regions but the one that has changed what was told stays.
func (x *Index) review(c *condition, changed int32) {
	before := x.differences[c]
	c.differs = len(c.uses) < len(x.regions)
	for _, u := range c.uses[1:] {
		c.differs = c.differs || x.ruleInfos.values[u.ruleID].outcomeID != x.ruleInfos.values[c.uses[0].ruleID].outcomeID
	}
	x.forget(c)
	if c.differs || c.mayBeDead() {
		x.watched[c] = struct{}{}
	}
	if c.differs {
		if f := x.findDifferences(c); len(f) > 0 {
			x.differences[c] = f
			for i := range f {
				f[i].reuseConflicts(before, uint16(changed))
			}
		}
	}
	if c.mayBeDead() {
		if f := x.findDeadRules(c); len(f) > 0 {
			x.deadRules[c] = f
		}
	}
}

// reuseConflicts takes over what was told of pairs of regions that have not changed, by the same request.
func (f *finding) reuseConflicts(before []finding, changed uint16) {
	i := slices.IndexFunc(before, func(g finding) bool {
		return g.conflicts != nil && g.kind == f.kind && g.other == f.other && reflect.DeepEqual(g.witness, f.witness)
	})
	if i < 0 {
		return
	}
	g := &before[i]
	at := make(map[[2]uint16]int, len(g.pairs))
	for k, p := range g.pairs {
		at[p] = k
	}
	f.requestText, f.conflicts = g.requestText, make([]Conflict, len(f.pairs))
	for k, p := range f.pairs {
		if o, ok := at[p]; ok && p[0] != changed && p[1] != changed {
			f.conflicts[k] = g.conflicts[o]
		}
	}
}

// chooseRules finds the rule of each region that a request leads to.
func (x *Index) chooseRules(w *Witness) {
	clear(x.chosen)
	left := len(x.chosen)
	x.eachMatching(w, func(c *condition) bool {
		for _, u := range c.uses {
			if ch := &x.chosen[u.region]; ch.condition == nil {
				*ch = chosenRule{c, u.ruleID}
				left--
			}
		}
		return left > 0
	})
}

// minimalRequest is the least one of an area whose method is said; nil where there is none.
func (x *Index) minimalRequest(a requestSet) *Witness {
	host, path, ok := x.unnamedPlace(a)
	if !ok {
		return nil
	}
	return &Witness{Method: a.method, Host: host, Path: path, Headers: x.minimalHeaders(a)}
}

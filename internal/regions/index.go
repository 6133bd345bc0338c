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
	*space
	*book
	regions []*held            // by name
	watch   map[*cond]struct{} // conditions that differ or are suspect
	found   map[*cond][]finding
	dead    map[*cond][]finding
	loops   []Conflict
	sums    []Conflict
	grown   int    // attrs when it was built
	mark    uint32 // of the last pass over a region's rules
	work    int    // most that is done for one condition, and for all loops, in conditions tried

	chosen        []choice // of each region, for one request at a time
	with, against []side   // the same
}

// held is a region and its rules.
type held struct {
	Region
	rules []ruled // of Routes, each at its place; without cond what route refuses
}

type ruled struct {
	*cond
	attr int32
}

// choice is the rule of a region that a request leads to; without cond there is none.
type choice struct {
	*cond
	attr int32
}

// finding is a request that shows a conflict between regions in which d wins and those in which j does;
// without j, those in which no rule does, or d with another outcome. Of a dead rule it is d.
type finding struct {
	kind    Kind
	witness *Witness // nil where there is none, or it was not decided
	d, j    *cond
	with    []int32     // regions in which d wins
	pairs   [][2]uint16 // of regions, the first one first; of a dead rule one region twice
	why     string      // with dead and undecided

	text string     // of the witness, once it was told
	told []Conflict // by pair, once they were
}

// Check gives all conflicts between regions, sorted, the same for any order of regions. Of rules of one
// region with the same conditions the first counts; rules that route refuses are left out. Regions of
// the same name are held against each other as any others.
func Check(all []Region) []Conflict { return NewIndex(all).Conflicts() }

// NewIndex looks at all regions.
func NewIndex(all []Region) *Index { return newIndex(all, maxWork) }

func newIndex(all []Region, work int) *Index {
	x := &Index{work: work, space: newSpace(), book: newBook(), watch: make(map[*cond]struct{}), found: make(map[*cond][]finding), dead: make(map[*cond][]finding)}
	for _, r := range all {
		x.regions = append(x.regions, &held{Region: r})
	}
	slices.SortStableFunc(x.regions, func(a, b *held) int { return strings.Compare(a.Name, b.Name) })
	x.chosen = make([]choice, len(x.regions))
	for i, h := range x.regions {
		h.rules = x.compile(&h.Region, nil, nil, x.environment(&h.Region))
		x.swap(int32(i), nil, h.rules)
	}
	for _, c := range x.conds {
		x.look(c, -1)
	}
	x.grown, x.shifted = len(x.attrs.all), false
	x.loops, x.sums = x.findLoops(), x.findSums()
	return x
}

// compile finds the conditions of a region's rules; those without uses yet are new. What stands at the
// start or at the end of the rules as it did before is taken from there.
func (x *Index) compile(r, before *Region, was []ruled, env *environment) []ruled {
	out := make([]ruled, len(r.Routes))
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
		if c := x.find(&r.Routes[i].Rule); c != nil {
			out[i] = ruled{c, x.attr(&r.Routes[i], env)}
		}
	}
	return out
}

func sameRoute(a, b *Route) bool {
	return a.Name == b.Name && a.Service == b.Service && a.Host == b.Host && a.Path == b.Path && a.Prefix == b.Prefix && a.Method == b.Method &&
		a.Class == b.Class && a.As == b.As && a.Base == b.Base && slices.Equal(a.Headers, b.Headers)
}

// Replace puts another configuration of a region in place of the one of that name, or adds it, and
// gives all conflicts there are then.
func (x *Index) Replace(r Region) []Conflict {
	i, ok := slices.BinarySearchFunc(x.regions, r.Name, func(h *held, name string) int { return strings.Compare(h.Name, name) })
	if !ok || len(x.attrs.all) > 4*x.grown+4096 {
		all := []Region{r}
		for _, h := range x.regions {
			if h.Name != r.Name {
				all = append(all, h.Region)
			}
		}
		*x = *newIndex(all, x.work)
		return x.Conflicts()
	}
	h := x.regions[i]
	before := *h
	services := !reflect.DeepEqual(before.Services, r.Services)
	if services {
		*h = held{Region: r, rules: x.compile(&r, nil, nil, x.environment(&r))}
	} else {
		*h = held{Region: r, rules: x.compile(&r, &before.Region, before.rules, x.environment(&r))}
	}
	touched := x.swap(int32(i), before.rules, h.rules)
	x.refresh(touched, int32(i))
	if len(touched) > 0 || services || !slices.Equal(before.Listeners, r.Listeners) {
		x.loops = x.findLoops()
	}
	if before.Instances != r.Instances || before.Members != r.Members || before.Shared != r.Shared || services {
		x.sums = x.findSums()
	}
	return x.Conflicts()
}

// swap takes in a region's new rules and gives the conditions at which it has changed. The first of rules
// with the same conditions counts.
func (x *Index) swap(region int32, old, new []ruled) (touched []*cond) {
	x.mark++
	for _, r := range new {
		if r.cond == nil || r.mark == x.mark {
			continue
		}
		r.mark = x.mark
		at, ok := r.at(region)
		switch {
		case !ok:
			r.uses = slices.Insert(r.uses, at, use{region, r.attr})
		case r.uses[at].attr != r.attr:
			r.uses[at].attr = r.attr
		default:
			continue
		}
		touched = append(touched, r.cond)
	}
	for _, r := range old {
		if r.cond != nil && r.mark != x.mark {
			r.mark = x.mark
			at, _ := r.at(region)
			r.uses = slices.Delete(r.uses, at, at+1)
			touched = append(touched, r.cond)
		}
	}
	return touched
}

func (c *cond) at(region int32) (int, bool) {
	return slices.BinarySearchFunc(c.uses, region, func(u use, r int32) int { return cmp.Compare(u.region, r) })
}

// many is from how many changed conditions on all that count are looked at anew.
const many = 1000

// refresh looks again at what some conditions have to do with, of which one region's rules have changed.
func (x *Index) refresh(touched []*cond, region int32) {
	again := make(map[*cond]struct{})
	for _, c := range touched {
		again[c] = struct{}{}
		if len(touched) < many {
			x.meeting(c.area, func(o *cond) bool {
				if _, ok := x.watch[o]; ok {
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
	if len(touched) >= many || x.shifted {
		maps.Copy(again, x.watch)
	}
	x.shifted = false
	for c := range again {
		x.look(c, region)
	}
}

func (x *Index) forget(c *cond) {
	delete(x.watch, c)
	delete(x.found, c)
	delete(x.dead, c)
}

// look finds what there is about a condition. Of regions but the one that has changed what was told stays.
func (x *Index) look(c *cond, changed int32) {
	before := x.found[c]
	c.differs = len(c.uses) < len(x.regions)
	for _, u := range c.uses[1:] {
		c.differs = c.differs || x.attrs.all[u.attr].out != x.attrs.all[c.uses[0].attr].out
	}
	x.forget(c)
	if c.differs || c.suspect() {
		x.watch[c] = struct{}{}
	}
	if c.differs {
		if f := x.pairs(c); len(f) > 0 {
			x.found[c] = f
			for i := range f {
				f[i].keep(before, uint16(changed))
			}
		}
	}
	if c.suspect() {
		if f := x.deadRules(c); len(f) > 0 {
			x.dead[c] = f
		}
	}
}

// keep takes over what was told of pairs of regions that have not changed, by the same request.
func (f *finding) keep(before []finding, changed uint16) {
	i := slices.IndexFunc(before, func(g finding) bool {
		return g.told != nil && g.kind == f.kind && g.j == f.j && reflect.DeepEqual(g.witness, f.witness)
	})
	if i < 0 {
		return
	}
	g := &before[i]
	at := make(map[[2]uint16]int, len(g.pairs))
	for k, p := range g.pairs {
		at[p] = k
	}
	f.text, f.told = g.text, make([]Conflict, len(f.pairs))
	for k, p := range f.pairs {
		if o, ok := at[p]; ok && p[0] != changed && p[1] != changed {
			f.told[k] = g.told[o]
		}
	}
}

// evaluate finds the rule of each region that a request leads to.
func (x *Index) evaluate(w *Witness) {
	clear(x.chosen)
	left := len(x.chosen)
	x.choose(w, func(c *cond) bool {
		for _, u := range c.uses {
			if ch := &x.chosen[u.region]; ch.cond == nil {
				*ch = choice{c, u.attr}
				left--
			}
		}
		return left > 0
	})
}

// request is the least one of an area whose method is said; nil where there is none.
func (x *Index) request(a area) *Witness {
	host, path, ok := x.place(a)
	if !ok {
		return nil
	}
	return &Witness{Method: a.method, Host: host, Path: path, Headers: x.header(a)}
}

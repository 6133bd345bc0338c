package waitpolicysim

import (
	"math"
	"slices"
	"time"

	"lockflow/internal/waitpolicy"
)

// ending is how a query ended.
type ending struct {
	at    time.Duration
	share float64 // that had come
	out   float64 // share that was cut
}

// rule ends queries: at is the place of the query among all, 0 to 1.
type rule interface {
	end(at float64, took *[parts]time.Duration, common float64) ending
}

// fixed answers after a time with what has come, once that is enough, and at once with all.
func fixed(shares *[parts]float64, took *[parts]time.Duration, after time.Duration) ending {
	order := [parts]int{0, 1, 2, 3, 4}
	slices.SortFunc(order[:], func(a, b int) int { return int(min(1, max(-1, took[a]-took[b]))) })
	e := ending{out: 1}
	for _, p := range order {
		if took[p] > after && e.share >= minShare-1e-9 || took[p] > client {
			break
		}
		e.share += shares[p]
		e.out -= shares[p]
		e.at = took[p]
	}
	if e.out > 1e-9 {
		e.at = max(e.at, min(after, client))
		if e.share < minShare-1e-9 {
			e.at = client
		}
	} else {
		e.out = 0
	}
	return e
}

// exact is the best that can be done knowing the distributions, where parts don't depend on each
// other: each moment and set of parts that are out is worth the better of answering and going on.
type exact struct {
	w      *world
	s      *waitpolicy.Settings
	shares [parts]float64
	every  float64 // of the time, after which moving worlds are looked at anew
	from   float64
	made   bool
	stop   [][1 << parts]bool
	given  func(p int, at float64, d time.Duration) float64 // chance that a part has come
}

const (
	gridDouble = 24
	gridSteps  = 13 * gridDouble
)

var grid = func() (all [gridSteps + 1]time.Duration) {
	for i := range all {
		all[i] = min(client, ms(math.Exp2(float64(i)/gridDouble)))
	}
	return all
}()

func (x *exact) make(at float64) {
	x.made, x.from = true, at
	x.stop = make([][1 << parts]bool, gridSteps+1)
	var chance [parts][gridSteps + 1]float64
	for p := range parts {
		for j, d := range grid {
			chance[p][j] = x.given(p, at, d)
		}
	}
	share := x.shareOfSets()
	now := func(set, j int) float64 {
		if 1-share[set] < minShare-1e-9 {
			return math.Inf(-1)
		}
		return x.s.Value(1-share[set], share[set], load, grid[j])
	}
	var next, cur [1 << parts]float64
	for set := range next {
		next[set] = max(0, now(set, gridSteps))
		x.stop[gridSteps][set] = true
	}
	for j := gridSteps - 1; j >= 0; j-- {
		var comes [parts]float64
		for p := range parts {
			if left := 1 - chance[p][j]; left > 1e-12 {
				comes[p] = (chance[p][j+1] - chance[p][j]) / left
			}
		}
		meanOver(&next, &comes)
		for set := range cur {
			cur[set] = next[set]
			if n := now(set, j); n >= cur[set] {
				cur[set], x.stop[j][set] = n, true
			}
		}
		next = cur
	}
}

// shareOfSets is the share of each set of parts.
func (x *exact) shareOfSets() (share [1 << parts]float64) {
	for set := range share {
		for p := range parts {
			if set>>p&1 == 1 {
				share[set] += x.shares[p]
			}
		}
	}
	return share
}

// meanOver makes of each set's worth the mean over what comes of it, part after part.
func meanOver(worth *[1 << parts]float64, comes *[parts]float64) {
	for p := range parts {
		for set := len(worth) - 1; set >= 0; set-- {
			if set>>p&1 == 1 {
				worth[set] = (1-comes[p])*worth[set] + comes[p]*worth[set&^(1<<p)]
			}
		}
	}
}

func (x *exact) end(at float64, took *[parts]time.Duration, _ float64) ending {
	if !x.made || x.w.moves && math.Floor(at/x.every) != math.Floor(x.from/x.every) {
		x.make(at)
	}
	e := ending{}
	for j, d := range grid {
		set := 0
		e.share, e.out = 0, 0
		last := time.Duration(0)
		for p := range parts {
			if took[p] > d {
				set |= 1 << p
				e.out += x.shares[p]
			} else {
				e.share += x.shares[p]
				last = max(last, took[p])
			}
		}
		if set == 0 {
			e.at = last
			return e
		}
		if x.stop[j][set] && e.share >= minShare-1e-9 || j == gridSteps {
			// What has just come was there before the step's end.
			e.at = d
			if j > 0 && last > grid[j-1] {
				e.at = last
			}
			return e
		}
	}
	return e
}

// byQuery ends queries by internal/waitpolicy, with what forecast tells.
type byQuery struct {
	s        *waitpolicy.Settings
	q        waitpolicy.Query
	begin    func(q *waitpolicy.Query, at float64, now time.Duration)
	now      time.Duration // when the query begins
	looks    int
	finished func(e ending, took *[parts]time.Duration, now time.Duration)
}

func (b *byQuery) end(at float64, took *[parts]time.Duration, _ float64) ending {
	b.now += 100 * time.Millisecond
	b.begin(&b.q, at, b.now)
	e, gone := ending{}, time.Duration(0)
	var told [parts]bool
	for {
		b.looks++
		step := b.q.Next(b.now + gone)
		if step.Kind != waitpolicy.Wait {
			e.at, e.share = gone, step.Share
			if step.Kind == waitpolicy.Refuse {
				e.share = 0
			}
			break
		}
		first, until := -1, step.Until-b.now
		for p := range took {
			if !told[p] && took[p] <= until && (first < 0 || took[p] < took[first]) {
				first = p
			}
		}
		if gone = until; first >= 0 {
			gone = took[first]
			told[first] = true
			b.q.PartCompleted(b.now+gone, first, true)
		}
	}
	for p := range told {
		if !told[p] {
			e.out += b.s.Parts[p].Weight
		}
	}
	if b.finished != nil {
		b.finished(e, took, b.now)
	}
	return e
}

// learner ends queries by a model that learns from them.
type learner struct {
	byQuery
	model    *waitpolicy.Model
	late     float64 // part of the late answers that are seen; the others are cut
	censored bool    // false takes the censoring out: only what came in time is learned
	seen     uint64
}

const class = "list"

func newLearner(w *world, o waitpolicy.Options) *learner {
	s := normal(w)
	l := &learner{censored: true}
	l.s, l.model = s, waitpolicy.NewModel(s, o)
	l.begin = func(q *waitpolicy.Query, _ float64, now time.Duration) {
		l.model.Begin(q, class, load, now, now+client+time.Millisecond)
	}
	l.finished = func(e ending, took *[parts]time.Duration, now time.Duration) {
		l.model.Done(&l.q, class, now+e.at)
		for p, t := range took {
			l.seen++
			late := float64(l.seen*0x9e3779b97f4a7c15>>40)/(1<<24) < l.late
			switch {
			case t <= e.at || late && t < client:
				l.model.Observe(class, p, load, waitpolicy.Outcome{At: now + t, Duration: t})
			case l.censored:
				l.model.Observe(class, p, load, waitpolicy.Outcome{At: now + e.at, Duration: e.at, Censored: true})
			}
		}
	}
	return l
}

// told is more than an oracle where parts are slow together: it knows each query's common factor too,
// and is the best that can be done then. No rule can earn more.
type told struct {
	w  *world
	by map[int]*exact
}

func (o *told) end(at float64, took *[parts]time.Duration, common float64) ending {
	const steps = 5 // of the factor, for each of its deviations
	i := int(math.Round(steps * max(-4, min(4, common))))
	x := o.by[i]
	if x == nil {
		z := float64(i) / steps
		x = &exact{w: o.w, s: normal(o.w), shares: o.w.shares(), given: func(p int, at float64, d time.Duration) float64 {
			score := quantile(o.w.chance(p, at, d))
			return 1 - upper((score-math.Sqrt(o.w.common)*z)/math.Sqrt(1-o.w.common))
		}}
		o.by[i] = x
	}
	return x.end(at, took, common)
}

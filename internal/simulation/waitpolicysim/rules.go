package waitpolicysim

import (
	"math"
	"slices"
	"time"

	"lockflow/internal/waitpolicy"
)

// queryEnd is how a query ended.
type queryEnd struct {
	at             time.Duration
	arrivedShare   float64 // that had come
	abandonedShare float64 // share that was cut
}

// policy ends queries: at is the place of the query among all, 0 to 1.
type policy interface {
	end(at float64, took *[partCount]time.Duration, common float64) queryEnd
}

// endAfter answers after a time with what has come, once that is enough, and at once with all.
func endAfter(shares *[partCount]float64, took *[partCount]time.Duration, after time.Duration) queryEnd {
	order := [partCount]int{0, 1, 2, 3, 4}
	slices.SortFunc(order[:], func(a, b int) int { return int(min(1, max(-1, took[a]-took[b]))) })
	e := queryEnd{abandonedShare: 1}
	for _, p := range order {
		if took[p] > after && e.arrivedShare >= minShare-1e-9 || took[p] > clientDeadline {
			break
		}
		e.arrivedShare += shares[p]
		e.abandonedShare -= shares[p]
		e.at = took[p]
	}
	if e.abandonedShare > 1e-9 {
		e.at = max(e.at, min(after, clientDeadline))
		if e.arrivedShare < minShare-1e-9 {
			e.at = clientDeadline
		}
	} else {
		e.abandonedShare = 0
	}
	return e
}

// optimalPolicy is the best that can be done knowing the distributions, where parts don't depend on each
// other: each moment and set of parts that are out is worth the better of answering and going on.
type optimalPolicy struct {
	world           *world
	settings        *waitpolicy.Settings
	shares          [partCount]float64
	rebuildInterval float64 // of the time, after which moving worlds are looked at anew
	builtAt         float64
	isBuilt         bool
	stops           [][1 << partCount]bool
	answeredBy      func(p int, at float64, d time.Duration) float64 // chance that a part has come
}

const (
	gridStepsPerDoubling = 24
	gridSteps            = 13 * gridStepsPerDoubling
)

var grid = func() (all [gridSteps + 1]time.Duration) {
	for i := range all {
		all[i] = min(clientDeadline, milliseconds(math.Exp2(float64(i)/gridStepsPerDoubling)))
	}
	return all
}()

func (x *optimalPolicy) build(at float64) {
	x.isBuilt, x.builtAt = true, at
	x.stops = make([][1 << partCount]bool, gridSteps+1)
	var chance [partCount][gridSteps + 1]float64
	for p := range partCount {
		for j, d := range grid {
			chance[p][j] = x.answeredBy(p, at, d)
		}
	}
	share := x.shareOfSets()
	now := func(set, j int) float64 {
		if 1-share[set] < minShare-1e-9 {
			return math.Inf(-1)
		}
		return x.settings.Value(1-share[set], share[set], load, grid[j])
	}
	var next, cur [1 << partCount]float64
	for set := range next {
		next[set] = max(0, now(set, gridSteps))
		x.stops[gridSteps][set] = true
	}
	for j := gridSteps - 1; j >= 0; j-- {
		var comes [partCount]float64
		for p := range partCount {
			if left := 1 - chance[p][j]; left > 1e-12 {
				comes[p] = (chance[p][j+1] - chance[p][j]) / left
			}
		}
		advanceValues(&next, &comes)
		for set := range cur {
			cur[set] = next[set]
			if n := now(set, j); n >= cur[set] {
				cur[set], x.stops[j][set] = n, true
			}
		}
		next = cur
	}
}

// shareOfSets is the share of each set of parts.
func (x *optimalPolicy) shareOfSets() (share [1 << partCount]float64) {
	for set := range share {
		for p := range partCount {
			if set>>p&1 == 1 {
				share[set] += x.shares[p]
			}
		}
	}
	return share
}

// advanceValues makes of each set's worth the mean over what comes of it, part after part.
func advanceValues(worth *[1 << partCount]float64, comes *[partCount]float64) {
	for p := range partCount {
		for set := len(worth) - 1; set >= 0; set-- {
			if set>>p&1 == 1 {
				worth[set] = (1-comes[p])*worth[set] + comes[p]*worth[set&^(1<<p)]
			}
		}
	}
}

func (x *optimalPolicy) end(at float64, took *[partCount]time.Duration, _ float64) queryEnd {
	if !x.isBuilt || x.world.isChanging && math.Floor(at/x.rebuildInterval) != math.Floor(x.builtAt/x.rebuildInterval) {
		x.build(at)
	}
	e := queryEnd{}
	for j, d := range grid {
		set := 0
		e.arrivedShare, e.abandonedShare = 0, 0
		last := time.Duration(0)
		for p := range partCount {
			if took[p] > d {
				set |= 1 << p
				e.abandonedShare += x.shares[p]
			} else {
				e.arrivedShare += x.shares[p]
				last = max(last, took[p])
			}
		}
		if set == 0 {
			e.at = last
			return e
		}
		if x.stops[j][set] && e.arrivedShare >= minShare-1e-9 || j == gridSteps {
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

// queryPolicy ends queries by internal/waitpolicy, with what forecast tells.
type queryPolicy struct {
	settings  *waitpolicy.Settings
	query     waitpolicy.Query
	begin     func(q *waitpolicy.Query, at float64, now time.Duration)
	startedAt time.Duration // when the query begins
	steps     int
	onEnd     func(e queryEnd, took *[partCount]time.Duration, now time.Duration)
}

func (b *queryPolicy) end(at float64, took *[partCount]time.Duration, _ float64) queryEnd {
	b.startedAt += 100 * time.Millisecond
	b.begin(&b.query, at, b.startedAt)
	e, gone := queryEnd{}, time.Duration(0)
	var told [partCount]bool
	for {
		b.steps++
		step := b.query.Next(b.startedAt + gone)
		if step.Kind != waitpolicy.Wait {
			e.at, e.arrivedShare = gone, step.Share
			if step.Kind == waitpolicy.Refuse {
				e.arrivedShare = 0
			}
			break
		}
		first, until := -1, step.Until-b.startedAt
		for p := range took {
			if !told[p] && took[p] <= until && (first < 0 || took[p] < took[first]) {
				first = p
			}
		}
		if gone = until; first >= 0 {
			gone = took[first]
			told[first] = true
			b.query.PartCompleted(b.startedAt+gone, first, true)
		}
	}
	for p := range told {
		if !told[p] {
			e.abandonedShare += b.settings.Parts[p].Weight
		}
	}
	if b.onEnd != nil {
		b.onEnd(e, took, b.startedAt)
	}
	return e
}

// learner ends queries by a model that learns from them.
type learner struct {
	queryPolicy
	model        *waitpolicy.Model
	lateFraction float64 // part of the late answers that are seen; the others are cut
	usesCensored bool    // false takes the censoring out: only what came in time is learned
	outcomes     uint64
}

const queryClass = "list"

func newLearner(w *world, o waitpolicy.Options) *learner {
	s := normalizedSettings(w)
	l := &learner{usesCensored: true}
	l.settings, l.model = s, waitpolicy.NewModel(s, o)
	l.begin = func(q *waitpolicy.Query, _ float64, now time.Duration) {
		l.model.Begin(q, queryClass, load, now, now+clientDeadline+time.Millisecond)
	}
	l.onEnd = func(e queryEnd, took *[partCount]time.Duration, now time.Duration) {
		l.model.Done(&l.query, queryClass, now+e.at)
		for p, t := range took {
			l.outcomes++
			late := float64(l.outcomes*0x9e3779b97f4a7c15>>40)/(1<<24) < l.lateFraction
			switch {
			case t <= e.at || late && t < clientDeadline:
				l.model.Observe(queryClass, p, load, waitpolicy.Outcome{At: now + t, Duration: t})
			case l.usesCensored:
				l.model.Observe(queryClass, p, load, waitpolicy.Outcome{At: now + e.at, Duration: e.at, Censored: true})
			}
		}
	}
	return l
}

// commonFactorOracle is more than an oracle where parts are slow together: it knows each query's common factor too,
// and is the best that can be done then. No rule can earn more.
type commonFactorOracle struct {
	world    *world
	byFactor map[int]*optimalPolicy
}

func (o *commonFactorOracle) end(at float64, took *[partCount]time.Duration, common float64) queryEnd {
	const steps = 5 // of the factor, for each of its deviations
	i := int(math.Round(steps * max(-4, min(4, common))))
	x := o.byFactor[i]
	if x == nil {
		z := float64(i) / steps
		x = &optimalPolicy{world: o.world, settings: normalizedSettings(o.world), shares: o.world.shares(), answeredBy: func(p int, at float64, d time.Duration) float64 {
			score := normalQuantile(o.world.answeredBy(p, at, d))
			return 1 - upperTail((score-math.Sqrt(o.world.correlation)*z)/math.Sqrt(1-o.world.correlation))
		}}
		o.byFactor[i] = x
	}
	return x.end(at, took, common)
}

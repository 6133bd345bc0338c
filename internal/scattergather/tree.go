package scattergather

import (
	"time"

	"lockflow/internal/waitpolicy"
)

// Tree is a gathering service and all that it reaches. It is not changed once it is made.
type Tree struct {
	Name     string
	Parts    []Part
	Merge    Merge
	MinShare float64 // share of the parts' weight below which there is no answer
	ID       int     // place among the gatherers of the whole tree, from 0 at its root
}

// Part is what a gatherer asks: a service with servers, or another gatherer.
type Part struct {
	Name      string
	Weight    float64
	Inner     *Tree // nil is a service
	Leaf      int   // place among the services of the whole tree, of one
	leafCount int   // services that it reaches
}

// Leaf is a service of a tree, and the gatherer that asks it.
type Leaf struct {
	Name     string
	Gatherer *Tree
	Part     int // of By
}

// NumberParts gives the gatherers and the services of a tree their places, and lists the latter.
func (t *Tree) NumberParts() (leaves []Leaf) {
	gatherers := 0
	var down func(*Tree) int
	down = func(t *Tree) int {
		t.ID = gatherers
		gatherers++
		sum := 0
		for i := range t.Parts {
			p := &t.Parts[i]
			if p.Inner != nil {
				p.leafCount = down(p.Inner)
			} else {
				p.Leaf, p.leafCount = len(leaves), 1
				leaves = append(leaves, Leaf{p.Name, t, i})
			}
			sum += p.leafCount
		}
		return sum
	}
	down(t)
	return leaves
}

// Decider decides for one query of one gatherer.
type Decider interface {
	// PartEnded tells that a part has ended, and the share of what it stands for that it holds.
	PartEnded(now time.Duration, part int, share float64)
	Next(now time.Duration) waitpolicy.Step
}

// Result is what a service's answer came to. One that holds nothing is a part that is missing.
type Result struct {
	Content        []byte   // checked
	Present, Total int      // parts that it says it holds, where it is of another gatherer; else 1 of 1
	Missing        []string // those that it doesn't
}

// Ended is a part that has ended, or was given up, in the time of its gatherer's query.
type Ended struct {
	Gatherer    *Tree
	Part        int
	Duration    time.Duration
	HasContent  bool
	IsAbandoned bool // it was given up; nothing is known of it beyond that it took longer
}

// Query is one query over a tree: what has come, and whether to wait on. It does no I/O, and is used
// by one goroutine. Time counts from any moment.
type Query struct {
	root      *gathererState
	states    map[*Tree]*gathererState
	results   []Result
	startedAt time.Duration
	ended     []Ended
}

// gathererState is one gatherer in a query.
type gathererState struct {
	*Tree
	Decider
	outer        *gathererState
	placeInOuter int // in up
	hasEnded     []bool
	shares       []float64 // held of each part
	isFinished   bool
	decision     waitpolicy.Kind
}

// Begin begins a query; decider gives each gatherer's own.
func Begin(t *Tree, leaves int, now time.Duration, decider func(*Tree) Decider) *Query {
	q := &Query{states: make(map[*Tree]*gathererState), results: make([]Result, leaves), startedAt: now}
	var down func(*Tree, *gathererState, int) *gathererState
	down = func(t *Tree, up *gathererState, place int) *gathererState {
		a := &gathererState{Tree: t, Decider: decider(t), outer: up, placeInOuter: place, hasEnded: make([]bool, len(t.Parts)), shares: make([]float64, len(t.Parts))}
		q.states[t] = a
		for i, p := range t.Parts {
			if p.Inner != nil {
				down(p.Inner, a, i)
			}
		}
		return a
	}
	q.root = down(t, nil, 0)
	return q
}

// LeafEnded takes the end of a service's part. What comes for a gatherer that has ended changes nothing.
func (q *Query) LeafEnded(now time.Duration, leaf Leaf, place int, r Result) {
	a := q.states[leaf.Gatherer]
	if a.isFinished || a.hasEnded[leaf.Part] {
		return
	}
	q.results[place] = r
	share := 0.0
	if r.Total > 0 {
		share = float64(r.Present) / float64(r.Total)
	}
	q.partEnded(now, a, leaf.Part, share)
}

func (q *Query) partEnded(now time.Duration, a *gathererState, part int, share float64) {
	a.hasEnded[part], a.shares[part] = true, share
	q.ended = append(q.ended, Ended{a.Tree, part, now - q.startedAt, share > 0, false})
	a.PartEnded(now, part, share)
}

// presentShare is the share of the parts' weight that is held.
func (a *gathererState) presentShare() float64 {
	present, all := 0.0, 0.0
	for i, p := range a.Parts {
		present, all = present+p.Weight*a.shares[i], all+p.Weight
	}
	return present / all
}

// shareTolerance is what sums of weights may be off by.
const shareTolerance = 1e-9

func (a *gathererState) isEnough() bool {
	h := a.presentShare()
	return h > 0 && h >= a.MinShare-shareTolerance
}

// Next says what to do. Once it is not to wait, the answer is settled.
func (q *Query) Next(now time.Duration) waitpolicy.Step {
	s := q.next(now, q.root)
	if q.root.isFinished && q.root.decision == waitpolicy.Answer && !q.root.isEnough() {
		q.root.decision = waitpolicy.Refuse
	}
	if q.root.isFinished {
		s.Kind = q.root.decision
	}
	return s
}

func (q *Query) next(now time.Duration, a *gathererState) waitpolicy.Step {
	if a.isFinished {
		return waitpolicy.Step{Kind: a.decision}
	}
	until := time.Duration(-1)
	for i, p := range a.Parts {
		if p.Inner == nil || a.hasEnded[i] {
			continue
		}
		in := q.states[p.Inner]
		s := q.next(now, in)
		if s.Kind != waitpolicy.Wait {
			q.partEnded(now, a, i, in.contributedShare())
		} else if until < 0 || s.Until < until {
			until = s.Until
		}
	}
	s := a.Next(now)
	if s.Kind == waitpolicy.Wait {
		if until >= 0 {
			s.Until = min(s.Until, until)
		}
		return s
	}
	q.end(now, a, s.Kind)
	return waitpolicy.Step{Kind: a.decision}
}

// contributedShare is what of an inner gatherer's answer its outer one holds: nothing where it is refused.
func (a *gathererState) contributedShare() float64 {
	if a.decision != waitpolicy.Answer || !a.isEnough() {
		return 0
	}
	return a.presentShare()
}

// end settles a gatherer. An inner one that still waits gives what it has, where that is enough.
func (q *Query) end(now time.Duration, a *gathererState, kind waitpolicy.Kind) {
	for i, p := range a.Parts {
		if a.hasEnded[i] {
			continue
		}
		if p.Inner != nil {
			in := q.states[p.Inner]
			q.end(now, in, waitpolicy.Answer)
			a.shares[i] = in.contributedShare()
		}
		q.ended = append(q.ended, Ended{a.Tree, i, now - q.startedAt, false, true})
	}
	if a.isFinished, a.decision = true, kind; !a.isEnough() {
		a.decision = waitpolicy.Refuse
	}
}

// Ended gives the parts that have ended since it was last asked.
func (q *Query) Ended() []Ended {
	all := q.ended
	q.ended = nil
	return all
}

// Response is what a settled query's answer is made of.
type Response struct {
	Contents       [][]byte
	Present, Total int
	Missing        []string
}

// Answer gives what a query holds that has been settled with one.
func (q *Query) Answer() (w Response) {
	q.collect(q.root, "", &w)
	return w
}

func (q *Query) collect(a *gathererState, under string, w *Response) {
	for i, p := range a.Parts {
		switch {
		case a.shares[i] == 0:
			w.Total += p.leafCount
			w.Missing = append(w.Missing, under+p.Name)
		case p.Inner != nil:
			q.collect(q.states[p.Inner], under+p.Name+"/", w)
		default:
			r := &q.results[p.Leaf]
			w.Contents = append(w.Contents, r.Content)
			w.Present, w.Total = w.Present+r.Present, w.Total+r.Total
			for _, name := range r.Missing {
				w.Missing = append(w.Missing, under+p.Name+"/"+name)
			}
		}
	}
}

package canary

import (
	"math"
	"time"
)

// events are rare ones (crashes, breaches) by side, over the whole rollout.
type events struct {
	n    [2]int // old side, new side
	time [2]time.Duration
}

func side(new bool) int {
	if new {
		return 1
	}
	return 0
}

func (e *events) count(new bool)                      { e.n[side(new)]++ }
func (e *events) expose(new bool, took time.Duration) { e.time[side(new)] += took }

// Rates that are taken for the new side's in turn, in times of what they are held against: 3 to 3,000.
const rates = 7

func rateOf(i int) float64 { return 3 * math.Pow(10, float64(i)/2) }

// relative is the evidence that the new side has them more often than the old: how many times likelier what
// happened is than at equal rates, given the time that each side ran. At equal rates its mean is 1.
func (e *events) relative() float64 {
	n, o := max(e.time[1].Seconds(), 1), e.time[0].Seconds()
	if e.n[1] == 0 || o <= 0 {
		return 0
	}
	total := 0.0
	for i := range rates {
		t := rateOf(i)
		l := float64(e.n[1])*math.Log(t) + float64(e.n[0]+e.n[1])*(math.Log(n+o)-math.Log(t*n+o))
		total += math.Exp(min(l, 600)) / rates
	}
	return total
}

// absolute is the evidence that the new side has more than one in every: a Poisson process's likelihood
// ratio, whose mean stays 1 at most however often one looks, if it has no more. The old side is watched
// for too short to say what is usual, and what it lived before says nothing: a crash would have ended it.
func (e *events) absolute(every time.Duration) float64 {
	if e.n[1] == 0 {
		return 0
	}
	usual, total := e.time[1].Seconds()/every.Seconds(), 0.0
	for i := range rates {
		t := rateOf(i)
		total += math.Exp(min(float64(e.n[1])*math.Log(t)-(t-1)*usual, 600)) / rates
	}
	return total
}

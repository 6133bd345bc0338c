package canary

import (
	"math"
	"time"
)

// rareEvents are rare ones (crashes, breaches) by side, over the whole rollout.
type rareEvents struct {
	counts   [2]int // old side, new side
	exposure [2]time.Duration
}

func sideIndex(isNew bool) int {
	if isNew {
		return 1
	}
	return 0
}

func (e *rareEvents) add(new bool) { e.counts[sideIndex(new)]++ }
func (e *rareEvents) addExposure(isNew bool, duration time.Duration) {
	e.exposure[sideIndex(isNew)] += duration
}

// Rates that are taken for the new side's in turn, in times of what they are held against: 3 to 3,000.
const rateCount = 7

func rateMultiple(i int) float64 { return 3 * math.Pow(10, float64(i)/2) }

// isRelative is the evidence that the new side has them more often than the old: how many times likelier what
// happened is than at equal rates, given the time that each side ran. At equal rates its mean is 1.
func (e *rareEvents) relativeEvidence() float64 {
	newTime, oldTime := max(e.exposure[1].Seconds(), 1), e.exposure[0].Seconds()
	if e.counts[1] == 0 || oldTime <= 0 {
		return 0
	}
	total := 0.0
	for i := range rateCount {
		multiple := rateMultiple(i)
		logLikelihood := float64(e.counts[1])*math.Log(multiple) + float64(e.counts[0]+e.counts[1])*(math.Log(newTime+oldTime)-math.Log(multiple*newTime+oldTime))
		total += math.Exp(min(logLikelihood, 600)) / rateCount
	}
	return total
}

// absoluteEvidence is the evidence that the new side has more than one in every: a Poisson process's likelihood
// ratio, whose mean stays 1 at most however often one looks, if it has no more. The old side is watched
// for too short to say what is usual, and what it lived before says nothing: a crash would have ended it.
func (e *rareEvents) absoluteEvidence(usualInterval time.Duration) float64 {
	if e.counts[1] == 0 {
		return 0
	}
	expected, total := e.exposure[1].Seconds()/usualInterval.Seconds(), 0.0
	for i := range rateCount {
		multiple := rateMultiple(i)
		total += math.Exp(min(float64(e.counts[1])*math.Log(multiple)-(multiple-1)*expected, 600)) / rateCount
	}
	return total
}

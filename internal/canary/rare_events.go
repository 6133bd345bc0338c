package canary

import (
	"math"
	"time"
)

// Indexes of arrays with an entry for each side. Controls belong to the old side.
const (
	sideIndexOld = iota
	sideIndexNew
	sideCount
)

func sideIndex(isNew bool) int {
	if isNew {
		return sideIndexNew
	}
	return sideIndexOld
}

// rareEvents counts rare events (crashes or invariant violations) of each side over the entire rollout.
type rareEvents struct {
	counts   [sideCount]int
	exposure [sideCount]time.Duration // total observed time of the side's members, in which any event would have been counted
}

func (e *rareEvents) add(isNew bool) { e.counts[sideIndex(isNew)]++ }

func (e *rareEvents) addExposure(isNew bool, duration time.Duration) {
	e.exposure[sideIndex(isNew)] += duration
}

// rateCount is the number of assumed event rates of the new side over which the likelihood ratios are averaged. Each is
// a multiple of the reference rate.
const rateCount = 7

// maxLogLikelihood limits exponents so that the likelihood ratios remain finite.
const maxLogLikelihood = 600

// rateMultiple returns the multiple of the reference rate with index i: from 3 to 3,000 in geometric steps.
func rateMultiple(i int) float64 { return 3 * math.Pow(10, float64(i)/2) }

// relativeEvidence returns the evidence that events are more frequent on the new side than on the old one: the
// likelihood ratio of the counts against equal rates, given the exposure of each side. At equal rates its mean is 1.
func (e *rareEvents) relativeEvidence() float64 {
	newTime := max(e.exposure[sideIndexNew].Seconds(), 1)
	oldTime := e.exposure[sideIndexOld].Seconds()
	newCount := e.counts[sideIndexNew]
	allCount := e.counts[sideIndexOld] + newCount
	if newCount == 0 || oldTime <= 0 {
		return 0
	}
	total := 0.0
	for i := range rateCount {
		multiple := rateMultiple(i)
		logLikelihood := float64(newCount)*math.Log(multiple) + float64(allCount)*(math.Log(newTime+oldTime)-math.Log(multiple*newTime+oldTime))
		total += math.Exp(min(logLikelihood, maxLogLikelihood)) / rateCount
	}
	return total
}

// absoluteEvidence returns the evidence that the new side has more than one event per usualInterval: the likelihood
// ratio of a Poisson process. Without harm its mean is at most 1, and by Ville's inequality it reaches a limit L with a
// probability of at most 1/L over any number of evaluations. The usual rate is a parameter, since the old side is
// watched for too short a time to estimate it.
func (e *rareEvents) absoluteEvidence(usualInterval time.Duration) float64 {
	newCount := e.counts[sideIndexNew]
	if newCount == 0 {
		return 0
	}
	expected := e.exposure[sideIndexNew].Seconds() / usualInterval.Seconds()
	total := 0.0
	for i := range rateCount {
		multiple := rateMultiple(i)
		total += math.Exp(min(float64(newCount)*math.Log(multiple)-(multiple-1)*expected, maxLogLikelihood)) / rateCount
	}
	return total
}

package canary

import (
	"math"
	"time"
)

// Indexes of arrays that have an entry for each side. Controls count as old.
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

// rareEvents counts rare events (crashes, invariant violations) of each side over the rollout.
type rareEvents struct {
	counts   [sideCount]int
	exposure [sideCount]time.Duration // time of members in which events would have been counted
}

func (e *rareEvents) add(isNew bool) { e.counts[sideIndex(isNew)]++ }

func (e *rareEvents) addExposure(isNew bool, duration time.Duration) {
	e.exposure[sideIndex(isNew)] += duration
}

// The likelihood ratios are mixtures over rateCount rates of the new side, which are multiples of the reference rate.
const rateCount = 7

// maxLogLikelihood keeps exponentials finite.
const maxLogLikelihood = 600

// rateMultiple returns the multiples 3 to 3,000 in geometric steps.
func rateMultiple(i int) float64 { return 3 * math.Pow(10, float64(i)/2) }

// relativeEvidence returns the evidence that the new side has more events than the old one: the likelihood ratio of
// the counts against equal rates, given each side's exposure. At equal rates its mean is 1.
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

// absoluteEvidence returns the evidence that the new side has more than one event in usualInterval: the likelihood
// ratio of a Poisson process. Without harm its mean is at most 1 at any number of looks (Ville's inequality). The usual
// rate is given, since the old side is watched for too short a time to estimate it.
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

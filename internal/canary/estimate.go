package canary

import (
	"math"
	"slices"
)

// estimate is what one member says of a measure: its change against before, and the variance of that.
type estimate struct{ mean, variance float64 }

// baselineLevel is what a member's before is believed to be, and the variance of that.
type baselineLevel struct{ mean, variance float64 }

// shrinkBaselines has each member's before between its own and the fleet's, by how far members differ and how sure
// its own is (James and Stein). y, d hold one entry a member; d of 0 is a member without.
func shrinkBaselines(numerators, denominators []float64, variance float64) (mean float64, all []baselineLevel) {
	numeratorSum, denominatorSum := 0.0, 0.0
	for i := range numerators {
		numeratorSum, denominatorSum = numeratorSum+numerators[i], denominatorSum+denominators[i]
	}
	all = make([]baselineLevel, len(numerators))
	if denominatorSum == 0 {
		return 0, all
	}
	mean = numeratorSum / denominatorSum
	var known []estimate
	for i := range numerators {
		if denominators[i] > 0 {
			known = append(known, estimate{numerators[i] / denominators[i], variance / denominators[i]})
		}
	}
	betweenMembers := varianceBetween(known)
	for i := range numerators {
		if denominators[i] <= 0 {
			all[i] = baselineLevel{mean, betweenMembers}
			continue
		}
		own := variance / denominators[i]
		weight := 1.0
		if betweenMembers+own > 0 {
			weight = betweenMembers / (betweenMembers + own)
		}
		all[i] = baselineLevel{mean + weight*(numerators[i]/denominators[i]-mean), weight * own}
	}
	return mean, all
}

// varianceBetween is the variance between members beyond that of each (DerSimonian and Laird).
func varianceBetween(all []estimate) float64 {
	if len(all) < 2 {
		return 0
	}
	var weightSum, weightedSum, squaredSum float64
	for _, e := range all {
		weight := 1 / max(e.variance, 1e-18)
		weightSum, weightedSum, squaredSum = weightSum+weight, weightedSum+weight*e.mean, squaredSum+weight*weight
	}
	deviation, mean := 0.0, weightedSum/weightSum
	for _, e := range all {
		deviation += (e.mean - mean) * (e.mean - mean) / max(e.variance, 1e-18)
	}
	scale := weightSum - squaredSum/weightSum
	if scale <= 0 {
		return 0
	}
	return max(0, (deviation-float64(len(all)-1))/scale)
}

// totalVariance is how far members are from each other, with all that makes them so.
func totalVariance(all []estimate) float64 {
	variance := 0.0
	for _, e := range all {
		variance += e.variance
	}
	return varianceBetween(all) + variance/float64(max(len(all), 1))
}

// poolEstimates is the mean of a side and its variance.
func poolEstimates(all []estimate, betweenMembers float64) estimate {
	if len(all) == 0 {
		return estimate{0, math.Inf(1)}
	}
	var weightSum, weightedSum float64
	for _, e := range all {
		weight := 1 / max(e.variance+betweenMembers, 1e-18)
		weightSum, weightedSum = weightSum+weight, weightedSum+weight*e.mean
	}
	return estimate{weightedSum / weightSum, 1 / weightSum}
}

// trimOutliers leaves out what is far from all others, where there are enough to tell. More than one in twenty that
// are far are no liars but how the fleet is (a zone with a fault): then all stay, and widen the bounds.
func trimOutliers(all []estimate) ([]estimate, int) {
	if len(all) < 8 {
		return all, 0
	}
	distances := make([]float64, len(all))
	for i, e := range all {
		distances[i] = e.mean
	}
	slices.Sort(distances)
	median := distances[len(distances)/2]
	for i := range distances {
		distances[i] = math.Abs(distances[i] - median)
	}
	slices.Sort(distances)
	deviation := 1.4826 * distances[len(distances)/2]
	remaining := make([]estimate, 0, len(all))
	for _, e := range all {
		if math.Abs(e.mean-median) <= 8*math.Sqrt(deviation*deviation+e.variance) {
			remaining = append(remaining, e)
		}
	}
	if leftOut := len(all) - len(remaining); 20*leftOut <= len(all) {
		return remaining, leftOut
	}
	return all, 0
}

// boundWidth is how far on one side an estimate of variance v may be off at any of any number of looks, but
// for a part alpha: Robbins' normal mixture, narrowest about where v is a sixteenth of margin squared.
func boundWidth(variance, margin, alpha float64, sequential bool) float64 {
	if !(variance < 1e12) {
		return math.Inf(1)
	}
	variance = max(variance, 1e-18)
	if !sequential {
		return math.Sqrt(variance) * math.Sqrt2 * math.Erfinv(1-2*alpha)
	}
	information, rho := 1/variance, 1/(margin*margin)
	return math.Sqrt((information+rho)*math.Log((information+rho)/(rho*4*alpha*alpha))) / information
}

// pooledVariance is what a measure varies by within members over time: the variance of a sum for each unit of
// its denominator, and how many batches less means that stands on.
type pooledVariance struct {
	variance         float64
	degreesOfFreedom int
}

// varianceOverTime takes it from how a member's batches differ from its own mean.
func varianceOverTime(windows [][]batch, scales []float64, measure int) pooledVariance {
	var squares float64
	degreesOfFreedom := 0
	for i, window := range windows {
		numerator, denominator := sumBatches(window, measure)
		if denominator <= 0 || len(window) < 2 || scales[i] <= 0 {
			continue
		}
		ratio, batches := numerator/denominator, 0
		for j := range window {
			if b := &window[j]; b.denominator[measure] > 0 {
				residual := (b.numerator[measure] - ratio*b.denominator[measure]) / scales[i]
				squares += residual * residual / b.denominator[measure]
				batches++
			}
		}
		degreesOfFreedom += max(batches-1, 0)
	}
	if degreesOfFreedom == 0 {
		return pooledVariance{}
	}
	return pooledVariance{squares / float64(degreesOfFreedom), degreesOfFreedom}
}

// ratioVariance is what a ratio varies by from reading to reading whatever its denominator: cost a request does, as work
// besides requests does, so that more requests don't make it surer.
func ratioVariance(windows [][]batch, measure int) float64 {
	squares, degreesOfFreedom := 0.0, 0
	for _, window := range windows {
		numerator, denominator := sumBatches(window, measure)
		if denominator <= 0 || len(window) < 2 {
			continue
		}
		for j := range window {
			if b := &window[j]; b.denominator[measure] > 0 {
				residual := b.numerator[measure]/b.denominator[measure] - numerator/denominator
				squares += residual * residual * b.readings
				degreesOfFreedom++
			}
		}
		degreesOfFreedom--
	}
	return squares / float64(max(degreesOfFreedom, 1))
}

// dispersion is how many times more than Poisson counts the counts of members vary over time, 1 at least:
// requests come in bursts, fail together and are worth more than one (quasi-Poisson, by Pearson's residuals).
// least is a part taken to go wrong besides, so that the first one does not weigh all.
func dispersion(windows [][]batch, measure int, requestWeight, minShare float64) pooledVariance {
	var squares float64
	degreesOfFreedom := 0
	for _, window := range windows {
		numerator, denominator := sumBatches(window, measure)
		if denominator <= 0 || len(window) < 2 {
			continue
		}
		batches := 0
		for j := range window {
			if b := &window[j]; b.denominator[measure] > 0 {
				residual := b.numerator[measure] - numerator/denominator*b.denominator[measure]
				squares += residual * residual / (requestWeight * (b.expected[measure] + minShare*b.denominator[measure]))
				batches++
			}
		}
		degreesOfFreedom += max(batches-1, 0)
	}
	if degreesOfFreedom == 0 {
		return pooledVariance{}
	}
	return pooledVariance{max(1, squares/float64(degreesOfFreedom)), degreesOfFreedom}
}

// memorySlope is a member's growth of memory for each reading, in parts of scale times the fleet's, and what its
// batches are off that line by.
func memorySlope(window []batch, scale float64) (slope, sxx, residual float64, points int) {
	var x, y, meanX, meanY float64
	var xs, ys [maxBatches + 1]float64
	start := 0.0
	for i := range window {
		if denominator := window[i].denominator[measureMemory]; denominator > 0 {
			xs[points], ys[points] = start+window[i].readings/2, window[i].numerator[measureMemory]/denominator/scale
			meanX, meanY = meanX+xs[points], meanY+ys[points]
			points++
		}
		start += window[i].readings
	}
	if points < 6 {
		return 0, 0, 0, 0
	}
	meanX, meanY = meanX/float64(points), meanY/float64(points)
	sxy := 0.0
	for i := range points {
		x, y = xs[i]-meanX, ys[i]-meanY
		sxx, sxy = sxx+x*x, sxy+x*y
	}
	if sxx <= 0 {
		return 0, 0, 0, 0
	}
	slope = sxy / sxx
	for i := range points {
		distance := ys[i] - meanY - slope*(xs[i]-meanX)
		residual += distance * distance
	}
	return slope, sxx, residual, points
}

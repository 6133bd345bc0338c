package canary

import (
	"math"
	"slices"
)

// minMembersForSpread is how many members it takes to estimate from them how much members differ.
const minMembersForSpread = 8

// minVariance keeps inverse variances finite.
const minVariance = 1e-18

// estimate is the mean of a measure of one member or of a side, and the variance of that mean.
type estimate struct{ mean, variance float64 }

// baselineLevel is a member's estimated level before the first stage.
type baselineLevel struct{ mean, variance float64 }

// shrinkBaselines returns the mean of all baselines, and each member's own moved towards it: the further the less
// members differ, and the less certain its own is (James-Stein estimator). There is one entry a member; a denominator
// of 0 is a member without a baseline. variance is for each unit of a denominator.
func shrinkBaselines(numerators, denominators []float64, variance float64) (mean float64, all []baselineLevel) {
	var numeratorSum, denominatorSum float64
	for i := range numerators {
		numeratorSum += numerators[i]
		denominatorSum += denominators[i]
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

// varianceBetween returns the variance between members in excess of each one's own (DerSimonian-Laird estimator).
func varianceBetween(all []estimate) float64 {
	if len(all) < 2 {
		return 0
	}
	var weightSum, weightedSum, squaredSum float64
	for _, e := range all {
		weight := 1 / max(e.variance, minVariance)
		weightSum += weight
		weightedSum += weight * e.mean
		squaredSum += weight * weight
	}
	mean := weightedSum / weightSum
	deviation := 0.0
	for _, e := range all {
		deviation += (e.mean - mean) * (e.mean - mean) / max(e.variance, minVariance)
	}
	scale := weightSum - squaredSum/weightSum
	if scale <= 0 {
		return 0
	}
	return max(0, (deviation-float64(len(all)-1))/scale)
}

// totalVariance returns the variance between members including the mean of each one's own.
func totalVariance(all []estimate) float64 {
	variance := 0.0
	for _, e := range all {
		variance += e.variance
	}
	return varianceBetween(all) + variance/float64(max(len(all), 1))
}

// poolEstimates returns the mean of a side by inverse variance; betweenMembers is added to each member's own.
func poolEstimates(all []estimate, betweenMembers float64) estimate {
	if len(all) == 0 {
		return estimate{0, math.Inf(1)}
	}
	var weightSum, weightedSum float64
	for _, e := range all {
		weight := 1 / max(e.variance+betweenMembers, minVariance)
		weightSum += weight
		weightedSum += weight * e.mean
	}
	return estimate{weightedSum / weightSum, 1 / weightSum}
}

// normalConsistency makes the median absolute deviation of normal values an estimate of their standard deviation.
const normalConsistency = 1.4826

// trimOutliers returns the estimates without outliers, and how many were left out. The distance is measured in median
// absolute deviations. More than one outlier in twenty is a property of the fleet (a zone with a fault): then all
// remain, and widen the bounds.
func trimOutliers(all []estimate) ([]estimate, int) {
	if len(all) < minMembersForSpread {
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
	deviation := normalConsistency * distances[len(distances)/2]
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

// boundWidth returns the half-width of a one-sided confidence bound that is exceeded with a probability of at most alpha.
// If sequential, that holds over any number of looks (confidence sequence by Robbins' normal mixture, see Howard et al.,
// "Time-uniform, nonparametric, nonasymptotic confidence sequences"); it is narrowest about where variance is a
// sixteenth of margin squared.
func boundWidth(variance, margin, alpha float64, sequential bool) float64 {
	if !(variance < 1e12) {
		return math.Inf(1)
	}
	variance = max(variance, minVariance)
	if !sequential {
		return math.Sqrt(variance) * math.Sqrt2 * math.Erfinv(1-2*alpha)
	}
	information := 1 / variance
	rho := 1 / (margin * margin) // of the mixture
	return math.Sqrt((information+rho)*math.Log((information+rho)/(rho*4*alpha*alpha))) / information
}

// pooledVariance is the variance of a measure within members over time, for each unit of its denominator.
type pooledVariance struct {
	variance         float64
	degreesOfFreedom int
}

// varianceOverTime estimates the variance from the batches of each window around the window's own mean (method of
// batch means). scales has a divisor for each window.
func varianceOverTime(windows [][]batch, scales []float64, measure int) pooledVariance {
	var squares float64
	degreesOfFreedom := 0
	for i, window := range windows {
		numerator, denominator := sumBatches(window, measure)
		if denominator <= 0 || len(window) < 2 || scales[i] <= 0 {
			continue
		}
		ratio := numerator / denominator
		batches := 0
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

// ratioVariance returns the variance of a ratio from reading to reading that its denominator does not explain. Costs
// have it: work besides requests does not become more certain with more requests.
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

// dispersion returns how many times the counts of members vary more than Poisson counts, at least 1: requests come in
// bursts, fail together and weigh more than one (quasi-Poisson dispersion by Pearson residuals). minShare is a share of
// the denominator that is added to the expected count, so that the first event does not dominate.
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

// minLinePoints is how many batches a line takes.
const minLinePoints = 6

// memoryLine is a least-squares line of a member's memory over readings, relative to the fleet's. The zero value is
// none.
type memoryLine struct {
	slope       float64 // for each reading
	sxx         float64 // sum of squared distances from the mean time
	residualSum float64 // of squares
	points      int
}

// fitMemory fits a line to a member's memory, divided by scale.
func fitMemory(window []batch, scale float64) memoryLine {
	var meanX, meanY float64
	var xs, ys [maxBatches + 1]float64
	points := 0
	start := 0.0
	for i := range window {
		if denominator := window[i].denominator[measureMemory]; denominator > 0 {
			xs[points] = start + window[i].readings/2
			ys[points] = window[i].numerator[measureMemory] / denominator / scale
			meanX += xs[points]
			meanY += ys[points]
			points++
		}
		start += window[i].readings
	}
	if points < minLinePoints {
		return memoryLine{}
	}
	meanX /= float64(points)
	meanY /= float64(points)
	line := memoryLine{points: points}
	sxy := 0.0
	for i := range points {
		x := xs[i] - meanX
		y := ys[i] - meanY
		line.sxx += x * x
		sxy += x * y
	}
	if line.sxx <= 0 {
		return memoryLine{}
	}
	line.slope = sxy / line.sxx
	for i := range points {
		residual := ys[i] - meanY - line.slope*(xs[i]-meanX)
		line.residualSum += residual * residual
	}
	return line
}

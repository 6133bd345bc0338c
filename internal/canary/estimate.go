package canary

import (
	"math"
	"slices"
)

// minMembersForSpread is the minimum number of members for estimating how much members differ from each other.
const minMembersForSpread = 8

// minVariance is a lower limit of variances, so that their inverses remain finite.
const minVariance = 1e-18

// estimate is the estimated mean of a measure for one member or one side, and the variance of that mean.
type estimate struct{ mean, variance float64 }

// baselineLevel is the estimated level of a measure of one member before the first stage.
type baselineLevel struct{ mean, variance float64 }

// shrinkBaselines returns the mean of all baselines, and each member's baseline shrunk towards that mean (James-Stein
// estimator). The shrinkage is the stronger, the less the members differ and the less certain a member's baseline is.
// The slices have one entry per member; a denominator of 0 means that the member has no baseline. variance is the
// variance per unit of a denominator.
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

// varianceBetween returns the variance between members in excess of the variance of each member's estimate
// (DerSimonian-Laird estimator).
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

// totalVariance returns the variance between members plus the mean variance of the members' estimates.
func totalVariance(all []estimate) float64 {
	variance := 0.0
	for _, e := range all {
		variance += e.variance
	}
	return varianceBetween(all) + variance/float64(max(len(all), 1))
}

// poolEstimates returns the mean of a side's estimates, weighted by their inverse variances. betweenMembers is added to
// the variance of each.
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

// normalConsistency is the factor between the median absolute deviation and the standard deviation of normally
// distributed values.
const normalConsistency = 1.4826

// trimOutliers returns the estimates without outliers, and the number of outliers. An outlier is more than 8 standard
// deviations from the median; the deviation is derived from the median absolute deviation. If more than one estimate in
// twenty is an outlier, the fleet itself is uneven (for example, a zone has a fault); then all estimates are returned,
// and widen the bounds.
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

// boundWidth returns the distance of a one-sided confidence bound from the estimate; the bound is exceeded with a
// probability of at most alpha. If sequential, that holds over any number of evaluations (confidence sequence with
// Robbins' normal mixture, see Howard et al., "Time-uniform, nonparametric, nonasymptotic confidence sequences"). The
// sequential bound is tightest where variance is about a sixteenth of margin squared.
func boundWidth(variance, margin, alpha float64, sequential bool) float64 {
	if !(variance < 1e12) {
		return math.Inf(1)
	}
	variance = max(variance, minVariance)
	if !sequential {
		return math.Sqrt(variance) * math.Sqrt2 * math.Erfinv(1-2*alpha)
	}
	information := 1 / variance
	rho := 1 / (margin * margin) // parameter of the normal mixture
	return math.Sqrt((information+rho)*math.Log((information+rho)/(rho*4*alpha*alpha))) / information
}

// pooledVariance is the variance over time of a measure within members, per unit of the measure's denominator.
type pooledVariance struct {
	variance         float64
	degreesOfFreedom int
}

// varianceOverTime estimates the variance over time from the deviations of batches from the mean of their window (method
// of batch means). scales has a divisor of the deviations for each window.
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

// ratioVariance returns the variance of a ratio per reading, independent of the size of its denominator. Costs have
// such a variance, since an instance also does work that does not depend on the number of requests.
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

// dispersion returns the ratio, at least 1, of the variance of counts to that of Poisson counts (quasi-Poisson
// dispersion from Pearson residuals). The counts are overdispersed because requests arrive in bursts, fail together and
// have different weights. minShare is a share of the denominator that is added to the expected count, so that the first
// event does not dominate.
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

// minLinePoints is the minimum number of batches for fitting a line.
const minLinePoints = 6

// memoryLine is a least-squares line of a member's memory, relative to the fleet's, over the number of readings. The
// zero value means that there is no line.
type memoryLine struct {
	slope       float64 // change per reading
	sxx         float64 // sum of squared distances from the mean time
	residualSum float64 // sum of squared residuals
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

package waitpolicy

import "math"

// maxScore limits the absolute value of normal scores.
const maxScore = 4.0

// The table of normalCDF covers scores from -cdfSpan to cdfSpan, with cdfSteps entries for each unit.
const (
	cdfSpan  = 5.0
	cdfSteps = 32
)

var cdfTable = func() (table [2*cdfSpan*cdfSteps + 1]float64) {
	for i := range table {
		table[i] = math.Erfc(-(float64(i)/cdfSteps-cdfSpan)/math.Sqrt2) / 2
	}
	return table
}()

// normalScore returns the standard normal quantile of a probability, from -maxScore to maxScore.
func normalScore(p float64) float64 {
	return max(-maxScore, min(maxScore, math.Sqrt2*math.Erfinv(2*p-1)))
}

// normalCDF returns the standard normal distribution function, interpolated with an error below 1e-4.
func normalCDF(x float64) float64 {
	x = (x + cdfSpan) * cdfSteps
	if x <= 0 {
		return 0
	}
	i := int(x)
	if i >= len(cdfTable)-1 {
		return 1
	}
	return cdfTable[i] + (x-float64(i))*(cdfTable[i+1]-cdfTable[i])
}

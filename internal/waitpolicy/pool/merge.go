package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lockflow/internal/waitpolicy"
)

const (
	// maxMemberWeight is the maximum weight of one member in a merged sketch.
	maxMemberWeight = 16
	// maxSparseWeight is the maximum weight of a member whose sketch is too small to be compared.
	maxSparseWeight = 4
	// comparableWeight is the minimum weight of a sketch that is compared with the others.
	comparableWeight = 8
	// minComparable is the minimum number of comparable sketches for the detection of outliers.
	minComparable = 3
	// outlierDivisor divides the number of comparable sketches; the result is the maximum number of outliers.
	outlierDivisor = 3
	// A sketch may deviate from the median by baseTolerance, in doublings of the duration, and by
	// sampleTolerance over the square root of its weight.
	baseTolerance   = 0.25
	sampleTolerance = 3
)

// comparedQuantiles are the quantiles by which members are compared.
var comparedQuantiles = [...]float64{0.25, 0.5, 0.9}

// memberSketch is one member's sketch of a key.
type memberSketch struct {
	sketch       waitpolicy.Sketch
	count        float64 // outcomes in it
	weight       float64 // in the merged sketch
	isComparable bool
	logQuantiles [len(comparedQuantiles)]float64 // log2 of nanoseconds
	tolerance    float64                         // in doublings
	deviation    float64                         // from the median, in tolerances
}

// newMemberSketch returns a sketch with its weight, which is multiplied by freshness, 0 to 1.
func newMemberSketch(sketch waitpolicy.Sketch, freshness float64) memberSketch {
	count := sketch.Weight()
	s := memberSketch{sketch: sketch, count: count, isComparable: count >= comparableWeight}
	if !s.isComparable {
		s.weight = min(count, maxSparseWeight) * freshness
		return s
	}
	s.weight = min(count, maxMemberWeight) * freshness
	var quantiles [len(comparedQuantiles)]time.Duration
	sketch.Quantiles(comparedQuantiles[:], quantiles[:])
	for i, quantile := range quantiles {
		s.logQuantiles[i] = math.Log2(float64(max(quantile, 1)))
	}
	s.tolerance = baseTolerance + sampleTolerance/math.Sqrt(count)
	return s
}

// mergeKey returns the merged sketch of a key. own may be nil.
func (p *Pool) mergeKey(now time.Duration, ids []string, key waitpolicy.Key, own *waitpolicy.Sketch) *waitpolicy.Sketch {
	sketches := p.sketches[:0]
	for _, id := range ids {
		m := p.members[id]
		record := m.records[key]
		if record == nil {
			continue
		}
		sketch, err := record.Sketch()
		if err != nil {
			continue // cannot happen: the record was validated when it was decoded
		}
		if s := newMemberSketch(sketch, max(0, p.freshness(now-m.reportedAt))); s.weight > 0 {
			sketches = append(sketches, s)
		}
	}
	members := len(sketches)
	if own != nil {
		sketches = append(sketches, newMemberSketch(*own, 1))
	}
	p.sketches = sketches
	measureDeviations(sketches)
	p.discardOutliers(sketches, members)
	merged := new(waitpolicy.Sketch)
	for i := range sketches[:members] {
		if s := &sketches[i]; s.weight > 0 {
			merged.Add(&s.sketch, s.weight/s.count)
		}
	}
	return merged
}

// freshness returns the factor by which the weight of a report of the given age is multiplied.
func (p *Pool) freshness(age time.Duration) float64 {
	freshPeriod := float64(p.options.Lifetime) / freshDivisor
	return min(1, (float64(p.options.Lifetime)-float64(age))/(2*freshPeriod))
}

// discardOutliers sets the weight of the members' sketches that deviate most to 0, up to the maximum number of outliers.
func (p *Pool) discardOutliers(sketches []memberSketch, members int) {
	outliers := make([]int, 0, members)
	comparable := 0
	for i := range sketches {
		if sketches[i].isComparable {
			comparable++
		}
		if i < members && sketches[i].deviation > 1 {
			outliers = append(outliers, i)
		}
	}
	slices.SortStableFunc(outliers, func(a, b int) int { return cmp.Compare(sketches[b].deviation, sketches[a].deviation) })
	for _, i := range outliers[:min(len(outliers), comparable/outlierDivisor)] {
		sketches[i].weight = 0
		p.stats.Outliers++
	}
}

// measureDeviations sets the largest deviation of each comparable sketch from the median of all.
func measureDeviations(sketches []memberSketch) {
	for q := range comparedQuantiles {
		var values []float64
		for i := range sketches {
			if sketches[i].isComparable {
				values = append(values, sketches[i].logQuantiles[q])
			}
		}
		if len(values) < minComparable {
			return
		}
		slices.Sort(values)
		median := (values[(len(values)-1)/2] + values[len(values)/2]) / 2
		for i := range sketches {
			if s := &sketches[i]; s.isComparable {
				s.deviation = max(s.deviation, math.Abs(s.logQuantiles[q]-median)/s.tolerance)
			}
		}
	}
}

package canary

import (
	"math"
	"time"

	"lockflow/internal/instancestats"
)

// Bounds of what is stored of a member, and of what a plausible reading has.
const (
	maxBatches             = 16              // of a member and stage; they grow in width, not in number
	maxRequestsPerSecond   = 1e6             // requests a second of one instance
	maxUnitsPerRequest     = 1e3             // units for each request, in the mean
	maxCores               = 4096            // of an instance's machine
	maxWeight              = 1e15            // of all requests of a process
	maxRequests            = 1 << 50         // of a process
	maxImplausibleReadings = 3               // of a stage, after which a member is left out of it
	maxMembers             = 1 << 16         // further members are not observed
	maxReadingGap          = 5 * time.Minute // longest time between two readings that are compared
)

// batch holds a member's counts over some readings, relative to the fleet at the same time. For shares, numerator is
// the count less expected, the count at the fleet's rate; for relative measures, denominator is the expected count.
type batch struct {
	numerator   [countedMeasures]float64
	denominator [countedMeasures]float64
	expected    [measureUnits]float64
	readings    float64
}

// addMeasure adds to a measure's sums.
func (b *batch) addMeasure(measure int, numerator, denominator float64) {
	b.numerator[measure] += numerator
	b.denominator[measure] += denominator
}

// member is the state of one member of the fleet.
type member struct {
	side                Side
	isServing           bool
	hasLast             bool // last is of the running process and its side
	last                instancestats.Statistics
	lastAt              time.Duration // of last
	first               instancestats.Statistics
	baseline            instancestats.Statistics // counts before the first stage
	hasBaseline         bool
	isChangedInStage    bool          // changed sides in this stage
	isNewProcess        bool          // its process was started with the change
	warmAt              time.Duration // from when on its counts are used
	isCrashCounted      bool          // the crash that it recovers from is counted
	implausibleReadings int

	// Absolute counts since the last change of a stage.
	previousTotals batch // of the stage before
	totals         batch // of this stage

	batches         [maxBatches + 1]batch
	fullBatches     int
	batchWidth      int // readings in a full batch
	partialReadings int // readings in the batch that is being filled
}

// reset drops the batches of the stage before.
func (m *member) reset() {
	m.batches = [maxBatches + 1]batch{}
	m.fullBatches = 0
	m.partialReadings = 0
	m.batchWidth = 1
	m.implausibleReadings = 0
	m.isChangedInStage = false
}

// changeSide has the member start anew on another side.
func (m *member) changeSide(r *Reading) {
	m.isNewProcess = !r.Statistics.Began.Equal(m.last.Began)
	m.reset()
	m.side = r.Side
	m.hasLast = false
	m.isServing = r.IsServing
	m.isCrashCounted = false
	m.isChangedInStage = true
}

// isExcluded tells whether the member's readings of this stage are not used, since too many were implausible.
func (m *member) isExcluded() bool { return m.implausibleReadings >= maxImplausibleReadings }

// setBaseline sets a member's counts before the first stage from a reading of its complete process. What was observed of
// the member recently is preferred, if it is enough.
func (m *member) setBaseline(statistics *instancestats.Statistics) {
	if m.hasBaseline || !isPlausible(statistics, 0) {
		return
	}
	m.hasBaseline = true
	m.baseline = *statistics
	if observed, ok := m.last.Since(m.first); m.hasLast && ok && observed.Requests >= minBaselineRequests {
		m.baseline = observed
	}
}

// startWarmUp sets the first reading of a process, whose counts are used from warmAt on.
func (m *member) startWarmUp(first *instancestats.Statistics, warmAt time.Duration) {
	m.first = *first
	m.warmAt = warmAt
}

// isPlausible tells whether a process can have counted statistics in a time; 0 is the process's lifetime.
func isPlausible(statistics *instancestats.Statistics, duration time.Duration) bool {
	for _, v := range [...]float64{statistics.OfferedWeight, statistics.Served, statistics.Units} {
		if math.IsNaN(v) || v < 0 || v > maxWeight {
			return false
		}
	}
	isServedPlausible := statistics.Served <= statistics.OfferedWeight*1.01+1e3
	if !isServedPlausible || statistics.CPU < 0 || statistics.MemoryKB < 0 {
		return false
	}
	if statistics.Requests > maxRequests || statistics.Breaches > maxRequests {
		return false
	}
	return areRatesPlausible(statistics, duration) && areOutcomesPlausible(statistics)
}

// areRatesPlausible tells whether one instance can have done so much in a time; 0 is an unknown one.
func areRatesPlausible(statistics *instancestats.Statistics, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	return float64(statistics.Requests) <= maxRequestsPerSecond*duration.Seconds() &&
		statistics.CPU <= maxCores*duration &&
		statistics.Units <= maxUnitsPerRequest*maxRequestsPerSecond*duration.Seconds()
}

// areOutcomesPlausible tells whether no outcome has more requests than there were. Some more are allowed, since the
// counters of one request do not change in the same instant.
func areOutcomesPlausible(statistics *instancestats.Statistics) bool {
	limit := statistics.Requests + statistics.Requests/50 + 64
	for _, count := range [...]uint64{statistics.Failed, statistics.Rejected, statistics.Late, statistics.ClientsGone, statistics.Delays.Total()} {
		if count > limit {
			return false
		}
	}
	return statistics.OverQuota <= statistics.Rejected
}

// add adds a reading's counts to the batches. rates are the fleet's at the same time; NaN is an unknown one.
func (m *member) add(statistics *instancestats.Statistics, slowBucket int, rates *[countedMeasures]float64) {
	b := &m.batches[m.fullBatches]
	b.readings++
	for measure := range countedMeasures {
		numerator, denominator := measureRatio(measure, statistics, slowBucket)
		rate := rates[measure]
		switch {
		case math.IsNaN(rate) || math.IsInf(rate, 0): // the fleet had no requests
		case isRelative(measure) && rate <= 0:
		case isRelative(measure):
			b.numerator[measure] += numerator
			b.denominator[measure] += denominator * rate
		default:
			b.numerator[measure] = b.numerator[measure] + numerator - denominator*rate
			b.denominator[measure] += denominator
			b.expected[measure] += denominator * rate
		}
	}
	m.advance()
}

// advance counts a reading, and merges batches in pairs once all are full. So their number is bounded, and each is as
// long as a sixteenth to an eighth of the stage, over which the correlation from reading to reading has faded.
func (m *member) advance() {
	if m.partialReadings++; m.partialReadings < m.batchWidth {
		return
	}
	m.partialReadings = 0
	if m.fullBatches++; m.fullBatches < maxBatches {
		return
	}
	for i := range maxBatches / 2 {
		b := m.batches[2*i]
		for measure := range countedMeasures {
			b.numerator[measure] += m.batches[2*i+1].numerator[measure]
			b.denominator[measure] += m.batches[2*i+1].denominator[measure]
		}
		for measure := range measureUnits {
			b.expected[measure] += m.batches[2*i+1].expected[measure]
		}
		b.readings += m.batches[2*i+1].readings
		m.batches[i] = b
	}
	clear(m.batches[maxBatches/2:])
	m.fullBatches = maxBatches / 2
	m.batchWidth *= 2
}

// window returns the batches of the stage, or of its later half.
func (m *member) window(isLaterHalf bool) []batch {
	n := m.fullBatches
	if m.partialReadings > 0 && n < len(m.batches) {
		n++
	}
	if isLaterHalf {
		return m.batches[n/2 : n]
	}
	return m.batches[:n]
}

// sumBatches returns the sums of a measure's numerators and denominators.
func sumBatches(window []batch, measure int) (numerator, denominator float64) {
	for i := range window {
		numerator += window[i].numerator[measure]
		denominator += window[i].denominator[measure]
	}
	return numerator, denominator
}

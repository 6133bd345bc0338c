package canary

import (
	"math"
	"time"

	"lockflow/internal/instancestats"
)

// Limits of the data stored for a member, and of plausible readings.
const (
	maxBatches             = 16              // batches per member and stage; longer stages have wider batches, not more
	maxRequestsPerSecond   = 1e6             // requests per second of one instance
	maxUnitsPerRequest     = 1e3             // mean units per request
	maxCores               = 4096            // cores of an instance's machine
	maxWeight              = 1e15            // total priority weight or units of all requests of a process
	maxRequests            = 1 << 50         // requests of a process
	maxImplausibleReadings = 3               // implausible readings in a stage that exclude a member from it
	maxMembers             = 1 << 16         // observed members; readings of others are ignored
	maxReadingGap          = 5 * time.Minute // time between two readings whose difference is used
)

// batch holds a member's counts over some readings, relative to the fleet's rate at the same time. For shares, expected
// is the count at the fleet's rate, and numerator is the actual count minus expected. For relative measures, denominator
// is the expected count.
type batch struct {
	numerator   [countedMeasures]float64
	denominator [countedMeasures]float64
	expected    [measureUnits]float64
	readings    float64
}

// addMeasure adds a numerator and a denominator to the sums of a measure.
func (b *batch) addMeasure(measure int, numerator, denominator float64) {
	b.numerator[measure] += numerator
	b.denominator[measure] += denominator
}

// member is the state of one member of the fleet.
type member struct {
	side                Side
	isServing           bool
	hasLast             bool // last is a reading of the current process on the current side
	last                instancestats.Statistics
	lastAt              time.Duration // time of last
	first               instancestats.Statistics
	baseline            instancestats.Statistics // counts before the first stage; valid if hasBaseline
	hasBaseline         bool
	isChangedInStage    bool          // the member has changed sides in this stage
	isNewProcess        bool          // the member's process was started with the change
	warmAt              time.Duration // time from which the process's counts are used
	isCrashCounted      bool          // the crash that the member is recovering from has been counted
	implausibleReadings int

	// Absolute counts since the last change of any member within a stage.
	previousTotals batch // counts of the previous stage
	totals         batch // counts of this stage

	batches         [maxBatches + 1]batch
	fullBatches     int
	batchWidth      int // number of readings in a full batch
	partialReadings int // number of readings in the batch that is being filled
}

// reset drops the data of the previous stage.
func (m *member) reset() {
	m.batches = [maxBatches + 1]batch{}
	m.fullBatches = 0
	m.partialReadings = 0
	m.batchWidth = 1
	m.implausibleReadings = 0
	m.isChangedInStage = false
}

// changeSide moves the member to another side and drops its data of this stage.
func (m *member) changeSide(r *Reading) {
	m.isNewProcess = !r.Statistics.Began.Equal(m.last.Began)
	m.reset()
	m.side = r.Side
	m.hasLast = false
	m.isServing = r.IsServing
	m.isCrashCounted = false
	m.isChangedInStage = true
}

// isExcluded tells whether the member is excluded from this stage because too many of its readings were implausible.
func (m *member) isExcluded() bool { return m.implausibleReadings >= maxImplausibleReadings }

// setBaseline sets a member's counts before the first stage. It uses the observed counts if they have enough requests,
// and otherwise the statistics, which cover the lifetime of the member's process.
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

// startWarmUp stores the first reading of a process. The counts of the process are used from warmAt on.
func (m *member) startWarmUp(first *instancestats.Statistics, warmAt time.Duration) {
	m.first = *first
	m.warmAt = warmAt
}

// isPlausible tells whether a process can have counted the statistics in the given time. A duration of 0 stands for the
// lifetime of the process, which is unknown.
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

// areRatesPlausible tells whether one instance can have done so much work in the given time. A duration of 0 is unknown,
// and any amount of work is plausible.
func areRatesPlausible(statistics *instancestats.Statistics, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	return float64(statistics.Requests) <= maxRequestsPerSecond*duration.Seconds() &&
		statistics.CPU <= maxCores*duration &&
		statistics.Units <= maxUnitsPerRequest*maxRequestsPerSecond*duration.Seconds()
}

// areOutcomesPlausible tells whether no outcome is counted for more requests than there were. It tolerates a small
// excess, since the counters of one request are not updated at the same instant.
func areOutcomesPlausible(statistics *instancestats.Statistics) bool {
	limit := statistics.Requests + statistics.Requests/50 + 64
	for _, count := range [...]uint64{statistics.Failed, statistics.Rejected, statistics.Late, statistics.ClientsGone, statistics.Delays.Total()} {
		if count > limit {
			return false
		}
	}
	return statistics.OverQuota <= statistics.Rejected
}

// add adds the counts of a reading to the current batch. rates are the fleet's rates at the same time; NaN is unknown.
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

// advance counts a reading, and merges the batches in pairs when all are full. So the number of batches is bounded, and
// each covers a sixteenth to an eighth of the stage, which is long enough for the correlation between successive readings
// to fade.
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

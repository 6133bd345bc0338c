package canary

import (
	"math"
	"time"

	"lockflow/internal/instancestats"
)

// Bounds of what is believed and kept.
const (
	maxBatches             = 16              // of a member and stage; they grow in width, not in number
	maxRequestsPerSecond   = 1e6             // requests a second of one instance, beyond which it tells nonsense
	maxCores               = 4096            // of its machine
	maxImplausibleReadings = 3               // nonsense figures of a stage after which a member is left out of it
	maxMembers             = 1 << 16         // members; further ones are left out
	maxReadingGap          = 5 * time.Minute // varianceBetween readings, beyond which their difference is not one interval
)

// batch is a span of a member's time, set against the fleet at the same time: for shares y is what it counted
// less x, what it would have at the fleet's rate; for costs d is what it would have. n is readings.
type batch struct {
	numerator, denominator [countedMeasures]float64
	expected               [measureUnits]float64
	readings               float64
}

// member is what is known of one.
type member struct {
	side                Side
	isServing           bool
	hasLast             bool // last is of the process and side of now
	last                instancestats.Statistics
	lastAt              time.Duration // of last
	first               instancestats.Statistics
	baseline            instancestats.Statistics // what it did before the first stage
	hasBaseline         bool
	isChangedInStage    bool          // changed sides in this stage
	isNewProcess        bool          // a new process since it changed sides
	warmAt              time.Duration // countedMeasure when on it counts
	isCrashCounted      bool          // counted as a crash already
	implausibleReadings int

	previousTotals, totals batch // as counted, since the last change of the stage before, and of this one

	batches         [maxBatches + 1]batch
	fullBatches     int // batches that are full
	batchWidth      int // readings in a full batch
	partialReadings int // in the one that is not
}

// reset begins a stage.
func (m *member) reset() {
	m.batches, m.fullBatches, m.partialReadings, m.batchWidth, m.implausibleReadings, m.isChangedInStage = [maxBatches + 1]batch{}, 0, 0, 1, 0, false
}

// isPlausible tells whether figures can be what a process counted in a span; d is zero for figures since it began.
func isPlausible(statistics *instancestats.Statistics, duration time.Duration) bool {
	for _, v := range [...]float64{statistics.OfferedWeight, statistics.Served, statistics.Units} {
		if math.IsNaN(v) || v < 0 || v > 1e15 {
			return false
		}
	}
	if statistics.Served > statistics.OfferedWeight*1.01+1e3 || statistics.CPU < 0 || statistics.MemoryKB < 0 || statistics.Requests > 1<<50 {
		return false
	}
	if duration > 0 && (float64(statistics.Requests) > maxRequestsPerSecond*duration.Seconds() || statistics.CPU > maxCores*duration || statistics.Units > 1e3*maxRequestsPerSecond*duration.Seconds()) {
		return false
	}
	// Ends within a span need not have been counted in every place in the same moment.
	limit := statistics.Requests + statistics.Requests/50 + 64
	return statistics.Failed <= limit && statistics.Refused <= limit && statistics.Late <= limit && statistics.OverQuota <= statistics.Refused && statistics.ClientsGone <= limit && statistics.Delays.Total() <= limit &&
		statistics.Breaches <= 1<<50
}

// add counts a span. rate is the fleet's of each measure meanwhile, and NaN where it has none.
func (m *member) add(statistics *instancestats.Statistics, slowBucket int, rates *[countedMeasures]float64) {
	b := &m.batches[m.fullBatches]
	b.readings++
	for measure := range countedMeasures {
		numerator, denominator := measureRatio(measure, statistics, slowBucket)
		switch rate := rates[measure]; {
		case math.IsNaN(rate) || math.IsInf(rate, 0) || isRelative(measure) && rate <= 0: // nobody asked anything meanwhile
		case isRelative(measure):
			b.numerator[measure], b.denominator[measure] = b.numerator[measure]+numerator, b.denominator[measure]+denominator*rate
		default:
			b.numerator[measure], b.denominator[measure], b.expected[measure] = b.numerator[measure]+numerator-denominator*rate, b.denominator[measure]+denominator, b.expected[measure]+denominator*rate
		}
	}
	m.advance()
}

// advance ends a reading.
func (m *member) advance() {
	if m.partialReadings++; m.partialReadings < m.batchWidth {
		return
	}
	m.partialReadings = 0
	if m.fullBatches++; m.fullBatches < maxBatches {
		return
	}
	// All full: two become one, so that what is kept stays bounded and each is as long as a
	// sixteenth to an eighth of the stage, by which what is alike from one to the next has faded.
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
	m.fullBatches, m.batchWidth = maxBatches/2, 2*m.batchWidth
}

// window is the batches that a look takes: all, or the later half.
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

func sumBatches(window []batch, measure int) (numerator, denominator float64) {
	for i := range window {
		numerator += window[i].numerator[measure]
		denominator += window[i].denominator[measure]
	}
	return numerator, denominator
}

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
	maxReadingGap          = 5 * time.Minute // between readings, beyond which their difference is not one interval
)

// batch is a span of a member's time, set against the fleet at the same time: for shares y is what it counted
// less x, what it would have at the fleet's rate; for costs d is what it would have. n is readings.
type batch struct {
	y, d [countedMeasures]float64
	x    [measureUnits]float64
	n    float64
}

// member is what is known of one.
type member struct {
	side                Side
	isServing           bool
	hasLast             bool // last is of the process and side of now
	last                instancestats.Figures
	lastAt              time.Duration // of last
	first               instancestats.Figures
	baseline            instancestats.Figures // what it did before the first stage
	hasBaseline         bool
	isChangedInStage    bool          // changed sides in this stage
	isNewProcess        bool          // a new process since it changed sides
	warmAt              time.Duration // from when on it counts
	isCrashCounted      bool          // counted as a crash already
	implausibleReadings int

	prev, raw batch // as counted, since the last change of the stage before, and of this one

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
func isPlausible(f *instancestats.Figures, d time.Duration) bool {
	for _, v := range [...]float64{f.OfferedWeight, f.Served, f.Units} {
		if math.IsNaN(v) || v < 0 || v > 1e15 {
			return false
		}
	}
	if f.Served > f.OfferedWeight*1.01+1e3 || f.CPU < 0 || f.MemoryKB < 0 || f.Requests > 1<<50 {
		return false
	}
	if d > 0 && (float64(f.Requests) > maxRequestsPerSecond*d.Seconds() || f.CPU > maxCores*d || f.Units > 1e3*maxRequestsPerSecond*d.Seconds()) {
		return false
	}
	// Ends within a span need not have been counted in every place in the same moment.
	limit := f.Requests + f.Requests/50 + 64
	return f.Failed <= limit && f.Refused <= limit && f.Late <= limit && f.Beyond <= f.Refused && f.Left <= limit && f.Delays.Total() <= limit &&
		f.Breaches <= 1<<50
}

// add counts a span. rate is the fleet's of each measure meanwhile, and NaN where it has none.
func (m *member) add(f *instancestats.Figures, cut int, rate *[countedMeasures]float64) {
	b := &m.batches[m.fullBatches]
	b.n++
	for k := range countedMeasures {
		y, d := ratio(k, f, cut)
		switch r := rate[k]; {
		case math.IsNaN(r) || math.IsInf(r, 0) || relative(k) && r <= 0: // nobody asked anything meanwhile
		case relative(k):
			b.y[k], b.d[k] = b.y[k]+y, b.d[k]+d*r
		default:
			b.y[k], b.d[k], b.x[k] = b.y[k]+y-d*r, b.d[k]+d, b.x[k]+d*r
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
		for k := range countedMeasures {
			b.y[k] += m.batches[2*i+1].y[k]
			b.d[k] += m.batches[2*i+1].d[k]
		}
		for k := range measureUnits {
			b.x[k] += m.batches[2*i+1].x[k]
		}
		b.n += m.batches[2*i+1].n
		m.batches[i] = b
	}
	clear(m.batches[maxBatches/2:])
	m.fullBatches, m.batchWidth = maxBatches/2, 2*m.batchWidth
}

// window is the batches that a look takes: all, or the later half.
func (m *member) window(half bool) []batch {
	n := m.fullBatches
	if m.partialReadings > 0 && n < len(m.batches) {
		n++
	}
	if half {
		return m.batches[n/2 : n]
	}
	return m.batches[:n]
}

func sum(all []batch, k int) (y, d float64) {
	for i := range all {
		y += all[i].y[k]
		d += all[i].d[k]
	}
	return y, d
}

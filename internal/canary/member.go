package canary

import (
	"math"
	"time"

	"lockflow/internal/instancestats"
)

// Bounds of what is believed and kept.
const (
	batches    = 16              // of a member and stage; they grow in width, not in number
	fastest    = 1e6             // requests a second of one instance, beyond which it tells nonsense
	cores      = 4096            // of its machine
	strikes    = 3               // nonsense figures of a stage after which a member is left out of it
	mostMember = 1 << 16         // members; further ones are left out
	gap        = 5 * time.Minute // between readings, beyond which their difference is not one interval
)

// batch is a span of a member's time, set against the fleet at the same time: for shares y is what it counted
// less x, what it would have at the fleet's rate; for costs d is what it would have. n is readings.
type batch struct {
	y, d [counted]float64
	x    [units]float64
	n    float64
}

// member is what is known of one.
type member struct {
	side    Side
	up      bool
	has     bool // last is of the process and side of now
	last    instancestats.Figures
	at      time.Duration // of last
	first   instancestats.Figures
	base    instancestats.Figures // what it did before the first stage
	based   bool
	fresh   bool          // changed sides in this stage
	young   bool          // a new process since it changed sides
	warm    time.Duration // from when on it counts
	down    bool          // counted as a crash already
	strikes int

	prev, raw batch // as counted, since the last change of the stage before, and of this one

	now   [batches + 1]batch
	full  int // batches that are full
	width int // readings in a full batch
	part  int // in the one that is not
}

// reset begins a stage.
func (m *member) reset() {
	m.now, m.full, m.part, m.width, m.strikes, m.fresh = [batches + 1]batch{}, 0, 0, 1, 0, false
}

// sane tells whether figures can be what a process counted in a span; d is zero for figures since it began.
func sane(f *instancestats.Figures, d time.Duration) bool {
	for _, v := range [...]float64{f.OfferedWeight, f.Served, f.Units} {
		if math.IsNaN(v) || v < 0 || v > 1e15 {
			return false
		}
	}
	if f.Served > f.OfferedWeight*1.01+1e3 || f.CPU < 0 || f.MemoryKB < 0 || f.Requests > 1<<50 {
		return false
	}
	if d > 0 && (float64(f.Requests) > fastest*d.Seconds() || f.CPU > cores*d || f.Units > 1e3*fastest*d.Seconds()) {
		return false
	}
	// Ends within a span need not have been counted in every place in the same moment.
	most := f.Requests + f.Requests/50 + 64
	return f.Failed <= most && f.Refused <= most && f.Late <= most && f.Beyond <= f.Refused && f.Left <= most && f.Delays.Total() <= most &&
		f.Breaches <= 1<<50
}

// add counts a span. rate is the fleet's of each measure meanwhile, and NaN where it has none.
func (m *member) add(f *instancestats.Figures, cut int, rate *[counted]float64) {
	b := &m.now[m.full]
	b.n++
	for k := range counted {
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
	if m.part++; m.part < m.width {
		return
	}
	m.part = 0
	if m.full++; m.full < batches {
		return
	}
	// All full: two become one, so that what is kept stays bounded and each is as long as a
	// sixteenth to an eighth of the stage, by which what is alike from one to the next has faded.
	for i := range batches / 2 {
		b := m.now[2*i]
		for k := range counted {
			b.y[k] += m.now[2*i+1].y[k]
			b.d[k] += m.now[2*i+1].d[k]
		}
		for k := range units {
			b.x[k] += m.now[2*i+1].x[k]
		}
		b.n += m.now[2*i+1].n
		m.now[i] = b
	}
	clear(m.now[batches/2:])
	m.full, m.width = batches/2, 2*m.width
}

// window is the batches that a look takes: all, or the later half.
func (m *member) window(half bool) []batch {
	n := m.full
	if m.part > 0 && n < len(m.now) {
		n++
	}
	if half {
		return m.now[n/2 : n]
	}
	return m.now[:n]
}

func sum(all []batch, k int) (y, d float64) {
	for i := range all {
		y += all[i].y[k]
		d += all[i].d[k]
	}
	return y, d
}

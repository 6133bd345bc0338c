package canary

import (
	"time"

	"lockflow/internal/instancestats"
)

// Judge watches a rollout's stages. Its zero value isn't ready; NewJudge makes one.
type Judge struct {
	o       Options
	members map[string]*member
	order   []*member // as they were first seen, so that sums don't go by the map's order
	stage   int
	begin   time.Duration
	flip    time.Duration         // the last change of a member's side
	at      time.Duration         // of the last Observe
	looks   int                   // Observes of this stage
	cut     int                   // bucket of the 99th percentile; -1 is not known
	took    instancestats.Figures // of the old side, until the cut is known
	refused int                   // readings for which there was no room

	raw    [2]batch // of this stage as counted: the old side, the new one
	crash  events
	breach events
	others others

	spans []span // of one Observe, kept for reuse
}

type span struct {
	m *member
	f instancestats.Figures
}

// NewJudge makes a judge of one rollout.
func NewJudge(o Options) *Judge {
	o.fill()
	j := &Judge{o: o, members: make(map[string]*member), cut: -1}
	j.others.flipped()
	return j
}

// cutLeast is how many answers it takes to say where the slowest hundredth begins.
const cutLeast = 200

// bound sets what slow is, once enough of the old side's answers are known: a fleet that has just started has
// told none before the change, and is held to those beside it.
func (j *Judge) bound() {
	if j.took.Delays.Total() >= cutLeast {
		j.cut = instancestats.Bucket(j.took.Delays.Quantile(0.99)) - 1
	}
}

// known is a member's state, and nil where there is no room for it.
func (j *Judge) known(r *Reading) *member {
	m := j.members[r.Member]
	if m == nil {
		if len(j.members) >= mostMember {
			j.refused++
			return nil
		}
		m = &member{side: r.Side, up: r.Up}
		m.reset()
		j.members[r.Member], j.order = m, append(j.order, m)
	}
	return m
}

// Begin says that a stage begins. What was observed until then is what it did before; without any, before's
// figures since each process began are.
func (j *Judge) Begin(now time.Duration, before []Reading) {
	first := j.stage == 0
	for i := range before {
		m := j.known(&before[i])
		if m == nil || m.based || !first || !sane(&before[i].Figures, 0) {
			continue
		}
		m.based, m.base = true, before[i].Figures
		// Memory is a state; what else it has done lately says more than what it did since it began.
		if d, ok := m.last.Since(m.first); m.has && ok && d.Requests >= 100 {
			m.base = d
		}
	}
	if first {
		for _, m := range j.order {
			j.took.Add(instancestats.Figures{Delays: m.base.Delays})
		}
		j.bound()
	}
	j.others.begin(j, first)
	kept := j.order[:0]
	for _, m := range j.order {
		if first || m.at >= j.begin {
			kept = append(kept, m)
		}
	}
	clear(j.order[len(kept):])
	if j.order = kept; len(kept) < len(j.members) {
		for name, m := range j.members {
			if !first && m.at < j.begin {
				delete(j.members, name)
			}
		}
	}
	for _, m := range j.order {
		m.reset()
		m.prev, m.raw = m.raw, batch{}
	}
	j.stage, j.begin, j.flip, j.looks, j.raw = j.stage+1, now, now, 0, [2]batch{}
}

// Observe takes what every member tells, each interval, also before the first stage.
func (j *Judge) Observe(now time.Duration, all []Reading) {
	if now <= j.at && j.at > 0 {
		return
	}
	j.spans = j.spans[:0]
	flips := 0
	for i := range all {
		r := &all[i]
		m := j.known(r)
		if m == nil || m.at == now && m.has { // told twice
			continue
		}
		if r.Side != m.side {
			m.young = !r.Figures.Began.Equal(m.last.Began)
			m.reset()
			m.side, m.has, m.up, m.down, m.fresh = r.Side, false, r.Up, false, true
			flips++
		}
		j.read(now, m, r)
	}
	if flips > 0 {
		j.flip = now
		j.others.flipped()
		for _, m := range j.order {
			m.raw = batch{}
		}
	}
	j.at = now
	j.looks++
	if j.cut < 0 && j.stage > 0 {
		for i := range j.spans {
			if j.spans[i].m.side != New {
				j.took.Add(instancestats.Figures{Delays: j.spans[i].f.Delays})
			}
		}
		j.bound()
	}
	j.count(now)
}

// count adds what was read to the sides, to their members and to those not changed.
func (j *Judge) count(now time.Duration) {
	var fleet, bystand [counted]struct{ y, d float64 }
	refs := 0
	for i := range j.spans {
		if j.spans[i].m.side != New {
			refs++
		}
	}
	for i := range j.spans {
		s := &j.spans[i]
		side := 0
		if s.m.side == New {
			side = 1
		}
		for k := range counted {
			y, d := ratio(k, &s.f, j.cut)
			j.raw[side].y[k], j.raw[side].d[k] = j.raw[side].y[k]+y, j.raw[side].d[k]+d
			// What all share at a moment goes by the old ones where they are enough to say it.
			if side == 0 || refs < 8 {
				fleet[k].y, fleet[k].d = fleet[k].y+y, fleet[k].d+d
			}
			if s.m.raw.y[k], s.m.raw.d[k] = s.m.raw.y[k]+y, s.m.raw.d[k]+d; !s.m.fresh {
				bystand[k].y, bystand[k].d = bystand[k].y+y, bystand[k].d+d
			}
		}
	}
	var rate [counted]float64
	for k := range counted {
		rate[k] = fleet[k].y / fleet[k].d // NaN without any, which add knows
	}
	for i := range j.spans {
		if s := &j.spans[i]; j.stage > 0 {
			s.m.add(&s.f, j.cut, &rate)
		}
	}
	var b batch
	for k := range counted {
		b.y[k], b.d[k] = bystand[k].y, bystand[k].d
	}
	j.others.add(now-j.flip, j.o.Onset, &b)
}

// read takes one member's reading. What it counted since the last one goes to spans, where it can be believed.
func (j *Judge) read(now time.Duration, m *member, r *Reading) {
	new := m.side == New
	if !r.Up {
		if m.up && m.has && j.stage > 0 && !m.down {
			j.crash.count(new)
			m.down = true
		}
		m.up = false
		return
	}
	f := &r.Figures
	if !sane(f, 0) {
		m.strikes++
		return
	}
	switch d, ok := f.Since(m.last); {
	case !m.has:
		m.first, m.warm = *f, now+j.o.Warm
	case !f.Began.Equal(m.last.Began):
		if !m.down && j.stage > 0 {
			j.crash.count(new)
		}
		m.first, m.warm = *f, now+j.o.Warm
	case !ok || !sane(&d, now-m.at) || backwards(f, &m.last):
		// Of the same process and less than before: nothing of it is believed, nor what it is set against.
		m.strikes++
	case now-m.at <= gap:
		j.crash.expose(new, now-m.at)
		j.breach.expose(new, now-m.at)
		if (d.Breaches > 0 || d.Panics > 0) && j.stage > 0 {
			j.breach.count(new)
		}
		if now > m.warm || j.stage == 0 {
			j.spans = append(j.spans, span{m, d})
		}
	}
	m.last, m.at, m.has, m.up, m.down = *f, now, true, true, false
}

// backwards tells whether any count has become less; Since looks at some.
func backwards(f, old *instancestats.Figures) bool {
	for i := range f.Delays {
		if f.Delays[i] < old.Delays[i] {
			return true
		}
	}
	return f.OfferedWeight < old.OfferedWeight || f.Served < old.Served || f.Refused < old.Refused || f.Beyond < old.Beyond || f.Failed < old.Failed ||
		f.Late < old.Late || f.Left < old.Left || f.Units < old.Units || f.Breaches < old.Breaches || f.Panics < old.Panics
}

package canary

import (
	"time"

	"lockflow/internal/instancestats"
)

// Judge watches a rollout's stages. Its zero value isn't ready; NewJudge makes one.
type Judge struct {
	options          Options
	members          map[string]*member
	order            []*member // as they were first seen, so that sums don't go by the map's order
	stage            int
	stageStartedAt   time.Duration
	lastChangeAt     time.Duration         // the last change of a member's side
	observedAt       time.Duration         // of the last Observe
	observations     int                   // Observes of this stage
	slowBucket       int                   // bucket of the 99th percentile; -1 is not known
	oldStatistics    instancestats.Figures // of the old side, until the cut is known
	rejectedReadings int                   // readings for which there was no room

	sideTotals [2]batch // of this stage as counted: the old side, the new one
	crashes    events
	breaches   events
	unchanged  unchangedMembers

	spans []interval // of one Observe, kept for reuse
}

type interval struct {
	member     *member
	statistics instancestats.Figures
}

// NewJudge makes a judge of one rollout.
func NewJudge(o Options) *Judge {
	o.setDefaults()
	j := &Judge{options: o, members: make(map[string]*member), slowBucket: -1}
	j.unchanged.restart()
	return j
}

// minSlowSamples is how many answers it takes to say where the slowest hundredth begins.
const minSlowSamples = 200

// setSlowBucket sets what slow is, once enough of the old side's answers are known: a fleet that has just started has
// told none before the change, and is held to those beside it.
func (j *Judge) setSlowBucket() {
	if j.oldStatistics.Delays.Total() >= minSlowSamples {
		j.slowBucket = instancestats.Bucket(j.oldStatistics.Delays.Quantile(0.99)) - 1
	}
}

// memberOf is a member's state, and nil where there is no room for it.
func (j *Judge) memberOf(r *Reading) *member {
	m := j.members[r.Member]
	if m == nil {
		if len(j.members) >= maxMembers {
			j.rejectedReadings++
			return nil
		}
		m = &member{side: r.Side, isServing: r.IsServing}
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
		m := j.memberOf(&before[i])
		if m == nil || m.hasBaseline || !first || !isPlausible(&before[i].Statistics, 0) {
			continue
		}
		m.hasBaseline, m.baseline = true, before[i].Statistics
		// Memory is a state; what else it has done lately says more than what it did since it began.
		if d, ok := m.last.Since(m.first); m.hasLast && ok && d.Requests >= 100 {
			m.baseline = d
		}
	}
	if first {
		for _, m := range j.order {
			j.oldStatistics.Add(instancestats.Figures{Delays: m.baseline.Delays})
		}
		j.setSlowBucket()
	}
	j.unchanged.begin(j, first)
	remaining := j.order[:0]
	for _, m := range j.order {
		if first || m.lastAt >= j.stageStartedAt {
			remaining = append(remaining, m)
		}
	}
	clear(j.order[len(remaining):])
	if j.order = remaining; len(remaining) < len(j.members) {
		for name, m := range j.members {
			if !first && m.lastAt < j.stageStartedAt {
				delete(j.members, name)
			}
		}
	}
	for _, m := range j.order {
		m.reset()
		m.prev, m.raw = m.raw, batch{}
	}
	j.stage, j.stageStartedAt, j.lastChangeAt, j.observations, j.sideTotals = j.stage+1, now, now, 0, [2]batch{}
}

// Observe takes what every member tells, each interval, also before the first stage.
func (j *Judge) Observe(now time.Duration, all []Reading) {
	if now <= j.observedAt && j.observedAt > 0 {
		return
	}
	j.spans = j.spans[:0]
	flips := 0
	for i := range all {
		r := &all[i]
		m := j.memberOf(r)
		if m == nil || m.lastAt == now && m.hasLast { // told twice
			continue
		}
		if r.Side != m.side {
			m.isNewProcess = !r.Statistics.Began.Equal(m.last.Began)
			m.reset()
			m.side, m.hasLast, m.isServing, m.isCrashCounted, m.isChangedInStage = r.Side, false, r.IsServing, false, true
			flips++
		}
		j.read(now, m, r)
	}
	if flips > 0 {
		j.lastChangeAt = now
		j.unchanged.restart()
		for _, m := range j.order {
			m.raw = batch{}
		}
	}
	j.observedAt = now
	j.observations++
	if j.slowBucket < 0 && j.stage > 0 {
		for i := range j.spans {
			if j.spans[i].member.side != SideNew {
				j.oldStatistics.Add(instancestats.Figures{Delays: j.spans[i].statistics.Delays})
			}
		}
		j.setSlowBucket()
	}
	j.count(now)
}

// count adds what was read to the sides, to their members and to those not changed.
func (j *Judge) count(now time.Duration) {
	var fleet, bystand [countedMeasures]struct{ y, d float64 }
	refs := 0
	for i := range j.spans {
		if j.spans[i].member.side != SideNew {
			refs++
		}
	}
	for i := range j.spans {
		s := &j.spans[i]
		side := 0
		if s.member.side == SideNew {
			side = 1
		}
		for k := range countedMeasures {
			y, d := ratio(k, &s.statistics, j.slowBucket)
			j.sideTotals[side].y[k], j.sideTotals[side].d[k] = j.sideTotals[side].y[k]+y, j.sideTotals[side].d[k]+d
			// What all share at a moment goes by the old ones where they are enough to say it.
			if side == 0 || refs < 8 {
				fleet[k].y, fleet[k].d = fleet[k].y+y, fleet[k].d+d
			}
			if s.member.raw.y[k], s.member.raw.d[k] = s.member.raw.y[k]+y, s.member.raw.d[k]+d; !s.member.isChangedInStage {
				bystand[k].y, bystand[k].d = bystand[k].y+y, bystand[k].d+d
			}
		}
	}
	var rate [countedMeasures]float64
	for k := range countedMeasures {
		rate[k] = fleet[k].y / fleet[k].d // NaN without any, which add knows
	}
	for i := range j.spans {
		if s := &j.spans[i]; j.stage > 0 {
			s.member.add(&s.statistics, j.slowBucket, &rate)
		}
	}
	var b batch
	for k := range countedMeasures {
		b.y[k], b.d[k] = bystand[k].y, bystand[k].d
	}
	j.unchanged.add(now-j.lastChangeAt, j.options.Onset, &b)
}

// read takes one member's reading. What it counted since the last one goes to spans, where it can be believed.
func (j *Judge) read(now time.Duration, m *member, r *Reading) {
	new := m.side == SideNew
	if !r.IsServing {
		if m.isServing && m.hasLast && j.stage > 0 && !m.isCrashCounted {
			j.crashes.count(new)
			m.isCrashCounted = true
		}
		m.isServing = false
		return
	}
	f := &r.Statistics
	if !isPlausible(f, 0) {
		m.implausibleReadings++
		return
	}
	switch d, ok := f.Since(m.last); {
	case !m.hasLast:
		m.first, m.warmAt = *f, now+j.options.WarmUp
	case !f.Began.Equal(m.last.Began):
		if !m.isCrashCounted && j.stage > 0 {
			j.crashes.count(new)
		}
		m.first, m.warmAt = *f, now+j.options.WarmUp
	case !ok || !isPlausible(&d, now-m.lastAt) || hasDecreased(f, &m.last):
		// Of the same process and less than before: nothing of it is believed, nor what it is set against.
		m.implausibleReadings++
	case now-m.lastAt <= maxReadingGap:
		j.crashes.expose(new, now-m.lastAt)
		j.breaches.expose(new, now-m.lastAt)
		if (d.Breaches > 0 || d.Panics > 0) && j.stage > 0 {
			j.breaches.count(new)
		}
		if now > m.warmAt || j.stage == 0 {
			j.spans = append(j.spans, interval{m, d})
		}
	}
	m.last, m.lastAt, m.hasLast, m.isServing, m.isCrashCounted = *f, now, true, true, false
}

// hasDecreased tells whether any count has become less; Since looks at some.
func hasDecreased(f, old *instancestats.Figures) bool {
	for i := range f.Delays {
		if f.Delays[i] < old.Delays[i] {
			return true
		}
	}
	return f.OfferedWeight < old.OfferedWeight || f.Served < old.Served || f.Refused < old.Refused || f.Beyond < old.Beyond || f.Failed < old.Failed ||
		f.Late < old.Late || f.Left < old.Left || f.Units < old.Units || f.Breaches < old.Breaches || f.Panics < old.Panics
}

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
	lastChangeAt     time.Duration            // the last change of a member's side
	observedAt       time.Duration            // of the last Observe
	observations     int                      // Observes of this stage
	slowBucket       int                      // bucket of the 99th percentile; -1 is not known
	oldStatistics    instancestats.Statistics // of the old side, until the cut is known
	rejectedReadings int                      // readings for which there was no room

	sideTotals [2]batch // of this stage as counted: the old side, the new one
	crashes    rareEvents
	breaches   rareEvents
	unchanged  unchangedMembers

	intervals []countedInterval // of one Observe, kept for reuse
}

type countedInterval struct {
	member     *member
	statistics instancestats.Statistics
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
			j.oldStatistics.Add(instancestats.Statistics{Delays: m.baseline.Delays})
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
		m.previousTotals, m.totals = m.totals, batch{}
	}
	j.stage, j.stageStartedAt, j.lastChangeAt, j.observations, j.sideTotals = j.stage+1, now, now, 0, [2]batch{}
}

// Observe takes what every member tells, each interval, also before the first stage.
func (j *Judge) Observe(now time.Duration, all []Reading) {
	if now <= j.observedAt && j.observedAt > 0 {
		return
	}
	j.intervals = j.intervals[:0]
	changes := 0
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
			changes++
		}
		j.observeMember(now, m, r)
	}
	if changes > 0 {
		j.lastChangeAt = now
		j.unchanged.restart()
		for _, m := range j.order {
			m.totals = batch{}
		}
	}
	j.observedAt = now
	j.observations++
	if j.slowBucket < 0 && j.stage > 0 {
		for i := range j.intervals {
			if j.intervals[i].member.side != SideNew {
				j.oldStatistics.Add(instancestats.Statistics{Delays: j.intervals[i].statistics.Delays})
			}
		}
		j.setSlowBucket()
	}
	j.countIntervals(now)
}

// countIntervals adds what was read to the sides, to their members and to those not changed.
func (j *Judge) countIntervals(now time.Duration) {
	var fleet, unchanged [countedMeasures]struct{ y, d float64 }
	references := 0
	for i := range j.intervals {
		if j.intervals[i].member.side != SideNew {
			references++
		}
	}
	for i := range j.intervals {
		span := &j.intervals[i]
		side := 0
		if span.member.side == SideNew {
			side = 1
		}
		for measure := range countedMeasures {
			numerator, denominator := measureRatio(measure, &span.statistics, j.slowBucket)
			j.sideTotals[side].numerator[measure], j.sideTotals[side].denominator[measure] = j.sideTotals[side].numerator[measure]+numerator, j.sideTotals[side].denominator[measure]+denominator
			// What all share at a moment goes by the old ones where they are enough to say it.
			if side == 0 || references < 8 {
				fleet[measure].y, fleet[measure].d = fleet[measure].y+numerator, fleet[measure].d+denominator
			}
			if span.member.totals.numerator[measure], span.member.totals.denominator[measure] = span.member.totals.numerator[measure]+numerator, span.member.totals.denominator[measure]+denominator; !span.member.isChangedInStage {
				unchanged[measure].y, unchanged[measure].d = unchanged[measure].y+numerator, unchanged[measure].d+denominator
			}
		}
	}
	var rates [countedMeasures]float64
	for measure := range countedMeasures {
		rates[measure] = fleet[measure].y / fleet[measure].d // NaN without any, which add knows
	}
	for i := range j.intervals {
		if span := &j.intervals[i]; j.stage > 0 {
			span.member.add(&span.statistics, j.slowBucket, &rates)
		}
	}
	var total batch
	for measure := range countedMeasures {
		total.numerator[measure], total.denominator[measure] = unchanged[measure].y, unchanged[measure].d
	}
	j.unchanged.add(now-j.lastChangeAt, j.options.Onset, &total)
}

// observeMember takes one member's reading. What it counted since the last one goes to spans, where it can be believed.
func (j *Judge) observeMember(now time.Duration, m *member, r *Reading) {
	isNew := m.side == SideNew
	if !r.IsServing {
		if m.isServing && m.hasLast && j.stage > 0 && !m.isCrashCounted {
			j.crashes.add(isNew)
			m.isCrashCounted = true
		}
		m.isServing = false
		return
	}
	statistics := &r.Statistics
	if !isPlausible(statistics, 0) {
		m.implausibleReadings++
		return
	}
	switch difference, ok := statistics.Since(m.last); {
	case !m.hasLast:
		m.first, m.warmAt = *statistics, now+j.options.WarmUp
	case !statistics.Began.Equal(m.last.Began):
		if !m.isCrashCounted && j.stage > 0 {
			j.crashes.add(isNew)
		}
		m.first, m.warmAt = *statistics, now+j.options.WarmUp
	case !ok || !isPlausible(&difference, now-m.lastAt) || hasDecreased(statistics, &m.last):
		// Of the same process and less than before: nothing of it is believed, nor what it is set against.
		m.implausibleReadings++
	case now-m.lastAt <= maxReadingGap:
		j.crashes.addExposure(isNew, now-m.lastAt)
		j.breaches.addExposure(isNew, now-m.lastAt)
		if (difference.Breaches > 0 || difference.Panics > 0) && j.stage > 0 {
			j.breaches.add(isNew)
		}
		if now > m.warmAt || j.stage == 0 {
			j.intervals = append(j.intervals, countedInterval{m, difference})
		}
	}
	m.last, m.lastAt, m.hasLast, m.isServing, m.isCrashCounted = *statistics, now, true, true, false
}

// hasDecreased tells whether any count has become less; Since looks at some.
func hasDecreased(current, earlier *instancestats.Statistics) bool {
	for i := range current.Delays {
		if current.Delays[i] < earlier.Delays[i] {
			return true
		}
	}
	return current.OfferedWeight < earlier.OfferedWeight || current.Served < earlier.Served || current.Refused < earlier.Refused || current.OverQuota < earlier.OverQuota || current.Failed < earlier.Failed ||
		current.Late < earlier.Late || current.ClientsGone < earlier.ClientsGone || current.Units < earlier.Units || current.Breaches < earlier.Breaches || current.Panics < earlier.Panics
}

package canary

import (
	"maps"
	"time"

	"lockflow/internal/instancestats"
)

// Judge watches a rollout's stages. NewJudge makes one. It is for one goroutine.
type Judge struct {
	options          Options
	members          map[string]*member
	order            []*member // by first reading, so that sums do not depend on the map's order
	stage            int       // 0 is before the first
	stageStartedAt   time.Duration
	lastChangeAt     time.Duration            // last change of a member's side
	observedAt       time.Duration            // last observation
	observations     int                      // of this stage
	slowBucket       int                      // delay bucket of the old side's 99th percentile; -1 is unknown
	oldStatistics    instancestats.Statistics // of the old side, until slowBucket is known
	rejectedReadings int                      // of members beyond maxMembers

	sideTotals [sideCount]batch // absolute counts of this stage
	crashes    rareEvents
	breaches   rareEvents
	unchanged  unchangedMembers

	intervals []countedInterval // of one observation; reused
}

// countedInterval is what a member counted between two readings.
type countedInterval struct {
	member     *member
	statistics instancestats.Statistics
}

// NewJudge returns a judge of one rollout.
func NewJudge(o Options) *Judge {
	o.setDefaults()
	j := &Judge{options: o, members: make(map[string]*member), slowBucket: -1}
	j.unchanged.restart()
	return j
}

const (
	minSlowSamples      = 200 // answers that it takes to estimate the 99th percentile
	minBaselineRequests = 100 // requests of a member from which on observed counts are its baseline
	minFleetReferences  = 8   // unchanged members from which on they alone give the fleet's rate
)

// setSlowBucket sets the 99th percentile of delays once the old side has enough answers. A fleet that has just started
// has none before the change; then the percentile is that of the members not changed.
func (j *Judge) setSlowBucket() {
	if j.oldStatistics.Delays.Total() >= minSlowSamples {
		j.slowBucket = instancestats.Bucket(j.oldStatistics.Delays.Quantile(0.99)) - 1
	}
}

// findOrAddMember returns a reading's member, and nil if there are maxMembers others.
func (j *Judge) findOrAddMember(r *Reading) *member {
	m := j.members[r.Member]
	if m == nil {
		if len(j.members) >= maxMembers {
			j.rejectedReadings++
			return nil
		}
		m = &member{side: r.Side, isServing: r.IsServing}
		m.reset()
		j.members[r.Member] = m
		j.order = append(j.order, m)
	}
	return m
}

// Begin starts a stage. Members' baselines are what was observed before the first one, or, of members that were not
// observed, the counts since their process began.
func (j *Judge) Begin(now time.Duration, before []Reading) {
	isFirst := j.stage == 0
	for i := range before {
		m := j.findOrAddMember(&before[i])
		if m != nil && isFirst {
			m.setBaseline(&before[i].Statistics)
		}
	}
	if isFirst {
		for _, m := range j.order {
			j.oldStatistics.Add(instancestats.Statistics{Delays: m.baseline.Delays})
		}
		j.setSlowBucket()
	}
	j.unchanged.begin(j, isFirst)
	if !isFirst {
		j.forgetSilentMembers()
	}
	for _, m := range j.order {
		m.reset()
		m.previousTotals = m.totals
		m.totals = batch{}
	}
	j.stage++
	j.stageStartedAt = now
	j.lastChangeAt = now
	j.observations = 0
	j.sideTotals = [sideCount]batch{}
}

// forgetSilentMembers removes members that were not read in the stage that ends.
func (j *Judge) forgetSilentMembers() {
	remaining := j.order[:0]
	for _, m := range j.order {
		if m.lastAt >= j.stageStartedAt {
			remaining = append(remaining, m)
		}
	}
	clear(j.order[len(remaining):])
	j.order = remaining
	maps.DeleteFunc(j.members, func(_ string, m *member) bool { return m.lastAt < j.stageStartedAt })
}

// Observe takes a reading of every member. It is called at each interval, also before the first stage.
func (j *Judge) Observe(now time.Duration, all []Reading) {
	if now <= j.observedAt && j.observedAt > 0 {
		return
	}
	j.intervals = j.intervals[:0]
	changes := 0
	for i := range all {
		r := &all[i]
		m := j.findOrAddMember(r)
		if m == nil || m.lastAt == now && m.hasLast { // a duplicate
			continue
		}
		if r.Side != m.side {
			m.changeSide(r)
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

// countIntervals adds the intervals of one observation to the sides, to their members and to the unchanged members.
func (j *Judge) countIntervals(now time.Duration) {
	var fleet, unchanged batch
	references := 0
	for i := range j.intervals {
		if j.intervals[i].member.side != SideNew {
			references++
		}
	}
	for i := range j.intervals {
		counted := &j.intervals[i]
		side := sideIndex(counted.member.side == SideNew)
		for measure := range countedMeasures {
			numerator, denominator := measureRatio(measure, &counted.statistics, j.slowBucket)
			j.sideTotals[side].addMeasure(measure, numerator, denominator)
			// The rate that the fleet has in common at a moment is that of unchanged members, if they are enough.
			if side == sideIndexOld || references < minFleetReferences {
				fleet.addMeasure(measure, numerator, denominator)
			}
			counted.member.totals.addMeasure(measure, numerator, denominator)
			if !counted.member.isChangedInStage {
				unchanged.addMeasure(measure, numerator, denominator)
			}
		}
	}
	var rates [countedMeasures]float64
	for measure := range countedMeasures {
		rates[measure] = fleet.numerator[measure] / fleet.denominator[measure] // NaN without any, which member.add ignores
	}
	if j.stage > 0 {
		for i := range j.intervals {
			counted := &j.intervals[i]
			counted.member.add(&counted.statistics, j.slowBucket, &rates)
		}
	}
	j.unchanged.add(now-j.lastChangeAt, j.options.Onset, &unchanged)
}

// observeMember takes one member's reading. What it counted since the last reading is added to intervals if plausible.
func (j *Judge) observeMember(now time.Duration, m *member, r *Reading) {
	isNew := m.side == SideNew
	if !r.IsServing {
		wasServing := m.isServing && m.hasLast
		if wasServing && j.stage > 0 && !m.isCrashCounted {
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
		m.startWarmUp(statistics, now+j.options.WarmUp)
	case !statistics.Began.Equal(m.last.Began):
		if !m.isCrashCounted && j.stage > 0 {
			j.crashes.add(isNew)
		}
		m.startWarmUp(statistics, now+j.options.WarmUp)
	case !ok || !isPlausible(&difference, now-m.lastAt) || hasDecreased(statistics, &m.last):
		// The counts of one process only grow: neither this reading nor the difference to the next one is plausible.
		m.implausibleReadings++
	case now-m.lastAt <= maxReadingGap:
		j.countDifference(now, m, &difference)
	}
	m.last = *statistics
	m.lastAt = now
	m.hasLast = true
	m.isServing = true
	m.isCrashCounted = false
}

// countDifference counts what a member counted since its last reading.
func (j *Judge) countDifference(now time.Duration, m *member, difference *instancestats.Statistics) {
	isNew := m.side == SideNew
	j.crashes.addExposure(isNew, now-m.lastAt)
	j.breaches.addExposure(isNew, now-m.lastAt)
	if (difference.Breaches > 0 || difference.Panics > 0) && j.stage > 0 {
		j.breaches.add(isNew)
	}
	if now > m.warmAt || j.stage == 0 {
		j.intervals = append(j.intervals, countedInterval{m, *difference})
	}
}

// hasDecreased tells whether any count is less than earlier.
func hasDecreased(current, earlier *instancestats.Statistics) bool {
	for i := range current.Delays {
		if current.Delays[i] < earlier.Delays[i] {
			return true
		}
	}
	return current.OfferedWeight < earlier.OfferedWeight ||
		current.Served < earlier.Served ||
		current.Rejected < earlier.Rejected ||
		current.OverQuota < earlier.OverQuota ||
		current.Failed < earlier.Failed ||
		current.Late < earlier.Late ||
		current.ClientsGone < earlier.ClientsGone ||
		current.Units < earlier.Units ||
		current.Breaches < earlier.Breaches ||
		current.Panics < earlier.Panics
}

package canary

import (
	"maps"
	"time"

	"lockflow/internal/instancestats"
)

// Judge compares the members of a fleet during the stages of a rollout. Use NewJudge to create one. A Judge is not safe
// for concurrent use.
type Judge struct {
	options          Options
	members          map[string]*member
	order            []*member // members in the order of their first readings, so that sums do not depend on the map's order
	stage            int       // number of the stage; 0 before the first one
	stageStartedAt   time.Duration
	lastChangeAt     time.Duration            // time of the last change of a member's side
	observedAt       time.Duration            // time of the last observation
	observations     int                      // number of observations in this stage
	slowBucket       int                      // delay bucket that holds the old side's 99th percentile; -1 if unknown
	oldStatistics    instancestats.Statistics // delays of the old side, collected until slowBucket is known
	rejectedReadings int                      // number of readings of members in excess of maxMembers

	sideTotals [sideCount]batch // absolute counts of this stage, by side
	crashes    rareEvents
	breaches   rareEvents
	unchanged  unchangedMembers

	intervals []countedInterval // intervals of one observation; the slice is reused
}

// countedInterval holds what a member counted between two readings.
type countedInterval struct {
	member     *member
	statistics instancestats.Statistics
}

// NewJudge returns a judge for one rollout.
func NewJudge(o Options) *Judge {
	o.setDefaults()
	j := &Judge{options: o, members: make(map[string]*member), slowBucket: -1}
	j.unchanged.restart()
	return j
}

const (
	minSlowSamples      = 200 // minimum number of answers for estimating the 99th percentile of delays
	minBaselineRequests = 100 // minimum number of requests of a member for using its observed counts as its baseline
	minFleetReferences  = 8   // minimum number of unchanged members for deriving the fleet's rate from them alone
)

// setSlowBucket derives slowBucket from the 99th percentile of delays if the old side has enough answers. A fleet that
// has just started has too few before the change; then the answers of the unchanged members during it are used.
func (j *Judge) setSlowBucket() {
	if j.oldStatistics.Delays.Total() >= minSlowSamples {
		j.slowBucket = instancestats.Bucket(j.oldStatistics.Delays.Quantile(0.99)) - 1
	}
}

// findOrAddMember returns the member of a reading, and adds it if necessary. It returns nil if there are already
// maxMembers others.
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

// Begin starts a stage. At the first stage it sets the members' baselines: a member's observed counts if there are
// enough, or else the counts since its process began.
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

// forgetSilentMembers removes the members that had no reading in the stage that ends.
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

// Observe processes a reading of every member. It is called at regular intervals, also before the first stage.
func (j *Judge) Observe(now time.Duration, all []Reading) {
	if now <= j.observedAt && j.observedAt > 0 {
		return
	}
	j.intervals = j.intervals[:0]
	changes := 0
	for i := range all {
		r := &all[i]
		m := j.findOrAddMember(r)
		if m == nil || m.lastAt == now && m.hasLast { // a duplicate reading
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

// countIntervals adds the intervals of one observation to the totals of the sides, of the members and of the unchanged
// members.
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
			// The fleet's current rate is derived from the unchanged members if there are enough of them.
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
		rates[measure] = fleet.numerator[measure] / fleet.denominator[measure] // NaN if the fleet has no counts; member.add ignores it
	}
	if j.stage > 0 {
		for i := range j.intervals {
			counted := &j.intervals[i]
			counted.member.add(&counted.statistics, j.slowBucket, &rates)
		}
	}
	j.unchanged.add(now-j.lastChangeAt, j.options.Onset, &unchanged)
}

// observeMember processes one member's reading. It adds the counts since the last reading to intervals if they are
// plausible.
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
		// The counts of one process never decrease, so neither this reading nor its difference to the next one is plausible.
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

// countDifference processes what a member counted since its last reading.
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

// hasDecreased tells whether any count is lower than in an earlier reading.
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

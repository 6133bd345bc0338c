package canary

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Verdict is what the stage has come to by now. It may be asked as often as one likes.
func (j *Judge) Verdict(now time.Duration) Verdict {
	var v Verdict
	var worse, thin, lately []string
	var passes *Measure
	for k := range measureCount {
		m, h := j.compareWindows(k)
		if k == measureUnits {
			passes = &m
		}
		if m.IsWorse {
			worse = append(worse, describe(&m))
		}
		switch {
		case !j.isMeasured(k): // neither side has any of it
			m.IsEnough = true
		case !m.IsEnough:
			thin = append(thin, fmt.Sprintf("%s: up to %.3g, margin %.3g", m.Name, m.High, m.Margin))
		case m.Members > 0 && h.diff >= m.Margin:
			m.IsEnough = false
			lately = append(lately, fmt.Sprintf("%s lately: %.3g, margin %.3g", m.Name, h.diff, m.Margin))
		}
		v.Measures = append(v.Measures, m)
	}
	crash, breach, shown := j.compareRareEvents()
	worse = append(worse, shown...)
	k, again, harmed := j.harmToUnchanged()
	whose := ""
	if harmed {
		whose = fmt.Sprintf("those not changed have become worse with the stage (%s)", measureNames[k])
		switch {
		case passes.Low > 0:
			worse = append(worse, whose+", and the changed ones take more than their part")
		case again:
			worse = append(worse, whose+", as they did with an earlier one")
		}
	}
	since := now - j.lastChangeAt
	switch {
	case len(worse) > 0:
		v.Kind, v.Reason = KindWorse, strings.Join(worse, "; ")
	case since < j.options.MinBake:
		v.Kind, v.Reason = KindWait, fmt.Sprintf("watched for %v of %v", since.Round(time.Second), j.options.MinBake)
	case harmed:
		v.Kind, v.Reason = j.end(since), whose+"; nothing tells the change from the world"
	case crash >= 150 || breach >= 150:
		v.Kind, v.Reason = j.end(since), fmt.Sprintf("%d crashes and %d breaches of the new side are too many to go on and too few to blame it", j.crashes.n[1], j.breaches.n[1])
	case !j.hasOld():
		if v.Kind, v.Reason = KindPass, "all are changed, and the fleet is as it was before the stage"; !j.areChangedMembersLive(now) {
			v.Kind, v.Reason = j.end(since), "too few members tell anything"
		}
	case len(thin) > 0:
		v.Kind, v.Reason = j.end(since), "too little evidence: "+strings.Join(thin, "; ")
	case len(lately) > 0:
		v.Kind, v.Reason = j.end(since), strings.Join(lately, "; ")
	case !j.areChangedMembersLive(now):
		v.Kind, v.Reason = j.end(since), "too few of the changed members tell anything"
	default:
		v.Kind, v.Reason = KindPass, "no harm beyond the margins"
	}
	return v
}

// compareRareEvents holds crashes and breaches of both sides against each other, as likelihood ratios, and gives what is shown.
func (j *Judge) compareRareEvents() (crash, breach float64, worse []string) {
	// Crashes are rare: one side has had none as a rule. What the world does hits both sides, and then the
	// relative one is small.
	crash, breach = j.crashes.absolute(j.options.MinCrashInterval), j.breaches.relative()
	if j.crashes.relative() < 3 {
		crash = 0
	}
	if limit := 1 / (0.15 * j.options.MaxFalseAlarms); crash >= limit {
		worse = append(worse, fmt.Sprintf("crashes: %d in %v of the new, %d in %v of the old", j.crashes.n[1], j.crashes.time[1].Round(time.Second),
			j.crashes.n[0], j.crashes.time[0].Round(time.Second)))
	}
	if limit := 1 / (0.05 * j.options.MaxFalseAlarms); breach >= limit {
		worse = append(worse, fmt.Sprintf("breaches: in %d intervals of the new, %d of the old", j.breaches.n[1], j.breaches.n[0]))
	}
	return crash, breach, worse
}

// compareWindows compares a measure over the stage, mended by what its later half shows, and over that half.
func (j *Judge) compareWindows(k int) (m, half Measure) {
	m = j.compare(k, false)
	half = m
	if k != measureGrowth { // a line through few points says nothing
		half = j.compare(k, true)
	}
	// A fault of the world that is over does not keep a stage from passing by what came after it.
	if half.IsEnough && !m.IsEnough && half.High < m.High {
		m.IsEnough, m.High = true, half.High
	}
	if half.IsWorse && !m.IsWorse {
		m.IsWorse, m.Low = true, half.Low
	}
	return m, half
}

// hasOld tells whether a member that tells something of itself is not changed.
func (j *Judge) hasOld() bool {
	return slices.ContainsFunc(j.order, func(m *member) bool { return m.hasLast && m.side != SideNew })
}

// end is Wait until a stage may be watched no longer.
func (j *Judge) end(since time.Duration) VerdictKind {
	if since >= j.options.MaxBake {
		return KindNoEvidence
	}
	return KindWait
}

// isMeasured tells whether any side has anything of a measure that can be compared.
func (j *Judge) isMeasured(k int) bool {
	from := min(k, measureMemory)
	if k == measureGrowth && !j.canCompareGrowth() {
		return false
	}
	if relative(k) {
		return j.sideTotals[0].y[from]+j.sideTotals[1].y[from] > 0
	}
	return true
}

// areChangedMembersLive tells whether nine in ten of the changed members are up, told of themselves lately and can be believed.
func (j *Judge) areChangedMembersLive(now time.Duration) bool {
	n, fine := 0, 0
	for _, m := range j.order {
		if m.side == SideNew {
			n++
			if m.isServing && m.hasLast && m.implausibleReadings < maxImplausibleReadings && now-m.lastAt <= 2*j.options.WarmUp {
				fine++
			}
		}
	}
	return n > 0 && 10*fine >= 9*n
}

func describe(m *Measure) string {
	return fmt.Sprintf("%s: %.3g of the new, %.3g of the old, at least %.3g more", m.Name, m.New, m.Old, m.Low)
}

package canary

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Verdict is what the stage has come to by now. It may be asked as often as one likes.
func (j *Judge) Verdict(now time.Duration) Verdict {
	var verdict Verdict
	var worse, unclear, recent []string
	var units *Measure
	for measure := range measureCount {
		result, laterHalf := j.compareWindows(measure)
		if measure == measureUnits {
			units = &result
		}
		if result.IsWorse {
			worse = append(worse, describe(&result))
		}
		switch {
		case !j.isMeasured(measure): // neither side has any of it
			result.IsEnough = true
		case !result.IsEnough:
			unclear = append(unclear, fmt.Sprintf("%s: up to %.3g, margin %.3g", result.Name, result.High, result.Margin))
		case result.Members > 0 && laterHalf.difference >= result.Margin:
			result.IsEnough = false
			recent = append(recent, fmt.Sprintf("%s lately: %.3g, margin %.3g", result.Name, laterHalf.difference, result.Margin))
		}
		verdict.Measures = append(verdict.Measures, result)
	}
	crashEvidence, breachEvidence, shown := j.compareRareEvents()
	worse = append(worse, shown...)
	harmedMeasure, isRepeated, harmed := j.harmToUnchanged()
	harm := ""
	if harmed {
		harm = fmt.Sprintf("those not changed have become worse with the stage (%s)", measureNames[harmedMeasure])
		switch {
		case units.Low > 0:
			worse = append(worse, harm+", and the changed ones take more than their part")
		case isRepeated:
			worse = append(worse, harm+", as they did with an earlier one")
		}
	}
	since := now - j.lastChangeAt
	switch {
	case len(worse) > 0:
		verdict.Kind, verdict.Reason = KindWorse, strings.Join(worse, "; ")
	case since < j.options.MinBake:
		verdict.Kind, verdict.Reason = KindWait, fmt.Sprintf("watched for %v of %v", since.Round(time.Second), j.options.MinBake)
	case harmed:
		verdict.Kind, verdict.Reason = j.waitOrGiveUp(since), harm+"; nothing tells the change from the world"
	case crashEvidence >= 150 || breachEvidence >= 150:
		verdict.Kind, verdict.Reason = j.waitOrGiveUp(since), fmt.Sprintf("%d crashes and %d breaches of the new side are too many to go on and too few to blame it", j.crashes.counts[1], j.breaches.counts[1])
	case !j.hasOld():
		if verdict.Kind, verdict.Reason = KindPass, "all are changed, and the fleet is as it was before the stage"; !j.areChangedMembersLive(now) {
			verdict.Kind, verdict.Reason = j.waitOrGiveUp(since), "too few members tell anything"
		}
	case len(unclear) > 0:
		verdict.Kind, verdict.Reason = j.waitOrGiveUp(since), "too little evidence: "+strings.Join(unclear, "; ")
	case len(recent) > 0:
		verdict.Kind, verdict.Reason = j.waitOrGiveUp(since), strings.Join(recent, "; ")
	case !j.areChangedMembersLive(now):
		verdict.Kind, verdict.Reason = j.waitOrGiveUp(since), "too few of the changed members tell anything"
	default:
		verdict.Kind, verdict.Reason = KindPass, "no harm beyond the margins"
	}
	return verdict
}

// compareRareEvents holds crashes and breaches of both sides against each other, as likelihood ratios, and gives what is shown.
func (j *Judge) compareRareEvents() (crashEvidence, breachEvidence float64, worse []string) {
	// Crashes are rare: one side has had none as a rule. What the world does hits both sides, and then the
	// relativeEvidence one is small.
	crashEvidence, breachEvidence = j.crashes.absoluteEvidence(j.options.MinCrashInterval), j.breaches.relativeEvidence()
	if j.crashes.relativeEvidence() < 3 {
		crashEvidence = 0
	}
	if limit := 1 / (0.15 * j.options.MaxFalseAlarms); crashEvidence >= limit {
		worse = append(worse, fmt.Sprintf("crashes: %d in %v of the new, %d in %v of the old", j.crashes.counts[1], j.crashes.exposure[1].Round(time.Second),
			j.crashes.counts[0], j.crashes.exposure[0].Round(time.Second)))
	}
	if limit := 1 / (0.05 * j.options.MaxFalseAlarms); breachEvidence >= limit {
		worse = append(worse, fmt.Sprintf("breaches: in %d intervals of the new, %d of the old", j.breaches.counts[1], j.breaches.counts[0]))
	}
	return crashEvidence, breachEvidence, worse
}

// compareWindows compares a measure over the stage, mended by what its later half shows, and over that half.
func (j *Judge) compareWindows(measure int) (result, laterHalf Measure) {
	result = j.compare(measure, false)
	laterHalf = result
	if measure != measureGrowth { // a line through few points says nothing
		laterHalf = j.compare(measure, true)
	}
	// A fault of the world that is over does not keep a stage from passing by what came after it.
	if laterHalf.IsEnough && !result.IsEnough && laterHalf.High < result.High {
		result.IsEnough, result.High = true, laterHalf.High
	}
	if laterHalf.IsWorse && !result.IsWorse {
		result.IsWorse, result.Low = true, laterHalf.Low
	}
	return result, laterHalf
}

// hasOld tells whether a member that tells something of itself is not changed.
func (j *Judge) hasOld() bool {
	return slices.ContainsFunc(j.order, func(m *member) bool { return m.hasLast && m.side != SideNew })
}

// waitOrGiveUp is Wait until a stage may be watched no longer.
func (j *Judge) waitOrGiveUp(since time.Duration) VerdictKind {
	if since >= j.options.MaxBake {
		return KindNoEvidence
	}
	return KindWait
}

// isMeasured tells whether any side has anything of a measure that can be compared.
func (j *Judge) isMeasured(measure int) bool {
	counted := min(measure, measureMemory)
	if measure == measureGrowth && !j.canCompareGrowth() {
		return false
	}
	if isRelative(measure) {
		return j.sideTotals[0].numerator[counted]+j.sideTotals[1].numerator[counted] > 0
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

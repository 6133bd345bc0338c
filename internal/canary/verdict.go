package canary

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// passBlockingEvidence is the likelihood ratio of crashes or invariant violations at or above which a stage does not
// pass.
const passBlockingEvidence = 150

// findings are the results of all comparisons of a stage.
type findings struct {
	measures            []Measure
	worse               []string // descriptions of proven harm
	inconclusive        []string // measures with too little evidence
	exceededInLaterHalf []string // measures that exceed their margin in the later half of the stage
	crashEvidence       float64  // likelihood ratios of crashes and invariant violations
	breachEvidence      float64
	unchangedHarm       string // description of harm to the unchanged members; "" if there is none
}

// Verdict returns the verdict on the stage at the time now. It may be called at any time; the bound on the probability
// of a false alarm holds over all calls.
func (j *Judge) Verdict(now time.Duration) Verdict {
	found := j.compareAll()
	kind, reason := j.decide(now, &found)
	return Verdict{Kind: kind, Reason: reason, Measures: found.measures}
}

// compareAll compares all measures and rare events, and the unchanged members with the time before the stage.
func (j *Judge) compareAll() findings {
	var found findings
	for measure := range measureCount {
		result, laterHalf := j.compareWindows(measure)
		if result.IsWorse {
			found.worse = append(found.worse, describe(&result))
		}
		switch {
		case !j.isMeasured(measure):
			result.IsEnough = true
		case !result.IsEnough:
			found.inconclusive = append(found.inconclusive, fmt.Sprintf("%s: up to %.3g, margin %.3g", result.Name, result.High, result.Margin))
		case result.Members > 0 && laterHalf.difference >= result.Margin:
			result.IsEnough = false
			found.exceededInLaterHalf = append(found.exceededInLaterHalf, fmt.Sprintf("%s in the later half: %.3g, margin %.3g", result.Name, laterHalf.difference, result.Margin))
		}
		found.measures = append(found.measures, result)
	}
	var shown []string
	found.crashEvidence, found.breachEvidence, shown = j.compareRareEvents()
	found.worse = append(found.worse, shown...)
	harm := j.harmToUnchanged()
	if !harm.isHarmed {
		return found
	}
	found.unchangedHarm = fmt.Sprintf("unchanged members do worse since the stage began (%s)", measureNames[harm.measure])
	switch {
	case found.measures[measureUnits].Low > 0:
		found.worse = append(found.worse, found.unchangedHarm+", and the changed ones send more units")
	case harm.isRepeated:
		found.worse = append(found.worse, found.unchangedHarm+", as they did in an earlier stage")
	}
	return found
}

// decide returns the kind of verdict that follows from the findings, and the reason.
func (j *Judge) decide(now time.Duration, found *findings) (VerdictKind, string) {
	watched := now - j.lastChangeAt
	switch {
	case len(found.worse) > 0:
		return KindWorse, strings.Join(found.worse, "; ")
	case watched < j.options.MinBake:
		return KindWait, fmt.Sprintf("watched for %v of %v", watched.Round(time.Second), j.options.MinBake)
	case found.unchangedHarm != "":
		return j.undecidedKind(watched), found.unchangedHarm + "; the cause may be the change or the environment"
	case found.crashEvidence >= passBlockingEvidence || found.breachEvidence >= passBlockingEvidence:
		return j.undecidedKind(watched), fmt.Sprintf("%d crashes and %d breaches of the new side are too many to pass and too few to show harm",
			j.crashes.counts[sideIndexNew], j.breaches.counts[sideIndexNew])
	case !j.hasUnchangedMember():
		if !j.areChangedMembersLive(now) {
			return j.undecidedKind(watched), "too few members report statistics"
		}
		return KindPass, "all are changed, and the fleet is as it was before the stage"
	case len(found.inconclusive) > 0:
		return j.undecidedKind(watched), "too little evidence: " + strings.Join(found.inconclusive, "; ")
	case len(found.exceededInLaterHalf) > 0:
		return j.undecidedKind(watched), strings.Join(found.exceededInLaterHalf, "; ")
	case !j.areChangedMembersLive(now):
		return j.undecidedKind(watched), "too few changed members report statistics"
	}
	return KindPass, "no harm beyond the margins"
}

// Shares of MaxFalseAlarms that rare events may use.
const (
	crashAlarmShare  = 0.15
	breachAlarmShare = 0.05
)

// minRelativeCrashes is the likelihood ratio between the sides below which crashes are attributed to the environment.
const minRelativeCrashes = 3

// compareRareEvents returns the likelihood ratios of crashes and invariant violations, and descriptions of the harm that
// they prove. Crashes are compared with a usual rate, since the old side usually has none. Crashes from a fault of the
// environment affect both sides, so they are ignored if the likelihood ratio between the sides is small.
func (j *Judge) compareRareEvents() (crashEvidence, breachEvidence float64, worse []string) {
	crashEvidence = j.crashes.absoluteEvidence(j.options.MinCrashInterval)
	breachEvidence = j.breaches.relativeEvidence()
	if j.crashes.relativeEvidence() < minRelativeCrashes {
		crashEvidence = 0
	}
	if limit := 1 / (crashAlarmShare * j.options.MaxFalseAlarms); crashEvidence >= limit {
		worse = append(worse, fmt.Sprintf("crashes: %d in %v of the new, %d in %v of the old",
			j.crashes.counts[sideIndexNew], j.crashes.exposure[sideIndexNew].Round(time.Second),
			j.crashes.counts[sideIndexOld], j.crashes.exposure[sideIndexOld].Round(time.Second)))
	}
	if limit := 1 / (breachAlarmShare * j.options.MaxFalseAlarms); breachEvidence >= limit {
		worse = append(worse, fmt.Sprintf("breaches: in %d intervals of the new, %d of the old",
			j.breaches.counts[sideIndexNew], j.breaches.counts[sideIndexOld]))
	}
	return crashEvidence, breachEvidence, worse
}

// compareWindows compares a measure over the stage and over its later half. The result of the stage takes over a bound
// of the later half if only that one is conclusive.
func (j *Judge) compareWindows(measure int) (result, laterHalf Measure) {
	result = j.compare(measure, false)
	laterHalf = result
	if measure != measureGrowth { // a slope needs all points of the stage
		laterHalf = j.compare(measure, true)
	}
	// A fault of the environment that has ended does not keep the stage from passing.
	if laterHalf.IsEnough && !result.IsEnough && laterHalf.High < result.High {
		result.IsEnough = true
		result.High = laterHalf.High
	}
	if laterHalf.IsWorse && !result.IsWorse {
		result.IsWorse = true
		result.Low = laterHalf.Low
	}
	return result, laterHalf
}

// hasUnchangedMember tells whether any member with a reading is unchanged.
func (j *Judge) hasUnchangedMember() bool {
	return slices.ContainsFunc(j.order, func(m *member) bool { return m.hasLast && m.side != SideNew })
}

// undecidedKind returns KindWait until the stage has been watched for MaxBake, and KindNoEvidence from then on.
func (j *Judge) undecidedKind(watched time.Duration) VerdictKind {
	if watched >= j.options.MaxBake {
		return KindNoEvidence
	}
	return KindWait
}

// isMeasured tells whether the measure can be compared: a relative measure needs counts on at least one side.
func (j *Judge) isMeasured(measure int) bool {
	counted := min(measure, measureMemory)
	if measure == measureGrowth && !j.canCompareGrowth() {
		return false
	}
	if isRelative(measure) {
		return j.sideTotals[sideIndexOld].numerator[counted]+j.sideTotals[sideIndexNew].numerator[counted] > 0
	}
	return true
}

// areChangedMembersLive tells whether at least nine in ten of the changed members serve and have recent, plausible
// readings.
func (j *Judge) areChangedMembersLive(now time.Duration) bool {
	changed, live := 0, 0
	for _, m := range j.order {
		if m.side != SideNew {
			continue
		}
		changed++
		isRead := m.hasLast && now-m.lastAt <= 2*j.options.WarmUp
		if m.isServing && isRead && !m.isExcluded() {
			live++
		}
	}
	return changed > 0 && 10*live >= 9*changed
}

// describe returns a one-line description of the harm that a measure shows.
func describe(m *Measure) string {
	return fmt.Sprintf("%s: %.3g of the new, %.3g of the old, at least %.3g more", m.Name, m.New, m.Old, m.Low)
}

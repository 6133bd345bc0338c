// Package canary decides whether the changed members of a fleet do worse than the unchanged ones, based on the
// statistics that each instance reports. The statistical unit is the instance, and the error probabilities hold over
// any number of evaluations. The package does no I/O and takes the time as an argument. A Judge is not safe for
// concurrent use. docs/design/evidence.md has the formulas, their sources and the reasons.
package canary

import "lockflow/internal/instancestats"

// Side is the group in a comparison that a member belongs to.
type Side int

// The sides of a comparison.
const (
	SideOld     Side = iota // the member has run the old program or settings since before the rollout
	SideNew                 // the member runs the new program or settings
	SideControl             // the member runs the old program and was restarted together with the changed members
)

// VerdictKind is the judge's decision on a stage.
type VerdictKind int

// Kinds of verdicts.
const (
	KindWait       VerdictKind = iota // more evidence is needed
	KindPass                          // harm above the margins is ruled out
	KindWorse                         // the changed members do harm
	KindNoEvidence                    // MaxBake is over without evidence for or against harm; the stage does not pass
)

// String returns the kind as the rollout log stores it.
func (k VerdictKind) String() string { return [...]string{"wait", "pass", "worse", "no evidence"}[k] }

// Reading holds one member's statistics at one time.
type Reading struct {
	Member     string
	Side       Side // SideNew as soon as the member runs the new version, not when it is commanded to
	IsServing  bool // the member replies to polls and serves
	Statistics instancestats.Statistics
	Weight     float64 // intended share of the traffic; unused by Judge
}

// Measure is the result of comparing one measure between the sides. Shares of requests are absolute values; costs
// (units, cpu, memory, growth) are relative to each member's baseline.
type Measure struct {
	Name       string
	Old        float64 // value of the old side
	New        float64 // value of the new side
	Low        float64 // lower confidence bound of New - Old, at the error level of false alarms
	High       float64 // upper confidence bound of New - Old, at the error level of missed harm
	Margin     float64 // difference New - Old that counts as harm
	IsWorse    bool    // Low shows harm
	IsEnough   bool    // High rules harm out
	Members    int     // number of changed members that were compared
	References int     // number of unchanged members that they were compared with
	LeftOut    int     // number of members left out as outliers or for implausible readings

	difference float64 // estimate of New - Old
}

// Verdict is the current decision on a stage.
type Verdict struct {
	Kind     VerdictKind
	Reason   string // one line of explanation for operators
	Measures []Measure
}

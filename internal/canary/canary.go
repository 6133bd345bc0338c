// Package canary decides whether the changed members of a fleet do worse than the unchanged ones, from what each
// instance counts of itself. The statistical unit is the instance, and error probabilities hold over any number of
// looks. It does no I/O and takes time as an argument. A Judge is for one goroutine. docs/design/evidence.md has the
// formulas, their sources and the reasons.
package canary

import "lockflow/internal/instancestats"

// Side is the group of members that a member is compared as part of.
type Side int

// The sides of a comparison.
const (
	SideOld     Side = iota // runs the old program or settings since before the rollout
	SideNew                 // runs the new program or settings
	SideControl             // runs the old program, restarted together with the changed members
)

// VerdictKind is the decision about a stage.
type VerdictKind int

// The kinds of verdict.
const (
	KindWait       VerdictKind = iota // more evidence is needed
	KindPass                          // harm beyond the margins is ruled out
	KindWorse                         // harm is shown
	KindNoEvidence                    // MaxBake is over, with neither shown; the stage does not pass
)

// String returns the kind as the rollout log stores it.
func (k VerdictKind) String() string { return [...]string{"wait", "pass", "worse", "no evidence"}[k] }

// Reading is one member's statistics at one time.
type Reading struct {
	Member     string
	Side       Side // SideNew from when the member runs the new version, not from when it was commanded to
	IsServing  bool // the member answers and serves
	Statistics instancestats.Statistics
	Weight     float64 // intended share of the traffic; unused by Judge
}

// Measure is the result of one comparison. Shares are absolute; costs (units, cpu, memory, growth) are relative to the
// member's baseline.
type Measure struct {
	Name       string
	Old        float64 // value of the old side
	New        float64 // value of the new side
	Low        float64 // lower bound of New - Old, at the level of false alarms
	High       float64 // upper bound of New - Old, at the level of missed harm
	Margin     float64 // difference that counts as harm
	IsWorse    bool    // Low shows harm
	IsEnough   bool    // High rules harm out
	Members    int     // changed members that were compared
	References int     // unchanged members that they were compared with
	LeftOut    int     // outliers, and members with implausible readings

	difference float64 // estimate of New - Old
}

// Verdict is the decision about a stage so far.
type Verdict struct {
	Kind     VerdictKind
	Reason   string // one line for operators
	Measures []Measure
}

// Package invariant counts, while the node runs, how often it has broken a rule that holds whatever its modules decide.
// A violation is a fault of the program: it is logged with the request's id, so that the request can be followed, and
// counted for metrics. Where the guard that finds one can prevent the effect, it does.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Rule is a rule that the node checks of itself.
type Rule int

// The rules.
const (
	ParallelAttempt  Rule = iota // an attempt begins only once the one before has ended
	UnsafeRetry                  // a request that may have run is sent again only where that can't run it twice
	TooManyAttempts              // a request has no more attempts than the settings allow
	SlowStartOverrun             // this node alone stays within the budget of a server that warms up
	LateAnswer                   // a request has its final answer at most lateAnswerGrace after its deadline
	ClosedUnanswered             // a connection is not closed with a request on it that was read and not answered
	ruleCount
)

var names = [ruleCount]string{
	"parallel_attempt", "unsafe_retry", "too_many_attempts", "slow_start_overrun", "late_answer", "closed_unanswered",
}

// String is the rule's name in logs and metrics.
func (r Rule) String() string { return names[r] }

var violations [ruleCount]atomic.Uint64

// Violated counts and logs a violation of a rule by a request; why holds the figures that show it. It is safe for
// concurrent use.
func Violated(rule Rule, requestID, details string) {
	violations[rule].Add(1)
	slog.Error("invariant violated", "rule", rule.String(), "request", requestID, "why", details)
}

// Each calls f with the number of violations of each rule in this process.
func Each(f func(rule Rule, violations uint64)) {
	for rule := range ruleCount {
		f(rule, violations[rule].Load())
	}
}

// Violations is how often a rule was violated in this process.
func Violations(rule Rule) uint64 { return violations[rule].Load() }

// Package invariant counts violations of rules that must hold at run time whatever the decision modules decide.
// A violation is a bug in the node: it is counted for metrics and logged with the request's id, so that the request can
// be traced. A check that detects a violation also prevents its effect where it can.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Rule is an invariant that the node checks at run time.
type Rule int

// The rules.
const (
	ParallelAttempt  Rule = iota // an attempt starts only after the request's previous one has ended
	UnsafeRetry                  // a request that a server may have executed is retried only if that can't execute it twice
	TooManyAttempts              // a request has no more attempts than its settings allow
	SlowStartOverrun             // this node's own load on a server that is warming up stays within the server's budget
	LateAnswer                   // a request gets its final answer at most lateAnswerGrace after its deadline
	ClosedUnanswered             // no connection is closed while a request that was read from it has no answer
	ruleCount
)

var names = [ruleCount]string{
	"parallel_attempt", "unsafe_retry", "too_many_attempts", "slow_start_overrun", "late_answer", "closed_unanswered",
}

// String is the rule's name in logs and metrics.
func (r Rule) String() string { return names[r] }

var violations [ruleCount]atomic.Uint64

// Violated counts and logs a violation of a rule by a request; details holds the values that prove it. It is safe for
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

// Violations returns the number of violations of a rule in this process.
func Violations(rule Rule) uint64 { return violations[rule].Load() }

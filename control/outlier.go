package control

import (
	"math"
	"time"
)

const (
	ejectionFailures        = 3                // consecutive failures that eject a server
	failureRateGain         = 0.15             // gain of the exponential average of a server's failures
	failureRateDecaySeconds = 5.0              // time constant of the decay of a failure rate without attempts
	failureRatePenalty      = 5.0              // weight of the squared excess over the rate after one failure
	maxFailureRate          = 0.75             // failure rate above which errors count toward ejection
	planRejectionTime       = 15 * time.Second // time for which a server that rejected a plan is avoided for it
	initialEjectionTime     = time.Second      // doubles at each ejection without a success in between
	maxEjectionTime         = 8 * time.Second
)

// outlierDetector ejects a server after consecutive failures, for a time that doubles while it keeps failing.
type outlierDetector struct {
	consecutiveFailures int
	failureRate         float64 // exponential average of the fraction of attempts that failed
	failureRateAt       time.Duration
	ejectedUntil        time.Duration
	ejectionTime        time.Duration // length of the latest ejection
	isProbing           bool          // whether an attempt is probing if the ejected server has recovered
	planRejectedUntil   map[*planQueue]time.Duration
}

func newOutlierDetector() outlierDetector {
	return outlierDetector{planRejectedUntil: make(map[*planQueue]time.Duration)}
}

// reset discards the failures and ejections of an earlier incarnation of the server.
func (o *outlierDetector) reset() {
	o.failureRate = 0
	o.consecutiveFailures = 0
	o.ejectedUntil = 0
	o.ejectionTime = 0
	clear(o.planRejectedUntil)
}

// recordAttempt records the start of an attempt. An attempt at a server that was ejected is a probe of
// whether it has recovered; the server is avoided until the probe has ended.
func (o *outlierDetector) recordAttempt() {
	if o.hasTripped() {
		o.isProbing = true
	}
}

// hasTripped reports whether the server had enough consecutive failures to be ejected, even if the ejection
// time is over.
func (o *outlierDetector) hasTripped() bool { return o.consecutiveFailures >= ejectionFailures }

// isEjected reports whether the server is currently ejected.
func (o *outlierDetector) isEjected(now time.Duration) bool {
	return o.hasTripped() && now < o.ejectedUntil
}

// isAvoided reports whether the server is used for a plan only as a last resort.
func (o *outlierDetector) isAvoided(now time.Duration, plan *planQueue) bool {
	rejectedPlan := now < o.planRejectedUntil[plan]
	return o.isEjected(now) || o.isProbing || rejectedPlan
}

// costFactor returns the factor on the cost of a server, which is above one if its failure rate exceeds that
// of a single failure.
func (o *outlierDetector) costFactor(now time.Duration) float64 {
	excess := math.Max(0, o.currentFailureRate(now)-failureRateGain)
	return 1 + failureRatePenalty*excess*excess
}

// currentFailureRate returns the failure rate, decayed since its last update: a server that gets no attempts
// cannot lower its rate by successes.
func (o *outlierDetector) currentFailureRate(now time.Duration) float64 {
	return o.failureRate * decayFactor(now-o.failureRateAt, failureRateDecaySeconds)
}

// recordOutcome records the outcome of an attempt. Resets and errors count as consecutive failures only above
// maxFailureRate.
func (o *outlierDetector) recordOutcome(now time.Duration, reason Reason, plan *planQueue) {
	switch reason {
	case OK:
		o.consecutiveFailures = 0
		o.isProbing = false
		o.ejectionTime = 0
		o.updateFailureRate(now, 0)
	case RejectedByServer: // the server may reject only this plan
		o.recordFailures(now, 1)
		o.planRejectedUntil[plan] = now + planRejectionTime
	case ConnectFailed:
		o.recordFailures(now, ejectionFailures)
	case ResetByPeer, Errored:
		o.updateFailureRate(now, 1)
		if o.currentFailureRate(now) > maxFailureRate {
			o.recordFailures(now, 1)
		}
		o.isProbing = false
	case NotSent, Cancelled: // a probe that ends this way shows nothing about the server
		o.isProbing = false
	case TimedOut:
		o.recordFailures(now, 1)
	}
}

// updateFailureRate updates the failure rate with an attempt that failed, 1, or succeeded, 0. The rate raises
// the cost of a server that fails some of its requests immediately: such a server would never be ejected,
// look idle and attract the others' traffic.
func (o *outlierDetector) updateFailureRate(now time.Duration, failed float64) {
	rate := o.currentFailureRate(now)
	o.failureRate = rate + failureRateGain*(failed-rate)
	o.failureRateAt = now
}

// recordFailures counts consecutive failures and ejects the server if there are enough of them.
func (o *outlierDetector) recordFailures(now time.Duration, failures int) {
	o.consecutiveFailures += failures
	o.isProbing = false
	if o.hasTripped() && now >= o.ejectedUntil {
		o.ejectionTime = min(max(initialEjectionTime, 2*o.ejectionTime), maxEjectionTime)
		o.ejectedUntil = now + o.ejectionTime
	}
}

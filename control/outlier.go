package control

import (
	"math"
	"time"
)

const (
	ejectionFailures        = 3                // consecutive failures that eject a server
	failureRateGain         = 0.15             // gain of a server's failure rate
	failureRateDecaySeconds = 5.0              // time constant of a failure rate without new attempts
	failureRatePenalty      = 5.0              // weight of the square of the failure rate above one failure's
	maxFailureRate          = 0.75             // failure rate above which errors count toward ejection
	planRejectionTime       = 15 * time.Second // during which a server that rejected a plan is avoided for it
	initialEjectionTime     = time.Second      // doubles at each ejection without a success between
	maxEjectionTime         = 8 * time.Second
)

// outlierDetector ejects a server that fails more than others do, for a time that doubles while it goes on.
type outlierDetector struct {
	consecutiveFailures int
	failureRate         float64 // decaying part of the attempts that failed
	failureRateAt       time.Duration
	ejectedUntil        time.Duration
	ejectionTime        time.Duration // of the latest ejection
	isProbing           bool          // an attempt tries whether the ejected server is well again
	planRejectedUntil   map[*planQueue]time.Duration
}

func newOutlierDetector() outlierDetector {
	return outlierDetector{planRejectedUntil: make(map[*planQueue]time.Duration)}
}

// reset drops what was known of an earlier incarnation of the server.
func (o *outlierDetector) reset() {
	o.failureRate = 0
	o.consecutiveFailures = 0
	o.ejectedUntil = 0
	o.ejectionTime = 0
	clear(o.planRejectedUntil)
}

// recordAttempt takes the start of an attempt. One at a server that was ejected probes whether it is well
// again; the server is avoided until the attempt has ended.
func (o *outlierDetector) recordAttempt() {
	if o.hasTripped() {
		o.isProbing = true
	}
}

// hasTripped tells whether the server failed often enough in a row to be ejected, whether or not that
// time is over.
func (o *outlierDetector) hasTripped() bool { return o.consecutiveFailures >= ejectionFailures }

// isEjected tells whether the server is ejected now.
func (o *outlierDetector) isEjected(now time.Duration) bool {
	return o.hasTripped() && now < o.ejectedUntil
}

// isAvoided tells whether the server is the last choice for a plan.
func (o *outlierDetector) isAvoided(now time.Duration, plan *planQueue) bool {
	rejectedPlan := now < o.planRejectedUntil[plan]
	return o.isEjected(now) || o.isProbing || rejectedPlan
}

// costFactor raises the cost of a server that fails more often than a single failure explains.
func (o *outlierDetector) costFactor(now time.Duration) float64 {
	excess := math.Max(0, o.currentFailureRate(now)-failureRateGain)
	return 1 + failureRatePenalty*excess*excess
}

// currentFailureRate decays, as a server that is not chosen has no chance to do better.
func (o *outlierDetector) currentFailureRate(now time.Duration) float64 {
	return o.failureRate * decayFactor(now-o.failureRateAt, failureRateDecaySeconds)
}

// recordOutcome takes the end of an attempt. Resets and errors trip the detector by their rate only.
func (o *outlierDetector) recordOutcome(now time.Duration, reason Reason, plan *planQueue) {
	switch reason {
	case OK:
		o.consecutiveFailures = 0
		o.isProbing = false
		o.ejectionTime = 0
		o.updateFailureRate(now, 0)
	case RejectedByServer: // maybe for this plan only
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
	case NotSent, Cancelled: // shows nothing of an ejected server that it was to probe
		o.isProbing = false
	case TimedOut:
		o.recordFailures(now, 1)
	}
}

// updateFailureRate takes an attempt that failed, 1, or succeeded, 0. Guards against a server that fails
// part of its requests at once: it is never ejected, looks idle and attracts the others.
func (o *outlierDetector) updateFailureRate(now time.Duration, failed float64) {
	rate := o.currentFailureRate(now)
	o.failureRate = rate + failureRateGain*(failed-rate)
	o.failureRateAt = now
}

// recordFailures counts n consecutive failures and ejects the server if they are enough.
func (o *outlierDetector) recordFailures(now time.Duration, failures int) {
	o.consecutiveFailures += failures
	o.isProbing = false
	if o.hasTripped() && now >= o.ejectedUntil {
		o.ejectionTime = min(max(initialEjectionTime, 2*o.ejectionTime), maxEjectionTime)
		o.ejectedUntil = now + o.ejectionTime
	}
}

package control

import (
	"math"
	"time"
)

const (
	maxRetryBudget        = 20.0             // maximum number of retries in the budget
	retryBudgetPerRequest = 0.1              // retries that each admitted request adds to the budget
	minRetryCost          = 0.1              // minimum number of retries that one retry costs
	retryDeadlineMargin   = time.Millisecond // time before its deadline from which a request is not retried
)

// retryPolicy decides whether a request is retried after a failed attempt.
type retryPolicy struct {
	maxAttempts int // maximum attempts of one request; 0 is no limit
	budget      retryBudget
}

func newRetryPolicy(settings *Settings) retryPolicy {
	return retryPolicy{maxAttempts: settings.MaxAttempts, budget: retryBudget{retries: maxRetryBudget}}
}

// allowRetry reports whether idempotency, the attempt limit, the deadline and the retry budget allow a retry,
// and if so takes its cost from the budget. elapsed is the duration of the failed attempt; meanLatency is in
// seconds.
func (p *retryPolicy) allowRetry(
	now time.Duration, req *request, reason Reason, elapsed time.Duration, meanLatency float64,
) bool {
	if reason == NotSent || !req.isRepeatable(now) || !p.allowsAttempt(now, req) {
		return false
	}
	return p.budget.spend(retryCost(reason, elapsed, meanLatency))
}

// allowsAttempt reports whether the deadline and the maximum number of attempts allow another attempt.
func (p *retryPolicy) allowsAttempt(now time.Duration, req *request) bool {
	if now >= req.deadline-retryDeadlineMargin {
		return false
	}
	return p.maxAttempts == 0 || req.attempts < p.maxAttempts
}

// retryCost returns the cost of a retry, which is low after an attempt that failed fast. Otherwise a burst of
// fast errors would exhaust the budget although most servers still serve half of their requests.
func retryCost(reason Reason, elapsed time.Duration, meanLatency float64) float64 {
	isFailure := reason == Errored || reason == ResetByPeer || reason == ConnectFailed
	if !isFailure {
		return 1
	}
	cost := elapsed.Seconds() / math.Max(meanLatency, epsilon)
	return math.Min(1, math.Max(minRetryCost, cost))
}

// isRepeatable reports whether a second run would have no further effect.
func (r *request) isRepeatable(now time.Duration) bool {
	if !r.mayHaveRun || r.class.Idempotency == Idempotent {
		return true
	}
	return r.hasIdempotencyKey() && now < r.repeatsDroppedUntil()
}

// isRejectable reports whether the client may safely repeat the request, as clients do after a rejection.
func (r *request) isRejectable() bool {
	if r.class.Idempotency == Idempotent {
		return true
	}
	if r.hasIdempotencyKey() && r.class.KeyScope == ScopeAll {
		return true
	}
	return !r.mayHaveRun && r.inFlight == 0
}

// retryDeadline returns the time until which a retry may be queued: shortly before the client's deadline, and
// for a request that may have run no later than the end of the repeat window of its idempotency key.
func (r *request) retryDeadline() time.Duration {
	until := r.deadline - retryDeadlineMargin
	if r.mayHaveRun && r.hasIdempotencyKey() {
		until = min(until, r.repeatsDroppedUntil())
	}
	return until
}

// retryBudget is the number of retries that requests have earned and that have not been used.
type retryBudget struct{ retries float64 }

// earn adds the contribution of an admitted request.
func (b *retryBudget) earn() { b.retries = math.Min(maxRetryBudget, b.retries+retryBudgetPerRequest) }

// spend takes a cost from the budget if the budget covers it, and reports whether it does.
func (b *retryBudget) spend(cost float64) bool {
	if !(b.retries >= cost) {
		return false
	}
	b.retries -= cost
	return true
}

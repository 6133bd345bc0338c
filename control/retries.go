package control

import (
	"math"
	"time"
)

const (
	maxRetryBudget        = 20.0             // retries that can be saved up
	retryBudgetPerRequest = 0.1              // retries that an admitted request earns
	minRetryCost          = 0.1              // of the retry budget
	retryDeadlineMargin   = time.Millisecond // time before a request's deadline from which it is not retried
)

// retryPolicy decides whether a request whose attempt failed is attempted again.
type retryPolicy struct {
	maxAttempts int // of one request; 0 is no limit
	budget      retryBudget
}

func newRetryPolicy(settings *Settings) retryPolicy {
	return retryPolicy{maxAttempts: settings.MaxAttempts, budget: retryBudget{retries: maxRetryBudget}}
}

// allowRetry tells whether idempotency, the attempt limit, the deadline and the retry budget allow a retry,
// and spends what it costs. Elapsed is how long the failed attempt took, the mean latency is in seconds.
func (p *retryPolicy) allowRetry(
	now time.Duration, req *request, reason Reason, elapsed time.Duration, meanLatency float64,
) bool {
	if reason == NotSent || !req.isRepeatable(now) || !p.allowsAttempt(now, req) {
		return false
	}
	return p.budget.spend(retryCost(reason, elapsed, meanLatency))
}

// allowsAttempt tells whether the deadline and the maximum number of attempts allow another one.
func (p *retryPolicy) allowsAttempt(now time.Duration, req *request) bool {
	if now >= req.deadline-retryDeadlineMargin {
		return false
	}
	return p.maxAttempts == 0 || req.attempts < p.maxAttempts
}

// retryCost is what a retry costs of the budget. An attempt that failed at once costs little. Guards against
// a storm of errors that uses the budget up while most servers still serve half of their requests.
func retryCost(reason Reason, elapsed time.Duration, meanLatency float64) float64 {
	isFailure := reason == Errored || reason == ResetByPeer || reason == ConnectFailed
	if !isFailure {
		return 1
	}
	cost := elapsed.Seconds() / math.Max(meanLatency, epsilon)
	return math.Min(1, math.Max(minRetryCost, cost))
}

// isRepeatable tells whether a second run would have no other effect than the first.
func (r *request) isRepeatable(now time.Duration) bool {
	if !r.mayHaveRun || r.class.Idempotency == Idempotent {
		return true
	}
	return r.hasIdempotencyKey() && now < r.repeatsDroppedUntil()
}

// isRejectable tells whether the client may repeat the request safely, as it does after a rejection.
func (r *request) isRejectable() bool {
	if r.class.Idempotency == Idempotent {
		return true
	}
	if r.hasIdempotencyKey() && r.class.KeyScope == ScopeAll {
		return true
	}
	return !r.mayHaveRun && r.inFlight == 0
}

// retryDeadline is until when a retry may be queued. Guards against one that is queued beyond the client's
// deadline or its key's repeat window.
func (r *request) retryDeadline() time.Duration {
	until := r.deadline - retryDeadlineMargin
	if r.mayHaveRun && r.hasIdempotencyKey() {
		until = min(until, r.repeatsDroppedUntil())
	}
	return until
}

// retryBudget is the number of retries that requests have earned and not used.
type retryBudget struct{ retries float64 }

// earn adds what an admitted request brings.
func (b *retryBudget) earn() { b.retries = math.Min(maxRetryBudget, b.retries+retryBudgetPerRequest) }

// spend takes a cost out of the budget if it is covered, and tells whether it is.
func (b *retryBudget) spend(cost float64) bool {
	if !(b.retries >= cost) {
		return false
	}
	b.retries -= cost
	return true
}

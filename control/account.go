package control

import "time"

// accountKey is the key of a customer's account in an accountTable.
func accountKey(plan, customer string) string { return plan + " " + customer }

// customerAccount is what a controller knows of one customer of a plan. The fields of each part are touched by
// the part's own methods only, but for checkpoints and images.
type customerAccount struct {
	plan               *planQueue
	fanOut             float64       // number of gateways through which the customer may come
	updatedAt          time.Duration // time up to which the buckets are refilled
	quota              tokenBucket
	hardLimit          tokenBucket
	queuedUnits        float64 // units of its requests in the queue
	admissionRemainder float64 // error diffusion of the rejection probability
	usage              usageEstimate
	demand             demandEstimate
	inFlight           inFlightQuota
	history            usageHistory
}

// isIdle tells whether the customer has nothing in flight or queued; subtraction may leave a rounding error.
func (a *customerAccount) isIdle() bool { return a.inFlight.current == 0 && a.queuedUnits < epsilon }

// isIdleFor tells whether the customer is idle and its account was last used longer than a time ago.
func (a *customerAccount) isIdleFor(limit, now time.Duration) bool {
	return now-a.updatedAt > limit && a.isIdle()
}

// charge is what an attempt took from the buckets of an account.
type charge struct {
	units       float64 // the request's
	groupUnits  float64 // the usage over all gateways that they stand for
	quotaTokens float64 // taken from the quota's bucket
	bin         int64   // of the histories in which they are
}

// usageHistory counts a customer's units and requests by bin.
type usageHistory struct {
	sent       history // units of attempts
	charged    history // units taken from the quota's bucket, over all gateways
	arrivals   history // requests
	rejections history // of those
}

// advance brings the histories up to a bin.
func (h *usageHistory) advance(bin int64) {
	h.sent.advance(bin)
	h.charged.advance(bin)
	h.arrivals.advance(bin)
	h.rejections.advance(bin)
}

package control

import "time"

// accountKey returns the key of a customer's account in an accountTable.
func accountKey(plan, customer string) string { return plan + " " + customer }

// customerAccount is the state of one customer of a plan. The fields of each part are accessed only by the part's
// own methods, except for checkpoints and images.
type customerAccount struct {
	plan               *planQueue
	fanOut             float64       // number of gateways through which the customer may come
	updatedAt          time.Duration // time of the latest refill of the buckets
	quota              tokenBucket
	hardLimit          tokenBucket
	queuedUnits        float64 // units of its queued requests
	admissionRemainder float64 // remainder of the error diffusion by which requests are rejected
	usage              usageEstimate
	demand             demandEstimate
	inFlight           inFlightQuota
	history            usageHistory
}

// isIdle reports whether the customer has nothing in flight or queued. Subtracting units may leave a rounding
// error in queuedUnits, hence the epsilon.
func (a *customerAccount) isIdle() bool { return a.inFlight.current == 0 && a.queuedUnits < epsilon }

// isIdleFor reports whether the customer is idle and its account has not been used for longer than limit.
func (a *customerAccount) isIdleFor(limit, now time.Duration) bool {
	return now-a.updatedAt > limit && a.isIdle()
}

// charge records what an attempt took from the buckets of an account.
type charge struct {
	units       float64 // units of the request
	groupUnits  float64 // estimated usage over all gateways that these units represent
	quotaTokens float64 // tokens taken from the quota's bucket
	bin         int64   // bin of the histories to which the units were added
}

// usageHistory counts a customer's units and requests by bin.
type usageHistory struct {
	sent       history // units of attempts of this gateway
	charged    history // units charged to the quota's bucket, for all gateways
	arrivals   history // arriving requests
	rejections history // requests that were rejected
}

// advance advances the histories to a bin.
func (h *usageHistory) advance(bin int64) {
	h.sent.advance(bin)
	h.charged.advance(bin)
	h.arrivals.advance(bin)
	h.rejections.advance(bin)
}

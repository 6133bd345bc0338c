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

// usageEstimate is what is known of a customer's usage through this gateway and through others.
type usageEstimate struct {
	localUnits, totalUnits float64 // smoothed usage through this gateway, and over all
	rate                   float64 // smoothed, units a second over all gateways
	remoteRate             float64 // units a second through other gateways, presumed to go on since remoteRateAt
	remoteRateAt           time.Duration
	lastReadingUnits       float64 // usage of the last metered period
}

// demandEstimate is what is known of how much a customer asks for, from its requests here and from the meter.
type demandEstimate struct {
	requestedUnits float64 // decaying sum of the units requested here
	requestedAt    time.Duration
	meteredUnits   float64 // decaying sum of the usage of readings
	demandSeconds  float64 // time of full demand in which that usage arose
	meteredSeconds float64 // decaying sum of the metered periods
	readingAt      time.Duration
	isMetered      bool
	readingEndBin  int64 // bin in which the last metered period ended
}

// inFlightQuota is this gateway's part of a quota of attempts in flight.
type inFlightQuota struct {
	current              int // attempts in flight
	predecessor          int // attempts in flight of a predecessor that has not ended
	limit                float64
	nextAttemptAt        time.Duration // of a limit below one: no attempt before
	hitLimit             bool          // since the last reading
	rejectionProbability float64
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

package control

import (
	"math"
	"time"
)

const minInFlightLimitFactor = 0.85 // minimum factor on an in-flight limit at one reading

// inFlightQuota is this gateway's part of a quota of attempts in flight.
type inFlightQuota struct {
	current              int // attempts in flight
	predecessor          int // attempts in flight of a predecessor that is still running
	limit                float64
	nextAttemptAt        time.Duration // earliest time of the next attempt if the limit is below one
	hitLimit             bool          // whether the limit was reached since the latest reading
	rejectionProbability float64
}

// newInFlightQuota returns an equal part of the quota for each gateway of a customer's fan-out.
func newInFlightQuota(maxInFlight int, fanOut float64) inFlightQuota {
	return inFlightQuota{limit: float64(maxInFlight) / fanOut}
}

func (q *inFlightQuota) startAttempt() { q.current++ }

func (q *inFlightQuota) endAttempt() { q.current-- }

// adjust adjusts this gateway's part of the quota by a reading, the maximum in flight in percent of the
// quota. A limit below one is enforced by a pause after each attempt. Requests are rejected with a
// probability only once the limit has reached its minimum.
func (q *inFlightQuota) adjust(maxInFlight int, fanOut, percent, rejected, arrivals float64) {
	minLimit := float64(maxInFlight) / fanOut / 2
	if q.limit > minLimit {
		q.rejectionProbability = 0
	} else if arrivals > 0 || percent <= 100 {
		probability := math.Max(0, 1-(1-rejected)*100/math.Max(percent, 1))
		q.rejectionProbability = math.Min(maxRejectionProbability, probability)
	}
	if percent > 100 || q.hitLimit {
		factor := math.Min(limitIncreaseFactor, 100/math.Max(percent, 1))
		q.limit *= math.Max(minInFlightLimitFactor, factor)
	}
	q.limit = math.Min(float64(maxInFlight), math.Max(minLimit, q.limit))
	q.hitLimit = false
}

// isFull reports whether no attempt may start now. It also records that the limit was reached, since it is
// called for a waiting request.
func (q *inFlightQuota) isFull(now time.Duration) bool {
	isFull := now < q.nextAttemptAt || float64(q.current+q.predecessor) >= math.Max(1, math.Floor(q.limit))
	q.hitLimit = q.hitLimit || isFull
	return isFull
}

// pauseAfter delays the next attempt after one that has ended, if the limit is below one.
func (q *inFlightQuota) pauseAfter(now, sentAt time.Duration) {
	if pause := 1/math.Max(q.limit, epsilon) - 1; pause > 0 {
		q.nextAttemptAt = now + time.Duration(pause*float64(now-sentAt))
	}
}
